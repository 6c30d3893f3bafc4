"""Simulated model servers of a soak, and the faults injected into them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from random import Random

from otterreach.cli.caller import Caller
from otterreach.loadtest.background_tasks import BackgroundTasks
from otterreach.loadtest.plan import Plan
from otterreach.loadtest.play_context import Entry, PlayContext
from otterreach.loadtest.server import Server
from otterreach.loadtest.servers import make_server
from otterreach.soak.setup import SOAK_BOUNDS

SERVERS_OCTET = 100  # third octet of the servers' addresses
MEAN_PAUSE_S = 0.7  # between two faults
FAULT_DURATIONS_S = (0.3, 1.0, 4.0)
REPEAT_SHARE = 0.3  # of the answers of a server that repeats them late
SLOW_FACTOR = 8.0
ADDRESS_POLL_S = 0.5  # replaced controllers have other addresses


class ServerFault(Enum):
    """Kind of fault of a server; the value is its relative frequency."""

    REPEAT = 6.0
    CRASH = 2.0
    DARK = 1.0
    SLOW = 2.0
    DRAIN = 0.5


class ModelServers:
    """The servers of all services of a plan, which register with the controllers of the soak."""

    def __init__(
        self,
        plan: Plan,
        network_prefix: str,
        controllers: Callable[[], list[str]],
        random: Random,
        tasks: BackgroundTasks,
    ) -> None:
        """:param controllers: returns the `ctl` addresses of the current controllers"""
        loop = asyncio.get_running_loop()
        self.controllers = controllers
        self.random = random
        self.context = PlayContext(
            plan, SOAK_BOUNDS, Entry([]), Caller(controllers(), random), loop.time, Random(random.getrandbits(64))
        )
        self.servers = [
            make_server(self.context, spec, n, f"{network_prefix}.{SERVERS_OCTET}.{n + 1}", plan.zones[0])
            for spec in plan.service
            for n in range(spec.servers)
        ]
        self.fault_count = 0
        self._restarting: set[Server] = set()
        self._tasks = tasks

    async def run(self) -> None:
        """Start the servers, and inject faults until cancelled."""
        for server in self.servers:
            await server.start()
        self._tasks.start(self._follow_controllers())
        while True:
            await asyncio.sleep(self.random.expovariate(1.0 / MEAN_PAUSE_S))
            fault = self.random.choices(list(ServerFault), [fault.value for fault in ServerFault])[0]
            self._start(fault, self.random.choice(self.servers), self.random.choice(FAULT_DURATIONS_S))

    def stop(self) -> None:
        """Stop all servers."""
        for server in self.servers:
            if server.state != "down":
                server.stop()

    def _start(self, fault: ServerFault, server: Server, seconds: float) -> None:
        if server in self._restarting:
            return
        self.fault_count += 1
        self._tasks.start(self._coroutine(fault, server, seconds))

    def _coroutine(self, fault: ServerFault, server: Server, seconds: float) -> Coroutine[object, object, None]:
        if fault is ServerFault.REPEAT:
            return server.repeat_answers(REPEAT_SHARE, seconds)
        if fault is ServerFault.SLOW:
            return server.slow_down(SLOW_FACTOR, seconds)
        if fault is ServerFault.DARK:
            return server.go_dark(seconds)
        self._restarting.add(server)
        return self._restart(server, seconds, graceful=fault is ServerFault.DRAIN)

    async def _restart(self, server: Server, seconds: float, graceful: bool) -> None:
        try:
            if graceful:
                await server.shut_down_gracefully()
                await server.start()
            else:
                await server.crash(seconds)
        finally:
            self._restarting.discard(server)

    async def _follow_controllers(self) -> None:
        while True:
            self.context.ctl.addresses = self.controllers()
            await asyncio.sleep(ADDRESS_POLL_S)
