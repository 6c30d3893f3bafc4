"""An append-only file of checksummed records (journal_format.py) that is rewritten when it gets long.

Errors of the disk turn the journal off for good: nothing is acknowledged from then on. The one exception is a rewrite
that finds no room for its second file, or leaves none to the log: it is abandoned, and the log goes on.
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
CHUNK_BYTES = 256 * 1024  # of a rewrite: so much is encoded before it is written
# What is appended during a rewrite is written before the log has to wait for the switch, down to so much.
CATCH_UP_BYTES = 64 * 1024
CATCH_UP_ROUNDS = 4
NO_ROOM = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)

Slice = Iterable[Record]  # a part of the live state, as it is in one turn of the loop
LiveSlices = Callable[[], Iterable[Slice]]


def _write_all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def _sync_folder(path: Path) -> None:
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class _RewriteFile:
    """The second file of a rewrite: slices of the live state and, in the order of time, what is appended meanwhile.

    Records are added in the loop; the methods that touch the disk run in one thread, one after the other.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.buffered = 0
        self.end = 0  # bytes written
        self.file: int | None = None
        self.abandoned = 0  # why: an error number
        self.renaming = False  # from here on it may stand in the old one's place
        self._records: list[bytes] = []

    def add(self, kind: int, payload: bytes) -> None:
        """One more record, still in memory."""
        record = pack(kind, payload, 0)
        self._records.append(record)
        self.buffered += len(record)

    def take(self) -> list[bytes]:
        """The records that are still in memory; they are the caller's to write."""
        records = self._records
        self._records = []
        self.buffered = 0
        return records

    def write(self, records: list[bytes]) -> None:
        """Append to the second file. Raises OSError."""
        if self.abandoned:
            raise OSError(self.abandoned, "abandoned")
        if self.file is None:
            self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        data = b"".join(records)
        _write_all(self.file, data)
        self.end += len(data)

    def write_and_sync(self, records: list[bytes]) -> None:
        """Append to the second file and have all of it on disk. Raises OSError."""
        self.write(records)
        assert self.file is not None
        os.fsync(self.file)

    def replace(self, records: list[bytes], path: Path) -> None:
        """Write the rest and take the place of the old file."""
        self.write_and_sync(records)
        self.renaming = True
        os.rename(self.path, path)
        _sync_folder(path.parent)

    def abandon(self) -> None:
        """The log needs the room: the next step of the rewrite fails."""
        self.abandoned = errno.ENOSPC
        self.discard()

    def discard(self) -> None:
        """It wasn't needed: give its room back."""
        if self.file is None:
            return
        os.close(self.file)
        self.file = None
        if not self.renaming:
            os.unlink(self.path)


class Journal:
    """Records in, synced in groups by one thread; `read` or `open` once before the first append.

    More than 20 methods: appending, syncing and rewriting share the file and exclude each other here.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.size = 0  # bytes in the file, with what is still to be written
        self.failed: Failure | None = None
        self.sync_times = Histogram("journal_sync_seconds", "Time to write and sync the journal.")
        self._synced = 0
        self._pending: list[bytes] = []
        self._waiting: list[asyncio.Future[bool]] = []
        self._flushing: asyncio.Task[None] | None = None
        self._file: int | None = None
        self._in_use = asyncio.Lock()  # held while the file is written, and while another takes its place
        self._new: _RewriteFile | None = None
        self._thread: Executor = ThreadPoolExecutor(1, "journal")
        self._rewrite_thread: Executor = ThreadPoolExecutor(1, "journal-rewrite")

    @property
    def _new_path(self) -> Path:
        return self.path.parent / (self.path.name + ".new")

    def read(self) -> list[Record]:
        """All complete records at once; else as `open`."""
        return list(self.open())

    def open(self) -> Iterator[Record]:
        """Open the file for appending, its torn tail cut off.

        :returns: its records, read as they are asked for, which has to be before the first rewrite
        :raises JournalDamagedError: a record that had been synced can't be read
        :raises OSError: the disk failed
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self._new_path.unlink(missing_ok=True)
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
        _sync_folder(self.path.parent)
        self._file = file
        self.size = end
        self._synced = end

    def append(self, kind: int, payload: bytes) -> None:
        """Queue a record; it is on disk once a `sync` called later has returned True."""
        record = pack(kind, payload, self._synced)
        self._pending.append(record)
        self.size += len(record)
        if self._new is not None:
            self._new.add(kind, payload)

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
        while self._waiting and self.failed is None:
            async with self._in_use:
                waiting = self._waiting
                self._waiting = []
                began_at = asyncio.get_running_loop().time()
                await self._write_pending()
                self.sync_times.observe(asyncio.get_running_loop().time() - began_at)
            self._complete(waiting)
        if self.failed is not None:
            waiting = self._waiting
            self._waiting = []
            self._complete(waiting)

    async def _write_pending(self) -> None:
        if self.failed is not None:
            return
        data = b"".join(self._pending)
        self._pending = []
        try:
            await self._in_thread(self._write, data)
        except OSError as error:
            if error.errno in NO_ROOM and self._new is not None:
                await self._write_without_rewrite(data, self._new)
            else:
                self._fail(error)

    async def _write_without_rewrite(self, data: bytes, new: _RewriteFile) -> None:
        """The disk is full, perhaps by a rewrite's second file: abandon that, and try once more."""
        try:
            await self._in_rewrite_thread(new.abandon)
            await self._in_thread(self._write, data)
        except OSError as error:
            self._fail(error)

    def _complete(self, waiting: list[asyncio.Future[bool]]) -> None:
        for future in waiting:
            if not future.done():
                future.set_result(self.failed is None)

    def _fail(self, error: BaseException) -> None:
        self.failed = Failure(Code.DISK_FAILED, str(error))
        log("disk_failed", level="ERROR", file=self.path.name, error=error)

    async def _in_thread(self, step: Callable[..., None], *args: object) -> None:
        await asyncio.get_running_loop().run_in_executor(self._thread, step, *args)

    def _write(self, data: bytes) -> None:
        assert self._file is not None
        os.lseek(self._file, self._synced, os.SEEK_SET)  # what a failed write has left is written over
        _write_all(self._file, data)
        os.fsync(self._file)
        self._synced += len(data)

    # Rewrite -------------------------------------------------------------------------------------

    async def rewrite(self, live: LiveSlices) -> bool:
        """Replace the file by one that holds the live state, while the log is in use: appends and syncs go on.

        Each slice is asked for in a turn of the loop of its own, and has to tell its part of the state as it is then.
        What is appended meanwhile stands between the slices in the order of time, so a record about a part may come
        before that part's slice, and the reader of the file has to bear that. Power may go at any step: the old file
        or the new one is there, complete, and either has all that was acknowledged.

        :returns: False if nothing was replaced; `failed` tells whether the journal still works
        """
        if self._new is not None or self.failed is not None:
            return False
        new = _RewriteFile(self._new_path)
        self._new = new
        try:
            await self._fill(new, live())
            await self._catch_up(new)
            async with self._in_use:
                return await self._switch(new)
        except OSError as error:
            self._rewrite_failed(new, error)
            return False
        finally:
            self._new = None
            self._rewrite_thread.submit(new.discard)

    def abandon_rewrite(self) -> None:
        """End a rewrite that is under way, if slices are still to come: what follows must not stand among them."""
        if self._new is not None:
            self._new.abandoned = errno.ECANCELED

    async def _in_rewrite_thread(self, step: Callable[..., None], *args: object) -> None:
        await asyncio.get_running_loop().run_in_executor(self._rewrite_thread, step, *args)

    async def _fill(self, new: _RewriteFile, slices: Iterable[Slice]) -> None:
        for part in slices:
            for kind, payload in part:
                new.add(kind, payload)
            if new.buffered >= CHUNK_BYTES:
                await self._in_rewrite_thread(new.write, new.take())
            else:
                await asyncio.sleep(0)

    async def _catch_up(self, new: _RewriteFile) -> None:
        """Have nearly all of it on disk before the log has to wait for the rest."""
        for _ in range(CATCH_UP_ROUNDS):
            await self._in_rewrite_thread(new.write_and_sync, new.take())
            if new.buffered <= CATCH_UP_BYTES:
                return

    async def _switch(self, new: _RewriteFile) -> bool:
        """Put the new file in the old one's place. The log is not being written, and what is pending is in both."""
        if self.failed is not None:
            return False
        try:
            await self._in_rewrite_thread(new.replace, new.take(), self.path)
        except OSError:
            raise
        except BaseException as error:  # cancelled: nobody knows which file is in place
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
        elif error.errno in NO_ROOM and not new.renaming:
            log("journal_rewrite_no_room", level="WARNING", file=self.path.name, error=error)
        else:
            self._fail(error)


def open_journal(path: Path) -> tuple[Journal, Iterator[Record]]:
    """The journal and its records. A damaged one is renamed, and a new, empty one begun. Raises OSError."""
    journal = Journal(path)
    try:
        return journal, journal.open()
    except JournalDamagedError as error:
        log("journal_damaged", level="ERROR", file=path.name, error=error)
        path.rename(path.with_name(path.name + ".damaged"))
        return journal, journal.open()
