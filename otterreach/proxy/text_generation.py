"""An item's text: attempts at servers, each going on where the one before broke off, until the text is whole."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from otterreach.proxy.exchange import Exchange, Execution, Headers, Outcome
from otterreach.proxy.fleet import Fleet, Server
from otterreach.proxy.item_placement import ItemPlacer
from otterreach.proxy.item_queue import ItemQueue
from otterreach.proxy.item_run import Abandoned, ItemAttempt, ItemRun, Placement, Reason, StopReason
from otterreach.proxy.send_permission import SendPermission
from otterreach.runtime.configuration import Route

STREAM_TIMEOUT_S = 1.2  # between events, of a server that says nothing on any connection
FIRST_EVENT_TIMEOUT_S = 2.5  # before the first event: it may wait in the server's queue
SERVER_TIMEOUT_S = 0.8
STALL_CHECK_S = 0.25


class TextGeneration:
    """Runs items at servers."""

    def __init__(self, fleet: Fleet, placer: ItemPlacer, queue: ItemQueue, permission: SendPermission) -> None:
        self.fleet = fleet
        self.loop = fleet.loop
        self.placer = placer
        self.queue = queue
        self.permission = permission
        self._checked_at = self.loop.time()

    async def generate(self, run: ItemRun) -> str:
        """The whole text. Returns nothing, or why the item has failed for good."""
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

        def wanted() -> bool:
            """Whether it may still be sent, asked right before the write."""
            server.estimate.in_flight -= 1  # it is counted already
            fit = fits(server)
            server.estimate.in_flight += 1
            return fit and self.permission.may_send(run) and self.fleet.may_write(server, run.host, run.path)

        run.events = 0
        exchange = run.exchange = self.fleet.exchange(
            server, run.outbound, run.abandon_at, wanted, extra, attempt.on_head, attempt.on_body
        )
        run.server = server
        try:
            outcome = await self.fleet.attempt(server, exchange)
            self._record_contact(run, outcome)
            return outcome, attempt
        finally:
            run.exchange = None
            run.server = None

    def _record_contact(self, run: ItemRun, outcome: Outcome) -> None:
        """Whether the item has been at the server, and whether the server was there at all."""
        if outcome.status:
            run.unreachable = 0
        elif outcome.reason != "unwanted":
            run.unreachable += 1
        if outcome.status and outcome.execution is not Execution.NOT_EXECUTED:
            run.left_server_at = self.loop.time()

    def _resume_headers(self, run: ItemRun, route: Route) -> Headers:
        """What asks the server to go on after the last event."""
        headers: Headers = {}
        if run.transcript.last is not None:
            headers[b"last-event-id"] = b"%d" % run.transcript.last
            if route.single and run.text_version is not None:
                headers[b"expect-version"] = b"%d" % run.text_version
        elif len(run.transcript):
            run.restart()  # without ids nothing can be resumed
        return headers

    def _evaluate(
        self, run: ItemRun, route: Route, server: Server, outcome: Outcome, attempt: ItemAttempt
    ) -> str | None:
        """What an attempt means: None to go on, nothing if the text is whole, or why the item has failed."""
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
            server.learn_version(run.model, run.text_version + 1)  # it has moved on: versions only rise
        self.fleet.record_failed_attempt(server, route.name, outcome, STREAM_TIMEOUT_S)
        return None

    def _evaluate_answer(self, run: ItemRun, route: Route, status: int) -> str:
        """A whole answer that is no text: why the item has failed, or nothing to go on."""
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
        """Break off what is silent. Danger: after a stand-still of this process everything looks silent."""
        while True:
            await asyncio.sleep(STALL_CHECK_S)
            now = self.loop.time()
            late = now - self._checked_at > 3 * STALL_CHECK_S
            self._checked_at = now
            if late or not self.fleet.draw.policy.end_stalled_attempts:
                continue
            for run in list(self.queue.runs.values()):
                if run.exchange and run.server and run.exchange.sent_at:
                    self._end_if_stalled(run, run.exchange, run.server, now)

    def _end_if_stalled(self, run: ItemRun, exchange: Exchange, server: Server, now: float) -> None:
        quiet = now - max(exchange.last_received_at, exchange.sent_at)
        limit = STREAM_TIMEOUT_S if run.events else FIRST_EVENT_TIMEOUT_S
        server_stalled = now - server.pool.last_received_at > SERVER_TIMEOUT_S
        if quiet > limit and (server_stalled or quiet > 2 * limit):
            exchange.give_up(StopReason.SILENT, True)
