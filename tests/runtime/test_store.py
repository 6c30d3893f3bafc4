"""Replicas of the control state that synchronize while tombstones are collected (otterreach/runtime/store.py)."""

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
    """The answer of a parent, like Changes of otterreach.runtime.relay."""

    items: list[Item]
    digest: int
    collected: int
    ranges: list[int] = field(default_factory=list)


def answer_with(parent: ReplicatedStore, items: list[Item]) -> Answer:
    return Answer(items, parent.digest, parent.collected_up_to)


def follow(parent: ReplicatedStore, child: ReplicatedStore) -> Answer:
    ranges = parent.differing_ranges(child.digests)
    return Answer(parent.in_ranges(ranges), parent.digest, parent.collected_up_to, ranges)


def apply_answer(child: ReplicatedStore, answer: Answer) -> list[Item]:
    newer = child.replace_ranges(answer.ranges, answer.items, answer.collected)
    child.matches(answer.digest, answer.collected)
    return newer


class Copies(RuleBasedStateMachine):
    """One root at a time, and followers that sync from any replica, miss changes and receive answers late."""

    def __init__(self) -> None:
        super().__init__()
        self.root = ReplicatedStore()
        self.followers = [ReplicatedStore() for _ in range(FOLLOWERS)]
        self.revision = 0
        self.live: dict[str, int] = {}  # live items of the root: key -> revision
        # By follower: the highest revision that it has seen of each key, deletions included.
        self.seen: list[dict[str, int]] = [{} for _ in range(FOLLOWERS)]
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

    def get(self, child: int, answer: Answer) -> None:
        apply_answer(self.followers[child], answer)

    @rule(name=key, receivers=st.sets(copy))
    def put(self, name: str, receivers: set[int]) -> None:
        item = self.change(name, b"{}")
        for child in receivers:
            self.get(child, answer_with(self.root, [item]))

    @rule(name=key, receivers=st.sets(copy))
    def delete(self, name: str, receivers: set[int]) -> None:
        item = self.change(name, b"")
        for child in receivers:
            self.get(child, answer_with(self.root, [item]))

    @rule(revisions_kept=st.integers(0, 4), receivers=st.sets(copy))
    def collect(self, revisions_kept: int, receivers: set[int]) -> None:
        """The root drops its tombstones except those of the newest few revisions."""
        self.root.collect(max(0, self.revision - revisions_kept))
        for child in receivers:
            self.get(child, answer_with(self.root, []))

    @rule(child=copy)
    def follow_root(self, child: int) -> None:
        self.get(child, follow(self.root, self.followers[child]))

    @rule(child=copy, parent=copy)
    def follow_another(self, child: int, parent: int) -> None:
        self.get(child, follow(self.followers[parent], self.followers[child]))

    @rule(child=copy, parent=copy)
    def ask_for_late_answer(self, child: int, parent: int) -> None:
        self.late.append(follow(self.followers[parent], self.followers[child]))

    @rule(child=copy, data=st.data())
    def get_late_answer(self, child: int, data: st.DataObject) -> None:
        if self.late:
            self.get(child, self.late.pop(data.draw(st.integers(0, len(self.late) - 1))))

    @rule(child=copy, name=key)
    def relayed(self, child: int, name: str) -> None:
        """A single item of another replica, with the replica's digest and collected revision."""
        for parent in self.followers:
            if name in parent.items:
                self.get(child, answer_with(parent, [parent.items[name]]))

    @rule(child=copy)
    def new_primary(self, child: int) -> None:
        """A controller that was a follower becomes the root and publishes the state that it holds as a backup."""
        state = self.root
        store = self.followers[child]
        apply_answer(store, Answer(list(state.items.values()), state.digest, state.collected_up_to, list(range(128))))
        assert store.digest == state.digest
        self.followers[child], self.root = state, store
        self.seen[child] = {}

    @rule(child=copy)
    def restart(self, child: int) -> None:
        self.followers[child] = ReplicatedStore()
        self.seen[child] = {}

    @invariant()
    def no_replica_goes_back(self) -> None:
        """No replica returns to an older revision of an item than it has seen, deletions included."""
        for store, seen in zip(self.followers, self.seen, strict=True):
            for item in store.items.values():
                assert item.revision >= seen.get(item.key, 0), f"{item} after {seen[item.key]}"
                seen[item.key] = item.revision
            for name in KEYS:
                if name not in store.items:
                    seen[name] = max(seen.get(name, 0), store.collected_up_to)

    @invariant()
    def no_replica_has_an_item_that_never_existed(self) -> None:
        ended = {(name, revision) for name, revision, gone in self.events if gone}
        for store in self.followers:
            for item in store.items.values():
                if not item.is_tombstone:
                    assert (item.key, item.revision) not in ended
                    assert any(e[:2] == (item.key, item.revision) for e in self.events)

    @invariant()
    def the_root_has_the_live_items(self) -> None:
        assert {i.key: i.revision for i in self.root.items.values() if not i.is_tombstone} == self.live

    @invariant()
    def one_answer_of_the_root_is_sufficient(self) -> None:
        """A replica that syncs with the root once equals the root, whatever its previous state."""
        for store in self.followers:
            fresh = ReplicatedStore()
            fresh.apply(store.items.values())
            fresh.collected_up_to = store.collected_up_to
            apply_answer(fresh, follow(self.root, fresh))
            assert fresh.digest == self.root.digest
            assert fresh.items == self.root.items


CopiesTest = Copies.TestCase
CopiesTest.settings = settings(max_examples=300, stateful_step_count=30, deadline=None, derandomize=True)


class DigestTest(unittest.TestCase):
    def test_two_missed_changes_do_not_cancel_out(self) -> None:
        """Digests were sums of CRCs, which are linear: two revisions that changed alike cancelled each other out."""
        for first, second in ((10, 12), (100, 104), (1000, 1064)):
            older, newer = ReplicatedStore(), ReplicatedStore()
            older.apply([Item("server/a", first, b"{}"), Item("server/b", second, b"{}")])
            newer.apply([Item("server/a", first + 1, b"{}"), Item("server/b", second + 1, b"{}")])
            self.assertNotEqual(older.digest, newer.digest, first)


class CollectTest(unittest.TestCase):
    def test_an_item_older_than_the_collected_revision_is_ignored(self) -> None:
        store = ReplicatedStore()
        store.apply([Item("server/a", 1, b"{}"), Item("server/a", 2, b""), Item("server/b", 3, b"{}")])
        store.collect(2)
        self.assertEqual(0, store.tombstones)
        self.assertEqual([], store.apply([Item("server/a", 1, b"{}")]))
        self.assertEqual(["server/b"], list(store.items))

    def test_an_incomplete_replica_keeps_its_tombstones(self) -> None:
        root, child = ReplicatedStore(), ReplicatedStore()
        root.apply([Item("server/a", 2, b""), Item("server/b", 3, b"{}")])
        child.apply([Item("server/a", 2, b"")])
        root.collect(2)
        self.assertFalse(child.matches(root.digest, root.collected_up_to))
        self.assertEqual([], child.apply([Item("server/a", 1, b"{}")]))

    def test_watchers_are_notified_of_collected_deletions(self) -> None:
        root, child = ReplicatedStore(), ReplicatedStore()
        notified: list[Item] = []
        child.watch(ServerRecord, notified.append)
        child.apply([Item("server/a", 1, b"{}")])
        root.apply([Item("server/a", 1, b"{}"), Item("server/a", 2, b""), Item("server/b", 3, b"{}")])
        root.collect(3)
        apply_answer(child, follow(root, child))
        self.assertEqual([("server/a", True), ("server/b", False)], [(i.key, i.is_tombstone) for i in notified[1:]])
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
