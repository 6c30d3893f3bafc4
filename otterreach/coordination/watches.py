"""Table of the waiters for new revisions of key groups.

A waiter is any object that the embedder wakes, for instance a future. A waiter costs one table entry and nothing else.

    >>> table = WatchTable(limit=100)
    >>> table.add("g1.", 7, "first")
    True
    >>> table.take("g1.", 7)
    []
    >>> table.take("g1.", 8)
    ['first']
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

WaiterT = TypeVar("WaiterT", bound=Hashable)


class WatchTable(Generic[WaiterT]):
    """Waiters, indexed by group."""

    def __init__(self, limit: int) -> None:
        """:param limit: the maximum number of waiters at a time"""
        self.limit = limit
        self._waiters: dict[str, dict[WaiterT, int]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, group: str, past: int, waiter: WaiterT) -> bool:
        """Register a waiter for a revision above `past`. Return False if the table is full."""
        if self._count >= self.limit:
            return False
        self._waiters.setdefault(group, {})[waiter] = past
        self._count += 1
        return True

    def remove(self, group: str, waiter: WaiterT) -> None:
        """Unregister a waiter. An unknown waiter is ignored."""
        waiters = self._waiters.get(group, {})
        if waiters.pop(waiter, None) is None:
            return
        self._count -= 1
        if not waiters:
            del self._waiters[group]

    def take(self, group: str, revision: int) -> list[WaiterT]:
        """Remove and return the waiters of a group that wait for this revision or a lower one."""
        waiters = self._waiters.get(group, {})
        reached = [waiter for waiter, past in waiters.items() if past < revision]
        for waiter in reached:
            self.remove(group, waiter)
        return reached

    def take_all(self) -> list[WaiterT]:
        """Remove and return all waiters."""
        all_waiters = [waiter for waiters in self._waiters.values() for waiter in waiters]
        self._waiters.clear()
        self._count = 0
        return all_waiters
