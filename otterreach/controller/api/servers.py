"""PUT and DELETE /servers/ID: a server's heartbeats and its end.

An id is one incarnation of a server: up, then draining, then gone, and never back. Calls may come seconds late and in
any order; `calls`, which rises with each call of an incarnation, tells which of two is the newer. Of two incarnations
at one address the living one stays: that is told by its heartbeats.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Protocol

from otterreach.controller.api.resource import (
    METHOD_NOT_ALLOWED,
    OK,
    UNAVAILABLE,
    ControlState,
    last_segment,
    rejection,
    when_committed,
    write,
)
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.integers import bounded_integer
from otterreach.runtime.log import log
from otterreach.runtime.records import (
    ModelVersion,
    ServerRecord,
    ServerState,
    delete,
    key_of,
    put,
)

ALIVE_INTERVALS = 1.2  # of a server's heartbeats: heard within this it is taken to be alive


def read_heartbeat(body: bytes) -> ServerRecord | Failure:
    """What is kept of a heartbeat; CONFIG_FIELD if it can't be read."""
    try:
        raw = json.loads(body)
        return ServerRecord(
            service=str(raw["backend"]),
            address=str(raw["addr"]),
            zone=str(raw.get("az", "")),
            capacity=bounded_integer(raw.get("cap", 1)),
            state=ServerState.UP if raw["state"] == ServerState.UP else ServerState.DRAINING,
            models=tuple(
                ModelVersion(str(model["name"]), bounded_integer(model["gen"])) for model in raw.get("models") or []
            ),
            warmup_left_ms=bounded_integer(raw.get("warmLeftMs", 0)),
            calls=bounded_integer(raw.get("calls", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return Failure(Code.CONFIG_FIELD, f"registration: {error!r}")


def merge_heartbeat(known: ServerRecord | None, heartbeat: ServerRecord) -> ServerRecord | None:
    """The record after a heartbeat, or None if the heartbeat is late or tells nothing new."""
    if known is None:
        return heartbeat
    if heartbeat.calls < known.calls or _would_come_back(known, heartbeat):
        return None
    merged = replace(heartbeat, models=_newest_models(known, heartbeat))
    return None if _is_equivalent(known, merged) else merged


def _would_come_back(known: ServerRecord, heartbeat: ServerRecord) -> bool:
    return known.state == ServerState.DRAINING and heartbeat.state == ServerState.UP


def _newest_models(known: ServerRecord, heartbeat: ServerRecord) -> tuple[ModelVersion, ...]:
    """A load may be known here before the server tells of it; within one incarnation versions only rise."""
    return tuple(
        ModelVersion(model.name, max(model.version, known.version_of(model.name) or model.version))
        for model in heartbeat.models
    )


def _is_equivalent(known: ServerRecord, heartbeat: ServerRecord) -> bool:
    """Whether only the count of calls, the warm-up or the silence differs: that is not worth a write."""
    return known == replace(heartbeat, warmup_left_ms=known.warmup_left_ms, calls=known.calls, silent=known.silent)


class ServerHeartbeats(Protocol):
    """What is known of the servers' heartbeats."""

    def record_server_heartbeat(self, server: str) -> None:
        """One has just arrived."""

    def seconds_since_server_heartbeat(self, server: str) -> float:
        """How long a server has been silent."""


class ServerResource:
    """Registrations of servers."""

    def __init__(self, control: ControlState, heartbeats: ServerHeartbeats, heartbeat_interval_s: float) -> None:
        self.control = control
        self.heartbeats = heartbeats
        self.alive_s = heartbeat_interval_s * ALIVE_INTERVALS

    async def handle(self, call: ApiCall) -> ApiResponse:
        """Answer a call, at the primary."""
        server = last_segment(call.path)
        if call.method == "DELETE":
            return await self._remove(server)
        if call.method != "PUT":
            return METHOD_NOT_ALLOWED
        heartbeat = read_heartbeat(call.body)
        if isinstance(heartbeat, Failure):
            return rejection(heartbeat)
        return await self._register(server, heartbeat)

    async def _remove(self, server: str) -> ApiResponse:
        """Also one that isn't known: a heartbeat that comes late must not register it."""
        item = self.control.state.items.get(key_of(ServerRecord, server))
        if item is not None and item.is_tombstone:
            return await when_committed(self.control, OK)
        done = await write(self.control, [delete(ServerRecord, server)])
        log("server_gone", server=server, done=done)
        return OK if done else UNAVAILABLE

    async def _register(self, server: str, heartbeat: ServerRecord) -> ApiResponse:
        state = self.control.state
        item = state.items.get(key_of(ServerRecord, server))
        known = state.record(ServerRecord, server)
        is_gone = item is not None and item.is_tombstone
        record = None if is_gone else merge_heartbeat(known, heartbeat)
        if record is None:
            return await when_committed(self.control, OK)
        former = self._former_at(record.address, server)
        if known is None and any(self._is_alive(other) for other in former):
            log("server_address_taken", server=server, address=record.address, holders=",".join(former))
            return UNAVAILABLE
        changes = [*(delete(ServerRecord, other) for other in former), put(record, server)]
        done = await write(self.control, changes)
        if known is None or known.state != record.state:
            log("server", server=server, state=record.state, service=record.service, done=done)
        return OK if done else UNAVAILABLE

    def _former_at(self, address: str, server: str) -> list[str]:
        """Other servers at this address: they are gone, whether they said so or not."""
        servers = self.control.state.records(ServerRecord)
        return [other for other, record in servers.items() if record.address == address and other != server]

    def _is_alive(self, server: str) -> bool:
        """Whether it was heard a moment ago.

        Danger: the first heartbeat of a server that has long ended may come late, when the next one is at its
        address. An id that is removed never comes back, so the living one would be lost for good. One that really is
        new calls again, and by then the former is silent.
        """
        return self.heartbeats.seconds_since_server_heartbeat(server) < self.alive_s
