"""The calls of servers, trainers and the operator, one handler object for each resource.

Any controller takes them; what only the primary may decide is passed on to it, and its answer handed back.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, Protocol

from otterreach.controller import config
from otterreach.controller.messages import Operate, Operated
from otterreach.controller.replication import Control
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import Reply
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Link
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import ReplicatedStore
from otterreach.sidecar import http1

FORWARD_S = 0.9
FORWARD_CHECK_S = 0.05  # between two looks whether the primary that a call was passed on to is still heard
LOCK_S = 0.4  # a change that waits longer for the ones before it is answered 503
COPY_YOUNG_S = 1.0  # a heartbeat of a server that says nothing new is answered by a copy no older than this
TAKEN = 64  # changes remembered, so that one sent again is known
UNSURE = Reply(503)


class Resource(Protocol):
    async def handle(self, ask: Operate) -> Operated:
        """The primary's answer."""


def _status(status: int, failure: Failure | None = None) -> Operated:
    body = b"" if failure is None else json.dumps({"code": int(failure.code), "reason": failure.reason}).encode()
    return Operated(status, body)


class ConfigResource:
    """PUT, PATCH and GET /config."""

    def __init__(self, control: Control, store: ReplicatedStore) -> None:
        self.control, self.store = control, store
        self._lock = asyncio.Lock()

    async def handle(self, ask: Operate) -> Operated:
        if ask.method == "GET":
            return await self._get()
        if ask.method not in ("PUT", "PATCH"):
            return _status(405)
        try:
            async with asyncio.timeout(LOCK_S):
                await self._lock.acquire()
        except TimeoutError:
            return _status(503)
        try:
            found = await self._change(ask)
        finally:
            self._lock.release()
        return found if isinstance(found, Operated) else await self._confirmed(found)

    async def _get(self) -> Operated:
        if not await self.control.confirm():
            return _status(503)
        item = self.store.items.get("config")
        return Operated(200, item.value) if item and not item.gone else _status(404)

    async def _change(self, ask: Operate) -> Operated | config.Verdict | Failure:
        """The answer to a change that was taken up; or why it is not: refused, or known already."""
        match = config.parse_if_match(ask.match)
        if isinstance(match, Failure):
            return _status(400, match)
        current = self.control.state.get("config")
        taken: list[str] = self.control.state.get("taken") or []
        check = config.check_whole if ask.method == "PUT" else config.check_patch
        found = check(ask.body, current, match, taken)
        if isinstance(found, dict):
            return await self._take(found, config.fingerprint(ask.body, match), taken)
        return found

    async def _confirmed(self, found: config.Verdict | Failure) -> Operated:
        """A refusal, or the word that it was taken before: only by a primary that surely is one."""
        if not await self.control.confirm():
            return _status(503)
        if isinstance(found, Failure):
            log("config_refused", code=int(found.code), reason=found.reason)
            return _status(config.status_of(found), found)
        return _status(200)

    async def _take(self, new: dict[str, Any], mark: str, taken: list[str]) -> Operated:
        value, marks = json.dumps(new).encode(), json.dumps([*taken, mark][-TAKEN:]).encode()
        if not await self.control.revise([("config", value), ("taken", marks)]):
            return _status(503)
        log("config_taken", gen=new["gen"], epoch=self.control.number)
        return _status(200)


class ServersResource:
    """PUT and DELETE /servers/ID. A server goes up -> draining -> gone and never back."""

    def __init__(self, control: Control, store: ReplicatedStore) -> None:
        self.control, self.store = control, store

    async def handle(self, ask: Operate) -> Operated:
        ident = ask.path.rpartition("/")[2]
        if ask.method == "DELETE":
            return await self._remove(ident)
        if ask.method != "PUT":
            return _status(405)
        value = read_server(ask.body)
        return _status(400, value) if isinstance(value, Failure) else await self._register(ident, value)

    async def _remove(self, ident: str) -> Operated:
        item = self.control.state.items.get(f"server/{ident}")
        if item is None or item.gone:
            return _status(200 if await self.control.confirm() else 503)
        done = await self.control.revise([(f"server/{ident}", b"")])
        log("server_gone", server=ident, done=done)
        return _status(200 if done else 503)

    async def _register(self, ident: str, value: dict[str, Any]) -> Operated:
        key, state = f"server/{ident}", self.control.state
        item, old = state.items.get(key), state.get(key)
        if same_server(old, value) or item is not None and item.gone or stale_call(old, value):
            return _status(200 if await self.control.confirm() else 503)
        changes = [
            (f"server/{other}", b"")
            for other, s in state.named("server").items()
            if s["addr"] == value["addr"] and other != ident
        ]
        done = await self.control.revise([*changes, (key, json.dumps(value).encode())])
        if old is None or old["state"] != value["state"]:
            log("server", server=ident, state=value["state"], backend=value["backend"], done=done)
        return _status(200 if done else 503)


def read_server(body: bytes) -> dict[str, Any] | Failure:
    """What is kept of a registration."""
    try:
        raw = json.loads(body)
        models = [{"name": str(m["name"]), "gen": int(m["gen"])} for m in raw.get("models") or []]
        state = "draining" if raw["state"] != "up" else "up"
        return {
            "backend": str(raw["backend"]),
            "addr": str(raw["addr"]),
            "az": str(raw.get("az", "")),
            "cap": int(raw.get("cap", 1)),
            "state": state,
            "models": models,
            "warm_ms": int(raw.get("warmLeftMs", 0)),
            "calls": int(raw.get("calls", 0)),
        }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failure(Code.CONFIG_FIELD, f"registration: {error!r}")


_KEPT = ("backend", "addr", "az", "cap", "state", "models")


def same_server(old: dict[str, Any] | None, new: dict[str, Any]) -> bool:
    return old is not None and all(old[k] == new[k] for k in _KEPT)


def stale_call(old: dict[str, Any] | None, new: dict[str, Any]) -> bool:
    """A late call, or one that would bring a leaving server back."""
    return old is not None and (new["calls"] < old["calls"] or old["state"] == "draining" and new["state"] == "up")


class VersionResource:
    """POST /version-put."""

    def __init__(self, control: Control) -> None:
        self.control = control

    async def handle(self, ask: Operate) -> Operated:
        if ask.method != "POST":
            return _status(405)
        try:
            raw = json.loads(ask.body)
            model, gen = str(raw["model"]), int(raw["gen"])
        except (ValueError, KeyError, TypeError):
            return _status(400, Failure(Code.CONFIG_FIELD, "model, gen"))
        current = self.control.state.get(f"version/{model}")
        if current and current["gen"] >= gen:
            return _status(200 if await self.control.confirm() else 503)
        done = await self.control.revise([(f"version/{model}", json.dumps({"gen": gen}).encode())])
        log("version", model=model, gen=gen, done=done)
        return _status(200 if done else 503)


class RetireResource:
    """POST and GET /retire/NODE."""

    def __init__(
        self, settings: Settings, control: Control, store: ReplicatedStore, living: Callable[[], set[str]]
    ) -> None:
        self.settings, self.control, self.store, self.living = settings, control, store, living

    async def handle(self, ask: Operate) -> Operated:
        node = ask.path.rpartition("/")[2]
        if not await self.control.confirm():
            return _status(503)
        return await self._begin(node) if ask.method == "POST" else self._look(node)

    def _look(self, node: str) -> Operated:
        if not self.store.get(f"retire/{node}"):
            member = self.store.get(f"member/{node}")
            return Operated(200, b'{"state":"serving"}') if member and member["role"] == "store" else _status(404)
        parts = self.store.named("part").values()
        kept = any(m.partition("#")[0] == node for p in parts for m in (p["primary"], *p["backups"], *p["joining"]))
        return Operated(200, b'{"state":"serving"}' if kept else b'{"state":"done"}')

    async def _begin(self, node: str) -> Operated:
        member = self.store.get(f"member/{node}")
        if not member or member["role"] != "store":
            return _status(404, Failure(Code.UNKNOWN_NODE, node))
        if self.control.state.get(f"retire/{node}"):
            return _status(200)
        others = {m.partition("#")[0] for m in self.living()} - {node, *self.control.state.named("retire")}
        if len(others) < self.settings.survive_nodes + 1:
            return _status(409, Failure(Code.TOO_FEW_LEFT, f"{len(others)} others"))
        done = await self.control.revise([(f"retire/{node}", json.dumps({"disk": member["disk"]}).encode())])
        log("retire", store=node, done=done)
        return _status(200 if done else 503)


class Desk:
    """Finds the resource of a call, here or at the primary."""

    def __init__(
        self,
        settings: Settings,
        control: Control,
        store: ReplicatedStore,
        living: Callable[[], set[str]],
        heard: Callable[[str], None],
    ) -> None:
        self.control, self.store, self.heard = control, store, heard
        self.resources: dict[str, Resource] = {
            "config": ConfigResource(control, store),
            "servers": ServersResource(control, store),
            "version-put": VersionResource(control),
            "retire": RetireResource(settings, control, store, living),
        }
        control.endpoint.on(Operate, self._operate)

    async def handle(self, request: http1.Request) -> Reply:
        """A call as it came in over HTTP."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        kind = path.strip("/").partition("/")[0]
        if kind not in self.resources:
            return Reply(404)
        ask = Operate(
            request.method.decode("latin-1"),
            path,
            request.headers.get(b"if-match", b"").decode("latin-1"),
            request.body,
        )
        if kind == "servers" and self._unchanged(ask):
            return Reply(200, b"{}")
        answer = await self._decide(ask)
        return Reply(answer.status, answer.body) if isinstance(answer, Operated) else UNSURE

    def _unchanged(self, ask: Operate) -> bool:
        """A heartbeat that says nothing new is noted here; only changes go to the primary."""
        ident = ask.path.rpartition("/")[2]
        self.heard(ident)
        if ask.method != "PUT" or self.control.copy_age_s() > COPY_YOUNG_S:
            return False
        value, old = read_server(ask.body), self.store.get(f"server/{ident}")
        return not isinstance(value, Failure) and (same_server(old, value) or self._ahead(old, value))

    def _ahead(self, old: dict[str, Any] | None, new: dict[str, Any]) -> bool:
        """What is known is newer than what the server said, by a load that it has done since."""
        if old is None or any(old[k] != new[k] for k in _KEPT if k != "models"):
            return False
        known = {m["name"]: m["gen"] for m in old["models"]}
        return all(m["gen"] <= known.get(m["name"], -1) for m in new["models"])

    async def _decide(self, ask: Operate) -> Operated | Failure:
        if self.control.is_primary:
            return await self.resources[ask.path.strip("/").partition("/")[0]].handle(ask)
        return await self._forward(ask)

    async def _forward(self, ask: Operate) -> Operated | Failure:
        """The primary's answer; a Failure as soon as the primary is not heard any more."""
        address = self.control.heard_primary_address
        if not address:
            return Failure(Code.NOT_PRIMARY, "no primary is heard")
        call = self.control.endpoint.spawn(self.control.endpoint.call(address, ask, FORWARD_S))
        while not call.done():
            await asyncio.wait([call], timeout=FORWARD_CHECK_S)
            if not call.done() and self.control.heard_primary_address != address:
                return Failure(Code.TIMED_OUT, "the primary is not heard any more")
        answer: Operated | Failure = call.result()
        return answer

    async def _operate(self, link: Link, ask: Operate) -> Operated | Failure:
        if not self.control.is_primary:
            return Failure(Code.NOT_PRIMARY, self.control.primary_address)
        kind, _, name = ask.path.strip("/").partition("/")
        if kind == "servers":
            self.heard(name)
        return await self.resources[kind].handle(ask) if kind in self.resources else Operated(404)
