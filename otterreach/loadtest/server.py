"""What all servers of the load test have in common: their registration, their faults and their end."""

from __future__ import annotations

import asyncio
import json
import zlib
from http import HTTPStatus
from typing import Any

from otterreach.loadtest.connection import Connection, Pairs
from otterreach.loadtest.ground_truth import Ran, Sealed
from otterreach.loadtest.plan import Service
from otterreach.loadtest.scene import Scene
from otterreach.runtime.codes import Failure
from otterreach.sidecar import http1

PORT = 8080
END_MARGIN_S = 0.3  # a server serves a little longer than drainMs
HEARTBEAT_WITHIN_S = 1.5
SLACK_S = 0.1  # turns of this process' loop take their time
NOT_RUN = (("Not-Run", "1"),)


class Server:
    """A server. Each start is a new incarnation with a new id."""

    def __init__(self, scene: Scene, spec: Service, place: int, ip: str, zone: str) -> None:
        self.scene = scene
        self.spec = spec
        self.place = place
        self.ip = ip
        self.zone = zone
        self.ident = ""
        self.state = "down"  # up, draining, down
        self.dark = False
        self.slow = 1.0
        self.connections: set[Connection] = set()
        self.calls = 0
        self.left_at = float("inf")  # after its end was acknowledged and drainMs are over
        self._sealed = 0
        self._listener: asyncio.Server | None = None
        self._heart: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Its service and its number in it."""
        return f"{self.spec.name}-{self.place}"

    @property
    def address(self) -> str:
        """host:port of its listener."""
        return f"{self.ip}:{PORT}"

    def _change(self, state: str) -> None:
        """The one function that changes the state."""
        self.state = state

    # Start and end ----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """A new incarnation: listen, and register."""
        self.ident = self.scene.ident("i-")
        self.dark = False
        self.slow = 1.0
        self.left_at = float("inf")
        self.fresh()
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: Connection(self), self.ip, PORT, reuse_address=True)
        self._change("up")
        self._heart = asyncio.ensure_future(self._send_heartbeat())

    def fresh(self) -> None:
        """State of a new incarnation."""

    def stop(self) -> None:
        """At once, as in a crash: nobody is told."""
        self._change("down")
        if self._heart:
            self._heart.cancel()
        if self._listener:
            self._listener.close()
        for connection in list(self.connections):
            connection.abort()

    async def crash(self, for_s: float) -> None:
        """End at once, and start again after a time."""
        self.stop()
        await asyncio.sleep(for_s)
        await self.start()

    async def go_dark(self, for_s: float) -> None:
        """It takes bytes and says nothing, to nobody."""
        self._darken(True)
        await asyncio.sleep(for_s)
        self._darken(False)

    def _darken(self, on: bool) -> None:
        self.dark = on
        for connection in self.connections:
            connection.pause(on)

    async def slow_down(self, x: float, for_s: float) -> None:
        """Work at a share of the speed for a time."""
        self._set_speed(x)
        await asyncio.sleep(for_s)
        self._set_speed(1.0)

    def _set_speed(self, x: float) -> None:
        self.slow = x

    async def leave(self) -> None:
        """Planned: says so, serves on, ends."""
        self._change("draining")
        drain_s = self.scene.seconds("drainMs")
        acked = await self._register(within_s=4.0)
        if acked:
            self.left_at = self.scene.now() + drain_s
        await asyncio.sleep(drain_s + END_MARGIN_S)
        await self.scene.ctl.call("DELETE", f"/servers/{self.ident}", within_s=2.0)
        self.stop()

    async def _send_heartbeat(self) -> None:
        while True:
            if not self.dark:
                await self._register(HEARTBEAT_WITHIN_S)
            await asyncio.sleep(self.scene.plan.heartbeat_ms / 1000 * self.scene.random.uniform(0.9, 1.1))

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
            **self.more(),
        }
        answer = await self.scene.ctl.call(
            "PUT", f"/servers/{self.ident}", json.dumps(row).encode(), {b"Content-Type": b"application/json"}, within_s
        )
        return not isinstance(answer, Failure) and 200 <= answer.status < 300

    def more(self) -> dict[str, Any]:
        """What a registration holds besides."""
        return {}

    # Requests ------------------------------------------------------------------------------------

    def on_request(self, connection: Connection, request: http1.Request) -> None:
        """A whole request."""
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
        """`/report` and `/order`, which only engines have."""
        connection.respond(HTTPStatus.NOT_FOUND)

    def on_call(self, connection: Connection, request: http1.Request) -> None:
        """A request with an id."""
        raise NotImplementedError

    def figures(self) -> tuple[int, int]:
        """Running and waiting."""
        return 0, 0

    def load(self) -> Pairs:
        """The `Server-Load` header, where the service has it."""
        if not self.spec.tells_load:
            return ()
        running, waiting = self.figures()
        return (("Server-Load", f"{running},{waiting},{self.spec.cap}"),)

    def began(self, request_id: str) -> None:
        """Record that a request runs."""
        now = self.scene.now()
        self.scene.ground_truth.ran.append(Ran(request_id, self.spec.name, now))
        if now > self.left_at + SLACK_S:
            self.scene.ground_truth.after_leave.append(f"{request_id} reached {self.name} after it had left")

    def refuse(self, connection: Connection, status: int) -> None:
        """Refuse a request that has not run."""
        self.scene.ground_truth.refused_count += 1
        more = (("Server-Id", self.ident),) if status == HTTPStatus.MISDIRECTED_REQUEST else ()
        connection.respond(status, NOT_RUN + more)

    def seal(self, request_id: str, body: bytes, came_at: float) -> str:
        """A new seal of an answer, recorded with what it seals."""
        self._sealed += 1
        stamp = f"{self._sealed:x}.{zlib.crc32(f'{self.ident} {request_id}'.encode()):08x}"
        self.scene.ground_truth.seals[stamp] = Sealed(request_id, body, came_at)
        return stamp

    def fails(self) -> bool:
        """Whether this call is to fail, by the service's share of errors."""
        return self.scene.random.random() < self.spec.errors
