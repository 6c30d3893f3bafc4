"""Simulated inference server: streams of events, reports, and orders to change weights."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from otterreach.loadtest.connection import Connection
from otterreach.loadtest.engine import End, EndReason, Engine, Event, GenerationRequest, Run
from otterreach.loadtest.ground_truth import OrderRecord, StreamRecord, event_data
from otterreach.loadtest.server import Server
from otterreach.sidecar import http1

TICK_S = 0.01
JSON = (("Content-Type", "application/json"),)


class EngineServer(Server):
    """A server that drives an engine with real time and streams the events of its runs."""

    _versions: dict[str, int]

    def reset_state(self) -> None:
        """Create a new engine."""
        # A restarted server keeps its versions; a new one starts with the newest.
        known = getattr(self, "engine", None)
        versions = known.versions if known else {m: self.context.newest_version(m) for m in self.spec.models}
        self.engine = Engine(
            self.spec, dict(versions), self.context.newest_version, bool(self.context.bounds.get("fenced"))
        )
        self.streams: dict[Run, tuple[Connection, str]] = {}
        self._ticking = False
        self._last = 0.0
        self._runs = 0

    def _set_speed(self, factor: float) -> None:
        self.slow = self.engine.slow = factor

    def load_counts(self) -> tuple[int, int]:
        """Return the numbers of running and waiting runs."""
        return len(self.engine.running), len(self.engine.waiting)

    def registration_fields(self) -> dict[str, Any]:
        """Return the additional fields of a registration: stage and models."""
        report = self.engine.report()
        return {"stage": report["stage"], "models": report["models"]}

    def on_management(self, connection: Connection, request: http1.Request) -> None:
        """Answer `/report` and `/order`."""
        if request.target.startswith(b"/report"):
            connection.respond(HTTPStatus.OK, JSON, json.dumps(self.engine.report()).encode())
            return
        try:
            order = json.loads(request.body)
            status = self.engine.take_order(order)
        except (ValueError, AttributeError):
            order = {}
            status = HTTPStatus.BAD_REQUEST
        ordered = OrderRecord(self.ident, str(order.get("owner")), order.get("fence") or 0, status, self.context.now())
        self.context.ground_truth.orders.append(ordered)
        connection.respond(status)
        self._schedule_tick()

    def on_call(self, connection: Connection, request: http1.Request) -> None:
        """Start a generation request, or reject it."""
        ident = connection.header(b"request-id")
        if is_unprocessable(request):
            self.context.ground_truth.never.add(ident)
            self.record_start(ident)
            connection.respond(HTTPStatus.UNPROCESSABLE_ENTITY)
            return
        if self.draw_failure():
            self.context.ground_truth.failures[ident] += 1
            self.record_start(ident)
            connection.respond(HTTPStatus.INTERNAL_SERVER_ERROR)
            return
        generation = parse_generation_request(ident, connection.header)
        run = self.engine.submit(generation) if generation else HTTPStatus.BAD_REQUEST
        if isinstance(run, int):
            self.refuse(connection, run)
            return
        self._runs += 1
        self.streams[run] = (connection, f"{self.ident}.{self._runs}")
        connection.on_dropped = lambda: self._drop(run)
        self._schedule_tick()

    def _drop(self, run: Run) -> None:
        self.streams.pop(run, None)
        self.engine.drop(run)

    def _schedule_tick(self) -> None:
        if not self._ticking:
            self._ticking, self._last = True, self.context.now()
            asyncio.get_running_loop().call_later(TICK_S, self._tick, self.ident)

    def _tick(self, ident: str) -> None:
        if ident != self.ident or self.state == "down":
            return
        now = self.context.now()
        if not self.dark:
            for outcome in self.engine.tick(min(now - self._last, 0.2)):
                if isinstance(outcome, Event):
                    self._send_event(outcome)
                else:
                    self._handle_end(outcome)
        self._last = now
        if self.engine.idle:
            self._ticking = False
        else:
            asyncio.get_running_loop().call_later(TICK_S, self._tick, ident)

    def _send_event(self, event: Event) -> None:
        if event.run not in self.streams:
            return
        connection, name = self.streams[event.run]
        request = event.run.request
        ground_truth = self.context.ground_truth
        now = self.context.now()
        if name not in ground_truth.runs:
            ground_truth.runs[name] = StreamRecord(request.id, request.after, self.spec.name)
            self.record_start(request.id)
            stamp = self.seal(request.id, b"", now)
            connection.begin_stream(
                (("Content-Type", "text/event-stream"), ("Reply-Seal", stamp), ("Weight-Versions", str(event.version)))
            )
        ground_truth.runs[name].last_at = now
        first = f"weight-versions: {event.version}\n" if event.changed else ""
        connection.send_event(
            f"{first}id: {event.number}\ndata: {event_data(request.id, event.number, event.version, name)}\n\n"
        )
        if event.last:
            del self.streams[event.run]
            connection.end_stream()

    def _handle_end(self, end: End) -> None:
        found = self.streams.pop(end.run, None)
        if found is None:
            return
        if end.reason is EndReason.REFUSED:
            self.refuse(found[0], HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            found[0].abort()


def is_unprocessable(request: http1.Request) -> bool:
    """Return True if the body marks the request as one to be answered 422."""
    return request.body.startswith(b"never")


def parse_generation_request(ident: str, header: Callable[[bytes], str]) -> GenerationRequest | None:
    """Parse the headers of a generation request; None if they are malformed."""
    try:
        tokens_in, tokens_out = (int(n) for n in header(b"tokens").split(","))
        rows = [row.strip().rpartition(":") for row in header(b"prompt-prefix").split(",") if row.strip()]
        parts = tuple((name, int(tokens)) for name, _, tokens in rows)
        expect = header(b"expect-version")
        return GenerationRequest(
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
