"""Check before the start that the disk takes writes. On a full disk the process waits for space and does not join."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from otterreach.runtime.log import log

PROBE_FILE = "probe"
PROBE_BYTES = 4096
RETRY_S = 0.5
MAX_WAIT_S = 30.0  # the start then continues, and fails if the disk still takes no writes


def is_writable(folder: Path) -> bool:
    """Write, sync and remove a small file. Return False if that fails."""
    path = folder / PROBE_FILE
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


async def wait_until_writable(folder: Path) -> None:
    """Wait until the disk takes writes, at most for MAX_WAIT_S."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    logged = False
    while not await loop.run_in_executor(None, is_writable, folder):
        if not logged:
            log("disk_unwritable", level="ERROR", folder=folder)
        logged = True
        if loop.time() - began > MAX_WAIT_S:
            return
        await asyncio.sleep(RETRY_S)
