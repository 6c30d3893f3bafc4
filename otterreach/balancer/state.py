"""Shared state of the balancer's parts: endpoints, pending requests, timers and the actions to carry out."""

from __future__ import annotations

from math import exp2
from random import Random

import otterreach.balancer.interface as api
from otterreach.balancer.interface import EndpointState

MAX_SLOWDOWN = 50.0  # bound of one sample: a single stall must not starve an endpoint indefinitely
MAX_TIMER_NS = 3_600_000_000_000  # one hour: no longer timer is needed, and the wire limits the delay
LN_2 = 0.693  # normalizes the decaying sum: a constant rate reads as its own value


class Rate:
    """Exponentially decaying rate per nanosecond, with the half-life `half_ns`."""

    __slots__ = ("at", "half_ns", "value")

    def __init__(self, half_ns: int) -> None:
        self.half_ns = max(half_ns, 1)
        self.value = 0.0
        self.at = 0

    def read(self, now: int) -> float:
        """Return the rate at this time, per nanosecond."""
        if now != self.at:
            self.value = self.value * exp2((self.at - now) / self.half_ns)
            self.at = now
        return self.value

    def add(self, now: int, amount: float = 1.0) -> None:
        """Add an amount at the current time."""
        self.value = self.read(now) + amount * LN_2 / self.half_ns


class Endpoint:
    """An endpoint of discovery's list, with the estimates of its load and its response times."""

    __slots__ = (
        "id",
        "kind",
        "open_attempts",
        "proven_slowdown",
        "queue",
        "queue_at",
        "ready",
        "row",
        "sent_since_report",
        "slowdown",
        "slowdown_at",
        "slowdown_by_class",
        "warm_from",
        "capacity_share",
        "weight",
        "zone",
    )

    def __init__(self, row: api.Listed, settings: api.Settings) -> None:
        self.open_attempts: dict[tuple[int, int], Attempt] = {}  # by request id and attempt number
        self.slowdown = 1.0  # x_i: ratio of response times to the expected times of their requests
        self.slowdown_by_class: dict[int, tuple[float, int]] = {}  # class -> x_i, time of its update
        self.queue = 0.0
        self.slowdown_at = 0
        self.queue_at = 0
        self.sent_since_report = 0  # attempts of this sidecar since the last load report
        self.warm_from = row.started_ns + settings.warm_up_ns if row.started_ns else 0
        self.capacity_share = 1.0  # part of its full capacity during warm-up: guaranteed, or shown by answers
        # x_i from its own answers only, starting at the slowest guaranteed speed: one answer proves little.
        self.proven_slowdown = 1 / settings.start_capacity if settings.start_capacity > 0 else MAX_SLOWDOWN
        self.update(row)

    def update(self, row: api.Listed) -> None:
        """Apply the endpoint's current entry in discovery's list."""
        self.row = row
        self.id = row.endpoint
        self.zone = row.zone
        self.kind = (row.kind, row.zone)
        self.weight = row.weight if 0 < row.weight < 1e9 else 1.0
        self.ready = row.state == EndpointState.READY


class Attempt:
    """One attempt of a request at an endpoint."""

    __slots__ = ("endpoint", "may_have_run", "open", "sent", "expected_ns")

    def __init__(self, endpoint: Endpoint, sent: int, expected_ns: float) -> None:
        self.endpoint = endpoint
        self.sent = sent
        self.expected_ns = expected_ns
        self.open = True
        self.may_have_run = True


class PendingRequest:
    """A request, from its arrival until its last attempt has ended."""

    __slots__ = (
        "abandoned_at",
        "attempts",
        "done",
        "due_at",
        "event",
        "id",
        "key",
        "limit",
        "may_cross_zones",
        "request_class",
        "streaming",
    )

    def __init__(self, event: api.Request, request_class: api.RequestClass, now: int, waited: int) -> None:
        self.id = event.request
        self.event = event
        self.request_class = request_class
        target = request_class.target_ns + int(request_class.target_stretch * (event.hint_ns or 0))
        self.abandoned_at = now + event.left_ns  # when the client times out
        self.due_at = now + min(target - waited, event.left_ns)
        # An answer after `limit` has no value. If the class gives late answers a value, the limit is the
        # client's time-out; else it is the time at which the answer is due.
        self.limit = self.abandoned_at if request_class.late_value else self.due_at
        self.key = event.key if request_class.in_order else 0  # not 0: one request of a key at a time
        self.attempts: list[Attempt] = []
        self.done = False
        self.streaming = False
        self.may_cross_zones = False  # refusing costs more than crossing: no cross-zone price

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts that may have been executed by their endpoints."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    def has_open_attempt(self) -> bool:
        """Return True if the last attempt is still in flight."""
        return bool(self.attempts) and self.attempts[-1].open


class State:
    """State of one sidecar's balancer that several of its parts use."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        self.started = 0
        self.actions: list[api.Action] = []
        self.logged: dict[str, int] = {}  # topic -> earliest time of its next log line
        self.endpoints: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []  # the endpoints that accept new requests
        self.pending: dict[int, PendingRequest] = {}
        self.timers: dict[int, tuple[str, int]] = {}  # token -> purpose, request id
        self.next_token = 0
        self.open = 0  # number of requests without a final answer
        classes = settings.classes
        # Half-life of the estimates of an endpoint.
        self.half_life_ns = max(request_class.deadline_ns for request_class in classes)
        self.min_target_ns = min(request_class.target_ns for request_class in classes)

    def _log(self, topic: str, text: str) -> None:
        # The topics are listed in docs/on-call.md. To bound the log volume, at most one line of each topic is
        # logged per `half_life_ns`.
        if self.now >= self.logged.get(topic, 0):
            self.logged[topic] = self.now + self.half_life_ns
            self.actions.append(api.Log(f"{topic}: {text}"))

    def _set_timer(self, purpose: str, delay: int, request: PendingRequest | None = None) -> None:
        self.next_token = (self.next_token + 1) % 2**32
        self.timers[self.next_token] = (purpose, request.id if request else 0)
        self.actions.append(api.SetTimer(max(0, min(delay, MAX_TIMER_NS)), self.next_token))
