"""The clients' side: connections in, whole requests to a handler, answers out in order."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from otterreach.runtime.configuration import Caps
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.log import log
from otterreach.sidecar import http1
from otterreach.sidecar.transport import AcceptedConnection

BACKLOG = 1024
MAX_PIPELINED = 8  # requests read ahead on one connection
SWEEP_INTERVAL_S = 0.25
LINGER_S = 1.0  # after an error: for its client to read why
UNREAD_TIMEOUT_S = 10.0  # an answer that its client does not read
MAX_UNREAD_BYTES = 8 * 1024 * 1024  # of a stream
SINGLE_VALUE_HEADERS = frozenset(
    (b"content-length", b"transfer-encoding", b"host", b"request-id", b"deadline-ms", b"last-event-id")
)
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"te",
        b"trailer",
        b"upgrade",
        b"content-length",
    )
)
Handler = Callable[[http1.Request, "Client"], Awaitable[None]]


class Client(AcceptedConnection):
    """One connection of a client. It is read all the time: its end is how a client goes away.

    More than 20 methods: asyncio's callbacks, answers and time-outs all act on the state of the one connection.
    """

    def __init__(self, ingress: Ingress) -> None:
        super().__init__()
        self._ingress = ingress
        caps = ingress.caps()
        bounds = http1.Bounds(
            caps.body_bytes,
            caps.header_bytes,
            SINGLE_VALUE_HEADERS,
            True,
            int(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        )
        self._parser = http1.RequestParser(bounds=bounds)
        self._queue: deque[tuple[http1.Request, float, float]] = deque()  # with when it began to come, and when whole
        self._task: asyncio.Task[None] | None = None
        self._closing = False  # nothing more is read
        self._paused = False  # nothing is read for now
        self._open = False  # an answer has begun and not ended
        self._request: http1.Request | None = None
        self._loop = asyncio.get_running_loop()
        self._quiet_since = self._loop.time()  # when bytes last came, or the last answer was out
        self._begun_at = self._quiet_since  # when the request that is being read began to come
        self._unread_since = 0.0
        self.begun_at = 0.0  # when the request that is worked on began to come
        self.came_at = 0.0  # when it was whole

    @property
    def is_closed(self) -> bool:
        """Whether nothing can be sent to the client any more."""
        return self._closing or self._transport is None or self._transport.is_closing()

    def has_left(self) -> bool:
        """The client has gone.

        Danger: after a stand-still of this process its end waits in the kernel, behind its request, and what it asked
        would still be sent on.
        """
        return self.is_closed or self.ended

    @property
    def has_pending_answer(self) -> bool:
        """A request is being answered, or an answer is on its way out."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return self._task is not None or bool(self._queue) or unsent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        super().connection_made(transport)
        self._ingress.clients.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone: nothing on it is worked on any more."""
        self._closing = True
        self._ingress.clients.discard(self)
        self._parser.close()
        self._queue.clear()
        if self._task:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        if self._closing or self._parser.error:
            return
        now = self._loop.time()
        self._quiet_since = now
        if not self._parser.partial:
            self._begun_at = now
        for request in self._parser.feed(data):
            self._queue.append((request, self._begun_at, now))
            self._begun_at = now
        if len(self._queue) > MAX_PIPELINED and self._transport:
            self._paused = True
            self._transport.pause_reading()
        if not self._task:
            self._next()

    def _next(self) -> None:
        """Work on what has been read, in order."""
        if self._closing or self._transport is None:
            return
        if not self._queue:
            self._quiet_since = self._loop.time()
            if self._parser.error:
                self._reject(int(self._parser.error))
            else:
                self._announce()
            return
        self._request, self.begun_at, self.came_at = self._queue.popleft()
        if self._paused and len(self._queue) <= MAX_PIPELINED:
            self._paused = False
            self._transport.resume_reading()
        self._task = self._loop.create_task(self._work(self._request))

    def _announce(self) -> None:
        """The client waits to be told to send its body. Danger: not before the answers to what it asked earlier."""
        if self._parser.wants_continue and self._transport:
            self._parser.wants_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _work(self, request: http1.Request) -> None:
        try:
            await self._ingress.handler(request, self)
        except Exception as error:  # a fault in one request ends that request, not the process
            log("request_failed", level="ERROR", target=request.target.decode("latin-1"), error=repr(error))
            if not self.is_closed and self._request is request:
                # Danger: nobody knows here whether it ran, so this is no status that promises.
                self.abort() if self._open else self.respond(int(HTTPStatus.BAD_GATEWAY))
        finally:
            self._task = None
        if self._request is request and not self.is_closed:
            self.abort()  # the handler gave no answer
            return
        self._next()

    def _finish(self) -> None:
        """The answer is out."""
        keep = self._request is not None and self._request.keep_alive
        self._request = None
        self._ingress.answer_times.observe(self._loop.time() - self.came_at)
        if self._transport and (not keep or self._ingress.shutting_down and not self._queue):
            self._closing = True
            self._transport.close()

    def _ending(self) -> bytes:
        """What the head says of the connection."""
        keep = self._request is not None and self._request.keep_alive
        if not keep or self._ingress.shutting_down and not self._queue:
            return b"Connection: close\r\n"
        return self._ingress.keep_alive

    def _head(self, status: int, headers: dict[bytes, bytes]) -> bytes:
        phrase = http1.PHRASES.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %s" % (status, phrase)]
        lines += [name + b": " + value for name, value in headers.items() if name not in CONNECTION_HEADERS]
        return b"\r\n".join(lines) + b"\r\n" + self._ending()

    def respond(self, status: int, headers: dict[bytes, bytes] | None = None, body: bytes = b"") -> None:
        """The whole answer."""
        if self.is_closed or not self._transport or self._request is None:
            return
        bodiless = status in http1.BODILESS
        length = b"" if bodiless else b"Content-Length: %d\r\n" % len(body)
        if self._request.method == b"HEAD":
            body = b""
        self._ingress.answers[status] += 1
        self._transport.write(self._head(status, headers or {}) + length + b"\r\n" + (b"" if bodiless else body))
        self._finish()

    def respond_unavailable(self, retry_after_s: float) -> None:
        """Not now: the request has not run and never will."""
        self.respond(int(HTTPStatus.SERVICE_UNAVAILABLE), {b"Retry-After": b"%.3f" % retry_after_s})

    def begin(self, status: int, headers: dict[bytes, bytes]) -> None:
        """The head of an answer whose body follows in pieces."""
        if not self.is_closed and self._transport:
            self._open = True
            self._ingress.answers[status] += 1
            self._transport.write(self._head(status, headers) + b"Transfer-Encoding: chunked\r\n\r\n")

    def write(self, data: bytes) -> None:
        """Some bytes of the body."""
        if self.is_closed or not self._transport or not data:
            return
        self._transport.write(b"%x\r\n%s\r\n" % (len(data), data))
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.abort()

    def end(self) -> None:
        """The body is whole."""
        if not self.is_closed and self._transport:
            self._open = False
            self._transport.write(b"0\r\n\r\n")
            self._finish()

    def abort(self) -> None:
        """End the connection in the middle: what was begun must not look complete."""
        self._closing = True
        self._request = None
        if self._transport:
            self._transport.abort()

    def _reject(self, status: int) -> None:
        """An error of the client, and the end of the connection.

        Danger: closing with input unread resets it, and the client never reads the answer. So end our side, and wait
        for the client's end a little.
        """
        self._queue.clear()
        if self._transport and not self._closing:
            self._transport.write(http1.encode_response(status, close=True))
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._loop.call_later(LINGER_S, self.abort)
        self._closing = True

    def sweep(self, now: float, caps: Caps) -> None:
        """Time bounds."""
        if self._transport is None or self._closing:
            return
        if self._paused and self.ended:  # Danger: while reading pauses the loop is not told of the client's end
            self.abort()
            return
        if not self._transport.get_write_buffer_size():
            self._unread_since = now
        elif now - self._unread_since > UNREAD_TIMEOUT_S:
            self.abort()
            return
        if self._task or self._queue:
            return
        if not self._over_time(now, caps) or self.unread:
            return
        if self._parser.partial:
            self._reject(int(HTTPStatus.REQUEST_TIMEOUT))
        else:
            self.close_if_idle()

    def _over_time(self, now: float, caps: Caps) -> bool:
        """Time-outs: a head has to be complete in time, however slowly it comes; a body only has to go on coming."""
        if self._parser.in_head:
            return now - self._begun_at > caps.header_s
        return now - self._quiet_since > (caps.header_s + caps.idle_s if self._parser.partial else caps.idle_s)

    def close_if_idle(self) -> None:
        """Danger: a request may wait in the kernel, and would be lost with its connection."""
        if not self.has_pending_answer and not self._parser.partial and self._transport and not self.unread:
            self._closing = True
            self._transport.close()

    def shut_down(self, late: bool) -> None:
        """The process ends: what rests is closed; late, what has not come whole by now as well."""
        if self._parser.partial and late and not self.has_pending_answer and not self._closing:
            self._reject(int(HTTPStatus.SERVICE_UNAVAILABLE))
        else:
            self.close_if_idle()


class Ingress:
    """The listener for clients."""

    def __init__(self, handler: Handler, caps: Callable[[], Caps]) -> None:
        self.handler = handler
        self.caps = caps
        self.clients: set[Client] = set()
        self.shutting_down = False
        self.answers: Counter[int] = Counter()  # by status
        self.answer_times = Histogram("answer_seconds", "From the whole request to the end of its answer.")
        self._server: asyncio.Server | None = None

    @property
    def keep_alive(self) -> bytes:
        """A little less than what is kept: a client's next request must not cross the end."""
        seconds = int(self.caps().idle_s - 1)
        return b"Keep-Alive: timeout=%d\r\n" % seconds if seconds >= 1 else b""

    async def listen(self, host: str, port: int) -> int:
        """Accept connections; returns the port. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Client(self), host, port, backlog=BACKLOG, reuse_address=True)
        return int(self._server.sockets[0].getsockname()[1])

    async def sweep(self) -> None:
        """Enforce the time limits of connections; for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            caps = self.caps()
            now = loop.time()
            for client in list(self.clients):
                client.sweep(now, caps)

    async def shut_down(self, accept_s: float, within_s: float) -> None:
        """Go on accepting for a while, answer what was taken, end within the time; in seconds from now."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.shutting_down = True
        await asyncio.sleep(accept_s)
        if self._server:
            self._server.close()
        late_at = loop.time() + 1.0
        while self.clients and loop.time() - start < within_s:
            for client in list(self.clients):
                client.shut_down(late=loop.time() > late_at)
            await asyncio.sleep(0.02)
