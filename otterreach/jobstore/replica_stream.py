"""Replication from a primary to one other replica: find its position, install a complete replica, stream entries."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

from otterreach.jobstore.installation import (
    CHUNK_BYTES,
    Installation,
    InstallationTarget,
    size_of,
    transfer_timeout_s,
)
from otterreach.jobstore.journal_records import NO_POSITION, LogPosition
from otterreach.jobstore.messages import AppendEntries, ReplicaPosition
from otterreach.jobstore.partition_replica import PartitionReplica
from otterreach.jobstore.replication_context import ReplicationContext
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log

RETRY_S = 0.06  # before the retry of an unanswered call; grows by RETRY_FACTOR with each further one
MAX_RETRY_S = 0.3
RETRY_FACTOR = 1.6
NEVER_S = -1e9
NOTHING_NEEDED = 1 << 60  # greater than any index


class StreamState(Enum):
    """The phase of the replication to another replica."""

    ASKING = "asking"  # its position is being queried
    INSTALLING = "installing"
    STREAMING = "streaming"


class StreamOwner(Protocol):
    """The leadership that a stream belongs to."""

    replica: PartitionReplica
    epoch: int
    session: int

    def superseded(self, reason: str) -> None:
        """Called when the other replica is in a higher epoch."""

    def replica_advanced(self, stream: ReplicaStream) -> None:
        """Called when the other replica has acknowledged entries."""


class ReplicaStream:
    """The replication to one other replica under one leadership."""

    def __init__(self, context: ReplicationContext, owner: StreamOwner, member: str) -> None:
        self.context = context
        self.owner = owner
        self.member = member
        self.state = StreamState.ASKING
        self.acknowledged = -1  # number of entries that the replica has on disk
        self.confirmed_at = NEVER_S  # send time of the last call that the replica answered in this epoch
        self.reported_lost_at = NEVER_S
        self.reporting_in_sync = False
        self.wake = asyncio.Event()
        self._next: LogPosition = NO_POSITION
        self._installing_from: int | None = None  # index of the installation in progress

    def become(self, state: StreamState, reason: str = "") -> None:
        """Change the state. No other function does."""
        if state is self.state:
            return
        if reason:
            log(
                "replica_stream",
                partition=self.owner.replica.partition,
                member=self.member,
                old=self.state.value,
                new=state.value,
                reason=reason,
            )
        self.state = state

    @property
    def needed_from(self) -> int:
        """The index from which on entries are still to be sent to the replica."""
        if self._installing_from is not None:
            return self._installing_from
        return self.acknowledged if self.state is StreamState.STREAMING else NOTHING_NEEDED

    def confirm(self, asked_at: float) -> None:
        """Record that the replica, asked at that time, confirmed that it is in this epoch."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def mark_differing(self) -> None:
        """Have the replica installed anew: its contents differ at the same position.

        Until then none of its entries count as acknowledged.
        """
        self.acknowledged = -1
        self.become(StreamState.INSTALLING, "contents differ")
        self.wake.set()

    async def run(self) -> None:
        """Query the position, install a complete replica if necessary, and stream entries.

        Runs until it is cancelled at the end of the leadership.
        """
        replica = self.owner.replica
        pause_s = RETRY_S
        while True:
            if self.state is StreamState.STREAMING and self.acknowledged >= replica.index:
                self.wake.clear()
                await self.wake.wait()
                continue
            if await self._advance():
                pause_s = RETRY_S
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, pause_s * RETRY_FACTOR)

    async def _advance(self) -> bool:
        """Take one step. Return False if there was no answer, so that it is to be retried after a pause."""
        address = self.context.address_of(self.member)
        if not address:
            return False
        if self.state is StreamState.INSTALLING:
            return await self._install()
        return await self._push(address)

    async def _push(self, address: str) -> bool:
        replica = self.owner.replica
        streaming = self.state is StreamState.STREAMING
        position = self._next if streaming else replica.position
        if streaming and not replica.contains(position):
            self.become(StreamState.ASKING, "too far behind")
            return True
        entries = replica.entries_after(position, CHUNK_BYTES) if streaming else []
        request = AppendEntries(
            partition=replica.partition,
            epoch=self.owner.epoch,
            member=self.member,
            session=self.owner.session,
            index=position.index,
            chain=position.chain,
            records=entries,
        )
        sent_at = self.context.now()
        reply = await self.context.call(address, request, transfer_timeout_s(size_of(entries)))
        return self._handle_position(reply, sent_at)

    def _handle_position(self, reply: ReplicaPosition | Failure, sent_at: float) -> bool:
        """Continue from the position in the reply.

        Return False if the reply is a Failure and so has no position: the call is then to be retried.
        """
        replica = self.owner.replica
        if isinstance(reply, Failure):
            if reply.code is Code.STALE_EPOCH:
                self.owner.superseded(reply.reason)
            self.become(StreamState.ASKING)
            return False
        self.confirm(sent_at)
        position = LogPosition(reply.index, reply.chain)
        if not replica.contains(position):
            self.become(StreamState.INSTALLING, f"at index {reply.index} of {replica.index}")
            return True
        self._next = position
        self.acknowledged = reply.index
        self.become(StreamState.STREAMING)
        self.owner.replica_advanced(self)
        return True

    async def _install(self) -> bool:
        replica = self.owner.replica
        async with self.context.installing(self.member):
            if self.state is not StreamState.INSTALLING:
                return True
            position = replica.position
            generation = replica.history_generation
            target = InstallationTarget(replica.partition, self.owner.epoch, self.owner.session, self.member)
            installation = Installation(self.context, target, position, replica.jobs.copy_jobs())
            self._installing_from = position.index
            try:
                reply = await installation.run()
            finally:
                self._installing_from = None
            if replica.history_generation != generation:
                return True
            return self._handle_position(reply, installation.sent_at)
