"""Final audit: at the end of a run, every lock, number, key and watch is requested until it gives a definite answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from http import HTTPStatus

from otterreach.simulation.coordination_callers import acquire_once, request_number
from otterreach.simulation.coordination_client import CoordinationClient
from otterreach.simulation.coordination_history import Call, CoordinationHistory, Rule, Violation
from otterreach.simulation.coordination_key_callers import Watcher, read_key

RETRY_FOR_S = 3.0  # a call without a definite answer is retried for this long
RETRY_DELAY_S = 0.1
HOLD_S = 0.5
WAIT_S = 0.5
OWNER = "auditor"
DEFINITE_STATUSES = (HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND, HTTPStatus.GONE)

SendCall = Callable[[], Awaitable[Call]]


class FinalAudit:
    """Calls every lock, number, key and watch; the answers become part of the history that the checkers verify."""

    def __init__(self, client: CoordinationClient) -> None:
        self.client = client
        self.history: CoordinationHistory = client.history

    async def run(
        self, locks: Sequence[str], numbers: Sequence[str], keys: Sequence[str], watchers: Sequence[Watcher]
    ) -> None:
        """Call each resource until it gives a definite answer."""
        for lock in locks:
            await self._retry_until_definite(partial(self._acquire_lock, lock))
        for name in numbers:
            await self._retry_until_definite(partial(request_number, self.client, name, final=True))
        for key in keys:
            await self._retry_until_definite(partial(read_key, self.client, key, final=True))
        for watcher in watchers:
            await self._check_watcher(watcher)

    async def _check_watcher(self, watcher: Watcher) -> None:
        """Watch from the current revision, and from the oldest and the newest revision that can be resumed from."""
        await self._retry_until_definite(partial(watcher.watch, 0, WAIT_S, final=True))
        resumable = watcher.resumable_revisions()
        for revision in sorted({received.revision for received in (*resumable[:1], *resumable[-1:])}):
            await self._retry_until_definite(partial(watcher.watch, revision, WAIT_S, final=True))

    async def _acquire_lock(self, lock: str) -> Call:
        await acquire_once(self.client, OWNER, lock, HOLD_S, final=True)
        return self.history.acquires[-1]

    async def _retry_until_definite(self, send_call: SendCall) -> None:
        loop = asyncio.get_running_loop()
        give_up = loop.time() + RETRY_FOR_S
        while True:
            call = await send_call()
            if call.status in DEFINITE_STATUSES:
                return
            if loop.time() > give_up:
                self.history.violations.append(
                    Violation(Rule.LOST, f"no definite answer within {RETRY_FOR_S} s at the end of the run: {call}")
                )
                return
            await asyncio.sleep(RETRY_DELAY_S)
