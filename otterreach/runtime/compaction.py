"""When a journal is rewritten: once it is long and most of it is out of date, as a background task."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from otterreach.runtime.codes import Failure
from otterreach.runtime.journal import LiveSlices
from otterreach.runtime.log import log

RETRY_S = 30.0  # after a rewrite that found no room


class Rewritable(Protocol):
    """otterreach.runtime.journal.Journal, or a stand-in."""

    size: int
    failed: Failure | None

    async def rewrite(self, live: LiveSlices) -> bool:
        """Replace the file by one that holds the live state."""


@dataclass(frozen=True, slots=True)
class Limits:
    """A journal is rewritten when it is longer than `bytes` and than `growth` times the live state."""

    bytes: int
    growth: float


class Compaction:
    """Rewrites one journal whenever it is due; at most one rewrite at a time."""

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
        """Whether the journal is long enough for a rewrite."""
        size = self.journal.size
        return size > self.limits.bytes and size > self.limits.growth * self.live_bytes()

    def start_if_due(self) -> None:
        """Begin a rewrite if it is time for one. Costs nothing worth counting otherwise: call it often."""
        running = self._running is not None and not self._running.done()
        if running or self.journal.failed is not None or self.loop.time() < self._retry_at:
            return
        if self.due:
            self._running = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        before = self.journal.size
        began = self.loop.time()
        if await self.journal.rewrite(self.live):
            seconds = round(self.loop.time() - began, 3)
            log("journal_rewritten", before=before, after=self.journal.size, seconds=seconds)
        else:
            self._retry_at = self.loop.time() + RETRY_S
