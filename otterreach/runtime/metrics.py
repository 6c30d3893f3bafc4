"""Metrics of a process in the Prometheus text format. Imported at the first request for them."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily

from otterreach.runtime.figures import MetricSource, MetricType
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.http import JsonServer, Reply
from otterreach.sidecar import http1

METRICS_PATH = b"/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "otterreach_"
MAX_CONNECTIONS = 32
MAX_BODY = 16 * 1024  # a request for metrics has none


class Collector:
    """A collector that converts the samples of its sources to metric families of prometheus_client."""

    def __init__(self, sources: Iterable[MetricSource]) -> None:
        self.sources = list(sources)

    def collect(self) -> Iterable[Any]:
        """Return the current metric families; prometheus_client calls this for each scrape."""
        families: dict[str, Any] = {}
        for sample in (sample for source in self.sources for sample in source()):
            if isinstance(sample, Histogram):
                buckets = [("+Inf" if bound == float("inf") else str(bound), n) for bound, n in sample.cumulative()]
                name = PREFIX + sample.name
                families[name] = HistogramMetricFamily(name, sample.help, buckets=buckets, sum_value=sample.sum_s)
                continue
            family = families.get(sample.name)
            if family is None:
                kind = CounterMetricFamily if sample.kind is MetricType.COUNTER else GaugeMetricFamily
                family = kind(PREFIX + sample.name, sample.help, labels=list(sample.labels))
                families[sample.name] = family
            family.add_metric(list(sample.labels.values()), sample.value)
        return families.values()


def render(sources: Iterable[MetricSource]) -> bytes:
    """Render the metrics of all sources as text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector(sources))
    return bytes(generate_latest(registry))


def answer(sources: Iterable[MetricSource], request: http1.Request) -> Reply:
    """Answer GET /metrics; other paths and methods are rejected."""
    if request.target.partition(b"?")[0] != METRICS_PATH:
        return Reply(HTTPStatus.NOT_FOUND)
    if request.method != b"GET":
        return Reply(HTTPStatus.METHOD_NOT_ALLOWED)
    return Reply(HTTPStatus.OK, render(sources), CONTENT_TYPE)


def metrics_server(sources: Iterable[MetricSource]) -> JsonServer:
    """Return an HTTP server for these sources that is not listening yet."""
    source_list = list(sources)

    async def handle(request: http1.Request) -> Reply:
        """Answer one request."""
        return answer(source_list, request)

    return JsonServer(handle, max_connections=MAX_CONNECTIONS, max_body=MAX_BODY)
