"""Bringing servers to a named version of their weights: one holder for each server, under a fence that rises.

The primary controller gives each server to a living proxy (`duty/<server>`; its rev is the fence). A holder orders
only while its copy of the control state is surely newer than LEASE_S; the next waits until that and leaseMs are over.
Which server goes first is the same order everywhere, so that no more load at once than the deployment bears.
"""

from __future__ import annotations

import asyncio
import zlib
from typing import Any

from otterreach.proxy.messages import Loaded, Release
from otterreach.proxy.model_server import Client, ModelServer, Order, OrderResult
from otterreach.runtime.codes import Failure
from otterreach.runtime.log import log
from otterreach.runtime.node import Node

LOOK_S = 0.1
LEASE_S = 1.5  # how old the holder's copy may be when it orders
MARGIN_S = 0.3
REPORT_S = 0.2  # between two looks at a server that loads
REPORT_OLD_S = 0.8  # a report is surely from after what was done before that
LOAD_S = 6.0  # a load that takes longer is asked for anew
STUCK_S = 2.5  # a server that is due and doesn't get there keeps no other waiting for longer
BACKOFF_S = 0.4
WRONG_SERVER_S = 2.0  # until the list shows who is at the address
NOTED_S = 5.0  # within this what was done is to be seen in the control state
AT_ONCE, AT_ONCE_SHARE = 3, 1 / 3  # servers that load at once: the larger of a number and a share of them
NEVER_MS = 10**9
LOOK_AGAIN = (OrderResult.TAKEN, OrderResult.CONFLICT, OrderResult.UNCLEAR)  # the report tells how it goes on


def model_gen(server: dict[str, Any], model: str) -> int | None:
    """The version of a model that a server has; None if it doesn't serve it."""
    return next((m["gen"] for m in server["models"] if m["name"] == model), None)


def takeover_s(lease_s: float, ordered_s: float | None) -> float:
    """How long the next holder waits: `ordered_s` since the last order of one that let go, None of one that died."""
    if ordered_s is None:
        return LEASE_S + lease_s + MARGIN_S
    return max(0.0, lease_s + MARGIN_S - ordered_s)


Due = tuple[str, str, int]  # server, model, version


def due(servers: dict[str, dict[str, Any]], versions: dict[str, dict[str, Any]]) -> list[Due]:
    """All that is still to be brought to a version, in the order that is the same at every holder."""
    found = [
        (ident, model, int(version["gen"]))
        for model, version in versions.items()
        for ident, server in servers.items()
        if server["state"] == "up" and (gen := model_gen(server, model)) is not None and gen < version["gen"]
    ]
    return sorted(found, key=lambda d: (zlib.crc32(f"{d[1]} {d[2]} {d[0]}".encode()), d))


class Orders:
    """The duties that this proxy holds."""

    def __init__(self, node: Node, client: Client) -> None:
        self.node, self.store, self.client = node, node.store, client
        self.loop = asyncio.get_running_loop()
        self.leaving = False
        self.loading: dict[str, asyncio.Task[None]] = {}  # by server id
        self._ordered: dict[str, float] = {}  # when the last order to a server went out
        self._seen: dict[str, tuple[int, float]] = {}  # by server: the fence, and from when it may be used
        self._due_since: dict[Due, float] = {}
        self._retry: dict[str, float] = {}
        self._done: dict[tuple[str, str], tuple[int, float]] = {}  # (server, model): brought to a version, and when
        self._taken: dict[str, int | None] = {}  # by server: the orders it has taken, where that is known
        self._fenced: dict[str, int] = {}  # by server: a fence of ours that it refused as too low
        self._known: tuple[int, dict[str, int], list[Due], int] = (-1, {}, [], 0)  # by the store's rev

    def mine(self) -> dict[str, int]:
        """Servers in this proxy's hand, with their fences."""
        return {
            ident: self.store.items[f"duty/{ident}"].rev
            for ident, duty in self.store.named("duty").items()
            if duty["holder"] == self.node.settings.node
        }

    def fence(self, ident: str) -> int:
        """The fence under which an order to this server may go out right now; 0: none may."""
        duty, now = self.store.get(f"duty/{ident}"), self.loop.time()
        if self.leaving or not duty or duty["holder"] != self.node.settings.node:
            return 0
        rev = self.store.items[f"duty/{ident}"].rev
        seen = self._seen.get(ident)
        if seen is None or seen[0] != rev:
            seen = self._seen[ident] = (rev, now + duty["wait_ms"] / 1000)
        return rev if now >= seen[1] and self.node.follower.age_s() < LEASE_S else 0

    async def run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            if self.store.rev:
                self.step()

    def step(self) -> None:
        """Start the loads that are due here."""
        if self._known[0] != self.store.rev:
            self._look()
        _, mine, rows, engines = self._known
        if not mine or not rows:
            return
        for ident, model, gen in self._turn(rows, engines):
            server = self.store.get(f"server/{ident}")
            if server and ident in mine and ident not in self.loading and self._wanted(ident, model, gen):
                self.loading[ident] = asyncio.ensure_future(self._load(ident, server["addr"], model, gen))

    def _look(self) -> None:
        """What the control state says now."""
        servers, mine = self.store.named("server"), self.mine()
        for ident in mine:
            self.fence(ident)  # the wait counts from when it is first seen
        rows = due(servers, self.store.named("version"))
        self._due_since = {row: self._due_since[row] for row in rows if row in self._due_since}
        self._done = {key: done for key, done in self._done.items() if key[0] in servers}
        self._taken = {ident: taken for ident, taken in self._taken.items() if ident in mine}
        self._fenced = {ident: fence for ident, fence in self._fenced.items() if ident in mine}
        self._known = (self.store.rev, mine, rows, sum(bool(s["models"]) for s in servers.values()))

    def _wanted(self, ident: str, model: str, gen: int) -> bool:
        """Danger: until the control state shows what was done it would be ordered again and again."""
        now, (done, at) = self.loop.time(), self._done.get((ident, model), (0, 0.0))
        return self._retry.get(ident, 0.0) <= now and (done < gen or now - at > NOTED_S)

    def _turn(self, rows: list[Due], engines: int) -> list[Due]:
        """Whose turn it is, at this proxy or another: a server takes one order at a time."""
        now, room = self.loop.time(), max(AT_ONCE, round(engines * AT_ONCE_SHARE))
        turn: list[Due] = []
        busy: set[str] = set()
        for row in rows:
            if room <= 0:
                break
            if row[0] in busy:
                continue
            busy.add(row[0])
            since = self._due_since.setdefault(row, now)
            turn.append(row)
            room -= now - since < STUCK_S
        return turn

    async def _load(self, ident: str, address: str, model: str, gen: int) -> None:
        try:
            await self._bring(ident, address, model, gen)
        finally:
            self.loading.pop(ident, None)

    async def _bring(self, ident: str, address: str, model: str, gen: int) -> None:
        """Order one server to a version and wait until it has it."""
        fence = self.fence(ident)
        if not fence or self._fenced.get(ident) == fence:
            return
        server = ModelServer(self.client, ident, address)
        result = await self._order(server, model, gen, fence)
        holds = result is OrderResult.HOLDS
        if holds or (result in LOOK_AGAIN and await self._loaded(server, model, gen)):
            self._done[ident, model] = (gen, self.loop.time())
            await self._note(ident, model, gen)
        elif result is OrderResult.WRONG_SERVER:
            self._retry[ident] = self.loop.time() + WRONG_SERVER_S
        else:
            self._retry[ident] = self.loop.time() + BACKOFF_S

    async def _order(self, server: ModelServer, model: str, gen: int, fence: int) -> OrderResult:
        """Send the order, unless the server's report makes it needless or impossible."""
        ident = server.ident
        if ident not in self._taken:
            report = await server.report()
            if report is None:
                return OrderResult.NOT_SENT
            if report.versions.get(model, 0) >= gen:
                return OrderResult.HOLDS
            if report.busy:
                return OrderResult.CONFLICT
            self._taken[ident] = report.calls
        order = Order(model, gen, self.node.settings.node, fence, self._taken[ident])

        def may() -> bool:
            """Danger: while a connection was opened the lease may have run out."""
            self._ordered[ident] = self.loop.time()
            return self.fence(ident) == fence

        result, status = await server.order(order, may)
        log("order", server=ident, model=model, gen=gen, fence=fence, status=status)
        self._learn(ident, order, result)
        return result

    def _learn(self, ident: str, order: Order, result: OrderResult) -> None:
        """What is known now of the orders that the server has taken."""
        if result is OrderResult.TAKEN and order.expect is not None:
            self._taken[ident] = order.expect + 1
        elif result is not OrderResult.NOT_SENT:
            self._taken.pop(ident, None)
        if result is OrderResult.FENCED:
            self._fenced[ident] = order.fence

    async def _loaded(self, server: ModelServer, model: str, gen: int) -> bool:
        began = self.loop.time()
        while self.loop.time() < began + LOAD_S:
            await asyncio.sleep(REPORT_S)
            known = self.store.get(f"server/{server.ident}")
            if not known or known["state"] != "up":
                return False
            if (model_gen(known, model) or 0) >= gen:
                return True
            report = await server.report()
            if report is None:
                return False
            if report.versions.get(model, 0) >= gen:
                return True
            # Danger: a report is some hundred ms old; one from before the order would have it ordered twice.
            if not report.busy and self.loop.time() > began + REPORT_OLD_S:
                self._taken[server.ident] = report.calls
                return False
        return False

    async def _note(self, ident: str, model: str, gen: int) -> None:
        """Have all told at once, sooner than the server's next heartbeat."""
        for _ in range(3):
            if not isinstance(await self.node.ask_primary(Loaded(ident, model, gen)), Failure):
                return
            await asyncio.sleep(LOOK_S)

    async def leave(self) -> None:
        """Let go of all, telling how long ago the last orders were."""
        self.leaving = True
        now = self.loop.time()
        for ident in self.mine():
            ago = now - self._ordered[ident] if ident in self._ordered else None
            ordered_ms = NEVER_MS if ago is None else int(ago * 1000)
            await self.node.ask_primary(Release(self.node.settings.node, ident, ordered_ms))
