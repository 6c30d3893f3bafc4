"""Monitor of the host during a soak: the duration of syncs to disk and the lateness of timers.

All processes of a soak share one disk and the processors of one host. An answer that was late while syncs and timers
were on time is a delay of the system under test.
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass, field
from pathlib import Path

PERIOD_S = 0.1
STALL_THRESHOLD_S = 0.25  # syncs and timers at least this late are recorded
BLOCK = b"0" * 4096


@dataclass(frozen=True, slots=True)
class HostStall:
    """Sync or timer that was late. `at`: the event loop's time when it ended, in seconds."""

    at: float
    what: str
    seconds: float


@dataclass(slots=True)
class HostMonitor:
    """Records stalls of the host; its sync probe is written to `folder`."""

    folder: Path
    stalls: list[HostStall] = field(default_factory=list)

    async def run(self) -> None:
        """Alternate a timer and the sync of a block until cancelled."""
        loop = asyncio.get_running_loop()
        self.folder.mkdir(parents=True, exist_ok=True)
        file = self.folder / "sync-probe"
        while True:
            began = loop.time()
            await asyncio.sleep(PERIOD_S)
            self._record("timer", loop.time() - began - PERIOD_S)
            began = loop.time()
            await asyncio.to_thread(_sync_block, file)
            self._record("sync", loop.time() - began)

    def _record(self, what: str, seconds: float) -> None:
        if seconds >= STALL_THRESHOLD_S:
            at = asyncio.get_running_loop().time()
            self.stalls.append(HostStall(round(at, 3), what, round(seconds, 3)))


def _sync_block(file: Path) -> None:
    descriptor = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    try:
        os.write(descriptor, BLOCK)
        os.fdatasync(descriptor)
    finally:
        os.close(descriptor)
