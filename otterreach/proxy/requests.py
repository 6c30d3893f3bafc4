"""Clients' requests: their route, the servers they are tried at, one final answer each.

What may run twice is tried again after any failure; what may not, only where it surely has not run. A refusal (503)
is a promise that it never runs: where that is not sure the answer is 502 or 504.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from otterreach.proxy.exchange import HOP, OWN, Fate, Headers, Outbound, Outcome, passed_on
from otterreach.proxy.fleet import Fleet, Server
from otterreach.proxy.ingress import Client
from otterreach.runtime.configuration import Route
from otterreach.sidecar import http1

PROMISES = (408, 421, 429, 503)  # to a client: it has not run and never will
OFFER_SHARE = 0.2  # of the objective: so long a request may wait for any server to be there
OFFER_MOST_S = 0.1
FIRST_SHARE = 0.5  # of the time that is left, for an attempt after which another is possible
LEAST_LEFT_S = 0.005
MOST_UNSENT = 6  # attempts that never came to a write
RETRY_LEAST_S = 0.05
RETRY_MOST_S = 1.0
STALE_S = 1.0  # with a copy of the control state older than this, that there is no route is not sure


@dataclass(slots=True)
class Try:
    """A client's try, from its arrival to its answer. `sent` are the servers it was written to."""

    request: http1.Request
    client: Client
    host: str
    path: str
    outbound: Outbound
    deadline: float
    idempotent: bool
    sent: list[str] = field(default_factory=list)
    avoid: set[str] = field(default_factory=set)  # drawn again only if there are no others
    unsent: int = 0
    unclear: bool = False  # it may have run
    timed_out: bool = False
    last: Outcome | None = None  # the last whole answer that was not good enough


def text(value: bytes | None) -> str:
    return (value or b"").decode("latin-1")


def path_of(request: http1.Request) -> str:
    return text(request.target.partition(b"?")[0])


def whole_number(value: bytes | None) -> int | None:
    value = (value or b"").strip()
    return int(value) if value.isdigit() and len(value) < 12 else None


def outbound_of(request: http1.Request) -> Outbound:
    """What goes to servers: method, path, body and the client's headers as they came."""
    return Outbound(
        request.method,
        request.target,
        passed_on(request.headers),
        request.body,
        request.headers.get(b"request-id", b""),
    )


def returned(headers: Headers) -> Headers:
    """A server's headers for the client."""
    return passed_on(headers, HOP | OWN)


class Requests:
    """The ordinary path. `age_s`: how old the copy of the control state may be."""

    def __init__(self, fleet: Fleet, age_s: Callable[[], float]) -> None:
        self.fleet = fleet
        self.age_s = age_s
        self.loop = fleet.loop

    def deadline_of(self, request: http1.Request, route: Route, client: Client) -> float:
        """The client's time counts from its first byte: a long body takes its part of it."""
        held = client.came_at + route.timeout_s
        asked = whole_number(request.headers.get(b"deadline-ms"))
        return held if asked is None else min(held, client.begun_at + asked / 1000)

    def no_route(self, client: Client) -> None:
        """404 only where the copy is sure to be new enough."""
        if self.fleet.config.version and self.age_s() < STALE_S:
            client.respond(HTTPStatus.NOT_FOUND)
        else:
            client.refuse(RETRY_LEAST_S * 4)

    def accept(self, request: http1.Request, client: Client, route: Route) -> Try:
        host = text(request.headers.get(b"host"))
        path = path_of(request)
        deadline = self.deadline_of(request, route, client)
        return Try(request, client, host, path, outbound_of(request), deadline, route.idempotent)

    async def handle(self, request: http1.Request, client: Client, route: Route) -> None:
        """A request on an `idem` or `mutating` route, to its answer."""
        if not request.headers.get(b"request-id"):
            client.respond(HTTPStatus.BAD_REQUEST)
            return
        attempt = self.accept(request, client, route)
        answer = await self._tries(attempt)
        if answer is not None:
            client.respond(answer.status, returned(answer.headers), answer.body)

    async def _tries(self, attempt: Try) -> Outcome | None:
        """The answer to give, or None: then the final word has been given here."""
        while True:
            route = self.next_route(attempt)
            if route is None:
                return None
            server = self.fleet.pick(route, attempt.avoid)
            if server is None:
                if not await self.offered(attempt, route):
                    self.give_up(attempt, route)
                    return None
                continue
            outcome = await self._one(attempt, route, server)
            if self.settle(attempt, route, server, outcome):
                return outcome
            if not self.may_go_on(attempt, route):
                return self.last_word(attempt, route)

    def next_route(self, attempt: Try) -> Route | None:
        """By the newest configuration; None if there is none any more: it has been answered."""
        route = self.fleet.config.route(attempt.host, attempt.path)
        if route is not None:
            attempt.idempotent = attempt.idempotent and route.idempotent
            return route
        if attempt.unclear:
            attempt.client.respond(HTTPStatus.BAD_GATEWAY)
        else:
            self.no_route(attempt.client)
        return None

    async def offered(self, attempt: Try, route: Route) -> bool:
        """With no server to be had, wait a little for one. Whether there is one to try."""
        if attempt.sent or attempt.unsent:
            return False
        end = min(self.loop.time() + min(OFFER_MOST_S, route.target_s * OFFER_SHARE), attempt.deadline)
        attempt.unsent += 1
        while self.loop.time() < end:
            await asyncio.sleep(min(0.02, max(0.001, end - self.loop.time())))
            if self.fleet.allowed(route, attempt.avoid):
                return True
        return False

    async def _one(self, attempt: Try, route: Route, server: Server) -> Outcome:
        now = self.loop.time()
        left = attempt.deadline - now
        more = attempt.idempotent and len(attempt.sent) + 1 < route.tries
        others = more and any(s.id != server.id for s in self.fleet.allowed(route, attempt.avoid | {server.id}))
        exchange = self.fleet.exchange(
            server,
            attempt.outbound,
            now + (left * FIRST_SHARE if others else left),
            self.wanted(attempt, server),
            fresh_only=not attempt.idempotent,
            told_s=left,
        )
        return await self.fleet.attempt(server, exchange)

    def wanted(self, attempt: Try, server: Server) -> Callable[[], bool]:
        return lambda: not attempt.client.left() and self.fleet.may_write(server, attempt.host, attempt.path)

    def settle(self, attempt: Try, route: Route, server: Server, outcome: Outcome) -> bool:
        """Learn from an attempt. Whether it is the answer."""
        now = self.loop.time()
        attempt.avoid.add(server.id)
        if outcome.sent:
            attempt.sent.append(server.id)
        else:
            attempt.unsent += 1
        if outcome.fate is Fate.ANSWERED and not self._failure(attempt, outcome):
            if outcome.success:
                self.fleet.draw.answered(server.estimate, route.name, outcome.took_s, now)
            return True
        self.fleet.blame(server, route.name, outcome, self.cost_s(attempt, route))
        if outcome.fate is Fate.ANSWERED:
            attempt.last = outcome
        attempt.unclear = attempt.unclear or outcome.fate is not Fate.NOT_RUN
        attempt.timed_out = outcome.timed_out
        return False

    def cost_s(self, attempt: Try, route: Route) -> float:
        """What a failure counts as: the time-out."""
        return max(route.target_s, min(route.timeout_s, attempt.deadline - attempt.client.came_at))

    def _failure(self, attempt: Try, outcome: Outcome) -> bool:
        """Whether another server may do better than this answer."""
        return outcome.status >= 500 or outcome.status in PROMISES

    def may_go_on(self, attempt: Try, route: Route) -> bool:
        if attempt.client.gone or attempt.unclear and not attempt.idempotent:
            return False
        left = attempt.deadline - self.loop.time()
        return left > LEAST_LEFT_S and len(attempt.sent) < route.tries and attempt.unsent < MOST_UNSENT

    def last_word(self, attempt: Try, route: Route) -> Outcome | None:
        """The tries are over: the last server's own failure if there is one and it promises nothing false."""
        last = attempt.last
        if last is not None and (last.status not in PROMISES):
            return last
        self.give_up(attempt, route)
        return None

    def give_up(self, attempt: Try, route: Route) -> None:
        """The final answer at once. Danger: 503 only where it surely has not run."""
        if attempt.unclear:
            attempt.client.respond(HTTPStatus.GATEWAY_TIMEOUT if attempt.timed_out else HTTPStatus.BAD_GATEWAY)
        else:
            spread = 0.5 + self.fleet.draw.random.random()
            attempt.client.refuse(min(RETRY_MOST_S, max(RETRY_LEAST_S, route.target_s * spread)))
