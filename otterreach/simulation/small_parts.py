"""The parts of the small model: a loop that runs what it is told to, a journal, an endpoint and a member.

Endpoint, journal and clock stand in for the real ones. Each member has a clock of its own that only its timers move.
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
SHORT_S = 0.05  # a timer of less is no time-out: it ends a wait for more than is needed
Event = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may happen in one run, and how often."""

    members: int = 3
    survive: int = 1
    writes: int = 1
    elections: int = 1
    time_outs: int = 0
    crashes: int = 0
    wipes: int = 0
    reforms: int = 0
    reads: int = 0
    cuts: int = 0  # of one member from all others, in both directions or one
    deviations: int | None = None  # times that an older message or sync is put behind; None: any number
    depth: int = 60  # events


class StepLoop(VirtualLoop):
    """Runs only what is ready; timers belong to members, and fire when the search says so."""

    def time(self) -> float:
        """The clock of the member that runs."""
        owner = OWNER.get()
        return owner.clock if isinstance(owner, Member) else 0.0

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:  # type: ignore[override]
        """A timer of the member that runs; it fires when the model says so."""
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
    """One message on its way. Only the first of a channel can arrive: a connection keeps the order."""

    ident: str
    channel: tuple[str, ...]
    deliver: Callable[[], None]
    call: Call


@dataclass(slots=True, eq=False)
class Call:
    """A request without its answer yet."""

    caller: Member
    caller_incarnation: int
    target: Member
    target_incarnation: int
    future: asyncio.Future[Any]


class ModelJournal:
    """Records in memory; what a sync has covered lasts."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.size = 0
        self.failed: Failure | None = None
        self.pending: list[Entry] = []
        self.batch: list[Entry] = []  # being synced
        self.syncing: list[asyncio.Future[bool]] = []
        self._waiting: list[asyncio.Future[bool]] = []

    def append(self, kind: int, payload: bytes) -> None:
        """Take a record."""
        self.pending.append((kind, payload))

    async def sync(self) -> bool:
        """Wait for the event that puts it on the disk."""
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
        """The disk has what was being synced."""
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
        """None is ever under way."""

    async def rewrite(self, live: Callable[[], Iterable[Entry]]) -> bool:
        """Never called here."""
        raise NotImplementedError("a small model's journal never gets long")


class ModelEndpoint:
    """Calls become messages of the model."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.handlers: dict[type, Any] = {}
        self.links: set[Any] = set()

    def on(self, kind: type, handler: Any) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run work of this member."""
        return asyncio.ensure_future(work)

    def linked(self, address: str) -> None:
        """There are no connections here."""
        return

    async def call(self, address: str, value: Any, timeout_s: float) -> Any:
        """Put a request into the model, and wait for its reply or the time-out."""
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


class _Relay:
    def publish(self, items: list[Item]) -> None:
        """Nobody follows here."""


class ModelFollower:
    """What a controller uses of otterreach.runtime.relay.Follower."""

    def __init__(self) -> None:
        self.primary = ""
        self.is_root = False
        self.fresh_at = 0.0
        self.controllers: list[str] = []
        self.store = ReplicatedStore()
        self.relay = _Relay()


@cache
def settings_of(name: str, number: int, survive: int) -> Settings:
    """The settings of a member."""
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
    """The invariants that are told when a member begins a life."""

    def incarnation_begins(self, member: Member) -> None:
        """Take what the member loaded as the state that it has to keep."""


class Model(Protocol):
    """What a member needs of the run that it is part of."""

    bounds: Bounds
    loop: StepLoop
    order: list[Event]

    @property
    def checks(self) -> IncarnationChecks:
        """The invariants of this run."""

    def at(self, address: str) -> Member:
        """The member that listens at this address."""

    def request(self, call: Call, value: Any) -> None:
        """Put a request into the network."""


class Member(Process):
    """One controller: its disk, its clock, and the history of its events."""

    def __init__(self, model: Model, number: int) -> None:
        self.settings = settings_of(f"m{number}", number, model.bounds.survive)
        super().__init__(f"m{number}", self.settings.ip)
        self.model = model
        self.number = number
        self.clock = 0.0
        self.timers: list[asyncio.TimerHandle] = []
        self.disk: list[Entry] = []
        self.incarnation = 0
        self.history = 0  # a hash over all its events
        self.sent = 0
        self.connection: dict[str, int] = {}  # by target: rises after a time-out, which opens another one
        self.control: ControlReplication
        self.journal: ModelJournal

    def note(self, *what: Any) -> None:
        """Add an event to the history, by which states are told apart."""
        self.history = hash((self.history, what))

    def run(self, work: Callable[..., Any], *args: Any) -> None:
        """Something happens here."""
        self.model.loop.call_as(self, work, *args)
        self.model.loop.drain()

    def begin(self) -> None:
        """A new life on what the disk has."""
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
        if self.journal.pending:  # a new id lasts before anything is answered
            self.disk += self.journal.pending
            self.journal.pending = []

    def due(self) -> asyncio.TimerHandle | None:
        """The timer that fires next."""
        self.timers = [t for t in self.timers if not t.cancelled()]
        return min(self.timers, key=lambda t: t.when(), default=None)

    def fire(self, timer: asyncio.TimerHandle) -> None:
        """Let a timer fire."""
        self.timers.remove(timer)
        self.clock = max(self.clock, timer.when())
        self.model.loop.ready(timer)
        self.model.loop.drain()

    def expire(self, call: Call) -> None:
        """A call is not waited for any longer; it may still arrive."""
        if not call.future.done():
            self.connection[call.target.name] = self.connection.get(call.target.name, 0) + 1
            call.future.set_result(Failure(Code.TIMED_OUT, "no answer in time"))
