"""One connection of a client: requests in order, answers, limits and time-outs."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Protocol

from otterreach.runtime.configuration import Caps
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.log import log
from otterreach.sidecar import http1
from otterreach.sidecar.budgeted_connection import OVERLOAD_RETRY_AFTER_S, BudgetedConnection
from otterreach.sidecar.connection_limit import make_room
from otterreach.sidecar.memory_budget import MemoryBudget
from otterreach.sidecar.read_ahead import ReadAhead, ReceivedRequest
from otterreach.sidecar.transport import RECEIVE_BUFFER_BYTES

MAX_READ_AHEAD_BYTES = 64 * 1024  # bodies read ahead on one connection while a request runs
LINGER_S = 1.0  # time for the client to read an error answer before the connection is closed
UNREAD_TIMEOUT_S = 10.0  # time after which an answer that the client does not read is aborted
MAX_UNREAD_BYTES = 8 * 1024 * 1024  # buffered bytes at which a streamed answer is aborted
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


class ClientHost(Protocol):
    """What a connection needs of its listener."""

    handler: Handler
    budget: MemoryBudget
    max_connections: int
    clients: set[Client]
    shutting_down: bool
    answers: Counter[int]
    answer_times: Histogram

    def caps(self) -> Caps:
        """Return the limits for clients in force."""

    @property
    def keep_alive(self) -> bytes:
        """The Keep-Alive header of answers."""


class Client(BudgetedConnection):
    """One connection of a client. It is read continuously, because end of file is how a client disconnects.

    The class has more than 20 methods because asyncio's callbacks, answers and time-outs all act on the state of the
    one connection.
    """

    def __init__(self, ingress: ClientHost) -> None:
        caps = ingress.caps()
        bounds = http1.Bounds(
            caps.body_bytes,
            caps.header_bytes,
            SINGLE_VALUE_HEADERS,
            True,
            int(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        )
        queue = ReadAhead(MAX_READ_AHEAD_BYTES, RECEIVE_BUFFER_BYTES)
        super().__init__(http1.RequestParser(bounds=bounds), queue, ingress.budget)
        self._ingress = ingress
        self._task: asyncio.Task[None] | None = None
        self._closing = False  # no further input is processed
        self._is_streaming = False  # a chunked answer has begun and not ended
        self._request: http1.Request | None = None
        self._loop = asyncio.get_running_loop()
        self._last_activity_at = self._loop.time()  # time of the last received byte or completed answer
        self._first_byte_at = self._last_activity_at  # first byte of the request being read
        self._unread_since = 0.0
        self._extra_bytes = 0  # copies of the body of the request being handled
        self.first_byte_at = 0.0  # first byte of the request being handled
        self.received_at = 0.0  # last byte of the request being handled

    @property
    def is_closed(self) -> bool:
        """True if nothing can be sent to the client any more."""
        return self._closing or self._transport is None or self._transport.is_closing()

    def has_disconnected(self) -> bool:
        """Return True if the client has disconnected, even if its end of file has not been read yet.

        After a pause of this process the end of file may still be in the kernel behind the request; a check of the
        transport alone would let the request be forwarded.
        """
        return self.is_closed or self.closed_by_peer

    @property
    def has_pending_answer(self) -> bool:
        """True if a request is being handled or queued, or part of an answer is unsent."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return self._task is not None or bool(self._queue) or unsent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the ingress."""
        super().connection_made(transport)
        self._ingress.clients.add(self)
        make_room(self._ingress.clients, self, self._ingress.max_connections)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request being handled and drop the queued ones."""
        self._closing = True
        self._ingress.clients.discard(self)
        self._request = None
        self._release()
        if self._task:
            self._task.cancel()

    # Limits --------------------------------------------------------------------------------------

    @property
    def is_evictable(self) -> bool:
        """True if the connection can be closed in favour of a new one."""
        return not self.is_closed and not self.has_pending_answer and not self.has_unread_data

    @property
    def quiet_since(self) -> float:
        """Time of the last received byte or completed answer."""
        return self._last_activity_at

    def _handled_size(self) -> int:
        """Return the size of the body being handled, with its copies."""
        return len(self._request.body) + self._extra_bytes if self._request else 0

    def _answer_refusal(self) -> None:
        """Answer the parser's error, unless answers to earlier requests come first."""
        if not self._task and not self._queue:
            self._reject(int(self._parser.error))

    def hold_copies(self, copies: int) -> bool:
        """Account further copies of the body of the request being handled; return False if they don't fit."""
        assert self._request is not None
        self._extra_bytes = copies * len(self._request.body)
        if self._update_reservation():
            return True
        self._extra_bytes = 0
        self._update_reservation()
        return False

    # Requests ------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and queue complete requests."""
        if self._closing or self._parser.error:
            return
        now = self._loop.time()
        self._last_activity_at = now
        if not self._parser.has_partial_request:
            self._first_byte_at = now
        for request in self._parser.feed(data):
            self._queue.append(ReceivedRequest(request, self._first_byte_at, now))
            self._first_byte_at = now
        if not self._task:
            self._start_next()
        if self._transport and not self._closing:
            self._queue.update_reading(self._transport)
        self._account_received()

    def _start_next(self) -> None:
        """Handle the next request that has been read, in order."""
        if self._closing or self._transport is None:
            return
        if not self._queue:
            self._last_activity_at = self._loop.time()
            if self._parser.error:
                self._reject(int(self._parser.error))
            else:
                self._send_continue()
            return
        received = self._queue.pop_oldest()
        self._request = received.request
        self.first_byte_at = received.first_byte_at
        self.received_at = received.received_at
        self._queue.update_reading(self._transport)
        self._task = self._loop.create_task(self._handle_request(self._request))

    def _send_continue(self) -> None:
        """Send 100 Continue to a client that waits for it, but only after the answers to its earlier requests."""
        if self._parser.expects_continue and self._transport:
            self._parser.expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _handle_request(self, request: http1.Request) -> None:
        try:
            await self._ingress.handler(request, self)
        except Exception as error:  # an error in one request ends that request, not the process
            log("request_failed", level="ERROR", target=request.target.decode("latin-1"), error=repr(error))
            if not self.is_closed and self._request is request:
                # It is unknown whether the request ran, so the status must not claim that it did not.
                self.abort() if self._is_streaming else self.respond(int(HTTPStatus.BAD_GATEWAY))
        finally:
            self._task = None
            self._extra_bytes = 0
            self._update_reservation()
        if self._request is request and not self.is_closed:
            self.abort()  # the handler sent no answer
            return
        self._start_next()

    def _finish(self) -> None:
        """Complete the current answer; close the connection if it is not kept alive."""
        keep = self._request is not None and self._request.keep_alive
        self._request = None
        self._ingress.answer_times.observe(self._loop.time() - self.received_at)
        if self._transport and (not keep or self._ingress.shutting_down and not self._queue):
            self._closing = True
            self._transport.close()

    def _connection_header(self) -> bytes:
        """Return the header that announces whether the connection is kept alive."""
        keep = self._request is not None and self._request.keep_alive
        if not keep or self._ingress.shutting_down and not self._queue:
            return b"Connection: close\r\n"
        return self._ingress.keep_alive

    def _head(self, status: int, headers: dict[bytes, bytes]) -> bytes:
        phrase = http1.PHRASES.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %s" % (status, phrase)]
        lines += [name + b": " + value for name, value in headers.items() if name not in CONNECTION_HEADERS]
        return b"\r\n".join(lines) + b"\r\n" + self._connection_header()

    def respond(self, status: int, headers: dict[bytes, bytes] | None = None, body: bytes = b"") -> None:
        """Send a complete answer."""
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
        """Respond 503: the request has not run and never will."""
        self.respond(int(HTTPStatus.SERVICE_UNAVAILABLE), {b"Retry-After": b"%.3f" % retry_after_s})

    def begin(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Send the head of a chunked answer."""
        if not self.is_closed and self._transport:
            self._is_streaming = True
            self._ingress.answers[status] += 1
            self._transport.write(self._head(status, headers) + b"Transfer-Encoding: chunked\r\n\r\n")

    def write(self, data: bytes) -> None:
        """Send a chunk of the body; abort if the client is too far behind in reading."""
        if self.is_closed or not self._transport or not data:
            return
        self._transport.write(b"%x\r\n%s\r\n" % (len(data), data))
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.abort()

    def end(self) -> None:
        """Send the end of a chunked answer."""
        if not self.is_closed and self._transport:
            self._is_streaming = False
            self._transport.write(b"0\r\n\r\n")
            self._finish()

    def abort(self) -> None:
        """Abort the connection, so that an unfinished answer does not look complete."""
        self._closing = True
        self._request = None
        if self._transport:
            self._transport.abort()

    def _reject(self, status: int) -> None:
        """Send an error answer and close the connection.

        Closing a connection with unread input resets it, and the client would not get to read the answer. So only the
        sending side is closed first, and the connection is aborted after LINGER_S.
        """
        self._queue.clear()
        if self._transport and not self._closing:
            retry_after_s = OVERLOAD_RETRY_AFTER_S if status == HTTPStatus.SERVICE_UNAVAILABLE else 0.0
            self._transport.write(http1.encode_response(status, retry_after_s=retry_after_s, close=True))
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._loop.call_later(LINGER_S, self.abort)
        self._closing = True
        self._parser.refuse(status)
        self._update_reservation()

    def sweep(self, now: float, caps: Caps) -> None:
        """Enforce the time limits of the connection."""
        if self._transport is None:
            return
        self._update_reservation()
        if not self._transport.get_write_buffer_size():
            self._unread_since = now
        elif now - self._unread_since > UNREAD_TIMEOUT_S:
            self.abort()  # a connection that closes once all is sent would otherwise stay for ever
            return
        if self._closing:
            return
        # While reading is paused, the event loop does not report end of file.
        if self._queue.is_paused and self.closed_by_peer:
            self.abort()
            return
        if self._task or self._queue:
            return
        if not self._has_timed_out(now, caps) or self.has_unread_data:
            return
        if self._parser.has_partial_request:
            self._reject(int(HTTPStatus.REQUEST_TIMEOUT))
        else:
            self.close_if_idle()

    def _has_timed_out(self, now: float, caps: Caps) -> bool:
        """Return True if the connection has exceeded a time limit.

        A head has to be complete within header_s; a body only has to make progress.
        """
        if self._parser.in_head:
            return now - self._first_byte_at > caps.header_s
        return now - self._last_activity_at > (
            caps.header_s + caps.idle_s if self._parser.has_partial_request else caps.idle_s
        )

    def close_if_idle(self) -> None:
        """Close an idle connection, unless unread input, which may be a request, is in the kernel."""
        if (
            not self.has_pending_answer
            and not self._parser.has_partial_request
            and self._transport
            and not self.has_unread_data
        ):
            self._closing = True
            self._transport.close()

    def shut_down(self, late: bool) -> None:
        """Close an idle connection at shutdown; if `late`, also reject a request that is still incomplete."""
        if self._parser.has_partial_request and late and not self.has_pending_answer and not self._closing:
            self._reject(int(HTTPStatus.SERVICE_UNAVAILABLE))
        else:
            self.close_if_idle()
