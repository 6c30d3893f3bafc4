"""Figures of a running process: what a role counts and measures. metrics.py has the form in which they are told."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from otterreach.runtime.histogram import Histogram


class FigureKind(Enum):
    """How a value moves."""

    GAUGE = "gauge"  # up and down
    COUNTER = "counter"  # up only, within one life of the process


@dataclass(frozen=True, slots=True)
class Figure:
    """One value. Its name ends with the unit, as is usual: `_seconds`, `_bytes`, and `_total` for counters."""

    name: str
    help: str
    value: float
    labels: Mapping[str, str] = field(default_factory=dict)
    kind: FigureKind = FigureKind.GAUGE


FigureSource = Callable[[], Iterable[Figure | Histogram]]
