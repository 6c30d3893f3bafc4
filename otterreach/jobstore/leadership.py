"""Being primary of a partition in one epoch: what its members have on disk, and what may be answered by that.

A write is answered once every required member has it on disk; a read needs every required member's word from a moment
ago that it is still in this epoch. docs/system.md, "Partitions of batch jobs".
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

from otterreach.jobstore.jobs import Change, Job
from otterreach.jobstore.messages import Entry, PartSynced
from otterreach.jobstore.partition import Copy, CopyState
from otterreach.jobstore.placement import Placement
from otterreach.jobstore.replica_stream import ReplicaStream
from otterreach.runtime.codes import Failure

if TYPE_CHECKING:
    from otterreach.jobstore.replication import Replication

REPORT_AGAIN_S = 0.2  # between reports of a learner that is in sync, until one is taken
REPORTED_S = 1.0  # the same, after one was taken: the new record may be on its way


class Hooks(Protocol):
    """Who is told of what happens to partitions."""

    def settled(self, copy: Copy, change: Change) -> None:
        """A record is at all copies."""

    def became_leader(self, copy: Copy) -> None:
        """This machine serves the partition from now on, perhaps as before under a lower epoch."""

    def stepped_down(self, copy: Copy) -> None:
        """It no longer does."""


def finish(future: asyncio.Future[None]) -> None:
    """Let whoever waits go on."""
    if not future.done():
        future.set_result(None)


class PartitionLeader:
    """Being primary of a partition in one epoch."""

    def __init__(self, replication: Replication, copy: Copy, placement: Placement) -> None:
        self.replication, self.copy, self.placement = replication, copy, placement
        self.epoch = placement.epoch
        self.now = replication.now
        self.session = replication.random.getrandbits(48) | 1
        self.base = copy.index  # answers nothing until all copies have these
        self.local = -1  # on the own disk
        self.committed = -1  # at all members
        self.ended = False
        self.began_at = self.now()
        self.replicas: dict[str, ReplicaStream] = {}
        self._tasks: dict[str, asyncio.Task[Any]] = {}
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    async def begin(self) -> None:
        """The epoch on disk first, then the copies."""
        index = self.copy.index
        if not await self.replication.disk.sync() or self.ended:
            return
        self.local = max(self.local, index)
        self.update(self.placement)
        self.advance_commit()

    def update(self, placement: Placement) -> None:
        """Start and end what is sent to whom; only those that join may change within an epoch."""
        self.placement = placement
        wanted = {*placement.backups, *placement.learners, *self.copy.in_sync} - {self.replication.member}
        for member in wanted - set(self.replicas):
            replica = self.replicas[member] = ReplicaStream(self, member)
            self._tasks[member] = self.replication.spawn(replica.run())
        for member in set(self.replicas) - wanted:
            del self.replicas[member]
            self._tasks.pop(member).cancel()

    def end(self) -> None:
        self.ended = True
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        waiters, self._waiters = self._waiters, []
        for _, future in waiters:
            finish(future)

    @property
    def required(self) -> list[str]:
        """Whose word writes and reads wait for: a learner too, once the controller may make it a member."""
        return [*self.placement.backups, *(self.copy.in_sync - set(self.placement.backups))]

    def age(self) -> float:
        """Seconds since all members were last surely in this epoch: nobody else was primary then."""
        return self.now() - min(
            (self.replicas[m].heard if m in self.replicas else -1e9 for m in self.required), default=self.now()
        )

    @property
    def enough(self) -> bool:
        return len(self.placement.backups) >= self.replication.survive_nodes

    @property
    def serving(self) -> bool:
        """Whether it takes writes; they end once they are at all members."""
        return not self.ended and self.copy.state is CopyState.SERVING and self.replication.journal.failed is None

    @property
    def fresh(self) -> bool:
        """Whether it answers reads, and lets items be run."""
        return self.serving and self.age() < self.replication.fresh_s

    def append(self, entry: Entry, parsed: Job | None = None) -> int:
        """A record for all copies. Returns the index to wait for."""
        index = self.copy.append(entry, parsed)
        self.replication.sync_soon(self.copy)
        for replica in self.replicas.values():
            replica.wake.set()
        return index

    def waiter(self, index: int) -> asyncio.Future[None]:
        """Done once the index is at all members, or the leadership is over."""
        future: asyncio.Future[None] = self.replication.loop.create_future()
        self._waiters.append((index, future))
        return future

    def replica_advanced(self, replica: ReplicaStream) -> None:
        """A copy has got further."""
        joins = replica.member in self.placement.learners or replica.member in self.copy.in_sync
        if joins and replica.acked >= self.copy.index and not replica.reporting:
            replica.reporting = True
            self.copy.add_in_sync(replica.member)
            self.replication.spawn(self._report_in_sync(replica))
        self.advance_commit()

    async def _report_in_sync(self, replica: ReplicaStream) -> None:
        """From here on writes wait for it, so that the controller may make it a member at any time."""
        ask = PartSynced(self.copy.part, self.epoch, replica.member)
        if not await self.replication.disk.sync():
            return
        while self._is_learner(replica):
            reply = await self.replication.ask_controller(ask)
            await asyncio.sleep(REPORT_AGAIN_S if isinstance(reply, Failure) else REPORTED_S)

    def _is_learner(self, replica: ReplicaStream) -> bool:
        current = not self.ended and self.replicas.get(replica.member) is replica
        return current and replica.member not in self.placement.backups

    def advance_commit(self) -> None:
        """See how far all members are; the one place where records become visible."""
        if self.ended:
            return
        acked = [self.replicas[m].acked if m in self.replicas else -1 for m in self.required]
        done = min([self.local, *acked])
        if done > self.committed:
            self.committed = done
            for change in self.copy.settle(done):
                self.replication.hooks.settled(self.copy, change)
            self._release(done)
            self.copy.floor = min((p.needed for p in self.replicas.values()), default=done)
        if self.committed >= self.base and self.enough and self.copy.state is CopyState.SYNCING:
            self.copy.become(CopyState.SERVING, "all members stand alike")
            self.replication.hooks.became_leader(self.copy)

    def _release(self, done: int) -> None:
        waiting, self._waiters = self._waiters, []
        for index, future in waiting:
            if future.done():
                continue
            if index <= done:
                future.set_result(None)
            else:
                self._waiters.append((index, future))

    def superseded(self, why: str) -> None:
        """A member is in a higher epoch: this one is over."""
        self.replication.step_down(self.copy, f"superseded: {why}")
