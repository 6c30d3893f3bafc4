"""Checkpoints of lock holds: periodically stores the remaining duration of each active hold.

A controller that becomes primary or restarts counts a hold from when it received the newest record of it, from a
snapshot or its own journal, which may be long after the call. A time on a monotonic clock is meaningless on another
machine and after a restart. The primary therefore replaces the record of a hold with one that gives the remaining
duration. A controller that continues from it ends the hold later than the primary would have, by at most the age of
the record. It never ends the hold earlier, because the remaining duration counts from the receipt of the record, which
is after the duration was computed.
"""

from __future__ import annotations

from dataclasses import replace

from otterreach.controller.api.resource import ControlState
from otterreach.controller.coordination_records import LockRecord
from otterreach.controller.name_cursor import NameCursor
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.coordination.locks import remaining_ms
from otterreach.runtime.records import ItemChange, key_of, put

MAX_AGE_S = 1.0  # age at which the record of an active hold is replaced
MIN_REMAINING_MS = 500  # a hold with less remaining time needs no newer record
MAX_CHECKPOINTS = 256  # records written per run
MAX_SCANNED = 1024  # locks examined per run


class HoldCheckpoints:
    """Writes the checkpoints. Runs on the primary."""

    def __init__(self, control: ControlState, receipts: ReceiptTimes) -> None:
        self.control = control
        self.receipts = receipts
        self._cursor = NameCursor(LockRecord)

    def write_when_due(self) -> None:
        """Replace outdated records. The write is not awaited: if it fails, the older records stay valid."""
        changes = self._due()
        if changes:
            self.control.propose(changes)

    def _due(self) -> list[ItemChange]:
        """Return the changes that are due in the next batch of locks."""
        changes: list[ItemChange] = []
        for name in self._cursor.take(self.control.state, MAX_SCANNED):
            change = self._change(name)
            if change is not None and len(changes) < MAX_CHECKPOINTS:
                changes.append(change)
        return changes

    def _change(self, name: str) -> ItemChange | None:
        """Return the change that replaces the record of a lock, or None if it is not due."""
        state = self.control.state
        record = state.record(LockRecord, name)
        if record is None:
            return None
        age_s = self.receipts.age_s(state.items[key_of(LockRecord, name)])
        remaining = remaining_ms(record.hold, age_s)
        if age_s < MAX_AGE_S or remaining < MIN_REMAINING_MS:
            return None
        return put(LockRecord(replace(record.hold, hold_ms=remaining)), name)
