"""The job store nodes as a proxy sees them: which of them owns which partition, and how new that knowledge is.

Each is pinged at short intervals. What its Pong tells of a partition is true as of the time it names; right before an
item goes to a server that time must not be long ago, so that nothing of an ended batch job goes out late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from otterreach.jobstore.messages import ProxyPing, ProxyPong
from otterreach.jobstore.placement import partition_of
from otterreach.proxy.fleet import Fleet
from otterreach.runtime.codec import ReplyT, Request
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import node_of
from otterreach.runtime.records import MemberRecord, MemberRole, PartitionRecord
from otterreach.runtime.rpc import Link, MessageT
from otterreach.runtime.settings import Settings

PING_S = 0.25
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


@dataclass(slots=True)
class PartitionOwner:
    """Who says that it serves a partition, and as of when."""

    epoch: int
    address: str
    as_of: float  # on this proxy's steady clock


class JobStoreDirectory:
    """Which job store nodes serve which batch jobs, kept fresh by pings.

    `load` gives all slots, free slots and the batch jobs at hand. `ended` and `moved` are called for each batch job
    and partition that a Pong says has ended or moved.
    """

    def __init__(
        self,
        fleet: Fleet,
        endpoint: Caller,
        settings: Settings,
        load: Callable[[], tuple[int, int, list[str]]],
        ended: Callable[[str], None],
        moved: Callable[[int, str], None],
    ) -> None:
        self.fleet = fleet
        self.endpoint = endpoint
        self.settings = settings
        self.store = fleet.store
        self.loop = fleet.loop
        self.lease_s = settings.bounds.cancel_s * LEASE_SHARE
        self.owners: dict[int, PartitionOwner] = {}
        self._load = load
        self._ended = ended
        self._moved = moved
        self._incarnation = fleet.draw.random.getrandbits(48) + 1
        self._pings_in_flight: set[str] = set()  # addresses whose Pong is still out

    async def run(self) -> None:
        """For ever: ping all."""
        while True:
            for address in self.store_addresses():
                if address not in self._pings_in_flight:
                    self._pings_in_flight.add(address)
                    self.endpoint.spawn(self._ping(address))
            await asyncio.sleep(PING_S)

    def store_addresses(self) -> list[str]:
        """The addresses of all job store nodes."""
        members = self.store.records(MemberRecord).values()
        return [member.address for member in members if member.role == MemberRole.JOB_STORE]

    async def _ping(self, address: str) -> None:
        try:
            sent = self.loop.time()
            slots, free, jobs = self._load()
            node = self.settings.node
            own_address = self.settings.address
            ping = ProxyPing(node, own_address, int(sent * 1000), slots, free, jobs, self._incarnation)
            reply = await self.endpoint.call(address, ping, PING_TIMEOUT_S)
            if not isinstance(reply, Failure):
                self._apply(address, sent, reply)
        finally:
            self._pings_in_flight.discard(address)

    def _apply(self, address: str, sent: float, pong: ProxyPong) -> None:
        """What a Pong tells; `sent` is when its ping left."""
        for job in pong.ended:
            self._ended(job)
        for served in pong.served:
            as_of = sent - served.age_ms / 1000
            known = self.owners.get(served.partition)
            if known and (known.epoch > served.epoch or known.epoch == served.epoch and known.as_of >= as_of):
                continue
            self.owners[served.partition] = PartitionOwner(served.epoch, address, as_of)
            if known is None or (known.epoch, known.address) != (served.epoch, address):
                self._moved(served.partition, address)

    def is_confirmed_recently(self, job: str) -> bool:
        """Whether it was known a short while ago that the batch job may go on."""
        owner = self.owners.get(partition_of(job))
        return owner is not None and self.loop.time() - owner.as_of < self.lease_s

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
