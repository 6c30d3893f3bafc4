"""The applications of a run, and the locks, numbers and keys that they call."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from otterreach.simulation.coordination_audit import FinalAudit
from otterreach.simulation.coordination_callers import LockCaller, request_numbers
from otterreach.simulation.coordination_client import CoordinationClient, WireFaults
from otterreach.simulation.coordination_history import CoordinationHistory
from otterreach.simulation.coordination_key_callers import Putter, Watcher, read_keys


@dataclass(frozen=True, slots=True)
class PopulationSetup:
    """Number of callers of each kind, and of the resources that they call."""

    lock_callers: int = 4
    locks: int = 2
    number_callers: int = 2
    numbers: int = 2
    putters: int = 3
    readers: int = 2
    watchers: int = 3
    groups: int = 2
    keys_of_group: int = 3
    faults: WireFaults = field(default_factory=WireFaults)

    @classmethod
    def draw(cls, random: Random) -> PopulationSetup:
        """Return a random setup."""
        return cls(
            lock_callers=random.choice([2, 4, 6]),
            locks=random.choice([1, 2, 3]),
            putters=random.choice([1, 3, 5]),
            groups=random.choice([1, 2]),
            keys_of_group=random.choice([1, 3]),
            faults=WireFaults(random.choice([0.0, 0.05, 0.3]), random.choice([0.0, 0.03, 0.1])),
        )


class Population:
    """All callers of one run, which record their calls in one history."""

    def __init__(
        self,
        setup: PopulationSetup,
        random: Random,
        addresses: Callable[[], list[str]],
        history_s: float,
        stopping: Callable[[], bool],
    ) -> None:
        """:param history_s: a watch can resume from a revision for this long after receiving it."""
        self.setup = setup
        self.random = random
        self.addresses = addresses
        self.stopping = stopping
        self.history = CoordinationHistory()
        self.locks = [f"l{n}" for n in range(setup.locks)]
        self.numbers = [f"n{n}" for n in range(setup.numbers)]
        self.groups = [f"g{n}." for n in range(setup.groups)]
        self.keys = [f"{group}k{n}" for group in self.groups for n in range(setup.keys_of_group)]
        self.watchers = [
            Watcher(self.groups[n % setup.groups], self._client(), history_s, stopping) for n in range(setup.watchers)
        ]

    def _client(self) -> CoordinationClient:
        return CoordinationClient(Random(self.random.getrandbits(64)), self.addresses, self.setup.faults, self.history)

    def caller_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Return one coroutine for each caller."""
        setup = self.setup
        lock_callers = [
            LockCaller(f"a{n}.{n}", self.locks, self._client(), self.stopping) for n in range(setup.lock_callers)
        ]
        works = [caller.run() for caller in lock_callers]
        works += [request_numbers(self._client(), self.numbers, self.stopping) for _ in range(setup.number_callers)]
        works += [Putter(self.keys, self._client(), self.stopping).run() for _ in range(setup.putters)]
        works += [read_keys(self._client(), self.keys, self.stopping) for _ in range(setup.readers)]
        works += [watcher.run() for watcher in self.watchers]
        return works

    async def audit(self) -> None:
        """Run the final audit, without lost or delayed messages."""
        client = CoordinationClient(Random(self.random.getrandbits(64)), self.addresses, WireFaults(), self.history)
        for watcher in self.watchers:
            watcher.client = client
        await FinalAudit(client).run(self.locks, self.numbers, self.keys, self.watchers)
