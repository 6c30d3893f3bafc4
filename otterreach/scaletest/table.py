"""From what was measured to the table. Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from statistics import median
from typing import Any

TOP = 6  # kinds of messages shown for a role


@dataclass(slots=True)
class Sample:
    """One process over one phase."""

    role: str
    seconds: float
    cpu_s: float
    memory_mb: float
    files: int
    counted_s: float
    counts: Counter[str] = field(default_factory=Counter)


def rate(count: float, seconds: float) -> float:
    """Counts per second."""
    return round(count / seconds, 1) if seconds > 0 else 0.0


def _row(samples: list[Sample], nodes: int) -> dict[str, Any]:
    """Means for one node of a role; `nodes` share these processes."""
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
        "most": {k: rate(n / nodes, counted) for k, n in Counter(kinds).most_common(TOP)},
    }


def by_role(samples: list[Sample], nodes: dict[str, int]) -> dict[str, dict[str, Any]]:
    """A row for each role; `nodes` tells how many nodes its processes stand for."""
    roles = list(dict.fromkeys(s.role for s in samples))
    return {role: _row([s for s in samples if s.role == role], nodes[role]) for role in roles}


def spread(begun: float, times: dict[str, float], expected: int) -> dict[str, Any]:
    """Seconds from `begun` until it was in force: median and most over the followers, and how many lack it."""
    delays = [t - begun for t in times.values()]
    middle, most = (round(median(delays), 3), round(max(delays), 3)) if delays else (None, None)
    return {"median s": middle, "max s": most, "missing": expected - len(delays)}


def slope(small: tuple[float, float], large: tuple[float, float]) -> tuple[float, float]:
    """(value at nothing, growth for each one) of the line through two points (count, value).

    Of the same count: their mean, no growth.
    """
    (x0, y0) = small
    (x1, y1) = large
    if x0 == x1:
        return (y0 + y1) / 2, 0.0
    each = (y1 - y0) / (x1 - x0)
    return y0 - each * x0, each
