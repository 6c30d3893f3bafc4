"""One attempt at one server, from acquiring a connection to the last byte of the answer.

An outcome is NOT_EXECUTED only if the server certainly has not executed the request. An exchange sends its request at
most once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus

from otterreach.proxy.outbound import Headers, Outbound
from otterreach.proxy.pools import Connection, Pool
from otterreach.sidecar import http1
from otterreach.sidecar.keep_alive import max_idle_s

STALE_CONNECTION_S = 0.05  # a reused connection that is lost this soon, unanswered, was stale
SINGLE_VALUE_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"request-id", b"reply-seal"))
BOUNDS = http1.Bounds(
    body=64 * 1024 * 1024, head=64 * 1024, single_value_headers=SINGLE_VALUE_HEADERS, join_repeated=True
)


class Execution(Enum):
    """What an outcome proves about the execution of the request."""

    ANSWERED = auto()  # the server has sent a complete answer
    NOT_EXECUTED = auto()  # the server has not executed the request and never will
    MAY_HAVE_EXECUTED = auto()


@dataclass(slots=True)
class Outcome:
    """The outcome of an attempt. `status` and `headers` are also set if the answer was truncated after its head."""

    execution: Execution
    reason: str = ""
    status: int = 0
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    sent: bool = False  # at least part of the request was written to a server
    timed_out: bool = False
    took_s: float = 0.0  # from writing the request to the outcome
    skipped_answers: int = 0  # answers to other requests that came in place of this request's

    @property
    def success(self) -> bool:
        """True for a complete answer with a 2xx status."""
        return self.execution is Execution.ANSWERED and 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class ExchangeOptions:
    """Options of one attempt.

    :param extra: headers of this attempt; they replace client headers of the same name
    :param on_head: called with the status and the headers of an answer of a server that has run the request
    :param on_body: called with the parts of a 2xx answer's body, which the outcome lacks then
    :param fresh_only: use only a connection that is new or was idle for a short time
    :param announced_time_s: time left, announced to the server; by default until the deadline
    """

    extra: Headers = field(default_factory=dict)
    on_head: Callable[[int, Headers], None] | None = None
    on_body: Callable[[bytes], None] | None = None
    fresh_only: bool = False
    announced_time_s: float | None = None


DEFAULT_OPTIONS = ExchangeOptions()


class Exchange:
    """One attempt at a server.

    `may_write` is called right before the request is written, so that changes during connection setup still prevent it.
    """

    def __init__(
        self,
        pool: Pool,
        server: str,
        outbound: Outbound,
        deadline: float,
        may_write: Callable[[], bool],
        options: ExchangeOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.pool = pool
        self.server = server
        self.outbound = outbound
        self.deadline = deadline
        self.may_write = may_write
        self.options = options
        self.loop = pool.loop
        self.started = self.loop.time()
        self.last_received_at = self.started  # time of the last received byte
        self.sent_at = 0.0
        # The deadline announced to the server.
        announced_s = options.announced_time_s
        self._announced_deadline = deadline if announced_s is None else self.started + announced_s
        self._body_chunks: list[bytes] = []
        self._status = 0
        self._headers: Headers = {}
        self._connection: Connection | None = None
        self._parser: http1.ResponseParser | None = None
        self._done: asyncio.Future[Outcome] = self.loop.create_future()

    @property
    def is_done(self) -> bool:
        """True once there is an outcome."""
        return self._done.done()

    async def run(self) -> Outcome:
        """Run the attempt and return its outcome. Cancellation closes the connection."""
        try:
            return await self._run()
        finally:
            self._done.cancel()  # no effect if there is an outcome
            self._drop()

    async def _run(self) -> Outcome:
        request_id = self.outbound.request_id
        connection = await self.pool.acquire(self.deadline - self.loop.time(), request_id, self.options.fresh_only)
        if connection is None:
            return Outcome(Execution.NOT_EXECUTED, "no_connection", timed_out=self.loop.time() >= self.deadline)
        # While connecting, in a delayed event loop or a paused process, the deadline may have passed, or the request or
        # the server may have become unwanted.
        left = self._announced_deadline - self.loop.time()
        if self.loop.time() >= self.deadline or left <= 0 or not self.may_write():
            connection.release()
            return Outcome(Execution.NOT_EXECUTED, "unwanted")
        self._connection = connection
        self._parser = http1.ResponseParser(
            self._body, self._head, BOUNDS, require_framing=True, is_expected=self._is_expected
        )
        self.sent_at = self.loop.time()
        head = self.outbound.encode_head(self.server, left, self.options.extra)
        connection.start(self, request_id, head, self.outbound.body)
        timer = self.loop.call_at(self.deadline, self.give_up, "timeout", True)
        try:
            return await self._done
        finally:
            timer.cancel()

    def give_up(self, reason: str, timed_out: bool = False) -> None:
        """End the attempt without waiting for the rest of the answer; no effect before a connection is acquired."""
        if self._connection and not self._done.done():
            self._fail(reason, timed_out)

    def _drop(self) -> None:
        """Release the parser and close a connection that is still in use, discarding its unsent data."""
        if self._connection:
            self._connection.discard()
            self._connection = None
        if self._parser:
            self._parser.close()
            self._parser = None

    def _end(self, outcome: Outcome, reusable: bool = False) -> None:
        connection = self._connection
        self._connection = None
        if connection and reusable:
            connection.release()
        elif connection:
            connection.discard()
        if not self._done.done():
            outcome.took_s = self.loop.time() - (self.sent_at or self.started)
            outcome.skipped_answers = self._parser.skipped if self._parser else 0
            self._done.set_result(outcome)

    def on_data(self, data: bytes) -> None:
        """Process bytes from the server."""
        self.last_received_at = self.loop.time()
        if self._parser is None or self._done.done():
            return
        response = self._parser.feed(data)
        if self._done.done():  # a callback has ended the exchange
            return
        if self._status and self.outbound.method == b"HEAD":  # no body follows, whatever Content-Length says
            self._answered(http1.Response(self._status, self._headers, b"", False))
        elif response:
            self._answered(response)
        elif self._parser.broken:
            self._fail("broken_answer")

    def on_connection_lost(self) -> None:
        """End the exchange after the loss of its connection."""
        if self._connection and not self._done.done():
            is_reused = self._connection.use_count > 1 and not self._status
            is_stale = is_reused and self.loop.time() - self.sent_at < STALE_CONNECTION_S
            self._fail("forgotten" if is_stale else "closed")

    def _fail(self, reason: str, timed_out: bool = False) -> None:
        """End the exchange without a complete answer.

        A server may begin before it has read the whole request, so unsent data proves nothing: the request may have
        been executed unless no byte of it was sent.
        """
        assert self._connection
        sent = self._connection.has_sent_data
        execution = Execution.MAY_HAVE_EXECUTED if sent else Execution.NOT_EXECUTED
        self._end(Outcome(execution, reason, self._status, self._headers, sent=sent, timed_out=timed_out))

    def _is_expected(self, headers: Headers) -> bool:
        """Return False for a late copy of the answer to an earlier request of the connection, which is skipped."""
        ident = headers.get(b"request-id")
        if ident is None or ident == self.outbound.request_id or self._connection is None:
            return True
        return not self._connection.has_carried(ident)

    def _head(self, status: int, headers: Headers) -> None:
        """Process the head of an answer that is not a copy of an earlier one.

        An answer without a Request-Id is accepted only on a connection that has carried no other request. Otherwise
        nothing tells whose answer it is, nor whether another one will follow.
        """
        if self._done.done():
            return
        ident = headers.get(b"request-id")
        is_first = self._connection is not None and self._connection.use_count == 1
        if ident != self.outbound.request_id and (ident is not None or not is_first):
            self._fail("foreign_answer")
            return
        self._status = status
        self._headers = headers
        if self._connection:
            self._connection.max_idle_s = max_idle_s(headers, self._connection.max_idle_s)
        if self.options.on_head and b"not-run" not in headers and status != HTTPStatus.MISDIRECTED_REQUEST:
            self.options.on_head(status, headers)

    def _body(self, data: bytes) -> None:
        if self._done.done():
            return
        if self.options.on_body and 200 <= self._status < 300:
            self.options.on_body(data)
        else:
            self._body_chunks.append(data)

    def _answered(self, response: http1.Response) -> None:
        connection = self._connection
        assert connection
        body = b"".join(self._body_chunks)
        status = response.status
        headers = response.headers
        not_run = b"not-run" in headers or status == HTTPStatus.MISDIRECTED_REQUEST
        if connection.has_unsent_data and not not_run and b"request-id" not in headers:
            # A server may answer before it has read a long body; such an answer carries the request's id. An answer
            # without an id concerns the connection, and doesn't tell whether the server has begun.
            self._end(Outcome(Execution.MAY_HAVE_EXECUTED, "early_answer", sent=True))
            return
        reusable = response.keep_alive  # a connection with unsent data is closed at its release
        if not_run:
            reason = "wrong_server" if status == HTTPStatus.MISDIRECTED_REQUEST else "turned_away"
            self._end(Outcome(Execution.NOT_EXECUTED, reason, status, headers, body, sent=True), reusable)
        elif 200 <= status < 300 and (b"reply-seal" not in headers or b"content-encoding" in headers):
            self._end(Outcome(Execution.MAY_HAVE_EXECUTED, "no_seal", status, headers, sent=True))
        else:
            self._end(Outcome(Execution.ANSWERED, "", status, headers, body, sent=True), reusable)
