"""Compaction of a journal (otterreach/runtime/compaction.py): thresholds, retries, power losses and a full disk."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Iterator
from random import Random

from otterreach.runtime.codes import Failure
from otterreach.runtime.compaction import RETRY_S, Compaction, Limits
from otterreach.runtime.journal import LiveSlices
from otterreach.runtime.journal_format import Record
from otterreach.simulation.disk import Disk, VirtualJournal
from tests.virtual import run

SLICES: list[list[Record]] = [[(1, bytes([65 + n]) * 50)] for n in range(8)]
LIVE: list[Record] = [record for part in SLICES for record in part]


class CountingJournal:
    """A journal that counts the rewrites; each takes a second and succeeds according to `succeeds`."""

    def __init__(self, size: int) -> None:
        self.size, self.rewrites, self.succeeds = size, 0, True
        self.failed: Failure | None = None

    async def rewrite(self, live: LiveSlices) -> bool:
        self.rewrites += 1
        await asyncio.sleep(1.0)
        if self.succeeds:
            self.size = 10
        return self.succeeds


class CompactionTest(unittest.TestCase):
    def test_only_a_long_file_that_is_mostly_out_of_date(self) -> None:
        async def scenario() -> None:
            for size, live, due in ((100, 0, False), (101, 0, True), (400, 100, False), (401, 100, True)):
                journal = CountingJournal(size)
                compaction = Compaction(journal, lambda: [], lambda live=live: live, Limits(100, 4.0))  # type: ignore[misc]
                compaction.start_if_due()
                await asyncio.sleep(2.0)
                self.assertEqual(due, journal.rewrites == 1, f"{size} {live}")

        run(scenario)

    def test_one_at_a_time_and_not_again_soon_without_room(self) -> None:
        async def scenario() -> None:
            journal = CountingJournal(1000)
            journal.succeeds = False
            compaction = Compaction(journal, lambda: [], lambda: 0, Limits(100, 4.0))
            for _ in range(int((RETRY_S + 0.5) / 0.1)):
                compaction.start_if_due()
                await asyncio.sleep(0.1)
            self.assertEqual(1, journal.rewrites)
            await asyncio.sleep(1.0)
            compaction.start_if_due()
            await asyncio.sleep(0.1)
            self.assertEqual(2, journal.rewrites)

        run(scenario)


class VirtualDiskTest(unittest.TestCase):
    """The virtual disk gives the same guarantees as the real one: the simulation tests code that relies on them."""

    def test_power_goes_while_the_file_is_rewritten(self) -> None:
        """A power loss at any time neither loses an acknowledged record nor duplicates one."""
        replaced = 0
        for seed in range(300):
            disk, random = Disk(Random(seed)), Random(seed)
            acknowledged: list[int] = []

            async def scenario(disk: Disk = disk, random: Random = random, synced: list[int] = acknowledged) -> None:
                journal = VirtualJournal(disk)
                journal.append(9, b"old")
                await journal.sync()

                async def appends() -> None:
                    for number in range(1000):
                        journal.append(2, str(number).encode())
                        if await journal.sync():
                            synced.append(number)

                work = [asyncio.ensure_future(journal.rewrite(lambda: SLICES)), asyncio.ensure_future(appends())]
                await asyncio.wait(work, timeout=random.uniform(0.0, 0.03))

            run(scenario)
            disk.power_lost()
            records = VirtualJournal(disk).read()
            replaced += (9, b"old") not in records
            expected: list[Record] = [(9, b"old")] if (9, b"old") in records else LIVE
            self.assertEqual(expected, [r for r in records if r[0] != 2], seed)
            numbers = [int(payload) for kind, payload in records if kind == 2]
            self.assertEqual(list(range(len(numbers))), numbers, seed)
            self.assertGreaterEqual(len(numbers), len(acknowledged), seed)
        self.assertGreater(replaced, 50)
        self.assertLess(replaced, 250)

    def test_a_full_disk_ends_the_rewrite_and_not_the_log(self) -> None:
        async def scenario() -> None:
            disk = Disk(Random(1))
            journal = VirtualJournal(disk)
            journal.append(1, b"x" * 100)
            await journal.sync()
            disk.room = len(disk.data) + 120

            def slices() -> Iterator[list[Record]]:
                yield [(1, b"y" * 60)]
                journal.append(2, b"z" * 60)
                syncing.append(asyncio.ensure_future(journal.sync()))
                yield [(1, b"y")]
                yield [(1, b"y")]

            syncing: list[asyncio.Future[bool]] = []
            self.assertFalse(await journal.rewrite(slices))
            self.assertTrue(await syncing[0])
            self.assertIsNone(journal.failed)
            journal.append(3, b"z" * 60)
            self.assertFalse(await journal.sync())
            self.assertIsNotNone(journal.failed)
            self.assertEqual([(1, b"x" * 100), (2, b"z" * 60)], VirtualJournal(disk).read())

        run(scenario)


if __name__ == "__main__":
    unittest.main()
