"""Event streams for clients: events are forwarded as they arrive; a broken stream may be resumed at another server."""

from __future__ import annotations

from http import HTTPStatus

from otterreach.proxy.client_connection import Client
from otterreach.proxy.events import EventReader
from otterreach.proxy.exchange import Exchange, ExchangeOptions, Execution, Outcome
from otterreach.proxy.fleet import Server
from otterreach.proxy.outbound import Headers
from otterreach.proxy.requests import ClientRequest, Requests, parse_number, response_headers
from otterreach.runtime.configuration import Route
from otterreach.sidecar import http1

MIN_STALL_S = 1.5  # minimum time without data after which a resumable stream is retried at another server
STALL_IN_TARGETS = 3.0  # the same limit in latency targets of the route; the larger one applies
STALL_CHECK_S = 0.25


class _Relay:
    """One answer to a client, across all servers that contribute to it."""

    def __init__(self, attempt: ClientRequest, route: Route) -> None:
        self.attempt = attempt
        self.client = attempt.client
        self.resume = route.resume
        self.begun = False
        self.broken = False
        self.last = parse_number(attempt.request.headers.get(b"last-event-id"))
        self.first_data_s = 0.0  # time from the write to the first data of the current server
        self._reader = EventReader()
        self._is_valid = False
        self._must_follow_last = False
        self.exchange: Exchange | None = None

    def attach(self, exchange: Exchange) -> None:
        """Continue the stream with the exchange of another server."""
        self.exchange = exchange
        self._reader = EventReader()
        self._is_valid = False
        self.first_data_s = 0.0
        # The first event of the new server must directly follow the last one.
        self._must_follow_last = self.last is not None and self.begun

    def head(self, status: int, headers: Headers) -> None:
        """Process the head of an answer; only a 2xx answer with Reply-Seal and no content encoding is a stream."""
        self._is_valid = 200 <= status < 300 and b"reply-seal" in headers and b"content-encoding" not in headers
        if self._is_valid and not self.begun:
            self.begun = True
            self.client.begin(status, response_headers(headers))

    def body(self, data: bytes) -> None:
        """Process bytes of the current server's answer and forward new events."""
        assert self.exchange
        if not self._is_valid:
            return
        if not self.first_data_s:
            self.first_data_s = max(1e-6, self.exchange.loop.time() - self.exchange.sent_at)
        if not self.resume:
            self.client.write(data)
            return
        forwarded = []
        for event in self._reader.feed(data):
            if self.last is not None and event.ident is not None and event.ident <= self.last:
                continue  # the client has it already
            if self._must_follow_last and event.ident != (self.last or 0) + 1:
                self.broken = True
                self.exchange.give_up("gap")
                return
            self._must_follow_last = False
            self.last = event.ident if event.ident is not None else self.last
            forwarded.append(event.raw)
        self.client.write(b"".join(forwarded))

    def finish(self) -> None:
        """End the answer, forwarding the remaining bytes, which do not form an event, unchanged."""
        self.client.write(self._reader.rest)
        self.client.end()


class Streams:
    """Handler of `stream` routes. Retries and error answers follow the rules of other requests (Requests)."""

    def __init__(self, requests: Requests) -> None:
        self.requests = requests
        self.fleet = requests.fleet
        self.loop = requests.loop

    async def handle(self, request: http1.Request, client: Client, route: Route) -> None:
        """Handle a request on a `stream` route up to the end of its answer."""
        if not request.headers.get(b"request-id"):
            client.respond(HTTPStatus.BAD_REQUEST)
            return
        attempt = self.requests.accept(request, client, route)
        relay = _Relay(attempt, route)
        while True:
            current_route = self._route(attempt, relay)
            if current_route is None:
                return
            server = self.fleet.pick(current_route, attempt.avoid)
            if server is None:
                if relay.begun or not await self.requests.wait_for_admission(attempt, current_route):
                    self._give_up(attempt, current_route, relay)
                    return
                continue
            outcome = await self._run_attempt(attempt, current_route, server, relay)
            if self._process_outcome(attempt, current_route, server, outcome, relay):
                return

    def _route(self, attempt: ClientRequest, relay: _Relay) -> Route | None:
        if not relay.begun:
            return self.requests.next_route(attempt)
        route = self.fleet.config.route(attempt.host, attempt.path)
        if route is None or not route.resume:
            attempt.client.abort()
            return None
        return route

    async def _run_attempt(self, attempt: ClientRequest, route: Route, server: Server, relay: _Relay) -> Outcome:
        extra: Headers = {}
        if relay.resume and relay.last is not None:
            extra[b"last-event-id"] = b"%d" % relay.last
        exchange = self.fleet.exchange(
            server,
            attempt.outbound,
            attempt.deadline,
            self.requests.write_check(attempt, server),
            ExchangeOptions(extra, relay.head, relay.body, fresh_only=not attempt.idempotent),
        )
        relay.attach(exchange)
        stall_s = max(MIN_STALL_S, STALL_IN_TARGETS * route.target_s)
        may_resume = attempt.idempotent and len(attempt.sent_to) + 1 < route.tries
        if may_resume:
            self.loop.call_later(STALL_CHECK_S, self._check_stall, exchange, stall_s)
        return await self.fleet.attempt(server, exchange)

    def _check_stall(self, exchange: Exchange, stall_s: float) -> None:
        """End a stalled exchange; polls at STALL_CHECK_S instead of resetting a timer at each event."""
        if exchange.is_done:
            return
        if exchange.sent_at and self.loop.time() - max(exchange.last_received_at, exchange.sent_at) > stall_s:
            exchange.give_up("silent", True)
        else:
            self.loop.call_later(STALL_CHECK_S, self._check_stall, exchange, stall_s)

    def _process_outcome(
        self, attempt: ClientRequest, route: Route, server: Server, outcome: Outcome, relay: _Relay
    ) -> bool:
        """Process an outcome; return True if the answer to the client is finished."""
        complete = outcome.execution is Execution.ANSWERED and outcome.success
        if complete:
            relay.finish()
            self.fleet.draw.record_response(
                server.estimate, route.name, relay.first_data_s or outcome.took_s, self.loop.time()
            )
            return True
        answered = self.requests.record_outcome(attempt, route, server, outcome)
        if answered and not relay.begun:
            attempt.client.respond(outcome.status, response_headers(outcome.headers), outcome.body)
            return True
        may_continue = not answered and self.requests.may_retry(attempt, route) and (not relay.begun or relay.resume)
        if may_continue and not relay.broken:
            return False
        self._give_up(attempt, route, relay)
        return True

    def _give_up(self, attempt: ClientRequest, route: Route, relay: _Relay) -> None:
        """Abort a stream that has begun, so that it does not look complete; otherwise send a final answer."""
        if relay.begun:
            attempt.client.abort()
            return
        last = self.requests.final_answer(attempt, route)
        if last is not None:
            attempt.client.respond(last.status, response_headers(last.headers), last.body)
