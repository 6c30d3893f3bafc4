"""Text generation for an item: attempts at servers, each resuming after the last event, until the text is complete."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from otterreach.proxy.exchange import Exchange, ExchangeOptions, Execution, Outcome
from otterreach.proxy.fleet import Fleet, Server
from otterreach.proxy.item_placement import ItemPlacer
from otterreach.proxy.item_queue import ItemQueue
from otterreach.proxy.item_run import Abandoned, ItemAttempt, ItemRun, Placement, Reason, StopReason
from otterreach.proxy.outbound import Headers
from otterreach.proxy.send_permission import SendPermission
from otterreach.runtime.configuration import Route

STREAM_TIMEOUT_S = 1.2  # an attempt is stalled after this time without data after the first event
FIRST_EVENT_TIMEOUT_S = 2.5  # likewise before it; longer, since the item may wait in the server's queue
SERVER_TIMEOUT_S = 0.8  # without data on any connection to the server; otherwise the limits above are doubled
STALL_CHECK_S = 0.25


class TextGeneration:
    """Generates the texts of items at model servers."""

    def __init__(self, fleet: Fleet, placer: ItemPlacer, queue: ItemQueue, permission: SendPermission) -> None:
        self.fleet = fleet
        self.loop = fleet.loop
        self.placer = placer
        self.queue = queue
        self.permission = permission
        self._checked_at = self.loop.time()

    async def generate(self, run: ItemRun) -> str:
        """Generate the complete text of an item.

        :returns: an empty string, or the reason for a permanent failure of the item
        """
        while isinstance(run.placement, Placement):
            route = run.placement.route
            server = run.placement.server
            outcome, attempt = await self._attempt(run, route, server)
            verdict = self._evaluate(run, route, server, outcome, attempt)
            if verdict is not None:
                return verdict
            await self.queue.wait_for_server(run)
        assert isinstance(run.placement, Abandoned)
        return run.placement.reason

    async def _attempt(self, run: ItemRun, route: Route, server: Server) -> tuple[Outcome, ItemAttempt]:
        attempt = ItemAttempt(run, server, route.single)
        extra = self._resume_headers(run, route)
        fits = self.placer.filter_for(run, route.single)

        def may_write() -> bool:
            """Return True if the item may still be sent; checked right before the write."""
            server.estimate.in_flight -= 1  # this attempt is already counted
            fit = fits(server)
            server.estimate.in_flight += 1
            return fit and self.permission.may_send(run) and self.fleet.may_write(server, run.host, run.path)

        run.events = 0
        options = ExchangeOptions(extra, attempt.on_head, attempt.on_body)
        exchange = run.exchange = self.fleet.exchange(server, run.outbound, run.abandon_at, may_write, options)
        run.server = server
        try:
            outcome = await self.fleet.attempt(server, exchange)
            self._record_contact(run, outcome)
            return outcome, attempt
        finally:
            run.exchange = None
            run.server = None

    def _record_contact(self, run: ItemRun, outcome: Outcome) -> None:
        """Record whether the server has answered, and whether the item may have been executed there."""
        if outcome.status:
            run.unreachable = 0
        elif outcome.reason != "unwanted":
            run.unreachable += 1
        if outcome.status and outcome.execution is not Execution.NOT_EXECUTED:
            run.left_server_at = self.loop.time()

    def _resume_headers(self, run: ItemRun, route: Route) -> Headers:
        """Return the headers that ask the server to resume after the last event."""
        headers: Headers = {}
        if run.transcript.last is not None:
            headers[b"last-event-id"] = b"%d" % run.transcript.last
            if route.single and run.text_version is not None:
                headers[b"expect-version"] = b"%d" % run.text_version
        elif len(run.transcript):
            run.restart()  # events without ids can't be resumed
        return headers

    def _evaluate(
        self, run: ItemRun, route: Route, server: Server, outcome: Outcome, attempt: ItemAttempt
    ) -> str | None:
        """Evaluate an attempt.

        :returns: None to retry, an empty string if the text is complete, or the reason for a permanent failure
        """
        if run.transcript.broken:
            run.restart()
        if outcome.success and attempt.valid and not attempt.reader.partial and len(run.transcript):
            seconds = outcome.took_s / (run.events + 2)
            self.fleet.draw.record_response(server.estimate, route.name, seconds, self.loop.time())
            return ""
        if run.events:
            run.retries = 0
        run.avoided = {server.id} if self.fleet.draw.policy.avoid_failed_server else set()
        if outcome.reason == StopReason.VERSION:
            if route.single and run.transcript.versions:
                run.restart()
            return None
        if outcome.execution is Execution.ANSWERED and (reason := self._evaluate_answer(run, route, outcome.status)):
            return reason
        if outcome.reason == "wrong_server" and server.open and route.single and run.text_version is not None:
            # The server has a newer version, because versions never decrease.
            server.learn_version(run.model, run.text_version + 1)
        self.fleet.record_failed_attempt(server, route.name, outcome, STREAM_TIMEOUT_S)
        return None

    def _evaluate_answer(self, run: ItemRun, route: Route, status: int) -> str:
        """Return the reason for a permanent failure after a complete answer that is not a text, or an empty string."""
        if status == HTTPStatus.UNPROCESSABLE_ENTITY:
            return Reason.UNPROCESSABLE
        if status == HTTPStatus.INTERNAL_SERVER_ERROR:
            run.failures += 1
            if run.failures >= route.tries:
                return Reason.FAILED
        elif 400 <= status < 500:
            run.restart()
        return ""

    async def watch(self) -> None:
        """End stalled attempts, until cancelled.

        No attempt is ended right after a pause of this process, because every server would look stalled.
        """
        while True:
            await asyncio.sleep(STALL_CHECK_S)
            now = self.loop.time()
            was_paused = now - self._checked_at > 3 * STALL_CHECK_S
            self._checked_at = now
            if was_paused or not self.fleet.draw.policy.end_stalled_attempts:
                continue
            for run in list(self.queue.runs.values()):
                if run.exchange and run.server and run.exchange.sent_at:
                    self._end_if_stalled(run, run.exchange, run.server, now)

    def _end_if_stalled(self, run: ItemRun, exchange: Exchange, server: Server, now: float) -> None:
        idle_s = now - max(exchange.last_received_at, exchange.sent_at)
        limit = STREAM_TIMEOUT_S if run.events else FIRST_EVENT_TIMEOUT_S
        server_stalled = now - server.pool.last_received_at > SERVER_TIMEOUT_S
        if idle_s > limit and (server_stalled or idle_s > 2 * limit):
            exchange.give_up(StopReason.SILENT, True)
