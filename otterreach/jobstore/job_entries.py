"""The entries of a partition's log: a batch job is submitted, an item's result is listed, a job ends or is dropped.

The kinds and the layout of bodies are stored data and must not change. A body is a sequence of length-prefixed fields.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from otterreach.jobstore.job import ItemState, Job, JobState
from otterreach.jobstore.job_json import encode_job
from otterreach.jobstore.messages import Entry

_LENGTH = struct.Struct("<I")


class EntryKind(IntEnum):
    """Kinds of log entries."""

    SUBMIT = 1
    RESULT = 2
    END = 3
    DROP = 4


def _join(*texts: bytes) -> bytes:
    return b"".join(_LENGTH.pack(len(text)) + text for text in texts)


def _split(data: bytes, count: int) -> list[bytes]:
    texts = []
    position = 0
    for _ in range(count):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        texts.append(data[position : position + length])
        position += length
    return texts


@dataclass(frozen=True, slots=True)
class Submission:
    """The body of a SUBMIT entry."""

    job: str
    host: str
    route: str
    age_ms: int  # since the batch job was first received
    body: bytes  # its JSON

    @classmethod
    def decode(cls, data: bytes) -> Submission:
        """Decode the body of an entry."""
        job, host, route, age_ms, body = _split(data, 5)
        return cls(job.decode(), host.decode(), route.decode(), int(age_ms), body)


@dataclass(frozen=True, slots=True)
class ListedResult:
    """The body of a RESULT entry."""

    job: str
    item: str
    result: bytes  # in the form that readers get

    @classmethod
    def decode(cls, data: bytes) -> ListedResult:
        """Decode the body of an entry."""
        job, item, result = _split(data, 3)
        return cls(job.decode(), item.decode(), result)


def submit_entry(job: str, host: str, route: str, body: bytes, age_ms: int = 0) -> Entry:
    """Return the entry that submits a batch job."""
    return Entry(EntryKind.SUBMIT, _join(job.encode(), host.encode(), route.encode(), str(age_ms).encode(), body))


def result_entry(job: str, item: str, result: bytes) -> Entry:
    """Return the entry that lists an item's result."""
    return Entry(EntryKind.RESULT, _join(job.encode(), item.encode(), result))


def end_entry(job: str) -> Entry:
    """Return the entry that ends a batch job; no further results are listed."""
    return Entry(EntryKind.END, job.encode())


def drop_entry(job: str) -> Entry:
    """Return the entry that drops a batch job; it can no longer be read."""
    return Entry(EntryKind.DROP, job.encode())


def entries_of(job: Job, now: float) -> Iterator[Entry]:
    """Yield the entries that restore this job, without bodies that are no longer needed."""
    with_bodies: frozenset[str] = frozenset()
    if job.state is JobState.OPEN:
        with_bodies = frozenset(item.id for item in job.items.values() if item.state is not ItemState.LISTED)
    age_ms = int((now - job.received_at) * 1000)
    yield submit_entry(job.id, job.host, job.route, encode_job(job, with_bodies), age_ms)
    listed = [item for item in job.items.values() if item.state is ItemState.LISTED]
    listed.sort(key=lambda item: item.index)
    for item, result in zip(listed, job.results, strict=True):
        yield result_entry(job.id, item.id, result)
    if job.state is JobState.ENDED:
        yield end_entry(job.id)
