"""Traffic of a soak through its proxies: clients, model servers, and the rules on their requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from otterreach.loadtest.background_tasks import BackgroundTasks
from otterreach.soak.fleet import Fleet
from otterreach.soak.model_servers import ModelServers
from otterreach.soak.requests import DEADLINES_MS, RequestClient, RequestLog

TRAFFIC_SEED = 0x7AFF1C  # keeps the draws of the traffic apart from those of disruptions
LAST_RUNS_S = max(DEADLINES_MS) / 1000 + 1.0  # no request begins to run later than this after its sending


class Traffic:
    """Clients that send requests to the proxies of a fleet, and the servers that run them."""

    def __init__(self, fleet: Fleet, clients: int, seed: int, is_stopping: Callable[[], bool]) -> None:
        """:param clients: number of clients"""
        random = Random(seed ^ TRAFFIC_SEED)
        self.failures: list[str] = []  # of the soak test itself
        self._tasks = BackgroundTasks(
            lambda error: self.failures.append(f"traffic failed in the soak test itself: {error!r}")
        )
        servers_random = Random(random.getrandbits(64))
        self.servers = ModelServers(fleet.plan, fleet.network_prefix, fleet.addresses, servers_random, self._tasks)
        self.log = RequestLog(self.servers.context.ground_truth)
        self.clients = [
            RequestClient(fleet.front_addresses, fleet.plan.route, self.log, Random(random.getrandbits(64)))
            for _ in range(clients)
        ]
        self._is_stopping = is_stopping
        self._running: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the servers and the clients."""
        self._tasks.start(self.servers.run())
        self._running = [self._tasks.start(client.run(self._is_stopping)) for client in self.clients]

    async def finish(self) -> list[str]:
        """Wait for the last requests of the clients, which are stopping, and return the broken rules."""
        await asyncio.wait(self._running)
        await asyncio.sleep(LAST_RUNS_S)
        self.close()
        return [*self.log.violations(), *self.failures]

    def close(self) -> None:
        """Stop everything."""
        self._tasks.cancel()
        for client in self.clients:
            client.close()
        self.servers.stop()

    @property
    def late_copies(self) -> int:
        """Number of copies of answers that the servers sent in place of the next answers."""
        return self.servers.context.counts["late copies"]
