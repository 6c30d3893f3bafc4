"""The backup's side of the replication: handlers of the messages that a primary of the same or a newer epoch sends.

Every message names its epoch and the member that it is addressed to. Messages of an older epoch, or addressed to a
member with another disk, are rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from otterreach.jobstore.journal_records import LogPosition
from otterreach.jobstore.messages import (
    AppendEntries,
    PartitionDigests,
    PartitionEpochs,
    PartitionInstall,
    PartitionPing,
    ReplicaPosition,
)
from otterreach.jobstore.partition_replica import PartitionReplica, ReplicaState
from otterreach.jobstore.placement import PARTITIONS
from otterreach.jobstore.replication_context import ReplicationContext
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done


class BackupHandlers:
    """Handles the messages of primaries on other machines."""

    def __init__(
        self,
        context: ReplicationContext,
        replicas: Sequence[PartitionReplica],
        end_leadership: Callable[[PartitionReplica], None],
    ) -> None:
        """:param end_leadership: ends this machine's leadership of a partition, if it has one"""
        self.context = context
        self.replicas = replicas
        self.end_leadership = end_leadership
        endpoint = context.node.endpoint
        endpoint.on(AppendEntries, self.handle_append)
        endpoint.on(PartitionInstall, self.handle_install)
        endpoint.on(PartitionPing, self.handle_ping)
        endpoint.on(PartitionDigests, self.handle_digests)

    def _admit(self, partition: int, epoch: int, member: str) -> PartitionReplica | Failure:
        """Return the replica that a primary may write to, or the Failure that rejects the message.

        The replica enters the epoch; that is on disk after the next sync.
        """
        if member != self.context.member or not 0 <= partition < PARTITIONS:
            return Failure(Code.NOT_MEMBER, self.context.member)
        replica = self.replicas[partition]
        if epoch < replica.epoch:
            return Failure(Code.STALE_EPOCH, str(replica.epoch))
        if epoch == replica.epoch and replica.is_primary:
            return Failure(Code.STALE_EPOCH, "primary here")
        if epoch > replica.epoch:
            self.end_leadership(replica)
            replica.promise(epoch)
        if replica.state in (ReplicaState.ABSENT, ReplicaState.FENCED):
            state = ReplicaState.BACKUP if replica.is_complete else ReplicaState.LEARNER
            replica.transition_to(state, "called by the primary")
        return replica

    async def handle_append(self, link: Link, request: AppendEntries) -> ReplicaPosition | Failure:
        """Append entries after the position that the primary names, if the log is at that position."""
        replica = self._admit(request.partition, request.epoch, request.member)
        if isinstance(replica, Failure):
            return replica
        if not request.records:
            replica.session = request.session
            replica.staged = None
        elif request.session != replica.session:
            return Failure(Code.NOT_SYNCED, "another session")
        elif LogPosition(request.index, request.chain) == replica.position:
            for entry in request.records:
                replica.append(entry)
        return await self._position_on_disk(replica, request.epoch)

    async def handle_install(self, link: Link, request: PartitionInstall) -> ReplicaPosition | Failure:
        """Load a chunk of a complete replica. The last chunk replaces the current replica with it."""
        replica = self._admit(request.partition, request.epoch, request.member)
        if isinstance(replica, Failure):
            return replica
        if request.session != replica.session:
            return Failure(Code.NOT_SYNCED, "another session")
        staged = replica.staged
        if request.chunk == 0 and (staged is None or staged.token != request.install):
            staged = replica.stage(request.install, LogPosition(request.index, request.chain))
        if staged is None or staged.token != request.install:
            return Failure(Code.NOT_SYNCED, "another installation")
        if request.chunk not in (staged.next_chunk, staged.next_chunk - 1):
            return Failure(Code.NOT_SYNCED, "chunks out of order")
        if request.chunk == staged.next_chunk - 1:  # a retry, since its answer was lost
            return await self._position_on_disk(replica, request.epoch)
        staged.next_chunk += 1
        replica.load(request.records)
        if request.last:
            replica.install_staged()
            if replica.placement is None or self.context.member in replica.placement.backups:
                replica.transition_to(ReplicaState.BACKUP, "installed")
        return await self._position_on_disk(replica, request.epoch)

    async def _position_on_disk(self, replica: PartitionReplica, epoch: int) -> ReplicaPosition | Failure:
        position = replica.position
        if not await self.context.disk.sync():
            return Failure(Code.DISK_FAILED, "disk")
        if replica.epoch != epoch:
            return Failure(Code.STALE_EPOCH, str(replica.epoch))
        return ReplicaPosition(epoch, position.index, position.chain)

    async def handle_ping(self, link: Link, ping: PartitionPing) -> PartitionEpochs | Failure:
        """Return the epochs of the requested partitions."""
        if ping.member != self.context.member:
            return Failure(Code.NOT_MEMBER, self.context.member)
        return PartitionEpochs([self.replicas[partition % PARTITIONS].epoch for partition in ping.partitions])

    async def handle_digests(self, link: Link, request: PartitionDigests) -> Done | Failure:
        """Compare the digests of the jobs, if this replica is at the same position."""
        replica = self._admit(request.partition, request.epoch, request.member)
        if isinstance(replica, Failure):
            return replica
        same_position = replica.position == LogPosition(request.index, request.chain)
        if same_position and replica.jobs.digests() != request.digests:
            return Failure(Code.NOT_SYNCED, "differs")
        return Done()
