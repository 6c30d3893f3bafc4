"""Model-based test of compare-and-put."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from otterreach.coordination.history import Event, GroupHistory
from otterreach.coordination.keyspace import Conflict, Entry, Put, Repeated, Written, group_of, put

NAMES = ("g.a", "g.b", "g.c")
MAX_KEPT = 4  # retained events; further puts overwrite the oldest one


class KeyspaceMachine(RuleBasedStateMachine):
    """The model is the list of accepted puts. The revision of a put is its position in the list."""

    def __init__(self) -> None:
        super().__init__()
        self.history = GroupHistory()
        self.entries: dict[str, Entry] = {}
        self.accepted: list[Put] = []

    def _revision(self, name: str) -> int:
        return max([position for position, call in enumerate(self.accepted, 1) if call.name == name], default=0)

    def _store(self, call: Put, entry: Entry) -> None:
        full = len(self.history) >= MAX_KEPT
        slot = self.history.oldest_slot() if full else self.history.new_slot()
        assert slot is not None
        self.history.store(slot, Event(call.name, entry.value, entry.revision, entry.expected))
        self.entries[call.name] = entry
        self.accepted.append(call)

    @rule(name=st.sampled_from(NAMES), stale_by=st.integers(-1, 3) | st.none())
    def put_a_new_value(self, name: str, stale_by: int | None) -> None:
        """Put a value on an expected revision; with `stale_by` None, on any revision."""
        current = self._revision(name)
        expected = None if stale_by is None else max(0, current - stale_by)
        call = Put(name, f"value {len(self.accepted)}", expected)
        result = put(call, self.entries.get(name), self.history)
        if expected in (None, current):
            assert result == Written(Entry(call.value, len(self.accepted) + 1, expected))
            assert isinstance(result, Written)
            self._store(call, result.entry)
        else:
            assert result == Conflict(current)

    @rule(data=st.data())
    def put_an_accepted_one_again(self, data: st.DataObject) -> None:
        """Retry a put. It is recognised if the history retains it or it is the newest put of its key."""
        if not self.accepted:
            return
        revision = data.draw(st.integers(1, len(self.accepted)))
        call = self.accepted[revision - 1]
        result = put(call, self.entries.get(call.name), self.history)
        if revision > len(self.accepted) - MAX_KEPT or revision == self._revision(call.name):
            assert result == Repeated(revision)
        elif call.expected is not None:
            assert result == Conflict(self._revision(call.name))

    @rule(data=st.data())
    def put_an_accepted_value_elsewhere(self, data: st.DataObject) -> None:
        """Put the same value under another key, which is a different put."""
        if not self.accepted:
            return
        call = data.draw(st.sampled_from(self.accepted))
        for name in NAMES:
            if name != call.name:
                other = replace(call, name=name, expected=self._revision(name))
                assert isinstance(put(other, self.entries.get(name), self.history), Written)

    @invariant()
    def each_key_has_its_last_accepted_put(self) -> None:
        for name in NAMES:
            revision = self._revision(name)
            entry = self.entries.get(name)
            if entry is None:
                assert revision == 0
                continue
            assert (entry.value, entry.revision) == (self.accepted[revision - 1].value, revision)

    @invariant()
    def one_count_goes_up_for_all_keys(self) -> None:
        assert self.history.revision == len(self.accepted)


TestKeyspace = KeyspaceMachine.TestCase
TestKeyspace.settings = settings(max_examples=300, stateful_step_count=30)


@given(st.text(alphabet="a.", max_size=8))
def test_the_group_goes_up_to_the_first_dot(name: str) -> None:
    expected = name[: name.index(".") + 1] if "." in name else name
    assert group_of(name) == expected
