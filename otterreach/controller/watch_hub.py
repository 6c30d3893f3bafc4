"""The pending watches of a primary: completed by commits and aborted when the primary steps down."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from otterreach.controller.coordination_records import EventRecord, split_event_name
from otterreach.coordination.watches import WatchTable
from otterreach.runtime.store import Item

MAX_WAITING = 4096


class TooManyWatchesError(Exception):
    """The limit of pending watches has been reached."""


class WatchHub:
    """The committed revision of each group and the watches that wait for the next one."""

    def __init__(self, limit: int = MAX_WAITING) -> None:
        self._committed: dict[str, int] = {}  # revision by group; never decreases, because commits are final
        self._waiting: WatchTable[asyncio.Future[bool]] = WatchTable(limit)

    @property
    def waiting(self) -> int:
        """Number of pending watches."""
        return len(self._waiting)

    def committed_revision(self, group: str) -> int:
        """Return the newest revision of a group that is on all replicas, as far as this primary knows."""
        return self._committed.get(group, 0)

    def items_committed(self, items: Iterable[Item]) -> None:
        """Record that these items are on all replicas, and wake the watches that wait for them."""
        reached: dict[str, int] = {}
        for item in items:
            if item.kind == EventRecord.KIND and not item.is_tombstone:
                group, _ = split_event_name(item.name)
                reached[group] = max(reached.get(group, 0), EventRecord.decode(item.value).event.revision)
        for group, revision in reached.items():
            self._committed[group] = max(revision, self.committed_revision(group))
            self._wake(self._waiting.take(group, revision), True)

    def abort(self) -> None:
        """Abort all pending watches: this controller is no longer the primary and is not notified of further puts."""
        self._wake(self._waiting.take_all(), False)

    def _wake(self, waiters: Iterable[asyncio.Future[bool]], reached: bool) -> None:
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(reached)

    async def wait(self, group: str, past: int, seconds: float) -> bool:
        """Wait until a revision above `past` is committed or the time-out elapses.

        :returns: False if the wait was aborted; True otherwise, including after a time-out
        :raises TooManyWatchesError: if the limit of pending watches has been reached
        """
        if self.committed_revision(group) > past:
            return True
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if not self._waiting.add(group, past, waiter):
            raise TooManyWatchesError
        try:
            async with asyncio.timeout(seconds):
                return await waiter
        except TimeoutError:
            return True
        finally:
            self._waiting.remove(group, waiter)
