"""One play: the system is started, a plan is played against it, what came of it is checked, and all is stopped."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from otterreach.cli.caller import Caller
from otterreach.loadtest.callers import Callers, Operator
from otterreach.loadtest.machines import FRONT_PORT, READYZ_PORT, Machine, System
from otterreach.loadtest.plan import BOUNDS, Fault, Plan
from otterreach.loadtest.scene import Entry, Front, Scene
from otterreach.loadtest.server import Server
from otterreach.loadtest.servers import make_server
from otterreach.loadtest.trainer import TrainerPart
from otterreach.loadtest.verify import check_job, check_mutating, check_orders, check_runs

SERVERS_NET = 100  # third part of the addresses of servers, and more for each service
START_S = 30.0
POLL_S = 0.1
KEPT_S = 5.0  # after traffic: for reading a batch job again


def draw_net() -> str:
    """The first two parts of the addresses: several plays on one machine rarely meet."""
    return f"127.{16 + os.getpid() % 200}"


@dataclass
class Played:
    """What a play has to show."""

    plan: Plan
    started_s: float = 0.0  # until all was ready
    seconds: float = 0.0  # of traffic
    faults: list[str] = field(default_factory=list)
    callers: list[Callers] = field(default_factory=list)
    trainers: list[TrainerPart] = field(default_factory=list)
    machines: list[Machine] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)


class Play:
    """Puts the parts together."""

    def __init__(self, plan: Plan, folder: Path, seconds: float, quiet: bool = False, net: str = "") -> None:
        self.plan = plan
        self.seconds = seconds
        self.quiet = quiet
        self.loop = asyncio.get_running_loop()
        self.begun = self.loop.time()
        net = net or draw_net()
        bounds = BOUNDS | plan.bounds
        self.system = System(plan, folder, net, bounds)
        fronts = [
            Front(m.name, m.zone, f"{m.ip}:{FRONT_PORT}", f"{m.ip}:{READYZ_PORT}") for m in self.system.of("front")
        ]
        random = Random(plan.seed)
        self.scene = Scene(
            plan,
            bounds,
            Entry(fronts),
            Caller([m.ctl for m in self.system.of("core")], random),
            self.loop.time,
            random,
            print_line=self.print_line,
        )
        self.servers = [
            make_server(self.scene, spec, n, f"{net}.{SERVERS_NET + kind}.{n + 1}", plan.zones[n % len(plan.zones)])
            for kind, spec in enumerate(plan.service)
            for n in range(spec.servers)
        ]
        self.operator = Operator(self.scene)
        self.played = Played(plan, seconds=seconds, machines=self.system.machines)
        self._beside: set[asyncio.Task[None]] = set()

    def print_line(self, line: str) -> None:
        """Print a line of the play, if it is not quiet."""
        if not self.quiet:
            print(f"{self.loop.time() - self.begun:6.1f} s  {line}", flush=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._beside.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._beside.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.played.faults.append(f"the load test itself failed: {error!r}")

    async def run(self) -> Played:
        """The whole play. Whatever happens, everything started here is stopped."""
        try:
            if await self._open():
                await self._traffic()
                await self._check()
        finally:
            await self._close()
        return self.played

    async def _open(self) -> bool:
        names = ", ".join(f"{len(self.system.of(kind))} {kind}" for kind in ("core", "store", "front"))
        self.print_line(f"starting {len(self.system.machines)} machines ({names}) and {len(self.servers)} servers")
        await self.system.start_all()
        settings = self.system.machines[0].file
        self.print_line(f"to inspect it meanwhile: python3 -m otterreach.cli owners --settings {settings}")
        for server in self.servers:
            await server.start()
        self._spawn(self.scene.entry.watch())
        if not await self.operator.put(START_S):
            self.played.faults.append("the first configuration is never taken")
            return False
        self.print_line(f"configuration {self.operator.sent['gen']} taken")
        end = self.loop.time() + START_S
        while self.scene.entry.ready < len(self.scene.entry.fronts):
            if self.loop.time() > end:
                self.played.faults.append("not every front gets ready")
                return False
            await asyncio.sleep(POLL_S)
        self.played.started_s = self.loop.time() - self.begun
        self.print_line("all fronts are ready: traffic begins")
        return True

    async def _traffic(self) -> None:
        start = self.loop.time()
        self.played.callers = [Callers(self.scene, row, start, self.played.faults) for row in self.plan.clients]
        self.played.trainers = [TrainerPart(self.scene, row, start) for row in self.plan.trainer]
        parts = [self._spawn(part.run()) for part in self.played.callers]
        parts += [self._spawn(part.run()) for part in self.played.trainers]
        troubles = [self._spawn(self._fault(fault)) for fault in self.plan.fault if fault.at < self.seconds]
        await asyncio.sleep(self.seconds)
        self.scene.stopping = True
        self.print_line("traffic ends: what is open is brought to its end")
        if parts or troubles:
            await asyncio.wait([*parts, *troubles])

    # Faults --------------------------------------------------------------------------------------

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        self.print_line(f"trouble: {fault.kind} {fault.target}")
        machine = self.system.named(fault.target)
        server = next((s for s in self.servers if s.name == fault.target), None)
        if machine:
            await self._machine_fault(machine, fault)
        elif server:
            await self._server_fault(server, fault)
        else:
            self.print_line(f"nobody is called {fault.target}")

    async def _machine_fault(self, machine: Machine, fault: Fault) -> None:
        if fault.kind == "freeze":
            await machine.freeze(fault.for_s)
            return
        if fault.kind == "restart":
            await machine.stop(float(self.scene.bounds["graceS"]))
        else:
            await machine.kill()
            if fault.kind == "wipe":
                machine.wipe()
            await asyncio.sleep(fault.for_s)
        await self.system.start(machine)

    async def _server_fault(self, server: Server, fault: Fault) -> None:
        if fault.kind == "crash":
            await server.crash(fault.for_s)
        elif fault.kind == "dark":
            await server.go_dark(fault.for_s)
        elif fault.kind == "slow":
            await server.slow_down(fault.x, fault.for_s)
        elif fault.kind == "drain":
            await server.leave()
            await server.start()

    # The end -------------------------------------------------------------------------------------

    async def _check(self) -> None:
        faults = self.played.faults
        scene = self.scene
        if fault := await self.operator.read_back():
            faults.append(fault)
        jobs = [job for part in self.played.trainers for job in part.jobs]
        for trainer in self.played.trainers:
            await asyncio.gather(*(trainer.read_all(job, KEPT_S) for job in trainer.jobs if job.accepted_at))
        for job in jobs:
            faults += check_job(job, self.plan, scene.ground_truth)
        engines = {s.name for s in self.plan.service if s.kind == "engine"}
        faults += check_runs(jobs, engines, scene.ground_truth, scene.seconds("cancelMs"))
        for part in self.played.callers:
            faults += check_mutating(part.sent, scene.ground_truth)
        faults += [*scene.ground_truth.after_leave, *check_orders(scene.ground_truth, scene.seconds("leaseMs"))]
        faults += [f"{m.name} ended by itself" for m in self.system.machines if m.ends]
        ground_truth = scene.ground_truth
        self.played.counts = {
            **scene.counts,
            "runs at servers": len(ground_truth.ran),
            "turned away": ground_truth.refused_count,
            "orders taken": sum(order.status == 202 for order in ground_truth.orders),
            "batch jobs": len(jobs),
        }
        self.print_line(
            f"checked {len(jobs)} batch jobs, {sum(len(job.rows) for job in jobs)} results: "
            f"{len(faults) or 'no'} faults"
        )

    async def _close(self) -> None:
        for task in list(self._beside):
            task.cancel()
        for server in self.servers:
            if server.state != "down":
                server.stop()
        began = time.monotonic()
        await self.system.stop_all()
        left = [m.name for m in self.system.machines if m.running]
        still = f"; still there: {left}" if left else ""
        self.print_line(f"stopped everything in {time.monotonic() - began:.1f} s{still}")
