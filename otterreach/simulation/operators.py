"""Operators and readers of the configuration: changes in all their forms, sent again until the answer is clear."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random

from otterreach.sidecar import http1
from otterreach.simulation import client
from otterreach.simulation.history import History, Sent
from otterreach.simulation.linearizability import Change, Outcome

PATCH_SHARE = 0.4
INVALID_SHARE = 0.05
STALE_SHARE = 0.05  # builds on an older version on purpose
TWICE_SHARE = 0.1  # sent to two machines at once
REPEAT_SHARE = 0.15  # an older change is sent once more
GIVE_UP_SHARE = 0.03  # after an unclear answer
THINK_S = (0.01, 0.3, 1.0)
AGAIN_S = (0.05, 0.4)
READ_S = (0.2, 0.6)


class Caller:
    """Calls `ctl` of one machine after the other. A share of the answers to it is lost on the way."""

    def __init__(self, random: Random, addresses: Callable[[], list[str]], lost_share: float = 0.0) -> None:
        self.random = random
        self.addresses = addresses
        self.lost_share = lost_share
        self.last = ""

    async def ask(
        self, method: str, path: str, body: bytes = b"", match: int | None = None, at: str = ""
    ) -> http1.Response | None:
        """The answer of the machine `at`, or of another one than was asked last. None: silence, or it was lost."""
        address = at or self._pick()
        self.last = address
        headers = {} if match is None else {b"If-Match": str(match).encode()}
        response = await client.ask(address, method, path, body, headers)
        lost = response is not None and self.random.random() < self.lost_share
        return None if lost else response

    def _pick(self) -> str:
        known = self.addresses()
        others = [address for address in known if address != self.last]
        return self.random.choice(others or known)


class Operator:
    """Changes on top of the newest version that it knows; the number of the next one often falls on another's."""

    def __init__(self, name: str, caller: Caller, history: History, stopping: Callable[[], bool]) -> None:
        self.name = name
        self.caller = caller
        self.history = history
        self.stopping = stopping
        self.random = caller.random
        self.loop = asyncio.get_running_loop()
        self.base = 0
        self.count = 0
        self.bases = [0]

    async def run(self) -> None:
        """Send changes and reads until the run ends."""
        while not self.stopping():
            sent = self._draw()
            await self._send(sent)
            if sent.change.outcome is Outcome.ACKNOWLEDGED:
                self._know(sent.change.gen)
            else:
                await self._look()
            if self.random.random() < REPEAT_SHARE:
                await self._copy(self.random.choice(self.history.sent))
            await asyncio.sleep(self.random.choice(THINK_S))

    def _know(self, gen: int) -> None:
        self.base = max(self.base, gen)
        self.bases.append(self.base)

    def _draw(self) -> Sent:
        self.count += 1
        random = self.random
        mark = f"{self.name}-{self.count}"
        base = random.choice(self.bases) if random.random() < STALE_SHARE else self.base
        change = Change(base, base + random.randint(1, 3), mark, True, self.loop.time())
        if base and random.random() < PATCH_SHARE:
            change.whole = False
        valid = random.random() >= INVALID_SHARE
        sent = Sent(change, "PUT" if change.whole else "PATCH", _body(change, valid), valid)
        self.history.sent.append(sent)
        return sent

    async def _send(self, sent: Sent) -> None:
        """Until the answer is clear, or it is given up."""
        while not self.stopping():
            copies = 2 if self.random.random() < TWICE_SHARE else 1
            await asyncio.gather(*(self._copy(sent) for _ in range(copies)))
            if sent.change.outcome is not Outcome.UNCLEAR or self.random.random() < GIVE_UP_SHARE:
                return
            await asyncio.sleep(self.random.uniform(*AGAIN_S))

    async def _copy(self, sent: Sent) -> None:
        response = await self.caller.ask(sent.method, "/config", sent.body, sent.change.base)
        if response is not None:
            self.history.answered(sent, response.status, self.loop.time())

    async def _look(self) -> None:
        if gen := await read(self.caller, self.history):
            self._know(gen)


def _body(change: Change, valid: bool) -> bytes:
    backend = "b" if valid else "unknown"
    place = {"host": f"{change.mark}.example", "prefix": "/p/", "kind": "idem", "timeoutMs": 1}
    routes = [{"name": change.mark, "backend": backend} | place]
    if change.whole:
        return json.dumps({"gen": change.gen, "routes": routes, "backends": [{"name": "b"}]}).encode()
    return json.dumps({"gen": change.gen, "upsert": {"routes": routes}}).encode()


async def read(caller: Caller, history: History, at: str = "") -> int:
    """Read the configuration once. Its version, or 0 without a clear answer."""
    loop = asyncio.get_running_loop()
    called = loop.time()
    response = await caller.ask("GET", "/config", at=at)
    if response is None:
        return 0
    if response.status == 404:
        history.read_nothing(called, loop.time())
    return history.read(response.body, called, loop.time()) if response.status == 200 else 0


async def watch_reads(caller: Caller, history: History, place: int, stopping: Callable[[], bool]) -> None:
    """Read again and again from one machine, the one at this place of the callers' list.

    At once when a change has been acknowledged, for that is when an old primary may still answer.
    """
    while not stopping():
        addresses = caller.addresses()
        if place < len(addresses):
            await read(caller, history, addresses[place])
        await history.next_acknowledgement(caller.random.uniform(*READ_S))
