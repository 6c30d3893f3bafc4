"""Simulation of locks, numbers, keys and watches under faults.

Applications call the controllers, and checkers verify the history of the answers. The controllers, their faults and the
checks of their own state are those of `control`. Some runs end with a final fault: all controllers lose power at once,
and as many of their disks as the system has to survive are wiped.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

from otterreach.simulation import control
from otterreach.simulation.coordination_check import Bounds, find_violations
from otterreach.simulation.coordination_liveness import FaultFreeSpan
from otterreach.simulation.coordination_population import Population, PopulationSetup
from otterreach.simulation.faults import Fault, Plan
from otterreach.simulation.loop import Process
from otterreach.simulation.world import World

HISTORY_S = 20.0
FREE_S = 1.5
CONTACT_S = 4.0  # from the end of the last fault until the core counts as stable
SLAS = control.SLAS | {"contactMs": CONTACT_S * 1000.0, "historyS": HISTORY_S, "freeMs": FREE_S * 1000.0}
BOUNDS = Bounds(HISTORY_S, FREE_S)
CHECK_S = 4.0  # interval between checks of the whole history
CALM_CHECK_S = 0.1  # interval between checks for active faults
FINAL_FAULT_SHARE = 0.3  # share of runs with a final fault
FINAL_FAULT_S = 1.0  # duration of the final fault
RECOVER_S = 10.0  # time from the end of the final fault to the end of the plan


class CoordinationScenario(control.Scenario):
    """One run of the coordination simulation."""

    def __init__(self, world: World, setup: control.Setup, population: PopulationSetup) -> None:
        super().__init__(world, setup)
        self.population_setup = population
        self.population: Population
        self.fault_free: list[FaultFreeSpan] = []
        if self.random.random() < FINAL_FAULT_SHARE:
            self.plan = self._with_final_fault(self.plan)

    def _with_final_fault(self, plan: Plan) -> Plan:
        names = [box.name for box in self.world.of_role("core")]
        lost = tuple(self.random.sample(names, self.world.survive))
        rest = tuple(name for name in names if name not in lost)
        at = plan.end
        final = (Fault(at, "wipe", lost, FINAL_FAULT_S), Fault(at, "power", rest, FINAL_FAULT_S))
        return replace(plan, faults=plan.faults + final, end=at + FINAL_FAULT_S + RECOVER_S)

    def _start_callers(self) -> list[asyncio.Task[None]]:
        tasks = super()._start_callers()
        self.population = Population(
            self.population_setup, Random(self.world.seed ^ 0xC00), self._addresses, HISTORY_S, self._is_stopping
        )
        works = [*self.population.caller_coroutines(), self._record_fault_free_spans(), self._check_coordination()]
        processes = [Process(f"application-{n}", f"10.7.0.{n + 1}") for n in range(len(works))]
        return tasks + [process.start(self.world.loop, work) for process, work in zip(processes, works, strict=True)]

    async def _record_fault_free_spans(self) -> None:
        while not self.stopping:
            await asyncio.sleep(CALM_CHECK_S)
            self._record_fault_free_span()

    def _record_fault_free_span(self) -> None:
        """Extend the current fault-free span, or begin a new one after a fault."""
        if self.injector is None or self.injector.active:
            return
        begin = max(self.injector.last_change, self.injector.start)
        span = FaultFreeSpan(begin, begin + CONTACT_S, self.world.now)
        if self.fault_free and self.fault_free[-1].begin == begin:
            self.fault_free[-1] = span
        else:
            self.fault_free.append(span)

    async def _check_coordination(self) -> None:
        while not self.stopping:
            await asyncio.sleep(CHECK_S)
            self._report_first_violation()

    def _report_first_violation(self) -> None:
        """End the run with the first violation, if there is any."""
        for violation in find_violations(self.population.history, self.fault_free, BOUNDS):
            self.world.expect(False, violation.rule.value, violation.description)
            return

    async def _check_final_state(self) -> None:
        await self.population.audit()
        self._record_fault_free_span()
        self._report_first_violation()
        await super()._check_final_state()


def run(seed: int, plan: Plan | None = None, setup: control.Setup | None = None) -> tuple[World, Plan]:
    """Run one seed; `plan` and `setup` replace the ones that are drawn from it."""
    random = Random(seed ^ 0xC0DE)
    drawn = setup or replace(control.Setup.draw(random), operators=1, proxies=0, servers=0)
    world = World(seed, drawn.survive_nodes, SLAS, drawn.survive_zones)
    scenario = CoordinationScenario(world, drawn, PopulationSetup.draw(random))
    if plan is not None:
        scenario.plan = plan
    world.run(scenario.play)
    return world, scenario.plan
