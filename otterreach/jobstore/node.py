"""The job store node: assembles replication, the dispatcher, the request handlers and the periodic work."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from random import Random

from otterreach.jobstore.dispatcher import Dispatcher
from otterreach.jobstore.graceful_shutdown import has_assigned_replicas
from otterreach.jobstore.item_requests import ItemRequests
from otterreach.jobstore.job import Job, JobState
from otterreach.jobstore.job_entries import EntryKind
from otterreach.jobstore.job_expiry import JobExpiry
from otterreach.jobstore.job_requests import JobRequests
from otterreach.jobstore.job_routes import JobDeadlines, JobRoutes
from otterreach.jobstore.job_table import JobChange
from otterreach.jobstore.journal_records import RecordKind, partition_of_record
from otterreach.jobstore.partition_replica import PartitionReplica
from otterreach.jobstore.placement import PARTITIONS
from otterreach.jobstore.replication import Replication
from otterreach.jobstore.replication_context import JobJournal
from otterreach.runtime import identity
from otterreach.runtime.compaction import Compaction, Limits
from otterreach.runtime.journal import Slice
from otterreach.runtime.journal_format import Record
from otterreach.runtime.node import Node

TICK_S = 0.1
RECONCILE_INTERVAL_S = 1.0
SHUTDOWN_WRITE_TIMEOUT_S = 0.3  # for writes in flight at a shutdown
DISK_FAILURE_EXIT_S = 5.0  # after a disk failure the process ends once its replicas have moved, at the latest then
REWRITE_LIMITS = Limits(8 * 1024 * 1024, 4.0)


def restore(node: Node, replication: Replication, records: Iterable[Record]) -> None:
    """Replay the journal. At the first start there is none, and the disk is given a random id."""
    disk = ""
    for kind, payload in records:
        if kind == RecordKind.DISK:
            disk = payload.decode()
        elif (partition := partition_of_record(kind, payload)) < PARTITIONS:
            replication.replicas[partition].replay(kind, payload)
    for replica in replication.replicas:
        replica.finish_replay()
    if not disk:
        disk = identity.generate_disk_id()
        replication.context.journal.append(RecordKind.DISK, disk.encode())
    node.disk = disk


class JobStoreNode:
    """A job store node. It is the listener of the replication and the host of the dispatcher."""

    def __init__(self, node: Node, journal: JobJournal, random: Random, records: Iterable[Record]) -> None:
        self.node = node
        self.journal = journal
        self.loop = asyncio.get_running_loop()
        self.replication = Replication(node, journal, random, self)
        self.routes = JobRoutes(node)
        self.dispatcher = Dispatcher(self, random)
        self.job_requests = JobRequests(self.replication)
        self.item_requests = ItemRequests(self.replication, self.job_requests, self.routes, self.dispatcher)
        self.expiry = JobExpiry(self.replication, self.routes, self.dispatcher)
        self.compaction = Compaction(journal, self.live_slices, self._live_bytes, REWRITE_LIMITS)
        self.stopping = False
        self._failed_at: float | None = None
        restore(node, self.replication, records)

    async def start(self) -> None:
        """Start to take part once the disk's id is synced to it, which shows that the disk takes writes."""
        self.journal.append(RecordKind.DISK, self.node.disk.encode())
        if not await self.replication.context.disk.sync():
            self.node.stopping.set()
            return
        self.replication.apply_all_records()
        for work in (
            self.replication.pings.run(),
            self.replication.context.disk.run(self.node),
            self._tick(),
            self._reconcile(),
        ):
            self.node.endpoint.spawn(work)

    async def stop(self) -> None:
        """Stop assigning items, and wait until accepted writes are replicated and synced."""
        self.stopping = True
        self.dispatcher.stopped = True
        self.job_requests.stopping = True
        await self.replication.finish_writes(SHUTDOWN_WRITE_TIMEOUT_S)
        await self.replication.context.disk.sync()

    # Listener of the replication -----------------------------------------------------------------

    def committed(self, replica: PartitionReplica, change: JobChange) -> None:
        """Handle a committed entry: readers may see it, and items may run."""
        job = change.job
        if change.kind is EntryKind.SUBMIT and job.state is JobState.OPEN:
            self.dispatcher.job_opened(job)
        elif change.kind is EntryKind.END:
            self.dispatcher.job_cancelled(job)
        if change.kind in (EntryKind.RESULT, EntryKind.END):
            self.job_requests.wake_readers(job.id)

    def became_leader(self, replica: PartitionReplica) -> None:
        """Handle that this machine serves the partition from now on."""
        self.dispatcher.became_leader(replica)
        self.job_requests.wake_readers_of(replica.partition)

    def stepped_down(self, replica: PartitionReplica) -> None:
        """Handle that this machine no longer serves the partition."""
        self.dispatcher.stepped_down(replica)
        self.job_requests.wake_readers_of(replica.partition)

    # Host of the dispatcher ----------------------------------------------------------------------

    def may_run(self, partition: int) -> bool:
        """Return True if this machine is known to be the partition's primary at present."""
        leader = self.replication.leaders.get(partition)
        return leader is not None and leader.is_confirmed and not self.stopping

    def epoch(self, partition: int) -> int:
        """Return the epoch of this machine's replica of the partition."""
        return self.replication.replicas[partition].epoch

    def deadlines(self, job: Job) -> JobDeadlines:
        """Return when the results of a batch job are due."""
        return self.routes.deadlines(job)

    def item_slots(self) -> int:
        """Return the total slots of the servers that items may run on."""
        return self.routes.item_slots()

    # Periodic work -------------------------------------------------------------------------------

    async def _tick(self) -> None:
        while not self.stopping:
            await asyncio.sleep(TICK_S)
            self.dispatcher.tick()
            self._end_if_disk_failed()

    def _end_if_disk_failed(self) -> None:
        """End the process after a disk failure, once other nodes have taken over its replicas.

        The next start replays what the disk has.
        """
        if self.journal.failed is None:
            return
        now = self.loop.time()
        self._failed_at = now if self._failed_at is None else self._failed_at
        if not has_assigned_replicas(self.node) or now - self._failed_at > DISK_FAILURE_EXIT_S:
            self.node.stopping.set()

    async def _reconcile(self) -> None:
        while not self.stopping:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            self.expiry.run()
            await self.replication.reconcile()
            self.compaction.start_if_due()

    # The journal ---------------------------------------------------------------------------------

    def _live_bytes(self) -> int:
        return sum(replica.jobs.size for replica in self.replication.replicas)

    def live_slices(self) -> Iterator[Slice]:
        """Yield the records that the journal has to hold, one replica at a time."""
        yield [(RecordKind.DISK, self.node.disk.encode())]
        for replica in self.replication.replicas:
            yield replica.live_records()
