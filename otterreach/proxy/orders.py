"""Weight orders: bring model servers to the named versions of their weights, under leases with fencing tokens.

The primary controller assigns each server's order lease to a live proxy (an item `duty/SERVER`, whose revision is the
fencing token). The holder sends orders only while its replica of the control state is certainly younger than LEASE_S;
the next holder waits until that time and the settings' leaseMs have passed. All holders load servers in the same order,
which limits the number of servers that load at once across the deployment.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field

from otterreach.proxy.messages import LeaseRelease, ModelLoaded
from otterreach.proxy.model_server import Client, ModelServer, Order, OrderResult
from otterreach.runtime.codes import Failure
from otterreach.runtime.log import log
from otterreach.runtime.node import Node
from otterreach.runtime.records import OrderLeaseRecord, ServerRecord, VersionRecord, key_of
from otterreach.runtime.repeated_work import RepeatedWork
from otterreach.runtime.store import Item

STEP_INTERVAL_S = 0.1  # between steps while loads are due for servers leased by this proxy
SETTLE_S = 0.05  # delay after a change of the control state, to cover further changes with one step
IDLE_STEP_S = 1.0  # between steps while no load is due here and nothing changes
LEASE_S = 1.5  # maximum age of the holder's replica of the control state when it sends an order
MARGIN_S = 0.3
REPORT_INTERVAL_S = 0.2  # between polls of the report of a server that is loading
MAX_REPORT_AGE_S = 0.8  # maximum age of a report's contents
LOAD_TIMEOUT_S = 6.0  # a load that takes longer is ordered again
STALLED_LOAD_S = 2.5  # time after which a load that is due but not completed no longer delays others
BACKOFF_S = 0.4
WRONG_SERVER_BACKOFF_S = 2.0  # backoff until the control state shows which server has the address
COMPLETION_VISIBLE_S = 5.0  # time within which a completed load shows in the control state
REPORT_ATTEMPTS = 3
MIN_LOADS_AT_ONCE = 3  # the limit of servers loading at once is the larger of this number ...
LOADS_AT_ONCE_SHARE = 1 / 3  # ... and this share of all servers with models
NO_ORDER_MS = 10**9
NO_FENCE = 0
# Results after which the server's report shows the outcome.
CHECK_REPORT = (OrderResult.ACCEPTED, OrderResult.CONFLICT, OrderResult.UNCLEAR)


def takeover_wait_s(lease_s: float, since_last_order_s: float | None) -> float:
    """Return the time that the next holder waits before its first order.

    :param lease_s: the settings' leaseMs, in seconds
    :param since_last_order_s: time since the last order of a holder that released the lease; None for one that died
    """
    if since_last_order_s is None:
        return LEASE_S + lease_s + MARGIN_S
    return max(0.0, lease_s + MARGIN_S - since_last_order_s)


@dataclass(frozen=True, slots=True, order=True)
class DueLoad:
    """A load that is due: the server has an older version of the model than the named one."""

    server: str
    model: str
    version: int


def due_loads(servers: Mapping[str, ServerRecord], versions: Mapping[str, VersionRecord]) -> list[DueLoad]:
    """Return all loads that are due, in an order that is the same at every lease holder."""
    loads = [
        DueLoad(ident, model, named.version)
        for model, named in versions.items()
        for ident, server in servers.items()
        if server.is_up and (loaded := server.version_of(model)) is not None and loaded < named.version
    ]
    return sorted(loads, key=lambda load: (zlib.crc32(f"{load.model} {load.version} {load.server}".encode()), load))


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease held by this proxy; its takeover wait counts from when this proxy first saw it."""

    fence: int
    usable_from: float  # on the monotonic clock


@dataclass(frozen=True, slots=True)
class CompletedLoad:
    """A load that this proxy has completed."""

    version: int
    at: float


@dataclass(slots=True)
class KnownState:
    """Data derived from the control state at one revision."""

    revision: int = -1
    leased: set[str] = field(default_factory=set)  # the servers whose leases this proxy holds
    due: list[DueLoad] = field(default_factory=list)
    servers_with_models: int = 0


class WeightOrders:
    """Sends orders to the servers whose leases this proxy holds."""

    def __init__(self, node: Node, client: Client) -> None:
        self.node = node
        self.store = node.store
        self.client = client
        self.loop = asyncio.get_running_loop()
        self.shutting_down = False
        self.loading: dict[str, asyncio.Task[None]] = {}  # by server
        self._last_order_at: dict[str, float] = {}  # by server
        self._observed: dict[str, ObservedLease] = {}  # by server
        self._due_since: dict[DueLoad, float] = {}
        self._retry_at: dict[str, float] = {}  # by server
        self._completed: dict[tuple[str, str], CompletedLoad] = {}  # by server and model
        self._orders_accepted: dict[str, int | None] = {}  # by server, as last reported
        self._rejected_fences: dict[str, int] = {}  # by server: a fencing token that it rejected as too low
        self.repeated = RepeatedWork("order_weights")
        self._known = KnownState()
        self._changed = asyncio.Event()

    # Leases --------------------------------------------------------------------------------------

    def leased_servers(self) -> set[str]:
        """Return the ids of the servers whose leases this proxy holds."""
        own_node = self.node.settings.node
        return {ident for ident, lease in self.store.records(OrderLeaseRecord).items() if lease.holder == own_node}

    def fence(self, ident: str) -> int:
        """Return the fencing token for an order to this server, or NO_FENCE if no order may be sent now."""
        lease = self.store.record(OrderLeaseRecord, ident)
        now = self.loop.time()
        if self.shutting_down or lease is None or lease.holder != self.node.settings.node:
            return NO_FENCE
        revision = self.store.items[key_of(OrderLeaseRecord, ident)].revision
        observed = self._observed.get(ident)
        if observed is None or observed.fence != revision:
            observed = ObservedLease(revision, now + lease.wait_ms / 1000)
            self._observed[ident] = observed
        return revision if now >= observed.usable_from and self.node.follower.age_s() < LEASE_S else NO_FENCE

    # Scheduling of loads -------------------------------------------------------------------------

    async def run(self) -> None:
        """Start the loads that are due, until cancelled."""
        for kind in (ServerRecord, VersionRecord, OrderLeaseRecord):
            self.store.watch(kind, self._on_change)
        self._changed.set()  # process the existing state
        while True:
            if self._known.leased and self._known.due:
                await asyncio.sleep(STEP_INTERVAL_S)
            else:
                await self._wait_for_change()
            if self.store.revision:
                self.step()

    def _on_change(self, item: Item) -> None:
        self._changed.set()

    async def _wait_for_change(self) -> None:
        """Wait for a change of the control state, at most IDLE_STEP_S.

        Most proxies hold no lease most of the time; polling ten times a second would cost each of them the wake-ups.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(IDLE_STEP_S):
                await self._changed.wait()
        await asyncio.sleep(SETTLE_S)
        self._changed.clear()

    def step(self) -> None:
        """Start the loads that are next in order and whose leases this proxy holds."""
        if self._known.revision != self.store.revision:
            self._read_state()
        known = self._known
        if not known.leased or not known.due:
            return
        for load in self._loads_to_start(known):
            server = self.store.record(ServerRecord, load.server)
            if server and load.server in known.leased and load.server not in self.loading and self._is_wanted(load):
                self.loading[load.server] = asyncio.ensure_future(self._load(load, server.address))

    def _read_state(self) -> None:
        servers = self.store.records(ServerRecord)
        leased = self.leased_servers()
        for ident in leased:
            self.fence(ident)  # records when the lease was first seen, from which its wait counts
        due = due_loads(servers, self.store.records(VersionRecord))
        self._due_since = {load: self._due_since[load] for load in due if load in self._due_since}
        self._completed = {key: done for key, done in self._completed.items() if key[0] in servers}
        self._orders_accepted = {ident: count for ident, count in self._orders_accepted.items() if ident in leased}
        self._rejected_fences = {ident: fence for ident, fence in self._rejected_fences.items() if ident in leased}
        with_models = sum(bool(server.models) for server in servers.values())
        self._known = KnownState(self.store.revision, leased, due, with_models)

    def _is_wanted(self, load: DueLoad) -> bool:
        """Return True unless the server is in backoff or the load was completed recently.

        The control state shows a completed load only after a delay; until then the load must not be ordered again.
        """
        now = self.loop.time()
        if self._retry_at.get(load.server, 0.0) > now:
            return False
        completed = self._completed.get((load.server, load.model))
        return completed is None or completed.version < load.version or now - completed.at > COMPLETION_VISIBLE_S

    def _loads_to_start(self, known: KnownState) -> list[DueLoad]:
        """Return the loads that are next in order, at this proxy or another: at most one per server."""
        now = self.loop.time()
        free = max(MIN_LOADS_AT_ONCE, round(known.servers_with_models * LOADS_AT_ONCE_SHARE))
        loads: list[DueLoad] = []
        busy: set[str] = set()
        for load in known.due:
            if free <= 0:
                break
            if load.server in busy:
                continue
            busy.add(load.server)
            since = self._due_since.setdefault(load, now)
            loads.append(load)
            free -= now - since < STALLED_LOAD_S
        return loads

    # One load ------------------------------------------------------------------------------------

    async def _load(self, load: DueLoad, address: str) -> None:
        try:
            await self._update_server(load, address)
        finally:
            self.loading.pop(load.server, None)

    async def _update_server(self, load: DueLoad, address: str) -> None:
        """Order a server to load a version and wait until it has it."""
        ident = load.server
        fence = self.fence(ident)
        if not fence or self._rejected_fences.get(ident) == fence:
            return
        server = ModelServer(self.client, ident, address)
        result = await self._order(server, load, fence)
        if result is OrderResult.ALREADY_LOADED or (
            result in CHECK_REPORT and await self._wait_until_loaded(server, load)
        ):
            self._completed[ident, load.model] = CompletedLoad(load.version, self.loop.time())
            await self._report_loaded(load)
        elif result is OrderResult.WRONG_SERVER:
            self._retry_at[ident] = self.loop.time() + WRONG_SERVER_BACKOFF_S
        else:
            self._retry_at[ident] = self.loop.time() + BACKOFF_S

    async def _order(self, server: ModelServer, load: DueLoad, fence: int) -> OrderResult:
        """Send the order, unless the server's report shows that it is unnecessary or not possible now."""
        ident = server.ident
        if ident not in self._orders_accepted:
            report = await server.report()
            if report is None:
                return OrderResult.NOT_SENT
            if report.versions.get(load.model, 0) >= load.version:
                return OrderResult.ALREADY_LOADED
            if report.busy:
                return OrderResult.CONFLICT
            self._orders_accepted[ident] = report.calls
        order = Order(load.model, load.version, self.node.settings.node, fence, self._orders_accepted[ident])

        def may_write() -> bool:
            """Return True if the lease is still valid; it may have expired while the connection was opened."""
            self._last_order_at[ident] = self.loop.time()
            return self.fence(ident) == fence

        self.repeated.record(f"{ident} {load.model}", load.version)
        result, status = await server.order(order, may_write)
        log("order", server=ident, model=load.model, version=load.version, fence=fence, status=status)
        self._learn_from(ident, order, result)
        return result

    def _learn_from(self, ident: str, order: Order, result: OrderResult) -> None:
        """Update the known number of orders that the server has accepted, and the rejected fencing tokens."""
        if result is OrderResult.ACCEPTED and order.expect is not None:
            self._orders_accepted[ident] = order.expect + 1
        elif result is not OrderResult.NOT_SENT:
            self._orders_accepted.pop(ident, None)
        if result is OrderResult.FENCED:
            self._rejected_fences[ident] = order.fence

    async def _wait_until_loaded(self, server: ModelServer, load: DueLoad) -> bool:
        started = self.loop.time()
        while self.loop.time() < started + LOAD_TIMEOUT_S:
            await asyncio.sleep(REPORT_INTERVAL_S)
            known = self.store.record(ServerRecord, server.ident)
            if known is None or not known.is_up:
                return False
            if (known.version_of(load.model) or 0) >= load.version:
                return True
            report = await server.report()
            if report is None:
                return False
            if report.versions.get(load.model, 0) >= load.version:
                return True
            # A report may be several hundred ms old; a report from before the order would cause a duplicate order.
            if not report.busy and self.loop.time() > started + MAX_REPORT_AGE_S:
                self._orders_accepted[server.ident] = report.calls
                return False
        return False

    async def _report_loaded(self, load: DueLoad) -> None:
        """Report a completed load to the primary, so that all proxies see it before the server's next heartbeat."""
        message = ModelLoaded(load.server, load.model, load.version)
        for _ in range(REPORT_ATTEMPTS):
            if not isinstance(await self.node.call_primary(message), Failure):
                return
            await asyncio.sleep(STEP_INTERVAL_S)

    async def shut_down(self) -> None:
        """Release all leases, reporting the time since the last order under each."""
        self.shutting_down = True
        now = self.loop.time()
        for ident in self.leased_servers():
            last_order_at = self._last_order_at.get(ident)
            ago_ms = NO_ORDER_MS if last_order_at is None else int((now - last_order_at) * 1000)
            await self.node.call_primary(LeaseRelease(self.node.settings.node, ident, ago_ms))
