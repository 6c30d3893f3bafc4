"""When the tombstones of the control state are dropped: some minutes after nobody can need them any more.

The item `collected` holds the revision up to which tombstones are dropped at every replica, and the state's revisions
at the ends of the last periods. After each period that one primary has seen from its start, on its monotonic clock, the
oldest of those becomes the revision to drop up to. So a tombstone is kept for PERIODS periods at least, whoever is
primary; a change of primary begins the present period anew. Why that is safe: docs/control-state.md.
"""

from __future__ import annotations

from collections.abc import Callable

from otterreach.runtime.records import CollectedRecord, ItemChange, put
from otterreach.runtime.store import ReplicatedStore

PERIOD_S = 60.0
PERIODS = 5  # so a late call of a server that has ended finds its tombstone for five minutes


def revision_to_collect(state: ReplicatedStore) -> int:
    """The revision up to which tombstones are to be dropped, as the state has it."""
    record = state.record(CollectedRecord)
    return record.revision if record else 0


class TombstoneClock:
    """Run by the primary: says when a period is over, and what the item has to hold then."""

    def __init__(self, state: Callable[[], ReplicatedStore]) -> None:
        self.state = state
        self._began_at = 0.0

    def begin_period(self, now: float) -> None:
        """This controller has become primary: it has not seen the present period from its start."""
        self._began_at = now

    def due_change(self, now: float) -> list[ItemChange]:
        """The change to make now, or none."""
        if now - self._began_at < PERIOD_S:
            return []
        self._began_at = now
        state = self.state()
        if not state.tombstones:
            return []
        known = state.record(CollectedRecord) or CollectedRecord()
        period_ends = [*known.period_ends, state.revision]
        revision = known.revision
        while len(period_ends) > PERIODS:
            revision = period_ends.pop(0)
        return [put(CollectedRecord(revision, tuple(period_ends)))]
