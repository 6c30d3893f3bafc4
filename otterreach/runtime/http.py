"""A small HTTP/1.1 server for calls with JSON bodies. Its handler routes requests to resources."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from otterreach.runtime.log import log
from otterreach.sidecar import http1
from otterreach.sidecar.budgeted_connection import OVERLOAD_RETRY_AFTER_S, BudgetedConnection
from otterreach.sidecar.connection_limit import make_room
from otterreach.sidecar.memory_budget import MemoryBudget, unlimited
from otterreach.sidecar.read_ahead import ReadAhead, ReceivedRequest
from otterreach.sidecar.transport import RECEIVE_BUFFER_BYTES, listen_tcp

MAX_BODY = 36 * 1024 * 1024
BACKLOG = 256
MAX_CONNECTIONS = 4096  # without settings
MAX_READ_AHEAD_BYTES = 64 * 1024  # bodies read ahead on one connection while a request is handled
OVERLOAD_RETRY_AFTER = ("Retry-After", f"{OVERLOAD_RETRY_AFTER_S:.3f}")
IDLE_TIMEOUT_S = 75.0
UNREAD_TIMEOUT_S = 10.0  # time after which a response that the caller does not read is aborted
LINGER_S = 2.0  # time after an error response in which the client may go on sending before the connection is aborted
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


class _CallerConnection(BudgetedConnection):
    """One connection, whose requests are handled one after the other."""

    def __init__(self, server: JsonServer) -> None:
        queue = ReadAhead(MAX_READ_AHEAD_BYTES, RECEIVE_BUFFER_BYTES)
        super().__init__(http1.RequestParser(server.max_body), queue, server.budget)
        self.server = server
        self._handled_bytes = 0  # of the request being handled: its body and what handling it needs
        self._last_activity_at = 0.0
        self._answer_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False  # true once no further request may be handled

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the open connection and start its idle timer."""
        super().connection_made(transport)
        self.server.callers.add(self)
        self._last_activity_at = asyncio.get_running_loop().time()
        make_room(self.server.callers, self, self.server.max_connections)
        self._start_idle_timer(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the queued requests and stop the timer."""
        self.server.callers.discard(self)
        self._closing = True
        self._release()  # responses to queued requests could not be delivered
        self._stop_timer()

    # Limits --------------------------------------------------------------------------------------

    @property
    def is_evictable(self) -> bool:
        """True if the connection can be closed in favour of a new one."""
        return not self._closing and not self._answer_task and not self._queue and not self.has_unread_data

    @property
    def quiet_since(self) -> float:
        """Time of the last received byte or response."""
        return self._last_activity_at

    def _handled_size(self) -> int:
        """Return the size of the request being handled, with what handling it needs."""
        return self._handled_bytes

    def _answer_refusal(self) -> None:
        """Respond to the refused request after those before it."""
        self._start_answering()

    # Requests ------------------------------------------------------------------------------------

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
        if self._closing or self._parser.error:
            return
        now = asyncio.get_running_loop().time()
        self._last_activity_at = now
        for request in self._parser.feed(data):
            self._queue.append(ReceivedRequest(request, now, now))
        if self._transport:
            self._queue.update_reading(self._transport)
        self._account_received()
        if not self._answer_task:
            self._send_continue()
            self._start_answering()

    def _start_answering(self) -> None:
        """Start handling the queued requests, or respond to a refused one."""
        if not self._answer_task and (self._queue or self._parser.error):
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
            request = self._queue.pop_oldest().request
            if self._transport:
                self._queue.update_reading(self._transport)
            self._respond(request, await self._handle_within_budget(request))
        self._answer_task = None
        if self._closing or self._transport is None or self._transport.is_closing():
            return
        if self._parser.error:
            is_overloaded = self._parser.error == HTTPStatus.SERVICE_UNAVAILABLE
            headers = (OVERLOAD_RETRY_AFTER,) if is_overloaded else ()
            self._transport.write(encode_reply(Reply(int(self._parser.error), headers=headers), True))
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._start_idle_timer(LINGER_S)
        else:
            self._send_continue()
            self._start_idle_timer(IDLE_TIMEOUT_S)

    async def _handle_within_budget(self, request: http1.Request) -> Reply:
        """Handle a request if there is memory for it. Otherwise it has not been handled and never will be."""
        needed_bytes = len(request.body) + self.server.working_size(request.body)
        self._handled_bytes = needed_bytes
        try:
            if self._update_reservation():
                return await self._handle(request)
        finally:
            self._handled_bytes = 0
            self._update_reservation()
        if needed_bytes > self.server.budget.max_single_bytes:
            return Reply(int(HTTPStatus.REQUEST_ENTITY_TOO_LARGE))
        return Reply(int(HTTPStatus.SERVICE_UNAVAILABLE), headers=(OVERLOAD_RETRY_AFTER,))

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
            self._start_idle_timer(UNREAD_TIMEOUT_S)  # without it, a caller that does not read holds the connection
            self._closing = True
            self._queue.clear()
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being handled or queued, or unread bytes may contain one."""
        if not self._answer_task and not self._queue and not self.has_unread_data and self._transport:
            self._transport.close()


class JsonServer:
    """A server that passes each complete request to `handle`."""

    def __init__(
        self,
        handle: Handle,
        budget: MemoryBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
        max_body: int = MAX_BODY,
        working_size: Callable[[bytes], int] = len,
    ) -> None:
        """:param budget: of the memory for callers; by default without a limit

        :param working_size: returns the bytes that handling a body needs in addition to it
        """
        self.handle = handle
        self.budget = budget or unlimited()
        self.max_connections = max_connections
        self.max_body = max_body
        self.working_size = working_size
        self.callers: set[_CallerConnection] = set()
        self.stopping = False
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Accept connections and return the port. Raise OSError if the port can't be bound."""
        self._server = await listen_tcp(self.accept, (host, port), BACKLOG)
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
