"""Tracks when each lock and each event entered this controller's state, on its own monotonic clock.

The times are neither stored nor sent to other machines, because monotonic clocks are not comparable between machines
or across restarts. A replica receives a write after the primary received the call that caused it, and items loaded
from the journal or from a snapshot were written earlier still. An age counted from the receipt is therefore never too
high, and a hold that is given its full duration from the receipt never expires before its holder has stopped. A backup
receives each renewal within a round trip, so a new primary expires holds only slightly later than the old one would
have.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from otterreach.controller.coordination_records import EventRecord, LockRecord
from otterreach.runtime.store import Item

TIMED_KINDS = frozenset({LockRecord.KIND, EventRecord.KIND})


class ReceiptTimes:
    """The time of receipt of the newest revision of each lock and event."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._received: dict[str, tuple[int, float]] = {}  # by key: the revision, and its time of receipt

    def observe(self, items: Iterable[Item]) -> None:
        """Record the current time for those of the items whose revision was not observed before."""
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
        """Return the seconds since this revision of the item was received; 0 if it was not observed before."""
        return self.clock() - self._observe(item)
