"""Driver of the balancer: passes events to it, performs its actions, and tracks the requests without an answer.

All decisions are made by the balancer.
"""

from __future__ import annotations

import asyncio
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from otterreach.balancer import Balancer
from otterreach.balancer import interface as api
from otterreach.balancer.interface import EndpointState, RosterForm, Status
from otterreach.sidecar import http1
from otterreach.sidecar.config import Config, MemberList
from otterreach.sidecar.endpoints import Attempt, Endpoints

ANSWER_RESERVE_NS = 10_000_000  # of a request's time, for sending the answer before the client times out
FALLBACK_NS = 4_000_000  # time before the client's time-out at which the sidecar answers without the balancer
FINAL_EVENTS = (api.Outcome, api.ClientGone)  # events after which a request may be finished
TRACEBACK_INTERVAL_S = 1.0  # shortest time between two tracebacks in the log


class Answer(NamedTuple):
    """A final answer to the client."""

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0


class Call(NamedTuple):
    """A request with its parameters for the balancer."""

    request: http1.Request
    class_index: int
    tenant: int
    left_ns: int
    hint_ns: int | None
    key: int
    is_retry: bool


class _Exchange:
    """A request, from its arrival until its last attempt has ended."""

    __slots__ = ("attempts", "fallback_timer", "call", "deadline_ns", "client_left", "reply")

    def __init__(
        self, call: Call, deadline_ns: int, reply: Callable[[Answer], None], client_left: Callable[[], bool]
    ) -> None:
        self.call = call
        self.deadline_ns = deadline_ns
        self.client_left = client_left
        self.reply: Callable[[Answer], None] | None = reply  # None: answered, or the client has gone
        self.attempts: list[Attempt] = []
        self.fallback_timer: asyncio.TimerHandle | None = None


class Sidecar:
    """Passes events to the balancer and performs its actions.

    More than 20 methods: one for each event and each action of the balancer.
    """

    def __init__(self, config: Config, endpoints: Endpoints) -> None:
        self._balancer = Balancer(config.settings, config.seed)
        self._endpoints = endpoints
        self._exchanges: dict[int, _Exchange] = {}
        self._endpoint_numbers: dict[str, int] = {}  # endpoint id -> number; numbers are not reused
        self._ready: set[int] = set()
        # With pushed lists, all updates count as received from the start of the process, and `known` may be older.
        self._list_is_current = config.settings.discovery != "push"
        self._next_request = 0
        self._next_number = 0
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._traceback_at = 0.0
        self._actions: dict[type, Callable[..., None]] = {
            api.Send: self._send,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.SetTimer: self._set_timer,
            api.Log: self._log,
            api.Fault: self._log,
            api.CloseIdle: self._close_idle,
        }

    @property
    def ready(self) -> bool:
        """True if requests can be served: an endpoint is ready, and the endpoint list is up to date."""
        return self._list_is_current and bool(self._ready)

    # Requests of clients --------------------------------------------------------------------------

    def submit(
        self, call: Call, reply: Callable[[Answer], None], client_left: Callable[[], bool] = lambda: False
    ) -> int:
        """Start a request and return its id.

        :param reply: called once with the answer, possibly before this returns
        :param client_left: returns True if the client has gone, possibly before `client_gone` is called
        """
        self._next_request += 1
        request_id = self._next_request
        now = time.monotonic_ns()
        left_ns = max(0, call.left_ns - ANSWER_RESERVE_NS)
        exchange = self._exchanges[request_id] = _Exchange(call, now + left_ns, reply, client_left)
        loop = asyncio.get_running_loop()
        last = now + max(0, call.left_ns - FALLBACK_NS)
        exchange.fallback_timer = loop.call_at(last / 1e9, self._answer_overdue, request_id)
        event = api.Request(request_id, call.class_index, left_ns, call.hint_ns, call.key, call.tenant, call.is_retry)
        self._handle(event)
        return request_id

    def client_gone(self, request_id: int) -> None:
        """End the attempts of a request whose client has gone without an answer."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply:
            self._release_client(exchange)
            self._handle(api.ClientGone(request_id))
            self._cancel_attempts(request_id, exchange)

    # Updates of discovery -------------------------------------------------------------------------

    def update_endpoints(self, update: MemberList, form: RosterForm | None = None) -> None:
        """Apply an update of the endpoint list, first to the connections and then to the balancer.

        With this order, no later decision can reach a draining endpoint. The update ends attempts, which the balancer
        would resend by its old list. So it gets the update before the outcomes of these attempts.
        """
        form = form or (RosterForm.FULL if update.complete else RosterForm.DELTA)
        self._handling = True
        try:
            rows = self._apply(update, form)
        finally:
            self._handling = False
        self._events.appendleft(api.Roster(update.revision, form, tuple(rows)))
        self._drain()

    def accept_current_list(self) -> None:
        """Accept the current list as up to date: discovery has no newer one, or is unavailable."""
        self._list_is_current = True

    def _apply(self, update: MemberList, form: RosterForm) -> list[api.Listed]:
        if form is not RosterForm.DELTA:
            for absent in self._endpoint_numbers.keys() - {member.id for member in update.members}:
                self._remove_endpoint(absent)
        rows = []
        for member in update.members:
            if member.id not in self._endpoint_numbers:
                self._next_number += 1
                self._endpoint_numbers[member.id] = self._next_number
                address = "{}:{}".format(*member.address)  # log lines of the balancer contain only the number
                print(f"driver: endpoint {self._next_number} is {member.id} at {address}", file=sys.stderr)
            number = self._endpoint_numbers[member.id]
            rows.append(member.row._replace(endpoint=number))
            if member.row.state == EndpointState.GONE:
                self._remove_endpoint(member.id)
                continue
            up = member.row.state == EndpointState.READY
            self._endpoints.update(number, member.address, member.row.started_ns, up)
            (self._ready.add if up else self._ready.discard)(number)
        return rows

    def _remove_endpoint(self, member_id: str) -> None:
        number = self._endpoint_numbers.pop(member_id)
        self._ready.discard(number)
        self._endpoints.remove(number)

    # Events to the balancer -----------------------------------------------------------------------

    def _handle(self, event: api.Event) -> None:
        """Queue an event and handle all queued events, one at a time.

        An action may end an attempt immediately; its event is handled after the current one.
        """
        self._events.append(event)
        if not self._handling:
            self._drain()

    def _drain(self) -> None:
        self._handling = True
        try:
            while self._events:
                self._handle_one(self._events.popleft())
        finally:
            self._handling = False

    def _handle_one(self, event: api.Event) -> None:
        try:
            actions = self._balancer.handle(time.monotonic_ns(), event)
        except Exception:
            # An error in the balancer must fail only one request.
            self._log_traceback()
            if isinstance(event, api.Request | api.Outcome | api.ClientGone):
                self._fail_undecided(event.request)
            if isinstance(event, api.Request | api.Outcome):
                self._events.append(api.ClientGone(event.request))
            return
        for action in actions:
            perform = self._actions.get(type(action))
            if perform:  # other actions are not allowed by the settings, or not needed with a permanent watch
                perform(action)
        if isinstance(event, FINAL_EVENTS):
            self._drop_if_finished(event.request)

    def _log_traceback(self) -> None:
        if time.monotonic() >= self._traceback_at + TRACEBACK_INTERVAL_S:
            self._traceback_at = time.monotonic()
            traceback.print_exc()

    # Actions of the balancer ----------------------------------------------------------------------

    def _send(self, action: api.Send) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is None or exchange.reply is None:
            return  # no sends for a finished request
        now = time.monotonic_ns()
        deadline = min(now + action.timeout_ns, exchange.deadline_ns) if action.timeout_ns else exchange.deadline_ns
        attempt = Attempt(
            action.request,
            len(exchange.attempts),
            action.endpoint,
            exchange.call.request,
            deadline,
            self._on_attempt_end,
            partial(self._is_wanted, action.request),  # not the exchange, which refers to the attempt: avoids a cycle
        )
        exchange.attempts.append(attempt)
        self._endpoints.send(attempt)

    def _is_wanted(self, request_id: int) -> bool:
        exchange = self._exchanges[request_id]
        if exchange.reply and exchange.client_left():
            self._release_client(exchange)
        return exchange.reply is not None

    def _on_attempt_end(self, attempt: Attempt) -> None:
        exchange = self._exchanges[attempt.request_id]
        status = attempt.status
        assert status is not None
        if status is Status.OK and attempt.response and exchange.reply:
            self._answer(exchange, Answer(200, attempt.response.body))
            finished = True
        else:
            finished = exchange.reply is None
        if status is Status.FULL and finished:
            status = Status.MOOT
        latency_ns = time.monotonic_ns() - attempt.started_ns
        self._handle(
            api.Outcome(
                attempt.request_id, attempt.endpoint, attempt.number, latency_ns, status, finished, attempt.load
            )
        )

    def _refuse(self, action: api.Refuse) -> None:
        self._finish(action.request, Answer(503, b"refused\n", action.retry_after_ns / 1e9))

    def _fail(self, action: api.Fail) -> None:
        self._finish(action.request, Answer(502, b"failed\n"))

    def _cancel(self, action: api.Cancel) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange and action.attempt < len(exchange.attempts):
            exchange.attempts[action.attempt].give_up(Status.CANCELLED)

    def _set_timer(self, action: api.SetTimer) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(action.delay_ns / 1e9, self._handle, api.Timer(action.token))

    def _log(self, action: api.Log | api.Fault) -> None:
        print(action.text, file=sys.stderr)

    def _close_idle(self, action: api.CloseIdle) -> None:
        self._endpoints.close_idle(action.endpoint)

    # Answers to clients ---------------------------------------------------------------------------

    def _finish(self, request_id: int, answer: Answer) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply:
            self._answer(exchange, answer)
            self._drop_if_finished(request_id)

    def _answer(self, exchange: _Exchange, answer: Answer) -> None:
        reply = exchange.reply
        self._release_client(exchange)
        if reply:
            reply(answer)

    def _release_client(self, exchange: _Exchange) -> None:
        exchange.reply = None
        if exchange.fallback_timer:
            exchange.fallback_timer.cancel()

    def _drop_if_finished(self, request_id: int) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply is None and all(a.status is not None for a in exchange.attempts):
            del self._exchanges[request_id]

    def _answer_overdue(self, request_id: int) -> None:
        """Answer 504 (the request may have been executed) if the balancer has not ended the request in time."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply:
            print("driver: a request was answered 504, as the balancer did not end it in time", file=sys.stderr)
            self._fail_now(request_id, exchange, b"no answer in time\n")

    def answer_open_requests(self) -> None:
        """Answer all open requests at shutdown; they would be lost otherwise."""
        for request_id, exchange in list(self._exchanges.items()):
            if exchange.reply:
                self._fail_now(request_id, exchange, b"restarting\n")

    def _fail_now(self, request_id: int, exchange: _Exchange, body: bytes) -> None:
        self._answer(exchange, Answer(504, body))
        self._handle(api.ClientGone(request_id))
        self._cancel_attempts(request_id, exchange)

    def _fail_undecided(self, request_id: int) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange:
            self._answer(exchange, Answer(504, b"no decision\n"))
            self._cancel_attempts(request_id, exchange)

    def _cancel_attempts(self, request_id: int, exchange: _Exchange) -> None:
        """Cancel the attempts of a request without a waiting client, whatever the balancer decided."""
        for attempt in exchange.attempts:
            attempt.give_up(Status.CANCELLED)
        self._drop_if_finished(request_id)
