"""Model of an inference engine: continuous batching, a KV cache with shared prompt prefixes, versions of weights.

Without clock and network: `tick` takes the elapsed time and returns the events that it produced.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import Any

from otterreach.loadtest.plan import Service

Key = tuple[str, ...]  # model, then the names of the prompt parts up to and including this one
METHODS = ("wait", "trim", "retain")


class Stage(Enum):
    """Stage of a run."""

    WAITING = "waiting"
    PREFILL = "reading"
    DECODE = "making"
    ENDED = "over"


class EndReason(Enum):
    """Reason for a run's end before its last event."""

    REFUSED = "turned away"  # it has emitted no event
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A generation request. `after`: the last event that the client has; `expect`: the version that it requires."""

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
    """A request at the engine. `events` of `total` have been emitted; `generated` counts tokens."""

    request: GenerationRequest
    number: int
    keys: list[tuple[Key, int]]
    total: int
    generated: float
    events: int
    stage: Stage = Stage.WAITING
    prefill_left: float = 0.0
    begun: bool = False
    reported_version: int = 0  # version last reported to the client
    generated_cached: float = 0.0  # cached tokens besides the prompt

    @property
    def urgency(self) -> tuple[int, int]:
        """Sort key: the lowest is admitted first and preempted last."""
        return self.request.priority, self.number


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a run's stream; `changed`: its version differs from that of the preceding event."""

    run: Run
    number: int
    version: int
    changed: bool
    last: bool


@dataclass(frozen=True, slots=True)
class End:
    """Early end of a run."""

    run: Run
    reason: EndReason


@dataclass(slots=True)
class Order:
    """A change of weights in progress."""

    model: str
    gen: int
    method: str
    left_s: float


@dataclass(slots=True)
class CachedPart:
    """A prompt part in the KV cache, with the number of runs that use it."""

    tokens: int
    users: int = 0
    ready: bool = False  # its prefill is complete


class KVCache:
    """KV cache: parts in use, parts kept for reuse, and generated tokens. Evicts the least recently used parts."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.parts: OrderedDict[Key, CachedPart] = OrderedDict()
        self.generated = 0.0

    @property
    def pinned(self) -> float:
        """Tokens that can't be evicted."""
        return self.generated + sum(p.tokens for p in self.parts.values() if p.users)

    @property
    def used(self) -> float:
        """All tokens in the cache."""
        return self.generated + sum(p.tokens for p in self.parts.values())

    def uncached_tokens(self, keys: list[tuple[Key, int]]) -> int:
        """Return the tokens that need prefill: a part is a hit only if all parts before it are cached as well."""
        for n, (key, _) in enumerate(keys):
            part = self.parts.get(key)
            if part is None or not part.ready:
                return sum(tokens for _, tokens in keys[n:])
        return 0

    def pin(self, keys: list[tuple[Key, int]], more: float) -> bool:
        """Pin a prompt and reserve `more` tokens. Return False, with nothing changed, if they don't fit."""
        kept = {key for key, _ in keys if key in self.parts}
        needed = more + sum(tokens for key, tokens in keys if key not in kept)
        for key in kept:
            self.parts[key].users += 1
        if not self._evict(needed):
            for key in kept:
                self.parts[key].users -= 1
            return False
        for key, tokens in keys:
            if key not in kept:
                self.parts[key] = CachedPart(tokens, 1)
            self.parts.move_to_end(key)
        self.generated += more
        return True

    def _evict(self, needed: float) -> bool:
        over = self.used + needed - self.total
        for key in [key for key, part in self.parts.items() if not part.users]:
            if over <= 0:
                break
            over -= self.parts.pop(key).tokens
        return over <= 0

    def reserve(self, tokens: float) -> bool:
        """Reserve space for generated tokens. Return False if they don't fit."""
        if not self._evict(tokens):
            return False
        self.generated += tokens
        return True

    def release(self, keys: list[tuple[Key, int]], generated: float) -> None:
        """Unpin the prompt of a run and free its generated tokens."""
        self.generated -= generated
        for key, _ in keys:
            part = self.parts.get(key)
            if part is None:
                continue
            part.users -= 1
            self.parts.move_to_end(key)
            if not part.users and not part.ready:
                del self.parts[key]

    def mark_ready(self, keys: list[tuple[Key, int]]) -> None:
        """Mark the parts of a prompt as prefilled, so that other runs may share them."""
        for key, _ in keys:
            self.parts[key].ready = True

    def evict_model(self, model: str) -> None:
        """Evict all parts of a model; no run may have them pinned."""
        for key in [key for key in self.parts if key[0] == model]:
            del self.parts[key]


@dataclass(slots=True)
class Engine:
    """An inference engine. `newest_version` returns the newest version of a model that a trainer has published."""

    spec: Service
    versions: dict[str, int]
    newest_version: Callable[[str], int]
    fenced: bool = False
    slow: float = 1.0
    kv_cache: KVCache = field(init=False)
    waiting: list[Run] = field(default_factory=list)
    running: list[Run] = field(default_factory=list)
    order: Order | None = None
    calls: int = 0  # accepted orders
    fence: int = 0
    _count: int = 0

    def __post_init__(self) -> None:
        self.kv_cache = KVCache(self.spec.kv)

    @property
    def idle(self) -> bool:
        """True if no run is waiting or running and no order is in progress."""
        return not (self.waiting or self.running or self.order)

    def submit(self, request: GenerationRequest) -> Run | int:
        """Queue a request, or return the status of its rejection: 421 or 503 (it has not run), 400 if it is invalid."""
        version = self.versions.get(request.model)
        if version is None or request.tokens_out < 1:
            return 400
        if request.expect is not None and request.expect != version:
            return 421
        if self.order and self.order.model == request.model:
            return 503
        parts = request.parts or ((request.id, request.tokens_in),)
        size = sum(tokens for _, tokens in parts) + request.tokens_out
        if size > self.spec.kv or len(self.waiting) >= self.spec.queue and len(self.running) >= self.spec.cap:
            return 503
        total = ceil(request.tokens_out / self.spec.stride)
        if not 0 <= request.after < total:
            return 400
        names = [name for name, _ in parts]
        keys = [((request.model, *names[: n + 1]), tokens) for n, (_, tokens) in enumerate(parts)]
        self._count += 1
        run = Run(request, self._count, keys, total, float(request.after * self.spec.stride), request.after)
        self.waiting.append(run)
        return run

    def drop(self, run: Run) -> None:
        """Remove a run whose connection has closed or that has finished."""
        self._set_stage(run, Stage.ENDED)

    def _set_stage(self, run: Run, stage: Stage) -> None:
        """Change a run's stage. All changes pass through here, so that the memory accounting stays consistent."""
        old = run.stage
        run.stage = stage
        if old is Stage.WAITING:
            self.waiting.remove(run)
        elif old in (Stage.PREFILL, Stage.DECODE) and stage in (Stage.WAITING, Stage.ENDED):
            self.running.remove(run)
            self.kv_cache.release(run.keys, run.generated_cached)
            run.generated_cached = 0.0
        if stage is Stage.WAITING:
            self.waiting.append(run)
        elif stage is Stage.PREFILL:
            self.running.append(run)

    # Orders --------------------------------------------------------------------------------------

    def take_order(self, body: dict[str, Any]) -> int:
        """Accept an order and return its status: 202 in progress, 200 already in effect, else 400, 409 or 412."""
        owner = body.get("owner")
        fence = body.get("fence")
        model = body.get("model")
        gen = body.get("gen")
        if body.get("op") != "gen" or not owner or type(fence) is not int or type(gen) is not int:
            return 400
        method = body.get("method", "wait")
        if model not in self.versions or method not in METHODS or gen > self.newest_version(model):
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

    def _affected_runs(self, order: Order) -> list[Run]:
        return [run for run in (*self.running, *self.waiting) if run.request.model == order.model]

    def _advance_order(self, dt_s: float, outcomes: list[Event | End]) -> None:
        order = self.order
        if order is None:
            return
        for run in self._affected_runs(order):
            if not run.begun:
                self._end(run, EndReason.REFUSED, outcomes)
            elif order.method == "trim":
                self._end(run, EndReason.RESET, outcomes)
            elif order.method == "retain" and run.stage is not Stage.WAITING:
                self._set_stage(run, Stage.WAITING)  # continues under the new version; its cached tokens are dropped
        if order.method == "wait" and self._affected_runs(order):
            return
        order.left_s -= dt_s / self.slow
        if order.left_s <= 0:
            self.kv_cache.evict_model(order.model)
            self.versions[order.model] = order.gen
            self.order = None

    def _end(self, run: Run, reason: EndReason, outcomes: list[Event | End]) -> None:
        self._set_stage(run, Stage.ENDED)
        outcomes.append(End(run, reason))

    # Time ----------------------------------------------------------------------------------------

    def tick(self, dt_s: float) -> list[Event | End]:
        """Advance by `dt_s` and return the resulting events and early ends."""
        outcomes: list[Event | End] = []
        self._advance_order(dt_s, outcomes)
        self._admit()
        self._prefill(dt_s)
        self._decode(dt_s, outcomes)
        return outcomes

    def _admit(self) -> None:
        for run in sorted(self.waiting, key=lambda r: r.urgency):
            if len(self.running) >= self.spec.cap:
                return
            # An order with the method `wait` waits until the runs that have begun have ended. So these are admitted
            # again during the order after a preemption; only the method `retain` holds runs back.
            if self.order and self.order.model == run.request.model and self.order.method == "retain":
                continue
            prefill = self.kv_cache.uncached_tokens(run.keys) + run.generated
            if not self.kv_cache.pin(run.keys, run.generated):
                return
            run.prefill_left = prefill
            run.generated_cached = run.generated
            self._set_stage(run, Stage.PREFILL)

    def _prefill(self, dt_s: float) -> None:
        budget = dt_s * 1000 * self.spec.read_per_ms / self.slow
        for run in [r for r in self.running if r.stage is Stage.PREFILL]:
            read = min(budget, run.prefill_left)
            run.prefill_left -= read
            budget -= read
            if run.prefill_left <= 0:
                self.kv_cache.mark_ready(run.keys)
                self._set_stage(run, Stage.DECODE)

    def _decode(self, dt_s: float, outcomes: list[Event | End]) -> None:
        """Generate tokens for `dt_s` in each run that has been prefilled, the most urgent first.

        A token takes `token_ms` plus `busy_ms` per running run, multiplied by `slow`. If a run's new tokens don't fit
        into the KV cache, the least urgent of the running runs is preempted, until they fit or it is this run itself.
        """
        token_ms = (self.spec.token_ms + self.spec.busy_ms * len(self.running)) * self.slow
        for run in sorted(self.running, key=lambda r: r.urgency):
            if run.stage is not Stage.DECODE:
                continue
            more = min(dt_s * 1000 / token_ms, run.request.tokens_out - run.generated)
            while run.stage is Stage.DECODE and not self.kv_cache.reserve(more):
                self._set_stage(max(self.running, key=lambda r: r.urgency), Stage.WAITING)
            if run.stage is Stage.DECODE:
                run.generated += more
                run.generated_cached += more
                self._emit(run, outcomes)

    def _emit(self, run: Run, outcomes: list[Event | End]) -> None:
        done = run.generated >= run.request.tokens_out - 1e-6
        due = run.total if done else int(run.generated / self.spec.stride + 1e-9)
        version = self.versions[run.request.model]
        while run.events < due:
            run.events += 1
            changed = run.begun and run.reported_version != version
            run.begun = True
            run.reported_version = version
            outcomes.append(Event(run, run.events, version, changed, run.events == run.total))
        if done:
            self._set_stage(run, Stage.ENDED)

    def report(self) -> dict[str, Any]:
        """Return the body of the answer to `/report`."""
        return {
            "stage": "both",
            "models": [{"name": name, "gen": gen, "loras": []} for name, gen in self.versions.items()],
            "busy": self.order is not None,
            "calls": self.calls,
            "queued": len(self.waiting),
            "running": len(self.running),
            "kvUsed": int(self.kv_cache.pinned),
            "kvTotal": self.kv_cache.total,
            "refs": 0,
        }
