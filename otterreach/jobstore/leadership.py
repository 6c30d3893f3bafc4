"""Leadership of a partition: the role of its primary in one epoch.

A write is acknowledged once every required member has synced it to disk. A read requires that every required member has
recently confirmed that it is still in this epoch. See docs/system.md, "Partitions of batch jobs".
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from otterreach.jobstore.job import Job
from otterreach.jobstore.job_table import JobChange
from otterreach.jobstore.messages import Entry, ReplicaInSync
from otterreach.jobstore.partition_replica import PartitionReplica, ReplicaState
from otterreach.jobstore.replica_stream import NEVER_S, ReplicaStream
from otterreach.jobstore.replication_context import ReplicationContext
from otterreach.runtime.codes import Failure
from otterreach.runtime.records import PartitionRecord

REPORT_RETRY_S = 0.2  # interval between ReplicaInSync reports until one is accepted
REPORT_REPEAT_S = 1.0  # interval after an accepted report: the new record may be on its way


class LeadershipListener(Protocol):
    """Receives notifications about partitions."""

    def committed(self, replica: PartitionReplica, change: JobChange) -> None:
        """Called when an entry is on the disks of all required members."""

    def became_leader(self, replica: PartitionReplica) -> None:
        """Called when this machine starts to serve the partition; it may have served it under a lower epoch as well."""

    def stepped_down(self, replica: PartitionReplica) -> None:
        """Called when this machine no longer serves the partition."""


class LeadershipOwner(Protocol):
    """Starts and ends leaderships."""

    def schedule_sync(self, replica: PartitionReplica) -> None:
        """Schedule a sync of this replica's entries."""

    def step_down(self, replica: PartitionReplica, reason: str) -> None:
        """End this machine's leadership of the replica's partition."""


def resolve(future: asyncio.Future[None]) -> None:
    """Resolve a future unless it is done already."""
    if not future.done():
        future.set_result(None)


class PartitionLeader:
    """This machine's leadership of one partition in one epoch."""

    def __init__(
        self,
        context: ReplicationContext,
        owner: LeadershipOwner,
        listener: LeadershipListener,
        replica: PartitionReplica,
        record: PartitionRecord,
    ) -> None:
        self.context = context
        self.owner = owner
        self.listener = listener
        self.replica = replica
        self.record = record
        self.epoch = record.epoch
        self.session = context.random.getrandbits(48) | 1
        self.first_index = replica.index  # nothing is served until all required members have the entries before this
        self.synced_index = -1  # entries on the local disk
        self.committed_index = -1  # entries on the disks of all required members
        self.ended = False
        self.began_at = context.now()
        self.streams: dict[str, ReplicaStream] = {}  # by member
        self._tasks: dict[str, asyncio.Task[object]] = {}
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    async def begin(self) -> None:
        """Sync the epoch to the local disk, then start the replication to the other members."""
        index = self.replica.index
        if not await self.context.disk.sync() or self.ended:
            return
        self.synced_index = max(self.synced_index, index)
        self.update(self.record)
        self.advance_commit()

    def update(self, record: PartitionRecord) -> None:
        """Start and stop streams as the record requires. Within an epoch only the learners may change."""
        self.record = record
        wanted = {*record.backups, *record.learners, *self.replica.in_sync} - {self.context.member}
        for member in wanted - set(self.streams):
            stream = ReplicaStream(self.context, self, member)
            self.streams[member] = stream
            self._tasks[member] = self.context.spawn(stream.run())
        for member in set(self.streams) - wanted:
            del self.streams[member]
            self._tasks.pop(member).cancel()

    def end(self) -> None:
        """End the leadership and release all waiters, whether or not their entries were committed."""
        self.ended = True
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        waiters = self._waiters
        self._waiters = []
        for _, future in waiters:
            resolve(future)

    def superseded(self, reason: str) -> None:
        """Step down because a member is in a higher epoch."""
        self.owner.step_down(self.replica, f"superseded: {reason}")

    # Confirmation by the members -----------------------------------------------------------------

    @property
    def required(self) -> list[str]:
        """The members whose acknowledgements writes and reads require.

        Learners in sync are among them, since the controller may make them backups at any time.
        """
        return [*self.record.backups, *(self.replica.in_sync - set(self.record.backups))]

    def age_s(self) -> float:
        """Return the seconds since all required members were last known to be in this epoch.

        No other process can have been primary at that time.
        """
        now = self.context.now()
        confirmed = [self.streams[m].confirmed_at if m in self.streams else NEVER_S for m in self.required]
        return now - min(confirmed, default=now)

    @property
    def has_enough_backups(self) -> bool:
        """True if the record names as many backups as the setting `survive.nodes` requires."""
        return len(self.record.backups) >= self.context.survive_nodes

    @property
    def is_serving(self) -> bool:
        """True if writes are accepted here; they complete once all required members have them on disk."""
        disk_works = self.context.journal.failed is None
        return not self.ended and self.replica.state is ReplicaState.SERVING and disk_works

    @property
    def is_confirmed(self) -> bool:
        """True if this is known to be the only primary at present: it answers reads and lets items run."""
        return self.is_serving and self.age_s() < self.context.max_confirmation_age_s

    # Writes --------------------------------------------------------------------------------------

    def append(self, entry: Entry, parsed: Job | None = None) -> int:
        """Append an entry to the log and replicate it. Return the index to wait for."""
        index = self.replica.append(entry, parsed)
        self.owner.schedule_sync(self.replica)
        for stream in self.streams.values():
            stream.wake.set()
        return index

    def waiter(self, index: int) -> asyncio.Future[None]:
        """Return a future that resolves once the index is committed or the leadership is over."""
        future: asyncio.Future[None] = self.context.loop.create_future()
        self._waiters.append((index, future))
        return future

    def synced(self, index: int) -> None:
        """Record that the local disk has the entries before this index."""
        self.synced_index = max(self.synced_index, index)
        self.advance_commit()

    def replica_advanced(self, stream: ReplicaStream) -> None:
        """Handle the acknowledgement of entries by another replica."""
        is_learner = stream.member in self.record.learners or stream.member in self.replica.in_sync
        if is_learner and stream.acknowledged >= self.replica.index and not stream.reporting_in_sync:
            stream.reporting_in_sync = True
            self.replica.add_in_sync(stream.member)
            self.context.spawn(self._report_in_sync(stream))
        self.advance_commit()

    async def _report_in_sync(self, stream: ReplicaStream) -> None:
        """Report a learner to the controller until it is a backup.

        Writes wait for it from here on, so the controller may make it a backup at any time.
        """
        request = ReplicaInSync(self.replica.partition, self.epoch, stream.member)
        if not await self.context.disk.sync():
            return
        while self._is_still_learner(stream):
            reply = await self.context.call_controller(request)
            await asyncio.sleep(REPORT_RETRY_S if isinstance(reply, Failure) else REPORT_REPEAT_S)

    def _is_still_learner(self, stream: ReplicaStream) -> bool:
        is_current = not self.ended and self.streams.get(stream.member) is stream
        return is_current and stream.member not in self.record.backups

    def advance_commit(self) -> None:
        """Commit the entries that all required members have on disk.

        This is the only place where entries become visible to readers.
        """
        if self.ended:
            return
        acknowledged = [self.streams[m].acknowledged if m in self.streams else -1 for m in self.required]
        index = min([self.synced_index, *acknowledged])
        if index > self.committed_index:
            self.committed_index = index
            for change in self.replica.commit(index):
                self.listener.committed(self.replica, change)
            self._release_waiters(index)
            needed_from = [stream.needed_from for stream in self.streams.values()]
            self.replica.retain_from(min(needed_from, default=index))
        is_caught_up = self.committed_index >= self.first_index and self.has_enough_backups
        if is_caught_up and self.replica.state is ReplicaState.SYNCING:
            self.replica.transition_to(ReplicaState.SERVING, "all members are in sync")
            self.listener.became_leader(self.replica)

    def _release_waiters(self, committed_index: int) -> None:
        waiters = self._waiters
        self._waiters = []
        for index, future in waiters:
            if future.done():
                continue
            if index <= committed_index:
                future.set_result(None)
            else:
                self._waiters.append((index, future))
