"""State shared by the simulated parties of a play: clock, random numbers, ground truth, addresses."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from otterreach.cli.caller import Caller, send_request
from otterreach.loadtest.ground_truth import GroundTruth
from otterreach.loadtest.plan import Plan
from otterreach.runtime.codes import Failure

PROBE_INTERVAL_S = 1.0  # interval of readiness probes
MAX_MISSED_PROBES = 2  # consecutive failed probes after which a front gets no new connections


@dataclass(slots=True)
class Front:
    """A front machine, which accepts clients' connections."""

    name: str
    zone: str
    address: str
    readyz: str
    missed_probes: int = MAX_MISSED_PROBES


class Entry:
    """The platform's entry address (VIP): assigns new connections to fronts, preferably in the client's zone."""

    def __init__(self, fronts: list[Front]) -> None:
        self.fronts = fronts

    async def watch(self) -> None:
        """Probe the fronts periodically; never returns."""
        while True:
            await asyncio.gather(*(self._probe(front) for front in self.fronts), asyncio.sleep(PROBE_INTERVAL_S))

    async def _probe(self, front: Front) -> None:
        answer = await send_request(front.readyz, "GET", "/readyz")
        ready = not isinstance(answer, Failure) and answer.status == 200
        front.missed_probes = 0 if ready else front.missed_probes + 1

    @property
    def ready(self) -> int:
        """Number of ready fronts."""
        return sum(front.missed_probes < MAX_MISSED_PROBES for front in self.fronts)

    def pick(self, zone: str, key: str) -> str:
        """Pick a ready front by a hash of `key`: in `zone` if at least half of its fronts are ready, else anywhere."""
        near = [f for f in self.fronts if f.zone == zone]
        ready_near = [f for f in near if f.missed_probes < MAX_MISSED_PROBES]
        group = (
            ready_near
            if ready_near and 2 * len(ready_near) >= len(near)
            else [f for f in self.fronts if f.missed_probes < MAX_MISSED_PROBES]
        )
        group = group or self.fronts
        return group[zlib.crc32(key.encode()) % len(group)].address


@dataclass(slots=True)
class PlayContext:
    """Shared state of one play."""

    plan: Plan
    bounds: dict[str, Any]
    entry: Entry
    ctl: Caller
    now: Callable[[], float]
    random: Random
    ground_truth: GroundTruth = field(default_factory=GroundTruth)
    versions: dict[str, int] = field(default_factory=dict)  # newest published version, by model
    counts: Counter[str] = field(default_factory=Counter)
    stopping: bool = False
    print_line: Callable[[str], None] = lambda _: None

    def ident(self, prefix: str = "") -> str:
        """Return a new id: the prefix and 16 hex digits."""
        return f"{prefix}{self.random.getrandbits(64):016x}"

    def newest_version(self, model: str) -> int:
        """Return the newest version of a model that a trainer has published."""
        return self.versions.get(model, 1)

    def seconds(self, key: str) -> float:
        """Return a bound given in ms, in seconds."""
        return float(self.bounds[key]) / 1000
