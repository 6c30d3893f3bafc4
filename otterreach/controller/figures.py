"""Metrics of a controller: its role in the epoch, the live members, and the use of its API."""

from __future__ import annotations

from collections.abc import Iterable

from otterreach.controller.coordination_records import LockRecord
from otterreach.controller.local_replica import Mode
from otterreach.controller.node import ControllerNode
from otterreach.runtime.figures import MetricSample, MetricType
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.node_figures import budget_metrics, repeated_work_metrics
from otterreach.runtime.records import MemberRecord


def controller_metrics(controller: ControllerNode) -> Iterable[MetricSample | Histogram]:
    """Return the metrics of a controller."""
    replica = controller.control.replica
    for mode in Mode:
        yield MetricSample(
            "controller_mode", "1 for the mode that it is in.", replica.mode is mode, {"mode": mode.value}
        )
    accepted = replica.accepted
    yield MetricSample("epoch", "The number of the epoch that it has accepted.", accepted.number if accepted else 0)
    yield MetricSample("epoch_promised", "The highest number that it has promised.", replica.promised)
    yield MetricSample("epoch_backups", "Backups of that epoch.", len(accepted.backups) if accepted else 0)
    yield MetricSample("epoch_witnesses", "Witnesses of that epoch.", len(accepted.witnesses) if accepted else 0)
    members = [f"{node}#{record.disk}" for node, record in replica.store.records(MemberRecord).items()]
    alive = sum(controller.detector.is_alive(member) for member in members)
    yield MetricSample("members", "Members in the control state.", len(members))
    yield MetricSample("members_alive", "Those whose heartbeats were heard of late, as far as is known here.", alive)
    yield MetricSample(
        "lock_records", "Locks that are held, or were until a moment ago.", len(replica.store.records(LockRecord))
    )
    yield MetricSample(
        "watches_waiting", "Watches that wait here for a put, at the primary.", controller.watches.waiting
    )
    for kind, count in sorted(controller.api.answers.items()):
        labels = {"resource": kind.resource, "status": str(kind.status)}
        yield MetricSample("api_answers_total", "Answers to callers of the API.", count, labels, MetricType.COUNTER)
    yield from budget_metrics(controller.server.budget)
    yield from repeated_work_metrics(controller.control.election.attempts)
