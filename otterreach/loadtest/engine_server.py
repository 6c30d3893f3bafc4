"""A server with an engine: streams of events, reports, orders of weights."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from otterreach.loadtest.connection import Connection
from otterreach.loadtest.engine import Ask, End, Engine, Event, Run, Why
from otterreach.loadtest.ground_truth import Made, Ordered, event_data
from otterreach.loadtest.server import Server
from otterreach.sidecar import http1

TICK_S = 0.01
JSON = (("Content-Type", "application/json"),)


class EngineServer(Server):
    """The driver of an engine: its time, and the streams of its runs."""

    _versions: dict[str, int]

    def fresh(self) -> None:
        """A new engine, with the versions of the former one or the newest."""
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
        """Runs that are running and waiting."""
        return len(self.engine.running), len(self.engine.waiting)

    def more(self) -> dict[str, Any]:
        """What a registration holds besides: stage and models."""
        report = self.engine.report()
        return {"stage": report["stage"], "models": report["models"]}

    def on_management(self, connection: Connection, request: http1.Request) -> None:
        """`/report` and `/order`."""
        if request.target.startswith(b"/report"):
            connection.respond(HTTPStatus.OK, JSON, json.dumps(self.engine.report()).encode())
            return
        try:
            order = json.loads(request.body)
            status = self.engine.take_order(order)
        except (ValueError, AttributeError):
            order = {}
            status = HTTPStatus.BAD_REQUEST
        ordered = Ordered(self.ident, str(order.get("owner")), order.get("fence") or 0, status, self.scene.now())
        self.scene.ground_truth.orders.append(ordered)
        connection.respond(status)
        self._wake()

    def on_call(self, connection: Connection, request: http1.Request) -> None:
        """A request for tokens."""
        ident = connection.header(b"request-id")
        if is_never(request):
            self.scene.ground_truth.never.add(ident)
            self.began(ident)
            connection.respond(HTTPStatus.UNPROCESSABLE_ENTITY)
            return
        if self.fails():
            self.scene.ground_truth.failures[ident] += 1
            self.began(ident)
            connection.respond(HTTPStatus.INTERNAL_SERVER_ERROR)
            return
        ask = read_ask(ident, connection.header)
        run = self.engine.submit(ask) if ask else HTTPStatus.BAD_REQUEST
        if isinstance(run, int):
            self.refuse(connection, run)
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
        ask = event.run.ask
        ground_truth = self.scene.ground_truth
        now = self.scene.now()
        if name not in ground_truth.runs:
            ground_truth.runs[name] = Made(ask.id, ask.after, self.spec.name)
            self.began(ask.id)
            stamp = self.seal(ask.id, b"", now)
            connection.begin(
                (("Content-Type", "text/event-stream"), ("Reply-Seal", stamp), ("Weight-Versions", str(event.version)))
            )
        ground_truth.runs[name].last_at = now
        first = f"weight-versions: {event.version}\n" if event.changed else ""
        connection.event(f"{first}id: {event.ident}\ndata: {event_data(ask.id, event.ident, event.version, name)}\n\n")
        if event.last:
            del self.streams[event.run]
            connection.end()

    def _ended(self, end: End) -> None:
        found = self.streams.pop(end.run, None)
        if found is None:
            return
        if end.why is Why.REFUSED:
            self.refuse(found[0], HTTPStatus.SERVICE_UNAVAILABLE)
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
