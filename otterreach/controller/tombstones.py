"""Collection of the control state's tombstones, some minutes after the last moment at which they can be needed.

The item `collected` holds the revision up to which every replica drops tombstones, and the state's revisions at the
ends of the last periods. After each period that one primary has seen in full, on its monotonic clock, the oldest of
these revisions becomes the revision to drop up to. A tombstone is therefore kept for at least PERIODS periods across
changes of primary; a change of primary restarts the current period. docs/control-state.md explains why this is safe.
"""

from __future__ import annotations

from collections.abc import Callable

from otterreach.runtime.records import CollectedRecord, ItemChange, put
from otterreach.runtime.store import ReplicatedStore

PERIOD_S = 60.0
PERIODS = 5  # a late call of a server that has ended finds its tombstone for at least five minutes


def revision_to_collect(state: ReplicatedStore) -> int:
    """Return the revision up to which tombstones are to be dropped, as recorded in the state."""
    record = state.record(CollectedRecord)
    return record.revision if record else 0


class TombstoneClock:
    """Determines, at the primary, the ends of periods and the resulting changes of the item `collected`."""

    def __init__(self, state: Callable[[], ReplicatedStore]) -> None:
        self.state = state
        self._began_at = 0.0

    def begin_period(self, now: float) -> None:
        """Start a new period. Called on becoming primary, since the current one was not seen from its start."""
        self._began_at = now

    def due_change(self, now: float) -> list[ItemChange]:
        """Return the change to make at the end of a period, else an empty list."""
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
