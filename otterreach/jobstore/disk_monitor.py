"""Detection of a stalled disk: measures how long syncs are in progress, and reports to the controller.

The event loop never waits for the disk, so a process whose disk stalls goes on answering pings, and no other process
can detect the stall. The controller places its replicas elsewhere, as if the machine were lost, until the reports end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from otterreach.jobstore.messages import DiskStalled
from otterreach.runtime.codes import Failure
from otterreach.runtime.log import log
from otterreach.runtime.node import Node

# A sync in progress for this time counts as a stall. With the wait for the controller's next plan, the replicas of a
# stalled disk are replaced as soon as those of a machine without heartbeats.
STALLED_S = 0.7
CHECK_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 0.25
LATE_CHECK_S = 0.3  # after a longer pause between checks this process was stalled, not the disk
NEVER_S = -1e9


class SyncedLog(Protocol):
    """The part of the journal's interface that is monitored."""

    failed: Failure | None

    async def sync(self) -> bool:
        """Sync everything appended so far to disk. Return False if the disk has failed."""


class DiskMonitor:
    """Measures the syncs of a journal; all of them go through this object."""

    def __init__(self, journal: SyncedLog, now: Callable[[], float]) -> None:
        self.journal = journal
        self.now = now
        self._began_at: dict[int, float] = {}  # by number: start times of the syncs in progress
        self._last_sync = 0
        self._checked_at = now()
        self._reported_at = NEVER_S
        self._stall_logged = False

    async def sync(self) -> bool:
        """Sync everything appended so far to disk. Return False if the disk has failed."""
        self._last_sync += 1
        number = self._last_sync
        self._began_at[number] = self.now()
        try:
            return await self.journal.sync()
        finally:
            del self._began_at[number]

    def waiting_s(self) -> float:
        """Return how long the oldest sync has been in progress."""
        now = self.now()
        return now - min(self._began_at.values(), default=now)

    @property
    def usable(self) -> bool:
        """True if the disk has neither failed nor stalled, as far as this process knows."""
        return self.journal.failed is None and self.waiting_s() < STALLED_S

    async def run(self, node: Node) -> None:
        """Check the disk, and report to the controller while it takes no writes, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check(node)

    def _check(self, node: Node) -> None:
        now = self.now()
        if now - self._checked_at > LATE_CHECK_S:
            self._began_at = dict.fromkeys(self._began_at, now)
        self._checked_at = now
        if self.usable:
            if self._stall_logged:
                log("disk_recovered", node=node.settings.node)
            self._stall_logged = False
        elif now - self._reported_at > REPORT_INTERVAL_S:
            self._report(node, now)

    def _report(self, node: Node, now: float) -> None:
        waiting_ms = int(self.waiting_s() * 1000)
        if not self._stall_logged:
            log("disk_stalled", level="WARNING", node=node.settings.node, waiting_ms=waiting_ms)
        self._stall_logged = True
        address = node.follower.primary
        link = node.endpoint.open_link(address) if address else None
        if link:
            self._reported_at = now
            link.send(DiskStalled(node.settings.node, node.disk, waiting_ms))
        elif address:
            node.endpoint.spawn(node.endpoint.link(address))
