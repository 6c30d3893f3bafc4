"""An append-only file of checksummed records (journal_format.py) that is rewritten when it gets long.

A disk error disables the journal permanently: nothing is acknowledged from then on. The one exception is a rewrite that
runs out of space for its new file, or leaves no space for appends: the rewrite is abandoned, and the journal stays
usable.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Executor, ThreadPoolExecutor
from pathlib import Path

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.journal_format import JournalDamagedError, Record, end_of_records, pack, records_up_to
from otterreach.runtime.log import log

READ_BUFFER_BYTES = 256 * 1024
CHUNK_BYTES = 256 * 1024  # a rewrite encodes this much before it writes to the new file
# Before the switch to the new file, which blocks syncs, the rewrite writes what was appended meanwhile, until at most
# CATCH_UP_BYTES are left or CATCH_UP_ROUNDS are done.
CATCH_UP_BYTES = 64 * 1024
CATCH_UP_ROUNDS = 4
NO_SPACE_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)

Slice = Iterable[Record]  # records of one part of the live state, read in a single iteration of the event loop
LiveSlices = Callable[[], Iterable[Slice]]


def _write_all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def _sync_directory(path: Path) -> None:
    directory = os.open(path, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


class _RewriteFile:
    """The new file of a rewrite: slices of the live state and the records appended meanwhile, in chronological order.

    Records are added in the event loop; the methods that access the disk run one after the other in a single thread.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.buffered = 0
        self.end = 0  # size of the file in bytes
        self.file: int | None = None
        self.abandon_errno = 0  # errno with which the next write fails; 0 while the rewrite goes on
        self.renaming = False  # true from the rename on: the file may have replaced the old one
        self._records: list[bytes] = []

    def add(self, kind: int, payload: bytes) -> None:
        """Buffer one more record in memory."""
        record = pack(kind, payload, 0)
        self._records.append(record)
        self.buffered += len(record)

    def take(self) -> list[bytes]:
        """Return the buffered records and clear the buffer; the caller has to write them."""
        records = self._records
        self._records = []
        self.buffered = 0
        return records

    def write(self, records: list[bytes]) -> None:
        """Append records to the file, which is created by the first call. Raise OSError."""
        if self.abandon_errno:
            raise OSError(self.abandon_errno, "journal rewrite abandoned")
        if self.file is None:
            self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        data = b"".join(records)
        _write_all(self.file, data)
        self.end += len(data)

    def write_and_sync(self, records: list[bytes]) -> None:
        """Append records to the file and sync it. Raise OSError."""
        self.write(records)
        assert self.file is not None
        os.fsync(self.file)

    def replace(self, records: list[bytes], path: Path) -> None:
        """Append the remaining records, sync the file and rename it to the path of the old one. Raise OSError."""
        self.write_and_sync(records)
        self.renaming = True
        os.rename(self.path, path)
        _sync_directory(path.parent)

    def abandon(self) -> None:
        """Free the space of the file for appends; the next step of the rewrite fails."""
        self.abandon_errno = errno.ENOSPC
        self.discard()

    def discard(self) -> None:
        """Close the file and, unless it may have replaced the old one, delete it."""
        if self.file is None:
            return
        os.close(self.file)
        self.file = None
        if not self.renaming:
            os.unlink(self.path)


class Journal:
    """A journal whose appends are synced in groups (group commit) by one thread.

    `read` or `open` has to be called once before the first append. The class has more than 20 methods because
    appending, syncing and rewriting share the file and exclude each other here.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.size = 0  # size of the file in bytes, pending records included
        self.failed: Failure | None = None
        self.sync_times = Histogram("journal_sync_seconds", "Time to write and sync the journal.")
        self._synced = 0  # offset up to which the file is synced
        self._pending: list[bytes] = []
        self._sync_waiters: list[asyncio.Future[bool]] = []
        self._flush_task: asyncio.Task[None] | None = None
        self._file: int | None = None
        self._file_lock = asyncio.Lock()  # held while the file is written or replaced
        self._rewrite_file: _RewriteFile | None = None
        self._thread: Executor = ThreadPoolExecutor(1, "journal")
        self._rewrite_thread: Executor = ThreadPoolExecutor(1, "journal-rewrite")

    @property
    def _rewrite_path(self) -> Path:
        return self.path.parent / (self.path.name + ".new")

    def read(self) -> list[Record]:
        """Open the file as `open` does, and return all its records."""
        return list(self.open())

    def open(self) -> Iterator[Record]:
        """Truncate a torn tail and open the file for appending.

        :returns: its records, read lazily; they have to be consumed before the first rewrite
        :raises JournalDamagedError: a record that had been synced can't be read
        :raises OSError: the disk failed
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self._rewrite_path.unlink(missing_ok=True)
        end = self._end_of_records() if self.path.exists() else 0
        self._open(end)
        return self._records(end)

    def _end_of_records(self) -> int:
        size = self.path.stat().st_size
        with self.path.open("rb", READ_BUFFER_BYTES) as file:
            end = end_of_records(file, size)
        if end < size:
            log("journal_tail_cut", level="WARNING", file=self.path.name, bytes=size - end)
        return end

    def _records(self, end: int) -> Iterator[Record]:
        with self.path.open("rb", READ_BUFFER_BYTES) as file:
            yield from records_up_to(file, end)

    def _open(self, end: int) -> None:
        file = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o644)
        os.ftruncate(file, end)
        os.fsync(file)
        _sync_directory(self.path.parent)
        self._file = file
        self.size = end
        self._synced = end

    def append(self, kind: int, payload: bytes) -> None:
        """Queue a record. It is on disk once a `sync` that was called later has returned True."""
        record = pack(kind, payload, self._synced)
        self._pending.append(record)
        self.size += len(record)
        if self._rewrite_file is not None:
            self._rewrite_file.add(kind, payload)

    async def sync(self) -> bool:
        """Wait until everything appended so far is on disk. Return False if the disk has failed."""
        if self.failed is not None:
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._sync_waiters.append(future)
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.ensure_future(self._flush())
        return await future

    async def _flush(self) -> None:
        while self._sync_waiters and self.failed is None:
            async with self._file_lock:
                waiters = self._sync_waiters
                self._sync_waiters = []
                started_at = asyncio.get_running_loop().time()
                await self._write_pending()
                self.sync_times.observe(asyncio.get_running_loop().time() - started_at)
            self._resolve(waiters)
        if self.failed is not None:
            waiters = self._sync_waiters
            self._sync_waiters = []
            self._resolve(waiters)

    async def _write_pending(self) -> None:
        if self.failed is not None:
            return
        data = b"".join(self._pending)
        self._pending = []
        try:
            await self._in_thread(self._write, data)
        except OSError as error:
            if error.errno in NO_SPACE_ERRNOS and self._rewrite_file is not None:
                await self._write_without_rewrite(data, self._rewrite_file)
            else:
                self._fail(error)

    async def _write_without_rewrite(self, data: bytes, new: _RewriteFile) -> None:
        """Abandon the rewrite, whose new file may have filled the disk, and retry the write once."""
        try:
            await self._in_rewrite_thread(new.abandon)
            await self._in_thread(self._write, data)
        except OSError as error:
            self._fail(error)

    def _resolve(self, waiters: list[asyncio.Future[bool]]) -> None:
        for future in waiters:
            if not future.done():
                future.set_result(self.failed is None)

    def _fail(self, error: BaseException) -> None:
        self.failed = Failure(Code.DISK_FAILED, str(error))
        log("disk_failed", level="ERROR", file=self.path.name, error=error)

    async def _in_thread(self, step: Callable[..., None], *args: object) -> None:
        await asyncio.get_running_loop().run_in_executor(self._thread, step, *args)

    def _write(self, data: bytes) -> None:
        assert self._file is not None
        os.lseek(self._file, self._synced, os.SEEK_SET)  # overwrites the remains of a failed write
        _write_all(self._file, data)
        os.fsync(self._file)
        self._synced += len(data)

    # Rewrite -------------------------------------------------------------------------------------

    async def rewrite(self, live: LiveSlices) -> bool:
        """Replace the file by one that holds the live state, while appends and syncs go on.

        Each slice is produced in its own iteration of the event loop and has to represent its part of the state at
        that time. Records appended meanwhile are written between the slices in chronological order. A record about a
        part may therefore precede that part's slice, and readers of the file have to accept that. After a power loss
        at any step, either the old file or the new one is present and complete, and contains all that was acknowledged.

        :returns: False if the file was not replaced; `failed` then tells whether the journal is still usable
        """
        if self._rewrite_file is not None or self.failed is not None:
            return False
        new = _RewriteFile(self._rewrite_path)
        self._rewrite_file = new
        try:
            await self._write_slices(new, live())
            await self._catch_up(new)
            async with self._file_lock:
                return await self._switch(new)
        except OSError as error:
            self._rewrite_failed(new, error)
            return False
        finally:
            self._rewrite_file = None
            self._rewrite_thread.submit(new.discard)

    def abandon_rewrite(self) -> None:
        """Abandon a rewrite in progress unless all its data has been written.

        For a caller whose next records must not stand between the slices.
        """
        if self._rewrite_file is not None:
            self._rewrite_file.abandon_errno = errno.ECANCELED

    async def _in_rewrite_thread(self, step: Callable[..., None], *args: object) -> None:
        await asyncio.get_running_loop().run_in_executor(self._rewrite_thread, step, *args)

    async def _write_slices(self, new: _RewriteFile, slices: Iterable[Slice]) -> None:
        for part in slices:
            for kind, payload in part:
                new.add(kind, payload)
            if new.buffered >= CHUNK_BYTES:
                await self._in_rewrite_thread(new.write, new.take())
            else:
                await asyncio.sleep(0)

    async def _catch_up(self, new: _RewriteFile) -> None:
        """Write and sync nearly all records, so that syncs are blocked only briefly by the switch."""
        for _ in range(CATCH_UP_ROUNDS):
            await self._in_rewrite_thread(new.write_and_sync, new.take())
            if new.buffered <= CATCH_UP_BYTES:
                return

    async def _switch(self, new: _RewriteFile) -> bool:
        """Replace the old file by the new one.

        The caller holds the file lock, so the old file is not being written; pending records are buffered for both.
        """
        if self.failed is not None:
            return False
        try:
            await self._in_rewrite_thread(new.replace, new.take(), self.path)
        except OSError:
            raise
        except BaseException as error:  # cancelled: it is unknown which file is in place
            self._fail(error)
            raise
        assert self._file is not None
        os.close(self._file)
        self._file = new.file
        new.file = None
        self._synced = new.end
        self.size = new.end + new.buffered
        self._pending = new.take()
        return True

    def _rewrite_failed(self, new: _RewriteFile, error: OSError) -> None:
        if error.errno == errno.ECANCELED and not new.renaming:
            log("journal_rewrite_abandoned", file=self.path.name)
        elif error.errno in NO_SPACE_ERRNOS and not new.renaming:
            log("journal_rewrite_no_room", level="WARNING", file=self.path.name, error=error)
        else:
            self._fail(error)


def open_journal(path: Path) -> tuple[Journal, Iterator[Record]]:
    """Open a journal and return it with its records. A damaged one is renamed and replaced by an empty one.

    :raises OSError: the disk failed
    """
    journal = Journal(path)
    try:
        return journal, journal.open()
    except JournalDamagedError as error:
        log("journal_damaged", level="ERROR", file=path.name, error=error)
        path.rename(path.with_name(path.name + ".damaged"))
        return journal, journal.open()
