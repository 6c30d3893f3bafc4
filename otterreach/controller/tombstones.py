"""When the tombstones of the control state are dropped: some minutes after nobody can need them any more.

The item `collected` holds {rev, marks}: tombstones up to `rev` are dropped at every copy, and `marks` are how far the
state was at the ends of the last periods. After each period that one primary has seen whole, on its steady clock, the
oldest mark becomes `rev`. So a tombstone is kept for PERIODS periods at least, whoever is primary; a change of primary
begins the present period anew. Why that is safe: docs/control-state.md.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from otterreach.runtime.store import ReplicatedStore

KEY = "collected"
PERIOD_S = 60.0
PERIODS = 5  # so a late call of a server that has ended finds its tombstone for five minutes


def collected_rev(state: ReplicatedStore) -> int:
    """Up to which rev tombstones are to be dropped, as the state has it."""
    value = state.get(KEY)
    return int(value["rev"]) if value else 0


class TombstoneClock:
    """Run by the primary: tells when a period is over and what the item has to hold then."""

    def __init__(self, state: Callable[[], ReplicatedStore]) -> None:
        self.state = state
        self._began_at = 0.0

    def begin_period(self, now: float) -> None:
        """This controller has become primary: it has not seen the present period from its start."""
        self._began_at = now

    def due_change(self, now: float) -> list[tuple[str, bytes]]:
        """The change to make now, or none."""
        if now - self._began_at < PERIOD_S:
            return []
        self._began_at = now
        state = self.state()
        if not state.tombstones:
            return []
        known = state.get(KEY) or {"rev": 0, "marks": []}
        marks = [*known["marks"], state.rev]
        rev = known["rev"]
        while len(marks) > PERIODS:
            rev = marks.pop(0)
        return [(KEY, json.dumps({"rev": rev, "marks": marks}).encode())]
