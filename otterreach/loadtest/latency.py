"""Latency percentiles: in bounded memory with the library hdrhistogram (extra `dev`), else from all values."""

from __future__ import annotations

import importlib
from math import ceil
from typing import Any

MAX_US = 10 * 60 * 1_000_000
POINTS = (10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)


def _recorder() -> Any:
    try:
        return importlib.import_module("hdrh.histogram").HdrHistogram(1, MAX_US, 3)
    except ImportError:
        return None


class Latencies:
    """Latencies in seconds, and their percentiles."""

    def __init__(self) -> None:
        self._recorder = _recorder()
        self._values: list[float] = []
        self.count = 0

    def add(self, seconds: float) -> None:
        """Record a latency."""
        self.count += 1
        if self._recorder is not None:
            self._recorder.record_value(min(MAX_US, max(1, round(seconds * 1e6))))
        else:
            self._values.append(seconds)

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds; 0 if no latency was recorded."""
        if not self.count:
            return 0.0
        if self._recorder is not None:
            return float(self._recorder.get_value_at_percentile(percent)) / 1e6
        rank = ceil(self.count * percent / 100) - 1
        return sorted(self._values)[max(0, rank)]

    def points(self) -> dict[str, float]:
        """Return the percentiles in POINTS, in seconds; empty if no latency was recorded."""
        return {f"{p:g}": round(self.percentile(p), 6) for p in POINTS} if self.count else {}
