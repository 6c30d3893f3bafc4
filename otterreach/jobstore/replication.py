"""All copies of partitions at this machine: which of them it leads or backs up by the newest records.

Safety rests on epochs and on writes that wait for every member; times only bound how old a read may be.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from otterreach.jobstore.backup import BackupHandlers
from otterreach.jobstore.disk_watch import DiskWatch
from otterreach.jobstore.installation import CALL_S
from otterreach.jobstore.leadership import Hooks, PartitionLeader, finish
from otterreach.jobstore.member_pings import MemberPings
from otterreach.jobstore.messages import PartDigests
from otterreach.jobstore.partition import Copy, CopyState, RecordLog
from otterreach.jobstore.placement import PARTITIONS, Placement, read_placement
from otterreach.jobstore.replica_stream import StreamState
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal import Live
from otterreach.runtime.log import log
from otterreach.runtime.node import Node
from otterreach.runtime.store import Item

FRESH_S = 0.5  # a read needs every member's word that was asked for within this; half of settleMs at most
DIGEST_S = 5.0
DROP_S = 10.0  # a copy that no record names is kept so long


class JournalLike(RecordLog, Protocol):
    """otterreach.runtime.journal.Journal, or a stand-in."""

    size: int
    failed: Failure | None

    async def sync(self) -> bool: ...

    async def rewrite(self, live: Live) -> bool: ...


class Replication:
    """All copies at this machine."""

    def __init__(self, node: Node, journal: JournalLike, random: Random, hooks: Hooks) -> None:
        self.node, self.journal, self.random, self.hooks = node, journal, random, hooks
        self.loop = asyncio.get_running_loop()
        self.now: Callable[[], float] = self.loop.time
        self.survive_nodes = node.settings.survive_nodes
        self.fresh_s = min(FRESH_S, node.settings.bounds.settle_s / 2)
        self.copies = [Copy(part, journal, self.now) for part in range(PARTITIONS)]
        self.disk = DiskWatch(journal, self.now)
        self.leaders: dict[int, PartitionLeader] = {}
        self._installing: dict[str, asyncio.Semaphore] = {}
        self._dirty: dict[int, Copy] = {}
        self._flushing = False
        self._digested_at = 0.0
        self.backup = BackupHandlers(self)
        self.pings = MemberPings(self)
        node.store.watch("part", self._placement_changed)

    @property
    def member(self) -> str:
        return self.node.member

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        return self.node.endpoint.spawn(work)

    async def call(self, address: str, ask: Any, timeout_s: float) -> Any:
        return await self.node.endpoint.call(address, ask, timeout_s)

    def installing(self, member: str) -> asyncio.Semaphore:
        """One whole copy at a time to each member: they are held in memory meanwhile."""
        return self._installing.setdefault(member, asyncio.Semaphore(1))

    def address_of(self, member: str) -> str:
        """Where this member is; empty if it isn't known, or another disk is there now."""
        name, _, disk = member.partition("#")
        known = self.node.store.get(f"member/{name}")
        return str(known["address"]) if known and known["disk"] == disk else ""

    def _controllers(self) -> list[str]:
        follower = self.node.follower
        return [a for a in dict.fromkeys([follower.primary, *follower.controllers]) if a]

    async def ask_controller(self, ask: Any) -> Any:
        """A call to the primary controller, wherever it is."""
        reply: Any = Failure(Code.UNREACHABLE, "no controller is known")
        for address in self._controllers():
            reply = await self.call(address, ask, CALL_S)
            if not isinstance(reply, Failure):
                return reply
        return reply

    # Whose partitions ----------------------------------------------------------------------------

    def _placement_changed(self, item: Item) -> None:
        part = item.key.partition("/")[2]
        if part.isdigit() and int(part) < PARTITIONS:
            self.follow(self.copies[int(part)])

    def follow_all(self) -> None:
        """Look at all records; after the start."""
        for copy in self.copies:
            self.follow(copy)

    def follow(self, copy: Copy) -> None:
        """Take the part that the newest record gives."""
        placement = read_placement(self.node.store.get(f"part/{copy.part}"))
        if placement is None or placement.epoch < copy.epoch or placement == copy.placement:
            return
        leader = self.leaders.get(copy.part)
        if copy.placement and placement.epoch == copy.epoch:
            if placement.members != copy.placement.members:
                log("record_changed_in_epoch", level="ERROR", part=copy.part, epoch=copy.epoch)
                return
            copy.placement = placement
            if leader:
                leader.update(placement)
            return
        self._enter_epoch(copy, placement)

    def _enter_epoch(self, copy: Copy, placement: Placement) -> None:
        self.end_leadership(copy, stays=self.member == placement.primary)
        if self.member not in (*placement.members, *placement.learners):
            self._leave_partition(copy, placement)
            return
        copy.promise(placement.epoch)
        copy.placement = placement
        if self.member in placement.members and copy.uninitialised:
            copy.start_empty()
        if self.member == placement.primary:
            self._begin_leadership(copy, placement)
        elif self.member in placement.backups and copy.whole:
            copy.become(CopyState.BACKUP, "record")
        else:
            copy.become(CopyState.LEARNER, "record")

    def _leave_partition(self, copy: Copy, placement: Placement) -> None:
        if copy.epoch:
            copy.promise(placement.epoch)
            copy.placement = placement
            if copy.state is not CopyState.ABSENT:
                copy.become(CopyState.FENCED, "not a member")
            elif copy.whole:  # as read from the journal
                copy.become(CopyState.FENCED, "no longer a member")

    def _begin_leadership(self, copy: Copy, placement: Placement) -> None:
        if not copy.whole:
            log("primary_without_copy", level="ERROR", part=copy.part, epoch=placement.epoch)
            copy.become(CopyState.FENCED, "no copy")
            return
        copy.become(CopyState.SYNCING, "record")
        leader = self.leaders[copy.part] = PartitionLeader(self, copy, placement)
        self.spawn(leader.begin())

    def end_leadership(self, copy: Copy, stays: bool = False) -> None:
        leader = self.leaders.pop(copy.part, None)
        if leader:
            copy.become(CopyState.FENCED, "epoch over")
            leader.end()
            if not stays:
                self.hooks.stepped_down(copy)

    def step_down(self, copy: Copy, why: str) -> None:
        """No longer primary, whatever the record says that is known here."""
        if copy.part in self.leaders:
            log("step_down", level="WARNING", part=copy.part, epoch=copy.epoch, why=why)
            self.end_leadership(copy)

    def leader(self, part: int) -> PartitionLeader | Failure:
        """This machine's leadership of a partition, if it takes writes."""
        leader = self.leaders.get(part)
        if leader is None:
            return Failure(Code.NOT_PRIMARY, self.copies[part].state.value)
        if not leader.serving:
            return Failure(Code.NOT_SYNCED, self.copies[part].state.value)
        return leader

    async def committed(self, copy: Copy, index: int, within_s: float) -> bool:
        """Wait until the record before `index` is at all members. False: it may be there or not."""
        lineage, end = copy.lineage, self.now() + within_s
        while True:
            leader = self.leaders.get(copy.part)
            if leader is None or copy.lineage != lineage:
                return False
            if leader.committed >= index:
                return True
            left = end - self.now()
            if left <= 0 or self.journal.failed is not None:
                return False
            await self._wait(leader.waiter(index), left)

    async def _wait(self, future: asyncio.Future[None], within_s: float) -> None:
        timer = self.loop.call_later(within_s, finish, future)
        try:
            await future
        finally:
            timer.cancel()

    def sync_soon(self, copy: Copy) -> None:
        """Records of this copy are to be synced; all that come meanwhile share one sync."""
        self._dirty[copy.part] = copy
        if not self._flushing:
            self._flushing = True
            self.spawn(self._flush())

    async def _flush(self) -> None:
        try:
            while self._dirty:
                marks = [(copy, copy.index, copy.lineage) for copy in self._dirty.values()]
                self._dirty.clear()
                if not await self.disk.sync():
                    return
                for copy, index, lineage in marks:
                    leader = self.leaders.get(copy.part)
                    if leader and copy.lineage == lineage:
                        leader.local = max(leader.local, index)
                        leader.advance_commit()
        finally:
            self._flushing = False

    # Now and then ----------------------------------------------------------------------------------

    async def settle(self, within_s: float) -> None:
        """Let what has been taken get to all members; for a stop."""
        for leader in list(self.leaders.values()):
            if leader.serving:
                start = self.now()
                await self.committed(leader.copy, leader.copy.index, within_s)
                within_s -= self.now() - start

    async def reconcile(self) -> None:
        """Now and then: compare copies, drop what is no longer needed."""
        now = self.now()
        for copy in self.copies:
            if self._superfluous(copy, now):
                copy.drop()
        if now - self._digested_at > DIGEST_S:
            self._digested_at = now
            for leader in list(self.leaders.values()):
                if leader.serving and leader.copy.jobs.jobs:
                    await self._compare(leader)

    def _superfluous(self, copy: Copy, now: float) -> bool:
        placement = copy.placement
        if copy.state is not CopyState.FENCED or placement is None or now - copy.fenced_at < DROP_S:
            return False
        named = self.member in (*placement.members, *placement.learners)
        return not named and len(placement.backups) >= self.survive_nodes

    async def _compare(self, leader: PartitionLeader) -> None:
        copy = leader.copy
        digests = copy.jobs.digests()
        index, chain = copy.position
        for member, replica in list(leader.replicas.items()):
            address = self.address_of(member)
            if not address or replica.state is not StreamState.STREAMING or replica.acked != index:
                continue
            ask = PartDigests(copy.part, leader.epoch, member, index, chain, digests)
            reply = await self.call(address, ask, CALL_S)
            if isinstance(reply, Failure) and reply.code is Code.NOT_SYNCED and not leader.ended:
                log("copy_differs", level="ERROR", part=copy.part, member=member, index=index)
                replica.differs()
