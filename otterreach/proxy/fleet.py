"""The servers there are, as the store has them, with what this proxy has learned of each.

A server is an incarnation: its id. What is learned ends with it. Whether one may get a request is asked here, each
time anew and again at the moment of the write.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from random import Random
from typing import Any

from otterreach.proxy import config as config_module
from otterreach.proxy.config import Config, Route
from otterreach.proxy.draw import Draw, Estimate
from otterreach.proxy.exchange import Exchange, Fate, Headers, Outbound, Outcome
from otterreach.proxy.pools import Opener, Pool
from otterreach.runtime.log import log
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.sidecar.transport import open_tcp

CONNECTION_SHARE = 0.9  # of maxConns: all proxies together stay below it
FEWEST_CONNECTIONS = 2
PLAIN_CONNECTIONS = 64  # for each proxy, where the configuration bounds nothing
SWEEP_S = 0.5
UP = "up"
NOT_ITS_FAULT = ("unwanted", "wrong_server", "forgotten")  # of a server: says nothing of its speed


class Server:
    """One incarnation of a server."""

    __slots__ = ("cap", "estimate", "id", "pool", "service", "state", "versions", "wrong", "zone")

    def __init__(self, ident: str, raw: dict[str, Any], pool: Pool) -> None:
        self.id, self.pool = ident, pool
        self.estimate = Estimate()
        self.wrong = False  # its address belongs to another incarnation
        self.versions: dict[str, int] = {}  # model -> version of its weights; only upwards
        self.service = self.zone = self.state = ""
        self.cap = 1
        self.update(raw)

    def update(self, raw: dict[str, Any]) -> None:
        self.service, self.zone = str(raw.get("backend", "")), str(raw.get("az", ""))
        self.cap, self.state = max(1, int(raw.get("cap") or 1)), str(raw.get("state", UP))
        for model in raw.get("models") or ():
            self.learn(str(model.get("name", "")), int(model.get("gen") or 0))

    def learn(self, model: str, version: int) -> None:
        self.versions[model] = max(version, self.versions.get(model, 0))

    @property
    def open(self) -> bool:
        """Whether anything new may be sent to it."""
        return self.state == UP and not self.wrong and not self.pool.closed


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port) if port.isdigit() else 0


class Fleet:
    """Configuration and servers, kept in step with the store."""

    def __init__(
        self,
        store: ReplicatedStore,
        random: Random,
        loop: asyncio.AbstractEventLoop | None = None,
        opener: Opener = open_tcp,
    ) -> None:
        self.store, self.loop, self.opener = store, loop or asyncio.get_running_loop(), opener
        self.draw = Draw(random)
        self.config = Config()
        self.servers: dict[str, Server] = {}
        self.runners = 1  # proxies that run items
        self.changed: list[Callable[[], None]] = []  # told after each change
        self._told = False
        for kind, watcher in (("config", self._on_config), ("server", self._on_server), ("member", self._on_member)):
            store.watch(kind, watcher)
            for key in [k for k in store.items if k.partition("/")[0] == kind]:
                watcher(store.items[key])

    def _on_config(self, item: Item) -> None:
        self.config = config_module.read(self.store.get("config"))
        log("config", gen=self.config.number, routes=len(self.config.routes))
        self._share_connections()
        self._tell()

    def _on_server(self, item: Item) -> None:
        ident = item.key.partition("/")[2]
        raw = None if item.gone else self.store.get(item.key)
        server = self.servers.get(ident)
        if raw is None:
            if server:
                server.pool.close()
                del self.servers[ident]
            self._tell()
            return
        address = _address(str(raw.get("addr", "")))
        if server is None or server.pool.address != address:
            if server:
                server.pool.close()
            server = self.servers[ident] = Server(ident, raw, Pool(self.loop, address, self.opener))
        else:
            server.update(raw)
        if server.state != UP:
            server.pool.close()
        self._share(server)
        self._tell()

    def _on_member(self, item: Item) -> None:
        prefix = "member/"
        fronts = 0
        for key, other in self.store.items.items():
            if key.startswith(prefix) and not other.gone and self.store.get(key).get("role") == "front":
                fronts += 1
        if fronts != self.draw.proxies:
            self.draw.proxies = max(1, fronts)
            self._share_connections()
        self._tell()

    def _share_connections(self) -> None:
        for server in self.servers.values():
            self._share(server)

    def _share(self, server: Server) -> None:
        service = self.config.services.get(server.service)
        most = service.max_connections if service else 0
        share = int(most * CONNECTION_SHARE / self.sharers(server.service)) if most else PLAIN_CONNECTIONS
        server.pool.most = max(FEWEST_CONNECTIONS, share)

    def _tell(self) -> None:
        """Danger: many items come in one piece; who listens is told once, after them."""
        if not self._told:
            self._told = True
            self.loop.call_soon(self._tell_now)

    def _tell_now(self) -> None:
        self._told = False
        for listener in self.changed:
            listener()

    @property
    def proxies(self) -> int:
        return self.draw.proxies

    def share_among(self, runners: int) -> None:
        """So many proxies run items."""
        if runners != self.runners:
            self.runners = runners
            self._share_connections()

    def sharers(self, service: str) -> int:
        """How many proxies send to a service."""
        return self.runners if service in self.config.item_services else self.proxies

    def cap_of(self, services: Collection[str]) -> int:
        """The slots of all servers of these services that take requests."""
        return sum(s.cap for s in self.servers.values() if s.service in services and s.open)

    def allowed(
        self, route: Route, tried: Collection[str] = (), fits: Callable[[Server], bool] | None = None
    ) -> list[Server]:
        """The servers that configuration and list allow for the route, by the weights of a split; those already
        tried only if there are no others."""
        by_service: dict[str, list[Server]] = {}
        for server in self.servers.values():
            if server.open and server.pool.room and (fits is None or fits(server)):
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
        """The draw."""
        servers = self.allowed(route, tried, fits)
        if not servers:
            return None
        estimates = [server.estimate for server in servers]
        without_idle = [not server.pool.idle for server in servers]
        sharers = self.sharers(servers[0].service)
        return servers[self.draw.pick(estimates, self.loop.time(), without_idle, sharers)]

    def may_write(self, server: Server, host: str, path: str) -> bool:
        """By the newest that is known: the request's route is there, and allows this server, which takes requests."""
        if not server.open or self.servers.get(server.id) is not server:
            return False
        route = self.config.route(host, path)
        return route is not None and route.allows(server.service)

    def exchange(
        self,
        server: Server,
        outbound: Outbound,
        deadline: float,
        wanted: Callable[[], bool],
        extra: Headers | None = None,
        on_head: Callable[[int, Headers], None] | None = None,
        on_body: Callable[[bytes], None] | None = None,
        fresh_only: bool = False,
        told_s: float | None = None,
    ) -> Exchange:
        return Exchange(server.pool, server.id, outbound, deadline, wanted, extra, on_head, on_body, fresh_only, told_s)

    async def attempt(self, server: Server, exchange: Exchange) -> Outcome:
        """Run an exchange, and keep the books on its server but for the response time."""
        server.estimate.sent()
        try:
            outcome = await exchange.run()
        finally:
            server.estimate.ended()
        server.estimate.tell_load(outcome.headers.get(b"server-load"), self.loop.time())
        if outcome.fate is Fate.NOT_RUN and outcome.reason == "wrong_server":
            self._misdirected(server, outcome)
        return outcome

    def blame(self, server: Server, route: str, outcome: Outcome, timeout_s: float) -> None:
        """A failed attempt enters the estimate of its server, if it is the server's."""
        now = self.loop.time()
        if outcome.reason == "turned_away":
            self.draw.refused(server.estimate, now)
        elif outcome.reason not in NOT_ITS_FAULT:
            self.draw.failed(server.estimate, route, timeout_s, now)

    def _misdirected(self, server: Server, outcome: Outcome) -> None:
        other = outcome.headers.get(b"server-id", b"").decode("latin-1")
        if other and other != server.id:
            server.wrong = True
            server.pool.close()
            log("wrong_server", server=server.id, found=other)

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            for server in self.servers.values():
                server.pool.sweep()
