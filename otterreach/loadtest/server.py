"""Base class of the simulated servers: registration, fault injection and shutdown."""

from __future__ import annotations

import asyncio
import json
import zlib
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar

from otterreach.loadtest.connection import Connection, HeaderPairs
from otterreach.loadtest.ground_truth import RunRecord, SealRecord
from otterreach.loadtest.plan import Service
from otterreach.loadtest.play_context import PlayContext
from otterreach.runtime.codes import Failure
from otterreach.sidecar import http1

PORT = 8080
END_MARGIN_S = 0.3  # a draining server serves a little longer than drainMs
HEARTBEAT_WITHIN_S = 1.5
SLACK_S = 0.1  # tolerance for delays of this process's event loop
NOT_RUN = (("Not-Run", "1"),)
T = TypeVar("T")


async def _set_for(seconds: float, set_value: Callable[[T], None], value: T, normal: T) -> None:
    """Set a value, and set it back to normal after a time."""
    set_value(value)
    await asyncio.sleep(seconds)
    set_value(normal)


class Server:
    """A simulated server. Each start is a new incarnation with a new id."""

    def __init__(self, context: PlayContext, spec: Service, index: int, ip: str, zone: str) -> None:
        self.context = context
        self.spec = spec
        self.index = index
        self.ip = ip
        self.zone = zone
        self.ident = ""
        self.state = "down"  # up, draining, down
        self.dark = False
        self.slow = 1.0
        self.repeat_share = 0.0  # of the answers, of which a copy is sent late
        self.connections: set[Connection] = set()
        self.calls = 0
        self.drained_at = float("inf")  # end of the acknowledged drain period; later requests are faults
        self._sealed = 0
        self._listener: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Service name and index of the server."""
        return f"{self.spec.name}-{self.index}"

    @property
    def address(self) -> str:
        """host:port of the listener."""
        return f"{self.ip}:{PORT}"

    def _set_state(self, state: str) -> None:
        """Change the state; all changes pass through here."""
        self.state = state

    # Start and end ----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start a new incarnation: listen, and register periodically."""
        self.ident = self.context.ident("i-")
        self.dark = False
        self.slow = 1.0
        self.repeat_share = 0.0
        self.drained_at = float("inf")
        self.reset_state()
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: Connection(self), self.ip, PORT, reuse_address=True)
        self._set_state("up")
        self._heartbeat_task = asyncio.ensure_future(self._send_heartbeat())

    def reset_state(self) -> None:
        """Initialize the state of a new incarnation."""

    def stop(self) -> None:
        """Stop at once, as in a crash: connections are reset, and the system is not notified."""
        self._set_state("down")
        if self._heartbeat_task:
            self._heartbeat_task.cancel()
        if self._listener:
            self._listener.close()
        for connection in list(self.connections):
            connection.abort()

    async def crash(self, for_s: float) -> None:
        """Stop at once and start again after `for_s`."""
        self.stop()
        await asyncio.sleep(for_s)
        await self.start()

    async def go_dark(self, for_s: float) -> None:
        """Stop responding for `for_s`: connections stay open, but nothing is read, answered or registered."""
        await _set_for(for_s, self._set_dark, True, False)

    def _set_dark(self, on: bool) -> None:
        self.dark = on
        for connection in self.connections:
            connection.pause(on)

    async def slow_down(self, factor: float, for_s: float) -> None:
        """Multiply the work time by a factor for `for_s`."""
        await _set_for(for_s, self._set_speed, factor, 1.0)

    def _set_speed(self, factor: float) -> None:
        self.slow = factor

    async def repeat_answers(self, share: float, for_s: float) -> None:
        """Repeat this share of the answers for `for_s`: each copy is sent when the next request has arrived."""
        await _set_for(for_s, self._set_repeat_share, share, 0.0)

    def _set_repeat_share(self, share: float) -> None:
        self.repeat_share = share

    async def shut_down_gracefully(self) -> None:
        """Shut down gracefully: announce `draining`, keep serving for drainMs, deregister and stop."""
        self._set_state("draining")
        drain_s = self.context.seconds("drainMs")
        acked = await self._register(within_s=4.0)
        if acked:
            self.drained_at = self.context.now() + drain_s
        await asyncio.sleep(drain_s + END_MARGIN_S)
        await self.context.ctl.call("DELETE", f"/servers/{self.ident}", within_s=2.0)
        self.stop()

    async def _send_heartbeat(self) -> None:
        while True:
            if not self.dark:
                await self._register(HEARTBEAT_WITHIN_S)
            await asyncio.sleep(self.context.plan.heartbeat_ms / 1000 * self.context.random.uniform(0.9, 1.1))

    async def _register(self, within_s: float) -> bool:
        self.calls += 1
        row = {
            "backend": self.spec.name,
            "addr": self.address,
            "az": self.zone,
            "gen": "v1",
            "cap": self.spec.cap,
            "state": self.state,
            "warmLeftMs": 0,
            "calls": self.calls,
            **self.registration_fields(),
        }
        answer = await self.context.ctl.call(
            "PUT", f"/servers/{self.ident}", json.dumps(row).encode(), {b"Content-Type": b"application/json"}, within_s
        )
        return not isinstance(answer, Failure) and 200 <= answer.status < 300

    def registration_fields(self) -> dict[str, Any]:
        """Return additional fields of the registration."""
        return {}

    # Requests ------------------------------------------------------------------------------------

    def on_request(self, connection: Connection, request: http1.Request) -> None:
        """Dispatch a complete request."""
        expected = connection.header(b"expect-server")
        path = request.target.partition(b"?")[0]
        if expected and expected != self.ident:
            connection.respond(HTTPStatus.MISDIRECTED_REQUEST, (("Server-Id", self.ident),))
        elif path == b"/healthz":
            connection.respond(
                HTTPStatus.OK if self.state == "up" else HTTPStatus.SERVICE_UNAVAILABLE, (("Server-Id", self.ident),)
            )
        elif path in (b"/report", b"/order"):
            self.on_management(connection, request)
        elif not connection.header(b"request-id"):
            connection.respond(HTTPStatus.BAD_REQUEST, NOT_RUN)
        else:
            self.on_call(connection, request)

    def on_management(self, connection: Connection, request: http1.Request) -> None:
        """Answer `/report` and `/order`, which only engines support."""
        connection.respond(HTTPStatus.NOT_FOUND)

    def on_call(self, connection: Connection, request: http1.Request) -> None:
        """Handle a request with an id."""
        raise NotImplementedError

    def load_counts(self) -> tuple[int, int]:
        """Return the numbers of running and waiting requests."""
        return 0, 0

    def load(self) -> HeaderPairs:
        """Return the `Server-Load` header if the service reports its load."""
        if not self.spec.tells_load:
            return ()
        running, waiting = self.load_counts()
        return (("Server-Load", f"{running},{waiting},{self.spec.cap}"),)

    def record_start(self, request_id: str) -> None:
        """Record that a request has started to run."""
        now = self.context.now()
        self.context.ground_truth.ran.append(RunRecord(request_id, self.spec.name, now))
        if now > self.drained_at + SLACK_S:
            self.context.ground_truth.after_drain.append(f"{request_id} reached {self.name} after its drain period")

    def refuse(self, connection: Connection, status: int) -> None:
        """Refuse a request and mark it as not run."""
        self.context.ground_truth.refused_count += 1
        more = (("Server-Id", self.ident),) if status == HTTPStatus.MISDIRECTED_REQUEST else ()
        connection.respond(status, NOT_RUN + more)

    def seal(self, request_id: str, body: bytes, received_at: float) -> str:
        """Return a new seal for a response, recorded with the sealed request and body."""
        self._sealed += 1
        stamp = f"{self._sealed:x}.{zlib.crc32(f'{self.ident} {request_id}'.encode()):08x}"
        self.context.ground_truth.seals[stamp] = SealRecord(request_id, body, received_at)
        return stamp

    def draw_failure(self) -> bool:
        """Decide at random whether a call fails, with the service's error rate."""
        return self.context.random.random() < self.spec.errors
