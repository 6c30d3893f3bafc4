"""Servers on loopback addresses: plain ones and engines, with their registration, their faults and their end."""

from __future__ import annotations

import asyncio
import json
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

from otterreach.loadtest.engine import Ask, End, Engine, Event, Run, Why
from otterreach.loadtest.ledger import Made, Ordered, Ran, Sealed, body_of, event_data
from otterreach.loadtest.plan import Service
from otterreach.loadtest.scene import Scene
from otterreach.runtime.codes import Failure
from otterreach.sidecar import http1

PORT = 8080
TICK_S = 0.01
END_MARGIN_S = 0.3  # a server serves a little longer than drainMs
HEARTBEAT_WITHIN_S = 1.5
SLACK_S = 0.1  # turns of this process' loop take their time
NOT_RUN = (("Not-Run", "1"),)
JSON = (("Content-Type", "application/json"),)
Pairs = tuple[tuple[str, str], ...]


class Connection(asyncio.Protocol):
    """One connection at a server: one request at a time; when it closes, what is on it is dropped."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.request: http1.Request | None = None
        self.dropped: Callable[[], None] | None = None  # called if it closes before the answer is whole
        self._queue: deque[http1.Request] = deque()
        self._parser = http1.RequestParser(bounds=http1.Bounds(body=64 * 1024 * 1024, head=64 * 1024))
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.server.scene.counts["connections"] += 1
        if len(self.server.connections) >= self.server.spec.max_conns:
            transport.abort()
            return
        self.server.connections.add(self)
        if self.server.dark:
            transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self._parser.close()
        dropped, self.dropped = self.dropped, None
        if dropped:
            dropped()

    def data_received(self, data: bytes) -> None:
        self._queue.extend(self._parser.feed(data))
        if self._parser.error:
            self.abort()
        else:
            self._next()

    def _next(self) -> None:
        if self.request is None and self._queue:
            self.request = self._queue.popleft()
            self.server.take(self, self.request)

    def pause(self, on: bool) -> None:
        if self._transport and not self._transport.is_closing():
            (self._transport.pause_reading if on else self._transport.resume_reading)()

    def abort(self) -> None:
        if self._transport:
            self._transport.abort()

    def header(self, name: bytes) -> str:
        assert self.request
        return self.request.headers.get(name, b"").decode("latin-1")

    def _head(self, status: int, headers: Pairs, framing: str) -> bytes:
        pairs = [*headers, *self.server.load()]
        if ident := self.header(b"request-id"):
            pairs.append(("Request-Id", ident))
        lines = [f"HTTP/1.1 {status} {http1.PHRASES[status].decode()}", *(f"{n}: {v}" for n, v in pairs), framing]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def _write(self, data: bytes) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.write(data)

    def respond(self, status: int, headers: Pairs = (), body: bytes = b"") -> None:
        """The whole answer."""
        self._write(self._head(status, headers, f"Content-Length: {len(body)}") + body)
        self._done()

    def begin(self, headers: Pairs) -> None:
        """The head of a stream."""
        self._write(self._head(200, headers, "Transfer-Encoding: chunked"))

    def event(self, text: str) -> None:
        data = text.encode()
        self._write(b"%x\r\n%s\r\n" % (len(data), data))

    def end(self) -> None:
        self._write(b"0\r\n\r\n")
        self._done()

    def _done(self) -> None:
        self.request = self.dropped = None
        self._next()


class Server:
    """What both kinds have in common. Each start is a new incarnation with a new id."""

    def __init__(self, scene: Scene, spec: Service, place: int, ip: str, zone: str) -> None:
        self.scene, self.spec, self.place, self.ip, self.zone = scene, spec, place, ip, zone
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
        return f"{self.spec.name}-{self.place}"

    @property
    def address(self) -> str:
        return f"{self.ip}:{PORT}"

    def _change(self, state: str) -> None:
        """The one function that changes the state."""
        self.state = state

    # Life ----------------------------------------------------------------------------------------

    async def start(self) -> None:
        self.ident = self.scene.ident("i-")
        self.dark, self.slow, self.left_at = False, 1.0, float("inf")
        self.fresh()
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: Connection(self), self.ip, PORT, reuse_address=True)
        self._change("up")
        self._heart = asyncio.ensure_future(self._beat())

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

    async def _beat(self) -> None:
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

    def take(self, connection: Connection, request: http1.Request) -> None:
        """A whole request."""
        expected = connection.header(b"expect-server")
        path = request.target.partition(b"?")[0]
        if expected and expected != self.ident:
            connection.respond(421, (("Server-Id", self.ident),))
        elif path == b"/healthz":
            connection.respond(200 if self.state == "up" else 503, (("Server-Id", self.ident),))
        elif path in (b"/report", b"/order"):
            self.manage(connection, request)
        elif not connection.header(b"request-id"):
            connection.respond(400, NOT_RUN)
        else:
            self.serve(connection, request)

    def manage(self, connection: Connection, request: http1.Request) -> None:
        connection.respond(404)

    def serve(self, connection: Connection, request: http1.Request) -> None:
        """A request with an id."""
        raise NotImplementedError

    def figures(self) -> tuple[int, int]:
        """Running and waiting."""
        return 0, 0

    def load(self) -> Pairs:
        if not self.spec.tells_load:
            return ()
        running, waiting = self.figures()
        return (("Server-Load", f"{running},{waiting},{self.spec.cap}"),)

    def began(self, request_id: str) -> None:
        now = self.scene.now()
        self.scene.ledger.ran.append(Ran(request_id, self.spec.name, now))
        if now > self.left_at + SLACK_S:
            self.scene.ledger.after_leave.append(f"{request_id} reached {self.name} after it had left")

    def turn_away(self, connection: Connection, status: int) -> None:
        self.scene.ledger.turned_away += 1
        more = (("Server-Id", self.ident),) if status == 421 else ()
        connection.respond(status, NOT_RUN + more)

    def seal(self, request_id: str, body: bytes, came_at: float) -> str:
        self._sealed += 1
        stamp = f"{self._sealed:x}.{zlib.crc32(f'{self.ident} {request_id}'.encode()):08x}"
        self.scene.ledger.seals[stamp] = Sealed(request_id, body, came_at)
        return stamp

    def fails(self) -> bool:
        return self.scene.random.random() < self.spec.errors


class _Call:
    """A request at a plain server."""

    def __init__(self, connection: Connection, ident: str, body: bytes, came_at: float, deadline: float) -> None:
        self.connection, self.ident, self.body = connection, ident, body
        self.came_at, self.deadline = came_at, deadline
        self.timer: asyncio.TimerHandle | None = None


class PlainServer(Server):
    """So many requests at a time, each for about its work; a few wait."""

    def fresh(self) -> None:
        self.working: set[_Call] = set()
        self.queued: deque[_Call] = deque()

    def figures(self) -> tuple[int, int]:
        return len(self.working), len(self.queued)

    def serve(self, connection: Connection, request: http1.Request) -> None:
        now = self.scene.now()
        told = connection.header(b"deadline-ms")
        deadline = now + (int(told) / 1000 if told.isdigit() else 60.0)
        call = _Call(connection, connection.header(b"request-id"), request.body, now, deadline)
        connection.dropped = lambda: self._drop(call)
        if len(self.working) < self.spec.cap:
            self._start(call)
        elif len(self.queued) < self.spec.queue:
            self.queued.append(call)
        else:
            self.turn_away(connection, 503)

    def _start(self, call: _Call) -> None:
        self.working.add(call)
        self.began(call.ident)
        work_s = self.spec.work_ms / 1000 * self.slow * self.scene.random.uniform(0.6, 1.4)
        late = self.scene.now() + work_s > call.deadline
        wait_s = max(0.0, call.deadline - self.scene.now()) if late else work_s
        call.timer = asyncio.get_running_loop().call_later(wait_s, self._finish, call, late)

    def _finish(self, call: _Call, late: bool) -> None:
        self.working.discard(call)
        if not self.dark and self.state != "down":
            self._answer(call, late)
        self._go_on()

    def _answer(self, call: _Call, late: bool) -> None:
        if late:
            call.connection.respond(504)
        elif self.fails():
            self.scene.ledger.failures[call.ident] += 1
            call.connection.respond(500)
        else:
            body = body_of(call.ident, call.body)
            call.connection.respond(200, (("Reply-Seal", self.seal(call.ident, body, call.came_at)),), body)

    def _go_on(self) -> None:
        while self.queued and len(self.working) < self.spec.cap:
            call = self.queued.popleft()
            if self.scene.now() > call.deadline:
                self.turn_away(call.connection, 503)
            else:
                self._start(call)

    def _drop(self, call: _Call) -> None:
        if call in self.working:
            self.working.discard(call)
            if call.timer:
                call.timer.cancel()
            self._go_on()
        elif call in self.queued:
            self.queued.remove(call)


class EngineServer(Server):
    """The driver of an engine: its time, and the streams of its runs."""

    _versions: dict[str, int]

    def fresh(self) -> None:
        # After a restart a server has the version it had; a new one has the newest.
        known = getattr(self, "engine", None)
        versions = known.versions if known else {m: self.scene.named(m) for m in self.spec.models}
        self.engine = Engine(self.spec, dict(versions), self.scene.named, bool(self.scene.bounds.get("fenced")))
        self.streams: dict[Run, tuple[Connection, str]] = {}
        self._ticking = False
        self._last = 0.0
        self._runs = 0

    def _set_speed(self, x: float) -> None:
        self.slow = self.engine.slow = x

    def figures(self) -> tuple[int, int]:
        return len(self.engine.running), len(self.engine.waiting)

    def more(self) -> dict[str, Any]:
        report = self.engine.report()
        return {"stage": report["stage"], "models": report["models"]}

    def manage(self, connection: Connection, request: http1.Request) -> None:
        if request.target.startswith(b"/report"):
            connection.respond(200, JSON, json.dumps(self.engine.report()).encode())
            return
        try:
            order = json.loads(request.body)
            status = self.engine.take_order(order)
        except (ValueError, AttributeError):
            order, status = {}, 400
        ordered = Ordered(self.ident, str(order.get("owner")), order.get("fence") or 0, status, self.scene.now())
        self.scene.ledger.orders.append(ordered)
        connection.respond(status)
        self._wake()

    def serve(self, connection: Connection, request: http1.Request) -> None:
        ident = connection.header(b"request-id")
        if is_never(request):
            self.scene.ledger.never.add(ident)
            self.began(ident)
            connection.respond(422)
            return
        if self.fails():
            self.scene.ledger.failures[ident] += 1
            self.began(ident)
            connection.respond(500)
            return
        ask = read_ask(ident, connection.header)
        run = self.engine.submit(ask) if ask else 400
        if isinstance(run, int):
            self.turn_away(connection, run)
            return
        self._runs += 1
        self.streams[run] = (connection, f"{self.ident}.{self._runs}")
        connection.dropped = lambda: self._drop(run)
        self._wake()

    def _drop(self, run: Run) -> None:
        self.streams.pop(run, None)
        self.engine.drop(run)

    def _wake(self) -> None:
        if not self._ticking:
            self._ticking, self._last = True, self.scene.now()
            asyncio.get_running_loop().call_later(TICK_S, self._tick, self.ident)

    def _tick(self, ident: str) -> None:
        if ident != self.ident or self.state == "down":
            return
        now = self.scene.now()
        if not self.dark:
            for outcome in self.engine.tick(min(now - self._last, 0.2)):
                if isinstance(outcome, Event):
                    self._event(outcome)
                else:
                    self._ended(outcome)
        self._last = now
        if self.engine.idle:
            self._ticking = False
        else:
            asyncio.get_running_loop().call_later(TICK_S, self._tick, ident)

    def _event(self, event: Event) -> None:
        if event.run not in self.streams:
            return
        connection, name = self.streams[event.run]
        ask, ledger, now = event.run.ask, self.scene.ledger, self.scene.now()
        if name not in ledger.runs:
            ledger.runs[name] = Made(ask.id, ask.after, self.spec.name)
            self.began(ask.id)
            stamp = self.seal(ask.id, b"", now)
            connection.begin(
                (("Content-Type", "text/event-stream"), ("Reply-Seal", stamp), ("Weight-Versions", str(event.version)))
            )
        ledger.runs[name].last_at = now
        first = f"weight-versions: {event.version}\n" if event.changed else ""
        connection.event(f"{first}id: {event.ident}\ndata: {event_data(ask.id, event.ident, event.version, name)}\n\n")
        if event.last:
            del self.streams[event.run]
            connection.end()

    def _ended(self, end: End) -> None:
        found = self.streams.pop(end.run, None)
        if found is None:
            return
        if end.why is Why.TURNED_AWAY:
            self.turn_away(found[0], 503)
        else:
            found[0].abort()


def is_never(request: http1.Request) -> bool:
    """Whether the request says of itself that it can't be done."""
    return request.body.startswith(b"never")


def read_ask(ident: str, header: Callable[[bytes], str]) -> Ask | None:
    """A request for tokens from its headers; None if they can't be read."""
    try:
        tokens_in, tokens_out = (int(n) for n in header(b"tokens").split(","))
        rows = [row.strip().rpartition(":") for row in header(b"prompt-prefix").split(",") if row.strip()]
        parts = tuple((name, int(tokens)) for name, _, tokens in rows)
        expect = header(b"expect-version")
        return Ask(
            ident,
            header(b"model"),
            tokens_in,
            tokens_out,
            parts,
            int(header(b"priority") or 5),
            int(header(b"last-event-id") or 0),
            int(expect) if expect else None,
        )
    except ValueError:
        return None


def make(scene: Scene, spec: Service, place: int, ip: str, zone: str) -> Server:
    """A server of a service."""
    kind = EngineServer if spec.kind == "engine" else PlainServer
    return kind(scene, spec, place, ip, zone)
