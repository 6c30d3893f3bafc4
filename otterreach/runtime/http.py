"""A small HTTP/1.1 server for calls with JSON bodies. Its handler routes requests to resources."""

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
LINGER_S = 2.0  # time after an error response in which the client may go on sending before the connection is aborted
MAX_PIPELINED = 8  # maximum number of requests read ahead on one connection
REQUEST_ID = b"request-id"  # header that is copied to the response


@dataclass(frozen=True, slots=True)
class Reply:
    """The response to a request."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handle = Callable[[http1.Request], Awaitable[Reply]]


def encode_reply(reply: Reply, close: bool, ident: bytes | None = None) -> bytes:
    """Encode a response.

    :param ident: the Request-Id of the request, by which the caller matches the response; None if it had none
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
    """One connection, whose requests are handled one after the other."""

    def __init__(self, server: JsonServer) -> None:
        super().__init__()
        self.server = server
        self._parser = http1.RequestParser(MAX_BODY)
        self._queue: deque[http1.Request] = deque()
        self._answer_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False  # true once no further request may be handled

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the open connection and start its idle timer."""
        super().connection_made(transport)
        self.server.callers.add(self)
        self._start_idle_timer(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the queued requests and stop the timer."""
        self.server.callers.discard(self)
        self._closing = True
        self._queue.clear()  # their responses could not be delivered
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
        """Abort the idle connection.

        If the kernel holds unread bytes, the timer is restarted instead: a request among them would be lost.
        """
        if self.has_unread_data and not self._parser.error:
            self._start_idle_timer(IDLE_TIMEOUT_S)
        else:
            self.abort()

    def abort(self) -> None:
        """Close immediately and drop unsent bytes."""
        if self._transport:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes and start handling the queued requests."""
        if self._closing:
            return
        self._queue.extend(self._parser.feed(data))
        if len(self._queue) > MAX_PIPELINED and self._transport:
            self._transport.pause_reading()
        if self._answer_task:
            return
        self._send_continue()
        if self._queue or self._parser.error:
            self._stop_timer()
            self._answer_task = asyncio.ensure_future(self._answer_queue())

    def _send_continue(self) -> None:
        """Send 100 Continue to a caller that waits for it before it sends the body.

        It must not precede the responses to earlier requests: the caller would attribute it to one of those.
        """
        if self._parser.expects_continue and not self._queue and self._transport:
            self._parser.expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _answer_queue(self) -> None:
        while self._queue and not self._closing:
            request = self._queue.popleft()
            if len(self._queue) <= MAX_PIPELINED and self._transport:
                self._transport.resume_reading()
            self._respond(request, await self._handle(request))
        self._answer_task = None
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
        except Exception as error:  # an error in one call fails that call, not the process
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
        """Close the connection unless a request is being handled or queued, or unread bytes may contain one."""
        if not self._answer_task and not self._queue and not self.has_unread_data and self._transport:
            self._transport.close()


class JsonServer:
    """A server that passes each complete request to `handle`."""

    def __init__(self, handle: Handle) -> None:
        self.handle = handle
        self.callers: set[_CallerConnection] = set()
        self.stopping = False
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Accept connections and return the port. Raise OSError if the port can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self.accept, host, port, backlog=256, reuse_address=True)
        return int(self._server.sockets[0].getsockname()[1])

    def accept(self) -> asyncio.Protocol:
        """Return the protocol for one connection, which another listener may have accepted."""
        return _CallerConnection(self)

    def stop(self) -> None:
        """Shut down gracefully: stop listening, close idle connections, and the others after their response."""
        self.stopping = True
        if self._server:
            self._server.close()
        for caller in list(self.callers):
            caller.close_if_idle()
