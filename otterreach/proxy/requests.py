"""Clients' requests: their route, the servers they are tried at, one final answer each.

What may run twice is tried again after any failure; what may not, only where it surely has not run. A refusal (503)
is a promise that it never runs: where that is not sure the answer is 502 or 504.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from otterreach.proxy.exchange import (
    HOP_BY_HOP_HEADERS,
    PROXY_HEADERS,
    Execution,
    Headers,
    Outbound,
    Outcome,
    end_to_end_headers,
)
from otterreach.proxy.fleet import Fleet, Server
from otterreach.proxy.ingress import Client
from otterreach.runtime.configuration import Route
from otterreach.sidecar import http1

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # to a client: it has not run and never will
ADMISSION_WAIT_SHARE = 0.2  # of the objective: so long a request may wait for any server to be there
MAX_ADMISSION_WAIT_S = 0.1
FIRST_ATTEMPT_SHARE = 0.5  # of the time that is left, for an attempt after which another is possible
MIN_TIME_LEFT_S = 0.005
MAX_UNSENT_ATTEMPTS = 6  # attempts that never came to a write
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
MAX_STATE_AGE_S = 1.0  # with a copy of the control state older than this, that there is no route is not sure


@dataclass(slots=True)
class ClientRequest:
    """A client's try, from its arrival to its answer. `sent` are the servers it was written to."""

    request: http1.Request
    client: Client
    host: str
    path: str
    outbound: Outbound
    deadline: float
    idempotent: bool
    sent_to: list[str] = field(default_factory=list)
    avoid: set[str] = field(default_factory=set)  # drawn again only if there are no others
    unsent_attempts: int = 0
    may_have_run: bool = False  # it may have run
    timed_out: bool = False
    last: Outcome | None = None  # the last whole answer that was not good enough


def text(value: bytes | None) -> str:
    """A header's value as text; empty if there is none."""
    return (value or b"").decode("latin-1")


def path_of(request: http1.Request) -> str:
    """The path of a request, without its query."""
    return text(request.target.partition(b"?")[0])


def whole_number(value: bytes | None) -> int | None:
    """A header's value as a number; None if it is none."""
    value = (value or b"").strip()
    return int(value) if value.isdigit() and len(value) < 12 else None


def outbound_of(request: http1.Request) -> Outbound:
    """What goes to servers: method, path, body and the client's headers as they came."""
    return Outbound(
        request.method,
        request.target,
        end_to_end_headers(request.headers),
        request.body,
        request.headers.get(b"request-id", b""),
    )


def response_headers(headers: Headers) -> Headers:
    """A server's headers for the client."""
    return end_to_end_headers(headers, HOP_BY_HOP_HEADERS | PROXY_HEADERS)


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

    def answer_without_route(self, client: Client) -> None:
        """404 only where the copy is sure to be new enough."""
        if self.fleet.config.version and self.age_s() < MAX_STATE_AGE_S:
            client.respond(HTTPStatus.NOT_FOUND)
        else:
            client.respond_unavailable(MIN_RETRY_AFTER_S * 4)

    def accept(self, request: http1.Request, client: Client, route: Route) -> ClientRequest:
        """A client's request with its deadline, before the first attempt."""
        host = text(request.headers.get(b"host"))
        path = path_of(request)
        deadline = self.deadline_of(request, route, client)
        return ClientRequest(request, client, host, path, outbound_of(request), deadline, route.idempotent)

    async def handle(self, request: http1.Request, client: Client, route: Route) -> None:
        """A request on an `idem` or `mutating` route, to its answer."""
        if not request.headers.get(b"request-id"):
            client.respond(HTTPStatus.BAD_REQUEST)
            return
        attempt = self.accept(request, client, route)
        answer = await self._run_attempts(attempt)
        if answer is not None:
            client.respond(answer.status, response_headers(answer.headers), answer.body)

    async def _run_attempts(self, attempt: ClientRequest) -> Outcome | None:
        """The answer to give, or None: then the final word has been given here."""
        while True:
            route = self.next_route(attempt)
            if route is None:
                return None
            server = self.fleet.pick(route, attempt.avoid)
            if server is None:
                if not await self.wait_for_admission(attempt, route):
                    self.give_up(attempt, route)
                    return None
                continue
            outcome = await self._one(attempt, route, server)
            if self.record_outcome(attempt, route, server, outcome):
                return outcome
            if not self.may_retry(attempt, route):
                return self.final_answer(attempt, route)

    def next_route(self, attempt: ClientRequest) -> Route | None:
        """By the newest configuration; None if there is none any more: it has been answered."""
        route = self.fleet.config.route(attempt.host, attempt.path)
        if route is not None:
            attempt.idempotent = attempt.idempotent and route.idempotent
            return route
        if attempt.may_have_run:
            attempt.client.respond(HTTPStatus.BAD_GATEWAY)
        else:
            self.answer_without_route(attempt.client)
        return None

    async def wait_for_admission(self, attempt: ClientRequest, route: Route) -> bool:
        """With no server to be had, wait a little for one. Whether there is one to try."""
        if attempt.sent_to or attempt.unsent_attempts:
            return False
        end = min(self.loop.time() + min(MAX_ADMISSION_WAIT_S, route.target_s * ADMISSION_WAIT_SHARE), attempt.deadline)
        attempt.unsent_attempts += 1
        while self.loop.time() < end:
            await asyncio.sleep(min(0.02, max(0.001, end - self.loop.time())))
            if self.fleet.allowed(route, attempt.avoid):
                return True
        return False

    async def _one(self, attempt: ClientRequest, route: Route, server: Server) -> Outcome:
        now = self.loop.time()
        left = attempt.deadline - now
        more = attempt.idempotent and len(attempt.sent_to) + 1 < route.tries
        others = more and any(s.id != server.id for s in self.fleet.allowed(route, attempt.avoid | {server.id}))
        exchange = self.fleet.exchange(
            server,
            attempt.outbound,
            now + (left * FIRST_ATTEMPT_SHARE if others else left),
            self.wanted(attempt, server),
            fresh_only=not attempt.idempotent,
            announced_time_s=left,
        )
        return await self.fleet.attempt(server, exchange)

    def wanted(self, attempt: ClientRequest, server: Server) -> Callable[[], bool]:
        """The check right before each write: the client is there, and the route allows the server."""
        return lambda: not attempt.client.has_left() and self.fleet.may_write(server, attempt.host, attempt.path)

    def record_outcome(self, attempt: ClientRequest, route: Route, server: Server, outcome: Outcome) -> bool:
        """Learn from an attempt. Whether it is the answer."""
        now = self.loop.time()
        attempt.avoid.add(server.id)
        if outcome.sent:
            attempt.sent_to.append(server.id)
        else:
            attempt.unsent_attempts += 1
        if outcome.execution is Execution.ANSWERED and not self._failure(attempt, outcome):
            if outcome.success:
                self.fleet.draw.record_response(server.estimate, route.name, outcome.took_s, now)
            return True
        self.fleet.record_failed_attempt(server, route.name, outcome, self.cost_s(attempt, route))
        if outcome.execution is Execution.ANSWERED:
            attempt.last = outcome
        attempt.may_have_run = attempt.may_have_run or outcome.execution is not Execution.NOT_EXECUTED
        attempt.timed_out = outcome.timed_out
        return False

    def cost_s(self, attempt: ClientRequest, route: Route) -> float:
        """What a failure counts as: the time-out."""
        return max(route.target_s, min(route.timeout_s, attempt.deadline - attempt.client.came_at))

    def _failure(self, attempt: ClientRequest, outcome: Outcome) -> bool:
        """Whether another server may do better than this answer."""
        return outcome.status >= 500 or outcome.status in NOT_EXECUTED_STATUSES

    def may_retry(self, attempt: ClientRequest, route: Route) -> bool:
        """Whether another attempt is allowed and may be in time."""
        if attempt.client.is_closed or attempt.may_have_run and not attempt.idempotent:
            return False
        left = attempt.deadline - self.loop.time()
        return (
            left > MIN_TIME_LEFT_S
            and len(attempt.sent_to) < route.tries
            and attempt.unsent_attempts < MAX_UNSENT_ATTEMPTS
        )

    def final_answer(self, attempt: ClientRequest, route: Route) -> Outcome | None:
        """The tries are over: the last server's own failure if there is one and it promises nothing false."""
        last = attempt.last
        if last is not None and (last.status not in NOT_EXECUTED_STATUSES):
            return last
        self.give_up(attempt, route)
        return None

    def give_up(self, attempt: ClientRequest, route: Route) -> None:
        """The final answer at once. Danger: 503 only where it surely has not run."""
        if attempt.may_have_run:
            attempt.client.respond(HTTPStatus.GATEWAY_TIMEOUT if attempt.timed_out else HTTPStatus.BAD_GATEWAY)
        else:
            spread = 0.5 + self.fleet.draw.random.random()
            attempt.client.respond_unavailable(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, route.target_s * spread)))
