"""One soak: processes, callers and disruptions, then a read-back of acknowledged data and a check of all rules."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from otterreach.loadtest.background_tasks import BackgroundTasks
from otterreach.simulation.coordination_check import Bounds, find_violations
from otterreach.simulation.coordination_liveness import FaultFreeSpan
from otterreach.soak.callers import SoakPopulation, population_setup, wait_until_served
from otterreach.soak.crowds import Crowds
from otterreach.soak.disruptions import Disruptor, lose_power
from otterreach.soak.fleet import Fleet
from otterreach.soak.host import HostMonitor
from otterreach.soak.network import reserved_network
from otterreach.soak.operator import ConfigurationOperator
from otterreach.soak.result import SoakResult
from otterreach.soak.setup import FREE_S, HISTORY_S, SOAK_BOUNDS, SoakSetup
from otterreach.soak.traffic import Traffic

RECOVER_S = float(SOAK_BOUNDS["recoverS"])
CONTACT_S = float(SOAK_BOUNDS["contactMs"]) / 1000
CALM_POLL_S = 0.1
FORMATION_S = 8.0  # all controllers have to be members before the first disruption
CROWDS_SEED = 0xC404D  # keeps the draws of crowds apart from those of disruptions
LAST_CALLS_TIMEOUT_S = 15.0  # callers that take longer for their last call are cancelled


class Soak:
    """Runs the fleet, callers, disruptions and checks of one soak."""

    def __init__(self, setup: SoakSetup, folder: Path, network_prefix: str, quiet: bool = False) -> None:
        """:param network_prefix: first two octets of the addresses"""
        self.setup = setup
        self.quiet = quiet
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.fleet = Fleet(setup, folder, network_prefix)
        random = Random(setup.seed)
        self.random = Random(random.getrandbits(64))
        self.operator = ConfigurationOperator(self.fleet.plan, self.fleet.addresses, Random(random.getrandbits(64)))
        self.disruptor = Disruptor(self.fleet, self.operator, Random(random.getrandbits(64)), self.print_line)
        self.population = SoakPopulation(
            population_setup(random, setup.load.callers_scale),
            Random(random.getrandbits(64)),
            self.fleet.addresses,
            HISTORY_S,
            lambda: self.stopping,
        )
        self.stopping = False
        self.crowds = Crowds(self.fleet, setup.load.crowd_clients, Random(setup.seed ^ CROWDS_SEED))
        self.traffic = Traffic(self.fleet, setup.load.request_clients, setup.seed, lambda: self.stopping)
        self.host = HostMonitor(folder / "host")
        self.fault_free: list[FaultFreeSpan] = []
        self.result = SoakResult(setup, processes=len(self.fleet.system.machines))
        self._tasks = BackgroundTasks(self._record_failure)

    def print_line(self, line: str) -> None:
        """Print a line with the time since the start, unless the soak is quiet."""
        if not self.quiet:
            print(f"{self.loop.time() - self.began:6.1f} s  {line}", flush=True)

    async def run(self) -> SoakResult:
        """Run the soak and return its result. Every process started here is ended, also after an error."""
        try:
            await self.fleet.start_all()
            if await self.operator.submit_initial():
                await self._disrupt()
                await self._finish()
            else:
                self.result.violations.append("LOST: the initial configuration was not accepted")
        finally:
            self._tasks.cancel()
            self.population.close()
            self.traffic.close()
            await self.fleet.stop_all()
            self._summarize()
        return self.result

    def _record_failure(self, error: BaseException) -> None:
        self.result.violations.append(f"task failed in the soak test itself: {error!r}")

    async def _disrupt(self) -> None:
        self._tasks.start(self.fleet.supervise())
        self._tasks.start(self.host.run())
        self._tasks.start(self._record_fault_free_spans())
        crowds = self._tasks.start(self.crowds.run()) if self.setup.load.crowd_clients else None
        if self.setup.load.request_clients:
            self.traffic.start()
        self.callers = [self._tasks.start(coroutine) for coroutine in self.population.caller_coroutines()]
        await asyncio.sleep(FORMATION_S)
        await self.disruptor.run(self.setup.seconds)
        if crowds is not None:
            crowds.cancel()
        if self.setup.final_power_loss:
            lost = self.fleet.disk_losses.allowed
            self.print_line(f"power loss of all controllers, {lost} of them lose their disks")
            await lose_power(self.fleet, self.random, lost)

    async def _record_fault_free_spans(self) -> None:
        """Record the spans in which every process runs, until cancelled."""
        begin: float | None = None
        while True:
            now = self.loop.time()
            if not self.fleet.is_calm:
                begin = None
            elif begin is None:
                begin = now
                self.fault_free.append(FaultFreeSpan(now, now + CONTACT_S, now))
            else:
                self.fault_free[-1] = FaultFreeSpan(begin, begin + CONTACT_S, now)
            await asyncio.sleep(CALM_POLL_S)

    async def _finish(self) -> None:
        """Wait until calls are served again, let the callers finish, read everything back and check the rules."""
        disruptions_ended = self.loop.time()
        served = await wait_until_served(self.population, RECOVER_S)
        self.result.served_after_s = round(self.loop.time() - disruptions_ended, 2)
        if not served:
            self.result.violations.append(
                f"LOST: no number was served within {RECOVER_S:g} s though every process runs"
            )
        self.stopping = True
        _, open_callers = await asyncio.wait(self.callers, timeout=LAST_CALLS_TIMEOUT_S)
        for caller in open_callers:
            caller.cancel()
        if self.setup.load.request_clients:
            self.result.violations += await self.traffic.finish()
            self.result.answers = dict(self.traffic.log.answers)
            self.result.late_copies = self.traffic.late_copies
            self.result.server_faults = self.traffic.servers.fault_count
        await self.population.audit()
        await self._check_configuration()
        bounds = Bounds(HISTORY_S, FREE_S)
        violations = await asyncio.to_thread(
            lambda: list(find_violations(self.population.history, self.fault_free, bounds))
        )
        self.result.add_violations(violations)

    async def _check_configuration(self) -> None:
        current = await self.operator.read()
        if current is None:
            self.result.violations.append("LOST: the configuration could not be read")
        elif current < self.operator.acknowledged:
            self.result.violations.append(
                f"LOST: configuration {current} is in force though {self.operator.acknowledged} was acknowledged"
            )

    def _memory_violations(self) -> list[str]:
        """Return the machines whose processes held more memory than their settings allow."""
        limit_mb = self.fleet.plan.machines.ram_mb
        return [
            f"MEMORY: {machine.name} held {machine.used.peak_mb:.0f} MB of {limit_mb}"
            for machine in self.fleet.system.machines
            if machine.used.peak_mb > limit_mb
        ]

    def _summarize(self) -> None:
        result = self.result
        result.violations += self.fleet.unexpected_exits
        result.violations += self._memory_violations()
        result.disruptions = self.disruptor.disruptions
        result.host_stalls = self.host.stalls
        result.count_calls(self.population.history)
        result.peak_mb = round(sum(machine.used.peak_mb for machine in self.fleet.system.machines), 1)


async def run_soak(setup: SoakSetup, folder: Path, quiet: bool = False) -> SoakResult:
    """Run one soak on a reserved network."""
    with reserved_network(setup.seed) as network_prefix:
        return await Soak(setup, folder, network_prefix, quiet).run()
