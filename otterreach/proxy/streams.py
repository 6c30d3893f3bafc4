"""Streams for clients: events are passed on as they come; where the route allows it, a cut is taken up elsewhere."""

from __future__ import annotations

from http import HTTPStatus

from otterreach.proxy.events import EventReader
from otterreach.proxy.exchange import Exchange, Execution, Headers, Outcome
from otterreach.proxy.fleet import Server
from otterreach.proxy.ingress import Client
from otterreach.proxy.requests import ClientRequest, Requests, response_headers, whole_number
from otterreach.runtime.configuration import Route
from otterreach.sidecar import http1

MIN_STALL_S = 1.5  # a resumable stream that says nothing for so long is tried elsewhere, if that is possible
STALL_IN_TARGETS = 3.0
STALL_CHECK_S = 0.25


class _Relay:
    """One answer to a client, over all servers that make it."""

    def __init__(self, attempt: ClientRequest, route: Route) -> None:
        self.attempt = attempt
        self.client = attempt.client
        self.resume = route.resume
        self.begun = False
        self.broken = False
        self.last = whole_number(attempt.request.headers.get(b"last-event-id"))
        self.first_s = 0.0  # from the write to the first event, of the present server
        self._reader = EventReader()
        self._good = False
        self._joins = False
        self.exchange: Exchange | None = None

    def attach(self, exchange: Exchange) -> None:
        """Another server goes on with the stream."""
        self.exchange = exchange
        self._reader = EventReader()
        self._good = False
        self.first_s = 0.0
        self._joins = self.last is not None and self.begun  # the first event must be the one after the last

    def head(self, status: int, headers: Headers) -> None:
        """A stream begins with its stamp, or it is none."""
        self._good = 200 <= status < 300 and b"reply-seal" in headers and b"content-encoding" not in headers
        if self._good and not self.begun:
            self.begun = True
            self.client.begin(status, response_headers(headers))

    def body(self, data: bytes) -> None:
        """Some bytes of the present server's answer."""
        assert self.exchange
        if not self._good:
            return
        if not self.first_s:
            self.first_s = max(1e-6, self.exchange.loop.time() - self.exchange.sent_at)
        if not self.resume:
            self.client.write(data)
            return
        passed = []
        for event in self._reader.feed(data):
            if self.last is not None and event.ident is not None and event.ident <= self.last:
                continue  # known already
            if self._joins and event.ident != (self.last or 0) + 1:
                self.broken = True
                self.exchange.give_up("gap")
                return
            self._joins = False
            self.last = event.ident if event.ident is not None else self.last
            passed.append(event.raw)
        self.client.write(b"".join(passed))

    def finish(self) -> None:
        """The present server's answer is whole: what is left of it is no event, and is passed on as it is."""
        self.client.write(self._reader.rest)
        self.client.end()


class Streams:
    """The path of `stream` routes; retries and refusals are those of ordinary requests."""

    def __init__(self, requests: Requests) -> None:
        self.requests = requests
        self.fleet = requests.fleet
        self.loop = requests.loop

    async def handle(self, request: http1.Request, client: Client, route: Route) -> None:
        """A request on a `stream` route, to the end of its answer."""
        if not request.headers.get(b"request-id"):
            client.respond(HTTPStatus.BAD_REQUEST)
            return
        attempt = self.requests.accept(request, client, route)
        relay = _Relay(attempt, route)
        while True:
            now_route = self._route(attempt, relay)
            if now_route is None:
                return
            server = self.fleet.pick(now_route, attempt.avoid)
            if server is None:
                if relay.begun or not await self.requests.wait_for_admission(attempt, now_route):
                    self._give_up(attempt, now_route, relay)
                    return
                continue
            outcome = await self._one(attempt, now_route, server, relay)
            if self._ended(attempt, now_route, server, outcome, relay):
                return

    def _route(self, attempt: ClientRequest, relay: _Relay) -> Route | None:
        if not relay.begun:
            return self.requests.next_route(attempt)
        route = self.fleet.config.route(attempt.host, attempt.path)
        if route is None or not route.resume:
            attempt.client.abort()
            return None
        return route

    async def _one(self, attempt: ClientRequest, route: Route, server: Server, relay: _Relay) -> Outcome:
        extra: Headers = {}
        if relay.resume and relay.last is not None:
            extra[b"last-event-id"] = b"%d" % relay.last
        exchange = self.fleet.exchange(
            server,
            attempt.outbound,
            attempt.deadline,
            self.requests.wanted(attempt, server),
            extra,
            relay.head,
            relay.body,
            fresh_only=not attempt.idempotent,
        )
        relay.attach(exchange)
        silent = max(MIN_STALL_S, STALL_IN_TARGETS * route.target_s)
        may_resume = attempt.idempotent and len(attempt.sent_to) + 1 < route.tries
        if may_resume:
            self.loop.call_later(STALL_CHECK_S, self._check_stall, exchange, silent)
        return await self.fleet.attempt(server, exchange)

    def _check_stall(self, exchange: Exchange, stall_s: float) -> None:
        """One check at a time, in place of a timer for each event."""
        if exchange.is_done:
            return
        if exchange.sent_at and self.loop.time() - max(exchange.last_received_at, exchange.sent_at) > stall_s:
            exchange.give_up("silent", True)
        else:
            self.loop.call_later(STALL_CHECK_S, self._check_stall, exchange, stall_s)

    def _ended(self, attempt: ClientRequest, route: Route, server: Server, outcome: Outcome, relay: _Relay) -> bool:
        """Whether the client has its last word."""
        whole = outcome.execution is Execution.ANSWERED and outcome.success
        if whole:
            relay.finish()
            self.fleet.draw.record_response(
                server.estimate, route.name, relay.first_s or outcome.took_s, self.loop.time()
            )
            return True
        answered = self.requests.record_outcome(attempt, route, server, outcome)
        if answered and not relay.begun:
            attempt.client.respond(outcome.status, response_headers(outcome.headers), outcome.body)
            return True
        go_on = not answered and self.requests.may_retry(attempt, route) and (not relay.begun or relay.resume)
        if go_on and not relay.broken:
            return False
        self._give_up(attempt, route, relay)
        return True

    def _give_up(self, attempt: ClientRequest, route: Route, relay: _Relay) -> None:
        """Danger: a stream that ends early must not look complete."""
        if relay.begun:
            attempt.client.abort()
            return
        last = self.requests.final_answer(attempt, route)
        if last is not None:
            attempt.client.respond(last.status, response_headers(last.headers), last.body)
