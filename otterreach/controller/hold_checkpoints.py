"""Writes down, now and then, how long each running hold of a lock still lasts.

A controller that takes over, or starts again, counts a hold from when it got the newest record of it, which may be long
after the call: from a snapshot or its own journal. No machine can tell another one, or its next process, a time on its
steady clock. So the primary replaces the record of a hold by one that says what is left: whoever goes on from it ends
the hold later than it would have ended here by the record's age at most. It never ends it sooner: what is left counts
from the receipt of the record, and that is after it was computed.
"""

from __future__ import annotations

from dataclasses import replace

from otterreach.controller.api.resource import ControlState
from otterreach.controller.coordination_records import LockRecord
from otterreach.controller.name_cursor import NameCursor
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.coordination.locks import left_ms
from otterreach.runtime.records import ItemChange, key_of, put

MAX_AGE_S = 1.0  # the record of a running hold is replaced once it is older
MIN_LEFT_MS = 500  # a hold that ends so soon needs no newer record
MAX_CHECKPOINTS = 256  # at a time
MAX_LOOKED_AT = 1024  # locks at a time


class HoldCheckpoints:
    """Run by the primary."""

    def __init__(self, control: ControlState, receipts: ReceiptTimes) -> None:
        self.control = control
        self.receipts = receipts
        self._cursor = NameCursor(LockRecord)

    def write_when_due(self) -> None:
        """Replace the records that are too old. Nobody waits for it: without it the older records hold on."""
        changes = self._due()
        if changes:
            self.control.propose(changes)

    def _due(self) -> list[ItemChange]:
        """The changes to make now, of a part of the locks."""
        changes: list[ItemChange] = []
        for name in self._cursor.take(self.control.state, MAX_LOOKED_AT):
            change = self._change(name)
            if change is not None and len(changes) < MAX_CHECKPOINTS:
                changes.append(change)
        return changes

    def _change(self, name: str) -> ItemChange | None:
        """The newer record of a lock, if one is due."""
        state = self.control.state
        record = state.record(LockRecord, name)
        if record is None:
            return None
        age_s = self.receipts.age_s(state.items[key_of(LockRecord, name)])
        left = left_ms(record.hold, age_s)
        if age_s < MAX_AGE_S or left < MIN_LEFT_MS:
            return None
        return put(LockRecord(replace(record.hold, hold_ms=left)), name)
