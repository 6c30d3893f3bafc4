"""The host monitor records slow syncs and late timers only."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from unittest import mock

from otterreach.soak import host
from otterreach.soak.host import HostMonitor, HostStall
from tests import virtual


def test_slow_syncs_and_late_timers_are_recorded(tmp_path: Path) -> None:
    loop = virtual.VirtualLoop()
    syncs_s = iter([0.01, 0.6, 0.01])

    async def sync_in_thread(*_: object) -> None:
        await asyncio.sleep(next(syncs_s, 0.01))

    async def main() -> None:
        monitor = HostMonitor(tmp_path / "host")
        with mock.patch.object(asyncio, "to_thread", sync_in_thread):
            task = asyncio.ensure_future(monitor.run())
            await asyncio.sleep(1.05)
            loop.freeze(2.0)
            await asyncio.sleep(1.0)
            task.cancel()
        sync, timer = monitor.stalls
        assert (sync.what, sync.seconds) == ("sync", 0.6)
        assert timer.what == "timer"
        assert 1.8 < timer.seconds <= 2.0

    virtual.run(main, loop)


def test_a_block_is_synced(tmp_path: Path) -> None:
    began = time.monotonic()
    host._sync_block(tmp_path / "probe")
    assert (tmp_path / "probe").stat().st_size == len(host.BLOCK)
    assert HostStall(0.0, "sync", time.monotonic() - began).seconds >= 0
