"""Deletes the events of puts that nobody can ask for any more, once they take much of the room in the control state.

A put takes the slot of an old event of its own group. Groups that are put into no more keep theirs, and so does a group
while the state is full, since it takes no put then: those events are deleted here. The newest event of a group stays,
for it holds the group's revision.
"""

from __future__ import annotations

from otterreach.controller.api.coordination_answers import MAX_STATE_BYTES
from otterreach.controller.api.resource import ControlState
from otterreach.controller.coordination_records import EventRecord, split_event_name
from otterreach.controller.group_histories import FollowedHistories
from otterreach.controller.name_cursor import NameCursor
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.runtime.records import delete, key_of

MAX_LOOKED_AT = 1024  # events at a time
ROOMY_BYTES = MAX_STATE_BYTES // 2  # in a smaller state old events harm nobody


class EventCollection:
    """Run by the primary."""

    def __init__(
        self, control: ControlState, histories: FollowedHistories, receipts: ReceiptTimes, kept_s: float
    ) -> None:
        """:param kept_s: so long the event of a put stays in its group's history at least"""
        self.control = control
        self.histories = histories
        self.receipts = receipts
        self.kept_s = kept_s
        self._cursor = NameCursor(EventRecord)

    def collect(self) -> None:
        """Look for old events among the next part of them, if they take much room."""
        state = self.control.state
        if state.bytes < ROOMY_BYTES:
            return
        old = [name for name in self._cursor.take(state, MAX_LOOKED_AT) if self._is_old(name)]
        if old:
            self.control.propose([delete(EventRecord, name) for name in old])

    def _is_old(self, name: str) -> bool:
        """Whether nobody can ask for an event any more. The newest one of a group is never old."""
        state = self.control.state
        record = state.record(EventRecord, name)
        group, _ = split_event_name(name)
        if record is None or record.event.revision >= self.histories.of(state).of(group).revision:
            return False
        return self.receipts.age_s(state.items[key_of(EventRecord, name)]) >= self.kept_s
