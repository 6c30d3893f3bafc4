"""The JSON formats of batch jobs: submissions from trainers, and the results that trainers read."""

from __future__ import annotations

import binascii
import json
from typing import Any

from otterreach.jobstore.job import Job, JobItem
from otterreach.jobstore.messages import ItemFinished
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.integers import bounded_integer

MAX_REASON_LENGTH = 200


def read_job(job: str, host: str, route: str, body: bytes, received_at: float) -> Job | Failure:
    """Parse the JSON of a batch job. Return a Failure with BAD_JOB if it is invalid."""
    try:
        raw = json.loads(body)
        items = _items_in_order(raw.pop("reqs"))
        if not items:
            raise ValueError("no items")
        result = Job(job, host, route, raw, items, received_at)
        int(result.min_version)
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError, RecursionError) as error:
        return Failure(Code.BAD_JOB, f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH])
    return result


def check_numbers(job: Job) -> Failure | None:
    """Return a Failure with BAD_JOB if a number doesn't fit into the messages about the job's items.

    This is not part of read_job, because a journal may hold jobs that an earlier version accepted.
    """
    try:
        for number in (job.min_version, *(item.tokens for item in job.items.values())):
            bounded_integer(number)
    except ValueError as error:
        return Failure(Code.BAD_JOB, str(error))
    return None


def _items_in_order(rows: list[dict[str, Any]]) -> dict[str, JobItem]:
    items: dict[str, JobItem] = {}
    first_of_group: dict[str, int] = {}
    for number, row in enumerate(rows):
        item = _read_item(row)
        if not item.id or item.id in items:
            raise ValueError("an item's id is missing or stands twice")
        group_start = first_of_group.setdefault(item.group, number) if item.group else number
        item.order = (group_start, number)
        items[item.id] = item
    return items


def _read_item(row: dict[str, Any]) -> JobItem:
    tokens = int(row.get("tokens") or 0)
    item = JobItem(row["id"], row.get("path", ""), group=row.get("group") or "", tokens=tokens)
    item.headers = json.dumps(row.get("headers") or {}, ensure_ascii=False, separators=(",", ":"))
    item.body = _from_base64(row.get("body"))
    scorer = row.get("scorer")
    if scorer:
        item.scorer_id = scorer["id"]
        item.scorer_host = scorer["host"]
        item.scorer_path = scorer["path"]
        item.scorer_body = _from_base64(scorer.get("body"))
    if not isinstance(item.path, str) or not isinstance(item.group, str) or not isinstance(item.id, str):
        raise TypeError("id, path and group are strings")
    return item


def _from_base64(value: Any) -> bytes:
    return binascii.a2b_base64(value.encode("ascii"), strict_mode=True) if value else b""


def _to_base64(data: bytes) -> str:
    return binascii.b2a_base64(data, newline=False).decode()


def encode_job(job: Job, with_bodies_of: frozenset[str]) -> bytes:
    """Return the JSON of a batch job with the headers and bodies of only these items; the others' are never read."""
    rows = [_item_row(item, item.id in with_bodies_of) for item in job.items.values()]
    return json.dumps({**job.head, "reqs": rows}, separators=(",", ":")).encode()


def _item_row(item: JobItem, with_bodies: bool) -> dict[str, Any]:
    row: dict[str, Any] = {"id": item.id, "path": item.path, "group": item.group, "tokens": item.tokens}
    if item.scorer_id:
        row["scorer"] = {"id": item.scorer_id, "host": item.scorer_host, "path": item.scorer_path}
    if with_bodies:
        row["headers"] = json.loads(item.headers)
        row["body"] = _to_base64(item.body)
        if item.scorer_id:
            row["scorer"]["body"] = _to_base64(item.scorer_body)
    return row


def encode_result(job: Job, finished: ItemFinished) -> bytes:
    """Return the result of an item in the form that readers get."""
    result: dict[str, Any] = {"id": finished.item, "state": finished.state, "text": finished.text}
    if job.has_versions:
        result["versions"] = finished.versions
    if finished.score and finished.state == "done":
        result["score"] = finished.score
    return json.dumps(result, ensure_ascii=False, separators=(",", ":")).encode()
