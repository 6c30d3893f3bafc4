"""When each lock and each event came into this controller's state, on its own steady clock.

Nothing of this is on disk or goes to another machine: steady clocks can't be compared, not even across a restart. A
replica receives a write after the primary received the call that it is for; whatever is loaded from the journal or
comes in a snapshot was written before. So an age counted from here is never too high, and a hold that lasts for its
time from here never ends before its holder has stopped. A backup receives each renewal within a round trip, so that a
new primary lets holds end hardly later than the old one would have.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from otterreach.controller.coordination_records import EventRecord, LockRecord
from otterreach.runtime.store import Item

TIMED_KINDS = frozenset({LockRecord.KIND, EventRecord.KIND})


class ReceiptTimes:
    """The receipt of the newest revision of each timed item."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._received: dict[str, tuple[int, float]] = {}  # by key: the revision, and when it came

    def observe(self, items: Iterable[Item]) -> None:
        """These items are in the state; those whose revision is new here came just now."""
        for item in items:
            if item.kind in TIMED_KINDS:
                self._observe(item)

    def _observe(self, item: Item) -> float:
        if item.is_tombstone:
            self._received.pop(item.key, None)
            return self.clock()
        known = self._received.get(item.key)
        if known is not None and known[0] == item.revision:
            return known[1]
        now = self.clock()
        self._received[item.key] = (item.revision, now)
        return now

    def age_s(self, item: Item) -> float:
        """How long this revision of the item has been here; an item that wasn't observed came just now."""
        return self.clock() - self._observe(item)
