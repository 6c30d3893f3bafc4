"""Hands the committed state to the relay tree, by which it reaches every other process."""

from __future__ import annotations

from collections.abc import Callable

from otterreach.controller.coordination_records import COORDINATION_KINDS
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.tombstones import revision_to_collect
from otterreach.runtime.records import AcceptedChange
from otterreach.runtime.relay import Follower
from otterreach.runtime.store import RANGES, Item, ReplicatedStore

PRIVATE_KINDS = frozenset({AcceptedChange.KIND}) | COORDINATION_KINDS


def is_private(item: Item) -> bool:
    """Whether an item stays among the controllers: no other process has a use for it."""
    return item.kind in PRIVATE_KINDS


class Publisher:
    """The primary's root of the relay tree."""

    def __init__(self, replica: LocalReplica, follower: Follower) -> None:
        self.replica = replica
        self.follower = follower
        self.on_committed: list[Callable[[list[Item]], None]] = []  # called with private items, too

    def publish(self, items: list[Item]) -> None:
        """These changes are on disk at all members."""
        self._notify(items)
        newer = self.follower.store.apply(item for item in items if not is_private(item))
        self._pass_on(newer)

    def publish_all(self, items: list[Item]) -> None:
        """These are all items there are: what the published replica had besides, as a follower, is deleted."""
        self._notify(items)
        public = [item for item in items if not is_private(item)]
        state = ReplicatedStore()
        state.apply(items)
        newer = self.follower.store.replace_ranges(range(RANGES), public, revision_to_collect(state))
        self._pass_on(newer)

    def _notify(self, items: list[Item]) -> None:
        for observer in self.on_committed:
            observer(items)

    def _pass_on(self, newer: list[Item]) -> None:
        revision = revision_to_collect(self.follower.store)  # all members have the change that says so
        self.follower.store.collect(revision)
        self.replica.store.collect(revision)
        self.follower.relay.publish(newer)
