"""All partition replicas on this machine, and their roles as primary or backup according to the newest records.

Safety rests on epochs and on writes that wait for every member; clocks only bound how stale a read may be.
"""

from __future__ import annotations

import asyncio
from random import Random

from otterreach.jobstore.backup import BackupHandlers
from otterreach.jobstore.leadership import LeadershipListener, PartitionLeader, resolve
from otterreach.jobstore.member_pings import MemberPings
from otterreach.jobstore.messages import PartitionDigests
from otterreach.jobstore.partition_replica import PartitionReplica, ReplicaState
from otterreach.jobstore.placement import PARTITIONS
from otterreach.jobstore.replica_stream import StreamState
from otterreach.jobstore.replication_context import CALL_TIMEOUT_S, JobJournal, ReplicationContext
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.node import Node
from otterreach.runtime.records import PartitionRecord
from otterreach.runtime.store import Item

DIGEST_INTERVAL_S = 5.0
DROP_DELAY_S = 10.0  # a replica that its partition's record no longer names is kept for this time


class Replication:
    """All partition replicas on this machine."""

    def __init__(self, node: Node, journal: JobJournal, random: Random, listener: LeadershipListener) -> None:
        self.node = node
        self.listener = listener
        self.context = ReplicationContext(node, journal, random)
        self.replicas = [PartitionReplica(partition, journal, self.context.now) for partition in range(PARTITIONS)]
        self.leaders: dict[int, PartitionLeader] = {}  # by partition
        self.backup = BackupHandlers(self.context, self.replicas, self.end_leadership)
        self.pings = MemberPings(self.context, self.leaders)
        self._unsynced: dict[int, PartitionReplica] = {}
        self._syncing = False
        self._digests_compared_at = 0.0
        node.store.watch(PartitionRecord, self._record_changed)

    @property
    def member(self) -> str:
        """The member id of this process."""
        return self.context.member

    # Roles by the newest records -----------------------------------------------------------------

    def _record_changed(self, item: Item) -> None:
        if item.name.isdigit() and int(item.name) < PARTITIONS:
            self.apply_record(self.replicas[int(item.name)])

    def apply_all_records(self) -> None:
        """Apply the records of all partitions; called once at start-up."""
        for replica in self.replicas:
            self.apply_record(replica)

    def apply_record(self, replica: PartitionReplica) -> None:
        """Take the role that the newest record assigns to this member."""
        record = self.node.store.record(PartitionRecord, str(replica.partition))
        if record is None or record.epoch < replica.epoch or record == replica.placement:
            return
        if replica.placement is None or record.epoch != replica.epoch:
            self._enter_epoch(replica, record)
            return
        if record.members != replica.placement.members:
            log("record_changed_in_epoch", level="ERROR", partition=replica.partition, epoch=replica.epoch)
            return
        replica.placement = record
        leader = self.leaders.get(replica.partition)
        if leader:
            leader.update(record)

    def _enter_epoch(self, replica: PartitionReplica, record: PartitionRecord) -> None:
        self.end_leadership(replica, stays_primary=self.member == record.primary)
        if self.member not in record.replicas:
            self._leave_partition(replica, record)
            return
        replica.promise(record.epoch)
        replica.placement = record
        if self.member in record.members and replica.uninitialised:
            replica.start_empty()
        if self.member == record.primary:
            self._begin_leadership(replica, record)
        elif self.member in record.backups and replica.is_complete:
            replica.transition_to(ReplicaState.BACKUP, "record")
        else:
            replica.transition_to(ReplicaState.LEARNER, "record")

    def _leave_partition(self, replica: PartitionReplica, record: PartitionRecord) -> None:
        if not replica.epoch:
            return
        replica.promise(record.epoch)
        replica.placement = record
        if replica.state is not ReplicaState.ABSENT:
            replica.transition_to(ReplicaState.FENCED, "not a member")
        elif replica.is_complete:  # replayed from the journal
            replica.transition_to(ReplicaState.FENCED, "no longer a member")

    # Leadership ----------------------------------------------------------------------------------

    def _begin_leadership(self, replica: PartitionReplica, record: PartitionRecord) -> None:
        if not replica.is_complete:
            log("primary_without_replica", level="ERROR", partition=replica.partition, epoch=record.epoch)
            replica.transition_to(ReplicaState.FENCED, "no replica")
            return
        replica.transition_to(ReplicaState.SYNCING, "record")
        leader = PartitionLeader(self.context, self, self.listener, replica, record)
        self.leaders[replica.partition] = leader
        self.context.spawn(leader.begin())

    def end_leadership(self, replica: PartitionReplica, stays_primary: bool = False) -> None:
        """End this machine's leadership of the partition, if there is one.

        :param stays_primary: this machine also leads the next epoch, so the listener is not notified
        """
        leader = self.leaders.pop(replica.partition, None)
        if leader is None:
            return
        replica.transition_to(ReplicaState.FENCED, "epoch over")
        leader.end()
        if not stays_primary:
            self.listener.stepped_down(replica)

    def step_down(self, replica: PartitionReplica, reason: str) -> None:
        """Stop leading the partition, whatever the record that is known here says."""
        if replica.partition in self.leaders:
            log("step_down", level="WARNING", partition=replica.partition, epoch=replica.epoch, reason=reason)
            self.end_leadership(replica)

    def leader(self, partition: int) -> PartitionLeader | Failure:
        """Return this machine's leadership of a partition if it accepts writes, or a Failure."""
        leader = self.leaders.get(partition)
        state = self.replicas[partition].state.value
        if leader is None:
            return Failure(Code.NOT_PRIMARY, state)
        return leader if leader.is_serving else Failure(Code.NOT_SYNCED, state)

    # Commits -------------------------------------------------------------------------------------

    async def wait_until_committed(self, replica: PartitionReplica, index: int, timeout_s: float) -> bool:
        """Wait until the entry before `index` is committed. Return False if it may be committed or not."""
        generation = replica.history_generation
        deadline = self.context.now() + timeout_s
        while True:
            leader = self.leaders.get(replica.partition)
            if leader is None or replica.history_generation != generation:
                return False
            if leader.committed_index >= index:
                return True
            left_s = deadline - self.context.now()
            if left_s <= 0 or self.context.journal.failed is not None:
                return False
            await self._wait(leader.waiter(index), left_s)

    async def _wait(self, future: asyncio.Future[None], timeout_s: float) -> None:
        timer = self.context.loop.call_later(timeout_s, resolve, future)
        try:
            await future
        finally:
            timer.cancel()

    def schedule_sync(self, replica: PartitionReplica) -> None:
        """Schedule a sync of this replica's entries. All entries appended during a sync share the next one."""
        self._unsynced[replica.partition] = replica
        if not self._syncing:
            self._syncing = True
            self.context.spawn(self._sync())

    async def _sync(self) -> None:
        try:
            while self._unsynced:
                batch = [(replica, replica.index, replica.history_generation) for replica in self._unsynced.values()]
                self._unsynced.clear()
                if not await self.context.disk.sync():
                    return
                for replica, index, generation in batch:
                    leader = self.leaders.get(replica.partition)
                    if leader and replica.history_generation == generation:
                        leader.synced(index)
        finally:
            self._syncing = False

    async def finish_writes(self, timeout_s: float) -> None:
        """Wait until all accepted writes are committed, at most for `timeout_s`; for a shutdown."""
        deadline = self.context.now() + timeout_s
        for leader in list(self.leaders.values()):
            if leader.is_serving:
                await self.wait_until_committed(leader.replica, leader.replica.index, deadline - self.context.now())

    # Anti-entropy --------------------------------------------------------------------------------

    async def reconcile(self) -> None:
        """Drop replicas that are no longer needed and compare the others by digests; called periodically."""
        now = self.context.now()
        for replica in self.replicas:
            if self._is_surplus(replica, now):
                replica.drop()
        if now - self._digests_compared_at > DIGEST_INTERVAL_S:
            self._digests_compared_at = now
            for leader in list(self.leaders.values()):
                if leader.is_serving and leader.replica.jobs.jobs:
                    await self._compare_digests(leader)

    def _is_surplus(self, replica: PartitionReplica, now: float) -> bool:
        record = replica.placement
        if replica.state is not ReplicaState.FENCED or record is None or now - replica.fenced_at < DROP_DELAY_S:
            return False
        return self.member not in record.replicas and len(record.backups) >= self.context.survive_nodes

    async def _compare_digests(self, leader: PartitionLeader) -> None:
        replica = leader.replica
        digests = replica.jobs.digests()
        position = replica.position
        for member, stream in list(leader.streams.items()):
            address = self.context.address_of(member)
            if not address or stream.state is not StreamState.STREAMING or stream.acknowledged != position.index:
                continue
            request = PartitionDigests(replica.partition, leader.epoch, member, position.index, position.chain, digests)
            reply = await self.context.call(address, request, CALL_TIMEOUT_S)
            if isinstance(reply, Failure) and reply.code is Code.NOT_SYNCED and not leader.ended:
                log(
                    "replica_differs",
                    level="ERROR",
                    partition=replica.partition,
                    member=member,
                    index=position.index,
                )
                stream.mark_differing()
