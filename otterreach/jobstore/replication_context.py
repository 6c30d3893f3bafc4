"""The context that all parts of the replication on one machine share: settings, clock, disk, calls to other members."""

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
# A read requires that every member confirmed its epoch in answer to a call sent within this time, or within half of
# settleMs if that is less.
MAX_CONFIRMATION_AGE_S = 0.5

T = TypeVar("T")


class JobJournal(RecordLog, Protocol):
    """The part of the interface of otterreach.runtime.journal.Journal that a job store node uses."""

    size: int
    failed: Failure | None

    async def sync(self) -> bool:
        """Sync everything appended so far to disk. Return False if the disk has failed."""

    async def rewrite(self, live: LiveSlices) -> bool:
        """Replace the file with one that holds only the live state."""


class ReplicationContext:
    """The context of the leaders and backups of all partitions. Holds no state of a partition itself."""

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
        """Run a coroutine in the background."""
        return self.node.endpoint.spawn(work)

    async def call(self, address: str, request: Request[ReplyT], timeout_s: float) -> ReplyT | Failure:
        """Call another process."""
        return await self.node.endpoint.call(address, request, timeout_s)

    def installing(self, member: str) -> asyncio.Semaphore:
        """Return the semaphore that admits one installation at a time to a member.

        An installation holds a copy of the partition's jobs in memory until it ends.
        """
        return self._installing.setdefault(member, asyncio.Semaphore(1))

    def address_of(self, member: str) -> str:
        """Return the address of this member; empty if it is unknown or its node has another disk now."""
        known = self.node.store.record(MemberRecord, node_of(member))
        return known.address if known and known.disk == disk_of(member) else ""

    async def call_controller(self, request: Request[ReplyT]) -> ReplyT | Failure:
        """Call the primary controller, trying all known controllers. Return the last Failure if none accepts it."""
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
        """Send a one-way message to the primary controller.

        Return False if there is no connection yet; one is being opened, provided that the primary is known.
        """
        address = self.node.follower.primary
        if not address:
            return False
        link = self.node.endpoint.open_link(address)
        if link is None:
            self.spawn(self.node.endpoint.link(address))
            return False
        link.send(message)
        return True
