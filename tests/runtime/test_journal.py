"""otterreach.runtime.journal: power loss, damaged files, full and failing disks, and rewrites."""

from __future__ import annotations

import asyncio
import errno
import os
import shutil
import tempfile
import threading
import time
import tracemalloc
import unittest
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Executor, Future
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from otterreach.runtime import journal
from otterreach.runtime.codes import Code
from otterreach.runtime.journal import Journal
from otterreach.runtime.journal_format import HEADER, JournalDamagedError, Record, pack, scan

RECORDS: list[Record] = [(1, b"one"), (2, b""), (3, bytes(range(256)) * 3), (255, b"last" * 9)]


class SynchronousExecutor(Executor):
    """An executor that runs each step synchronously, which makes tests deterministic."""

    def submit(self, step: Any, /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        try:
            future.set_result(step(*args, **kwargs))
        except BaseException as error:
            future.set_exception(error)
        return future


class PowerCut(BaseException):
    """The machine loses power at a call to the disk."""


class FakePower:
    """A fake of `os` that counts the calls to the disk, stops at one of them, and tracks what had been synced by then.

    A file's contents are durable once the file is synced, and names once their directory is synced. A sync of a new
    file makes its name durable as well. Anything else may or may not survive the power loss.
    """

    CALLS = ("open", "write", "fsync", "ftruncate", "rename", "unlink")

    def __init__(self, folder: Path, stop_at: int) -> None:
        self.folder, self.stop_at, self.steps = folder, stop_at, 0
        self.contents: dict[int, bytes] = {}  # synced contents by inode
        self.names: dict[str, int] = {}  # synced inodes by name
        for file in folder.iterdir():
            self.names[file.name] = file.stat().st_ino
            self.contents[file.stat().st_ino] = file.read_bytes()

    def __getattr__(self, name: str) -> Any:
        real = getattr(os, name)
        if name not in self.CALLS:
            return real

        def call(*args: Any) -> Any:
            self.steps += 1
            if self.steps >= self.stop_at:
                raise PowerCut(name)
            result = real(*args)
            if name == "fsync":
                self._synced(args[0])
            return result

        return call

    def _synced(self, file: int) -> None:
        state = os.fstat(file)
        now = {path.name: path.stat().st_ino for path in self.folder.iterdir()}
        if state.st_ino == self.folder.stat().st_ino:
            self.names = now
            return
        for name, inode in now.items():
            if inode == state.st_ino:
                self.contents[inode] = (self.folder / name).read_bytes()
                if inode not in self.names.values():
                    self.names.setdefault(name, inode)

    def after(self, folder: Path, names_last: bool, random: Random) -> None:
        """Fill a new directory with what survives the power loss; unsynced bytes are present, missing, torn or zero."""
        current = {path.name: path.stat().st_ino for path in self.folder.iterdir()}
        for name, inode in (current if names_last else self.names).items():
            synced = self.contents.get(inode, b"")
            found = next((p.read_bytes() for p in self.folder.iterdir() if p.stat().st_ino == inode), synced)
            rest = found[len(synced) :] if found.startswith(synced) else b""
            kept = random.choice([b"", rest, rest[: random.randint(0, len(rest))], bytes(len(rest))])
            (folder / name).write_bytes(synced + kept)


class JournalCase(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.path = self.folder / "disk" / "file"
        self.path.parent.mkdir()
        patch = mock.patch.object(journal, "log")
        self.log_mock = patch.start()
        self.addCleanup(patch.stop)

    async def written(self, records: Iterable[Record] = RECORDS) -> Journal:
        opened = Journal(self.path)
        opened.read()
        for kind, payload in records:
            opened.append(kind, payload)
        self.assertTrue(await opened.sync())
        return opened

    def reread(self, data: bytes) -> list[Record]:
        path = self.folder / "again"
        path.write_bytes(data)
        return Journal(path).read()


class TornTest(JournalCase):
    def test_synced_records_are_read(self) -> None:
        asyncio.run(self.written())
        self.assertEqual(RECORDS, Journal(self.path).read())

    def test_truncation_at_every_byte(self) -> None:
        asyncio.run(self.written())
        data = self.path.read_bytes()
        ends = [scan(data)[1]]
        for _, payload in reversed(RECORDS):
            ends.insert(0, ends[0] - HEADER.size - len(payload))
        for size in range(len(data) + 1):
            whole = sum(end <= size for end in ends) - 1
            self.assertEqual(RECORDS[:whole], self.reread(data[:size]), size)
            self.assertEqual(ends[whole], (self.folder / "again").stat().st_size)

    def test_bad_bytes_at_the_tail(self) -> None:
        asyncio.run(self.written())
        data, random = self.path.read_bytes(), Random(5)
        last = len(data) - HEADER.size - len(RECORDS[-1][1])
        for at in range(last, len(data)):
            bad = data[:at] + bytes([data[at] ^ (1 + random.randrange(255))]) + data[at + 1 :]
            self.assertEqual(RECORDS[:-1], self.reread(bad), at)

    def test_appends_after_a_truncated_tail(self) -> None:
        async def run() -> None:
            opened = await self.written()
            with self.path.open("ab") as file:
                file.write(pack(9, b"torn", 0)[:-1])
            again = Journal(self.path)
            self.assertEqual(RECORDS, again.read())
            again.append(7, b"next")
            self.assertTrue(await again.sync())
            self.assertEqual(opened.size + len(pack(7, b"next", 0)), again.size)

        asyncio.run(run())
        self.assertEqual([*RECORDS, (7, b"next")], Journal(self.path).read())

    def test_a_lost_write_before_a_present_one(self) -> None:
        """Of two unsynced writes the first is lost: the file is not damaged, and both records are dropped."""
        asyncio.run(self.written())
        data = self.path.read_bytes()
        lost, there = pack(4, b"lost", len(data)), pack(5, b"there", len(data))
        self.assertEqual(RECORDS, self.reread(data + bytes(len(lost)) + there))


class DamageTest(JournalCase):
    def test_a_damaged_synced_record_is_reported(self) -> None:
        async def run() -> int:
            opened = await self.written()
            opened.append(8, b"later")
            self.assertTrue(await opened.sync())
            return opened.size

        size = asyncio.run(run())
        data = self.path.read_bytes()
        later = size - len(pack(8, b"later", 0))
        for at in range(later):
            bad = data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1 :]
            with self.assertRaises(JournalDamagedError, msg=str(at)):
                self.reread(bad)

    def test_the_search_past_a_bad_record_is_fast(self) -> None:
        """Bytes that look like record lengths at every offset must not each cause a checksum of a large range."""
        data = bytes(8) + b"\0\0\4\0" * 100_000
        start = time.process_time()
        self.assertEqual(([], 0), scan(data))
        self.assertLess(time.process_time() - start, 2.0)


class RewriteTest(JournalCase):
    NEW: tuple[Record, ...] = ((1, b"state" * 50), (2, b"more"))

    @contextmanager
    def power(self, stop_at: int) -> Iterator[FakePower]:
        fake = FakePower(self.path.parent, stop_at)
        with mock.patch.object(journal, "os", fake):
            yield fake

    async def run_until(self, work: Callable[[Journal], Any], stop_at: int) -> tuple[FakePower, bool]:
        """Run `work` on a new journal until the power loss. Return the disk, and True if the work ended before."""
        shutil.rmtree(self.path.parent)
        self.path.parent.mkdir()
        opened = await self.written()
        opened._thread = opened._rewrite_thread = SynchronousExecutor()
        with self.power(stop_at) as fake:
            try:
                await work(opened)
            except PowerCut:
                return fake, False
        return fake, True

    def test_power_goes_at_each_step(self) -> None:
        async def work(opened: Journal) -> None:
            self.assertTrue(await opened.rewrite(lambda: [self.NEW]))

        async def run() -> int:
            stop_at, ended = 0, False
            while not ended:
                stop_at += 1
                fake, ended = await self.run_until(work, stop_at)
                for names_last in (False, True):
                    for seed in range(8):
                        self._check(fake, names_last, seed, ended)
            return stop_at

        self.assertGreater(asyncio.run(run()), 6)

    def _check(self, fake: FakePower, names_last: bool, seed: int, ended: bool) -> None:
        with tempfile.TemporaryDirectory() as left:
            fake.after(Path(left), names_last, Random(seed))
            records = Journal(Path(left) / "file").read()
        allowed = [list(self.NEW)] if ended else [list(self.NEW), RECORDS]
        self.assertIn(records, allowed, f"{names_last} {seed}")

    def test_appends_after_a_rewrite(self) -> None:
        async def run() -> None:
            opened = await self.written()
            opened.append(5, b"pending")
            self.assertTrue(await opened.rewrite(lambda: [self.NEW, [(5, b"pending")]]))
            opened.append(6, b"after")
            self.assertTrue(await opened.sync())
            self.assertEqual(self.path.stat().st_size, opened.size)

        asyncio.run(run())
        self.assertEqual([*self.NEW, (5, b"pending"), (6, b"after")], Journal(self.path).read())

    def test_a_rewrite_waits_for_a_sync_in_progress(self) -> None:
        async def run() -> None:
            opened = await self.written()
            opened.append(5, b"under way")
            syncing = asyncio.ensure_future(opened.sync())
            await asyncio.sleep(0)
            self.assertTrue(await opened.rewrite(lambda: [self.NEW]))
            self.assertTrue(await syncing)

        asyncio.run(run())
        self.assertEqual(list(self.NEW), Journal(self.path).read())


class ConcurrentRewriteTest(JournalCase):
    """Appends and syncs continue while the file is rewritten."""

    SLICES: tuple[tuple[Record, ...], ...] = (((1, b"a" * 40), (1, b"b" * 40)), ((1, b"c" * 40),), ((1, b"d" * 40),))

    def setUp(self) -> None:
        super().setUp()
        for name, value in (("CHUNK_BYTES", 64), ("CATCH_UP_BYTES", 16)):
            patch = mock.patch.object(journal, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def _rewrite_and_append(self, opened: Journal, acknowledged: list[int]) -> None:
        """Rewrite the file, and meanwhile and for two more records append and sync records 1, 2, 3 ... one by one."""
        rewriting = asyncio.ensure_future(opened.rewrite(lambda: self.SLICES))
        rewriting.add_done_callback(lambda done: done.cancelled() or done.exception())
        await asyncio.sleep(0)
        self.appended = left = 0
        while left < 2:
            self.appended += 1
            opened.append(2, str(self.appended).encode())
            if not await self._synced(opened):
                rewriting.result()
            acknowledged.append(self.appended)
            left += rewriting.done()
        self.assertTrue(rewriting.result())

    async def _synced(self, opened: Journal) -> bool:
        """Sync; also end, with an error, when the machine loses power."""
        syncing = asyncio.ensure_future(opened.sync())
        await asyncio.sleep(0)
        assert opened._flush_task is not None
        await opened._flush_task
        return await syncing

    async def _run_until(self, stop_at: int) -> tuple[FakePower, list[int], bool]:
        shutil.rmtree(self.path.parent)
        self.path.parent.mkdir()
        opened = await self.written()
        opened._thread = opened._rewrite_thread = SynchronousExecutor()
        fake = FakePower(self.path.parent, stop_at)
        acknowledged: list[int] = []
        with mock.patch.object(journal, "os", fake):
            task = asyncio.ensure_future(self._rewrite_and_append(opened, acknowledged))
            await asyncio.wait([task])
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for other in others:
                other.cancel()
            await asyncio.gather(*others, return_exceptions=True)
        error = task.exception()
        self.assertTrue(error is None or isinstance(error, PowerCut), repr(error))
        return fake, acknowledged, error is None

    def test_power_goes_at_each_step(self) -> None:
        async def run() -> int:
            stop_at, ended = 0, False
            while not ended:
                stop_at += 1
                fake, acknowledged, ended = await self._run_until(stop_at)
                for names_last in (False, True):
                    for seed in range(8):
                        self._check(fake, names_last, seed, acknowledged)
            return stop_at

        self.assertGreater(asyncio.run(run()), 15)

    def _check(self, fake: FakePower, names_last: bool, seed: int, acknowledged: list[int]) -> None:
        with tempfile.TemporaryDirectory() as left:
            fake.after(Path(left), names_last, Random(seed))
            records = Journal(Path(left) / "file").read()
        old = records[: len(RECORDS)] == RECORDS
        live = [record for part in self.SLICES for record in part]
        if not old:
            self.assertEqual(live, [record for record in records if record[0] == 1])
        numbers = [int(payload) for kind, payload in records[len(RECORDS) if old else 0 :] if kind == 2]
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)
        self.assertGreaterEqual(len(numbers), len(acknowledged))
        self.assertLessEqual(len(numbers), self.appended)

    def test_appends_continue_while_the_new_file_is_synced(self) -> None:
        """Slow syncs of the new file blocked the event loop for 0.92 s."""

        async def run() -> None:
            opened, release, blocked = await self.written(), threading.Event(), asyncio.Event()
            loop, real = asyncio.get_running_loop(), os.fsync

            def slow(file: int) -> None:
                if file != opened._file and not release.is_set():
                    loop.call_soon_threadsafe(blocked.set)
                    release.wait(20)
                real(file)

            with mock.patch.object(os, "fsync", slow):
                rewriting = asyncio.ensure_future(opened.rewrite(lambda: self.SLICES))
                await blocked.wait()
                for number in range(5):
                    opened.append(2, str(number).encode())
                    self.assertTrue(await opened.sync())
                self.assertFalse(rewriting.done())
                release.set()
                self.assertTrue(await rewriting)

        asyncio.run(run())
        live = [record for part in self.SLICES for record in part]
        self.assertEqual([*live, *((2, str(n).encode()) for n in range(5))], Journal(self.path).read())

    def test_slices_and_appends_are_in_chronological_order(self) -> None:
        async def run() -> None:
            opened = await self.written()

            def slices() -> Iterator[list[Record]]:
                yield [(1, b"first")]
                opened.append(2, b"between")
                yield [(1, b"second")]

            self.assertTrue(await opened.rewrite(slices))
            self.assertTrue(await opened.sync())
            self.assertEqual(self.path.stat().st_size, opened.size)

        asyncio.run(run())
        self.assertEqual([(1, b"first"), (2, b"between"), (1, b"second")], Journal(self.path).read())

    def test_one_rewrite_at_a_time(self) -> None:
        async def run() -> None:
            opened = await self.written()
            both = await asyncio.gather(opened.rewrite(lambda: self.SLICES), opened.rewrite(lambda: []))
            self.assertEqual([True, False], both)

        asyncio.run(run())
        self.assertEqual([r for part in self.SLICES for r in part], Journal(self.path).read())


class FullDiskTest(JournalCase):
    LIVE: tuple[Record, ...] = ((1, b"x" * 100),)

    def _no_space_for(self, opened: Journal, name: str, calls: int) -> Any:
        """Fail the first `calls` calls on files other than the journal with ENOSPC; all others succeed."""
        real, left = getattr(os, name), [calls]

        def call(first: Any, *rest: Any) -> Any:
            if first != opened._file and left[0] > 0:
                left[0] -= 1
                raise OSError(errno.ENOSPC, "no space left on device")
            return real(first, *rest)

        return mock.patch.object(os, name, call)

    def test_no_space_for_the_new_file_leaves_the_journal_usable(self) -> None:
        async def run() -> None:
            for name in ("open", "write", "fsync"):
                self.path.unlink(missing_ok=True)
                opened = await self.written()
                with self._no_space_for(opened, name, 1):
                    self.assertFalse(await opened.rewrite(lambda: [self.LIVE]), name)
                    self.assertIsNone(opened.failed)
                    opened.append(7, b"next")
                    self.assertTrue(await opened.sync())
                await asyncio.wrap_future(opened._rewrite_thread.submit(lambda: None))
                self.assertEqual(["file"], [p.name for p in self.path.parent.iterdir()])
                self.assertEqual([*RECORDS, (7, b"next")], Journal(self.path).read())
                self.assertTrue(await opened.rewrite(lambda: [self.LIVE]))
                self.assertEqual(list(self.LIVE), Journal(self.path).read())

        asyncio.run(run())

    def test_an_append_without_space_abandons_the_rewrite(self) -> None:
        async def run() -> None:
            opened, real, full = await self.written(), os.write, [False]

            def write(file: int, data: Any) -> int:
                if file == opened._file and full[0] and (self.path.parent / "file.new").exists():
                    raise OSError(errno.ENOSPC, "no space left on device")
                return real(file, data)

            def slices() -> Iterator[tuple[Record, ...]]:
                yield self.LIVE
                full[0] = True
                opened.append(7, b"next")
                syncing.append(asyncio.ensure_future(opened.sync()))
                for _ in range(1000):
                    yield self.LIVE

            syncing: list[asyncio.Future[bool]] = []
            with mock.patch.object(os, "write", write), mock.patch.object(journal, "CHUNK_BYTES", 1):
                self.assertFalse(await opened.rewrite(slices))
                self.assertTrue(await syncing[0])
            self.assertIsNone(opened.failed)

        asyncio.run(run())
        self.assertEqual([*RECORDS, (7, b"next")], Journal(self.path).read())


class StartTest(JournalCase):
    def test_a_large_file_is_not_read_into_memory(self) -> None:
        payload, count = bytes(64 * 1024), 320  # 20 MB
        asyncio.run(self.written((3, payload) for _ in range(count)))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        size = sum(len(payload) for _, payload in Journal(self.path).open())
        self.assertEqual(count * len(payload), size)
        self.assertLess(tracemalloc.get_traced_memory()[1], 2_000_000)


class FailingDiskTest(JournalCase):
    def _failing(self, name: str) -> Any:
        return mock.patch.object(os, name, side_effect=OSError(errno.EIO, "input/output error"))

    def test_failed_sync_is_final(self) -> None:
        async def run() -> None:
            for name in ("write", "fsync"):
                opened = await self.written()
                opened.append(1, b"x")
                with self._failing(name):
                    first, second = await asyncio.gather(opened.sync(), opened.sync())
                self.assertEqual((False, False), (first, second))
                assert opened.failed is not None
                self.assertEqual(Code.DISK_FAILED, opened.failed.code)
                opened.append(1, b"y")
                self.assertFalse(await opened.sync())
                self.assertFalse(await opened.rewrite(lambda: []))

        asyncio.run(run())

    def test_failed_rewrite_is_final(self) -> None:
        async def run() -> None:
            for name in ("open", "write", "fsync", "rename"):
                opened = await self.written([])
                with self._failing(name):
                    self.assertFalse(await opened.rewrite(lambda: [[(1, b"x")]]), name)
                self.assertFalse(await opened.sync())

        asyncio.run(run())

    def test_a_failed_truncation_of_a_torn_tail_is_raised(self) -> None:
        for name in ("open", "ftruncate", "fsync"):
            with self._failing(name), self.assertRaises(OSError):
                Journal(self.path).read()

    def test_full_disk_in_the_middle_of_a_write(self) -> None:
        async def run() -> None:
            opened = await self.written()
            real, calls = os.write, 0

            def short(file: int, data: Any) -> int:
                nonlocal calls
                calls += 1
                if calls == 3:
                    raise OSError(errno.ENOSPC, "no space left on device")
                return real(file, bytes(data)[:5])

            opened.append(4, b"does not fit")
            with mock.patch.object(os, "write", short):
                self.assertFalse(await opened.sync())

        asyncio.run(run())
        self.assertEqual(RECORDS, Journal(self.path).read())
