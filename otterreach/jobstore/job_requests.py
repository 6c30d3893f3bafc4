"""Handlers of the requests that proxies make on behalf of clients: submit, read and end batch jobs."""

from __future__ import annotations

import asyncio

from otterreach.jobstore.job import ItemState, Job, JobState
from otterreach.jobstore.job_entries import end_entry, submit_entry
from otterreach.jobstore.job_json import check_numbers, read_job
from otterreach.jobstore.leadership import PartitionLeader, resolve
from otterreach.jobstore.messages import EndJob, ItemBody, JobResults, ReadItem, ReadJob, SubmitJob
from otterreach.jobstore.partition_replica import PartitionReplica
from otterreach.jobstore.placement import partition_of
from otterreach.jobstore.replication import Replication
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.json_size import decoded_size
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done

WRITE_TIMEOUT_S = 2.5  # a write that is not committed by then is answered as possibly done
MAX_WAIT_S = 5.0  # limit of the time that a read waits for new results
DISK_SHARE = 0.4  # of the disk, for the journal; its rewrite needs the same space again
MEMORY_SHARE = 0.35  # of the memory, for batch jobs
DECODED_SHARE = 0.4  # of the memory, for the decoded JSON of one submission
BYTES_PER_MB = 1e6


class JobRequests:
    """Answers requests for batch jobs of the partitions that this machine leads."""

    def __init__(self, replication: Replication) -> None:
        self.replication = replication
        self.node = replication.node
        self.loop = asyncio.get_running_loop()
        self.stopping = False
        self._readers: dict[str, list[asyncio.Future[None]]] = {}  # by job: reads that wait for results
        endpoint = self.node.endpoint
        endpoint.on(SubmitJob, self.handle_submit)
        endpoint.on(ReadJob, self.handle_read)
        endpoint.on(ReadItem, self.handle_read_item)
        endpoint.on(EndJob, self.handle_end)

    # Submit --------------------------------------------------------------------------------------

    async def handle_submit(self, link: Link, request: SubmitJob) -> Done | Failure:
        """Store a batch job. Idempotent: repeated submissions of an id are one batch job."""
        leader = self.replication.leader(partition_of(request.job))
        if isinstance(leader, Failure):
            return leader
        known = leader.replica.jobs.get(request.job)
        if known is not None:
            return await self.done_when_committed(leader.replica, known.index)
        if self.stopping or self._is_full():
            return Failure(Code.NOT_SYNCED, "stopping" if self.stopping else "full")
        if decoded_size(request.body) > DECODED_SHARE * self.node.settings.ram_mb * BYTES_PER_MB:
            return Failure(Code.NOT_SYNCED, "too many values")
        job = read_job(request.job, request.host, request.route, request.body, self.loop.time())
        if isinstance(job, Failure):
            return job
        if (failure := check_numbers(job)) is not None:
            return failure
        entry = submit_entry(request.job, request.host, request.route, request.body)
        return await self.done_when_committed(leader.replica, leader.append(entry, job))

    def _is_full(self) -> bool:
        settings = self.node.settings
        stored_bytes = sum(replica.jobs.size for replica in self.replication.replicas)
        if stored_bytes > MEMORY_SHARE * settings.ram_mb * BYTES_PER_MB:
            return True
        journal_size = self.replication.context.journal.size
        return settings.disk_mb > 0 and journal_size > DISK_SHARE * settings.disk_mb * BYTES_PER_MB

    async def done_when_committed(self, replica: PartitionReplica, index: int) -> Done | Failure:
        """Return Done once the entry before `index` is committed. TIMED_OUT means that it may be or not."""
        if await self.replication.wait_until_committed(replica, index, WRITE_TIMEOUT_S):
            return Done()
        return Failure(Code.TIMED_OUT, "not at all replicas in time")

    # Read ----------------------------------------------------------------------------------------

    def confirmed_leader(self, job: str) -> PartitionLeader | Failure:
        """Return this machine's leadership of a job's partition.

        Return a Failure unless this machine is known to be the partition's only primary at present.
        """
        leader = self.replication.leader(partition_of(job))
        if isinstance(leader, Failure) or leader.is_confirmed:
            return leader
        return Failure(Code.NOT_SYNCED, "not surely primary now")

    def _find(self, job_id: str) -> Job | Failure:
        leader = self.confirmed_leader(job_id)
        if isinstance(leader, Failure):
            return leader
        job = leader.replica.jobs.get(job_id)
        if job is None:
            return Failure(Code.UNKNOWN_JOB, job_id)
        return job if job.committed else Failure(Code.NOT_SYNCED, "not yet at all replicas")

    async def handle_read(self, link: Link, request: ReadJob) -> JobResults | Failure:
        """Return the results from an offset on; wait for one if there is none yet."""
        deadline = self.loop.time() + min(MAX_WAIT_S, request.wait_ms / 1000)
        while True:
            job = self._find(request.job)
            if isinstance(job, Failure):
                return job
            left_s = deadline - self.loop.time()
            if job.readable > request.offset or job.ended or left_s <= 0 or self.stopping:
                offset = min(max(0, request.offset), job.readable)
                next_offset, body = job.read(offset)
                return JobResults(len(job.items), max(next_offset, request.offset), body)
            await self._wait_for_results(job.id, left_s)

    async def _wait_for_results(self, job: str, timeout_s: float) -> None:
        future: asyncio.Future[None] = self.loop.create_future()
        self._readers.setdefault(job, []).append(future)
        timer = self.loop.call_later(timeout_s, resolve, future)
        try:
            await future
        finally:
            timer.cancel()
            self._remove_reader(job, future)

    def _remove_reader(self, job: str, future: asyncio.Future[None]) -> None:
        waiting = self._readers.get(job)
        if waiting and future in waiting:
            waiting.remove(future)
            if not waiting:
                del self._readers[job]

    def wake_readers(self, job: str) -> None:
        """Wake the reads that wait for results of this job."""
        for future in self._readers.pop(job, ()):
            resolve(future)

    def wake_readers_of(self, partition: int) -> None:
        """Wake the reads that wait for jobs of this partition, since its leadership has changed."""
        for job in list(self._readers):
            if partition_of(job) == partition:
                self.wake_readers(job)

    async def handle_read_item(self, link: Link, request: ReadItem) -> ItemBody | Failure:
        """Return the body of an item that is not yet listed."""
        job = self._find(request.job)
        if isinstance(job, Failure):
            return job
        item = job.items.get(request.item)
        if item is None:
            return Failure(Code.UNKNOWN_ITEM, request.item)
        leader = self.replication.leaders[partition_of(request.job)]
        if item.state is ItemState.LISTED and item.index <= leader.committed_index:
            return Failure(Code.UNKNOWN_ITEM, "listed")
        return Failure(Code.JOB_ENDED, request.job) if job.ended else ItemBody(item.body)

    # End -----------------------------------------------------------------------------------------

    async def handle_end(self, link: Link, request: EndJob) -> Done | Failure:
        """End a batch job: no further results of it are listed."""
        leader = self.replication.leader(partition_of(request.job))
        if isinstance(leader, Failure):
            return leader
        job = leader.replica.jobs.get(request.job)
        if job is None:
            confirmed = self.confirmed_leader(request.job)
            return confirmed if isinstance(confirmed, Failure) else Failure(Code.UNKNOWN_JOB, request.job)
        if job.state is JobState.ENDED:
            return await self.done_when_committed(leader.replica, job.end_index)
        return await self.done_when_committed(leader.replica, leader.append(end_entry(job.id)))
