"""One attempt at one server, from the connection to the last byte of the answer.

Its outcome never says 'not run' of what may have run. Nothing here sends anything twice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus

from otterreach.proxy.pools import IDLE_MARGIN_S, Connection, Pool
from otterreach.sidecar import http1

FORGOTTEN_CONNECTION_S = 0.05  # a kept connection that ends so soon after a request, unanswered, had been forgotten
Headers = dict[bytes, bytes]
# Headers that concern one connection, and those that are written anew for each attempt or answer.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
PROXY_HEADERS = frozenset((b"deadline-ms", b"expect-server"))
SINGLE_VALUE_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"request-id", b"reply-seal"))
BOUNDS = http1.Bounds(body=64 * 1024 * 1024, head=64 * 1024, single=SINGLE_VALUE_HEADERS, joins=True)


class Execution(Enum):
    """Whether the server has executed the request."""

    ANSWERED = auto()  # the server's whole answer
    NOT_EXECUTED = auto()  # the server has not run the request, and will not
    MAY_HAVE_EXECUTED = auto()


@dataclass(slots=True)
class Outcome:
    """What came of an attempt. `status` and `headers` also stand where the answer broke off after its head."""

    execution: Execution
    reason: str = ""
    status: int = 0
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    sent: bool = False  # it was written, whole or in part, to a server
    timed_out: bool = False
    took_s: float = 0.0  # from the write to the end

    @property
    def success(self) -> bool:
        """Whether it is a complete answer with a 2xx status."""
        return self.execution is Execution.ANSWERED and 200 <= self.status < 300


@dataclass(slots=True)
class Outbound:
    """A request as it goes to servers; the same for each attempt but for what `encode` is given."""

    method: bytes
    target: bytes
    headers: Headers  # without those of HOP and OWN
    body: bytes
    request_id: bytes

    def encode(self, server: str, left_s: float, extra: Headers) -> bytes:
        """The bytes of an attempt. `left_s`: the deadline announced to the server; `extra`: headers of this attempt."""
        lines = [self.method + b" " + self.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in self.headers.items() if name not in extra]
        lines += [name + b": " + value for name, value in extra.items()]
        lines.append(b"Expect-Server: " + server.encode())
        lines.append(b"Deadline-Ms: %d" % max(1, int(left_s * 1000)))
        if self.body or self.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d" % len(self.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.body


def end_to_end_headers(headers: Headers, without: frozenset[bytes] = HOP_BY_HOP_HEADERS | PROXY_HEADERS) -> Headers:
    """A client's headers for a server: all but those of one connection, and those that Connection names."""
    named = {name.strip().lower() for name in headers.get(b"connection", b"").split(b",")}
    return {name: value for name, value in headers.items() if name not in without and name not in named}


class Exchange:
    """An attempt. `wanted` is asked right before the write: whatever has changed meanwhile decides there."""

    def __init__(
        self,
        pool: Pool,
        server: str,
        outbound: Outbound,
        deadline: float,
        wanted: Callable[[], bool],
        extra: Headers | None = None,
        on_head: Callable[[int, Headers], None] | None = None,
        on_body: Callable[[bytes], None] | None = None,
        fresh_only: bool = False,
        announced_time_s: float | None = None,
    ) -> None:
        self.pool = pool
        self.server = server
        self.outbound = outbound
        self.deadline = deadline
        self.wanted = wanted
        self.extra = extra or {}
        self.fresh_only = fresh_only
        self.loop = pool.loop
        self.started = self.loop.time()
        self.last_received_at = self.started  # when a byte last came
        self.sent_at = 0.0
        self._announced_deadline = (
            deadline if announced_time_s is None else self.started + announced_time_s
        )  # the deadline announced to the server
        self._on_head = on_head
        self._on_body = on_body
        self._body_chunks: list[bytes] = []
        self._status = 0
        self._headers: Headers = {}
        self._is_foreign = False
        self._connection: Connection | None = None
        self._parser: http1.ResponseParser | None = None
        self._done: asyncio.Future[Outcome] = self.loop.create_future()

    @property
    def is_done(self) -> bool:
        """Whether there is an outcome."""
        return self._done.done()

    async def run(self) -> Outcome:
        """The attempt, to its end. Cancelled, it takes its connection with it."""
        try:
            return await self._run()
        finally:
            self._done.cancel()  # of no effect on an outcome
            self._drop()

    async def _run(self) -> Outcome:
        connection = await self.pool.take(self.deadline - self.loop.time(), self.fresh_only)
        if connection is None:
            return Outcome(Execution.NOT_EXECUTED, "no_connection", timed_out=self.loop.time() >= self.deadline)
        # Danger: in a loop that is behind, or after standing still, all may have changed while connecting.
        left = self._announced_deadline - self.loop.time()
        if self.loop.time() >= self.deadline or left <= 0 or not self.wanted():
            connection.release()
            return Outcome(Execution.NOT_EXECUTED, "unwanted")
        self._connection = connection
        self._parser = http1.ResponseParser(self._body, self._head, BOUNDS, must_frame=True)
        self.sent_at = self.loop.time()
        connection.start(self, self.outbound.encode(self.server, left, self.extra))
        timer = self.loop.call_at(self.deadline, self.give_up, "timeout", True)
        try:
            return await self._done
        finally:
            timer.cancel()

    def give_up(self, reason: str, timed_out: bool = False) -> None:
        """Stop waiting."""
        if self._done.done():
            return
        unwritten = self._connection is not None and self._connection.unwritten
        if not self._connection:
            return
        execution = Execution.NOT_EXECUTED if unwritten else Execution.MAY_HAVE_EXECUTED
        self._end(Outcome(execution, reason, self._status, self._headers, sent=not unwritten, timed_out=timed_out))

    def _drop(self) -> None:
        """Let go of connection and parser; a connection still in use closes with what was on it."""
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
            self._done.set_result(outcome)

    def received(self, data: bytes) -> None:
        """Bytes have come from the server."""
        self.last_received_at = self.loop.time()
        if self._parser is None or self._done.done():
            return
        response = self._parser.feed(data)
        if self._done.done():  # a listener has given up meanwhile
            return
        if self._is_foreign:
            self._fail("foreign_answer")
        elif self._status and self.outbound.method == b"HEAD":  # its length is that of a body that never comes
            self._answered(http1.Response(self._status, self._headers, b"", False))
        elif response:
            self._answered(response)
        elif self._parser.broken:
            self._fail("broken_answer")

    def lost(self, unwritten: bool) -> None:
        """The connection is gone."""
        connection = self._connection
        self._connection = None
        if not self._done.done():
            execution = Execution.NOT_EXECUTED if unwritten else Execution.MAY_HAVE_EXECUTED
            kept = connection is not None and connection.used > 1 and not self._status
            reason = "forgotten" if kept and self.loop.time() - self.sent_at < FORGOTTEN_CONNECTION_S else "closed"
            self._end(Outcome(execution, reason, self._status, self._headers, sent=not unwritten))

    def _fail(self, reason: str) -> None:
        assert self._connection
        unwritten = self._connection.unwritten
        execution = Execution.NOT_EXECUTED if unwritten else Execution.MAY_HAVE_EXECUTED
        self._end(Outcome(execution, reason, self._status, self._headers, sent=True))

    def _head(self, status: int, headers: Headers) -> None:
        """Danger: an extra answer to an earlier request may come in this one's place; the id tells."""
        ident = headers.get(b"request-id")
        first = self._connection is not None and self._connection.used == 1
        if ident != self.outbound.request_id and (ident is not None or not first):
            self._is_foreign = True
            return
        self._status = status
        self._headers = headers
        if self._connection and (seconds := keep_alive_s(headers)) is not None:
            self._connection.max_idle_s = max(seconds - IDLE_MARGIN_S, seconds / 2)
        if self._on_head and b"not-run" not in headers and status != HTTPStatus.MISDIRECTED_REQUEST:
            self._on_head(status, headers)

    def _body(self, data: bytes) -> None:
        if self._is_foreign or self._done.done():
            return
        if self._on_body and 200 <= self._status < 300:
            self._on_body(data)
        else:
            self._body_chunks.append(data)

    def _answered(self, response: http1.Response) -> None:
        connection = self._connection
        assert connection
        body = b"".join(self._body_chunks)
        status = response.status
        headers = response.headers
        not_run = b"not-run" in headers or status == HTTPStatus.MISDIRECTED_REQUEST
        if connection.unwritten and not not_run and b"request-id" not in headers:
            # Danger: a server may answer before it has read a long body, and its answer bears the request's id. One
            # without any is of the connection: it has not got the request.
            self._end(Outcome(Execution.NOT_EXECUTED, "early_answer", sent=True))
            return
        # Danger: a second copy of a failure would pass for the answer to the next attempt, which has the same id.
        reusable = response.keep_alive and not connection.unwritten and (not_run or status < 500)
        if not_run:
            reason = "wrong_server" if status == HTTPStatus.MISDIRECTED_REQUEST else "turned_away"
            self._end(Outcome(Execution.NOT_EXECUTED, reason, status, headers, body, sent=True), reusable)
        elif 200 <= status < 300 and (b"reply-seal" not in headers or b"content-encoding" in headers):
            self._end(Outcome(Execution.MAY_HAVE_EXECUTED, "no_seal", status, headers, sent=True))
        else:
            self._end(Outcome(Execution.ANSWERED, "", status, headers, body, sent=True), reusable)


def keep_alive_s(headers: Headers) -> float | None:
    """The time that Keep-Alive tells, in seconds."""
    for part in headers.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
