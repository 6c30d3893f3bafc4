"""How long writes to the disk have been waiting, and telling the controller of a disk that takes none.

The loop never waits for the disk, so a process whose disk stands still goes on answering pings: only it can know. The
controller gives its places to others, as if the machine were lost, until it hears no more of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from otterreach.jobstore.messages import DiskStalled
from otterreach.runtime.codes import Failure
from otterreach.runtime.log import log

if TYPE_CHECKING:
    from otterreach.runtime.node import Node

STALLED_S = 0.7  # a sync that takes so long: with the controller's next plan, within the time that a silent one takes
LOOK_S = 0.05
REPORT_S = 0.25
LATE_LOOK_S = 0.3  # this process stood still: the waiting is its own


class SyncedLog(Protocol):
    """The part of the journal that is watched."""

    failed: Failure | None

    async def sync(self) -> bool: ...


class DiskWatch:
    """All syncs of a journal go through here."""

    def __init__(self, journal: SyncedLog, now: Callable[[], float]) -> None:
        self.journal, self.now = journal, now
        self._began: dict[int, float] = {}  # syncs that are under way
        self._next = 0
        self._looked_at = now()
        self._reported_at = -1e9
        self._told = False

    async def sync(self) -> bool:
        """Everything appended so far is on disk. False: the disk has failed."""
        self._next += 1
        number = self._next
        self._began[number] = self.now()
        try:
            return await self.journal.sync()
        finally:
            del self._began[number]

    def waiting_s(self) -> float:
        """How long the oldest sync has been under way."""
        return self.now() - min(self._began.values(), default=self.now())

    @property
    def usable(self) -> bool:
        """Whether the disk takes writes, as far as is known."""
        return self.journal.failed is None and self.waiting_s() < STALLED_S

    async def run(self, node: Node) -> None:
        """For ever: look, and tell the controller again and again while the disk takes nothing."""
        while True:
            await asyncio.sleep(LOOK_S)
            self._look(node)

    def _look(self, node: Node) -> None:
        now = self.now()
        if now - self._looked_at > LATE_LOOK_S:
            self._began = dict.fromkeys(self._began, now)
        self._looked_at = now
        if self.usable:
            if self._told:
                log("disk_goes_on", node=node.settings.node)
            self._told = False
        elif now - self._reported_at > REPORT_S:
            self._report(node, now)

    def _report(self, node: Node, now: float) -> None:
        waiting_ms = int(self.waiting_s() * 1000)
        if not self._told:
            log("disk_stalled", level="WARNING", node=node.settings.node, waiting_ms=waiting_ms)
        self._told = True
        address = node.follower.primary
        link = node.endpoint.linked(address) if address else None
        if link:
            self._reported_at = now
            link.send(DiskStalled(node.settings.node, node.disk, waiting_ms))
        elif address:
            node.endpoint.spawn(node.endpoint.link(address))
