"""Pure functions that compute the table of results from the measurements."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from statistics import median
from typing import Any

TOP_MESSAGE_KINDS = 6  # number of message kinds shown for a role


@dataclass(slots=True)
class Sample:
    """Measurements of one process over one phase."""

    role: str
    seconds: float
    cpu_s: float
    memory_mb: float
    files: int
    counted_s: float
    counts: Counter[str] = field(default_factory=Counter)


def rate(count: float, seconds: float) -> float:
    """Return the counts per second."""
    return round(count / seconds, 1) if seconds > 0 else 0.0


def _row(samples: list[Sample], nodes: int) -> dict[str, Any]:
    """Return the means per node of a role, whose `nodes` nodes share these processes."""
    seconds = max(s.seconds for s in samples)
    counted = max(s.counted_s for s in samples)
    total: Counter[str] = Counter()
    for sample in samples:
        total.update(sample.counts)
    busy = [s.cpu_s / s.seconds for s in samples if s.seconds > 0]
    kinds = {name: n for name, n in total.items() if "bytes" not in name}
    return {
        "nodes": nodes,
        "processes": len(samples),
        "cores mean": round(sum(s.cpu_s for s in samples) / seconds / nodes, 5) if seconds else 0.0,
        "cores most": round(max(busy, default=0.0) * len(samples) / nodes, 5),
        "memory mb": round(sum(s.memory_mb for s in samples) / nodes, 1),
        "files": round(sum(s.files for s in samples) / nodes),
        "messages in": rate(sum(n for k, n in kinds.items() if k.startswith("in ")) / nodes, counted),
        "messages out": rate(sum(n for k, n in kinds.items() if k.startswith("out ")) / nodes, counted),
        "bytes in": rate((total["in bytes"] + total["in http bytes"]) / nodes, counted),
        "bytes out": rate(total["out bytes"] / nodes, counted),
        "most": {k: rate(n / nodes, counted) for k, n in Counter(kinds).most_common(TOP_MESSAGE_KINDS)},
    }


def by_role(samples: list[Sample], nodes: dict[str, int]) -> dict[str, dict[str, Any]]:
    """Return a row for each role; `nodes` is the number of nodes that the processes of a role represent."""
    roles = list(dict.fromkeys(s.role for s in samples))
    return {role: _row([s for s in samples if s.role == role], nodes[role]) for role in roles}


def propagation_delays(started: float, times: dict[str, float], expected: int) -> dict[str, Any]:
    """Return the seconds from `started` until a change took effect, and the number of followers that lack it.

    The seconds are the median and the maximum over the followers.
    """
    delays = [t - started for t in times.values()]
    middle, most = (round(median(delays), 3), round(max(delays), 3)) if delays else (None, None)
    return {"median s": middle, "max s": most, "missing": expected - len(delays)}


def slope(small: tuple[float, float], large: tuple[float, float]) -> tuple[float, float]:
    """Return the intercept and the slope of the line through two points (count, value).

    For equal counts: the mean of the values and a slope of 0.
    """
    (x0, y0) = small
    (x1, y1) = large
    if x0 == x1:
        return (y0 + y1) / 2, 0.0
    growth = (y1 - y0) / (x1 - x0)
    return y0 - growth * x0, growth
