"""Garbage collection of the records of locks whose hold has expired and that have not been acquired since.

Fencing tokens come from a single counter for all locks, which is not deleted; a lock whose record was deleted therefore
never gets a lower token.
"""

from __future__ import annotations

from otterreach.controller.api.resource import ControlState
from otterreach.controller.coordination_records import LockRecord
from otterreach.controller.name_cursor import NameCursor
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.coordination.locks import is_expired
from otterreach.runtime.records import delete, key_of

RETENTION_S = 60.0  # retention of a record after its hold has expired
MAX_SCANNED = 256  # locks examined per run


class LockCollection:
    """Deletes the records of expired holds. Runs on the primary."""

    def __init__(self, control: ControlState, receipts: ReceiptTimes) -> None:
        self.control = control
        self.receipts = receipts
        self._cursor = NameCursor(LockRecord)

    def collect(self) -> None:
        """Examine the next batch of locks and delete the records that are past their retention."""
        names = self._cursor.take(self.control.state, MAX_SCANNED)
        expired = [name for name in names if self._is_past_retention(name)]
        if expired:
            self.control.propose([delete(LockRecord, name) for name in expired])

    def _is_past_retention(self, name: str) -> bool:
        state = self.control.state
        record = state.record(LockRecord, name)
        if record is None:
            return False
        age_s = self.receipts.age_s(state.items[key_of(LockRecord, name)])
        return is_expired(record.hold, age_s - RETENTION_S)
