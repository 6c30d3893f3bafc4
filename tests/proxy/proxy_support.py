"""In-memory test doubles for the environment of a proxy: scripted model servers, clients and job store nodes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from otterreach.jobstore.messages import AssignItems, ItemFinished, ProxyPing, ProxyPong, ServedPartition, WorkItem
from otterreach.jobstore.placement import partition_of
from otterreach.proxy.client_connection import Client
from otterreach.proxy.fleet import Fleet
from otterreach.proxy.ingress import Ingress
from otterreach.proxy.pools import Address, Connection, Factory
from otterreach.runtime import settings as settings_module
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.sidecar import http1
from tests import virtual
from tests.virtual import LATENCY_S, MemoryTransport, connect

HOST = "shop.example"
SEAL = b"Reply-Seal: s-1\r\n"


def route(name: str = "r", prefix: str = "/a/", kind: str = "idem", **more: Any) -> dict[str, Any]:
    plain = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "targetMs": 200,
        "prio": 2,
        "backend": "svc",
        "tries": 3,
    }
    return plain | more


def in_virtual_time(main: Callable[[Any], Awaitable[None]]) -> Callable[[Any], None]:
    """Run an asynchronous test in virtual time."""

    def test(self: Any) -> None:
        async def body() -> None:
            await main(self)

        virtual.run(body)

    return test


class World:
    """A replicated store, fake servers by address, and a fleet that uses them."""

    def __init__(self, routes: list[dict[str, Any]], seed: int = 1) -> None:
        self.store = ReplicatedStore()
        self._rev = 0
        self.servers: dict[Address, FakeServer] = {}
        self.number = 0
        self.configure(routes)
        self.fleet = Fleet(self.store, Random(seed), opener=self.open)
        self.loop = self.fleet.loop

    def put(self, key: str, value: Any) -> None:
        self._rev += 1
        body = b"" if value is None else json.dumps(value).encode()
        self.store.apply([Item(key, self._rev, body)])

    def configure(self, routes: list[dict[str, Any]], max_connections: int = 100) -> None:
        self.number += 1
        names = {r.get("backend") or part["backend"] for r in routes for part in r.get("split") or [r]}
        backends = [{"name": name, "probe": "/healthz", "maxConns": max_connections} for name in sorted(names)]
        self.put("config", {"gen": self.number, "routes": routes, "backends": backends, "caps": {}})

    def server(self, ident: str, script: Script, service: str = "svc", **more: Any) -> FakeServer:
        """Add a server that is running and listed in the control state."""
        address = ("10.0.0.1", 1000 + len(self.servers))
        server = self.servers[address] = FakeServer(ident, script)
        server.address = address
        self.list(server, service, **more)
        return server

    def list(self, server: FakeServer, service: str = "svc", **more: Any) -> None:
        host, port = server.address
        value = {"backend": service, "addr": f"{host}:{port}", "az": "z", "cap": 4, "state": "up", "models": []}
        self.put(f"server/{server.id}", value | more)

    def add_proxies(self, count: int) -> None:
        for n in range(count):
            self.put(f"member/front-{n}", {"role": "front", "address": f"10.9.0.{n}:7000"})

    async def open(self, address: Address, factory: Factory) -> Connection:
        await asyncio.sleep(LATENCY_S)
        server = self.servers.get(address)
        if server is None or server.refuses:
            raise ConnectionRefusedError
        if server.drops_connects:
            await asyncio.sleep(3600)
        here, there = factory(), ServerEnd(server)
        connect(here, there)
        server.opened += 1
        return here


Script = Callable[["Call"], Awaitable[None]]


class Call:
    """A request received by a fake server, with methods to answer it."""

    def __init__(self, server: FakeServer, end: ServerEnd, request: http1.Request) -> None:
        self.server, self.end, self.request = server, end, request
        self.id = request.headers.get(b"request-id", b"").decode()

    def header(self, name: bytes) -> str | None:
        value = self.request.headers.get(name)
        return None if value is None else value.decode()

    def write(self, data: bytes) -> None:
        if self.end.transport:
            self.end.transport.write(data)

    def answer(self, status: int = 200, body: bytes = b"ok", head: bytes = SEAL, ident: str | None = None) -> None:
        self.write(
            b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s"
            % (status, (ident or self.id).encode(), len(body), head, body)
        )

    def reject(self) -> None:
        self.answer(503, b"", b"Not-Run: 1\r\n")

    def begin(self, head: bytes = SEAL) -> None:
        self.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n%s\r\n" % (self.id.encode(), head)
        )

    def event(self, ident: int, data: str, version: int | None = None) -> None:
        first = f"weight-versions: {version}\n" if version is not None else ""
        raw = f"{first}id: {ident}\ndata: {data}\n\n".encode()
        self.write(b"%x\r\n%s\r\n" % (len(raw), raw))

    def end_stream(self) -> None:
        self.write(b"0\r\n\r\n")

    def disconnect(self) -> None:
        if self.end.transport:
            self.end.transport.abort()


class FakeServer:
    """A model server that runs its script for each request addressed to it."""

    def __init__(self, ident: str, script: Script) -> None:
        self.id, self.script = ident, script
        self.address: Address = ("", 0)
        self.calls: list[Call] = []
        self.dropped: list[str] = []  # ids of requests whose connection was closed before the answer
        self.refuses = self.drops_connects = False
        self.opened = 0
        self.ends: list[ServerEnd] = []


class ServerEnd(asyncio.Protocol):
    """A fake server's end of one connection: passes each complete request to the script."""

    def __init__(self, server: FakeServer) -> None:
        self.server = server
        self.transport: MemoryTransport | None = None
        self.parser = http1.RequestParser()
        self.task: asyncio.Task[None] | None = None
        server.ends.append(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, MemoryTransport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if self.task and not self.task.done():
            self.task.cancel()
            self.server.dropped.append(self.server.calls[-1].id)

    def data_received(self, data: bytes) -> None:
        for request in self.parser.feed(data):
            call = Call(self.server, self, request)
            expected = call.header(b"expect-server")
            if expected is not None and expected != self.server.id:
                call.answer(421, b"", b"Server-Id: %s\r\n" % self.server.id.encode())
                continue
            self.server.calls.append(call)
            self.task = asyncio.ensure_future(self.server.script(call))


async def serve(call: Call) -> None:
    call.answer(body=call.server.id.encode())


def after(seconds: float, then: Script = serve) -> Script:
    async def script(call: Call) -> None:
        await asyncio.sleep(seconds)
        await then(call)

    return script


async def reject(call: Call) -> None:
    call.reject()


async def fail(call: Call) -> None:
    call.answer(500, b"oops", b"")


async def disconnect(call: Call) -> None:
    call.disconnect()


async def silence(call: Call) -> None:
    await asyncio.sleep(3600)


class FakeClient(asyncio.Protocol):
    """A client with an in-memory connection to an ingress."""

    def __init__(self, ingress: Ingress) -> None:
        self.data = b""
        self.lost = False
        self.answers: list[http1.Response] = []
        self._parser = http1.ResponseParser()
        self._changed = asyncio.Event()
        self.transport, _ = connect(self, Client(ingress))

    def data_received(self, data: bytes) -> None:
        self.data += data
        response = self._parser.feed(data)
        if response:
            self.answers.append(response)
            self._parser = http1.ResponseParser()
        self._changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self._changed.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        pass

    def send(
        self,
        path: str = "/a/x",
        ident: str = "q1",
        method: str = "POST",
        body: bytes = b"",
        head: str = "",
        deadline_ms: int | None = 1500,
    ) -> None:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {ident}", f"Content-Length: {len(body)}"]
        lines += [f"Deadline-Ms: {deadline_ms}"] if deadline_ms is not None else []
        self.transport.write(("\r\n".join(lines) + "\r\n" + head + "\r\n").encode() + body)

    async def answer(self) -> http1.Response | None:
        """Return the next answer, or None if the connection ended without one."""
        count = len(self.answers)
        while len(self.answers) == count and not self.lost:
            self._changed.clear()
            await self._changed.wait()
        return self.answers[-1] if len(self.answers) > count else None

    async def ask(self, **more: Any) -> http1.Response:
        """Send a request and return the answer, which is required."""
        self.send(**more)
        return await self.next()

    async def next(self) -> http1.Response:
        answer = await self.answer()
        assert answer is not None, "the connection ended without an answer"
        return answer


def settings() -> Settings:
    return settings_module.read({"node": "front-0", "machine": "front", "ip": "10.9.0.0", "portRange": [7000, 7010]})


JOB_STORE_NODE = "10.8.0.1:7000"


class FakeLink:
    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, value: Any) -> None:
        self.sent.append(value)


class FakeEndpoint:
    """An endpoint that records the calls of a proxy and stands for one job store node that serves all partitions."""

    def __init__(self) -> None:
        self.handlers: dict[type, Any] = {}
        self.calls: list[Any] = []
        self.finished: list[ItemFinished] = []
        self.answers: dict[type, list[Any]] = {}  # by message type: returned in order before the default answers
        self.reachable = True
        self.holds = True
        self.epoch = 1
        self.age_ms = 0
        self.ended: list[str] = []
        self.to = FakeLink()
        self._tasks: set[asyncio.Task[Any]] = set()

    def on(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def link(self, address: str) -> Any:
        return self.to

    async def call(self, address: str, value: Any, timeout_s: float) -> Any:
        await asyncio.sleep(LATENCY_S)
        self.calls.append(value)
        if not self.reachable:
            await asyncio.sleep(timeout_s)
            return Failure(Code.TIMED_OUT, "unreachable")
        script = self.answers.get(type(value))
        if script:
            return script.pop(0)
        if isinstance(value, ProxyPing):
            served = [ServedPartition(part, self.epoch, self.age_ms) for part in range(16)] if self.holds else []
            return ProxyPong(value.sent_ms, served, [job for job in value.jobs if job in self.ended])
        if isinstance(value, ItemFinished):
            self.finished.append(value)
        return Done()


def list_job_store_node(world: World) -> None:
    """Put the job store node and its partitions into the control state."""
    world.put("member/store-0", {"role": "store", "address": JOB_STORE_NODE})
    for part in range(16):
        world.put(f"part/{part}", {"epoch": 1, "primary": "store-0#d", "backups": [], "joining": []})


def work(item: str = "i1", scorer: str = "", path: str = "/l/1") -> WorkItem:
    return WorkItem(
        item, path, '{"Model": "m", "Tokens": "10,20"}', b"prompt", "g", 30, scorer, HOST, "/a/score", b"sc"
    )


def assign(
    works: list[WorkItem],
    job: str = "j1",
    min_version: int = 0,
    left_ms: int = 5000,
    wait_ms: int = 40000,
    epoch: int = 1,
) -> AssignItems:
    return AssignItems(partition_of(job), epoch, job, HOST, "m", min_version, left_ms, wait_ms, works)
