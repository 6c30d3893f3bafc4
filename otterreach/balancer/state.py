"""What the parts of the balancer share: the state of endpoints and requests, and the actions to carry out."""

from __future__ import annotations

from math import exp2
from random import Random

import otterreach.balancer.interface as api
from otterreach.balancer.interface import EndpointState

MAX_SLOWDOWN = 50.0  # bound on one sample, in usual response times: one stall must not starve for ever
MAX_TIMER_NS = 3_600_000_000_000  # an hour: longer waits are never meant, and the wire bounds them
LN_2 = 0.693  # with this factor a steady rate reads as itself


class Rate:
    """Amounts per nanosecond, with a memory that halves each `half_ns`."""

    __slots__ = ("at", "half_ns", "value")

    def __init__(self, half_ns: int) -> None:
        self.half_ns = max(half_ns, 1)
        self.value = 0.0
        self.at = 0

    def read(self, now: int) -> float:
        """The rate at this time, in amounts per nanosecond."""
        if now != self.at:
            self.value = self.value * exp2((self.at - now) / self.half_ns)
            self.at = now
        return self.value

    def add(self, now: int, amount: float = 1.0) -> None:
        """Count an amount that came now."""
        self.value = self.read(now) + amount * LN_2 / self.half_ns


class Endpoint:
    """An endpoint as discovery lists it, with what is known of its load and its response times."""

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
        "warm_share",
        "weight",
        "zone",
    )

    def __init__(self, row: api.Listed, settings: api.Settings) -> None:
        self.open_attempts: dict[tuple[int, int], Attempt] = {}  # by request and number
        self.slowdown = 1.0  # x_i: response times over what their requests usually take
        self.slowdown_by_class: dict[int, tuple[float, int]] = {}  # the same of one class, and when
        self.queue = 0.0
        self.slowdown_at = 0
        self.queue_at = 0
        self.sent_since_report = 0  # by this sidecar
        self.warm_from = row.started_ns + settings.cold_ns if row.started_ns else 0
        self.warm_share = 1.0  # part of its capacity that it is sure to have, while it is cold
        # What its own answers prove: as x_i, from the slowest start there may be. One proves little.
        self.proven_slowdown = 1 / settings.start_capacity if settings.start_capacity > 0 else MAX_SLOWDOWN
        self.update(row)

    def update(self, row: api.Listed) -> None:
        """Take over what discovery lists now."""
        self.row = row
        self.id = row.endpoint
        self.zone = row.zone
        self.kind = (row.kind, row.zone)
        self.weight = row.weight if 0 < row.weight < 1e9 else 1.0
        self.ready = row.state == EndpointState.READY


class Attempt:
    """One sending of a request to an endpoint."""

    __slots__ = ("endpoint", "may_have_run", "open", "sent", "usual")

    def __init__(self, endpoint: Endpoint, sent: int, usual: float) -> None:
        self.endpoint = endpoint
        self.sent = sent
        self.usual = usual
        self.open = True
        self.may_have_run = True


class PendingRequest:
    """A request from its arrival until its last attempt has ended."""

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
        target = request_class.target_ns + int(request_class.aim_stretch * (event.hint_ns or 0))
        self.abandoned_at = now + event.left_ns  # by the client
        self.due_at = now + min(target - waited, event.left_ns)
        # An answer past the limit is worth nothing.
        self.limit = self.abandoned_at if request_class.late_worth else self.due_at
        self.key = event.key if request_class.in_order else 0  # not 0: it takes turns with others of the key
        self.attempts: list[Attempt] = []
        self.done = False
        self.streaming = False
        self.may_cross_zones = False  # what another zone costs is worth paying

    def possibly_executed(self) -> list[Attempt]:
        """The attempts that may have run at their endpoint."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    def has_open_attempt(self) -> bool:
        """Whether the last attempt has not ended yet."""
        return bool(self.attempts) and self.attempts[-1].open


class State:
    """What more than one part of the balancer reads, kept for one sidecar."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        self.started = 0
        self.actions: list[api.Action] = []
        self.logged: dict[str, int] = {}  # topic -> when it may be logged again
        self.endpoints: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []  # those of the endpoints that may be sent to
        self.pending: dict[int, PendingRequest] = {}
        self.timers: dict[int, tuple[str, int]] = {}  # token -> what for, request
        self.next_token = 0
        self.open = 0  # requests not yet answered
        classes = settings.classes
        # The half-life of what is known of an endpoint.
        self.half_life_ns = max(request_class.deadline_ns for request_class in classes)
        self.tightest_ns = min(request_class.target_ns for request_class in classes)

    def _log(self, topic: str, text: str) -> None:
        # For docs/on-call.md. One line a topic in a longest deadline: a log must not become a load.
        if self.now >= self.logged.get(topic, 0):
            self.logged[topic] = self.now + self.half_life_ns
            self.actions.append(api.Log(f"{topic}: {text}"))

    def _set_timer(self, what: str, delay: int, request: PendingRequest | None = None) -> None:
        self.next_token = (self.next_token + 1) % 2**32
        self.timers[self.next_token] = (what, request.id if request else 0)
        self.actions.append(api.SetTimer(max(0, min(delay, MAX_TIMER_NS)), self.next_token))
