"""What all stand-ins of a play share: time, chance, the books, where the system is."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from otterreach.cli.caller import Caller, ask
from otterreach.loadtest.ground_truth import GroundTruth
from otterreach.loadtest.plan import Plan
from otterreach.runtime.codes import Failure

READY_S = 1.0  # between two questions
MISSES = 2  # then a front gets no new connections


@dataclass(slots=True)
class Front:
    """A machine that takes clients' connections."""

    name: str
    zone: str
    address: str
    readyz: str
    missed: int = MISSES


class Entry:
    """The platform's address: gives a new connection to a front of the client's zone."""

    def __init__(self, fronts: list[Front]) -> None:
        self.fronts = fronts

    async def watch(self) -> None:
        """Probe the fronts; for ever."""
        while True:
            await asyncio.gather(*(self._probe(front) for front in self.fronts), asyncio.sleep(READY_S))

    async def _probe(self, front: Front) -> None:
        answer = await ask(front.readyz, "GET", "/readyz")
        ready = not isinstance(answer, Failure) and answer.status == 200
        front.missed = 0 if ready else front.missed + 1

    @property
    def ready(self) -> int:
        """How many fronts answer."""
        return sum(front.missed < MISSES for front in self.fronts)

    def pick(self, zone: str, key: str) -> str:
        """By a hash of the client, among those that are in: of its zone if half of them are, else of all."""
        near = [f for f in self.fronts if f.zone == zone]
        good = [f for f in near if f.missed < MISSES]
        group = good if good and 2 * len(good) >= len(near) else [f for f in self.fronts if f.missed < MISSES]
        group = group or self.fronts
        return group[zlib.crc32(key.encode()) % len(group)].address


@dataclass(slots=True)
class Scene:
    """One play."""

    plan: Plan
    bounds: dict[str, Any]
    entry: Entry
    ctl: Caller
    now: Callable[[], float]
    random: Random
    ground_truth: GroundTruth = field(default_factory=GroundTruth)
    versions: dict[str, int] = field(default_factory=dict)  # the newest that a trainer has named, by model
    counts: Counter[str] = field(default_factory=Counter)
    stopping: bool = False
    print_line: Callable[[str], None] = lambda _: None

    def ident(self, prefix: str = "") -> str:
        """A new id, 16 hex digits."""
        return f"{prefix}{self.random.getrandbits(64):016x}"

    def named(self, model: str) -> int:
        """The newest version of a model that a trainer has named."""
        return self.versions.get(model, 1)

    def seconds(self, key: str) -> float:
        """A bound that is told in ms."""
        return float(self.bounds[key]) / 1000
