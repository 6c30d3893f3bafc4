"""A connection at a server of the load test."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from otterreach.loadtest.plan import Service
from otterreach.loadtest.scene import Scene
from otterreach.sidecar import http1

MOST_BODY = 64 * 1024 * 1024
MOST_HEAD = 64 * 1024
Pairs = tuple[tuple[str, str], ...]


class Owner(Protocol):
    """What a connection uses of its server."""

    scene: Scene
    spec: Service
    dark: bool
    connections: set[Connection]

    def on_request(self, connection: Connection, request: http1.Request) -> None:
        """A whole request has come."""

    def load(self) -> Pairs:
        """The headers that tell the server's load."""


class Connection(asyncio.Protocol):
    """One connection at a server: one request at a time; when it closes, what is on it is dropped."""

    def __init__(self, server: Owner) -> None:
        self.server = server
        self.request: http1.Request | None = None
        self.dropped: Callable[[], None] | None = None  # called if it closes before the answer is whole
        self._queue: deque[http1.Request] = deque()
        self._parser = http1.RequestParser(bounds=http1.Bounds(body=MOST_BODY, head=MOST_HEAD))
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, or reset it if there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.server.scene.counts["connections"] += 1
        if len(self.server.connections) >= self.server.spec.max_conns:
            transport.abort()
            return
        self.server.connections.add(self)
        if self.server.dark:
            transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the work for it."""
        self.server.connections.discard(self)
        self._parser.close()
        dropped = self.dropped
        self.dropped = None
        if dropped:
            dropped()

    def data_received(self, data: bytes) -> None:
        """Parse what has come, and start the next request."""
        self._queue.extend(self._parser.feed(data))
        if self._parser.error:
            self.abort()
        else:
            self._next()

    def _next(self) -> None:
        if self.request is None and self._queue:
            self.request = self._queue.popleft()
            self.server.on_request(self, self.request)

    def pause(self, on: bool) -> None:
        """Read nothing more, or go on reading."""
        if self._transport and not self._transport.is_closing():
            (self._transport.pause_reading if on else self._transport.resume_reading)()

    def abort(self) -> None:
        """Close with a reset."""
        if self._transport:
            self._transport.abort()

    def header(self, name: bytes) -> str:
        """A header of the open request; empty if it has none."""
        assert self.request
        return self.request.headers.get(name, b"").decode("latin-1")

    def _head(self, status: int, headers: Pairs, framing: str) -> bytes:
        pairs = [*headers, *self.server.load()]
        if ident := self.header(b"request-id"):
            pairs.append(("Request-Id", ident))
        lines = [f"HTTP/1.1 {status} {http1.PHRASES[status].decode()}", *(f"{n}: {v}" for n, v in pairs), framing]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def _write(self, data: bytes) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.write(data)

    def respond(self, status: int, headers: Pairs = (), body: bytes = b"") -> None:
        """The whole answer."""
        self._write(self._head(status, headers, f"Content-Length: {len(body)}") + body)
        self._done()

    def begin(self, headers: Pairs) -> None:
        """The head of a stream."""
        self._write(self._head(HTTPStatus.OK, headers, "Transfer-Encoding: chunked"))

    def event(self, text: str) -> None:
        """Write one event of a stream."""
        data = text.encode()
        self._write(b"%x\r\n%s\r\n" % (len(data), data))

    def end(self) -> None:
        """End the stream in order."""
        self._write(b"0\r\n\r\n")
        self._done()

    def _done(self) -> None:
        self.request = None
        self.dropped = None
        self._next()
