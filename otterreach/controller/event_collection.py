"""Deletes the events of puts that nobody can ask for any more, once they take much of the room in the control state.

A put takes the slot of an old event of its own group. Groups that are put into no more keep theirs, and so does a group
while the state is full, since it takes no put then: those events are deleted here. The newest event of a group stays,
for it holds the group's revision.
"""

from __future__ import annotations

from collections.abc import Callable

from otterreach.controller.api.coordination_answers import MAX_STATE_BYTES
from otterreach.controller.api.resource import ControlState
from otterreach.controller.coordination_records import EventRecord, split_event_name
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.runtime.records import delete, key_of

COLLECT_INTERVAL_S = 10.0
MAX_COLLECTED = 4096  # at a time
ROOMY_BYTES = MAX_STATE_BYTES // 2  # in a smaller state old events harm nobody


class EventCollection:
    """Run by the primary."""

    def __init__(
        self, control: ControlState, receipts: ReceiptTimes, kept_s: float, clock: Callable[[], float]
    ) -> None:
        """:param kept_s: so long the event of a put stays in its group's history at least"""
        self.control = control
        self.receipts = receipts
        self.kept_s = kept_s
        self.clock = clock
        self._collected_at = clock()

    def collect_when_due(self) -> None:
        """Look for old events now and then."""
        now = self.clock()
        if now - self._collected_at < COLLECT_INTERVAL_S or self.control.state.bytes < ROOMY_BYTES:
            return
        self._collected_at = now
        old = self._old()
        if old:
            self.control.propose([delete(EventRecord, name) for name in old])

    def _old(self) -> list[str]:
        """The names of the oldest of those that may be deleted."""
        state = self.control.state
        records = state.records(EventRecord)
        newest: dict[str, int] = {}
        for name, record in records.items():
            group, _ = split_event_name(name)
            newest[group] = max(newest.get(group, 0), record.event.revision)
        old = []
        for name, record in records.items():
            group, _ = split_event_name(name)
            age_s = self.receipts.age_s(state.items[key_of(EventRecord, name)])
            if age_s >= self.kept_s and record.event.revision < newest[group]:
                old.append((-age_s, name))
        return [name for _, name in sorted(old)[:MAX_COLLECTED]]
