"""Hollow processes: many proxies, or many servers, in one process.

A hollow proxy runs the real node (relay, store, announcements, heartbeats) and pings job store nodes as a proxy does;
it serves no requests. A hollow server only sends its heartbeats over HTTP. Both print the events that they observe as
lines of JSON to standard output, and read orders as lines from standard input.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any

from otterreach.jobstore.messages import ProxyPing
from otterreach.proxy.directory import PING_TIMEOUT_S
from otterreach.proxy.ping_schedule import LONG_INTERVAL_S
from otterreach.runtime.configuration import ConfigurationRecord
from otterreach.runtime.http_client import JsonClient
from otterreach.runtime.node import Node
from otterreach.runtime.records import MemberRecord, MemberRole, ServerRecord
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.scaletest.size import registration, server_id

Emit = Callable[[dict[str, Any]], None]
HEARTBEAT_TIMEOUT_S = 1.0
NEW_VERSION = b'"gen": 2'
DRAINING = b'"state": "draining"'


def emit(event: dict[str, Any]) -> None:
    """Print an event as one line, with the time of the monotonic clock, which all processes of a machine share."""
    sys.stdout.write(json.dumps(event | {"t": time.monotonic()}) + "\n")
    sys.stdout.flush()


class FollowerView:
    """Emits events as changes take effect in the store of a follower."""

    def __init__(self, name: str, store: ReplicatedStore, servers: int, members: int, emit: Emit) -> None:
        self.name = name
        self.store = store
        self.emit = emit
        self._expected = {"server": servers, "member": members}
        self._known: dict[str, set[str]] = {"server": set(), "member": set()}
        self._upgraded: set[str] = set()
        self._is_full = False
        store.watch(ConfigurationRecord, self._config)
        store.watch(ServerRecord, self._server)
        store.watch(MemberRecord, self._member)

    def _config(self, item: Item) -> None:
        record = self.store.record(ConfigurationRecord)
        self.emit({"event": "config", "node": self.name, "gen": record.version if record else 0})

    def _server(self, item: Item) -> None:
        self._count("server", item)
        if DRAINING in item.value:
            self.emit({"event": "drain", "node": self.name, "server": item.key.partition("/")[2]})
        if NEW_VERSION in item.value and item.key not in self._upgraded:
            self._upgraded.add(item.key)
            if len(self._upgraded) == self._expected["server"]:
                self.emit({"event": "version", "node": self.name})

    def _member(self, item: Item) -> None:
        self._count("member", item)

    def _count(self, kind: str, item: Item) -> None:
        self._known[kind].add(item.key)
        if not self._is_full and all(len(self._known[k]) >= number for k, number in self._expected.items()):
            self._is_full = True
            self.emit({"event": "full", "node": self.name})


class HollowProxy:
    """Hollow proxy."""

    def __init__(self, settings: Settings, servers: int, members: int, random: Random) -> None:
        self.node = Node(settings, Endpoint(), random)
        self.view = FollowerView(settings.node, self.node.store, servers, members, emit)
        self._job_stores: dict[str, str] = {}
        self.node.store.watch(MemberRecord, self._member)

    def _member(self, item: Item) -> None:
        record = self.node.store.record(MemberRecord, item.name)
        if record and record.role == MemberRole.JOB_STORE:
            self._job_stores[item.key] = record.address

    async def run(self) -> None:
        """Start the node and begin to ping the job store nodes."""
        await self.node.start("front")
        self.node.endpoint.spawn(self._pings())

    async def _pings(self) -> None:
        settings = self.node.settings
        endpoint = self.node.endpoint
        loop = asyncio.get_running_loop()
        in_flight: set[str] = set()

        async def ping(address: str) -> None:
            """Ping one job store node and wait for the reply."""
            message = ProxyPing(
                settings.node, settings.address, int(loop.time() * 1000), 0, 0, [], 1, int(LONG_INTERVAL_S * 1000)
            )
            await endpoint.call(address, message, PING_TIMEOUT_S)
            in_flight.discard(address)

        while True:
            for address in self._job_stores.values():
                if address not in in_flight:
                    in_flight.add(address)
                    endpoint.spawn(ping(address))
            await asyncio.sleep(LONG_INTERVAL_S)


class HollowServer:
    """Hollow server: sends heartbeats to a controller, and fails over to the next one after a failure."""

    def __init__(self, number: int, controllers: list[str], heartbeat_s: float, gap_s: float, random: Random) -> None:
        self.number = number
        self.controllers = controllers
        self.heartbeat_s = heartbeat_s
        self.gap_s = gap_s
        self.random = random
        self.client = JsonClient()
        self.state = "up"
        self.gen = 1
        self.calls = 0
        self.controller_index = random.randrange(len(controllers))
        self.send_now = asyncio.Event()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        await asyncio.sleep(self.number * self.gap_s + self.random.random() * self.heartbeat_s)
        while True:
            self.send_now.clear()
            await self._send_heartbeat()
            try:
                async with asyncio.timeout(self.heartbeat_s * (0.9 + 0.2 * self.random.random())):
                    await self.send_now.wait()
            except TimeoutError:
                pass

    async def _send_heartbeat(self) -> None:
        self.calls += 1
        body = json.dumps(registration(self.number, self.calls, self.state, self.gen)).encode()
        for _ in self.controllers:
            address = self.controllers[self.controller_index % len(self.controllers)]
            path = f"/servers/{server_id(self.number)}"
            reply = await self.client.call(address, "PUT", path, body, HEARTBEAT_TIMEOUT_S)
            status = getattr(reply, "status", 0)
            if status == 200:
                return
            emit({"event": "beat_failed", "server": self.number, "status": status})
            self.controller_index += 1


def execute_order(
    servers: dict[int, HollowServer], order: dict[str, Any], call_later: Callable[[float, Callable[[], None]], Any]
) -> None:
    """Execute an order of the run: drain some servers now, or raise all to version 2 over some seconds."""
    if order["order"] == "drain":
        for number in set(order["servers"]) & set(servers):
            servers[number].state = "draining"
            servers[number].send_now.set()
    elif order["order"] == "version":
        for number, server in servers.items():
            call_later(order["over_s"] * number / order["count"], partial(_upgrade, server))


def _upgrade(server: HollowServer) -> None:
    server.gen = 2
    server.send_now.set()


async def read_orders() -> Any:
    """Yield the orders as they arrive, until standard input ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield json.loads(line)


async def run_proxies(settings: Iterable[Settings], servers: int, members: int, gap_s: float) -> None:
    """Run hollow proxies until standard input ends. `gap_s`: time between the starts of two of them."""
    proxies = [HollowProxy(one, servers, members, Random(one.node)) for one in settings]
    for proxy in proxies:
        await proxy.run()
        await asyncio.sleep(gap_s)
    emit({"event": "started", "count": len(proxies)})
    async for _ in read_orders():
        pass


async def run_servers(numbers: range, controllers: list[str], heartbeat_s: float, gap_s: float) -> None:
    """Run hollow servers until standard input ends. `gap_s`: time between the starts of two servers of the run."""
    loop = asyncio.get_running_loop()
    all_servers = {number: HollowServer(number, controllers, heartbeat_s, gap_s, Random(number)) for number in numbers}
    tasks = [asyncio.ensure_future(server.run()) for server in all_servers.values()]
    async for order in read_orders():
        execute_order(all_servers, order, loop.call_later)
    for task in tasks:
        task.cancel()
