"""Garbage collection of events past their retention period, once the control state exceeds a size threshold.

A put overwrites an expired event of its own group. Groups that receive no more puts keep their expired events, and so
do all groups while the state is full, because puts are then rejected; those events are deleted here. The newest event
of a group is kept, since it stores the group's revision.
"""

from __future__ import annotations

from otterreach.controller.api.coordination_answers import MAX_STATE_BYTES
from otterreach.controller.api.resource import ControlState
from otterreach.controller.coordination_records import EventRecord, split_event_name
from otterreach.controller.group_histories import HistoryCache
from otterreach.controller.name_cursor import NameCursor
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.runtime.records import delete, key_of

MAX_SCANNED = 1024  # events examined per run
COLLECTION_THRESHOLD_BYTES = MAX_STATE_BYTES // 2  # size of the control state below which expired events are kept


class EventCollection:
    """Deletes expired events. Runs on the primary."""

    def __init__(
        self, control: ControlState, histories: HistoryCache, receipts: ReceiptTimes, retention_s: float
    ) -> None:
        """:param retention_s: the minimum time for which an event is retained in its group's history"""
        self.control = control
        self.histories = histories
        self.receipts = receipts
        self.retention_s = retention_s
        self._cursor = NameCursor(EventRecord)

    def collect(self) -> None:
        """Examine the next batch of events and delete the expired ones, if the state exceeds the size threshold."""
        state = self.control.state
        if state.bytes < COLLECTION_THRESHOLD_BYTES:
            return
        expired = [name for name in self._cursor.take(state, MAX_SCANNED) if self._is_expired(name)]
        if expired:
            self.control.propose([delete(EventRecord, name) for name in expired])

    def _is_expired(self, name: str) -> bool:
        """Return True if an event is past its retention period. The newest event of a group never expires."""
        state = self.control.state
        record = state.record(EventRecord, name)
        group, _ = split_event_name(name)
        if record is None or record.event.revision >= self.histories.of(state).of(group).revision:
            return False
        return self.receipts.age_s(state.items[key_of(EventRecord, name)]) >= self.retention_s
