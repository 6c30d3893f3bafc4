"""The controllers under faults: operators, trainers and servers call them, and what they promise is held against them.

Checked: the operators' calls are a linearizable history; one primary for each number; every acknowledged change is
there when a primary comes into office; within one life no process' copy goes back; orders to a server have one holder
at a time, with fences that rise; in calm times changes are acknowledged, and reach all, in time.
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
CHECK_S = 1.0  # between looks at the history, and at what another loss would leave
CLOSE_S = 5.0  # for a caller to come to its end


@dataclass(frozen=True, slots=True)
class Setup:
    """Who is there."""

    controllers: int = 5
    proxies: int = 3
    operators: int = 2
    servers: int = 3
    survive_nodes: int = 1
    survive_zones: int = 0
    members: bool = True  # controllers come and go
    lost_share: float = 0.0  # of the answers to callers

    @classmethod
    def draw(cls, random: Random) -> Setup:
        """A setup drawn from the seed."""
        controllers = random.choice([3, 5, 5, 7])
        return cls(
            controllers=controllers,
            survive_nodes=random.choice([1, 1, 2]) if controllers > 3 else 1,
            survive_zones=random.choice([0, 1]),
            operators=random.choice([2, 2, 2, 8]),
            lost_share=random.choice([0.0, 0.0, 0.05, 0.3]),
        )


# Cheap: three controllers, a short run, and the end's promises in place of those of calm times.
BRIEF = Setup(controllers=3, proxies=0, servers=0, members=False)


class Scenario:
    """One run."""

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
        """Start the world, carry the plan out, and check what is left at the end."""
        world = self.world
        for box in world.boxes.values():
            world.plainly(self.random.uniform(0.0, 0.3), box.start)
        self.invariants.watch()
        tasks = self._start_callers()
        await self._until(lambda: self.history.newest > 0, START_S, "first configuration")
        self.injector = faults.FaultInjector(world, self.plan)
        self.injector.leader = self.invariants.leader
        self.injector.watch_messages()
        start = world.now
        for begin, end in self.plan.calm:
            await asyncio.sleep(max(0.0, start + begin + CONTACT_S - world.now))
            await self._calm_ack(start + end)
        await asyncio.sleep(max(0.0, start + self.plan.end - world.now))
        self.stopping = True
        for task in tasks:
            await asyncio.wait([task], timeout=CLOSE_S)
            if task.done():
                task.result()
        await self._final()

    def _start_callers(self) -> list[asyncio.Task[None]]:
        """Each caller is a process on a machine without faults."""
        works: list[Any] = [self._operate(n) for n in range(self.setup.operators)]
        works += [watch_reads(self._caller(), self.history, n, self._over) for n in range(self.setup.controllers)]
        works += [train(self._caller(), self.history, self._over), self._check_history()]
        people = [Process(f"caller-{n}", f"10.9.0.{n + 1}") for n in range(len(works))]
        for n in range(self.setup.servers):
            people.append(Process(f"server-{n}", f"10.8.0.{n + 1}"))
            address = people[-1].address
            works.append(
                ServerAddress(f"s-{n}", address, self._caller(), self.history, self._new_server, self._over).run()
            )
        return [person.start(self.world.loop, work) for person, work in zip(people, works, strict=True)]

    def _over(self) -> bool:
        return self.stopping

    def _addresses(self) -> list[str]:
        return [f"{box.ip}:{CTL}" for box in self.world.of_role("core")]

    def _caller(self) -> Caller:
        return Caller(Random(self.random.getrandbits(64)), self._addresses, self.setup.lost_share)

    async def _operate(self, number: int) -> None:
        await Operator(f"op{number}", self._caller(), self.history, self._over).run()

    def _new_server(self, ident: str) -> ModelServer:
        gen = max(1, self.history.models.get("m", 1))  # a new server has the newest
        return ModelServer(self.world, self.random, ident, gen, self._excused)

    def _excused(self, owner: str) -> bool:
        """Orders right after their sender was thawed, or a link healed, don't count."""
        injector = self.injector
        last = max(injector.thawed.get(owner, -1e9), injector.healed) if injector else -1e9
        return self.world.now - last < THAW_S

    async def _check_history(self) -> None:
        while not self.stopping:
            await asyncio.sleep(CHECK_S)
            self.history.check()
            if self.injector is not None and self.injector.calm_for() > SYNC_S:
                self.invariants.check_redundancy()

    # Promises with a time in them ------------------------------------------------------------------

    async def _until(self, holds: Any, within_s: float, what: str) -> None:
        end = self.world.now + within_s
        while not holds():
            if self.world.now > end:
                self.world.expect(False, "in time", f"{what}: not within {within_s:.1f} s")
                return
            await asyncio.sleep(0.05)

    async def _calm_ack(self, end: float) -> None:
        """In touch: a change is acknowledged within ackMs, and reaches every process within applyMs."""
        acked = self.history.newest
        await self._until(lambda: self.history.newest > acked, ACK_S, "an acknowledgement in calm times")
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

    async def _final(self) -> None:
        caller = Caller(self.random, self._addresses)
        for address in self._addresses():
            if await read(caller, self.history, address):
                break
        else:
            self.world.expect(False, "in time", "no configuration read at the end")
        self.history.check()
        self.invariants.check_end()


def run_brief(seed: int, plan: faults.Plan | None = None) -> tuple[World, faults.Plan]:
    """Play a short run of few machines: for many seeds in little time."""
    random = Random(seed ^ 0xB41EF)
    names = [f"core-{n}" for n in range(BRIEF.controllers)]
    setup = replace(BRIEF, lost_share=random.choice([0.0, 0.05, 0.3]))
    return run(seed, plan or faults.draw_brief(random, names), setup)


def run(seed: int, plan: faults.Plan | None = None, setup: Setup | None = None) -> tuple[World, faults.Plan]:
    """Play one seed, with its own plan of faults and setup or others."""
    drawn = setup or Setup.draw(Random(seed ^ 0x5E7))
    world = World(seed, drawn.survive_nodes, SLAS, drawn.survive_zones)
    scenario = Scenario(world, drawn)
    if plan is not None:
        scenario.plan = plan
    world.run(scenario.play)
    return world, scenario.plan
