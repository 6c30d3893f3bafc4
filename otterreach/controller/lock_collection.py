"""Deletes the records of holds that ended long ago and that nobody has asked for since.

A fencing token comes from one counter for all locks, which stays: so a lock whose record is gone gets no lower one.
"""

from __future__ import annotations

from otterreach.controller.api.resource import ControlState
from otterreach.controller.coordination_records import LockRecord
from otterreach.controller.name_cursor import NameCursor
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.coordination.locks import is_over
from otterreach.runtime.records import delete, key_of

KEPT_S = 60.0  # a record stays for so long after its hold has ended
MAX_LOOKED_AT = 256  # locks at a time


class LockCollection:
    """Run by the primary."""

    def __init__(self, control: ControlState, receipts: ReceiptTimes) -> None:
        self.control = control
        self.receipts = receipts
        self._cursor = NameCursor(LockRecord)

    def collect(self) -> None:
        """Look for ended holds among the next part of the locks."""
        names = self._cursor.take(self.control.state, MAX_LOOKED_AT)
        ended = [name for name in names if self._ended_long_ago(name)]
        if ended:
            self.control.propose([delete(LockRecord, name) for name in ended])

    def _ended_long_ago(self, name: str) -> bool:
        state = self.control.state
        record = state.record(LockRecord, name)
        if record is None:
            return False
        age_s = self.receipts.age_s(state.items[key_of(LockRecord, name)])
        return is_over(record.hold, age_s - KEPT_S)
