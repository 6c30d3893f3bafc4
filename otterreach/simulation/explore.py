"""Exhaustive search over the orders of events of a small model, within bounds.

Depth first, each prefix run again from the start. A state that was seen with as many deviations left is not gone into
again. With `deviations` None every order of messages, syncs, time-outs and faults within the bounds is tried.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field, replace
from functools import cache
from random import Random
from typing import Any
from unittest import mock

import otterreach.runtime.log
from otterreach.controller import acceptor, journal_records, local_replica, writes
from otterreach.runtime import codec, identity
from otterreach.simulation import small_model
from otterreach.simulation.small_model import Model
from otterreach.simulation.small_parts import Bounds, Event

COLLECT_EVERY = 200  # runs
SCENARIOS: dict[str, Bounds] = {
    "write-elect": Bounds(writes=1, elections=1, deviations=1),
    "write-time-out": Bounds(writes=1, elections=1, time_outs=1, deviations=1),
    "write-crash": Bounds(writes=1, elections=1, crashes=1, deviations=0),
    "two-elections": Bounds(writes=1, elections=2, deviations=0),
    "two-elections-reordered": Bounds(writes=0, elections=2, deviations=1),
    "read-cut": Bounds(writes=1, elections=1, reads=1, cuts=1, deviations=0),
    "wipe-reform": Bounds(writes=1, elections=1, wipes=1, reforms=1, deviations=0),
    "five-cut": Bounds(members=5, survive=1, writes=1, elections=2, cuts=1, deviations=0, depth=90),
    "five-two-copies": Bounds(members=5, survive=2, writes=1, elections=1, crashes=1, deviations=0, depth=90),
}


@dataclass(slots=True)
class Found:
    """What a search came to."""

    states: int = 0
    runs: int = 0
    events: int = 0
    depth: int = 0
    cut: int = 0  # runs that ended at the bound on depth
    seconds: float = 0.0
    complete: bool = False
    rule: str = ""
    failure: str = ""
    trace: list[Event] = field(default_factory=list)

    def summary(self) -> str:
        """The result as key=value pairs."""
        return (
            f"complete={self.complete} states={self.states} depth={self.depth} at_depth_bound={self.cut} "
            f"runs={self.runs} events={self.events} seconds={self.seconds:.1f} broken={int(bool(self.failure))}"
        )


@dataclass(slots=True)
class _Frame:
    """A state on the present path and the choices that are left in it."""

    choices: list[tuple[Event, int]]  # with the deviations left behind it
    next: int = 0


class Search:
    """One exploration."""

    def __init__(self, bounds: Bounds, within_s: float = 1e9, most_states: int = 10**9, seed: int = 0) -> None:
        """`seed`: tries what clients and faults do in another order; 0: as they are listed."""
        self.bounds = bounds
        self.most_states = most_states
        self.random = Random(seed) if seed else None
        self.found = Found()
        self._seen: dict[Any, int] = {}
        self._began = time.monotonic()
        self._end = self._began + within_s

    def run(self) -> Found:
        """Until all is seen, an invariant is broken, or a limit is reached."""
        found = self.found
        frames: list[_Frame] = []
        with quiet():
            while True:
                self._extend(frames)
                found.runs += 1
                if found.runs % COLLECT_EVERY == 0:
                    gc.collect()
                if found.failure or time.monotonic() > self._end or found.states >= self.most_states:
                    break
                while frames and frames[-1].next >= len(frames[-1].choices):
                    frames.pop()
                if not frames:
                    found.complete = True
                    break
        found.seconds = time.monotonic() - self._began
        return found

    def _extend(self, frames: list[_Frame]) -> None:
        """Run the present prefix with the next choice of its last state, then on to the end of that path."""
        model = Model(self.bounds)
        left = self._all_deviations()
        trace: list[Event] = []
        try:
            for frame in frames[:-1]:
                event, left = frame.choices[frame.next - 1]
                self._step(model, event, trace)
            if frames:
                event, left = self._take(frames[-1])
                self._step(model, event, trace)
            while model.failure is None and self._new(model, left):
                choices = self._choices(model, left)
                if not choices or len(trace) >= self.bounds.depth:
                    self.found.cut += bool(choices)
                    break
                frames.append(_Frame(choices))
                event, left = self._take(frames[-1])
                self._step(model, event, trace)
        finally:
            model.end()
        self.found.depth = max(self.found.depth, len(trace))
        if model.failure is not None:
            self.found.rule = model.failure.rule
            self.found.failure = str(model.failure)
            self.found.trace = trace

    def _all_deviations(self) -> int:
        return 10**9 if self.bounds.deviations is None else self.bounds.deviations

    @staticmethod
    def _take(frame: _Frame) -> tuple[Event, int]:
        frame.next += 1
        return frame.choices[frame.next - 1]

    def _step(self, model: Model, event: Event, trace: list[Event]) -> None:
        model.step(event)
        trace.append(event)
        self.found.events += 1

    def _new(self, model: Model, left: int) -> bool:
        """Whether more can be reached from here than was before."""
        key = model.key(ordered=self.bounds.deviations is not None)
        best = self._seen.get(key)
        if best is None:
            self.found.states += 1
        elif best >= left:
            return False
        self._seen[key] = left
        return True

    def _choices(self, model: Model, left: int) -> list[tuple[Event, int]]:
        """Messages and syncs out of their order, and timers while there are any, cost a deviation.

        What clients and faults do has bounds of its own.
        """
        network = model.network()
        timers = model.timers()
        waiting = [*enumerate(network), *((min(1, len(network)), timer) for timer in timers)]
        if self.bounds.deviations is None:
            waiting = [(0, event) for _, event in waiting]
        choices = [(event, left - cost) for cost, event in waiting if cost <= left]
        others = [(event, left) for event in model.others()]
        if self.random is not None:
            self.random.shuffle(others)
        return choices + others


_codes: dict[str, bytes] = {}


def _encode(value: Any) -> bytes:
    """The codec's bytes, worked out once for each value: a search writes the same records thousands of times."""
    key = repr(value)
    known = _codes.get(key)
    if known is None:
        known = _codes[key] = codec.encode(value)
    return known


@cache
def _decode_as(kind: type, data: bytes) -> Any:
    return codec.decode_as(kind, data)


class _Silent:
    def log(self, level: str, template: str, line: str) -> None:
        """Nothing is written: a search runs the same lines thousands of times."""


@contextmanager
def quiet() -> Iterator[None]:
    """No log, ids in order, no collection of garbage in the middle of a run.

    Members promise at any time: how long one that hears a primary refuses another is a matter of speed, not of safety.
    """
    ids = iter(range(10**9))
    logger: Any = _Silent()
    enabled = gc.isenabled()
    gc.disable()
    try:
        with (
            ExitStack() as stack,
            mock.patch.object(identity, "draw_disk_id", lambda: f"new{next(ids)}"),
            mock.patch.object(otterreach.runtime.log, "_logger", logger),
            mock.patch.object(acceptor, "PRIMARY_CONTACT_VALID_S", 0.0),
        ):
            for module in (acceptor, writes, local_replica, small_model):
                stack.enter_context(mock.patch.object(module, "encode", _encode))
            stack.enter_context(mock.patch.object(journal_records, "decode_as", _decode_as))
            yield
    finally:
        if enabled:
            gc.enable()
        gc.collect()


def explore(name: str, within_s: float = 1e9, most_states: int = 10**9, seed: int = 0, **changes: Any) -> Found:
    """Search one of the scenarios, perhaps with other bounds."""
    return Search(replace(SCENARIOS[name], **changes), within_s, most_states, seed).run()
