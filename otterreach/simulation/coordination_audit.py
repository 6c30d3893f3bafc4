"""The end of a run: everything that was acknowledged is asked for again, each for some seconds at least."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from http import HTTPStatus

from otterreach.simulation.coordination_callers import acquire_once, request_number
from otterreach.simulation.coordination_client import CoordinationClient
from otterreach.simulation.coordination_history import Call, CoordinationHistory, Rule, Violation
from otterreach.simulation.coordination_key_callers import Watcher, read_key

REPEAT_S = 3.0  # a call without a clear answer is repeated for so long
AGAIN_S = 0.1
HOLD_S = 0.5
WAIT_S = 0.5
OWNER = "auditor"
CLEAR = (HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND, HTTPStatus.GONE)

Ask = Callable[[], Awaitable[Call]]


class FinalAudit:
    """Asks for locks, numbers, keys and watches; what the answers show is judged with the rest of the history."""

    def __init__(self, client: CoordinationClient) -> None:
        self.client = client
        self.history: CoordinationHistory = client.history

    async def run(
        self, locks: Sequence[str], numbers: Sequence[str], keys: Sequence[str], watchers: Sequence[Watcher]
    ) -> None:
        """Ask for everything, each until a clear answer has come."""
        for lock in locks:
            await self._until_clear(partial(self._lock, lock))
        for name in numbers:
            await self._until_clear(partial(request_number, self.client, name, final=True))
        for key in keys:
            await self._until_clear(partial(read_key, self.client, key, final=True))
        for watcher in watchers:
            await self._watches(watcher)

    async def _watches(self, watcher: Watcher) -> None:
        """From the present, and from the oldest and the newest revision that it has kept."""
        await self._until_clear(partial(watcher.watch, 0, WAIT_S, final=True))
        saved = watcher.saved()
        for revision in sorted({one.revision for one in (*saved[:1], *saved[-1:])}):
            await self._until_clear(partial(watcher.watch, revision, WAIT_S, final=True))

    async def _lock(self, lock: str) -> Call:
        await acquire_once(self.client, OWNER, lock, HOLD_S, final=True)
        return self.history.acquires[-1]

    async def _until_clear(self, ask: Ask) -> None:
        loop = asyncio.get_running_loop()
        give_up = loop.time() + REPEAT_S
        while True:
            call = await ask()
            if call.status in CLEAR:
                return
            if loop.time() > give_up:
                self.history.violations.append(Violation(Rule.LOST, f"no answer for {REPEAT_S} s at the end: {call}"))
                return
            await asyncio.sleep(AGAIN_S)
