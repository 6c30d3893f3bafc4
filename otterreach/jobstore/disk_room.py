"""Before a start: whether the disk takes writes. On a full one a process waits for room, and takes no part."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from otterreach.runtime.log import log

PROBE = "probe"
PROBE_BYTES = 4096
AGAIN_S = 0.5
LONGEST_S = 30.0  # then the start goes on, and fails as it has to


def takes_writes(folder: Path) -> bool:
    """Write and sync a small file, and remove it."""
    path = folder / PROBE
    try:
        folder.mkdir(parents=True, exist_ok=True)
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            written = os.write(file, bytes(PROBE_BYTES))
            os.fsync(file)
        finally:
            os.close(file)
            path.unlink(missing_ok=True)
    except OSError:
        return False
    return written == PROBE_BYTES


async def wait_for_room(folder: Path) -> None:
    """Until the disk takes writes, or for LONGEST_S."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    told = False
    while not await loop.run_in_executor(None, takes_writes, folder):
        if not told:
            log("disk_takes_nothing", level="ERROR", folder=folder)
        told = True
        if loop.time() - began > LONGEST_S:
            return
        await asyncio.sleep(AGAIN_S)
