"""Hollow processes: many sidecars, or many servers, in one process.

A hollow front has the real node (relay, store, announcements, heartbeats) and pings job store nodes as a proxy does; it
takes no requests. A hollow server only sends its heartbeats over HTTP. They print what they observe as JSON lines on
standard output; orders come as lines on standard input.
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
    """One line; the steady clock is the same in all processes of a machine."""
    sys.stdout.write(json.dumps(event | {"t": time.monotonic()}) + "\n")
    sys.stdout.flush()


class FollowerView:
    """What a follower has in force, told as it changes."""

    def __init__(self, name: str, store: ReplicatedStore, servers: int, members: int, emit: Emit) -> None:
        self.name = name
        self.store = store
        self.emit = emit
        self._want = {"server": servers, "member": members}
        self._have: dict[str, set[str]] = {"server": set(), "member": set()}
        self._new: set[str] = set()
        self._full = False
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
        if NEW_VERSION in item.value and item.key not in self._new:
            self._new.add(item.key)
            if len(self._new) == self._want["server"]:
                self.emit({"event": "version", "node": self.name})

    def _member(self, item: Item) -> None:
        self._count("member", item)

    def _count(self, kind: str, item: Item) -> None:
        self._have[kind].add(item.key)
        if not self._full and all(len(self._have[k]) >= number for k, number in self._want.items()):
            self._full = True
            self.emit({"event": "full", "node": self.name})


class Front:
    """A hollow sidecar."""

    def __init__(self, settings: Settings, servers: int, members: int, random: Random) -> None:
        self.node = Node(settings, Endpoint(), random)
        self.view = FollowerView(settings.node, self.node.store, servers, members, emit)
        self._stores: dict[str, str] = {}
        self.node.store.watch(MemberRecord, self._member)

    def _member(self, item: Item) -> None:
        record = self.node.store.record(MemberRecord, item.name)
        if record and record.role == MemberRole.JOB_STORE:
            self._stores[item.key] = record.address

    async def run(self) -> None:
        """Start the node and ping the job store nodes."""
        await self.node.start("front")
        self.node.endpoint.spawn(self._pings())

    async def _pings(self) -> None:
        settings = self.node.settings
        endpoint = self.node.endpoint
        loop = asyncio.get_running_loop()
        waiting: set[str] = set()

        async def ping(address: str) -> None:
            """Ping one job store node."""
            ask = ProxyPing(
                settings.node, settings.address, int(loop.time() * 1000), 0, 0, [], 1, int(LONG_INTERVAL_S * 1000)
            )
            await endpoint.call(address, ask, PING_TIMEOUT_S)
            waiting.discard(address)

        while True:
            for address in self._stores.values():
                if address not in waiting:
                    waiting.add(address)
                    endpoint.spawn(ping(address))
            await asyncio.sleep(LONG_INTERVAL_S)


class Server:
    """A hollow server: heartbeats at a controller, the next one after a failure."""

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
        self.place = random.randrange(len(controllers))
        self.soon = asyncio.Event()

    async def run(self) -> None:
        """Send heartbeats; for ever."""
        await asyncio.sleep(self.number * self.gap_s + self.random.random() * self.heartbeat_s)
        while True:
            self.soon.clear()
            await self._send_heartbeat()
            try:
                async with asyncio.timeout(self.heartbeat_s * (0.9 + 0.2 * self.random.random())):
                    await self.soon.wait()
            except TimeoutError:
                pass

    async def _send_heartbeat(self) -> None:
        self.calls += 1
        body = json.dumps(registration(self.number, self.calls, self.state, self.gen)).encode()
        for _ in self.controllers:
            address = self.controllers[self.place % len(self.controllers)]
            path = f"/servers/{server_id(self.number)}"
            reply = await self.client.call(address, "PUT", path, body, HEARTBEAT_TIMEOUT_S)
            status = getattr(reply, "status", 0)
            if status == 200:
                return
            emit({"event": "beat_failed", "server": self.number, "status": status})
            self.place += 1


def obey(servers: dict[int, Server], order: dict[str, Any], later: Callable[[float, Callable[[], None]], Any]) -> None:
    """An order of the run: drain some servers now, or bring all to version 2 over some seconds."""
    if order["order"] == "drain":
        for number in set(order["servers"]) & set(servers):
            servers[number].state = "draining"
            servers[number].soon.set()
    elif order["order"] == "version":
        for number, server in servers.items():
            later(order["over_s"] * number / order["count"], partial(_raise, server))


def _raise(server: Server) -> None:
    server.gen = 2
    server.soon.set()


async def lines() -> Any:
    """The orders as they come, until standard input ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield json.loads(line)


async def fronts(settings: Iterable[Settings], servers: int, members: int, gap_s: float) -> None:
    """Until standard input ends. `gap_s`: between the starts of two."""
    keep = [Front(one, servers, members, Random(one.node)) for one in settings]
    for front in keep:
        await front.run()
        await asyncio.sleep(gap_s)
    emit({"event": "started", "count": len(keep)})
    async for _ in lines():
        pass


async def servers(numbers: range, controllers: list[str], heartbeat_s: float, gap_s: float) -> None:
    """Until standard input ends. `gap_s`: between the starts of two servers of the run."""
    loop = asyncio.get_running_loop()
    all_servers = {number: Server(number, controllers, heartbeat_s, gap_s, Random(number)) for number in numbers}
    tasks = [asyncio.ensure_future(server.run()) for server in all_servers.values()]
    async for order in lines():
        obey(all_servers, order, loop.call_later)
    for task in tasks:
        task.cancel()
