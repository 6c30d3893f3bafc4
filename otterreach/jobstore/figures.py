"""Metrics of a job store node: replicas, leaderships, items, proxies."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from otterreach.jobstore.node import JobStoreNode
from otterreach.jobstore.partition_replica import ReplicaState
from otterreach.jobstore.proxy_sessions import SessionState
from otterreach.runtime.figures import MetricSample
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.node_figures import repeated_work_metrics


def job_store_metrics(node: JobStoreNode) -> Iterable[MetricSample | Histogram]:
    """Yield the metrics of a job store node."""
    replication = node.replication
    states = Counter(replica.state for replica in replication.replicas)
    for state in ReplicaState:
        yield MetricSample("replicas", "Partition replicas here.", states[state], {"state": state.value})
    leaders = replication.leaders.values()
    yield MetricSample("partitions_led", "Partitions that this node is primary of.", len(leaders))
    confirmed = sum(leader.is_confirmed for leader in leaders)
    yield MetricSample("partitions_served", "Those of which all members have answered of late.", confirmed)
    dispatcher = node.dispatcher
    yield MetricSample("jobs_open", "Open batch jobs of the partitions served here.", len(dispatcher.open_jobs))
    pending = sum(len(queue) for queue in dispatcher.pending.values())
    yield MetricSample("items_pending", "Items that are at no proxy.", pending)
    sessions = dispatcher.sessions.by_node.values()
    yield MetricSample("items_assigned", "Items that are at proxies.", sum(len(session.items) for session in sessions))
    for session_state in SessionState:
        count = sum(session.state is session_state for session in sessions)
        yield MetricSample("proxies", "Proxies that have pinged.", count, {"state": session_state.value})
    yield from repeated_work_metrics(dispatcher.assignments)
