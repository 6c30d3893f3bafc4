"""The model servers in the control state, each with this proxy's connection pool and estimates.

A server stands for one incarnation, identified by its id; its estimates are discarded with it. Eligibility for a
request is evaluated for every attempt, and again right before the request is written.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from random import Random

from otterreach.proxy.draw import Draw, Estimate
from otterreach.proxy.exchange import DEFAULT_OPTIONS, Exchange, ExchangeOptions, Execution, Outcome
from otterreach.proxy.outbound import Outbound
from otterreach.proxy.pools import Opener, Pool
from otterreach.runtime import configuration as configuration_module
from otterreach.runtime.configuration import Configuration, ConfigurationRecord, Route
from otterreach.runtime.log import log
from otterreach.runtime.records import MemberRecord, MemberRole, Record, ServerRecord, ServerState
from otterreach.runtime.store import Item, ReplicatedStore, Watcher
from otterreach.sidecar.transport import open_tcp

CONNECTION_LIMIT_SHARE = 0.9  # of maxConns: keeps all proxies together below the limit
MIN_CONNECTIONS = 2
DEFAULT_CONNECTIONS = 64  # per proxy, where the configuration sets no limit
SWEEP_INTERVAL_S = 0.5
# Outcomes that say nothing about the server's speed.
NON_SERVER_FAULT_REASONS = ("unwanted", "wrong_server", "forgotten")


class Server:
    """One incarnation of a model server."""

    __slots__ = ("cap", "estimate", "id", "is_misdirected", "pool", "service", "state", "versions", "zone")

    def __init__(self, ident: str, record: ServerRecord, pool: Pool) -> None:
        self.id = ident
        self.pool = pool
        self.estimate = Estimate()
        self.is_misdirected = False  # the address now belongs to another incarnation
        self.versions: dict[str, int] = {}  # weight version by model; versions never decrease
        self.service = ""
        self.zone = ""
        self.state = ""
        self.cap = 1
        self.update(record)

    def update(self, record: ServerRecord) -> None:
        """Apply a changed record of the control state."""
        self.service = record.service
        self.zone = record.zone
        self.cap = max(1, record.capacity)
        self.state = record.state
        for model in record.models:
            self.learn_version(model.name, model.version)

    def learn_version(self, model: str, version: int) -> None:
        """Record that the server has at least this version of a model."""
        self.versions[model] = max(version, self.versions.get(model, 0))

    @property
    def open(self) -> bool:
        """True if new requests may be sent to the server."""
        return self.state == ServerState.UP and not self.is_misdirected and not self.pool.closed


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port) if port.isdigit() else 0


class Fleet:
    """The configuration and the model servers, kept in sync with the control state.

    The class has more than 20 methods because the configuration and the servers that it allows change together.
    """

    def __init__(
        self,
        store: ReplicatedStore,
        random: Random,
        loop: asyncio.AbstractEventLoop | None = None,
        opener: Opener = open_tcp,
    ) -> None:
        self.store = store
        self.loop = loop or asyncio.get_running_loop()
        self.opener = opener
        self.draw = Draw(random)
        self.config = Configuration()
        self.outcomes: Counter[str] = Counter()  # attempts by reason or outcome
        self.skipped_answers = 0  # to other requests, in place of the answer to an attempt
        self.servers: dict[str, Server] = {}
        self.runners = 1  # number of proxies that run items
        self.on_change: list[Callable[[], None]] = []  # called after each change
        self._notification_scheduled = False
        self._watch(ConfigurationRecord, self._configuration_changed)
        self._watch(ServerRecord, self._server_changed)
        self._watch(MemberRecord, self._member_changed)

    def _watch(self, kind: type[Record], watcher: Watcher) -> None:
        """Call the watcher for the existing items of this kind and for each change."""
        self.store.watch(kind, watcher)
        for item in [item for item in self.store.items.values() if item.kind == kind.KIND]:
            watcher(item)

    def _configuration_changed(self, item: Item) -> None:
        self.config = configuration_module.read(self.store.record(ConfigurationRecord))
        log("config", version=self.config.version, routes=len(self.config.routes))
        self._update_connection_limits()
        self._notify_soon()

    def _server_changed(self, item: Item) -> None:
        ident = item.name
        record = None if item.is_tombstone else self.store.record(ServerRecord, ident)
        server = self.servers.get(ident)
        if record is None:
            if server:
                server.pool.close()
                del self.servers[ident]
            self._notify_soon()
            return
        address = _address(record.address)
        if server is None or server.pool.address != address:
            if server:
                server.pool.close()
            server = self.servers[ident] = Server(ident, record, Pool(self.loop, address, self.opener))
        else:
            server.update(record)
        if server.state != ServerState.UP:
            server.pool.close()
        self._set_connection_limit(server)
        self._notify_soon()

    def _member_changed(self, item: Item) -> None:
        members = self.store.records(MemberRecord).values()
        proxies = sum(member.role == MemberRole.PROXY for member in members)
        if proxies != self.draw.proxies:
            self.draw.proxies = max(1, proxies)
            self._update_connection_limits()
        self._notify_soon()

    def _update_connection_limits(self) -> None:
        for server in self.servers.values():
            self._set_connection_limit(server)

    def _set_connection_limit(self, server: Server) -> None:
        service = self.config.services.get(server.service)
        limit = service.max_connections if service else 0
        share = int(limit * CONNECTION_LIMIT_SHARE / self.senders_to(server.service)) if limit else DEFAULT_CONNECTIONS
        server.pool.max_connections = max(MIN_CONNECTIONS, share)

    def _notify_soon(self) -> None:
        """Schedule one call of the listeners for all items of a batch of changes."""
        if not self._notification_scheduled:
            self._notification_scheduled = True
            self.loop.call_soon(self._notify)

    def _notify(self) -> None:
        self._notification_scheduled = False
        for listener in self.on_change:
            listener()

    @property
    def proxies(self) -> int:
        """The number of proxies, including this one."""
        return self.draw.proxies

    def set_runner_count(self, runners: int) -> None:
        """Set the number of proxies that run items and adapt the connection limits."""
        if runners != self.runners:
            self.runners = runners
            self._update_connection_limits()

    def senders_to(self, service: str) -> int:
        """Return the number of proxies that send requests to a service."""
        return self.runners if service in self.config.item_services else self.proxies

    def total_slots(self, services: Collection[str]) -> int:
        """Return the total slots of the open servers of these services."""
        return sum(s.cap for s in self.servers.values() if s.service in services and s.open)

    def candidates(
        self, route: Route, tried: Collection[str] = (), fits: Callable[[Server], bool] | None = None
    ) -> list[Server]:
        """Return the eligible servers of a route, of one service drawn by the weights of a split.

        Servers in `tried` are returned only if there are no others.
        """
        by_service: dict[str, list[Server]] = {}
        for server in self.servers.values():
            if server.open and server.pool.has_capacity and (fits is None or fits(server)):
                by_service.setdefault(server.service, []).append(server)
        split = [(name, weight) for name, weight in route.split if by_service.get(name)]
        if not split:
            return []
        service = split[self.draw.choose([weight for _, weight in split])][0] if len(split) > 1 else split[0][0]
        servers = by_service[service]
        return [s for s in servers if s.id not in tried] or servers

    def pick(
        self, route: Route, tried: Collection[str] = (), fits: Callable[[Server], bool] | None = None
    ) -> Server | None:
        """Draw one of the eligible servers of a route; return None if there is none."""
        servers = self.candidates(route, tried, fits)
        if not servers:
            return None
        estimates = [server.estimate for server in servers]
        without_idle = [not server.pool.idle for server in servers]
        senders_to = self.senders_to(servers[0].service)
        return servers[self.draw.pick(estimates, self.loop.time(), without_idle, senders_to)]

    def may_write(self, server: Server, host: str, path: str) -> bool:
        """Return True if the newest configuration routes the request to this server and the server is open."""
        if not server.open or self.servers.get(server.id) is not server:
            return False
        route = self.config.route(host, path)
        return route is not None and route.allows(server.service)

    def exchange(
        self,
        server: Server,
        outbound: Outbound,
        deadline: float,
        may_write: Callable[[], bool],
        options: ExchangeOptions = DEFAULT_OPTIONS,
    ) -> Exchange:
        """Create an exchange with a server without starting it; for the parameters see Exchange."""
        return Exchange(server.pool, server.id, outbound, deadline, may_write, options)

    async def attempt(self, server: Server, exchange: Exchange) -> Outcome:
        """Run an exchange and update the load estimate of its server; the caller records the response time."""
        server.estimate.record_sent()
        try:
            outcome = await exchange.run()
        finally:
            server.estimate.record_ended()
        self.outcomes[outcome.reason or outcome.execution.name.lower()] += 1
        self.skipped_answers += outcome.skipped_answers
        server.estimate.record_reported_load(outcome.headers.get(b"server-load"), self.loop.time())
        if outcome.execution is Execution.NOT_EXECUTED and outcome.reason == "wrong_server":
            self._record_misdirected(server, outcome)
        return outcome

    def record_failed_attempt(self, server: Server, route: str, outcome: Outcome, timeout_s: float) -> None:
        """Add a failed attempt to the estimate of its server if the server caused the failure."""
        now = self.loop.time()
        if outcome.reason == "turned_away":
            self.draw.record_rejection(server.estimate, now)
        elif outcome.reason not in NON_SERVER_FAULT_REASONS:
            self.draw.record_failure(server.estimate, route, timeout_s, now)

    def _record_misdirected(self, server: Server, outcome: Outcome) -> None:
        other = outcome.headers.get(b"server-id", b"").decode("latin-1")
        if other and other != server.id:
            server.is_misdirected = True
            server.pool.close()
            log("wrong_server", server=server.id, found=other)

    async def sweep(self) -> None:
        """Close connections that have been idle for too long, periodically until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for server in self.servers.values():
                server.pool.sweep()
