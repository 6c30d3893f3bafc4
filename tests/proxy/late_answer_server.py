"""A server on real sockets that repeats answers late: the copy comes when the next request has arrived."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from otterreach.proxy.pools import Address, Connection, Factory
from otterreach.sidecar import http1
from otterreach.sidecar.transport import open_tcp
from tests.proxy.proxy_support import World

WORK_S = 0.02
EVENT = b"id: 1\ndata: token\n\n"


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """An answer that the request has not run."""

    status: int
    head: bytes = b"Not-Run: 1\r\n"


@dataclass(frozen=True, slots=True)
class Served:
    """An answer after the request has run."""

    status: int = 200
    head: bytes = b""


Reaction = TurnedAway | Served
Script = Callable[[http1.Request, int], Reaction]  # by the request and the number of earlier ones with its id


@dataclass
class LateAnswerServer:
    """Repeats each answer late, on the connection that carried it, in the place of the next one."""

    ident: str
    script: Script
    runs: Counter[bytes] = field(default_factory=Counter)  # by Request-Id
    requests: Counter[bytes] = field(default_factory=Counter)
    copies: int = 0
    connections: int = 0
    address: Address = ("", 0)
    open: set[LateAnswerConnection] = field(default_factory=set)
    _listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections on a free port until `close`."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: LateAnswerConnection(self), "127.0.0.1", 0)
        self.address = self._listener.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Close the listener and all connections."""
        if self._listener:
            self._listener.close()
        for connection in list(self.open):
            connection.abort()

    def answer(self, request: http1.Request) -> tuple[bytes, float]:
        """Return the answer to a request, and the seconds after which it is sent."""
        ident = request.headers[b"request-id"]
        reaction = self.script(request, self.requests[ident])
        self.requests[ident] += 1
        if isinstance(reaction, Served):
            self.runs[ident] += 1
        return self._encode(request, ident, reaction), WORK_S if isinstance(reaction, Served) else 0.0

    def _encode(self, request: http1.Request, ident: bytes, reaction: Reaction) -> bytes:
        head = b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%s" % (reaction.status, ident, reaction.head)
        if isinstance(reaction, TurnedAway) or reaction.status != 200:
            return head + b"Content-Length: 0\r\n\r\n"
        head += b"Reply-Seal: s-%s-%d\r\n" % (ident, self.runs[ident])
        if b"/stream/" not in request.target:
            return head + b"Content-Length: 2\r\n\r\nok"
        head += b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENT), EVENT)


class LateAnswerConnection(asyncio.Protocol):
    """One connection to a LateAnswerServer."""

    def __init__(self, server: LateAnswerServer) -> None:
        self.server = server
        self._parser = http1.RequestParser()
        self._late = b""  # a copy of the last answer
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.server.connections += 1
        self.server.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.open.discard(self)
        if self._timer:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        assert self._transport
        for request in self._parser.feed(data):
            self._transport.write(self._late)
            self.server.copies += bool(self._late)
            self._late, delay_s = self.server.answer(request)
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._transport.write, self._late)

    def abort(self) -> None:
        """Close the connection."""
        if self._transport:
            self._transport.abort()


class SocketWorld(World):
    """A world whose fleet opens real connections."""

    async def open(self, address: Address, factory: Factory) -> Connection:
        return await open_tcp(address, factory)

    async def late_answer_server(self, ident: str, script: Script) -> LateAnswerServer:
        """Start a server and list it in the control state."""
        server = LateAnswerServer(ident, script)
        await server.listen()
        host, port = server.address
        value = {"backend": "svc", "addr": f"{host}:{port}", "az": "z", "cap": 4, "state": "up", "models": []}
        self.put(f"server/{ident}", value)
        return server


async def ask(port: int, path: str, ident: str, deadline_ms: int = 1500) -> http1.Response | None:
    """Send a request on a new connection; return its answer, or None if the connection ends without one."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [f"POST {path} HTTP/1.1", "Host: shop.example", f"Request-Id: {ident}", f"Deadline-Ms: {deadline_ms}"]
    writer.write(("\r\n".join([*lines, "Content-Length: 0"]) + "\r\n\r\n").encode())
    parser = http1.ResponseParser()
    answer = None
    with suppress(ConnectionError):
        while answer is None and (data := await reader.read(65536)):
            answer = parser.feed(data)
    writer.close()
    with suppress(ConnectionError):
        await writer.wait_closed()
    return answer
