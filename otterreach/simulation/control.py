"""The controllers under faults, with operators, trainers and servers as clients.

Checked guarantees: the operators' calls form a linearizable history; each proposal number has one primary; a new
primary has every acknowledged change; within one incarnation, the replica of a process never goes back; orders to a
server come from one holder at a time, with increasing fencing tokens; without faults, changes are acknowledged and
replicated to all processes within their time limits.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from otterreach.runtime.configuration import ConfigurationRecord
from otterreach.simulation import faults
from otterreach.simulation.history import History
from otterreach.simulation.invariants import ControlInvariants
from otterreach.simulation.loop import Process
from otterreach.simulation.model_server import ModelServer
from otterreach.simulation.operators import Caller, Operator, read, watch_reads
from otterreach.simulation.registration import ServerAddress, train
from otterreach.simulation.roles import controller as controller
from otterreach.simulation.roles import proxy
from otterreach.simulation.world import CTL, World

SLAS = {"contactMs": 3000, "ackMs": 4000, "syncS": 4.5, "drainMs": 2000, "applyMs": 2000, "leaseMs": 3000}
CONTACT_S = 3.0
ACK_S = 4.0
APPLY_S = 2.0
THAW_S = 0.3
START_S = 8.0
SYNC_S = 4.5
CHECK_INTERVAL_S = 1.0  # interval of the checks of the history and of redundancy
CALLER_STOP_S = 5.0  # for a caller to finish after the end of the run


@dataclass(frozen=True, slots=True)
class Setup:
    """The number of machines and callers in a run, and the tolerated losses."""

    controllers: int = 5
    proxies: int = 3
    operators: int = 2
    servers: int = 3
    survive_nodes: int = 1
    survive_zones: int = 0
    members: bool = True  # whether controllers are added, replaced and removed
    lost_share: float = 0.0  # share of the answers to callers that are lost

    @classmethod
    def draw(cls, random: Random) -> Setup:
        """Draw a setup."""
        controllers = random.choice([3, 5, 5, 7])
        return cls(
            controllers=controllers,
            survive_nodes=random.choice([1, 1, 2]) if controllers > 3 else 1,
            survive_zones=random.choice([0, 1]),
            operators=random.choice([2, 2, 2, 8]),
            lost_share=random.choice([0.0, 0.0, 0.05, 0.3]),
        )


# Three controllers and a short run, whose guarantees are checked at the end instead of during fault-free spans.
BRIEF = Setup(controllers=3, proxies=0, servers=0, members=False)


class Scenario:
    """One run of the controllers under a plan of faults."""

    def __init__(self, world: World, setup: Setup) -> None:
        self.world = world
        self.setup = setup
        self.random = Random(world.seed ^ 0xC0)
        self.stopping = False
        for n in range(setup.controllers):
            world.add(f"core-{n}", "core", n % 3, controller)
        for n in range(setup.proxies):
            world.add(f"front-{n}", "front", n % 3, proxy)
        cores = world.of_role("core")
        world.seeds = [box.ip for box in cores[:3]]
        names = [box.name for box in cores]
        others = [box.name for box in world.of_role("front")]
        self.plan = faults.draw(
            Random(world.seed ^ 0xFA), names, others, world.survive, True, setup.members, setup.survive_zones > 0
        )
        self.injector: faults.FaultInjector | None = None
        self.history = History(world.expect)
        self.invariants = ControlInvariants(world, self.history)

    # The run -------------------------------------------------------------------------------------

    async def play(self) -> None:
        """Start all machines, inject the planned faults, and check the final state."""
        world = self.world
        for box in world.boxes.values():
            world.call_later(self.random.uniform(0.0, 0.3), box.start)
        self.invariants.watch()
        tasks = self._start_callers()
        await self._wait_until(lambda: self.history.newest > 0, START_S, "first configuration")
        self.injector = faults.FaultInjector(world, self.plan)
        self.injector.leader = self.invariants.leader
        self.injector.watch_messages()
        start = world.now
        for begin, end in self.plan.calm:
            await asyncio.sleep(max(0.0, start + begin + CONTACT_S - world.now))
            await self._check_progress(start + end)
        await asyncio.sleep(max(0.0, start + self.plan.end - world.now))
        self.stopping = True
        for task in tasks:
            await asyncio.wait([task], timeout=CALLER_STOP_S)
            if task.done():
                task.result()
        await self._check_final_state()

    def _start_callers(self) -> list[asyncio.Task[None]]:
        """Start the callers, each as a process on a machine without faults."""
        coroutines: list[Any] = [self._operate(n) for n in range(self.setup.operators)]
        coroutines += [
            watch_reads(self._caller(), self.history, n, self._is_stopping) for n in range(self.setup.controllers)
        ]
        coroutines += [train(self._caller(), self.history, self._is_stopping), self._check_history()]
        callers = [Process(f"caller-{n}", f"10.9.0.{n + 1}") for n in range(len(coroutines))]
        for n in range(self.setup.servers):
            callers.append(Process(f"server-{n}", f"10.8.0.{n + 1}"))
            address = callers[-1].address
            coroutines.append(
                ServerAddress(
                    f"s-{n}", address, self._caller(), self.history, self._new_server, self._is_stopping
                ).run()
            )
        return [caller.start(self.world.loop, work) for caller, work in zip(callers, coroutines, strict=True)]

    def _is_stopping(self) -> bool:
        return self.stopping

    def _addresses(self) -> list[str]:
        return [f"{box.ip}:{CTL}" for box in self.world.of_role("core")]

    def _caller(self) -> Caller:
        return Caller(Random(self.random.getrandbits(64)), self._addresses, self.setup.lost_share)

    async def _operate(self, number: int) -> None:
        await Operator(f"op{number}", self._caller(), self.history, self._is_stopping).run()

    def _new_server(self, ident: str) -> ModelServer:
        gen = max(1, self.history.models.get("m", 1))  # a new server starts with the newest version
        return ModelServer(self.world, self.random, ident, gen, self._is_excused)

    def _is_excused(self, owner: str) -> bool:
        """Return True if orders of `owner` are exempt: it was just thawed, or a partition has just healed."""
        injector = self.injector
        last = max(injector.thawed.get(owner, -1e9), injector.healed) if injector else -1e9
        return self.world.now - last < THAW_S

    async def _check_history(self) -> None:
        while not self.stopping:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.history.check()
            if self.injector is not None and self.injector.calm_for() > SYNC_S:
                self.invariants.check_redundancy()

    # Guarantees with a time limit ------------------------------------------------------------------

    async def _wait_until(self, holds: Any, within_s: float, what: str) -> None:
        end = self.world.now + within_s
        while not holds():
            if self.world.now > end:
                self.world.expect(False, "in time", f"{what}: not within {within_s:.1f} s")
                return
            await asyncio.sleep(0.05)

    async def _check_progress(self, end: float) -> None:
        """Check that a change is acknowledged within ackMs and reaches every process within applyMs."""
        acknowledged = self.history.newest
        await self._wait_until(lambda: self.history.newest > acknowledged, ACK_S, "an acknowledgement without faults")
        newest = self.history.newest
        await asyncio.sleep(APPLY_S)
        if self.world.now > end:
            return
        for box in self.world.boxes.values():
            record = box.node.store.record(ConfigurationRecord) if box.node else None
            version = record.version if record else 0
            self.world.expect(
                version >= newest, "brought to all", f"{box.name} has {version}, acknowledged is {newest}"
            )

    async def _check_final_state(self) -> None:
        caller = Caller(self.random, self._addresses)
        for address in self._addresses():
            if await read(caller, self.history, address):
                break
        else:
            self.world.expect(False, "in time", "no configuration read at the end")
        self.history.check()
        self.invariants.check_end()


def run_brief(seed: int, plan: faults.Plan | None = None) -> tuple[World, faults.Plan]:
    """Play a short run of few machines, which allows many seeds in little time."""
    random = Random(seed ^ 0xB41EF)
    names = [f"core-{n}" for n in range(BRIEF.controllers)]
    setup = replace(BRIEF, lost_share=random.choice([0.0, 0.05, 0.3]))
    return run(seed, plan or faults.draw_brief(random, names), setup)


def run(seed: int, plan: faults.Plan | None = None, setup: Setup | None = None) -> tuple[World, faults.Plan]:
    """Play one seed, with the plan of faults and the setup drawn from it or with given ones."""
    drawn = setup or Setup.draw(Random(seed ^ 0x5E7))
    world = World(seed, drawn.survive_nodes, SLAS, drawn.survive_zones)
    scenario = Scenario(world, drawn)
    if plan is not None:
        scenario.plan = plan
    world.run(scenario.play)
    return world, scenario.plan
