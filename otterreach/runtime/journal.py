"""An append-only file of checksummed records that is rewritten when it gets long.

A record is <length, crc32, synced, kind> and its payload; `synced` is how far the file was surely on disk when the
record was written. Reading stops at the first record that is not whole: after a loss of power what follows was never
synced. If a later record says that the disk had it, the file is damaged, and that is told loudly.
Errors of the disk turn the journal off for good: nothing is acknowledged from then on.
"""

from __future__ import annotations

import asyncio
import os
import struct
import zlib
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log

HEADER = struct.Struct("<IIQB")
SYNCED = struct.Struct("<Q")
MAX_RECORD = 128 * 1024 * 1024
LOOK = 1024 * 1024  # how far past a bad record a good one is looked for
Record = tuple[int, bytes]  # kind, payload


class JournalDamaged(Exception):
    """A record that had been synced can't be read any more."""


def pack(kind: int, payload: bytes, synced: int) -> bytes:
    tail = struct.pack("<QB", synced, kind)
    crc = zlib.crc32(payload, zlib.crc32(tail))
    return struct.pack("<II", len(payload), crc) + tail + payload


def scan(data: bytes) -> tuple[list[Record], int]:
    """The whole records from the start, and where they end. Raises JournalDamaged."""
    records: list[Record] = []
    at = 0
    while (found := _record(data, at)) is not None:
        records.append(found[0])
        at = found[1]
    for later in range(at + 1, min(len(data) - HEADER.size + 1, at + LOOK)):
        if not at < SYNCED.unpack_from(data, later + 8)[0] <= later:  # a checksum at each byte would take minutes
            continue
        if (found := _record(data, later)) is not None:
            raise JournalDamaged(f"record at byte {at} is bad, though {found[2]} bytes had been synced")
    return records, at


def _record(data: bytes, at: int) -> tuple[Record, int, int] | None:
    if len(data) - at < HEADER.size:
        return None
    length, crc, synced, kind = HEADER.unpack_from(data, at)
    end = at + HEADER.size + length
    if length > MAX_RECORD or end > len(data):
        return None
    if zlib.crc32(data[at + 8 : end]) != crc:
        return None
    return (kind, data[at + HEADER.size : end]), end, synced


class Journal:
    """Records in, synced in groups by one thread; `read` once before the first append."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.size = 0  # bytes in the file, with what is still to be written
        self.failed: Failure | None = None
        self._synced = 0
        self._pending: list[bytes] = []
        self._waiting: list[asyncio.Future[bool]] = []
        self._flushing: asyncio.Task[None] | None = None
        self._file: int | None = None
        self._thread = ThreadPoolExecutor(1, "journal")

    def read(self) -> list[Record]:
        """All whole records; opens the file for appending, its torn tail cut off. Raises JournalDamaged, OSError."""
        self.path.parent.mkdir(parents=True, exist_ok=True)
        (self.path.parent / (self.path.name + ".new")).unlink(missing_ok=True)
        data = self.path.read_bytes() if self.path.exists() else b""
        records, end = scan(data)
        if end < len(data):
            log("journal_tail_cut", level="WARNING", file=self.path.name, bytes=len(data) - end)
        self._open(end)
        return records

    def _open(self, end: int) -> None:
        file = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o644)
        os.ftruncate(file, end)
        os.lseek(file, end, os.SEEK_SET)
        os.fsync(file)
        self._sync_folder()
        if self._file is not None:
            os.close(self._file)
        self._file, self.size, self._synced = file, end, end

    def _sync_folder(self) -> None:
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def append(self, kind: int, payload: bytes) -> None:
        """Queue a record; it is on disk once a `sync` called later has returned True."""
        record = pack(kind, payload, self._synced)
        self._pending.append(record)
        self.size += len(record)

    async def sync(self) -> bool:
        """Everything appended so far is on disk. False: the disk has failed."""
        if self.failed is not None:
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.ensure_future(self._flush())
        return await future

    async def _flush(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting and self.failed is None:
            waiting, self._waiting = self._waiting, []
            data, self._pending = b"".join(self._pending), []
            try:
                await loop.run_in_executor(self._thread, self._write, data)
            except OSError as error:
                self._fail(error)
            self._settle(waiting)
        if self.failed is not None:
            waiting, self._waiting = self._waiting, []
            self._settle(waiting)

    def _settle(self, waiting: list[asyncio.Future[bool]]) -> None:
        for future in waiting:
            if not future.done():
                future.set_result(self.failed is None)

    def _fail(self, error: OSError) -> None:
        self.failed = Failure(Code.DISK_FAILED, str(error))
        log("disk_failed", level="ERROR", file=self.path.name, error=error)

    def _write(self, data: bytes) -> None:
        assert self._file is not None
        view = memoryview(data)
        while view:
            view = view[os.write(self._file, view) :]
        os.fsync(self._file)
        self._synced += len(data)

    async def rewrite(self, live: Callable[[], Iterable[Record]]) -> bool:
        """Replace the file by these records, the state as it is when they are asked for. Power may go at any step:
        the old file or the new one is there, whole. What was pending is dropped: `live` has to hold it."""
        while self._flushing and not self._flushing.done():
            await asyncio.shield(self._flushing)
        if self.failed is not None:
            return False
        new = self.path.parent / (self.path.name + ".new")
        # From here to the end nothing else runs in the loop: no record can slip between.
        self._pending = []
        try:
            file = os.open(new, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
            try:
                for kind, payload in live():
                    view = memoryview(pack(kind, payload, 0))
                    while view:
                        view = view[os.write(file, view) :]
                os.fsync(file)
                end = os.lseek(file, 0, os.SEEK_CUR)
            finally:
                os.close(file)
            os.rename(new, self.path)
            self._open(end)
        except OSError as error:
            self._fail(error)
        return self.failed is None


def open_journal(path: Path) -> tuple[Journal, list[Record]]:
    """The journal and its records. A damaged one is put aside: this disk is a new, empty one then."""
    journal = Journal(path)
    try:
        return journal, journal.read()
    except JournalDamaged as error:
        log("journal_damaged", level="ERROR", file=path.name, error=error)
        path.rename(path.with_name(path.name + ".damaged"))
        return journal, journal.read()
