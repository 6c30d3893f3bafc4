"""The job store nodes as a proxy sees them: which of them owns which partition, and how new that knowledge is.

Each is pinged again and again (ping_schedule.py). What its Pong tells of a partition is true as of the time it names.
Right before an item goes to a server that time must not be long ago: nothing of an ended batch job goes out late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from otterreach.jobstore.messages import ProxyPing, ProxyPong
from otterreach.jobstore.placement import partition_of
from otterreach.proxy.fleet import Fleet
from otterreach.proxy.ping_schedule import LONG_INTERVAL_S, SHORT_INTERVAL_S, ItemLoad, PingSchedule
from otterreach.runtime.codec import ReplyT, Request
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import node_of
from otterreach.runtime.records import MemberRecord, MemberRole, PartitionRecord
from otterreach.runtime.rpc import Link, MessageT
from otterreach.runtime.settings import Settings

PING_TIMEOUT_S = 0.6
LEASE_SHARE = 0.4  # of cancelMs: the rest is for what is on its way, and for clocks that run apart
RETRY_S = 0.04  # between two tries of a call
MIN_TIMEOUT_S = 0.05
# A call that got one of these was not done, and another node may do it, or the same one a little later.
RETRYABLE_CODES = (
    Code.NOT_PRIMARY,
    Code.NOT_SYNCED,
    Code.UNREACHABLE,
    Code.STALE_EPOCH,
    Code.NO_HANDLER,
    Code.NOT_MEMBER,
)


T = TypeVar("T")


class Caller(Protocol):
    """What is used of otterreach.runtime.rpc.Endpoint."""

    async def call(self, address: str, request: Request[ReplyT], timeout_s: float, /) -> ReplyT | Failure:
        """The reply of whoever listens at host:port."""

    async def link(self, address: str, /) -> Link | Failure:
        """The connection to host:port."""

    def on(self, kind: type[MessageT], handler: Callable[[Link, MessageT], Awaitable[Any]], /) -> None:
        """Handle messages of this kind."""

    def spawn(self, work: Coroutine[Any, Any, T], /) -> asyncio.Task[T]:
        """Run in the background."""


class ItemHolder(Protocol):
    """Who runs the items of this proxy."""

    def load(self) -> ItemLoad:
        """What is at hand."""

    def end_job(self, job: str) -> None:
        """A Pong says that this batch job has ended."""

    def report_running(self, partition: int, address: str) -> None:
        """A partition has moved to this job store node, which has to know what runs here."""

    def on_confirmed(self) -> None:
        """A Pong has come: more items may go out now."""


class NoItems:
    """The holder of one that only reads and submits batch jobs."""

    def load(self) -> ItemLoad:
        """No slots."""
        return ItemLoad(0, 0)

    def end_job(self, job: str) -> None:
        """Nothing of it is here."""

    def report_running(self, partition: int, address: str) -> None:
        """Nothing runs here."""

    def on_confirmed(self) -> None:
        """Nothing waits here."""


@dataclass(slots=True)
class PartitionOwner:
    """Who says that it serves a partition, and as of when."""

    epoch: int
    address: str
    as_of: float  # on this proxy's steady clock


class JobStoreDirectory:
    """Which job store nodes serve which batch jobs, kept fresh by pings."""

    def __init__(self, fleet: Fleet, endpoint: Caller, settings: Settings, holder: ItemHolder) -> None:
        self.fleet = fleet
        self.endpoint = endpoint
        self.settings = settings
        self.store = fleet.store
        self.loop = fleet.loop
        self.lease_s = settings.bounds.cancel_s * LEASE_SHARE
        self.owners: dict[int, PartitionOwner] = {}
        self._holder = holder
        self._schedule = PingSchedule(fleet.draw.random)
        self._incarnation = fleet.draw.random.getrandbits(48) + 1
        self._pings_in_flight: set[str] = set()  # addresses whose Pong is still out

    async def run(self) -> None:
        """For ever: ping whoever is due."""
        while True:
            load = self._holder.load()
            addresses = self.store_addresses()
            for address in self._schedule.due(addresses, self._urgent(load, addresses), load, self.loop.time()):
                self.ping_soon(address)
            await asyncio.sleep(SHORT_INTERVAL_S)

    def _urgent(self, load: ItemLoad, addresses: list[str]) -> set[str]:
        """The nodes that serve the batch jobs at hand; all of them where it isn't known who does."""
        serving = set()
        for job in load.jobs:
            address = self.address_of(job)
            if address is None or not self.is_confirmed_recently(job):
                return set(addresses)
            serving.add(address)
        return serving

    def ping_soon(self, address: str) -> None:
        """Ping now, unless an answer of this node is still out."""
        if address not in self._pings_in_flight:
            self._pings_in_flight.add(address)
            self.endpoint.spawn(self._ping(address))

    def ping_all(self) -> None:
        """Let all nodes know the load as it is now: assigning has to stop, say."""
        for address in self.store_addresses():
            self.ping_soon(address)

    def confirm(self, job: str, address: str) -> None:
        """Items of a batch job have been assigned by this node: they may go out once it has answered a ping."""
        owner = self.owners.get(partition_of(job))
        if owner is None or owner.address != address or self.loop.time() - owner.as_of > SHORT_INTERVAL_S:
            self.ping_soon(address)

    def store_addresses(self) -> list[str]:
        """The addresses of all job store nodes."""
        members = self.store.records(MemberRecord).values()
        return [member.address for member in members if member.role == MemberRole.JOB_STORE]

    async def _ping(self, address: str) -> None:
        try:
            sent = self.loop.time()
            load = self._holder.load()
            self._schedule.sent(address, load, sent)
            reply = await self.endpoint.call(address, self._message(load, sent), PING_TIMEOUT_S)
            if not isinstance(reply, Failure):
                self._schedule.answered(address)
                self._apply(address, sent, reply)
                self._holder.on_confirmed()
        finally:
            self._pings_in_flight.discard(address)

    def _message(self, load: ItemLoad, sent: float) -> ProxyPing:
        return ProxyPing(
            node=self.settings.node,
            address=self.settings.address,
            sent_ms=int(sent * 1000),
            slots=load.slots,
            free=load.free,
            jobs=list(load.jobs),
            incarnation=self._incarnation,
            interval_ms=int(LONG_INTERVAL_S * 1000),
        )

    def _apply(self, address: str, sent: float, pong: ProxyPong) -> None:
        """What a Pong tells; `sent` is when its ping left."""
        for job in pong.ended:
            self._holder.end_job(job)
        for served in pong.served:
            as_of = sent - served.age_ms / 1000
            known = self.owners.get(served.partition)
            if known and (known.epoch > served.epoch or known.epoch == served.epoch and known.as_of >= as_of):
                continue
            self.owners[served.partition] = PartitionOwner(served.epoch, address, as_of)
            if known is None or (known.epoch, known.address) != (served.epoch, address):
                self._holder.report_running(served.partition, address)

    def is_confirmed_recently(self, job: str) -> bool:
        """Whether it was known a short while ago that the batch job may go on."""
        owner = self.owners.get(partition_of(job))
        return owner is not None and self.loop.time() - owner.as_of < self.lease_s

    def newest_epoch(self, partition: int) -> int:
        """The newest epoch of a partition that is known here, by the control state or by what the nodes say."""
        record = self.store.record(PartitionRecord, str(partition))
        owner = self.owners.get(partition)
        return max(record.epoch if record else 0, owner.epoch if owner else 0)

    def address_of(self, job: str) -> str | None:
        """The job store node that serves a batch job: by the control state, else by what the nodes say."""
        partition = partition_of(job)
        record = self.store.record(PartitionRecord, str(partition))
        owner = self.owners.get(partition)
        if owner and (record is None or owner.epoch > record.epoch):
            return owner.address
        if record is None:
            return None
        member = self.store.record(MemberRecord, node_of(record.primary))
        return member.address if member else None

    async def ask(self, job: str, value: Request[ReplyT], within_s: float, each_s: float) -> ReplyT | Failure:
        """A call to whoever serves the batch job, repeated within the time while it surely was not done.

        :returns: a Failure with `maybe_done` if any of the calls may have been done
        """
        end = self.loop.time() + within_s
        unclear: Failure | None = None
        last = Failure(Code.UNREACHABLE, "no job store node serves the partition")
        while True:
            address = self.address_of(job)
            left = end - self.loop.time()
            if address:
                reply = await self.endpoint.call(address, value, min(each_s, max(MIN_TIMEOUT_S, left)))
                if not isinstance(reply, Failure):
                    return reply
                if reply.code not in RETRYABLE_CODES and not reply.maybe_done:
                    return reply if unclear is None else unclear
                last = reply
                unclear = reply if reply.maybe_done else unclear
            if end - self.loop.time() < RETRY_S * 2:
                return last if unclear is None else unclear  # a Failure is false
            await asyncio.sleep(RETRY_S)
