"""A model server that accepts orders to load weights and checks the leases and fencing tokens of their senders."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random

from otterreach.runtime.http import Reply
from otterreach.sidecar import http1
from otterreach.simulation.world import World

LEASE_S = 3.0
MODEL_LOAD_S = (0.2, 1.5, 6.0)


class ModelServer:
    """A model server; orders are not checked while `excused` is true of their sender, right after a thaw or heal."""

    def __init__(self, world: World, random: Random, ident: str, gen: int, excused: Callable[[str], bool]) -> None:
        self.world = world
        self.random = random
        self.ident = ident
        self.gen = gen
        self.excused = excused
        self.calls = 0
        self.orders = 0
        self.busy_until = 0.0
        self.owners: dict[int, str] = {}  # by fencing token
        self.last = (0, "", -1e9)  # fencing token, owner and time of the last order

    async def handle(self, request: http1.Request) -> Reply:
        """Answer `/report` and `/order`, and check the fencing tokens of orders."""
        now = self.world.now
        if request.headers.get(b"expect-server", self.ident.encode()) != self.ident.encode():
            return Reply(421)
        if request.target == b"/report":
            report = {"models": [{"name": "m", "gen": self.gen}], "busy": now < self.busy_until, "calls": self.orders}
            return Reply(200, json.dumps(report).encode())
        order = json.loads(request.body)
        self._check_order(order["fence"], order["owner"], now)
        if order["gen"] <= self.gen:
            return Reply(200)
        if now < self.busy_until or order.get("expect", self.orders) != self.orders:
            return Reply(409)
        self.orders += 1
        load_s = self.random.choice(MODEL_LOAD_S)
        self.busy_until = now + load_s
        asyncio.get_running_loop().call_later(load_s, self._loaded, order["gen"])
        return Reply(202)

    def _loaded(self, gen: int) -> None:
        self.gen = max(self.gen, gen)

    def _check_order(self, fence: int, owner: str, now: float) -> None:
        expect = self.world.expect
        (last_fence, last_owner, last_at) = self.last
        if self.excused(owner):
            return
        known = self.owners.setdefault(fence, owner)
        expect(known == owner, "one holder", f"{known} and {owner} with {fence}")
        expect(fence >= last_fence, "fences rise", f"{fence} of {owner} after {last_fence} of {last_owner}")
        overlaps = owner != last_owner and now - last_at < LEASE_S
        expect(not overlaps, "holders take turns", f"{owner} {now - last_at:.2f} s after {last_owner}")
        self.last = (fence, owner, now)
