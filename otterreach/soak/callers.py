"""Clients of a soak: the coordination callers of the simulation, over real connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from otterreach.simulation.coordination_audit import FinalAudit
from otterreach.simulation.coordination_callers import request_number
from otterreach.simulation.coordination_client import CoordinationClient, WireFaults
from otterreach.simulation.coordination_population import Population, PopulationSetup
from otterreach.soak.wire import PersistentConnectionClient, derive_random

SERVED_POLL_S = 0.1
PROBE_NUMBER = "n0"


class SoakPopulation(Population):
    """Callers over persistent connections, without injected loss of answers."""

    def __init__(
        self,
        setup: PopulationSetup,
        random: Random,
        addresses: Callable[[], list[str]],
        history_s: float,
        stopping: Callable[[], bool],
    ) -> None:
        self.clients: list[PersistentConnectionClient] = []
        super().__init__(setup, random, addresses, history_s, stopping)

    def client(self) -> CoordinationClient:
        """Return a new client with connections of its own."""
        return self._client()

    def _client(self) -> CoordinationClient:
        client = PersistentConnectionClient(derive_random(self.random), self.addresses, WireFaults(), self.history)
        self.clients.append(client)
        return client

    async def audit(self) -> None:
        """Read back everything that was acknowledged, for the final check."""
        await FinalAudit(self._client()).run(self.locks, self.numbers, self.keys, self.watchers)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.close()


def population_setup(random: Random, scale: int) -> PopulationSetup:
    """Return a setup whose numbers of callers, locks and key groups grow with `scale`."""
    return PopulationSetup(
        lock_callers=4 * scale,
        locks=random.choice([1, 2, 3]) * scale,
        number_callers=2 * scale,
        numbers=2,
        putters=3 * scale,
        readers=2 * scale,
        watchers=3 * scale,
        groups=random.choice([1, 2]) * scale,
        keys_of_group=random.choice([1, 3]),
    )


async def wait_until_served(population: SoakPopulation, within_s: float) -> bool:
    """Request a number until a request succeeds; return True if one did within `within_s`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + within_s
    client = population.client()
    while loop.time() < end:
        call = await request_number(client, PROBE_NUMBER)
        if call.is_ok:
            return True
        await asyncio.sleep(SERVED_POLL_S)
    return False
