"""Traffic of a soak through its proxies: clients, model servers, and the rules on their requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from otterreach.soak.fleet import Fleet
from otterreach.soak.model_servers import ModelServers
from otterreach.soak.requests import DEADLINES_MS, GIVE_UP_MARGIN_S, RequestClient, RequestLog

TRAFFIC_SEED = 0x7AFF1C  # keeps the draws of the traffic apart from those of disruptions
LAST_RUNS_S = max(DEADLINES_MS) / 1000 + GIVE_UP_MARGIN_S  # no request runs longer than this after its sending
SETTLE_S = 0.5


class Traffic:
    """Clients that send requests to the proxies of a fleet, and the servers that run them."""

    def __init__(self, fleet: Fleet, clients: int, seed: int, is_stopping: Callable[[], bool]) -> None:
        """:param clients: number of clients"""
        random = Random(seed ^ TRAFFIC_SEED)
        plan = fleet.plan
        servers_random = Random(random.getrandbits(64))
        self.servers = ModelServers(plan, fleet.network_prefix, fleet.addresses, servers_random)
        self.log = RequestLog(self.servers.context.ground_truth)
        self.clients = [
            RequestClient(fleet.front_addresses, plan.route, self.log, Random(random.getrandbits(64)))
            for _ in range(clients)
        ]
        self._is_stopping = is_stopping
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the servers and the clients."""
        self._tasks = [asyncio.ensure_future(self.servers.run())]
        self._tasks += [asyncio.ensure_future(client.run(self._is_stopping)) for client in self.clients]

    async def finish(self) -> list[str]:
        """Wait for the last requests of the clients, which are stopping, and return the broken rules."""
        servers, *clients = self._tasks
        if clients:
            await asyncio.wait(clients)
        await asyncio.sleep(LAST_RUNS_S + SETTLE_S)
        servers.cancel()
        self.close()
        failed = [task.exception() for task in clients if not task.cancelled() and task.exception()]
        errors = [f"client failed in the soak test itself: {error!r}" for error in failed]
        return [*self.log.violations(), *self.servers.failures, *errors]

    def close(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        self.servers.stop()

    @property
    def late_copies(self) -> int:
        """Number of copies of answers that the servers sent in place of the next answers."""
        return self.servers.context.counts["late copies"]
