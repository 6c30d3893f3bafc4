"""Simulated server with unary responses: no streams, no weights."""

from __future__ import annotations

import asyncio
from collections import deque
from http import HTTPStatus

from otterreach.loadtest.connection import Connection
from otterreach.loadtest.ground_truth import body_of
from otterreach.loadtest.server import Server
from otterreach.sidecar import http1

NO_DEADLINE_S = 60.0


class _Call:
    """A request queued or running at a plain server."""

    def __init__(self, connection: Connection, ident: str, body: bytes, received_at: float, deadline: float) -> None:
        self.connection = connection
        self.ident = ident
        self.body = body
        self.received_at = received_at
        self.deadline = deadline
        self.timer: asyncio.TimerHandle | None = None


class PlainServer(Server):
    """A server with `cap` concurrent requests of about `work_ms` each, and a bounded queue."""

    def reset_state(self) -> None:
        """Start with no running and no queued calls."""
        self.working: set[_Call] = set()
        self.queued: deque[_Call] = deque()

    def load_counts(self) -> tuple[int, int]:
        """Return the numbers of running and queued calls."""
        return len(self.working), len(self.queued)

    def on_call(self, connection: Connection, request: http1.Request) -> None:
        """Start a call, queue it or refuse it."""
        now = self.context.now()
        deadline_ms = connection.header(b"deadline-ms")
        deadline = now + (int(deadline_ms) / 1000 if deadline_ms.isdigit() else NO_DEADLINE_S)
        call = _Call(connection, connection.header(b"request-id"), request.body, now, deadline)
        connection.on_dropped = lambda: self._drop(call)
        if len(self.working) < self.spec.cap:
            self._start(call)
        elif len(self.queued) < self.spec.queue:
            self.queued.append(call)
        else:
            self.refuse(connection, HTTPStatus.SERVICE_UNAVAILABLE)

    def _start(self, call: _Call) -> None:
        self.working.add(call)
        self.record_start(call.ident)
        work_s = self.spec.work_ms / 1000 * self.slow * self.context.random.uniform(0.6, 1.4)
        late = self.context.now() + work_s > call.deadline
        wait_s = max(0.0, call.deadline - self.context.now()) if late else work_s
        call.timer = asyncio.get_running_loop().call_later(wait_s, self._finish, call, late)

    def _finish(self, call: _Call, late: bool) -> None:
        self.working.discard(call)
        if not self.dark and self.state != "down":
            self._answer(call, late)
        self._start_queued()

    def _answer(self, call: _Call, late: bool) -> None:
        if late:
            call.connection.respond(HTTPStatus.GATEWAY_TIMEOUT)
        elif self.draw_failure():
            self.context.ground_truth.failures[call.ident] += 1
            call.connection.respond(HTTPStatus.INTERNAL_SERVER_ERROR)
        else:
            body = body_of(call.ident, call.body)
            call.connection.respond(
                HTTPStatus.OK, (("Reply-Seal", self.seal(call.ident, body, call.received_at)),), body
            )

    def _start_queued(self) -> None:
        while self.queued and len(self.working) < self.spec.cap:
            call = self.queued.popleft()
            if self.context.now() > call.deadline:
                self.refuse(call.connection, HTTPStatus.SERVICE_UNAVAILABLE)
            else:
                self._start(call)

    def _drop(self, call: _Call) -> None:
        if call in self.working:
            self.working.discard(call)
            if call.timer:
                call.timer.cancel()
            self._start_queued()
        elif call in self.queued:
            self.queued.remove(call)
