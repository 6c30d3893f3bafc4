"""The metrics of a proxy: requests, attempts at model servers, items by phase."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from otterreach.proxy.item_run import Phase
from otterreach.proxy.node import Proxy
from otterreach.runtime.figures import MetricSample, MetricType
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.node_figures import budget_metrics, repeated_work_metrics

COUNTER = MetricType.COUNTER


def proxy_metrics(proxy: Proxy) -> Iterable[MetricSample | Histogram]:
    """Yield the metrics of one proxy."""
    ingress = proxy.ingress
    yield MetricSample("ready", "1 while the proxy takes requests.", proxy.ready)
    yield MetricSample("configuration_version", "The configuration in force here.", proxy.fleet.config.version)
    yield MetricSample("client_connections", "Open connections of clients.", len(ingress.clients))
    pending = sum(client.has_pending_answer for client in ingress.clients)
    yield MetricSample("requests_in_flight", "Requests of clients that wait for their answers.", pending)
    for status, count in sorted(ingress.answers.items()):
        yield MetricSample("answers_total", "Answers to clients.", count, {"status": str(status)}, COUNTER)
    yield ingress.answer_times
    yield from budget_metrics(ingress.budget)
    yield from _server_metrics(proxy)
    yield from _item_metrics(proxy)
    yield from repeated_work_metrics(proxy.orders.repeated)


def _server_metrics(proxy: Proxy) -> Iterable[MetricSample]:
    servers = proxy.fleet.servers.values()
    yield MetricSample("servers_open", "Model servers that may get requests.", sum(server.open for server in servers))
    open_now = sum(len(server.pool.connections) for server in servers)
    yield MetricSample("server_connections", "Open connections to model servers.", open_now)
    for outcome, count in sorted(proxy.fleet.outcomes.items()):
        yield MetricSample("attempts_total", "Attempts at model servers.", count, {"outcome": outcome}, COUNTER)
    skipped = proxy.fleet.skipped_answers
    yield MetricSample("skipped_answers_total", "Late copies of answers to other requests.", skipped, kind=COUNTER)


def _item_metrics(proxy: Proxy) -> Iterable[MetricSample]:
    runner = proxy.runner
    phases = Counter(run.phase for run in runner.runs.values())
    for phase in Phase:
        if phase is not Phase.DONE:
            yield MetricSample("items", "Items of batch jobs here.", phases[phase], {"phase": phase.name.lower()})
    now = proxy.fleet.loop.time()
    waiting = [run for run in runner.runs.values() if run.phase in (Phase.QUEUED, Phase.PAUSED)]
    longest_s = max((now - run.left_server_at for run in waiting), default=0.0)
    yield MetricSample("items_wait_seconds", "The longest time that an item has been at no server.", longest_s)
    yield MetricSample("items_returned_total", "Items for which no server was reached.", runner.returned, kind=COUNTER)
