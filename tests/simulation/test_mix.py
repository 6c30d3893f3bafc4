"""A thousand seeds of the simulation, the same each time: the command plays them in processes of their own."""

from __future__ import annotations

import os
import subprocess
import sys
import time
import unittest

SEEDS = 1000
PROCESSES = min(4, os.cpu_count() or 1)
WITHIN_S = 600.0  # of wall time; the machine may be busy with other work


class MixTest(unittest.TestCase):
    def test_thousand_seeds_keep_all_promises(self) -> None:
        command = [sys.executable, "-m", "otterreach.simulation", "--scenario", "brief", "--first", "1"]
        command += ["--seeds", str(SEEDS), "--jobs-at-once", str(PROCESSES)]
        began = time.monotonic()
        done = subprocess.run(command, capture_output=True, text=True, timeout=WITHIN_S, check=False)
        print(f"{SEEDS} seeds in {time.monotonic() - began:.1f} s on {PROCESSES} processes: {done.stdout[-300:]}")
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        self.assertIn(f"runs={SEEDS}", done.stdout)
