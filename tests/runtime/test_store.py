"""Copies of the control state that follow one another while tombstones are collected (otterreach/runtime/store.py)."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from otterreach.runtime.records import ServerRecord
from otterreach.runtime.store import Item, ReplicatedStore

KEYS = [f"server/{n}" for n in range(6)]
FOLLOWERS = 4
key = st.sampled_from(KEYS)
copy = st.integers(0, FOLLOWERS - 1)


@dataclass
class Answer:
    """What a parent tells: Changes of otterreach.runtime.relay."""

    items: list[Item]
    digest: int
    collected: int
    ranges: list[int] = field(default_factory=list)


def tell(parent: ReplicatedStore, items: list[Item]) -> Answer:
    return Answer(items, parent.digest, parent.collected_up_to)


def follow(parent: ReplicatedStore, child: ReplicatedStore) -> Answer:
    ranges = parent.differing_ranges(child.digests)
    return Answer(parent.in_ranges(ranges), parent.digest, parent.collected_up_to, ranges)


def take(child: ReplicatedStore, told: Answer) -> list[Item]:
    taken = child.replace_ranges(told.ranges, told.items, told.collected)
    child.matches(told.digest, told.collected)
    return taken


class Copies(RuleBasedStateMachine):
    """One root at a time, followers that sync from any other copy, miss what they miss, and get answers late."""

    def __init__(self) -> None:
        super().__init__()
        self.root = ReplicatedStore()
        self.followers = [ReplicatedStore() for _ in range(FOLLOWERS)]
        self.revision = 0
        self.live: dict[str, int] = {}  # what is so at the root: key -> rev
        self.seen: list[dict[str, int]] = [{} for _ in range(FOLLOWERS)]  # the newest rev of a key, or of its end
        self.late: list[Answer] = []
        self.events: list[tuple[str, int, bool]] = []

    def change(self, name: str, value: bytes) -> Item:
        self.revision += 1
        item = Item(name, self.revision, value)
        self.root.apply([item])
        self.events.append((name, self.revision, not value))
        if value:
            self.live[name] = self.revision
        else:
            self.live.pop(name, None)
        return item

    def get(self, child: int, told: Answer) -> None:
        take(self.followers[child], told)

    @rule(name=key, heard=st.sets(copy))
    def put(self, name: str, heard: set[int]) -> None:
        item = self.change(name, b"{}")
        for child in heard:
            self.get(child, tell(self.root, [item]))

    @rule(name=key, heard=st.sets(copy))
    def delete(self, name: str, heard: set[int]) -> None:
        item = self.change(name, b"")
        for child in heard:
            self.get(child, tell(self.root, [item]))

    @rule(back=st.integers(0, 4), heard=st.sets(copy))
    def collect(self, back: int, heard: set[int]) -> None:
        """The root drops its tombstones but for the newest few revs."""
        self.root.collect(max(0, self.revision - back))
        for child in heard:
            self.get(child, tell(self.root, []))

    @rule(child=copy)
    def follow_root(self, child: int) -> None:
        self.get(child, follow(self.root, self.followers[child]))

    @rule(child=copy, parent=copy)
    def follow_another(self, child: int, parent: int) -> None:
        self.get(child, follow(self.followers[parent], self.followers[child]))

    @rule(child=copy, parent=copy)
    def ask_and_hear_late(self, child: int, parent: int) -> None:
        self.late.append(follow(self.followers[parent], self.followers[child]))

    @rule(child=copy, data=st.data())
    def hear_late(self, child: int, data: st.DataObject) -> None:
        if self.late:
            self.get(child, self.late.pop(data.draw(st.integers(0, len(self.late) - 1))))

    @rule(child=copy, name=key)
    def relayed(self, child: int, name: str) -> None:
        """Another copy's item alone, with all that it tells of itself."""
        for parent in self.followers:
            if name in parent.items:
                self.get(child, tell(parent, [parent.items[name]]))

    @rule(child=copy)
    def new_primary(self, child: int) -> None:
        """A controller that had followed becomes the root: it publishes the whole state that it was given as backup."""
        state = self.root
        store = self.followers[child]
        take(store, Answer(list(state.items.values()), state.digest, state.collected_up_to, list(range(128))))
        assert store.digest == state.digest
        self.followers[child], self.root = state, store
        self.seen[child] = {}

    @rule(child=copy)
    def restart(self, child: int) -> None:
        self.followers[child] = ReplicatedStore()
        self.seen[child] = {}

    @invariant()
    def nothing_goes_back(self) -> None:
        """No copy has an item again of which it has known something newer, its end among that."""
        for store, seen in zip(self.followers, self.seen, strict=True):
            for item in store.items.values():
                assert item.revision >= seen.get(item.key, 0), f"{item} after {seen[item.key]}"
                seen[item.key] = item.revision
            for name in KEYS:
                if name not in store.items:
                    seen[name] = max(seen.get(name, 0), store.collected_up_to)

    @invariant()
    def nothing_is_there_that_never_was(self) -> None:
        ended = {(name, revision) for name, revision, gone in self.events if gone}
        for store in self.followers:
            for item in store.items.values():
                if not item.is_tombstone:
                    assert (item.key, item.revision) not in ended
                    assert any(e[:2] == (item.key, item.revision) for e in self.events)

    @invariant()
    def the_root_is_right(self) -> None:
        assert {i.key: i.revision for i in self.root.items.values() if not i.is_tombstone} == self.live

    @invariant()
    def one_answer_of_the_root_is_enough(self) -> None:
        """A copy that follows the root once has what the root has, whatever it held before."""
        for store in self.followers:
            fresh = ReplicatedStore()
            fresh.apply(store.items.values())
            fresh.collected_up_to = store.collected_up_to
            take(fresh, follow(self.root, fresh))
            assert fresh.digest == self.root.digest
            assert fresh.items == self.root.items


CopiesTest = Copies.TestCase
CopiesTest.settings = settings(max_examples=300, stateful_step_count=30, deadline=None, derandomize=True)


class DigestTest(unittest.TestCase):
    def test_two_missed_changes_do_not_hide_one_another(self) -> None:
        """Provoked: sums of CRCs are linear, and two revs that changed alike cancelled each other out."""
        for first, second in ((10, 12), (100, 104), (1000, 1064)):
            older, newer = ReplicatedStore(), ReplicatedStore()
            older.apply([Item("server/a", first, b"{}"), Item("server/b", second, b"{}")])
            newer.apply([Item("server/a", first + 1, b"{}"), Item("server/b", second + 1, b"{}")])
            self.assertNotEqual(older.digest, newer.digest, first)


class CollectTest(unittest.TestCase):
    def test_an_item_older_than_what_was_collected_is_not_taken(self) -> None:
        store = ReplicatedStore()
        store.apply([Item("server/a", 1, b"{}"), Item("server/a", 2, b""), Item("server/b", 3, b"{}")])
        store.collect(2)
        self.assertEqual(0, store.tombstones)
        self.assertEqual([], store.apply([Item("server/a", 1, b"{}")]))
        self.assertEqual(["server/b"], list(store.items))

    def test_a_copy_that_lacks_something_keeps_its_tombstones(self) -> None:
        root, child = ReplicatedStore(), ReplicatedStore()
        root.apply([Item("server/a", 2, b""), Item("server/b", 3, b"{}")])
        child.apply([Item("server/a", 2, b"")])
        root.collect(2)
        self.assertFalse(child.matches(root.digest, root.collected_up_to))
        self.assertEqual([], child.apply([Item("server/a", 1, b"{}")]))

    def test_what_ended_meanwhile_is_told_to_watchers(self) -> None:
        root, child = ReplicatedStore(), ReplicatedStore()
        told: list[Item] = []
        child.watch(ServerRecord, told.append)
        child.apply([Item("server/a", 1, b"{}")])
        root.apply([Item("server/a", 1, b"{}"), Item("server/a", 2, b""), Item("server/b", 3, b"{}")])
        root.collect(3)
        take(child, follow(root, child))
        self.assertEqual([("server/a", True), ("server/b", False)], [(i.key, i.is_tombstone) for i in told[1:]])
        self.assertIsNone(child.record(ServerRecord, "a"))
        self.assertEqual(root.items, child.items)

    def test_counts(self) -> None:
        store = ReplicatedStore()
        store.apply([Item("server/a", 1, b"{}"), Item("server/b", 2, b"{}"), Item("server/a", 3, b"")])
        store.collect(3)
        same = ReplicatedStore()
        same.apply([Item("server/b", 2, b"{}")])
        self.assertEqual((same.digest, same.digests, same.bytes), (store.digest, store.digests, store.bytes))
        self.assertEqual(["b"], list(store.records(ServerRecord)))


if __name__ == "__main__":
    unittest.main()
