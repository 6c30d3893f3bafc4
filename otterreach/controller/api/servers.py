"""PUT and DELETE /servers/ID: heartbeats and deregistration of a server.

An id denotes one incarnation of a server, which is up, then draining, then removed, and never returns. Calls may be
delayed by seconds and reordered; `calls`, which increases with each call of an incarnation, determines which of two
calls is newer. Of two incarnations at one address the live one is kept, as shown by its heartbeats.
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

ALIVE_INTERVALS = 1.2  # a server counts as alive for this many heartbeat intervals after its last heartbeat


def read_heartbeat(body: bytes) -> ServerRecord | Failure:
    """Parse a heartbeat into a server's record; return CONFIG_FIELD if it is invalid."""
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
    """Return the record after a heartbeat, or None if the heartbeat is outdated or changes nothing."""
    if known is None:
        return heartbeat
    if heartbeat.calls < known.calls or _would_revert_to_up(known, heartbeat):
        return None
    merged = replace(heartbeat, models=_newest_models(known, heartbeat))
    return None if _is_equivalent(known, merged) else merged


def _would_revert_to_up(known: ServerRecord, heartbeat: ServerRecord) -> bool:
    return known.state == ServerState.DRAINING and heartbeat.state == ServerState.UP


def _newest_models(known: ServerRecord, heartbeat: ServerRecord) -> tuple[ModelVersion, ...]:
    """Return the newest known version of each model in a heartbeat.

    A load may be recorded here before the server reports it; within one incarnation versions only increase.
    """
    return tuple(
        ModelVersion(model.name, max(model.version, known.version_of(model.name) or model.version))
        for model in heartbeat.models
    )


def _is_equivalent(known: ServerRecord, heartbeat: ServerRecord) -> bool:
    """Return True if only `calls`, the warm-up time or the silent mark differ, which doesn't justify a write."""
    return known == replace(heartbeat, warmup_left_ms=known.warmup_left_ms, calls=known.calls, silent=known.silent)


class ServerHeartbeats(Protocol):
    """Tracks the servers' heartbeats."""

    def record_server_heartbeat(self, server: str) -> None:
        """Record that a heartbeat has just arrived."""

    def seconds_since_server_heartbeat(self, server: str) -> float:
        """Return the time since a server's last heartbeat."""


class ServerResource:
    """Handles the registrations of servers."""

    def __init__(self, control: ControlState, heartbeats: ServerHeartbeats, heartbeat_interval_s: float) -> None:
        self.control = control
        self.heartbeats = heartbeats
        self.alive_s = heartbeat_interval_s * ALIVE_INTERVALS

    async def handle(self, call: ApiCall) -> ApiResponse:
        """Handle a call on the primary."""
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
        """Remove a server, even an unknown one, so that a delayed heartbeat can't register it."""
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
        previous = self._others_at_address(record.address, server)
        if known is None and any(self._is_alive(other) for other in previous):
            log("server_address_taken", server=server, address=record.address, holders=",".join(previous))
            return UNAVAILABLE
        changes = [*(delete(ServerRecord, other) for other in previous), put(record, server)]
        done = await write(self.control, changes)
        if known is None or known.state != record.state:
            log("server", server=server, state=record.state, service=record.service, done=done)
        return OK if done else UNAVAILABLE

    def _others_at_address(self, address: str, server: str) -> list[str]:
        """Return the other servers at this address, which have ended even if they have not deregistered."""
        servers = self.control.state.records(ServerRecord)
        return [other for other, record in servers.items() if record.address == address and other != server]

    def _is_alive(self, server: str) -> bool:
        """Return True if a heartbeat of the server was received recently.

        A live server must not be replaced: the first heartbeat of a server that ended long ago may be delayed until
        another one uses its address. A removed id never returns, so the live server would be lost for good. A server
        that really is new sends further heartbeats, and by then the previous one has become silent.
        """
        return self.heartbeats.seconds_since_server_heartbeat(server) < self.alive_s
