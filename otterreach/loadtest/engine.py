"""An engine: requests in batches, memory with cached prompt parts, versions of weights.

No clock and no network: `tick` is told how much time has passed, and gives what came of it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import Any

from otterreach.loadtest.plan import Service

Key = tuple[str, ...]  # a model, then the parts of a prompt up to and with this one
METHODS = ("wait", "trim", "retain")


class Stage(Enum):
    """How far a run is."""

    WAITING = "waiting"
    READING = "reading"  # its prompt
    MAKING = "making"  # tokens
    OVER = "over"


class Why(Enum):
    """Why a run ended without its last event."""

    REFUSED = "turned away"  # it has not run
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class Ask:
    """A request for tokens. `after`: the last event that the caller has; `expect`: the version it wants."""

    id: str
    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[tuple[str, int], ...] = ()
    priority: int = 5
    after: int = 0
    expect: int | None = None


@dataclass(eq=False, slots=True)
class Run:
    """A request at the engine. `events` have been made of `total`; `made` is in tokens."""

    ask: Ask
    number: int
    keys: list[tuple[Key, int]]
    total: int
    made: float
    events: int
    stage: Stage = Stage.WAITING
    unread: float = 0.0
    begun: bool = False
    told: int = 0  # the version that its caller was told last
    grown: float = 0.0  # tokens of memory besides its prompt

    @property
    def urgency(self) -> tuple[int, int]:
        """The sort key: the lowest goes first."""
        return self.ask.priority, self.number


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a run's stream; `changed`: under another version than the one before."""

    run: Run
    ident: int
    version: int
    changed: bool
    last: bool


@dataclass(frozen=True, slots=True)
class End:
    """A run has ended early."""

    run: Run
    why: Why


@dataclass(slots=True)
class Order:
    """A load of weights in progress."""

    model: str
    gen: int
    method: str
    left_s: float


@dataclass(slots=True)
class CachedPart:
    """A part of prompts in the memory, with the runs that use it."""

    tokens: int
    users: int = 0
    ready: bool = False  # read by somebody


class Memory:
    """Tokens kept: parts in use, parts kept in case, and what runs have made. The parts unused for longest give way."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.parts: OrderedDict[Key, CachedPart] = OrderedDict()
        self.made = 0.0

    @property
    def pinned(self) -> float:
        """What can't give way."""
        return self.made + sum(p.tokens for p in self.parts.values() if p.users)

    @property
    def used(self) -> float:
        """All tokens in the memory."""
        return self.made + sum(p.tokens for p in self.parts.values())

    def unread(self, keys: list[tuple[Key, int]]) -> int:
        """Tokens that have to be read: a part counts as kept only if every part before it is kept as well."""
        for n, (key, _) in enumerate(keys):
            part = self.parts.get(key)
            if part is None or not part.ready:
                return sum(tokens for _, tokens in keys[n:])
        return 0

    def hold(self, keys: list[tuple[Key, int]], more: float) -> bool:
        """Pin a prompt and `more` tokens. False: no room, and nothing has changed."""
        kept = {key for key, _ in keys if key in self.parts}
        needed = more + sum(tokens for key, tokens in keys if key not in kept)
        for key in kept:
            self.parts[key].users += 1
        if not self._make_room(needed):
            for key in kept:
                self.parts[key].users -= 1
            return False
        for key, tokens in keys:
            if key not in kept:
                self.parts[key] = CachedPart(tokens, 1)
            self.parts.move_to_end(key)
        self.made += more
        return True

    def _make_room(self, needed: float) -> bool:
        over = self.used + needed - self.total
        for key in [key for key, part in self.parts.items() if not part.users]:
            if over <= 0:
                break
            over -= self.parts.pop(key).tokens
        return over <= 0

    def grow(self, tokens: float) -> bool:
        """Take room for tokens that a run makes. False: there is none."""
        if not self._make_room(tokens):
            return False
        self.made += tokens
        return True

    def let_go(self, keys: list[tuple[Key, int]], made: float) -> None:
        """A run has ended: its prompt is unpinned, its tokens are freed."""
        self.made -= made
        for key, _ in keys:
            part = self.parts.get(key)
            if part is None:
                continue
            part.users -= 1
            self.parts.move_to_end(key)
            if not part.users and not part.ready:
                del self.parts[key]

    def ready(self, keys: list[tuple[Key, int]]) -> None:
        """A prompt has been read: others may use its parts."""
        for key, _ in keys:
            self.parts[key].ready = True

    def forget(self, model: str) -> None:
        """All of a model: nobody may be holding it."""
        for key in [key for key in self.parts if key[0] == model]:
            del self.parts[key]


@dataclass(slots=True)
class Engine:
    """`named` gives the newest version of a model that a trainer has named."""

    spec: Service
    versions: dict[str, int]
    named: Callable[[str], int]
    fenced: bool = False
    slow: float = 1.0
    memory: Memory = field(init=False)
    waiting: list[Run] = field(default_factory=list)
    running: list[Run] = field(default_factory=list)
    order: Order | None = None
    calls: int = 0  # orders taken
    fence: int = 0
    _count: int = 0

    def __post_init__(self) -> None:
        self.memory = Memory(self.spec.kv)

    @property
    def idle(self) -> bool:
        """Whether nothing waits and nothing runs."""
        return not (self.waiting or self.running or self.order)

    def submit(self, ask: Ask) -> Run | int:
        """Take a request, or the status that turns it away: 421 or 503, and it has not run; 400 if it can't be."""
        version = self.versions.get(ask.model)
        if version is None or ask.tokens_out < 1:
            return 400
        if ask.expect is not None and ask.expect != version:
            return 421
        if self.order and self.order.model == ask.model:
            return 503
        parts = ask.parts or ((ask.id, ask.tokens_in),)
        size = sum(tokens for _, tokens in parts) + ask.tokens_out
        if size > self.spec.kv or len(self.waiting) >= self.spec.queue and len(self.running) >= self.spec.cap:
            return 503
        total = ceil(ask.tokens_out / self.spec.stride)
        if not 0 <= ask.after < total:
            return 400
        names = [name for name, _ in parts]
        keys = [((ask.model, *names[: n + 1]), tokens) for n, (_, tokens) in enumerate(parts)]
        self._count += 1
        run = Run(ask, self._count, keys, total, float(ask.after * self.spec.stride), ask.after)
        self.waiting.append(run)
        return run

    def drop(self, run: Run) -> None:
        """Its connection has closed, or it is done."""
        self._change(run, Stage.OVER)

    def _change(self, run: Run, stage: Stage) -> None:
        """The one function that moves a run, and keeps the books of memory."""
        old = run.stage
        run.stage = stage
        if old is Stage.WAITING:
            self.waiting.remove(run)
        elif old in (Stage.READING, Stage.MAKING) and stage in (Stage.WAITING, Stage.OVER):
            self.running.remove(run)
            self.memory.let_go(run.keys, run.grown)
            run.grown = 0.0
        if stage is Stage.WAITING:
            self.waiting.append(run)
        elif stage is Stage.READING:
            self.running.append(run)

    # Orders --------------------------------------------------------------------------------------

    def take_order(self, body: dict[str, Any]) -> int:
        """The status for an order: 202 being done, 200 holds already, 409, 412, 400."""
        owner = body.get("owner")
        fence = body.get("fence")
        model = body.get("model")
        gen = body.get("gen")
        if body.get("op") != "gen" or not owner or type(fence) is not int or type(gen) is not int:
            return 400
        method = body.get("method", "wait")
        if model not in self.versions or method not in METHODS or gen > self.named(model):
            return 400
        if self.fenced and fence < self.fence:
            return 412
        if self.order or body.get("expect", self.calls) != self.calls:
            return 409
        self.fence = max(self.fence, fence)
        if self.versions[model] == gen:
            return 200
        self.calls += 1
        self.order = Order(model, gen, method, self.spec.load_s)
        return 202

    def _of(self, order: Order) -> list[Run]:
        return [run for run in (*self.running, *self.waiting) if run.ask.model == order.model]

    def _advance_order(self, dt_s: float, outcomes: list[Event | End]) -> None:
        order = self.order
        if order is None:
            return
        for run in self._of(order):
            if not run.begun:
                self._end(run, Why.REFUSED, outcomes)
            elif order.method == "trim":
                self._end(run, Why.RESET, outcomes)
            elif order.method == "retain" and run.stage is not Stage.WAITING:
                self._change(run, Stage.WAITING)  # goes on under the new one; what was kept for it is dropped
        if order.method == "wait" and self._of(order):
            return
        order.left_s -= dt_s / self.slow
        if order.left_s <= 0:
            self.memory.forget(order.model)
            self.versions[order.model] = order.gen
            self.order = None

    def _end(self, run: Run, why: Why, outcomes: list[Event | End]) -> None:
        self._change(run, Stage.OVER)
        outcomes.append(End(run, why))

    # Time ----------------------------------------------------------------------------------------

    def tick(self, dt_s: float) -> list[Event | End]:
        """So much time has passed."""
        outcomes: list[Event | End] = []
        self._advance_order(dt_s, outcomes)
        self._admit()
        self._read(dt_s)
        self._make(dt_s, outcomes)
        return outcomes

    def _admit(self) -> None:
        for run in sorted(self.waiting, key=lambda r: r.urgency):
            if len(self.running) >= self.spec.cap:
                return
            # Under `wait` what has begun runs on, preempted or not: the order waits for it.
            if self.order and self.order.model == run.ask.model and self.order.method == "retain":
                continue
            unread = self.memory.unread(run.keys) + run.made
            if not self.memory.hold(run.keys, run.made):
                return
            run.unread = unread
            run.grown = run.made
            self._change(run, Stage.READING)

    def _read(self, dt_s: float) -> None:
        budget = dt_s * 1000 * self.spec.read_per_ms / self.slow
        for run in [r for r in self.running if r.stage is Stage.READING]:
            read = min(budget, run.unread)
            run.unread -= read
            budget -= read
            if run.unread <= 0:
                self.memory.ready(run.keys)
                self._change(run, Stage.MAKING)

    def _make(self, dt_s: float, outcomes: list[Event | End]) -> None:
        token_ms = (self.spec.token_ms + self.spec.busy_ms * len(self.running)) * self.slow
        for run in sorted(self.running, key=lambda r: r.urgency):
            if run.stage is not Stage.MAKING:
                continue
            more = min(dt_s * 1000 / token_ms, run.ask.tokens_out - run.made)
            while run.stage is Stage.MAKING and not self.memory.grow(more):
                self._change(max(self.running, key=lambda r: r.urgency), Stage.WAITING)
            if run.stage is Stage.MAKING:
                run.made += more
                run.grown += more
                self._emit(run, outcomes)

    def _emit(self, run: Run, outcomes: list[Event | End]) -> None:
        done = run.made >= run.ask.tokens_out - 1e-6
        due = run.total if done else int(run.made / self.spec.stride + 1e-9)
        version = self.versions[run.ask.model]
        while run.events < due:
            run.events += 1
            changed = run.begun and run.told != version
            run.begun = True
            run.told = version
            outcomes.append(Event(run, run.events, version, changed, run.events == run.total))
        if done:
            self._change(run, Stage.OVER)

    def report(self) -> dict[str, Any]:
        """What `/report` answers."""
        return {
            "stage": "both",
            "models": [{"name": name, "gen": gen, "loras": []} for name, gen in self.versions.items()],
            "busy": self.order is not None,
            "calls": self.calls,
            "queued": len(self.waiting),
            "running": len(self.running),
            "kvUsed": int(self.memory.pinned),
            "kvTotal": self.memory.total,
            "refs": 0,
        }
