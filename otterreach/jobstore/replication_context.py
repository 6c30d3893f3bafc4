"""What all parts of the replication at one machine share: settings, clock, disk, and calls to other members."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Protocol, TypeVar

from otterreach.jobstore.disk_monitor import DiskMonitor
from otterreach.jobstore.partition_replica import RecordLog
from otterreach.runtime.codec import ReplyT, Request
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import disk_of, node_of
from otterreach.runtime.journal import LiveSlices
from otterreach.runtime.node import Node
from otterreach.runtime.records import MemberRecord

CALL_TIMEOUT_S = 0.8
# A read needs every member's confirmation that was asked for within this, or half of settleMs if that is less.
MAX_CONFIRMATION_AGE_S = 0.5

T = TypeVar("T")


class JobJournal(RecordLog, Protocol):
    """otterreach.runtime.journal.Journal, or a stand-in."""

    size: int
    failed: Failure | None

    async def sync(self) -> bool:
        """Everything appended so far is on disk. False: the disk has failed."""

    async def rewrite(self, live: LiveSlices) -> bool:
        """Replace the file by one that holds the live state."""


class ReplicationContext:
    """Knows no partition: those who lead or back them up know this."""

    def __init__(self, node: Node, journal: JobJournal, random: Random) -> None:
        self.node = node
        self.journal = journal
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.now: Callable[[], float] = self.loop.time
        self.survive_nodes = node.settings.survive_nodes
        self.max_confirmation_age_s = min(MAX_CONFIRMATION_AGE_S, node.settings.bounds.settle_s / 2)
        self.disk = DiskMonitor(journal, self.now)
        self._installing: dict[str, asyncio.Semaphore] = {}

    @property
    def member(self) -> str:
        """The member id of this process."""
        return self.node.member

    def spawn(self, work: Coroutine[object, object, T]) -> asyncio.Task[T]:
        """Run in the background."""
        return self.node.endpoint.spawn(work)

    async def call(self, address: str, request: Request[ReplyT], timeout_s: float) -> ReplyT | Failure:
        """A call to another process."""
        return await self.node.endpoint.call(address, request, timeout_s)

    def installing(self, member: str) -> asyncio.Semaphore:
        """One installation at a time to each member: its jobs are held in memory meanwhile."""
        return self._installing.setdefault(member, asyncio.Semaphore(1))

    def address_of(self, member: str) -> str:
        """Where this member is; empty if it isn't known, or another disk is there now."""
        known = self.node.store.record(MemberRecord, node_of(member))
        return known.address if known and known.disk == disk_of(member) else ""

    async def call_controller(self, request: Request[ReplyT]) -> ReplyT | Failure:
        """A call to the primary controller, wherever it is; the last Failure if no controller takes it."""
        follower = self.node.follower
        reply: ReplyT | Failure = Failure(Code.UNREACHABLE, "no controller is known")
        for address in dict.fromkeys([follower.primary, *follower.controllers]):
            if not address:
                continue
            reply = await self.call(address, request, CALL_TIMEOUT_S)
            if not isinstance(reply, Failure):
                return reply
        return reply

    def send_to_controller(self, message: object) -> bool:
        """Send the primary controller a message one way. False: there is no connection yet, but one is being opened."""
        address = self.node.follower.primary
        if not address:
            return False
        link = self.node.endpoint.linked(address)
        if link is None:
            self.spawn(self.node.endpoint.link(address))
            return False
        link.send(message)
        return True
