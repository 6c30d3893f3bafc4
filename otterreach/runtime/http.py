"""A small HTTP/1.1 server for calls with JSON bodies, one handler object for each resource."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from otterreach.runtime.log import log
from otterreach.sidecar import http1
from otterreach.sidecar.transport import AcceptedConnection

MAX_BODY = 36 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
LINGER_S = 2.0  # after an error: so long the client may go on sending before it is cut off
MAX_PIPELINED = 8  # requests read ahead on one connection
REQUEST_ID = b"request-id"  # given back in the answer


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a request."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handle = Callable[[http1.Request], Awaitable[Reply]]


def encode_reply(reply: Reply, close: bool, ident: bytes | None = None) -> bytes:
    """The bytes of an answer.

    :param ident: the id in the request's Request-Id, by which its caller knows the answer; None if it had none
    """
    head = [
        f"HTTP/1.1 {reply.status} ".encode() + http1.PHRASES.get(reply.status, b"Status"),
        b"Content-Length: %d" % len(reply.body),
    ]
    if reply.body:
        head.append(b"Content-Type: " + reply.content_type.encode())
    head += [f"{name}: {value}".encode() for name, value in reply.headers]
    if ident is not None:
        head.append(b"Request-Id: " + ident)
    if close:
        head.append(b"Connection: close")
    return b"\r\n".join(head) + b"\r\n\r\n" + reply.body


class _CallerConnection(AcceptedConnection):
    """One connection: its requests are answered in order."""

    def __init__(self, server: JsonServer) -> None:
        super().__init__()
        self.server = server
        self._parser = http1.RequestParser(MAX_BODY)
        self._queue: deque[http1.Request] = deque()
        self._answering: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False  # no further request is begun on it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        super().connection_made(transport)
        self.server.callers.add(self)
        self._start_idle_timer(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self.server.callers.discard(self)
        self._closing = True
        self._queue.clear()  # nobody would read their answers
        self._parser.close()
        self._stop_timer()

    def _stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _start_idle_timer(self, seconds: float) -> None:
        self._stop_timer()
        if not self._closing:
            self._timer = asyncio.get_running_loop().call_later(seconds, self._idle_timed_out)

    def _idle_timed_out(self) -> None:
        """Danger: a request may wait in the kernel, and would be lost with its connection."""
        if self.unread and not self._parser.error:
            self._start_idle_timer(IDLE_TIMEOUT_S)
        else:
            self.abort()

    def abort(self) -> None:
        """Close at once; unsent bytes are dropped."""
        if self._transport:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        if self._closing:
            return
        self._queue.extend(self._parser.feed(data))
        if len(self._queue) > MAX_PIPELINED and self._transport:
            self._transport.pause_reading()
        if self._answering:
            return
        self._send_continue()
        if self._queue or self._parser.error:
            self._stop_timer()
            self._answering = asyncio.ensure_future(self._answer_queue())

    def _send_continue(self) -> None:
        """The caller waits for a 100 before its body. Danger: not before the answers to its earlier requests."""
        if self._parser.wants_continue and not self._queue and self._transport:
            self._parser.wants_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _answer_queue(self) -> None:
        while self._queue and not self._closing:
            request = self._queue.popleft()
            if len(self._queue) <= MAX_PIPELINED and self._transport:
                self._transport.resume_reading()
            self._respond(request, await self._handle(request))
        self._answering = None
        if self._closing or self._transport is None or self._transport.is_closing():
            return
        if self._parser.error:
            self._transport.write(encode_reply(Reply(int(self._parser.error)), True))
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._start_idle_timer(LINGER_S)
        else:
            self._send_continue()
            self._start_idle_timer(IDLE_TIMEOUT_S)

    async def _handle(self, request: http1.Request) -> Reply:
        try:
            return await self.server.handle(request)
        except Exception as error:  # a fault in one call ends that call, not the process
            log("call_failed", level="ERROR", target=request.target.decode("latin-1"), error=repr(error))
            return Reply(500)

    def _respond(self, request: http1.Request, reply: Reply) -> None:
        close = not request.keep_alive or self.server.stopping
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(encode_reply(reply, close, request.headers.get(REQUEST_ID)))
        if close:
            self._closing = True
            self._queue.clear()
            self._transport.close()

    def close_if_idle(self) -> None:
        """The server stops: close unless a request is being answered. Danger: not one that is still unread."""
        if not self._answering and not self._queue and not self.unread and self._transport:
            self._transport.close()


class JsonServer:
    """Listens, and passes each complete request to `handle`."""

    def __init__(self, handle: Handle) -> None:
        self.handle = handle
        self.callers: set[_CallerConnection] = set()
        self.stopping = False
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Accept connections; returns the port. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self.accept, host, port, backlog=256, reuse_address=True)
        return int(self._server.sockets[0].getsockname()[1])

    def accept(self) -> asyncio.Protocol:
        """What handles one connection, whoever listens."""
        return _CallerConnection(self)

    def stop(self) -> None:
        """Accept no new connections; idle ones close, the others after their answer."""
        self.stopping = True
        if self._server:
            self._server.close()
        for caller in list(self.callers):
            caller.close_if_idle()
