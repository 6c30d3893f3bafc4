"""In-memory coordination service for tests of callers and checkers; subclasses add one fault each.

It uses the time of the virtual loop. `run_callers` runs the callers of the simulation against it over the virtual
network.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

from otterreach.runtime.http import JsonServer, Reply
from otterreach.sidecar import http1
from otterreach.simulation.coordination_check import Bounds, find_violations
from otterreach.simulation.coordination_history import Violation, group_of
from otterreach.simulation.coordination_liveness import FaultFreeSpan
from otterreach.simulation.coordination_population import Population, PopulationSetup
from otterreach.simulation.loop import Process, VirtualLoop
from otterreach.simulation.net import Network

HISTORY_S = 6.0
FREE_S = 1.5
RUN_S = 20.0
CONTACT_S = 0.0
ADDRESSES = ("10.1.0.1", "10.1.0.2")  # of two controllers with the same state
PORT = 80


def reply(status: int, **fields: Any) -> Reply:
    """Return an answer with a JSON body."""
    return Reply(status, json.dumps(fields).encode())


@dataclass
class LockState:
    """The current or last hold of a lock."""

    owner: str
    first_fence: int
    fence: int  # of the last acquire: a release that names an earlier one must not end the hold
    expires: float


@dataclass
class Group:
    """The keys of a group, and all puts to it."""

    revision: int = 0
    cells: dict[str, tuple[str, int]] = field(default_factory=dict)  # (value, revision) by key
    events: list[tuple[float, str, str, int]] = field(default_factory=list)  # (time, key, value, revision)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class FakeCoordination:
    """The correct service, without a fault."""

    def __init__(self) -> None:
        self.locks: dict[str, LockState] = {}
        self.fence = 0
        self.numbers: dict[str, int] = {}
        self.groups: dict[str, Group] = {}
        self.puts: dict[str, int] = {}  # revision by value
        self.loop = asyncio.get_running_loop()

    async def handle(self, request: http1.Request) -> Reply:
        """Return the answer to a call."""
        target = urlsplit(request.target.decode())
        kind, ident = target.path.strip("/").split("/")
        body = json.loads(request.body) if request.body else {}
        method = request.method.decode()
        if kind == "locks":
            handlers = {"POST": self.acquire, "PUT": self.renew, "DELETE": self.release}
            return handlers[method](ident, body)
        if kind == "numbers":
            return self.next_number(ident)
        if kind == "cells":
            return self.put(ident, body) if method == "PUT" else self.read(ident)
        query = parse_qs(target.query)
        return await self.watch(ident, int(query["past"][0]), int(query["waitMs"][0]) / 1000)

    # Locks ---------------------------------------------------------------------------------------

    def next_fence(self, lock: str) -> int:
        self.fence += 1
        return self.fence

    def expiry(self, hold_ms: int) -> float:
        return self.loop.time() + hold_ms / 1000

    def is_held(self, held: LockState) -> bool:
        return self.loop.time() < held.expires

    def acquire(self, lock: str, body: dict[str, Any]) -> Reply:
        held = self.locks.get(lock)
        if held is not None and self.is_held(held):
            if held.owner != body["owner"]:
                return Reply(409)
            held.expires = max(held.expires, self.expiry(body["holdMs"]))
            held.fence = self.next_fence(lock)
            return reply(200, fence=held.fence)
        fence = self.next_fence(lock)
        self.locks[lock] = LockState(body["owner"], fence, fence, self.expiry(body["holdMs"]))
        return reply(200, fence=fence)

    def renew(self, lock: str, body: dict[str, Any]) -> Reply:
        held = self.locks.get(lock)
        if held is None or not self.is_held(held) or held.owner != body["owner"]:
            return Reply(409)
        if not held.first_fence <= body["fence"] <= held.fence:
            return Reply(409)
        held.expires = max(held.expires, self.expiry(body["holdMs"]))
        return reply(200)

    def release(self, lock: str, body: dict[str, Any]) -> Reply:
        held = self.locks.get(lock)
        if held is not None and (held.owner, held.fence) == (body["owner"], body["fence"]):
            held.expires = self.loop.time()
        return reply(200)

    # Numbers -------------------------------------------------------------------------------------

    def next_number(self, name: str) -> Reply:
        self.numbers[name] = self.numbers.get(name, 0) + 1
        return reply(200, value=self.numbers[name])

    # Keys ----------------------------------------------------------------------------------------

    def group(self, name: str) -> Group:
        return self.groups.setdefault(name, Group())

    def next_revision(self, group: Group) -> int:
        return group.revision + 1

    def put(self, key: str, body: dict[str, Any]) -> Reply:
        group = self.group(group_of(key))
        if body["value"] in self.puts:
            return reply(200, rev=self.puts[body["value"]])
        revision = group.cells.get(key, ("", 0))[1]
        if revision != body["expect"]:
            return reply(412, rev=revision)
        return reply(200, rev=self.apply_put(group, key, body["value"]))

    def apply_put(self, group: Group, key: str, value: str) -> int:
        """Apply a put unconditionally."""
        revision = self.next_revision(group)
        group.revision = max(group.revision, revision)
        group.cells[key] = (value, revision)
        group.events.append((self.loop.time(), key, value, revision))
        self.puts[value] = revision
        group.changed.set()
        group.changed = asyncio.Event()
        return revision

    def read(self, key: str) -> Reply:
        cell = self.group(group_of(key)).cells.get(key)
        return reply(200, value=cell[0], rev=cell[1]) if cell else Reply(404)

    async def watch(self, name: str, past: int, wait_s: float) -> Reply:
        group = self.group(name)
        if past == 0:
            return reply(200, events=[], rev=group.revision)
        if self.is_compacted(group, past):
            return Reply(410)
        if group.revision <= past:
            await asyncio.wait([asyncio.ensure_future(group.changed.wait())], timeout=wait_s)
        return reply(200, events=self.events_after(group, past), rev=group.revision)

    def is_compacted(self, group: Group, past: int) -> bool:
        """Return True if the revision after `past` is older than the history retention plus a margin."""
        following = next((when for when, _, _, revision in group.events if revision > past), None)
        return following is not None and self.loop.time() - following > HISTORY_S + 2.0

    def events_after(self, group: Group, past: int) -> list[dict[str, Any]]:
        return [
            {"name": key, "value": value, "rev": revision}
            for _, key, value, revision in group.events
            if revision > past
        ]


def run_callers(create_service: Callable[[], FakeCoordination], seed: int, setup: PopulationSetup) -> list[Violation]:
    """Run the callers against the service for `RUN_S`, then the audit; return the violations that the checkers find."""
    loop = VirtualLoop()
    Network(loop, Random(seed))

    async def work() -> list[Violation]:
        instance = create_service()
        for number, ip in enumerate(ADDRESSES):
            await Process(f"core-{number}", ip).start(loop, JsonServer(instance.handle).listen(ip, PORT))
        begin = loop.time()
        end = begin + RUN_S
        addresses = [f"{ip}:{PORT}" for ip in ADDRESSES]
        population = Population(setup, Random(seed), lambda: addresses, HISTORY_S, lambda: loop.time() > end)
        callers = [
            Process(f"application-{number}", f"10.7.0.{number + 1}").start(loop, one)
            for number, one in enumerate(population.caller_coroutines())
        ]
        await asyncio.wait(callers)
        await Process("auditor", "10.6.0.1").start(loop, population.audit())
        fault_free = [FaultFreeSpan(begin, begin + CONTACT_S, loop.time())]
        return list(find_violations(population.history, fault_free, Bounds(HISTORY_S, FREE_S)))

    return loop.run(work())
