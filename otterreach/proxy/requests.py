"""Requests of clients: routing, attempts at servers, and one final answer each.

An idempotent request is retried after any failure, any other request only if it certainly has not been executed. An
answer of 503 guarantees that the request never runs; where that is uncertain the answer is 502 or 504.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from otterreach.proxy.client_connection import Client
from otterreach.proxy.exchange import ExchangeOptions, Execution, Outcome
from otterreach.proxy.fleet import Fleet, Server
from otterreach.proxy.outbound import HOP_BY_HOP_HEADERS, PROXY_HEADERS, Headers, Outbound, end_to_end_headers
from otterreach.runtime.configuration import Route
from otterreach.sidecar import http1

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # they tell the client that the request has not run and never will
ADMISSION_WAIT_SHARE = 0.2  # of the route's latency target: how long a request may wait for an available server
MAX_ADMISSION_WAIT_S = 0.1
FIRST_ATTEMPT_SHARE = 0.5  # of the time left, for an attempt that can be followed by another
MIN_TIME_LEFT_S = 0.005
MAX_UNSENT_ATTEMPTS = 6  # attempts that ended before their request was written
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
MAX_STATE_AGE_S = 1.0  # with an older replica of the control state, a missing route proves nothing


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, from its arrival to its answer. `sent_to`: ids of the servers it was written to."""

    request: http1.Request
    client: Client
    host: str
    path: str
    outbound: Outbound
    deadline: float
    idempotent: bool
    sent_to: list[str] = field(default_factory=list)
    avoid: set[str] = field(default_factory=set)  # ids of servers that are drawn only if there are no others
    unsent_attempts: int = 0
    may_have_run: bool = False
    timed_out: bool = False
    last: Outcome | None = None  # the last complete answer that counted as a failure


def decode_latin1(value: bytes | None) -> str:
    """Return a header value as a string; empty if it is missing."""
    return (value or b"").decode("latin-1")


def path_of(request: http1.Request) -> str:
    """Return the path of a request without its query."""
    return decode_latin1(request.target.partition(b"?")[0])


def parse_number(value: bytes | None) -> int | None:
    """Return a header value as a non-negative integer, or None if it is not one of at most 11 digits."""
    value = (value or b"").strip()
    return int(value) if value.isdigit() and len(value) < 12 else None


def outbound_of(request: http1.Request) -> Outbound:
    """Return the request to servers: method, target, body and the client's end-to-end headers, unchanged."""
    return Outbound(
        request.method,
        request.target,
        end_to_end_headers(request.headers),
        request.body,
        request.headers.get(b"request-id", b""),
    )


def response_headers(headers: Headers) -> Headers:
    """Return the headers of a server's answer that are forwarded to the client."""
    return end_to_end_headers(headers, HOP_BY_HOP_HEADERS | PROXY_HEADERS)


class Requests:
    """Handler of `idem` and `mutating` routes. `age_s` returns the age of the replica of the control state."""

    def __init__(self, fleet: Fleet, age_s: Callable[[], float]) -> None:
        self.fleet = fleet
        self.age_s = age_s
        self.loop = fleet.loop

    def deadline_of(self, request: http1.Request, route: Route, client: Client) -> float:
        """Return the deadline of a request.

        Deadline-Ms counts from the first byte of the request, so receiving a long body uses part of it; the
        route's time-out counts from the complete request.
        """
        limit = client.received_at + route.timeout_s
        client_deadline_ms = parse_number(request.headers.get(b"deadline-ms"))
        return limit if client_deadline_ms is None else min(limit, client.first_byte_at + client_deadline_ms / 1000)

    def answer_without_route(self, client: Client) -> None:
        """Respond 404 if the replica of the control state is recent enough to rule out a new route, else 503."""
        if self.fleet.config.version and self.age_s() < MAX_STATE_AGE_S:
            client.respond(HTTPStatus.NOT_FOUND)
        else:
            client.respond_unavailable(MIN_RETRY_AFTER_S * 4)

    def accept(self, request: http1.Request, client: Client, route: Route) -> ClientRequest:
        """Return the state of a client's request before its first attempt, with its deadline."""
        host = decode_latin1(request.headers.get(b"host"))
        path = path_of(request)
        deadline = self.deadline_of(request, route, client)
        return ClientRequest(request, client, host, path, outbound_of(request), deadline, route.idempotent)

    async def handle(self, request: http1.Request, client: Client, route: Route) -> None:
        """Handle a request on an `idem` or `mutating` route up to its answer."""
        if not request.headers.get(b"request-id"):
            client.respond(HTTPStatus.BAD_REQUEST)
            return
        attempt = self.accept(request, client, route)
        answer = await self._run_attempts(attempt)
        if answer is not None:
            client.respond(answer.status, response_headers(answer.headers), answer.body)

    async def _run_attempts(self, attempt: ClientRequest) -> Outcome | None:
        """Return the answer to send to the client, or None if the client has been answered already."""
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
            outcome = await self._run_attempt(attempt, route, server)
            if self.record_outcome(attempt, route, server, outcome):
                return outcome
            if not self.may_retry(attempt, route):
                return self.final_answer(attempt, route)

    def next_route(self, attempt: ClientRequest) -> Route | None:
        """Return the route in the newest configuration, or None after answering a request whose route is gone."""
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
        """Wait a short time for an available server before the first attempt; return True if there is one."""
        if attempt.sent_to or attempt.unsent_attempts:
            return False
        end = min(self.loop.time() + min(MAX_ADMISSION_WAIT_S, route.target_s * ADMISSION_WAIT_SHARE), attempt.deadline)
        attempt.unsent_attempts += 1
        while self.loop.time() < end:
            await asyncio.sleep(min(0.02, max(0.001, end - self.loop.time())))
            if self.fleet.candidates(route, attempt.avoid):
                return True
        return False

    async def _run_attempt(self, attempt: ClientRequest, route: Route, server: Server) -> Outcome:
        now = self.loop.time()
        left = attempt.deadline - now
        can_retry = attempt.idempotent and len(attempt.sent_to) + 1 < route.tries
        has_alternative = can_retry and any(
            s.id != server.id for s in self.fleet.candidates(route, attempt.avoid | {server.id})
        )
        exchange = self.fleet.exchange(
            server,
            attempt.outbound,
            now + (left * FIRST_ATTEMPT_SHARE if has_alternative else left),
            self.write_check(attempt, server),
            ExchangeOptions(fresh_only=not attempt.idempotent, announced_time_s=left),
        )
        return await self.fleet.attempt(server, exchange)

    def write_check(self, attempt: ClientRequest, server: Server) -> Callable[[], bool]:
        """Return the check before each write: the client is still connected and the route allows the server."""
        return lambda: not attempt.client.has_disconnected() and self.fleet.may_write(
            server, attempt.host, attempt.path
        )

    def record_outcome(self, attempt: ClientRequest, route: Route, server: Server, outcome: Outcome) -> bool:
        """Update the request and the server's estimate; return True if the outcome is the answer to the client."""
        now = self.loop.time()
        attempt.avoid.add(server.id)
        if outcome.sent:
            attempt.sent_to.append(server.id)
        else:
            attempt.unsent_attempts += 1
        if outcome.execution is Execution.ANSWERED and not self._is_retryable_answer(attempt, outcome):
            if outcome.success:
                self.fleet.draw.record_response(server.estimate, route.name, outcome.took_s, now)
            return True
        self.fleet.record_failed_attempt(server, route.name, outcome, self.failure_time_s(attempt, route))
        if outcome.execution is Execution.ANSWERED:
            attempt.last = outcome
        attempt.may_have_run = attempt.may_have_run or outcome.execution is not Execution.NOT_EXECUTED
        attempt.timed_out = outcome.timed_out
        return False

    def failure_time_s(self, attempt: ClientRequest, route: Route) -> float:
        """Return the response time that a failure counts as: the time-out of the request."""
        return max(route.target_s, min(route.timeout_s, attempt.deadline - attempt.client.received_at))

    def _is_retryable_answer(self, attempt: ClientRequest, outcome: Outcome) -> bool:
        """Return True for an answer that another server may improve on."""
        return outcome.status >= 500 or outcome.status in NOT_EXECUTED_STATUSES

    def may_retry(self, attempt: ClientRequest, route: Route) -> bool:
        """Return True if another attempt is allowed and there is time left for it."""
        if attempt.client.is_closed or attempt.may_have_run and not attempt.idempotent:
            return False
        left = attempt.deadline - self.loop.time()
        return (
            left > MIN_TIME_LEFT_S
            and len(attempt.sent_to) < route.tries
            and attempt.unsent_attempts < MAX_UNSENT_ATTEMPTS
        )

    def final_answer(self, attempt: ClientRequest, route: Route) -> Outcome | None:
        """Return the last failure answered by a server, or None after answering the client.

        An answer whose status claims that the request has not run is not forwarded: an earlier attempt may have run.
        """
        last = attempt.last
        if last is not None and (last.status not in NOT_EXECUTED_STATUSES):
            return last
        self.give_up(attempt, route)
        return None

    def give_up(self, attempt: ClientRequest, route: Route) -> None:
        """Send the final answer: 503 only if the request certainly has not run, else 502 or 504."""
        if attempt.may_have_run:
            attempt.client.respond(HTTPStatus.GATEWAY_TIMEOUT if attempt.timed_out else HTTPStatus.BAD_GATEWAY)
        else:
            spread = 0.5 + self.fleet.draw.random.random()
            attempt.client.respond_unavailable(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, route.target_s * spread)))
