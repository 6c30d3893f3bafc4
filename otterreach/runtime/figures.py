"""Metrics of a running process, as the roles report them. metrics.py renders them for Prometheus."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from otterreach.runtime.histogram import Histogram


class MetricType(Enum):
    """The type of a metric."""

    GAUGE = "gauge"  # can increase and decrease
    COUNTER = "counter"  # only increases within one incarnation of the process


@dataclass(frozen=True, slots=True)
class MetricSample:
    """One sample of a metric.

    By convention the name ends with the unit (`_seconds`, `_bytes`); counters end with `_total`.
    """

    name: str
    help: str
    value: float
    labels: Mapping[str, str] = field(default_factory=dict)
    kind: MetricType = MetricType.GAUGE


MetricSource = Callable[[], Iterable[MetricSample | Histogram]]
