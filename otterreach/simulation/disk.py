"""A disk in memory and a journal on it, with the interface of otterreach.runtime.journal.Journal and its record format.

What was synced lasts; of what was written later, at a loss of power, some first part is there, perhaps torn, or none.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal import Record, pack, scan


class Disk:
    """One file, as the machine's kernel sees it (`data`) and as far as it lasts (`synced` bytes of it)."""

    def __init__(self, random: Random, sync_s: tuple[float, float] = (0.0005, 0.004)) -> None:
        self.random, self.sync_s = random, sync_s
        self.data = b""
        self.synced = 0
        self.broken = False  # refuses writes
        self.slow_s = 0.0

    def power_lost(self) -> None:
        """Of the unsynced rest: all, none, a part, or a part with bad bytes."""
        rest = self.data[self.synced :]
        kept = self.random.choice([b"", rest, rest[: self.random.randint(0, len(rest))], bytes(len(rest))])
        self.data = self.data[: self.synced] + kept
        self.synced = len(self.data)

    def wipe(self) -> None:
        self.data, self.synced = b"", 0

    def delay(self) -> float:
        return self.random.uniform(*self.sync_s) + self.slow_s


class VirtualJournal:
    """As otterreach.runtime.journal.Journal, on virtual time. An instance ends with its process; the disk stays."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.size = 0
        self.failed: Failure | None = None
        self._synced = 0
        self._pending: list[bytes] = []
        self._waiting: list[asyncio.Future[bool]] = []
        self._flushing: asyncio.Task[None] | None = None

    def read(self) -> list[Record]:
        records, end = scan(self.disk.data)
        self.disk.data = self.disk.data[:end]
        self.size = self._synced = self.disk.synced = end
        return records

    def append(self, kind: int, payload: bytes) -> None:
        record = pack(kind, payload, self._synced)
        self._pending.append(record)
        self.size += len(record)

    async def sync(self) -> bool:
        if self.failed:
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.ensure_future(self._flush())
        return await future

    async def _flush(self) -> None:
        while self._waiting and not self.failed:
            waiting, self._waiting = self._waiting, []
            data, self._pending = b"".join(self._pending), []
            await self._write(data)
            self._settle(waiting)
        if self.failed:
            waiting, self._waiting = self._waiting, []
            self._settle(waiting)

    async def _write(self, data: bytes) -> None:
        disk = self.disk
        if disk.broken:
            disk.data += data[: disk.random.randint(0, len(data))]
            self.failed = Failure(Code.DISK_FAILED, "input/output error")
            return
        disk.data += data
        # The process may be killed between the write and its sync; the thread that waits is not the loop's.
        await asyncio.sleep(disk.delay())
        if disk.broken:
            self.failed = Failure(Code.DISK_FAILED, "input/output error")
            return
        disk.synced = max(disk.synced, self._synced + len(data))
        self._synced += len(data)

    def _settle(self, waiting: list[asyncio.Future[bool]]) -> None:
        for future in waiting:
            if not future.done():
                future.set_result(self.failed is None)

    async def rewrite(self, live: Callable[[], Iterable[Record]]) -> bool:
        while self._flushing and not self._flushing.done():
            await asyncio.shield(self._flushing)
        if self.failed:
            return False
        self._pending = []
        if self.disk.broken:
            self.failed = Failure(Code.DISK_FAILED, "input/output error")
            return False
        self.disk.data = b"".join(pack(kind, payload, 0) for kind, payload in live())
        self.size = self._synced = self.disk.synced = len(self.disk.data)
        return True
