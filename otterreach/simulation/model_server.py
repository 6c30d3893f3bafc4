"""A server of weights under the control side: takes orders, and checks that their senders keep to the rules."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random

from otterreach.runtime.http import Reply
from otterreach.sidecar import http1
from otterreach.simulation.world import World

LEASE_S = 3.0
LOAD_S = (0.2, 1.5, 6.0)


class ModelServer:
    """`excused` tells of a sender whose orders don't count now: it was just thawed, or its link healed."""

    def __init__(self, world: World, random: Random, ident: str, gen: int, excused: Callable[[str], bool]) -> None:
        self.world = world
        self.random = random
        self.ident = ident
        self.gen = gen
        self.excused = excused
        self.calls = 0
        self.orders = 0
        self.busy_until = 0.0
        self.owners: dict[int, str] = {}  # by fence
        self.last = (0, "", -1e9)  # fence, owner, when

    async def handle(self, request: http1.Request) -> Reply:
        """Answer `/report` and `/order`, and check the fencing tokens."""
        now = self.world.now
        if request.headers.get(b"expect-server", self.ident.encode()) != self.ident.encode():
            return Reply(421)
        if request.target == b"/report":
            report = {"models": [{"name": "m", "gen": self.gen}], "busy": now < self.busy_until, "calls": self.orders}
            return Reply(200, json.dumps(report).encode())
        order = json.loads(request.body)
        self._check(order["fence"], order["owner"], now)
        if order["gen"] <= self.gen:
            return Reply(200)
        if now < self.busy_until or order.get("expect", self.orders) != self.orders:
            return Reply(409)
        self.orders += 1
        took = self.random.choice(LOAD_S)
        self.busy_until = now + took
        asyncio.get_running_loop().call_later(took, self._loaded, order["gen"])
        return Reply(202)

    def _loaded(self, gen: int) -> None:
        self.gen = max(self.gen, gen)

    def _check(self, fence: int, owner: str, now: float) -> None:
        expect = self.world.expect
        (last_fence, last_owner, at) = self.last
        if self.excused(owner):
            return
        known = self.owners.setdefault(fence, owner)
        expect(known == owner, "one holder", f"{known} and {owner} with {fence}")
        expect(fence >= last_fence, "fences rise", f"{fence} of {owner} after {last_fence} of {last_owner}")
        turns = owner != last_owner and now - at < LEASE_S
        expect(not turns, "holders take turns", f"{owner} {now - at:.2f} s after {last_owner}")
        self.last = (fence, owner, now)
