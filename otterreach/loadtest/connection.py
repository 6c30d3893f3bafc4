"""Server side of an HTTP/1.1 connection to a simulated server."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from otterreach.loadtest.plan import Service
from otterreach.loadtest.play_context import PlayContext
from otterreach.sidecar import http1

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
HeaderPairs = tuple[tuple[str, str], ...]


class RequestHandler(Protocol):
    """Interface that a connection needs of its server."""

    context: PlayContext
    spec: Service
    dark: bool
    repeat_share: float
    connections: set[Connection]

    def on_request(self, connection: Connection, request: http1.Request) -> None:
        """Handle a complete request."""

    def load(self) -> HeaderPairs:
        """Return the headers that report the server's load."""


class Connection(asyncio.Protocol):
    """A client's connection; serves one request at a time. Closing it cancels the request in progress."""

    def __init__(self, server: RequestHandler) -> None:
        self.server = server
        self.request: http1.Request | None = None
        self.on_dropped: Callable[[], None] | None = None  # called on a close before the response is complete
        self._queue: deque[http1.Request] = deque()
        self._late_copy = b""  # of the previous answer; sent in the place of the next one
        self._copy: bytearray | None = None  # of the current answer, if it is to be repeated
        self._parser = http1.RequestParser(bounds=http1.Bounds(body=MAX_BODY_BYTES, head=MAX_HEAD_BYTES))
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or reset it if the server has reached its connection limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.server.context.counts["connections"] += 1
        if len(self.server.connections) >= self.server.spec.max_conns:
            transport.abort()
            return
        self.server.connections.add(self)
        if self.server.dark:
            transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self.server.connections.discard(self)
        self._parser.close()
        dropped = self.on_dropped
        self.on_dropped = None
        if dropped:
            dropped()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes and start the next request."""
        self._queue.extend(self._parser.feed(data))
        if self._parser.error:
            self.abort()
        else:
            self._next()

    def _next(self) -> None:
        if self.request is None and self._queue:
            self.request = self._queue.popleft()
            self._send_late_copy()
            self._copy = bytearray() if self._is_repeated() else None
            self.server.on_request(self, self.request)

    def _is_repeated(self) -> bool:
        """Decide whether the answer to the current request is repeated late."""
        share = self.server.repeat_share
        return share > 0 and self.server.context.random.random() < share

    def _send_late_copy(self) -> None:
        if self._late_copy and self._transport and not self._transport.is_closing():
            self.server.context.counts["late copies"] += 1
            self._transport.write(self._late_copy)
        self._late_copy = b""

    def pause(self, on: bool) -> None:
        """Pause or resume reading."""
        if self._transport and not self._transport.is_closing():
            (self._transport.pause_reading if on else self._transport.resume_reading)()

    def abort(self) -> None:
        """Close the connection with a TCP reset."""
        if self._transport:
            self._transport.abort()

    def header(self, name: bytes) -> str:
        """Return a header of the current request; empty if it is absent."""
        assert self.request
        return self.request.headers.get(name, b"").decode("latin-1")

    def _head(self, status: int, headers: HeaderPairs, framing: str) -> bytes:
        pairs = [*headers, *self.server.load()]
        if ident := self.header(b"request-id"):
            pairs.append(("Request-Id", ident))
        lines = [f"HTTP/1.1 {status} {http1.PHRASES[status].decode()}", *(f"{n}: {v}" for n, v in pairs), framing]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def _write(self, data: bytes) -> None:
        if self._copy is not None:
            self._copy += data
        if self._transport and not self._transport.is_closing():
            self._transport.write(data)

    def respond(self, status: int, headers: HeaderPairs = (), body: bytes = b"") -> None:
        """Write a complete response."""
        self._write(self._head(status, headers, f"Content-Length: {len(body)}") + body)
        self._done()

    def begin_stream(self, headers: HeaderPairs) -> None:
        """Write the head of a streamed response."""
        self._write(self._head(HTTPStatus.OK, headers, "Transfer-Encoding: chunked"))

    def send_event(self, text: str) -> None:
        """Write one event of a stream."""
        data = text.encode()
        self._write(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Write the last chunk of the stream."""
        self._write(b"0\r\n\r\n")
        self._done()

    def _done(self) -> None:
        self._late_copy = bytes(self._copy or b"")
        self.request = None
        self.on_dropped = None
        self._next()
