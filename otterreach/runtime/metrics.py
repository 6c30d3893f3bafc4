"""Metrics of a process in the Prometheus text format. Imported at the first request for them."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily

from otterreach.runtime.figures import FigureKind, FigureSource
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.http import JsonServer, Reply
from otterreach.sidecar import http1

METRICS_PATH = b"/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "otterreach_"


class Collector:
    """A collector that converts the figures of its sources to metric families of prometheus_client."""

    def __init__(self, sources: Iterable[FigureSource]) -> None:
        self.sources = list(sources)

    def collect(self) -> Iterable[Any]:
        """Return the current metric families; prometheus_client calls this for each scrape."""
        families: dict[str, Any] = {}
        for figure in (figure for source in self.sources for figure in source()):
            if isinstance(figure, Histogram):
                buckets = [("+Inf" if bound == float("inf") else str(bound), n) for bound, n in figure.cumulative()]
                name = PREFIX + figure.name
                families[name] = HistogramMetricFamily(name, figure.help, buckets=buckets, sum_value=figure.sum_s)
                continue
            family = families.get(figure.name)
            if family is None:
                kind = CounterMetricFamily if figure.kind is FigureKind.COUNTER else GaugeMetricFamily
                family = kind(PREFIX + figure.name, figure.help, labels=list(figure.labels))
                families[figure.name] = family
            family.add_metric(list(figure.labels.values()), figure.value)
        return families.values()


def render(sources: Iterable[FigureSource]) -> bytes:
    """Render the figures of all sources as text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector(sources))
    return bytes(generate_latest(registry))


def answer(sources: Iterable[FigureSource], request: http1.Request) -> Reply:
    """Answer GET /metrics; other paths and methods are rejected."""
    if request.target.partition(b"?")[0] != METRICS_PATH:
        return Reply(HTTPStatus.NOT_FOUND)
    if request.method != b"GET":
        return Reply(HTTPStatus.METHOD_NOT_ALLOWED)
    return Reply(HTTPStatus.OK, render(sources), CONTENT_TYPE)


def metrics_server(sources: Iterable[FigureSource]) -> JsonServer:
    """Return an HTTP server for these sources that is not listening yet."""
    source_list = list(sources)

    async def handle(request: http1.Request) -> Reply:
        """Answer one request."""
        return answer(source_list, request)

    return JsonServer(handle)
