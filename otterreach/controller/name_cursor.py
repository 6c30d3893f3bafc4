"""Iteration over all items of a kind in batches, which bounds the time for which one run blocks the event loop."""

from __future__ import annotations

from collections import deque

from otterreach.runtime.records import Record
from otterreach.runtime.store import ReplicatedStore


class NameCursor:
    """The position of a repeated scan over the items of one kind."""

    def __init__(self, kind: type[Record]) -> None:
        self.kind = kind
        self._remaining: deque[str] = deque()  # names not yet returned in the current pass

    def take(self, state: ReplicatedStore, limit: int) -> list[str]:
        """Return the next names, at most `limit`, each once per pass. The call after the last name starts a new pass.

        The result may contain names of items that were deleted since the pass began.
        """
        if not self._remaining:
            self._remaining.extend(state.names(self.kind))
        return [self._remaining.popleft() for _ in range(min(limit, len(self._remaining)))]
