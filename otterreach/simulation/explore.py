"""Exhaustive search over the orders of events of a small model, within bounds.

The search is depth first and replays each prefix from the start. A state that was already reached with at least as many
deviations left is not explored again. With `deviations` None, every order of messages, syncs, time-outs and faults
within the bounds is explored.
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
class SearchResult:
    """The result of a search."""

    states: int = 0
    runs: int = 0
    events: int = 0
    depth: int = 0
    cut: int = 0  # runs that ended at the depth bound
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
    """A state on the current path, and its choices."""

    choices: list[tuple[Event, int]]  # event, and the number of deviations left after it
    next: int = 0


class Search:
    """One search of the model within its bounds."""

    def __init__(self, bounds: Bounds, within_s: float = 1e9, most_states: int = 10**9, seed: int = 0) -> None:
        """Prepare a search; `seed` shuffles the events of clients and faults, 0 keeps the listed order."""
        self.bounds = bounds
        self.most_states = most_states
        self.random = Random(seed) if seed else None
        self.found = SearchResult()
        self._seen: dict[Any, int] = {}
        self._started = time.monotonic()
        self._end = self._started + within_s

    def run(self) -> SearchResult:
        """Search until all states are explored, an invariant is violated, or a limit is reached."""
        found = self.found
        frames: list[_Frame] = []
        with quiet():
            while True:
                self._run_path(frames)
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
        found.seconds = time.monotonic() - self._started
        return found

    def _run_path(self, frames: list[_Frame]) -> None:
        """Replay the current prefix with the next choice of its last state, then continue to the end of the path."""
        model = Model(self.bounds)
        left = self._deviation_limit()
        trace: list[Event] = []
        try:
            for frame in frames[:-1]:
                event, left = frame.choices[frame.next - 1]
                self._step(model, event, trace)
            if frames:
                event, left = self._next_choice(frames[-1])
                self._step(model, event, trace)
            while model.failure is None and self._is_worth_extending(model, left):
                choices = self._choices(model, left)
                if not choices or len(trace) >= self.bounds.depth:
                    self.found.cut += bool(choices)
                    break
                frames.append(_Frame(choices))
                event, left = self._next_choice(frames[-1])
                self._step(model, event, trace)
        finally:
            model.end()
        self.found.depth = max(self.found.depth, len(trace))
        if model.failure is not None:
            self.found.rule = model.failure.rule
            self.found.failure = str(model.failure)
            self.found.trace = trace

    def _deviation_limit(self) -> int:
        return 10**9 if self.bounds.deviations is None else self.bounds.deviations

    @staticmethod
    def _next_choice(frame: _Frame) -> tuple[Event, int]:
        frame.next += 1
        return frame.choices[frame.next - 1]

    def _step(self, model: Model, event: Event, trace: list[Event]) -> None:
        model.step(event)
        trace.append(event)
        self.found.events += 1

    def _is_worth_extending(self, model: Model, left: int) -> bool:
        """Return True if the state is new, or was only reached with fewer deviations left."""
        key = model.key(ordered=self.bounds.deviations is not None)
        best = self._seen.get(key)
        if best is None:
            self.found.states += 1
        elif best >= left:
            return False
        self._seen[key] = left
        return True

    def _choices(self, model: Model, left: int) -> list[tuple[Event, int]]:
        """Return the possible events with the deviations left after each.

        A message or sync out of order costs deviations, as does a timer while a message or sync is pending; events of
        clients and faults have bounds of their own.
        """
        network = model.network()
        timers = model.timers()
        pending = [*enumerate(network), *((min(1, len(network)), timer) for timer in timers)]
        if self.bounds.deviations is None:
            pending = [(0, event) for _, event in pending]
        choices = [(event, left - cost) for cost, event in pending if cost <= left]
        others = [(event, left) for event in model.others()]
        if self.random is not None:
            self.random.shuffle(others)
        return choices + others


_encoded: dict[str, bytes] = {}


def _encode(value: Any) -> bytes:
    """Encode a value with a cache, as a search encodes the same records thousands of times."""
    key = repr(value)
    known = _encoded.get(key)
    if known is None:
        known = _encoded[key] = codec.encode(value)
    return known


@cache
def _decode_as(kind: type, data: bytes) -> Any:
    return codec.decode_as(kind, data)


class _NullLogger:
    def log(self, level: str, template: str, line: str) -> None:
        """Drop the line, as a search runs the same code thousands of times."""


@contextmanager
def quiet() -> Iterator[None]:
    """Disable the log and garbage collection during runs, and make ids sequential.

    Members answer prepares at any time: how long a member in contact with a primary rejects other candidates
    affects availability, not safety.
    """
    ids = iter(range(10**9))
    logger: Any = _NullLogger()
    enabled = gc.isenabled()
    gc.disable()
    try:
        with (
            ExitStack() as stack,
            mock.patch.object(identity, "generate_disk_id", lambda: f"new{next(ids)}"),
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


def explore(name: str, within_s: float = 1e9, most_states: int = 10**9, seed: int = 0, **changes: Any) -> SearchResult:
    """Search one of the scenarios; `changes` override its bounds."""
    return Search(replace(SCENARIOS[name], **changes), within_s, most_states, seed).run()
