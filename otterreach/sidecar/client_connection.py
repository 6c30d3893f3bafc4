"""One connection of the application: requests in order, answers, limits and time-outs."""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus
from typing import Protocol

from otterreach.balancer import Settings
from otterreach.sidecar import http1
from otterreach.sidecar.budgeted_connection import OVERLOAD_RETRY_AFTER_S, BudgetedConnection
from otterreach.sidecar.calls import InvalidCallError, parse_call
from otterreach.sidecar.config import Names
from otterreach.sidecar.memory_budget import MemoryBudget
from otterreach.sidecar.read_ahead import ReadAhead, ReceivedRequest
from otterreach.sidecar.sidecar import Answer, Sidecar

MAX_READ_AHEAD_BYTES = 16 * 1024  # bodies read ahead per connection
RECEIVE_BUFFER_BYTES = 16 * 1024  # of the kernel, for each connection
MIN_QUEUE_WAIT_NS = 1_000_000  # shorter waits behind pipelined requests are not subtracted from the request's time
LINGER_S = 1.0  # time for a client to read the reason before its connection is closed
DISCARD_PAUSE_S = 0.004  # between reads of data that is discarded
FIRST_REQUEST_TIMEOUT_S = 2.1  # of a new connection without data
REQUEST_TIMEOUT_S = 2.6  # for the rest of a request: allows for slow clients, and ends hostile ones within 3 s
KEEPALIVE_S = 10.0  # of a connection that is idle after an answer
WRITE_TIMEOUT_S = 10.0  # of an answer that the client doesn't read


class ConnectionHost(Protocol):
    """What a connection needs of its listener."""

    sidecar: Sidecar
    budget: MemoryBudget
    names: Names
    settings: Settings
    stopping: bool
    answer_deadline_ns: int
    open_ids: set[bytes]

    @property
    def over_limit(self) -> bool:
        """True if busy connections exceed their limit."""

    def add(self, connection: ClientConnection, /) -> None:
        """Add a connection that has been set up."""

    def mark_busy(self, connection: ClientConnection, /) -> None:
        """Mark a connection as busy."""

    def mark_idle(self, connection: ClientConnection, /) -> None:
        """Mark a connection as idle."""

    def remove(self, connection: ClientConnection, /) -> None:
        """Remove a connection."""


class ClientConnection(BudgetedConnection):
    """A connection of the application, which is read continuously to detect that the client closes it.

    More than 20 methods: asyncio's callbacks, answers and time-outs all act on the state of the one connection.
    """

    def __init__(self, server: ConnectionHost) -> None:
        queue = ReadAhead(MAX_READ_AHEAD_BYTES, RECEIVE_BUFFER_BYTES)  # with times in monotonic ns
        super().__init__(http1.RequestParser(), queue, server.budget)
        self._server = server
        self._open_bytes = 0  # body of the open request
        self._busy = False
        self._closing = False
        self._keep_alive = True
        self._current = 0  # the sidecar's id of the open request
        self._trace_id = b""  # of the open request
        self.served = False  # a request has been received
        self.idle_since = time.monotonic()  # since when no request is open or being received

    @property
    def idle(self) -> bool:
        """True if no request is open, queued or partly received."""
        return not (self._closing or self._busy or self._queue or self._parser.has_partial_request)

    @property
    def must_stay_open(self) -> bool:
        """True if the connection must stay open: a request is open or queued, or the last answer is being sent."""
        return self._closing or self._busy or bool(self._queue)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection of a client."""
        super().connection_made(transport)
        self._server.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received data, and start the next request if none is open."""
        if self._closing or self._parser.error:
            self._discard_input()
            return
        now = time.monotonic_ns()
        no_partial = not self._parser.has_partial_request
        for request in self._parser.feed(data):
            self._queue.append(ReceivedRequest(request, now, now))
        if no_partial and not self._busy:
            self.idle_since = now / 1e9
        if self._parser.expects_continue and self._transport and not self._busy:
            self._parser.expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._process_queue()
        if self._transport and not self._closing:
            self._queue.update_reading(self._transport)
        self._account_received()

    def _handled_size(self) -> int:
        """Return the size of the body of the open request."""
        return self._open_bytes

    def _answer_refusal(self) -> None:
        """Answer the refused request after those before it."""
        self._process_queue()

    def _discard_input(self) -> None:
        """Discard received data, with a pause: a client sending at full speed after its error would use all CPU."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(DISCARD_PAUSE_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the open request: the client has gone."""
        self._closing = True
        self._server.remove(self)
        self._release()
        self._release_trace_id()
        if self._busy and self._current:
            self._server.sidecar.client_gone(self._current)

    def _process_queue(self) -> None:
        """Process the queued requests in order. A loop, since a request may be answered immediately."""
        while not self._busy and not self._closing:
            if not self._queue:
                if self._parser.error:
                    overloaded = self._parser.error == HTTPStatus.SERVICE_UNAVAILABLE
                    retry_after_s = OVERLOAD_RETRY_AFTER_S if overloaded else 0.0
                    self._reject(Answer(self._parser.error, retry_after_s=retry_after_s))
                return
            received = self._queue.pop_oldest()
            request = received.request
            arrived_ns = int(received.received_at)
            self._open_bytes = len(request.body)
            if self._transport:
                self._queue.update_reading(self._transport)
            self._busy = True
            self._current = 0
            self._keep_alive = request.keep_alive
            self.served = True
            self._server.mark_busy(self)
            self._process(request, arrived_ns)

    def _process(self, request: http1.Request, arrived_ns: int) -> None:
        if request.target.partition(b"?")[0] == b"/healthz":
            self._answer(Answer(200 if self._server.sidecar.ready else 503))
            return
        if self._server.over_limit:
            self._keep_alive = False
            self._answer(Answer(503, b"too many connections\n"))
            return
        try:
            call = parse_call(request, self._server.names, self._server.settings)
            self._take_trace_id(request.headers[b"x-trace-id"])
        except InvalidCallError as error:
            self._reject(Answer(error.status, f"{error}\n".encode()))
            return
        now = time.monotonic_ns()
        waited_ns = now - arrived_ns  # behind pipelined requests of the same connection
        left_ns = call.left_ns - (waited_ns if waited_ns > MIN_QUEUE_WAIT_NS else 0)
        call = call._replace(left_ns=max(0, min(left_ns, self._server.answer_deadline_ns - now)))
        current = self._server.sidecar.submit(call, self._answer_and_continue, self.client_left)
        if self._busy:
            self._current = current

    def _take_trace_id(self, trace_id: bytes) -> None:
        """Register the trace id of a request; an id of another open request is rejected.

        With a shared id, a client could get the other's answer, or an endpoint could execute an effect twice.
        """
        if trace_id in self._server.open_ids:
            raise InvalidCallError(HTTPStatus.CONFLICT, "a request with this X-Trace-Id is open")
        self._trace_id = trace_id
        self._server.open_ids.add(trace_id)

    def _release_trace_id(self) -> None:
        if self._trace_id:
            self._server.open_ids.discard(self._trace_id)
            self._trace_id = b""

    def _answer_and_continue(self, answer: Answer) -> None:
        self._answer(answer)
        self._update_reservation()
        if self._current:  # else _process_queue is still running and called this
            self._current = 0
            self._process_queue()

    def _answer(self, answer: Answer) -> None:
        self._busy = False
        self._open_bytes = 0
        self._release_trace_id()
        if self._closing or not self._transport:
            return
        # Pipelined requests that were already read are accepted, too, and must be answered before the close.
        close = not self._keep_alive or self._server.stopping and not self._queue
        self._transport.write(http1.encode_response(*answer, close))
        if close:
            self._closing = True
            self._transport.close()
        self._server.mark_idle(self)

    def _reject(self, answer: Answer) -> None:
        """Answer with an error and close the connection.

        Closing a socket with unread input resets it, and the client could not read the answer. So only the sending side
        is closed, and the client gets a short time to close its side.
        """
        self._busy = False
        self._closing = True
        self._open_bytes = 0
        self._queue.clear()
        self._parser.refuse(int(answer.status))
        self._server.mark_idle(self)
        if self._transport:
            self._transport.write(http1.encode_response(*answer, True))
            self._transport.write_eof()
        self._update_reservation()

    def check_client(self) -> None:
        """Check for a close by the client, which the event loop doesn't report while reading is paused."""
        if self._transport and not self._transport.is_reading() and self.client_left():
            self.abort()

    def expire(self, now: float) -> None:
        """Apply the time-outs of a connection without an open request.

        Clients that send nothing, stop inside a request, or keep sending after an error would otherwise hold a file
        descriptor indefinitely.
        """
        quiet = now - self.idle_since
        if self._closing or self._has_unread_answer:
            # Slow readers have more time to read the answer.
            if quiet > (WRITE_TIMEOUT_S if self._has_unread_answer else LINGER_S):
                self.abort()
        elif self._parser.has_partial_request:
            if quiet > REQUEST_TIMEOUT_S:
                self._reject(Answer(HTTPStatus.REQUEST_TIMEOUT))
        elif quiet > (KEEPALIVE_S if self.served else FIRST_REQUEST_TIMEOUT_S):
            self.close_if_idle()

    @property
    def _has_unread_answer(self) -> bool:
        """True if part of an answer has not been read by the client."""
        return bool(self._transport and self._transport.get_write_buffer_size())

    def client_left(self) -> bool:
        """Return True if the client has gone.

        While reading is paused, or in a delayed event loop, the client's close waits in the kernel, possibly behind
        more requests. Without this check, its request would still be forwarded.
        """
        return self._closing or self.closed_by_peer

    def abort(self) -> None:
        """Close the connection immediately, with a reset."""
        self._closing = True
        if self._transport:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection if it is idle and no data is unread: a request in the kernel would be lost."""
        if self.idle and self._transport and not self.has_unread_data:
            self._closing = True
            self._transport.close()

    def shut_down(self, late: bool) -> None:
        """Close the connection at shutdown once that is safe.

        Clients retry a request that crosses the close of a kept-alive connection, but not that of a new connection. So
        a new one stays open until its first request is answered.

        :param late: stop waiting for new connections without a request, and for partly received requests
        """
        if self.idle and (self.served or late):
            self.close_if_idle()
        elif late and self._parser.has_partial_request and not self.must_stay_open:
            self._reject(Answer(HTTPStatus.SERVICE_UNAVAILABLE))
