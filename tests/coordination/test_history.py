"""Model-based test of a group's history."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from otterreach.coordination.history import Event, GroupHistory

names = st.sampled_from(["g.a", "g.b", "g.c"])
values = st.text(max_size=3)
expectations = st.none() | st.integers(0, 3)


class HistoryMachine(RuleBasedStateMachine):
    """The model consists of the retained events by slot and the newest revision."""

    def __init__(self) -> None:
        super().__init__()
        self.history = GroupHistory()
        self.kept: dict[int, Event] = {}
        self.revision = 0

    def _append(self, slot: int, name: str, value: str, expected: int | None) -> None:
        """Store the event of a put, unless it is a retry of a retained one, which has no event of its own."""
        if any((event.name, event.value, event.expected) == (name, value, expected) for event in self.kept.values()):
            return
        self.revision += 1
        event = Event(name, value, self.revision, expected)
        self.history.store(slot, event)
        self.kept[slot] = event

    @rule(name=names, value=values, expected=expectations)
    def append_in_a_new_slot(self, name: str, value: str, expected: int | None) -> None:
        slot = self.history.new_slot()
        assert slot not in self.kept
        self._append(slot, name, value, expected)

    @rule(name=names, value=values, expected=expectations)
    def append_in_the_oldest_slot(self, name: str, value: str, expected: int | None) -> None:
        slot = self.history.oldest_slot()
        if not self.kept:
            assert slot is None
            return
        assert slot is not None
        assert self.kept[slot].revision == min(event.revision for event in self.kept.values())
        self._append(slot, name, value, expected)

    @rule(order=st.randoms(use_true_random=False))
    def read_it_from_its_slots(self, order: object) -> None:
        """Rebuild the history as after a restart, when the slots are read in any order."""
        slots = list(self.kept.items())
        order.shuffle(slots)  # type: ignore[attr-defined]
        self.history = GroupHistory()
        for slot, event in slots:
            self.history.store(slot, event)

    @rule(data=st.data())
    def remove_an_event_that_is_not_the_newest(self, data: st.DataObject) -> None:
        removable = [slot for slot, event in self.kept.items() if event.revision < self.revision]
        if removable:
            slot = data.draw(st.sampled_from(removable))
            self.history.remove(slot)
            del self.kept[slot]

    @rule(slot=st.integers(100, 110))
    def remove_an_empty_slot(self, slot: int) -> None:
        self.history.remove(slot)

    @invariant()
    def sums(self) -> None:
        assert self.history.revision == self.revision
        assert len(self.history) == len(self.kept)
        assert self.history.bytes == sum(event.size for event in self.kept.values())

    @invariant()
    def spans_are_complete_or_refused(self) -> None:
        by_revision = {event.revision: event for event in self.kept.values()}
        for past in range(self.revision + 1):
            required = range(past + 1, self.revision + 1)
            is_complete = all(revision in by_revision for revision in required)
            expected = [by_revision[revision] for revision in required] if is_complete else None
            assert self.history.between(past, self.revision) == expected

    @invariant()
    def puts_are_found_while_they_are_kept(self) -> None:
        for event in self.kept.values():
            assert self.history.find(event.name, event.value, event.expected) == event
        assert self.history.find("g.a", "never put", None) is None


TestHistory = HistoryMachine.TestCase
TestHistory.settings = settings(max_examples=200, stateful_step_count=40)
