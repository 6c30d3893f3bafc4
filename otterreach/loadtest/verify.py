"""Verification of the results that trainers have read against the servers' ground truth."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

from otterreach.loadtest.ground_truth import (
    EventData,
    GroundTruth,
    OrderRecord,
    body_of,
    mark,
    parse_event_data,
)
from otterreach.loadtest.plan import Plan
from otterreach.loadtest.trainer import BatchJob, Item
from otterreach.sidecar import http1

SLACK_S = 0.1  # tolerance for delays of the event loop that records the ground truth


def check_text(item: Item, text: str, stride: int) -> list[EventData] | str:
    """Return the events of a text, or the fault if it is incomplete or altered."""
    lines = [parse_event_data(row) for row in text.split("\n")]
    total = -(-item.tokens_out // stride)
    if len(lines) != total:
        return f"{len(lines)} events of {total}"
    found: list[EventData] = []
    for number, line in enumerate(lines, 1):
        if line is None or line.number != number or line.mark != mark(item.id, number):
            return f"event {number} differs from the engine's event for this item"
        found.append(line)
    return found


def check_resumptions(item: Item, lines: list[EventData], ground_truth: GroundTruth) -> str:
    """Return the fault if a text is not one run, continued only by runs that resumed after the preceding event."""
    for before, line in zip([None, *lines], lines, strict=False):
        made = ground_truth.runs.get(line.run)
        if made is None or made.request != item.id:
            return f"event {line.number} belongs to no run of this item"
        if (before is None or before.run != line.run) and made.after != line.number - 1:
            return f"event {line.number} comes from a run that resumed after event {made.after}"
    return ""


def check_versions(job: BatchJob, row: dict[str, Any], lines: list[EventData]) -> str:
    """Return the fault in the versions of a result; empty if there is none."""
    reported = sorted(row.get("versions") or [])
    made = sorted({line.version for line in lines})
    if reported != made:
        return f"versions {reported}, but its events were made under {made}"
    if made[0] < job.min_version:
        return f"version {made[0]}, but {job.min_version} is the minimum version"
    return f"versions {made} in one text" if job.route.single and len(made) > 1 else ""


def check_score(item: Item, row: dict[str, Any], lines: list[EventData], ground_truth: GroundTruth) -> str:
    """Return the fault in the score of a result; empty if there is none."""
    sealed = ground_truth.seals.get(str(row.get("score") or ""))
    if sealed is None or sealed.request != item.scorer:
        return f"score {row.get('score')!r} is no seal of its reward call"
    last_at = max(ground_truth.runs[line.run].last_at for line in lines[-1:])
    return "its reward call came before its text was complete" if sealed.received_at < last_at - SLACK_S else ""


def check_done(job: BatchJob, item: Item, row: dict[str, Any], stride: int, ground_truth: GroundTruth) -> str:
    """Return the fault in a result that is `done`; empty if there is none."""
    lines = check_text(item, str(row.get("text", "")), stride)
    if isinstance(lines, str):
        return lines
    return (
        check_resumptions(item, lines, ground_truth)
        or check_versions(job, row, lines)
        or check_score(item, row, lines, ground_truth)
    )


def check_errored(job: BatchJob, item: Item, ground_truth: GroundTruth) -> str:
    """Return the fault if an item is `errored` without a permitted reason: 422, used-up attempts or the job's end."""
    failures = max(ground_truth.failures[item.id], ground_truth.failures[item.scorer])
    reason = item.id in ground_truth.never or failures >= job.route.tries or job.end_sent_at > 0
    return "" if reason else f"errored after {failures} failures"


def check_job(job: BatchJob, plan: Plan, ground_truth: GroundTruth) -> list[str]:
    """Return all faults of a batch job."""
    stride = plan.service_named(job.route.service).stride
    faults = list(job.faults)
    for row in job.rows:
        item = job.items[row["id"]]
        if row.get("state") == "done":
            fault = check_done(job, item, row, stride, ground_truth)
        else:
            fault = check_errored(job, item, ground_truth)
        if fault:
            faults.append(f"{item.id}: {fault}")
    return [f"batch job {job.id}: {fault}" for fault in faults]


def check_success(ident: str, body: bytes, answer: http1.Response, ground_truth: GroundTruth) -> str:
    """Return the fault if no server made the body and the seal of a success for this request; empty if one did."""
    sealed = ground_truth.seals.get(answer.headers.get(b"reply-seal", b"").decode("latin-1"))
    if sealed is None or sealed.request != ident or answer.body != body_of(ident, body):
        return f"{ident} was answered with a body or seal that no server made for it"
    return ""


def check_mutating(sent: dict[str, bool], ground_truth: GroundTruth) -> Iterator[str]:
    """Yield mutating requests that ran more than once, or ran though refused. `sent`: id -> whether it was refused."""
    counts = Counter(ran.request for ran in ground_truth.ran)
    for ident, refused in sent.items():
        if counts[ident] > 1:
            yield f"{ident} ran {counts[ident]} times"
        elif refused and counts[ident]:
            yield f"{ident} was refused, but ran"


def check_orders(ground_truth: GroundTruth, lease_s: float) -> Iterator[str]:
    """Yield violations of the rule that a server gets orders of one lease holder at a time, with fences not falling."""
    last: dict[str, OrderRecord] = {}
    for order in ground_truth.orders:
        before = last.get(order.server)
        last[order.server] = order
        if before is None:
            continue
        if order.fence < before.fence:
            yield f"an order to {order.server} under fence {order.fence} after {before.fence}"
        if order.owner != before.owner and order.fence == before.fence:
            yield f"orders to {order.server} by {before.owner} and {order.owner} under fence {order.fence}"
        if order.owner != before.owner and order.at < before.at + lease_s - SLACK_S:
            yield f"{before.owner} and {order.owner} ordered {order.server} within {order.at - before.at:.1f} s"


def _spans(jobs: Iterable[BatchJob], cancel_s: float) -> dict[str, list[float]]:
    """Map ids of items and reward calls to the times until which each batch job that has them lets them run."""
    spans: dict[str, list[float]] = {}
    for job in jobs:
        until = job.ended_at + cancel_s if job.ended_at else float("inf")
        for item in job.items.values():
            for ident in (item.id, item.scorer):
                spans.setdefault(ident, []).append(-1.0 if job.refused else until)
    return spans


def check_runs(jobs: list[BatchJob], rollout: set[str], ground_truth: GroundTruth, cancel_s: float) -> Iterator[str]:
    """Yield requests that ran though never sent, refused or ended long before. `rollout`: services of batch jobs."""
    spans = _spans(jobs, cancel_s)
    for ran in ground_truth.ran:
        allowed = spans.get(ran.request)
        if allowed is None:
            if ran.service in rollout:
                yield f"{ran.request} ran at {ran.service}, but was never sent"
        elif ran.at > max(allowed) + SLACK_S:
            yield f"{ran.request} ran at {ran.service} after its batch job was refused or ended"
