"""Batch jobs of one partition as a state machine: records in, jobs with their items and results out.

The same records give the same state at every copy. Results are kept once, as the bytes that readers get; an item's body
only while somebody may still ask for it.
"""

from __future__ import annotations

import binascii
import json
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum
from typing import Any

from otterreach.jobstore.messages import Entry, Finished
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log

READ_BYTES = 1_000_000  # of results in one answer
RANGES = 16  # of jobs, over which copies are compared
OVERHEAD = 600  # bytes that an item takes besides its texts, about
_LENGTH = struct.Struct("<I")


class Kind(IntEnum):
    """Kinds of records."""

    SUBMIT = 1
    RESULT = 2
    END = 3
    DROP = 4


class JobState(Enum):
    OPEN = "open"
    ENDED = "ended"


class ItemState(Enum):
    PENDING = "pending"
    ASSIGNED = "assigned"
    LISTED = "listed"


@dataclass(slots=True)
class JobItem:
    """One request of a batch job. `order` puts whole groups behind each other, in the order of the batch job."""

    id: str
    path: str = ""
    headers: str = "{}"
    body: bytes = b""
    group: str = ""
    tokens: int = 0
    scorer_id: str = ""
    scorer_host: str = ""
    scorer_path: str = ""
    scorer_body: bytes = b""
    order: tuple[int, int] = (0, 0)
    state: ItemState = ItemState.PENDING
    index: int = 0  # of the record that listed it

    @property
    def size(self) -> int:
        return len(self.body) + len(self.scorer_body)

    def image(self) -> JobItem:
        """The item as it is now, in an object of its own."""
        scorer = (self.scorer_id, self.scorer_host, self.scorer_path, self.scorer_body)
        request = (self.id, self.path, self.headers, self.body, self.group, self.tokens)
        return JobItem(*request, *scorer, self.order, self.state, self.index)

    def free(self) -> None:
        """Nobody may ask for the bodies any more."""
        self.body = self.scorer_body = b""
        self.headers = "{}"


@dataclass(slots=True)
class Job:
    """A batch job. `seen` results are at all copies and may be read; more may be in `results`."""

    id: str
    host: str
    route: str
    head: dict[str, Any]  # step, model, desired, minVersion as they came
    items: dict[str, JobItem]
    at: float  # on the steady clock: when it was first heard of here
    state: JobState = JobState.OPEN
    results: list[bytes] = field(default_factory=list)
    seen: int = 0
    index: int = 0  # of the record that brought it
    end_index: int = 0
    crc: int = 0  # over the results
    settled: bool = False  # at all copies
    ended: bool = False  # its end is at all copies
    proxies: set[str] = field(default_factory=set)  # that got items of it

    @property
    def model(self) -> str:
        return str(self.head.get("model") or "")

    @property
    def min_version(self) -> int:
        return int(self.head.get("minVersion") or 0)

    @property
    def sampled(self) -> bool:
        """Whether its results carry versions."""
        return "minVersion" in self.head or "step" in self.head

    def image(self) -> Job:
        """The job as it is now, in objects of its own."""
        items = {name: item.image() for name, item in self.items.items()}
        return replace(self, items=items, results=list(self.results), proxies=set(self.proxies))

    def mark(self) -> int:
        """A digest: the same at two copies that hold the same."""
        kept = 0
        if self.state is JobState.OPEN:
            kept = sum(i.size for i in self.items.values() if i.state is not ItemState.LISTED)
        text = f"{self.id} {len(self.items)} {self.state.value} {len(self.results)} {self.crc} {kept}"
        return zlib.crc32(text.encode())

    def read(self, past: int) -> tuple[int, bytes]:
        """The results that may be read from `past` on, as many as fit: the cursor behind them, and their bytes."""
        size, end = 0, past
        while end < self.seen:
            size += len(self.results[end]) + 1
            if size > READ_BYTES and end > past:
                break
            end += 1
        return end, b",".join(self.results[past:end])


def _join(*parts: bytes) -> bytes:
    return b"".join(_LENGTH.pack(len(p)) + p for p in parts)


def _split(data: bytes, count: int) -> list[bytes]:
    parts, at = [], 0
    for _ in range(count):
        (length,) = _LENGTH.unpack_from(data, at)
        at += _LENGTH.size
        parts.append(data[at : at + length])
        at += length
    return parts


def submit_record(job: str, host: str, route: str, body: bytes, age_ms: int = 0) -> Entry:
    return Entry(Kind.SUBMIT, _join(job.encode(), host.encode(), route.encode(), str(age_ms).encode(), body))


def result_record(job: str, item: str, result: bytes) -> Entry:
    return Entry(Kind.RESULT, _join(job.encode(), item.encode(), result))


def end_record(job: str) -> Entry:
    return Entry(Kind.END, job.encode())


def drop_record(job: str) -> Entry:
    return Entry(Kind.DROP, job.encode())


def encode_result(job: Job, finished: Finished) -> bytes:
    """The result as readers get it."""
    result: dict[str, Any] = {"id": finished.item, "state": finished.state, "text": finished.text}
    if job.sampled:
        result["versions"] = finished.versions
    if finished.score and finished.state == "done":
        result["score"] = finished.score
    return json.dumps(result, ensure_ascii=False, separators=(",", ":")).encode()


def _bytes(value: Any) -> bytes:
    return binascii.a2b_base64(value.encode("ascii"), strict_mode=True) if value else b""


def _item(row: dict[str, Any]) -> JobItem:
    item = JobItem(row["id"], row.get("path", ""), group=row.get("group") or "", tokens=int(row.get("tokens") or 0))
    item.headers = json.dumps(row.get("headers") or {}, ensure_ascii=False, separators=(",", ":"))
    item.body = _bytes(row.get("body"))
    scorer = row.get("scorer")
    if scorer:
        item.scorer_id, item.scorer_host, item.scorer_path = scorer["id"], scorer["host"], scorer["path"]
        item.scorer_body = _bytes(scorer.get("body"))
    if not isinstance(item.path, str) or not isinstance(item.group, str) or not isinstance(item.id, str):
        raise TypeError("id, path and group are strings")
    return item


def _in_order(rows: list[dict[str, Any]]) -> dict[str, JobItem]:
    items: dict[str, JobItem] = {}
    first: dict[str, int] = {}
    for place, row in enumerate(rows):
        item = _item(row)
        if not item.id or item.id in items:
            raise ValueError("an item's id is missing or stands twice")
        item.order = (first.setdefault(item.group, place) if item.group else place, place)
        items[item.id] = item
    return items


def read_job(job: str, host: str, route: str, body: bytes, at: float) -> Job | Failure:
    """A batch job from its JSON; BAD_JOB if that can't be read."""
    try:
        raw = json.loads(body)
        items = _in_order(raw.pop("reqs"))
        if not items:
            raise ValueError("no items")
        result = Job(job, host, route, raw, items, at)
        int(result.min_version)
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        return Failure(Code.BAD_JOB, f"{type(error).__name__}: {error}"[:200])
    return result


def _row(item: JobItem, whole: bool) -> dict[str, Any]:
    """The item as in the JSON of a batch job; without what nobody asks for any more."""
    row: dict[str, Any] = {"id": item.id, "path": item.path, "group": item.group, "tokens": item.tokens}
    if item.scorer_id:
        row["scorer"] = {"id": item.scorer_id, "host": item.scorer_host, "path": item.scorer_path}
    if whole:
        row["headers"] = json.loads(item.headers)
        row["body"] = binascii.b2a_base64(item.body, newline=False).decode()
        if item.scorer_id:
            row["scorer"]["body"] = binascii.b2a_base64(item.scorer_body, newline=False).decode()
    return row


def _compact(job: Job, now: float) -> Entry:
    is_open = job.state is JobState.OPEN
    rows = [_row(i, is_open and i.state is not ItemState.LISTED) for i in job.items.values()]
    body = json.dumps({**job.head, "reqs": rows}, separators=(",", ":")).encode()
    return submit_record(job.id, job.host, job.route, body, int((now - job.at) * 1000))


def entries_of(job: Job, now: float) -> Iterator[Entry]:
    """Records that give this job, without what is no longer needed."""
    yield _compact(job, now)
    listed = [i for i in job.items.values() if i.state is ItemState.LISTED]
    listed.sort(key=lambda i: i.index)
    yield from (result_record(job.id, i.id, r) for i, r in zip(listed, job.results, strict=True))
    if job.state is JobState.ENDED:
        yield end_record(job.id)


@dataclass(slots=True)
class Change:
    """What a record did."""

    kind: Kind
    job: Job
    item: JobItem | None = None


class Jobs:
    """The batch jobs of one partition copy."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.size = 0  # bytes held, about

    def get(self, job: str) -> Job | None:
        return self.jobs.get(job)

    def apply(self, entry: Entry, index: int, now: float, parsed: Job | None = None) -> Change | None:
        """Take a record; the one function that changes jobs. `index`: its place; `parsed`: of a SUBMIT, if there."""
        kind = Kind(entry.kind)
        if kind is Kind.SUBMIT:
            return self._submit(entry.body, index, now, parsed)
        if kind is Kind.RESULT:
            name, item_id, result = _split(entry.body, 3)
            job = self.jobs.get(name.decode())
            return self._result(job, item_id.decode(), result, index) if job else None
        job = self.jobs.get(entry.body.decode())
        if job is None:
            return None
        return self._end(job, index) if kind is Kind.END else self._drop(job)

    def _submit(self, data: bytes, index: int, now: float, parsed: Job | None) -> Change | None:
        if parsed is None:
            name, host, route, age, body = _split(data, 5)
            if name.decode() in self.jobs:
                return None
            read = read_job(name.decode(), host.decode(), route.decode(), body, now - int(age) / 1000)
            if isinstance(read, Failure):  # checked before it became a record
                log("record_unreadable", level="ERROR", job=name.decode(), reason=read.reason)
                return None
            parsed = read
        parsed.index = index
        self.jobs[parsed.id] = parsed
        self.size += sum(i.size + OVERHEAD for i in parsed.items.values())
        return Change(Kind.SUBMIT, parsed)

    def _result(self, job: Job, item_id: str, result: bytes, index: int) -> Change | None:
        item = job.items.get(item_id)
        if item is None or item.state is ItemState.LISTED:
            return None
        item.state, item.index = ItemState.LISTED, index
        job.results.append(result)
        job.crc = zlib.crc32(result, zlib.crc32(item_id.encode(), job.crc))
        self.size += len(result)
        return Change(Kind.RESULT, job, item)

    def _end(self, job: Job, index: int) -> Change | None:
        if job.state is JobState.ENDED:
            return None
        job.state, job.end_index = JobState.ENDED, index
        return Change(Kind.END, job)

    def _drop(self, job: Job) -> Change:
        del self.jobs[job.id]
        self.size -= sum(i.size + OVERHEAD for i in job.items.values()) + sum(len(r) for r in job.results)
        return Change(Kind.DROP, job)

    def settle(self, change: Change) -> None:
        """The record of this change is at all copies: readers may see it."""
        job = change.job
        if change.kind is Kind.SUBMIT:
            job.settled = True
        elif change.kind is Kind.RESULT and change.item:
            job.seen += 1
            self._free(change.item)
        elif change.kind is Kind.END:
            job.ended = True
            for item in job.items.values():
                self._free(item)

    def _free(self, item: JobItem) -> None:
        self.size -= item.size
        item.free()

    def snapshot(self, now: float) -> Iterator[Entry]:
        """Records that give this state, without those that are no longer needed."""
        for job in list(self.jobs.values()):
            yield from entries_of(job, now)

    def image(self) -> list[Job]:
        """The jobs as they are now, whatever becomes of them later; texts are shared, not copied."""
        return [job.image() for job in self.jobs.values()]

    def digests(self) -> list[int]:
        """Over ranges of jobs; copies at the same position have the same."""
        sums = [0] * RANGES
        for job in self.jobs.values():
            sums[zlib.crc32(job.id.encode()) // 16 % RANGES] ^= job.mark()
        return sums
