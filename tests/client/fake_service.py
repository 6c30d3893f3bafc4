"""An in-memory coordination service at several addresses, with fault injection, in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict, deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

from otterreach.client import CoordinationClient
from otterreach.runtime.http import JsonServer, Reply
from otterreach.sidecar import http1
from tests import virtual

FOREVER_S = 3600.0
PORT = 8144
ADDRESSES = tuple(f"10.0.0.{n}:{PORT}" for n in (1, 2, 3))


@dataclass(frozen=True)
class Fault:
    """Fault injected into one call.

    The call is delayed by `delay_s` before its execution and by `answer_delay_s` after it. With `status`, it is
    answered with that status and not executed; with `lost_status`, it is executed and answered with that status.
    """

    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    status: int = 0
    lost_status: int = 0


SILENT = Fault(delay_s=FOREVER_S)
ANSWER_LOST = Fault(answer_delay_s=FOREVER_S)


@dataclass
class Hold:
    owner: str
    fence: int
    ends_at: float


@dataclass(frozen=True)
class Call:
    address: str
    method: str
    path: str
    document: dict[str, Any]
    at: float


class FakeService:
    """State shared by all addresses, and the faults to inject into the next calls, in order."""

    def __init__(self, loop: virtual.MemoryLoop) -> None:
        self.loop = loop  # only its clock is used, so tests of the command line can pass a real event loop
        self.faults: deque[Fault] = deque()
        self.calls: list[Call] = []
        self.holds: dict[str, Hold] = {}
        self.fence = 0
        self.numbers: dict[str, int] = defaultdict(int)
        self.cells: dict[str, tuple[str, int]] = {}
        self.revisions: dict[str, int] = defaultdict(int)
        self.history: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.forgotten: dict[str, int] = defaultdict(int)  # by group: history up to this revision is discarded
        self.changed = asyncio.Event()

    async def listen(self, addresses: Sequence[str] = ADDRESSES) -> None:
        for address in addresses:
            host, _, port = address.partition(":")
            await JsonServer(self._at(address)).listen(host, int(port))

    def _at(self, address: str) -> Callable[[http1.Request], Awaitable[Reply]]:
        async def handle(request: http1.Request) -> Reply:
            document = json.loads(request.body) if request.body else {}
            target = request.target.decode()
            method = request.method.decode()
            self.calls.append(Call(address, method, target, document, self.loop.time()))
            fault = self.faults.popleft() if self.faults else Fault()
            await asyncio.sleep(fault.delay_s)
            if fault.status:
                return Reply(fault.status, b'{"code":0,"reason":"a fault"}')
            status, body = await self.do(method, target, document)
            await asyncio.sleep(fault.answer_delay_s)
            return Reply(fault.lost_status or status, json.dumps(body).encode())

        return handle

    async def do(self, method: str, target: str, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        _, kind, name = url.path.split("/", 2)
        if kind == "locks":
            return self._lock(method, name, document)
        if kind == "numbers":
            self.numbers[name] += 1
            return 200, {"value": self.numbers[name]}
        if kind == "cells":
            return self._cell(method, name, document)
        query = parse_qs(url.query)
        return await self._watch(name, int(query["past"][0]), int(query["waitMs"][0]) / 1000)

    def _lock(self, method: str, name: str, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        now = self.loop.time()
        hold = self.holds.get(name)
        if hold and hold.ends_at <= now:
            hold = None
        mine = hold is not None and hold.owner == document["owner"]
        if method == "DELETE":
            if hold and mine and hold.fence == document["fence"]:
                del self.holds[name]
            return 200, {}
        if method == "PUT" and not (hold and mine and hold.fence == document["fence"]) or hold and not mine:
            return 409, {}
        if hold is None:
            self.fence += 1
            hold = self.holds[name] = Hold(document["owner"], self.fence, now)
        hold.ends_at = now + document["holdMs"] / 1000
        return 200, {"fence": hold.fence} if method == "POST" else {}

    def _cell(self, method: str, name: str, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        value, revision = self.cells.get(name, ("", 0))
        if method == "GET":
            return (200, {"value": value, "rev": revision}) if revision else (404, {})
        group = name.partition(".")[0] + "."
        for event in self.history[group]:
            if event["name"] == name and event["value"] == document["value"]:
                return 200, {"rev": event["rev"]}
        if document["expect"] != revision:
            return 412, {"rev": revision}
        return 200, {"rev": self.put(name, document["value"])}

    def put(self, name: str, value: str) -> int:
        group = name.partition(".")[0] + "."
        self.revisions[group] += 1
        revision = self.revisions[group]
        self.cells[name] = (value, revision)
        self.history[group].append({"name": name, "value": value, "rev": revision})
        self.changed.set()
        self.changed = asyncio.Event()
        return revision

    async def _watch(self, group: str, past: int, wait_s: float) -> tuple[int, dict[str, Any]]:
        if past == 0:
            return 200, {"events": [], "rev": self.revisions[group]}
        if past < self.forgotten[group]:
            return 410, {}
        end = self.loop.time() + wait_s
        while self.revisions[group] <= past and self.loop.time() < end:
            try:
                async with asyncio.timeout_at(end):
                    await self.changed.wait()
            except TimeoutError:
                break
        events = [event for event in self.history[group] if event["rev"] > past]
        return 200, {"events": events, "rev": self.revisions[group]}


Body = Callable[[FakeService, CoordinationClient], Awaitable[None]]


def play(body: Body) -> None:
    """Run a test with a service and a client of it, in virtual time."""
    loop = virtual.MemoryLoop()

    async def main() -> None:
        service = FakeService(loop)
        await service.listen()
        async with CoordinationClient(ADDRESSES, "a1", Random(5)) as client:
            await body(service, client)

    virtual.run(main, loop)
