"""Publishes the committed state to the relay tree, which distributes it to every other process."""

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
    """Return True if an item is not published, because only controllers use it."""
    return item.kind in PRIVATE_KINDS


class Publisher:
    """Publishes committed items at the primary, the root of the relay tree."""

    def __init__(self, replica: LocalReplica, follower: Follower) -> None:
        self.replica = replica
        self.follower = follower
        # Called with all committed items, including the private ones (see `is_private`), which are not published.
        self.on_committed: list[Callable[[list[Item]], None]] = []

    def publish(self, items: list[Item]) -> None:
        """Publish changes that are on disk at all members."""
        self._notify(items)
        newer = self.follower.store.apply(item for item in items if not is_private(item))
        self._publish_to_relay(newer)

    def publish_all(self, items: list[Item]) -> None:
        """Publish the complete state.

        Other items in the published replica, left from this controller's time as a follower, are deleted.
        """
        self._notify(items)
        public = [item for item in items if not is_private(item)]
        state = ReplicatedStore()
        state.apply(items)
        newer = self.follower.store.replace_ranges(range(RANGES), public, revision_to_collect(state))
        self._publish_to_relay(newer)

    def _notify(self, items: list[Item]) -> None:
        for observer in self.on_committed:
            observer(items)

    def _publish_to_relay(self, newer: list[Item]) -> None:
        revision = revision_to_collect(self.follower.store)  # committed, so all members have the change that set it
        self.follower.store.collect(revision)
        self.replica.store.collect(revision)
        self.follower.relay.publish(newer)
