"""Compaction of a journal: a background rewrite once the file is large and most of it is obsolete."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from otterreach.runtime.codes import Failure
from otterreach.runtime.journal import LiveSlices
from otterreach.runtime.log import log

RETRY_S = 30.0  # delay after a rewrite that did not replace the file, as on a full disk


class Rewritable(Protocol):
    """The interface of otterreach.runtime.journal.Journal that compaction uses."""

    size: int
    failed: Failure | None

    async def rewrite(self, live: LiveSlices) -> bool:
        """Replace the file by one that holds the live state; return False if it was not replaced."""


@dataclass(frozen=True, slots=True)
class Limits:
    """The thresholds of a rewrite: the file is larger than `bytes` and than `growth` times the live state."""

    bytes: int
    growth: float


class Compaction:
    """The compaction of one journal, with at most one rewrite at a time."""

    def __init__(self, journal: Rewritable, live: LiveSlices, live_bytes: Callable[[], int], limits: Limits) -> None:
        self.journal = journal
        self.live = live
        self.live_bytes = live_bytes
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self._running: asyncio.Task[None] | None = None
        self._retry_at = 0.0

    @property
    def due(self) -> bool:
        """True if the journal exceeds both thresholds."""
        size = self.journal.size
        return size > self.limits.bytes and size > self.limits.growth * self.live_bytes()

    def start_if_due(self) -> None:
        """Start a rewrite if one is due. The check is cheap, so that callers can make it after every append."""
        running = self._running is not None and not self._running.done()
        if running or self.journal.failed is not None or self.loop.time() < self._retry_at:
            return
        if self.due:
            self._running = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        before = self.journal.size
        started_at = self.loop.time()
        if await self.journal.rewrite(self.live):
            seconds = round(self.loop.time() - started_at, 3)
            log("journal_rewritten", before=before, after=self.journal.size, seconds=seconds)
        else:
            self._retry_at = self.loop.time() + RETRY_S
