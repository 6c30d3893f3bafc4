"""The start on a full disk (otterreach/jobstore/disk_probe.py)."""

from __future__ import annotations

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from otterreach.jobstore.disk_probe import MAX_WAIT_S, RETRY_S, is_writable, wait_until_writable
from tests.virtual import VirtualLoop


class DiskProbeTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"

    def waits(self, answers: list[bool]) -> float:
        """Return how long a start waits if the probes of the disk have these results."""
        loop = VirtualLoop()
        self.addCleanup(loop.close)

        async def scenario() -> float:
            began = loop.time()
            await wait_until_writable(self.folder)
            return loop.time() - began

        async def at_once(executor: None, step: object, *args: object) -> bool:
            return answers.pop(0) if answers else False

        with mock.patch.object(loop, "run_in_executor", at_once):
            return loop.run_until_complete(scenario())

    def test_a_disk_that_takes_writes_is_left_as_it_was(self) -> None:
        self.assertTrue(is_writable(self.folder))
        self.assertEqual([], list(self.folder.iterdir()))

    def test_a_full_disk(self) -> None:
        with mock.patch.object(os, "write", side_effect=OSError(errno.ENOSPC, "no space left on device")):
            self.assertFalse(is_writable(self.folder))
        self.assertEqual([], list(self.folder.iterdir()))

    def test_the_start_waits_for_free_space_for_a_limited_time(self) -> None:
        self.assertEqual(0.0, self.waits([True]))
        self.assertAlmostEqual(2 * RETRY_S, self.waits([False, False, True]))
        self.assertLess(self.waits([]), MAX_WAIT_S + 2 * RETRY_S)


if __name__ == "__main__":
    unittest.main()
