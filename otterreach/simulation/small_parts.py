"""The parts of the small model: an event loop driven step by step, a journal, an endpoint and a member.

Endpoint, journal and clock replace the real ones. Each member has a clock of its own, which only its timers advance.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from contextvars import copy_context
from dataclasses import dataclass
from functools import cache
from random import Random
from typing import Any, Protocol

from otterreach.controller.replication import ControlReplication
from otterreach.runtime import settings
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal_format import Record as Entry
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.simulation.loop import OWNER, Process, VirtualLoop
from otterreach.simulation.world import CTL, PORT, ZONES

FIRST_ITEM = Item("config", (1 << 24) | 1, b"0")
MAX_GRACE_S = 0.05  # a timer up to this long is no time-out, but a grace period for answers beyond the required ones
Event = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Bounds:
    """How often each kind of event may occur in one run."""

    members: int = 3
    survive: int = 1
    writes: int = 1
    elections: int = 1
    time_outs: int = 0
    crashes: int = 0
    wipes: int = 0
    reforms: int = 0
    reads: int = 0
    cuts: int = 0  # network partitions of one member from all others, in one or both directions
    deviations: int | None = None  # number of times that a message or sync overtakes an older one; None: unbounded
    depth: int = 60  # maximum number of events


class StepLoop(VirtualLoop):
    """An event loop that only runs ready callbacks; timers belong to members and are fired by the search."""

    def time(self) -> float:
        """Return the clock of the member that is running."""
        owner = OWNER.get()
        return owner.clock if isinstance(owner, Member) else 0.0

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:  # type: ignore[override]
        """Set a timer of the member that is running; it is fired by the model."""
        timer = asyncio.TimerHandle(when, callback, args, self, context or copy_context())
        owner = OWNER.get()
        if isinstance(owner, Member) and not self.over:
            owner.timers.append(timer)
        return timer

    def drain(self) -> None:
        """Run callbacks until none is ready."""
        ready: Any = self._ready  # type: ignore[attr-defined]
        asyncio.events._set_running_loop(self)
        try:
            while ready:
                self._run_handle(ready.popleft())
        finally:
            asyncio.events._set_running_loop(None)


@dataclass(slots=True, eq=False)
class Message:
    """A message in flight. Only the first one of a channel can arrive, as a connection keeps the order."""

    ident: str
    channel: tuple[str, ...]
    deliver: Callable[[], None]
    call: Call


@dataclass(slots=True, eq=False)
class Call:
    """A request without a reply so far."""

    caller: Member
    caller_incarnation: int
    target: Member
    target_incarnation: int
    future: asyncio.Future[Any]


class ModelJournal:
    """A journal in memory; records become durable by the sync event."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.size = 0
        self.failed: Failure | None = None
        self.pending: list[Entry] = []
        self.batch: list[Entry] = []  # records of the sync in progress
        self.syncing: list[asyncio.Future[bool]] = []
        self._waiting: list[asyncio.Future[bool]] = []

    def append(self, kind: int, payload: bytes) -> None:
        """Append a record."""
        self.pending.append((kind, payload))

    async def sync(self) -> bool:
        """Wait for the event that completes the sync."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if not self.syncing:
            self._begin()
        return await future

    def _begin(self) -> None:
        self.batch = self.pending
        self.pending = []
        self.syncing = self._waiting
        self._waiting = []
        if self.syncing:
            self.member.model.order.append(("sync", self.member.name))

    def synced(self) -> None:
        """Complete the sync in progress: its records are on the disk."""
        self.member.disk += self.batch
        done = self.syncing
        self.syncing = []
        self.batch = []
        for future in done:
            if not future.done():
                future.set_result(True)
        if self._waiting:
            self._begin()

    def abandon_rewrite(self) -> None:
        """Do nothing: no rewrite is ever in progress."""

    async def rewrite(self, live: Callable[[], Iterable[Entry]]) -> bool:
        """Raise NotImplementedError: the journal never grows long enough for a rewrite."""
        raise NotImplementedError("the journal of the small model does not support a rewrite")


class ModelEndpoint:
    """An endpoint whose calls become messages of the model."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.handlers: dict[type, Any] = {}
        self.links: set[Any] = set()

    def on(self, kind: type, handler: Any) -> None:
        """Register the handler of a kind of request."""
        self.handlers[kind] = handler

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a task of this member."""
        return asyncio.ensure_future(work)

    def open_link(self, address: str) -> None:
        """Return None: the model has no connections."""
        return

    async def call(self, address: str, value: Any, timeout_s: float) -> Any:
        """Send a request through the model, and wait for its reply or the time-out."""
        member = self.member
        model = self.member.model
        target = model.at(address)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()
        call = Call(member, member.incarnation, target, target.incarnation, future)
        model.request(call, value)
        timer = loop.call_later(timeout_s, member.expire, call)
        try:
            return await future
        finally:
            timer.cancel()


class _NullRelay:
    def publish(self, items: list[Item]) -> None:
        """Drop the items, as the model has no followers."""


class ModelFollower:
    """The part of otterreach.runtime.relay.Follower that a controller uses."""

    def __init__(self) -> None:
        self.primary = ""
        self.is_root = False
        self.fresh_at = 0.0
        self.controllers: list[str] = []
        self.store = ReplicatedStore()
        self.relay = _NullRelay()


@cache
def settings_of(name: str, number: int, survive: int) -> Settings:
    """Return the settings of a member."""
    ip = f"10.{number % 3 + 1}.0.{number + 1}"
    raw = {
        "node": name,
        "machine": "core",
        "ip": ip,
        "az": ZONES[number % 3],
        "region": "r",
        "zones": dict.fromkeys(ZONES, "r"),
        "portRange": [PORT, PORT + 15],
        "binds": {kind: f"{ip}:{port}" for kind, port in (("ctl", CTL), ("front", 8001), ("readyz", 8002))},
        "peers": [],
        "bootstrap": False,
        "counted": True,
        "caps": {"ramMb": 300, "nofile": 4000, "diskMb": 300},
        "datadir": "/nowhere",
        "heartbeatMs": 1200,
        "inForce": ["base"],
        "survive": {"nodes": survive},
        "slas": {},
    }
    return settings.read(raw)


class IncarnationChecks(Protocol):
    """The invariants that are notified when an incarnation of a member begins."""

    def incarnation_begins(self, member: Member) -> None:
        """Check the state that the member loaded from its disk."""


class Model(Protocol):
    """The part of the model that a member uses."""

    bounds: Bounds
    loop: StepLoop
    order: list[Event]

    @property
    def checks(self) -> IncarnationChecks:
        """The invariants of this run."""

    def at(self, address: str) -> Member:
        """Return the member that listens at this address."""

    def request(self, call: Call, value: Any) -> None:
        """Send a request through the model."""


class Member(Process):
    """A controller with its disk, its clock and the history of its events."""

    def __init__(self, model: Model, number: int) -> None:
        self.settings = settings_of(f"m{number}", number, model.bounds.survive)
        super().__init__(f"m{number}", self.settings.ip)
        self.model = model
        self.number = number
        self.clock = 0.0
        self.timers: list[asyncio.TimerHandle] = []
        self.disk: list[Entry] = []
        self.incarnation = 0
        self.history = 0  # hash of all its events
        self.sent = 0
        self.connection: dict[str, int] = {}  # target -> number of the connection; a time-out opens a new one
        self.control: ControlReplication
        self.journal: ModelJournal

    def note(self, *what: Any) -> None:
        """Add an event to the history, which distinguishes states."""
        self.history = hash((self.history, what))

    def run(self, work: Callable[..., Any], *args: Any) -> None:
        """Run a callback on this member, and everything that becomes ready by it."""
        self.model.loop.call_as(self, work, *args)
        self.model.loop.drain()

    def begin(self) -> None:
        """Begin a new incarnation from the content of the disk."""
        self.dead = False
        self.timers = []
        self.clock = self.clock + 10.0
        self.incarnation += 1
        self.context = copy_context()
        self.context.run(OWNER.set, self)
        self.run(self._load)

    def _load(self) -> None:
        self.journal = ModelJournal(self)
        endpoint: Any = ModelEndpoint(self)
        follower: Any = ModelFollower()
        journal: Any = self.journal
        self.control = ControlReplication(self.settings, endpoint, journal, follower, Random(self.number))
        self.control.load(list(self.disk))
        self.model.checks.incarnation_begins(self)
        if self.journal.pending:  # a new id is durable before any answer is sent
            self.disk += self.journal.pending
            self.journal.pending = []

    def due(self) -> asyncio.TimerHandle | None:
        """Return the timer that fires next."""
        self.timers = [t for t in self.timers if not t.cancelled()]
        return min(self.timers, key=lambda t: t.when(), default=None)

    def fire(self, timer: asyncio.TimerHandle) -> None:
        """Fire a timer."""
        self.timers.remove(timer)
        self.clock = max(self.clock, timer.when())
        self.model.loop.ready(timer)
        self.model.loop.drain()

    def expire(self, call: Call) -> None:
        """Time out a call; the request may still arrive."""
        if not call.future.done():
            self.connection[call.target.name] = self.connection.get(call.target.name, 0) + 1
            call.future.set_result(Failure(Code.TIMED_OUT, "no answer in time"))
