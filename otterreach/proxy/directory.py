"""The store_nodes as a proxy sees them: who serves which partition, and how new that knowledge is.

Each is pinged at short intervals. What its Pong tells of a partition is true as of the time it names; right before an
item goes to a server that time must not be long ago, so that nothing of an ended batch job goes out late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from otterreach.jobstore.messages import Pong, ProxyPing
from otterreach.jobstore.placement import part_of, read_placement
from otterreach.proxy.fleet import Fleet
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.settings import Settings

PING_S = 0.25
PING_TIMEOUT_S = 0.6
LEASE_SHARE = 0.4  # of cancelMs: the rest is for what is on its way, and for clocks that run apart
CALL_GAP_S = 0.04  # between two tries of a call


class Caller(Protocol):
    """What is used of otterreach.runtime.rpc.Endpoint."""

    async def call(self, address: str, value: Any, timeout_s: float) -> Any: ...

    async def link(self, address: str) -> Any: ...

    def on(self, kind: type, handler: Any) -> None: ...

    def spawn(self, work: Any) -> Any: ...


@dataclass(slots=True)
class Hold:
    """A partition and who says that it serves it."""

    epoch: int
    address: str
    as_of: float  # on this proxy's steady clock


class JobStoreDirectory:
    """`load` gives slots, free ones and the batch jobs at hand; `ended` and `moved` are told of what Pongs bring."""

    def __init__(
        self,
        fleet: Fleet,
        endpoint: Caller,
        settings: Settings,
        load: Callable[[], tuple[int, int, list[str]]],
        ended: Callable[[str], None],
        moved: Callable[[int, str], None],
    ) -> None:
        self.fleet, self.endpoint, self.settings = fleet, endpoint, settings
        self.store, self.loop = fleet.store, fleet.loop
        self.lease_s = settings.bounds.cancel_s * LEASE_SHARE
        self.holds: dict[int, Hold] = {}
        self._load, self._ended, self._moved = load, ended, moved
        self._life = fleet.draw.random.getrandbits(48) + 1
        self._waiting: set[str] = set()  # store_nodes whose Pong is still out

    async def run(self) -> None:
        """For ever: ping all."""
        while True:
            for address in self.store_nodes():
                if address not in self._waiting:
                    self._waiting.add(address)
                    self.endpoint.spawn(self._ping(address))
            await asyncio.sleep(PING_S)

    def store_nodes(self) -> list[str]:
        return [m["address"] for m in self.store.named("member").values() if m.get("role") == "store"]

    async def _ping(self, address: str) -> None:
        try:
            sent = self.loop.time()
            slots, free, jobs = self._load()
            settings = self.settings
            ping = ProxyPing(settings.node, settings.address, int(sent * 1000), slots, free, jobs, self._life)
            reply = await self.endpoint.call(address, ping, PING_TIMEOUT_S)
            if isinstance(reply, Pong):
                self.take(address, sent, reply)
        finally:
            self._waiting.discard(address)

    def take(self, address: str, sent: float, pong: Pong) -> None:
        """What a Pong tells; `sent` is when its ping left."""
        for job in pong.ended:
            self._ended(job)
        for held in pong.held:
            as_of = sent - held.age_ms / 1000
            old = self.holds.get(held.part)
            if old and (old.epoch > held.epoch or old.epoch == held.epoch and old.as_of >= as_of):
                continue
            self.holds[held.part] = Hold(held.epoch, address, as_of)
            if old is None or (old.epoch, old.address) != (held.epoch, address):
                self._moved(held.part, address)

    def in_force(self, job: str) -> bool:
        """Whether it was known a short while ago that the batch job may go on."""
        hold = self.holds.get(part_of(job))
        return hold is not None and self.loop.time() - hold.as_of < self.lease_s

    def address_of(self, job: str) -> str | None:
        """The store_node that serves a batch job: by the control state, else by what store_nodes say."""
        part = part_of(job)
        placement = read_placement(self.store.get(f"part/{part}"))
        hold = self.holds.get(part)
        if hold and (placement is None or hold.epoch > placement.epoch):
            return hold.address
        if placement is None:
            return None
        member = self.store.get(f"member/{placement.primary.partition('#')[0]}")
        return str(member["address"]) if member else None

    async def ask(self, job: str, value: Any, within_s: float, each_s: float) -> Any:
        """A call to whoever serves the batch job, repeated within the time while it surely was not done. A Failure with
        `maybe_done` if any of the calls may have been."""
        end = self.loop.time() + within_s
        unclear: Failure | None = None
        last = Failure(Code.UNREACHABLE, "no store_node serves the partition")
        while True:
            address, left = self.address_of(job), end - self.loop.time()
            if address:
                reply = await self.endpoint.call(address, value, min(each_s, max(0.05, left)))
                if not isinstance(reply, Failure):
                    return reply
                if reply.code not in AGAIN and not reply.maybe_done:
                    return reply if unclear is None else unclear
                last = reply
                unclear = reply if reply.maybe_done else unclear
            if end - self.loop.time() < CALL_GAP_S * 2:
                return last if unclear is None else unclear  # a Failure is false
            await asyncio.sleep(CALL_GAP_S)


AGAIN = (Code.NOT_PRIMARY, Code.NOT_SYNCED, Code.UNREACHABLE, Code.STALE_EPOCH, Code.NO_HANDLER, Code.NOT_MEMBER)
