"""One soak: processes, callers and disruptions; then everything that was acknowledged is asked for, and judged."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from random import Random

from otterreach.simulation.coordination_check import Bounds, find_violations
from otterreach.simulation.coordination_liveness import CalmSpan
from otterreach.soak.callers import SoakPopulation, population_setup, wait_until_served
from otterreach.soak.disruptions import Disruptor, lose_power
from otterreach.soak.fleet import Fleet
from otterreach.soak.host import HostMonitor
from otterreach.soak.network import reserved_network
from otterreach.soak.operator import ConfigurationOperator
from otterreach.soak.result import SoakResult
from otterreach.soak.setup import FREE_S, HISTORY_S, SOAK_BOUNDS, SoakSetup

RECOVER_S = float(SOAK_BOUNDS["recoverS"])
CONTACT_S = float(SOAK_BOUNDS["contactMs"]) / 1000
CALM_LOOK_S = 0.1
FORMATION_S = 8.0  # before the first disruption all controllers have to be members
LAST_CALLS_S = 15.0  # a caller ends its last call within this time


class Soak:
    """Puts the parts together."""

    def __init__(self, setup: SoakSetup, folder: Path, net: str, quiet: bool = False) -> None:
        """:param net: the first two parts of the addresses"""
        self.setup = setup
        self.quiet = quiet
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.fleet = Fleet(setup, folder, net)
        random = Random(setup.seed)
        self.random = Random(random.getrandbits(64))
        self.operator = ConfigurationOperator(self.fleet.plan, self.fleet.addresses, Random(random.getrandbits(64)))
        self.disruptor = Disruptor(self.fleet, self.operator, Random(random.getrandbits(64)), self.print_line)
        self.population = SoakPopulation(
            population_setup(random, setup.callers_scale),
            Random(random.getrandbits(64)),
            self.fleet.addresses,
            HISTORY_S,
            lambda: self.stopping,
        )
        self.stopping = False
        self.host = HostMonitor(folder / "host")
        self.calm: list[CalmSpan] = []
        self.result = SoakResult(setup, processes=len(self.fleet.system.machines))
        self._tasks: set[asyncio.Task[None]] = set()

    def print_line(self, line: str) -> None:
        """Print a line of the soak, if it is not quiet."""
        if not self.quiet:
            print(f"{self.loop.time() - self.began:6.1f} s  {line}", flush=True)

    async def run(self) -> SoakResult:
        """The whole soak. Whatever happens, every process started here is ended."""
        try:
            await self.fleet.start_all()
            if await self.operator.first():
                await self._disturb()
                await self._end()
            else:
                self.result.violations.append("LOST: the first configuration is never taken")
        finally:
            for task in list(self._tasks):
                task.cancel()
            self.population.close()
            await self.fleet.stop_all()
            self._sum_up()
        return self.result

    def _spawn(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.result.violations.append(f"the soak itself failed: {error!r}")

    async def _disturb(self) -> None:
        self._spawn(self.fleet.supervise())
        self._spawn(self.host.run())
        self._spawn(self._note_calm())
        self.callers = [self._spawn(work) for work in self.population.works()]
        await asyncio.sleep(FORMATION_S)
        await self.disruptor.run(self.setup.seconds)
        if self.setup.final_power_loss:
            lost = self.fleet.disk_losses.allowed
            self.print_line(f"all controllers lose power, {lost} of them their disks")
            await lose_power(self.fleet, self.random, lost)

    async def _note_calm(self) -> None:
        """Keep the spans in which every process runs; for ever."""
        begin: float | None = None
        while True:
            now = self.loop.time()
            if not self.fleet.is_calm:
                begin = None
            elif begin is None:
                begin = now
                self.calm.append(CalmSpan(now, now + CONTACT_S, now))
            else:
                self.calm[-1] = CalmSpan(begin, begin + CONTACT_S, now)
            await asyncio.sleep(CALM_LOOK_S)

    async def _end(self) -> None:
        """Wait until calls are served again, let the callers finish, ask for everything, and judge."""
        healed = self.loop.time()
        served = await wait_until_served(self.population, RECOVER_S)
        self.result.served_after_s = round(self.loop.time() - healed, 2)
        if not served:
            self.result.violations.append(f"LOST: no number for {RECOVER_S:g} s though every process runs")
        self.stopping = True
        _, open_callers = await asyncio.wait(self.callers, timeout=LAST_CALLS_S)
        for caller in open_callers:
            caller.cancel()
        await self.population.audit()
        await self._check_configuration()
        bounds = Bounds(HISTORY_S, FREE_S)
        violations = await asyncio.to_thread(lambda: list(find_violations(self.population.history, self.calm, bounds)))
        self.result.add(violations)

    async def _check_configuration(self) -> None:
        present = await self.operator.read()
        if present is None:
            self.result.violations.append("LOST: the configuration can't be read")
        elif present < self.operator.acknowledged:
            self.result.violations.append(
                f"LOST: configuration {present} is in force, {self.operator.acknowledged} was acknowledged"
            )

    def _sum_up(self) -> None:
        result = self.result
        result.violations += self.fleet.unexpected_ends
        result.disruptions = self.disruptor.done
        result.host_stalls = self.host.stalls
        result.count(self.population.history)
        result.peak_mb = round(sum(machine.used.peak_mb for machine in self.fleet.system.machines), 1)


async def soak(setup: SoakSetup, folder: Path, quiet: bool = False) -> SoakResult:
    """One soak, at addresses of its own."""
    with reserved_network(setup.seed) as net:
        return await Soak(setup, folder, net, quiet).run()
