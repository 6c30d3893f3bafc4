"""A disk in memory and a journal on it, with the interface of otterreach.runtime.journal.Journal and its record format.

Synced data survives a power loss; of data written later, a prefix (possibly torn) survives, or none.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from random import Random

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal import LiveSlices, Slice
from otterreach.runtime.journal_format import Record, pack, scan

SLICES_PER_SYNC = 4  # a rewrite writes this many slices in the time of one sync


class Disk:
    """One file: its content as the kernel sees it (`data`), of which `synced` bytes are durable."""

    def __init__(self, random: Random, sync_s: tuple[float, float] = (0.0005, 0.004)) -> None:
        self.random = random
        self.sync_s = sync_s
        self.data = b""
        self.synced = 0
        self.broken = False  # writes fail
        self.slow_s = 0.0
        self.stalled_until = 0.0  # virtual time before which no sync completes
        self.room: int | None = None  # capacity in bytes, for all files together; None: unlimited
        self.second = 0  # size of the new file of a rewrite in progress
        self.former: bytes | None = None  # content of the replaced file, until the rename is synced in the directory

    def power_lost(self) -> None:
        """Lose unsynced data: nothing, all or a part of it survives, or zero bytes take its place.

        A rewrite that is not in place yet is lost; a rename that is not synced may be undone.
        """
        if self.former is not None and self.random.random() < 0.5:
            self.data = self.former
            self.synced = len(self.former)
        rest = self.data[self.synced :]
        kept = self.random.choice([b"", rest, rest[: self.random.randint(0, len(rest))], bytes(len(rest))])
        self.data = self.data[: self.synced] + kept
        self.synced = len(self.data)
        self.second = 0
        self.former = None

    def wipe(self) -> None:
        """Erase the disk."""
        self.data = b""
        self.synced = 0

    def delay(self) -> float:
        """Return the duration of a sync that starts now, in seconds."""
        stalled = max(0.0, self.stalled_until - asyncio.get_running_loop().time())
        return self.random.uniform(*self.sync_s) + self.slow_s + stalled

    def fits(self, size: int) -> bool:
        """Return True if `size` more bytes fit on the disk."""
        return self.room is None or len(self.data) + self.second + size <= self.room


class VirtualJournal:
    """The counterpart of otterreach.runtime.journal.Journal on virtual time.

    An instance ends with its process; the disk outlives it.
    """

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.size = 0
        self.failed: Failure | None = None
        self._synced = 0
        self._pending: list[bytes] = []
        self._waiting: list[asyncio.Future[bool]] = []
        self._flushing: asyncio.Task[None] | None = None
        self._in_use = asyncio.Lock()
        self._copied: list[bytes] | None = None  # records of the rewrite in progress; None: no rewrite runs
        self._rewrite_abandoned = False  # the space was needed for new records

    def read(self) -> list[Record]:
        """Return the records on the disk and cut off a damaged tail."""
        disk = self.disk
        records, end = scan(disk.data)
        disk.data = disk.data[:end]
        disk.second = 0
        disk.former = None
        self.size = self._synced = disk.synced = end
        return records

    def append(self, kind: int, payload: bytes) -> None:
        """Append a record, which a power loss may drop until it is synced."""
        record = pack(kind, payload, self._synced)
        self._pending.append(record)
        self.size += len(record)
        if self._copied is not None:
            self._copied.append(pack(kind, payload, 0))

    async def sync(self) -> bool:
        """Sync, and return True once everything appended so far is durable; False if the disk failed."""
        if self.failed is not None:
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.ensure_future(self._flush())
        return await future

    async def _flush(self) -> None:
        while self._waiting and self.failed is None:
            async with self._in_use:
                waiting = self._waiting
                self._waiting = []
                data = b"".join(self._pending)
                self._pending = []
                if self.failed is None:
                    await self._write(data)
            self._settle(waiting)
        if self.failed is not None:
            waiting = self._waiting
            self._waiting = []
            self._settle(waiting)

    async def _write(self, data: bytes) -> None:
        disk = self.disk
        if disk.second and not disk.fits(len(data)):
            disk.second = 0
            self._rewrite_abandoned = True
        if disk.broken or not disk.fits(len(data)):
            disk.data += data[: disk.random.randint(0, len(data))]
            self._fail()
            return
        disk.data += data
        # The process may be killed between the write and its sync, as the real sync runs in a separate thread.
        await asyncio.sleep(disk.delay())
        if disk.broken:
            self._fail()
            return
        disk.synced = max(disk.synced, self._synced + len(data))
        self._synced += len(data)

    def _fail(self) -> None:
        self.failed = Failure(Code.DISK_FAILED, "input/output error")

    def _settle(self, waiting: list[asyncio.Future[bool]]) -> None:
        for future in waiting:
            if not future.done():
                future.set_result(self.failed is None)

    async def rewrite(self, live: LiveSlices) -> bool:
        """Replace the file by the live records, as Journal.rewrite does."""
        if self._copied is not None or self.failed is not None:
            return False
        self._copied = []
        self._rewrite_abandoned = False
        try:
            return await self._fill(live()) and await self._replace()
        finally:
            self._copied = None
            self.disk.second = 0

    def abandon_rewrite(self) -> None:
        """Stop a rewrite in progress, as Journal.abandon_rewrite does."""
        self._rewrite_abandoned = True

    async def _fill(self, slices: Iterable[Slice]) -> bool:
        """Write the slices, and the records appended meanwhile, to the new file at the speed of the disk."""
        assert self._copied is not None
        for part in slices:
            self._copied += [pack(kind, payload, 0) for kind, payload in part]
            await asyncio.sleep(self.disk.delay() / SLICES_PER_SYNC)
            if not self._second_fits():
                return False
        return True

    def _second_fits(self) -> bool:
        """Return True if the new file fits on the disk; if it does not, the current file stays in use."""
        assert self._copied is not None
        size = sum(len(record) for record in self._copied)
        self.disk.second = 0
        if self.disk.broken:
            self._fail()
        if self.failed is not None or self._rewrite_abandoned or not self.disk.fits(size):
            return False
        self.disk.second = size
        return True

    async def _replace(self) -> bool:
        disk = self.disk
        async with self._in_use:
            assert self._copied is not None
            count = len(self._copied)
            await asyncio.sleep(disk.delay())
            if not self._second_fits():
                return False
            records = self._copied[:count]
            self._pending = self._copied[count:]
            disk.former = disk.data[: disk.synced]
            disk.data = b"".join(records)
            disk.synced = self._synced = len(disk.data)
            self.size = self._synced + sum(len(record) for record in self._pending)
            self._copied = None
            await asyncio.sleep(disk.delay())  # the sync of the directory
            disk.former = None
        return True
