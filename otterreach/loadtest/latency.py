"""How long things took: in bounded memory with the library hdrhistogram (extra `dev`), else every value is kept."""

from __future__ import annotations

import importlib
from math import ceil
from typing import Any

MOST_US = 10 * 60 * 1_000_000
POINTS = (10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)


def _recorder() -> Any:
    try:
        return importlib.import_module("hdrh.histogram").HdrHistogram(1, MOST_US, 3)
    except ImportError:
        return None


class Latencies:
    """Values in seconds in, percentiles out."""

    def __init__(self) -> None:
        self._recorder = _recorder()
        self._values: list[float] = []
        self.count = 0

    def add(self, seconds: float) -> None:
        """Count one time."""
        self.count += 1
        if self._recorder is not None:
            self._recorder.record_value(min(MOST_US, max(1, round(seconds * 1e6))))
        else:
            self._values.append(seconds)

    def percentile(self, percent: float) -> float:
        """In seconds; 0 if there is none."""
        if not self.count:
            return 0.0
        if self._recorder is not None:
            return float(self._recorder.get_value_at_percentile(percent)) / 1e6
        place = ceil(self.count * percent / 100) - 1
        return sorted(self._values)[max(0, place)]

    def points(self) -> dict[str, float]:
        """Percentile -> seconds."""
        return {f"{p:g}": round(self.percentile(p), 6) for p in POINTS} if self.count else {}
