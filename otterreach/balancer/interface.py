"""Interface of the decision module: settings at start, events as input, actions as output.

Times are integer nanoseconds. Ids of endpoints, requests and tenants are opaque.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import Any, NamedTuple, Union

from otterreach.balancer.settings_reader import Reader, SettingsError


class Effect(Enum):
    """Effect of executing a request of a class more than once."""

    REPEATABLE = "repeatable"  # idempotent: may be executed any number of times
    BY_KEY = "by_key"  # the servers of a deduplication scope drop repeats of a key within a time window
    ONCE = "once"  # must not be executed twice


class Status(IntEnum):
    """Result of an attempt, by its number on the wire.

    MOOT: the attempt was not sent, since the request or its endpoint no longer allowed it.
    """

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


MAX_OBSERVATIONS = 36  # per message between sidecars: 7 bytes each, in a message of at most 256 bytes
NEVER_RAN = frozenset((Status.FULL, Status.CONNECT_FAILED, Status.MOOT))


class EndpointState(IntEnum):
    """State of an endpoint as reported by discovery, by its number on the wire."""

    GONE = 0
    READY = 1
    DRAINING = 2


class RosterForm(IntEnum):
    """Content of a roster: nothing, changes, the complete list, or a complete list from discovery's cache."""

    FAILED = 0
    DELTA = 1
    FULL = 2
    CACHED = 3


class RequestClass(NamedTuple):
    """Settings of a class of requests."""

    target_ns: int
    deadline_ns: int
    effect: Effect
    value: float = 1.0
    late_value: float = 0.0
    dedup_scope: str = "all"  # all, zone or cell
    dedup_window_ns: int = 0
    stream: bool = False
    target_stretch: float = 0.0
    in_order: bool = False  # requests with the same key are executed one at a time, in order of arrival


class Tenant(NamedTuple):
    """Capacity share of a tenant, and its quota in requests per second."""

    share: float
    quota_per_s: float


class Settings(NamedTuple):
    """Settings at start: the guarantees, permissions and prices of the deployment."""

    classes: tuple[RequestClass, ...]
    zone: int
    attempts_cap: int
    drain_grace_ns: int
    warm_up_ns: int
    start_capacity: float
    collapse_multiple: float
    collapse_window_ns: int
    fleet_size: int = 1
    self_index: int = 0
    answer_slack_ns: int = 0
    order_settle_ns: int = 0
    resubscribe_within_ns: int = 10_000_000_000
    resolution_ns: int = 1_000_000
    may_duplicate: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_message: bool = False
    connect_timeout_ns: int = 0
    discovery: str = "push"  # push or ask
    report_mode: str = "silent"  # piggyback, pull or silent
    report_columns: tuple[str, ...] = ()
    key_affinity: bool = False
    tenants: tuple[Tenant, ...] = ()
    price_cross_zone: float = 0.0

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> Settings:
        """Parse the settings object. Unknown keys are ignored; optional keys may be absent.

        :raises SettingsError: a setting is missing, has the wrong type or is out of range
        """
        root = Reader(raw, "")
        allowed = root.child("allowed")
        rules = root.child("guarantees")
        prices = root.child("prices", required=False)
        report = root.child("report", required=False)
        family = root.child("family-info", required=False)
        classes = tuple(_read_class(c) for c in root.children("request-classes"))
        if not classes:
            raise SettingsError("setting request-classes: expected at least one class, got an empty list")
        return cls(
            classes=classes,
            zone=root.integer("zone", 0),
            attempts_cap=allowed.positive("attempts-cap"),
            drain_grace_ns=rules.duration("drain-grace-ns"),
            warm_up_ns=rules.positive("cold-ns"),
            start_capacity=rules.factor("start-capacity", most=1.0),
            collapse_multiple=rules.factor("fall-multiple"),
            collapse_window_ns=rules.positive("fall-ns"),
            fleet_size=max(1, root.integer("fleet-size", 1)),
            self_index=root.integer("self-index", 0),
            answer_slack_ns=rules.duration("answer-slack-ns", 0),
            order_settle_ns=rules.duration("order-settle-ns", 0),
            resubscribe_within_ns=rules.duration("ask-within-ns", 10_000_000_000),
            resolution_ns=root.duration("resolution-ns", 1_000_000),
            may_duplicate=allowed.flag("may-duplicate"),
            may_cancel=allowed.flag("cancel"),
            may_probe=allowed.flag("probes"),
            may_message=allowed.flag("peers"),
            connect_timeout_ns=allowed.duration("connect-timeout-ns", 0),
            discovery=root.text("discovery", "push"),
            report_mode=report.text("how", "silent"),
            report_columns=tuple(str(c) for c in report.items("columns")),
            key_affinity=family.flag("warm-keys"),
            tenants=tuple(
                Tenant(t.factor("share", 1.0), t.factor("quota-per-s", 0.0))
                for t in root.children("tenants", required=False)
            ),
            price_cross_zone=prices.factor("cross-zone", 0.0),
        )


def _read_class(row: Reader) -> RequestClass:
    effect = row.text("effect")
    if effect not in {e.value for e in Effect}:
        raise SettingsError(f"setting request-classes[].effect: unknown value {effect!r}")
    return RequestClass(
        target_ns=row.positive("target-ns"),
        deadline_ns=row.positive("deadline-ns"),
        effect=Effect(effect),
        value=row.factor("worth", 1.0),
        late_value=row.factor("late-worth", 0.0),
        dedup_scope=row.text("dedup-scope", "all"),
        dedup_window_ns=row.duration("dedup-window-ns", 0),
        stream=row.flag("stream"),
        target_stretch=row.factor("aim-stretch", 0.0),
        in_order=row.flag("in-order"),
    )


# Events -------------------------------------------------------------------------------------------


class Listed(NamedTuple):
    """Entry of an endpoint in discovery's list."""

    endpoint: int
    weight: float
    cell: int
    kind: int
    zone: int
    state: int
    started_ns: int  # start time of the process; 0: unknown, and long enough ago to be warmed up


class Roster(NamedTuple):
    """Update of the endpoint list from discovery."""

    version: int
    form: RosterForm
    entries: tuple[Listed, ...] = ()


class Request(NamedTuple):
    """Arrival of a request."""

    request: int
    class_index: int  # index in the settings' list of request classes
    left_ns: int  # time until the client's own time-out for this attempt
    hint_ns: int | None = None  # expected execution time on a standard core
    key: int = 0
    tenant: int = 0
    is_retry: bool = False
    is_write: bool = False


class FirstByte(NamedTuple):
    """Arrival of the first byte of a streamed response."""

    request: int
    endpoint: int
    latency_ns: int
    attempt: int


class Outcome(NamedTuple):
    """End of an attempt. `finished`: the client has its answer or has gone; no further attempt is needed."""

    request: int
    endpoint: int
    attempt: int
    latency_ns: int
    status: Status
    finished: bool
    load: tuple[float, ...] = ()


class ClientGone(NamedTuple):
    """The client has disconnected, or its request no longer needs an answer."""

    request: int


class Timer(NamedTuple):
    """Expiry of a timer that was set."""

    token: int


class ProbeResult(NamedTuple):
    """Result of a load probe."""

    endpoint: int
    status: Status
    latency_ns: int
    load: tuple[float, ...] = ()


class EndpointObservation(NamedTuple):
    """Latest measurements of an endpoint by one sidecar, shared with another."""

    endpoint: int
    slowdown: float  # ratio of response times to the expected times of their requests
    queue: float
    age_ns: int


class PeerMessage(NamedTuple):
    """Message from another sidecar."""

    sender: int
    latency_ratio: float = 0.0  # recent ratio of response time to latency target; 1: all targets missed
    observations: tuple[EndpointObservation, ...] = ()


Event = Union[Roster, Request, FirstByte, Outcome, ClientGone, Timer, ProbeResult, PeerMessage]


# Actions ------------------------------------------------------------------------------------------


class Send(NamedTuple):
    """Send a request to an endpoint."""

    request: int
    endpoint: int
    timeout_ns: int = 0  # 0: until the client's own time-out


class Refuse(NamedTuple):
    """Final answer: the request was not served, and a retry by the client does no harm."""

    request: int
    retry_after_ns: int = 0


class Fail(NamedTuple):
    """Final answer: the request failed, and may have been executed."""

    request: int


class Cancel(NamedTuple):
    """Cancel an attempt in flight."""

    request: int
    attempt: int


class SetTimer(NamedTuple):
    """Set a timer; its expiry is an event with the same token."""

    delay_ns: int
    token: int


class Log(NamedTuple):
    """Write a log line for the operator."""

    text: str


class Fault(NamedTuple):
    """Report a failure of the decision module to the simulator."""

    text: str


class Fetch(NamedTuple):
    """Request the complete list from discovery once."""


class Watch(NamedTuple):
    """Subscribe to discovery's changes, or unsubscribe."""

    active: bool = True


class CloseIdle(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: int


class Tell(NamedTuple):
    """Send a message to another sidecar."""

    peer: int  # -1: every peer
    latency_ratio: float = 0.0
    observations: tuple[EndpointObservation, ...] = ()  # at most MAX_OBSERVATIONS, the capacity of a message


class Probe(NamedTuple):
    """Request the current load from an endpoint."""

    endpoint: int


Action = Union[Send, Refuse, Fail, Cancel, SetTimer, Log, Fault, Fetch, Watch, CloseIdle, Tell, Probe]
