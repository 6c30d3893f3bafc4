"""Leases that determine which proxy may send weight orders to a model server; one per server.

A lease is an item `duty/SERVER`; the item's revision is the fencing token of the holder's orders. A new holder waits
until the previous holder's lease has certainly expired (proxy/orders.py).
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

from otterreach.controller.member_registry import MemberRegistry
from otterreach.controller.replication import ControlReplication
from otterreach.proxy.messages import LeaseRelease
from otterreach.proxy.orders import takeover_wait_s
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.records import ItemChange, OrderLeaseRecord, ServerRecord, delete, put
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.settings import Settings


class OrderLeases:
    """Assigns the leases. Runs on the primary."""

    def __init__(
        self,
        settings: Settings,
        endpoint: Endpoint,
        control: ControlReplication,
        members: MemberRegistry,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.control = control
        self.members = members
        self.clock = clock
        self._released_at: dict[str, float] = {}  # node name of a proxy that is shutting down: time of its last release
        endpoint.on(LeaseRelease, self.handle_release)

    def assign_leases(self) -> None:
        """Assign a live holder to each server that has models, and delete the leases of removed servers."""
        proxies = self.members.live_proxies()
        candidates = self._candidates()
        servers = self.control.state.records(ServerRecord)
        leases = self.control.state.records(OrderLeaseRecord)
        changes = [delete(OrderLeaseRecord, server) for server in leases if server not in servers]
        for server, record in servers.items():
            lease = leases.get(server)
            if candidates and record.models and (lease is None or lease.holder not in proxies):
                wait_s = 0.0 if lease is None else self._takeover_wait_s(None)
                changes.append(self._assign(server, candidates, wait_s))
        if changes:
            self.control.propose(changes)

    def _candidates(self) -> list[str]:
        """Return the proxies that are alive and not shutting down."""
        now = self.clock()
        grace_s = self.settings.bounds.grace_s
        self._released_at = {node: at for node, at in self._released_at.items() if now - at < grace_s}
        return sorted(self.members.live_proxies() - set(self._released_at))

    def _takeover_wait_s(self, since_last_order_s: float | None) -> float:
        return takeover_wait_s(self.settings.bounds.lease_s, since_last_order_s)

    def _assign(self, server: str, candidates: list[str], wait_s: float) -> ItemChange:
        holder = max(candidates, key=lambda node: zlib.crc32(f"{server} {node}".encode()))
        lease = OrderLeaseRecord(holder, int(wait_s * 1000))
        log("order_lease", server=server, holder=holder, wait_ms=lease.wait_ms)
        return put(lease, server)

    async def handle_release(self, link: Link, release: LeaseRelease) -> Done | Failure:
        """Handle the release of a server's lease by a proxy that is shutting down."""
        if not self.control.is_primary:
            return self.control.not_primary()
        lease = self.control.state.record(OrderLeaseRecord, release.server)
        self._released_at[release.node] = self.clock()
        if lease is None or lease.holder != release.node:
            return await self.control.done_when_committed()
        candidates = self._candidates()
        if not candidates:
            return Failure(Code.TOO_FEW_LEFT, "no other proxy")
        wait_s = self._takeover_wait_s(release.since_last_order_ms / 1000)
        done = await self.control.propose([self._assign(release.server, candidates, wait_s)])
        return Done() if done else Failure(Code.NOT_SYNCED, "not noted")
