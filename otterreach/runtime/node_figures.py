"""Metrics that every role has: age of the control state, messages, connections, processor time, repeated work."""

from __future__ import annotations

import time
from collections.abc import Iterable

from otterreach.runtime.figures import MetricSample, MetricType
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.journal import Journal
from otterreach.runtime.node import Node
from otterreach.runtime.repeated_work import RepeatedWork
from otterreach.sidecar.memory_budget import MemoryBudget

COUNTER = MetricType.COUNTER


def node_metrics(node: Node) -> Iterable[MetricSample]:
    """Return the metrics of the process and of its place in the relay tree."""
    endpoint = node.endpoint
    follower = node.follower
    yield MetricSample("control_state_age_seconds", "How old the copy of the control state may be.", follower.age_s())
    yield MetricSample("control_state_revision", "The newest revision here.", node.store.revision)
    yield MetricSample("control_state_items", "Items of the control state, tombstones included.", len(node.store.items))
    yield MetricSample("relay_children", "Processes that follow this one.", len(follower.relay.children))
    yield MetricSample("links", "Open connections to other processes of the system.", len(endpoint.links))
    yield MetricSample("processor_seconds_total", "Processor time used.", time.process_time(), kind=COUNTER)
    for kind, count in endpoint.sent.items():
        yield MetricSample("messages_sent_total", "Messages to own processes.", count, {"kind": kind.__name__}, COUNTER)
    for kind, count in endpoint.received.items():
        yield MetricSample(
            "messages_received_total", "Messages of own processes.", count, {"kind": kind.__name__}, COUNTER
        )
    yield from repeated_work_metrics(follower.attachments)


def budget_metrics(budget: MemoryBudget) -> Iterable[MetricSample]:
    """Return the metrics of what callers make a process hold."""
    yield MetricSample("caller_bytes", "Bytes that the process holds for its callers.", budget.used_bytes)
    yield MetricSample("caller_bytes_limit", "The limit of these bytes.", budget.limit_bytes)
    yield MetricSample(
        "evicted_requests_total", "Incomplete requests refused at that limit.", budget.evictions, kind=COUNTER
    )


def repeated_work_metrics(*works: RepeatedWork) -> Iterable[MetricSample]:
    """Return the metrics of steps that were repeated without progress."""
    for work in works:
        labels = {"work": work.name}
        yield MetricSample("repeated_work_total", "Steps repeated without progress.", work.total, labels, COUNTER)
        yield MetricSample("repeated_work_most", "Repetitions of one subject, at most.", work.max_repetitions(), labels)


def journal_metrics(journal: Journal) -> Iterable[MetricSample | Histogram]:
    """Return the metrics of a journal, for roles with a disk."""
    yield MetricSample("journal_bytes", "Size of the journal.", journal.size)
    yield MetricSample("journal_failed", "1 if the disk has refused a write.", journal.failed is not None)
    yield journal.sync_times
