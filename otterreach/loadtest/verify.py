"""Holds what trainers have read against what the servers have made."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

from otterreach.loadtest.ground_truth import GroundTruth, Line, Ordered, mark, read_line
from otterreach.loadtest.plan import Plan
from otterreach.loadtest.trainer import BatchJob, Item

SLACK_S = 0.1  # the books are kept in one process, and its turns take their time


def check_text(item: Item, text: str, stride: int) -> list[Line] | str:
    """The events of a text that is whole, or what is wrong with it."""
    lines = [read_line(row) for row in text.split("\n")]
    total = -(-item.tokens_out // stride)
    if len(lines) != total:
        return f"{len(lines)} events of {total}"
    found: list[Line] = []
    for ident, line in enumerate(lines, 1):
        if line is None or line.ident != ident or line.mark != mark(item.id, ident):
            return f"event {ident} is not the engine's for this item"
        found.append(line)
    return found


def check_joins(item: Item, lines: list[Line], ground_truth: GroundTruth) -> str:
    """A text is one run, or goes on after event n with a run that was asked to."""
    for before, line in zip([None, *lines], lines, strict=False):
        made = ground_truth.runs.get(line.run)
        if made is None or made.request != item.id:
            return f"event {line.ident} is of no run of this item"
        if (before is None or before.run != line.run) and made.after != line.ident - 1:
            return f"event {line.ident} joins on a run that was asked to go on after {made.after}"
    return ""


def check_versions(job: BatchJob, row: dict[str, Any], lines: list[Line]) -> str:
    """What is wrong with the versions of a result."""
    told = sorted(row.get("versions") or [])
    made = sorted({line.version for line in lines})
    if told != made:
        return f"versions {told}, and its events were made under {made}"
    if made[0] < job.min_version:
        return f"version {made[0]}, and {job.min_version} is the least"
    return f"versions {made} in one text" if job.route.single and len(made) > 1 else ""


def check_score(item: Item, row: dict[str, Any], lines: list[Line], ground_truth: GroundTruth) -> str:
    """What is wrong with the score of a result."""
    sealed = ground_truth.seals.get(str(row.get("score") or ""))
    if sealed is None or sealed.request != item.scorer:
        return f"score {row.get('score')!r} is no stamp of its reward call"
    last_at = max(ground_truth.runs[line.run].last_at for line in lines[-1:])
    return "its reward call came before its text was whole" if sealed.came_at < last_at - SLACK_S else ""


def check_done(job: BatchJob, item: Item, row: dict[str, Any], stride: int, ground_truth: GroundTruth) -> str:
    """What is wrong with a result that is `done`; nothing if all is right."""
    lines = check_text(item, str(row.get("text", "")), stride)
    if isinstance(lines, str):
        return lines
    return (
        check_joins(item, lines, ground_truth)
        or check_versions(job, row, lines)
        or check_score(item, row, lines, ground_truth)
    )


def check_errored(job: BatchJob, item: Item, ground_truth: GroundTruth) -> str:
    """Whether there is one of the reasons that allow it."""
    failures = max(ground_truth.failures[item.id], ground_truth.failures[item.scorer])
    reason = item.id in ground_truth.never or failures >= job.route.tries or job.end_sent_at > 0
    return "" if reason else f"errored after {failures} failures"


def check_job(job: BatchJob, plan: Plan, ground_truth: GroundTruth) -> list[str]:
    """All that is wrong with a batch job."""
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


def check_mutating(sent: dict[str, bool], ground_truth: GroundTruth) -> Iterator[str]:
    """What may run once has not run twice, nor after a refusal. `sent`: by id, whether it was refused."""
    counts = Counter(ran.request for ran in ground_truth.ran)
    for ident, refused in sent.items():
        if counts[ident] > 1:
            yield f"{ident} ran {counts[ident]} times"
        elif refused and counts[ident]:
            yield f"{ident} was refused, and ran"


def check_orders(ground_truth: GroundTruth, lease_s: float) -> Iterator[str]:
    """Orders to one server have one holder at a time, under a fence that never falls."""
    last: dict[str, Ordered] = {}
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
    """By the id of an item or reward call: until when each batch job that holds it allows it to run."""
    spans: dict[str, list[float]] = {}
    for job in jobs:
        until = job.ended_at + cancel_s if job.ended_at else float("inf")
        for item in job.items.values():
            for ident in (item.id, item.scorer):
                spans.setdefault(ident, []).append(-1.0 if job.refused else until)
    return spans


def check_runs(jobs: list[BatchJob], rollout: set[str], ground_truth: GroundTruth, cancel_s: float) -> Iterator[str]:
    """Nothing runs that nobody sent, that was refused, or long after its end. `rollout`: services of batch jobs."""
    spans = _spans(jobs, cancel_s)
    for ran in ground_truth.ran:
        allowed = spans.get(ran.request)
        if allowed is None:
            if ran.service in rollout:
                yield f"{ran.request} ran at {ran.service}, and nobody sent it"
        elif ran.at > max(allowed) + SLACK_S:
            yield f"{ran.request} ran at {ran.service} after its batch job was refused or ended"
