"""Fakes and calls for tests of the control API.

`FakeControl` replaces the replication: its writes are committed or lost when a test says so.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from otterreach.controller.api.resource import Resource
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.store import Item, ReplicatedStore
from tests import virtual

REVISIONS_PER_EPOCH = 1000
ROUTE = {"name": "r", "host": "h.example", "prefix": "/p/", "kind": "idem", "timeoutMs": 1, "backend": "b"}

HEARTBEAT_S = 1.0  # heartbeat interval of servers


class FakeHeartbeats:
    """Servers without heartbeats, except for those that a test sets."""

    def __init__(self) -> None:
        self.heard: list[str] = []
        self.silence_s: dict[str, float] = {}

    def record_server_heartbeat(self, server: str) -> None:
        self.heard.append(server)

    def seconds_since_server_heartbeat(self, server: str) -> float:
        return self.silence_s.get(server, 1e9)


class FakeControl:
    """A primary whose writes stay pending until a test commits or fails them; with `instant`, they commit at once."""

    def __init__(self, instant: bool = True) -> None:
        self.state, self.published, self.number = ReplicatedStore(), ReplicatedStore(), 1
        self.instant = instant
        self.is_primary, self.primary_address = True, ""
        self.endpoint = Endpoint()
        self._revision = 0
        self._waiting: list[asyncio.Future[bool]] = []

    @property
    def live_primary_address(self) -> str:
        return self.primary_address

    def not_primary(self) -> Failure:
        return Failure(Code.NOT_PRIMARY, self.primary_address)

    def propose(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if not self.is_primary:
            future.set_result(False)
            return future
        for key, value in changes:
            self._revision += 1
            self.state.apply([Item(key, self._revision, value)])
        self._waiting.append(future)
        if self.instant:
            self.commit()
        return future

    def commit(self) -> None:
        """Commit all pending writes."""
        self.published.apply(list(self.state.items.values()))
        self._resolve(True)

    def depose(self) -> None:
        """Let another controller become primary; the outcome of the pending writes is unknown."""
        self.is_primary = False
        self._resolve(False)

    def lead_again(self, keeping: bool) -> None:
        """Become primary of a later epoch, with or without the writes that were not committed."""
        if not keeping:
            self.state = ReplicatedStore()
            self.state.apply(list(self.published.items.values()))
        self.number += 1
        self._revision += REVISIONS_PER_EPOCH
        self.is_primary = True
        self.commit()  # a new primary first replicates its whole state

    def _resolve(self, done: bool) -> None:
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(done)

    async def confirm_leadership(self) -> bool:
        await asyncio.sleep(0)
        return self.is_primary

    async def wait_until_committed(self) -> bool:
        if self._waiting:
            write = self._waiting[-1]
            await asyncio.wait([write])
            if not write.result():
                return False
        return await self.confirm_leadership()


class Endpoint:
    """Replaces runtime.rpc.Endpoint, through which calls are forwarded to the primary."""

    def __init__(self) -> None:
        self.handlers: dict[type, Any] = {}
        self.answer_after_s: float | None = None  # None: no response

    def on(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def spawn(self, work: Any) -> Any:
        return asyncio.ensure_future(work)

    async def call(self, address: str, value: Any, timeout_s: float) -> Any:
        if self.answer_after_s is None or self.answer_after_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return Failure(Code.TIMED_OUT, "no answer in time")
        await asyncio.sleep(self.answer_after_s)
        return ApiResponse(200)


def put(base: int | str, gen: int, name: str = "r") -> ApiCall:
    document = {"gen": gen, "routes": [ROUTE | {"name": name}], "backends": [{"name": "b"}]}
    return ApiCall("PUT", "/config", str(base), json.dumps(document).encode())


def patch(base: int, gen: int, name: str = "x") -> ApiCall:
    upsert = {"routes": [ROUTE | {"name": name, "prefix": f"/{name}/"}]}
    return ApiCall("PATCH", "/config", str(base), json.dumps({"gen": gen, "upsert": upsert}).encode())


async def settle() -> None:
    """Let all tasks run that are ready."""
    for _ in range(8):
        await asyncio.sleep(0)


def statuses(answers: Iterable[ApiResponse]) -> list[int]:
    return sorted(answer.status for answer in answers)


class Case(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        virtual.run(scenario)

    async def expect(self, resource: Resource, call: ApiCall, status: int) -> ApiResponse:
        answer = await resource.handle(call)
        self.assertEqual(status, answer.status, (call, answer))
        return answer


def heartbeat(ident: str, calls: int, state: str = "up", gen: int = 1, address: str = "10.0.0.9:80") -> ApiCall:
    value = {
        "backend": "b",
        "addr": address,
        "az": "z",
        "cap": 4,
        "state": state,
        "warmLeftMs": 0,
        "models": [{"name": "m", "gen": gen, "loras": []}],
        "calls": calls,
    }
    return ApiCall("PUT", f"/servers/{ident}", "", json.dumps(value).encode())


def deregistration(ident: str) -> ApiCall:
    return ApiCall("DELETE", f"/servers/{ident}", "", b"")
