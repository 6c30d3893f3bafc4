"""What the machine itself does meanwhile: how long a sync to disk takes, and how late timers run.

Many processes share one disk and its processors here. An answer that came late while both were quick is the system's.
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass, field
from pathlib import Path

PERIOD_S = 0.1
SLOW_S = 0.25  # a sync or a timer this late is kept
BLOCK = b"0" * 4096


@dataclass(frozen=True, slots=True)
class HostStall:
    """A sync or a timer that was late. `at`: the loop's time when it ended, in seconds."""

    at: float
    what: str
    seconds: float


@dataclass(slots=True)
class HostMonitor:
    """Measures until it is cancelled."""

    folder: Path
    stalls: list[HostStall] = field(default_factory=list)

    async def run(self) -> None:
        """Sync a block and run a timer, again and again; for ever."""
        loop = asyncio.get_running_loop()
        self.folder.mkdir(parents=True, exist_ok=True)
        file = self.folder / "sync-probe"
        while True:
            began = loop.time()
            await asyncio.sleep(PERIOD_S)
            self._note("timer", loop.time() - began - PERIOD_S)
            began = loop.time()
            await asyncio.to_thread(_sync_block, file)
            self._note("sync", loop.time() - began)

    def _note(self, what: str, seconds: float) -> None:
        if seconds >= SLOW_S:
            at = asyncio.get_running_loop().time()
            self.stalls.append(HostStall(round(at, 3), what, round(seconds, 3)))


def _sync_block(file: Path) -> None:
    descriptor = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    try:
        os.write(descriptor, BLOCK)
        os.fdatasync(descriptor)
    finally:
        os.close(descriptor)
