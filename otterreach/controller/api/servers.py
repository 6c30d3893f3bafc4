"""PUT and DELETE /servers/ID: a server's heartbeats and its end.

An id is one incarnation of a server: up, then draining, then gone, and never back. Calls may come seconds late and in
any order; `calls`, which rises with each call of an incarnation, tells which of two is the newer.
"""

from __future__ import annotations

import json
from typing import Any

from otterreach.controller.api.resource import (
    METHOD_NOT_ALLOWED,
    OK,
    UNCLEAR,
    ControlState,
    encode_item,
    last_segment,
    refusal,
    when_committed,
    write,
)
from otterreach.controller.messages import Operate, Operated
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log

Server = dict[str, Any]  # the value of an item server/ID
COMPARED = ("backend", "addr", "az", "cap", "state", "models")  # a heartbeat that changes none of these is no news


def read_server(body: bytes) -> Server | Failure:
    """What is kept of a heartbeat."""
    try:
        raw = json.loads(body)
        return {
            "backend": str(raw["backend"]),
            "addr": str(raw["addr"]),
            "az": str(raw.get("az", "")),
            "cap": int(raw.get("cap", 1)),
            "state": "up" if raw["state"] == "up" else "draining",
            "models": [{"name": str(m["name"]), "gen": int(m["gen"])} for m in raw.get("models") or []],
            "warm_ms": int(raw.get("warmLeftMs", 0)),
            "calls": int(raw.get("calls", 0)),
        }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failure(Code.CONFIG_FIELD, f"registration: {error!r}")


def updated(known: Server | None, heartbeat: Server) -> Server | None:
    """What is to be kept after a heartbeat, or None if it is late or tells nothing new."""
    if known is None:
        return heartbeat
    if heartbeat["calls"] < known["calls"] or _would_come_back(known, heartbeat):
        return None
    merged = heartbeat | {"models": _newest_models(known["models"], heartbeat["models"])}
    return None if all(known[name] == merged[name] for name in COMPARED) else merged


def _would_come_back(known: Server, heartbeat: Server) -> bool:
    return bool(known["state"] == "draining" and heartbeat["state"] == "up")


def _newest_models(known: list[dict[str, Any]], told: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A load may be known here before the server tells of it; within one incarnation versions only rise."""
    newest = {model["name"]: model["gen"] for model in known}
    return [{"name": m["name"], "gen": max(m["gen"], newest.get(m["name"], m["gen"]))} for m in told]


class ServerResource:
    """Registrations of servers."""

    def __init__(self, control: ControlState) -> None:
        self.control = control

    async def handle(self, call: Operate) -> Operated:
        ident = last_segment(call.path)
        if call.method == "DELETE":
            return await self._remove(ident)
        if call.method != "PUT":
            return METHOD_NOT_ALLOWED
        heartbeat = read_server(call.body)
        if isinstance(heartbeat, Failure):
            return refusal(heartbeat)
        return await self._register(ident, heartbeat)

    async def _remove(self, ident: str) -> Operated:
        """Also of one that isn't known: a heartbeat that comes late must not register it."""
        item = self.control.state.items.get(f"server/{ident}")
        if item is not None and item.gone:
            return await when_committed(self.control, OK)
        done = await write(self.control, [(f"server/{ident}", b"")])
        log("server_gone", server=ident, done=done)
        return OK if done else UNCLEAR

    async def _register(self, ident: str, heartbeat: Server) -> Operated:
        key, state = f"server/{ident}", self.control.state
        item, known = state.items.get(key), state.get(key)
        is_gone = item is not None and item.gone
        value = None if is_gone else updated(known, heartbeat)
        if value is None:
            return await when_committed(self.control, OK)
        done = await write(self.control, [*self._former_at(value["addr"], ident), (key, encode_item(value))])
        if known is None or known["state"] != value["state"]:
            log("server", server=ident, state=value["state"], backend=value["backend"], done=done)
        return OK if done else UNCLEAR

    def _former_at(self, address: str, ident: str) -> list[tuple[str, bytes]]:
        """Other servers at this address are gone, whether they said so or not."""
        servers = self.control.state.named("server")
        return [
            (f"server/{other}", b"")
            for other, server in servers.items()
            if server["addr"] == address and other != ident
        ]
