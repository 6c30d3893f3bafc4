"""The waiting watches of a primary: woken by commits, ended at a step down."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from otterreach.controller.coordination_records import EventRecord, split_event_name
from otterreach.coordination.watches import WatchTable
from otterreach.runtime.store import Item

MAX_WAITING = 4096


class TooManyWatchesError(Exception):
    """No further watch may wait."""


class WatchHub:
    """The revision that each group has at all members, and who waits for the next one."""

    def __init__(self, limit: int = MAX_WAITING) -> None:
        self._committed: dict[str, int] = {}  # only rises: what is committed stays
        self._waiting: WatchTable[asyncio.Future[bool]] = WatchTable(limit)

    @property
    def waiting(self) -> int:
        """How many watches wait."""
        return len(self._waiting)

    def committed_revision(self, group: str) -> int:
        """The newest revision of a group that all members have, to this primary's knowledge."""
        return self._committed.get(group, 0)

    def items_committed(self, items: Iterable[Item]) -> None:
        """These items are at all members: wake those who wait for them."""
        reached: dict[str, int] = {}
        for item in items:
            if item.kind == EventRecord.KIND and not item.is_tombstone:
                group, _ = split_event_name(item.name)
                reached[group] = max(reached.get(group, 0), EventRecord.decode(item.value).event.revision)
        for group, revision in reached.items():
            self._committed[group] = max(revision, self.committed_revision(group))
            self._wake(self._waiting.take(group, revision), True)

    def abandon(self) -> None:
        """This controller is no primary any more: nobody here learns of further puts."""
        self._wake(self._waiting.take_all(), False)

    def _wake(self, waiters: Iterable[asyncio.Future[bool]], reached: bool) -> None:
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(reached)

    async def wait(self, group: str, past: int, seconds: float) -> bool:
        """Wait until a revision above `past` is committed, for so long at most.

        :returns: False if the wait was abandoned. True otherwise, also once the time is over.
        :raises TooManyWatchesError: nobody was let wait
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
