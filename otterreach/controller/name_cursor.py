"""Goes through all items of a kind in parts, so that no look at them holds up the loop, however many there are."""

from __future__ import annotations

from collections import deque

from otterreach.runtime.records import Record
from otterreach.runtime.store import ReplicatedStore


class NameCursor:
    """Where a repeated look at the items of one kind has come to."""

    def __init__(self, kind: type[Record]) -> None:
        self.kind = kind
        self._left: deque[str] = deque()  # of the present pass

    def take(self, state: ReplicatedStore, limit: int) -> list[str]:
        """The next names, so many at most, and each once; after the last one a new pass begins with the next call.

        Names of items that have been deleted since the pass began may be among them.
        """
        if not self._left:
            self._left.extend(state.names(self.kind))
        return [self._left.popleft() for _ in range(min(limit, len(self._left)))]
