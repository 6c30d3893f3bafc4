"""Operators and readers of the configuration; changes of all forms are retried until their outcome is known."""

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
STALE_SHARE = 0.05  # share of changes that are based on an older version on purpose
CONCURRENT_SHARE = 0.1  # share of attempts sent to two machines at once
REPEAT_SHARE = 0.15  # share of steps after which an older change is sent again
GIVE_UP_SHARE = 0.03  # share of unclear answers after which a change is not retried
PAUSE_S = (0.01, 0.3, 1.0)
RETRY_S = (0.05, 0.4)
READ_INTERVAL_S = (0.2, 0.6)


class Caller:
    """Calls the `ctl` address of a different machine each time; a share of the answers is lost."""

    def __init__(self, random: Random, addresses: Callable[[], list[str]], lost_share: float = 0.0) -> None:
        self.random = random
        self.addresses = addresses
        self.lost_share = lost_share
        self.last = ""

    async def ask(
        self, method: str, path: str, body: bytes = b"", match: int | None = None, at: str = ""
    ) -> http1.Response | None:
        """Return the answer of the machine `at`, by default not the last one called; None if no answer arrived."""
        address = at or self._pick_address()
        self.last = address
        headers = {} if match is None else {b"If-Match": str(match).encode()}
        response = await client.ask(address, method, path, body, headers)
        lost = response is not None and self.random.random() < self.lost_share
        return None if lost else response

    def _pick_address(self) -> str:
        known = self.addresses()
        others = [address for address in known if address != self.last]
        return self.random.choice(others or known)


class Operator:
    """Submits changes based on the newest version known to it; the new version numbers often collide with others."""

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
            await self._send_until_clear(sent)
            if sent.change.outcome is Outcome.ACKNOWLEDGED:
                self._advance_base(sent.change.gen)
            else:
                await self._read_version()
            if self.random.random() < REPEAT_SHARE:
                await self._send_once(self.random.choice(self.history.sent))
            await asyncio.sleep(self.random.choice(PAUSE_S))

    def _advance_base(self, gen: int) -> None:
        self.base = max(self.base, gen)
        self.bases.append(self.base)

    def _draw(self) -> Sent:
        self.count += 1
        random = self.random
        mark = f"{self.name}-{self.count}"
        base = random.choice(self.bases) if random.random() < STALE_SHARE else self.base
        change = Change(base, base + random.randint(1, 3), mark, True, self.loop.time())
        if base and random.random() < PATCH_SHARE:
            change.replaces_content = False
        valid = random.random() >= INVALID_SHARE
        sent = Sent(change, "PUT" if change.replaces_content else "PATCH", _body(change, valid), valid)
        self.history.sent.append(sent)
        return sent

    async def _send_until_clear(self, sent: Sent) -> None:
        """Send a change until its outcome is known or the operator gives up."""
        while not self.stopping():
            count = 2 if self.random.random() < CONCURRENT_SHARE else 1
            await asyncio.gather(*(self._send_once(sent) for _ in range(count)))
            if sent.change.outcome is not Outcome.INDETERMINATE or self.random.random() < GIVE_UP_SHARE:
                return
            await asyncio.sleep(self.random.uniform(*RETRY_S))

    async def _send_once(self, sent: Sent) -> None:
        response = await self.caller.ask(sent.method, "/config", sent.body, sent.change.base)
        if response is not None:
            self.history.record_answer(sent, response.status, self.loop.time())

    async def _read_version(self) -> None:
        if gen := await read(self.caller, self.history):
            self._advance_base(gen)


def _body(change: Change, valid: bool) -> bytes:
    backend = "b" if valid else "unknown"
    fields = {"host": f"{change.mark}.example", "prefix": "/p/", "kind": "idem", "timeoutMs": 1}
    routes = [{"name": change.mark, "backend": backend} | fields]
    if change.replaces_content:
        return json.dumps({"gen": change.gen, "routes": routes, "backends": [{"name": "b"}]}).encode()
    return json.dumps({"gen": change.gen, "upsert": {"routes": routes}}).encode()


async def read(caller: Caller, history: History, at: str = "") -> int:
    """Read the configuration once, and return its version, or 0 without a clear answer."""
    loop = asyncio.get_running_loop()
    called = loop.time()
    response = await caller.ask("GET", "/config", at=at)
    if response is None:
        return 0
    if response.status == 404:
        history.record_empty_read(called, loop.time())
    return history.record_read(response.body, called, loop.time()) if response.status == 200 else 0


async def watch_reads(caller: Caller, history: History, index: int, stopping: Callable[[], bool]) -> None:
    """Read repeatedly from one machine, given by its index in the list of addresses.

    A read also follows each acknowledged change at once, as an old primary may still answer at that time.
    """
    while not stopping():
        addresses = caller.addresses()
        if index < len(addresses):
            await read(caller, history, addresses[index])
        await history.next_acknowledgement(caller.random.uniform(*READ_INTERVAL_S))
