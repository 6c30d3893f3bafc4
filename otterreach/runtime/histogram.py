"""A histogram of durations. Every process imports it at its start, so it has no imports that take time."""

from __future__ import annotations

from bisect import bisect_left

BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class Histogram:
    """A metric that counts durations by bucket."""

    def __init__(self, name: str, help: str) -> None:
        self.name = name
        self.help = help
        self.sum_s = 0.0
        self._counts = [0] * (len(BOUNDS_S) + 1)

    def observe(self, seconds: float) -> None:
        """Add one duration."""
        self._counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.sum_s += seconds

    def cumulative(self) -> list[tuple[float, int]]:
        """Return each bucket's upper bound in seconds, the last one infinite, with the number of durations up to it."""
        rows = []
        total = 0
        for bound, count in zip((*BOUNDS_S, float("inf")), self._counts, strict=True):
            total += count
            rows.append((bound, total))
        return rows
