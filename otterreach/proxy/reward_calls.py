"""Reward calls: request the score of an item's complete text from a scorer, with retries."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from otterreach.proxy.directory import JobStoreDirectory
from otterreach.proxy.exchange import Execution, Outcome
from otterreach.proxy.fleet import Fleet, Server
from otterreach.proxy.item_run import ItemRun, Reason
from otterreach.proxy.outbound import Outbound
from otterreach.proxy.send_permission import SendPermission
from otterreach.runtime.configuration import Route

SCORER_SHARE = 0.8  # of this proxy's share of the scorers' slots; the rest is left to requests of clients
MIN_CALLS = 2
MIN_ATTEMPT_S = 1.0
MAX_ATTEMPT_S = 3.0
RECHECK_S = 0.05  # interval between checks while no call may be sent
RETRY_PAUSE_S = 0.02


@dataclass(frozen=True, slots=True)
class Reward:
    """The score, or the reason for a permanent failure."""

    score: str = ""
    reason: str = ""


class RewardCalls:
    """Makes the reward calls of this proxy."""

    def __init__(self, fleet: Fleet, directory: JobStoreDirectory, permission: SendPermission) -> None:
        self.fleet = fleet
        self.loop = fleet.loop
        self.directory = directory
        self.permission = permission
        self._in_flight = 0

    async def call(self, run: ItemRun) -> Reward:
        """Retry until there is a score or the item is abandoned."""
        outbound = self._outbound(run)
        path = run.work.scorer_path.partition("?")[0]
        item_route = self.fleet.config.route(run.host, run.path)
        max_failures = item_route.tries if item_route else 1
        avoided: set[str] = set()
        while True:
            if self.loop.time() > run.abandon_at:
                return Reward(reason=Reason.WAITED)
            route = self.fleet.config.route(run.work.scorer_host, path)
            if route is None or not self._has_capacity(route):
                await asyncio.sleep(RECHECK_S * self.fleet.draw.random.random())
                continue
            server = self.fleet.pick(route, avoided) if self.directory.is_confirmed_recently(run.job) else None
            if server is None:
                await asyncio.sleep(RECHECK_S)
                continue
            outcome = await self._attempt(run, route, server, outbound, path)
            if outcome.success:
                self.fleet.draw.record_response(server.estimate, route.name, outcome.took_s, self.loop.time())
                return Reward(score=outcome.headers[b"reply-seal"].decode("latin-1"))
            if outcome.execution is Execution.ANSWERED and outcome.status == HTTPStatus.INTERNAL_SERVER_ERROR:
                run.reward_failures += 1
                if run.reward_failures >= max(max_failures, route.tries):
                    return Reward(reason=Reason.REWARD_FAILED)
            self.fleet.record_failed_attempt(server, route.name, outcome, max(route.target_s, MIN_ATTEMPT_S))
            avoided = {server.id}
            await asyncio.sleep(RETRY_PAUSE_S * (1 + self.fleet.draw.random.random()))

    def _outbound(self, run: ItemRun) -> Outbound:
        work = run.work
        ident = work.scorer_id.encode()
        headers = {b"host": work.scorer_host.encode(), b"request-id": ident}
        return Outbound(b"POST", work.scorer_path.encode("latin-1"), headers, work.scorer_body, ident)

    def _has_capacity(self, route: Route) -> bool:
        """Return True if another reward call may be started; the limit matters when many items complete at once."""
        cap = self.fleet.total_slots({name for name, _ in route.split})
        return self._in_flight < max(MIN_CALLS, round(cap / self.fleet.runners * SCORER_SHARE))

    async def _attempt(self, run: ItemRun, route: Route, server: Server, outbound: Outbound, path: str) -> Outcome:
        timeout_s = min(route.timeout_s, MAX_ATTEMPT_S, max(MIN_ATTEMPT_S, 4 * route.target_s))

        def may_write() -> bool:
            """Return True if the call may still be sent; checked right before the write."""
            return self.permission.may_send(run) and self.fleet.may_write(server, run.work.scorer_host, path)

        exchange = self.fleet.exchange(server, outbound, self.loop.time() + timeout_s, may_write)
        self._in_flight += 1
        try:
            return await self.fleet.attempt(server, exchange)
        finally:
            self._in_flight -= 1
