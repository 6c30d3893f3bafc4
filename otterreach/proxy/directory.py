"""A proxy's directory of the job store nodes: the owner of each partition, and when the owner last confirmed it.

Each node is pinged periodically (ping_schedule.py). Its pong confirms ownership of partitions as of a time derived from
the pong. An item is sent to a server only if its partition was confirmed recently, so that no item of an ended batch
job is sent late.
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
from otterreach.runtime.rpc import MessageT
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.settings import Settings

PING_TIMEOUT_S = 0.6
LEASE_SHARE = 0.4  # of cancelMs; the rest allows for messages in flight and for clock drift
RETRY_INTERVAL_S = 0.04  # between attempts of a call
MIN_TIMEOUT_S = 0.05
# A call that failed with one of these codes was not executed; a retry, at this node or another, may succeed.
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
    """The subset of otterreach.runtime.rpc.Endpoint that is used here."""

    async def call(self, address: str, request: Request[ReplyT], timeout_s: float, /) -> ReplyT | Failure:
        """Return the reply of the node that listens at host:port."""

    async def link(self, address: str, /) -> Link | Failure:
        """Return the connection to host:port."""

    def on(self, kind: type[MessageT], handler: Callable[[Link, MessageT], Awaitable[Any]], /) -> None:
        """Register the handler of messages of this kind."""

    def spawn(self, work: Coroutine[Any, Any, T], /) -> asyncio.Task[T]:
        """Run a coroutine in the background."""


class ItemHolder(Protocol):
    """The component that runs the items of this proxy."""

    def load(self) -> ItemLoad:
        """Return the load to report to the job store nodes."""

    def end_job(self, job: str) -> None:
        """Handle the end of a batch job, as reported by a pong."""

    def report_running(self, partition: int, address: str) -> None:
        """Report the running items of a partition to the job store node that has taken it over."""

    def on_confirmed(self) -> None:
        """Handle a pong, which may allow more items to be sent."""


class NoItems:
    """An item holder without items, for a component that only reads and submits batch jobs."""

    def load(self) -> ItemLoad:
        """Return a load without slots."""
        return ItemLoad(0, 0)

    def end_job(self, job: str) -> None:
        """Do nothing: there are no items to cancel."""

    def report_running(self, partition: int, address: str) -> None:
        """Do nothing: there are no running items."""

    def on_confirmed(self) -> None:
        """Do nothing: there are no waiting items."""


@dataclass(slots=True)
class PartitionOwner:
    """The node that claims to serve a partition, and the time of its last confirmation."""

    epoch: int
    address: str
    as_of: float  # on this proxy's monotonic clock


class JobStoreDirectory:
    """Maps batch jobs to the job store nodes that serve them, refreshed by pings."""

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
        self._pings_in_flight: set[str] = set()  # addresses with an unanswered ping

    async def run(self) -> None:
        """Ping the nodes that are due, until cancelled."""
        while True:
            load = self._holder.load()
            addresses = self.store_addresses()
            for address in self._schedule.due(addresses, self._urgent(load, addresses), load, self.loop.time()):
                self.ping_soon(address)
            await asyncio.sleep(SHORT_INTERVAL_S)

    def _urgent(self, load: ItemLoad, addresses: list[str]) -> set[str]:
        """Return the nodes that serve the batch jobs with items here, or all nodes if one of them is unknown."""
        serving = set()
        for job in load.jobs:
            address = self.address_of(job)
            if address is None or not self.is_confirmed_recently(job):
                return set(addresses)
            serving.add(address)
        return serving

    def ping_soon(self, address: str) -> None:
        """Ping a node now, unless a ping to it is still unanswered."""
        if address not in self._pings_in_flight:
            self._pings_in_flight.add(address)
            self.endpoint.spawn(self._ping(address))

    def ping_all(self) -> None:
        """Report the current load to all nodes, for example to stop assignments at shutdown."""
        for address in self.store_addresses():
            self.ping_soon(address)

    def confirm(self, job: str, address: str) -> None:
        """Ping the node that has assigned items of a batch job, so that its pong allows them to be sent.

        There is no ping if the node has confirmed the partition within SHORT_INTERVAL_S.
        """
        owner = self.owners.get(partition_of(job))
        if owner is None or owner.address != address or self.loop.time() - owner.as_of > SHORT_INTERVAL_S:
            self.ping_soon(address)

    def store_addresses(self) -> list[str]:
        """Return the addresses of all job store nodes."""
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
        """Apply a pong. `sent` is the time at which its ping was sent."""
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
        """Return True if the owner of the batch job's partition has confirmed it within `lease_s`."""
        owner = self.owners.get(partition_of(job))
        return owner is not None and self.loop.time() - owner.as_of < self.lease_s

    def newest_epoch(self, partition: int) -> int:
        """Return the newest known epoch of a partition, from the control state or from pongs."""
        record = self.store.record(PartitionRecord, str(partition))
        owner = self.owners.get(partition)
        return max(record.epoch if record else 0, owner.epoch if owner else 0)

    def address_of(self, job: str) -> str | None:
        """Return the address of the node that serves a batch job.

        The control state decides, unless a pong has named a newer epoch.
        """
        partition = partition_of(job)
        record = self.store.record(PartitionRecord, str(partition))
        owner = self.owners.get(partition)
        if owner and (record is None or owner.epoch > record.epoch):
            return owner.address
        if record is None:
            return None
        member = self.store.record(MemberRecord, node_of(record.primary))
        return member.address if member else None

    async def call(self, job: str, value: Request[ReplyT], timeout_s: float, call_timeout_s: float) -> ReplyT | Failure:
        """Call the node that serves the batch job, with retries until `timeout_s` has passed.

        A call is repeated after a failure that is retryable or leaves its execution unclear.

        :returns: the reply, or a Failure, which has `maybe_done` if any of the calls may have been executed
        """
        end = self.loop.time() + timeout_s
        unclear: Failure | None = None
        last = Failure(Code.UNREACHABLE, "no job store node serves the partition")
        while True:
            address = self.address_of(job)
            left = end - self.loop.time()
            if address:
                reply = await self.endpoint.call(address, value, min(call_timeout_s, max(MIN_TIMEOUT_S, left)))
                if not isinstance(reply, Failure):
                    return reply
                if reply.code not in RETRYABLE_CODES and not reply.maybe_done:
                    return reply if unclear is None else unclear
                last = reply
                unclear = reply if reply.maybe_done else unclear
            if end - self.loop.time() < RETRY_INTERVAL_S * 2:
                return last if unclear is None else unclear  # not `unclear or last`: a Failure is falsy
            await asyncio.sleep(RETRY_INTERVAL_S)
