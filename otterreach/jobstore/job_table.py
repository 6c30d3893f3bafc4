"""The batch jobs of one partition, as a state machine that is driven by log entries.

The same entries give the same state at every replica. Each result is kept once, as the bytes that readers get. An
item's body is kept only as long as it may still be read.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from otterreach.jobstore.job import ItemState, Job, JobItem, JobState
from otterreach.jobstore.job_entries import EntryKind, ListedResult, Submission, entries_of
from otterreach.jobstore.job_json import read_job
from otterreach.jobstore.messages import Entry
from otterreach.runtime.codes import Failure
from otterreach.runtime.log import log

DIGEST_RANGES = 16  # ranges of jobs over which replicas are compared
ITEM_OVERHEAD_BYTES = 600  # approximate memory of an item besides its bodies


@dataclass(slots=True)
class JobChange:
    """The effect of a log entry."""

    kind: EntryKind
    job: Job
    item: JobItem | None = None


class JobTable:
    """The batch jobs of one partition replica."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.size = 0  # approximate memory in bytes

    def get(self, job: str) -> Job | None:
        """Return the batch job with this id, or None."""
        return self.jobs.get(job)

    def apply(self, entry: Entry, index: int, now: float, parsed: Job | None = None) -> JobChange | None:
        """Apply a log entry. Return its effect, or None if it changes nothing.

        No other function changes the replicated state of jobs.

        :param index: the log index after the entry
        :param now: the time on the monotonic clock
        :param parsed: the job of a SUBMIT entry, if it has been parsed already
        """
        kind = EntryKind(entry.kind)
        if kind is EntryKind.SUBMIT:
            return self._submit(entry.body, index, now, parsed)
        if kind is EntryKind.RESULT:
            listed = ListedResult.decode(entry.body)
            job = self.jobs.get(listed.job)
            return self._list_result(job, listed.item, listed.result, index) if job else None
        job = self.jobs.get(entry.body.decode())
        if job is None:
            return None
        return self._end(job, index) if kind is EntryKind.END else self._drop(job)

    def _submit(self, data: bytes, index: int, now: float, parsed: Job | None) -> JobChange | None:
        job = parsed if parsed is not None else self._read_submission(data, now)
        if job is None:
            return None
        job.index = index
        self.jobs[job.id] = job
        self.size += sum(item.size + ITEM_OVERHEAD_BYTES for item in job.items.values())
        return JobChange(EntryKind.SUBMIT, job)

    def _read_submission(self, data: bytes, now: float) -> Job | None:
        submission = Submission.decode(data)
        if submission.job in self.jobs:
            return None
        received_at = now - submission.age_ms / 1000
        job = read_job(submission.job, submission.host, submission.route, submission.body, received_at)
        if isinstance(job, Failure):  # unexpected: the submission was checked before it was appended
            log("entry_unreadable", level="ERROR", job=submission.job, reason=job.reason)
            return None
        return job

    def _list_result(self, job: Job, item_id: str, result: bytes, index: int) -> JobChange | None:
        item = job.items.get(item_id)
        if item is None or item.state is ItemState.LISTED:
            return None
        item.state = ItemState.LISTED
        item.index = index
        job.results.append(result)
        job.crc = zlib.crc32(result, zlib.crc32(item_id.encode(), job.crc))
        self.size += len(result)
        return JobChange(EntryKind.RESULT, job, item)

    def _end(self, job: Job, index: int) -> JobChange | None:
        if job.state is JobState.ENDED:
            return None
        job.state = JobState.ENDED
        job.end_index = index
        return JobChange(EntryKind.END, job)

    def _drop(self, job: Job) -> JobChange:
        del self.jobs[job.id]
        self.size -= sum(item.size + ITEM_OVERHEAD_BYTES for item in job.items.values())
        self.size -= sum(len(result) for result in job.results)
        return JobChange(EntryKind.DROP, job)

    def commit(self, change: JobChange) -> None:
        """Make a change visible to readers: its entry is at all replicas."""
        job = change.job
        if change.kind is EntryKind.SUBMIT:
            job.committed = True
        elif change.kind is EntryKind.RESULT and change.item:
            job.readable += 1
            self._free(change.item)
        elif change.kind is EntryKind.END:
            job.ended = True
            for item in job.items.values():
                self._free(item)

    def _free(self, item: JobItem) -> None:
        self.size -= item.size
        item.free()

    def snapshot(self, now: float) -> Iterator[Entry]:
        """Yield the entries that restore this state, without what is no longer needed."""
        for job in list(self.jobs.values()):
            yield from entries_of(job, now)

    def copy_jobs(self) -> list[Job]:
        """Return copies of all jobs, which later changes don't affect; strings and bytes are shared."""
        return [job.copy() for job in self.jobs.values()]

    def digests(self) -> list[int]:
        """Return digests over ranges of jobs. They are equal at replicas at the same position."""
        digests = [0] * DIGEST_RANGES
        for job in self.jobs.values():
            digests[zlib.crc32(job.id.encode()) // 16 % DIGEST_RANGES] ^= job.digest()
        return digests
