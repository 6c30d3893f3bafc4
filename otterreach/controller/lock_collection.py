"""Deletes the records of holds that ended long ago and that nobody has asked for since.

A fencing token comes from one counter for all locks, which stays: so a lock whose record is gone gets no lower one.
"""

from __future__ import annotations

from collections.abc import Callable

from otterreach.controller.api.resource import ControlState
from otterreach.controller.coordination_records import LockRecord
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.coordination.locks import is_over
from otterreach.runtime.records import delete, key_of

COLLECT_INTERVAL_S = 10.0
KEPT_S = 60.0  # a record stays for so long after its hold has ended
MAX_COLLECTED = 256  # at a time


class LockCollection:
    """Run by the primary."""

    def __init__(self, control: ControlState, receipts: ReceiptTimes, clock: Callable[[], float]) -> None:
        self.control = control
        self.receipts = receipts
        self.clock = clock
        self._collected_at = clock()

    def collect_when_due(self) -> None:
        """Look for ended holds now and then."""
        now = self.clock()
        if now - self._collected_at < COLLECT_INTERVAL_S:
            return
        self._collected_at = now
        ended = self._ended()
        if ended:
            self.control.propose([delete(LockRecord, name) for name in ended])

    def _ended(self) -> list[str]:
        state = self.control.state
        ended = []
        for name, record in state.records(LockRecord).items():
            age_s = self.receipts.age_s(state.items[key_of(LockRecord, name)])
            if is_over(record.hold, age_s - KEPT_S):
                ended.append(name)
        return ended[:MAX_COLLECTED]
