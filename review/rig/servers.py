"""A sound model server as a stand-in: registration, health, report, orders and unary requests, as the pages say."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, TypeVar

from rig import http
from rig.system import HEARTBEAT_MS, ZONES, System

FIRST_PORT_OFFSET = 60
REPORT_AGE_S = 0.2
ServerT = TypeVar("ServerT", bound="Server")


@dataclass
class Order:
    """An order that a server received."""

    at: float
    machine: str
    owner: str
    fence: int
    model: str
    version: int
    status: int


@dataclass
class Run:
    """A request that a server began to work on."""

    at: float
    ident: str
    server: str


@dataclass
class Server:
    """One incarnation of a server. A subclass changes `serve` for its trouble."""

    system: System
    ident: str
    service: str
    ip: str
    zone: str
    port: int
    cap: int = 12
    work_s: float = 0.04
    load_s: float = 0.4
    models: dict[str, int] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    running: int = 0

    def __post_init__(self) -> None:
        """Set the state of a new incarnation."""
        self.state = "up"
        self.calls = 0
        self.taken = 0
        self.busy = False
        self.listener: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        self.reports: list[tuple[float, dict[str, Any]]] = []
        self.seals = 0

    @property
    def address(self) -> str:
        """The address of the listener."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self.listener = await asyncio.start_server(self._accepted, self.ip, self.port, limit=1 << 20)
        self.beats = asyncio.ensure_future(self._beat())

    async def _beat(self) -> None:
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_MS / 1000 * random.uniform(0.9, 1.1))

    def listed_models(self) -> list[dict[str, Any]]:
        """Return the models as the server names them."""
        return [{"name": name, "gen": version, "loras": []} for name, version in self.models.items()]

    async def register(self) -> None:
        """Send one heartbeat to a controller."""
        self.calls += 1
        beat = {
            "backend": self.service,
            "addr": self.address,
            "az": self.zone,
            "gen": "v1",
            "cap": self.cap,
            "state": self.state,
            "warmLeftMs": 0,
            "stage": "both",
            "models": self.listed_models(),
            "calls": self.calls,
        }
        await self.system.ctl("PUT", f"/servers/{self.ident}", beat, within_s=1.0)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = str(writer.get_extra_info("peername")[0])
        with suppress(OSError, asyncio.CancelledError):
            while True:
                request = await http.read_head(reader)
                if request is None or not await self.serve(request, reader, writer, peer):
                    break
        writer.close()

    def answer(
        self,
        request: http.Message,
        writer: asyncio.StreamWriter,
        status: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        """Write a whole answer."""
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        ident = request.headers.get("request-id")
        if ident:
            lines.append(f"Request-Id: {ident}")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def seal(self, ident: str) -> str:
        """Return a new seal for an answer."""
        self.seals += 1
        return f"{self.ident}.{ident}.{self.seals}"

    def is_expected(self, request: http.Message) -> bool:
        """Return True unless the request expects another server."""
        return request.headers.get("expect-server", self.ident) == self.ident

    async def serve(
        self, request: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: str
    ) -> bool:
        """Serve one request; return False to close the connection."""
        await http.read_body(reader, request)
        if not request.complete:
            return False
        method, path, *_ = request.first.split(" ")
        if not self.is_expected(request):
            self.answer(request, writer, "421 Misdirected Request", {"Server-Id": self.ident})
        elif path == "/healthz":
            self.answer(request, writer, "200 OK" if self.state == "up" else "503 Draining", {"Server-Id": self.ident})
        elif path == "/report":
            self.answer(request, writer, "200 OK", {"Content-Type": "application/json"}, self.report())
        elif path == "/order":
            self.order(request, writer, peer)
        elif not request.headers.get("request-id"):
            self.answer(request, writer, "400 Bad Request", {"Not-Run": "1"})
        else:
            await self.work(request, reader, writer)
        await writer.drain()
        return request.headers.get("connection", "").lower() != "close" and bool(method)

    async def work(self, request: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run a request for tokens or a plain one, and answer it."""
        ident = request.headers["request-id"]
        if self.running >= self.cap:
            self.answer(request, writer, "503 Service Unavailable", {"Not-Run": "1"})
            return
        self.begin(ident)
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        self.answer(request, writer, "200 OK", {"Reply-Seal": self.seal(ident)}, b"answer of " + ident.encode())

    def begin(self, ident: str) -> None:
        """Record that a request has begun to run."""
        self.runs.append(Run(self.system.loop.time(), ident, self.ident))
        self.system.record(f"{self.ident} runs request {ident}")

    def report(self) -> bytes:
        """Return the report, with values as they stood some hundred ms ago."""
        now = self.system.loop.time()
        values = {
            "stage": "both",
            "models": self.listed_models(),
            "busy": self.busy,
            "calls": self.taken,
            "queued": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 44875,
            "refs": 0,
        }
        self.reports.append((now, values))
        while len(self.reports) > 1 and self.reports[1][0] <= now - REPORT_AGE_S:
            self.reports.pop(0)
        return json.dumps(self.reports[0][1]).encode()

    def order(self, request: http.Message, writer: asyncio.StreamWriter, peer: str) -> None:
        """Take or reject an order."""
        order = json.loads(request.body)
        model, version = str(order.get("model")), int(order.get("gen", 0))
        status = "202 Accepted"
        if order.get("op") != "gen" or not order.get("owner") or "fence" not in order or model not in self.models:
            status = "400 Bad Request"
        elif self.models[model] >= version:
            status = "200 OK"
        elif self.busy or order.get("expect", self.taken) != self.taken:
            status = "409 Conflict"
        machine = str(order.get("owner"))  # a front machine names itself
        taken = Order(
            self.system.loop.time(), machine, str(order.get("owner")), int(order.get("fence", 0)), model, version, 0
        )
        taken.status = int(status.split(" ")[0])
        self.orders.append(taken)
        self.system.record(
            f"{self.ident} got an order from {machine} (owner {taken.owner}, fence {taken.fence}): "
            f"{model} to version {version}, answered {taken.status}"
        )
        if status.startswith("202"):
            self.taken += 1
            self.busy = True
            self.report()  # notes the values for later reports
            asyncio.get_running_loop().call_later(self.load_s, self._loaded, model, version)
        self.answer(request, writer, status)

    def _loaded(self, model: str, version: int) -> None:
        self.models[model] = version
        self.busy = False
        self.report()  # notes the values for later reports
        self.system.record(f"{self.ident} has version {version} of {model}")

    def stop(self) -> None:
        """Stop listening and sending heartbeats."""
        if self.beats:
            self.beats.cancel()
        if self.listener:
            self.listener.close()


def new_server(
    system: System, kind: Callable[..., ServerT], service: str, number: int, ident: str, **more: object
) -> ServerT:
    """Return a server of this kind at an address of its own."""
    zone = number % len(ZONES)
    ip = f"{system.net}.{zone + 1}.{100 + number}"
    return kind(system, ident, service, ip, ZONES[zone], system.port + FIRST_PORT_OFFSET, **more)
