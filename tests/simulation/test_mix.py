"""A thousand fixed seeds of the simulation, played by the command in separate processes."""

from __future__ import annotations

import os
import subprocess
import sys
import time
import unittest

SEEDS = 1000
PROCESSES = min(4, os.cpu_count() or 1)
TIMEOUT_S = 600.0  # wall time; generous, as the machine may be busy


class MixTest(unittest.TestCase):
    def test_thousand_seeds_keep_all_promises(self) -> None:
        command = [sys.executable, "-m", "otterreach.simulation", "--scenario", "brief", "--first", "1"]
        command += ["--seeds", str(SEEDS), "--jobs-at-once", str(PROCESSES)]
        started = time.monotonic()
        done = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
        print(f"{SEEDS} seeds in {time.monotonic() - started:.1f} s on {PROCESSES} processes: {done.stdout[-300:]}")
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        self.assertIn(f"runs={SEEDS}", done.stdout)
