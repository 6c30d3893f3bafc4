"""A run of the load test: start the system, apply the plan, verify the results, stop everything."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from otterreach.cli.caller import Caller
from otterreach.loadtest.background_tasks import BackgroundTasks
from otterreach.loadtest.callers import Callers, Operator
from otterreach.loadtest.machines import FRONT_PORT, READYZ_PORT, Machine, System
from otterreach.loadtest.plan import BOUNDS, Fault, Plan
from otterreach.loadtest.play_context import Entry, Front, PlayContext
from otterreach.loadtest.server import Server
from otterreach.loadtest.servers import make_server
from otterreach.loadtest.trainer import TrainerRunner
from otterreach.loadtest.verify import check_job, check_mutating, check_orders, check_runs

SERVERS_NET = 100  # third octet of the addresses of the first service's servers, plus one for each further service
START_S = 30.0
POLL_S = 0.1
REREAD_S = 5.0  # after traffic: time allowed for reading a batch job again from the start


def loopback_prefix() -> str:
    """Return the first two octets of the addresses, by process id: concurrent plays on one machine rarely collide."""
    return f"127.{16 + os.getpid() % 200}"


@dataclass
class PlayResult:
    """Outcome of a play."""

    plan: Plan
    started_s: float = 0.0  # time until all fronts were ready
    seconds: float = 0.0  # duration of traffic
    faults: list[str] = field(default_factory=list)
    callers: list[Callers] = field(default_factory=list)
    trainers: list[TrainerRunner] = field(default_factory=list)
    machines: list[Machine] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)


class Play:
    """A run of a plan: the system, its simulated environment and the verification."""

    def __init__(self, plan: Plan, folder: Path, seconds: float, quiet: bool = False, net: str = "") -> None:
        self.plan = plan
        self.seconds = seconds
        self.quiet = quiet
        self.loop = asyncio.get_running_loop()
        self.begun = self.loop.time()
        net = net or loopback_prefix()
        bounds = BOUNDS | plan.bounds
        self.system = System(plan, folder, net, bounds)
        fronts = [
            Front(m.name, m.zone, f"{m.ip}:{FRONT_PORT}", f"{m.ip}:{READYZ_PORT}")
            for m in self.system.machines_of_kind("front")
        ]
        random = Random(plan.seed)
        self.context = PlayContext(
            plan,
            bounds,
            Entry(fronts),
            Caller([m.ctl for m in self.system.machines_of_kind("core")], random),
            self.loop.time,
            random,
            print_line=self.print_line,
        )
        self.servers = [
            make_server(self.context, spec, n, f"{net}.{SERVERS_NET + kind}.{n + 1}", plan.zones[n % len(plan.zones)])
            for kind, spec in enumerate(plan.service)
            for n in range(spec.servers)
        ]
        self.operator = Operator(self.context)
        self.played = PlayResult(plan, seconds=seconds, machines=self.system.machines)
        self._tasks = BackgroundTasks(lambda error: self.played.faults.append(f"load test task failed: {error!r}"))

    def print_line(self, line: str) -> None:
        """Print a progress line with the elapsed time, unless quiet."""
        if not self.quiet:
            print(f"{self.loop.time() - self.begun:6.1f} s  {line}", flush=True)

    async def run(self) -> PlayResult:
        """Run the play. All processes and servers started here are stopped, also after an error."""
        try:
            if await self._start():
                await self._traffic()
                await self._check()
        finally:
            await self._stop()
        return self.played

    async def _start(self) -> bool:
        names = ", ".join(f"{len(self.system.machines_of_kind(kind))} {kind}" for kind in ("core", "store", "front"))
        self.print_line(f"starting {len(self.system.machines)} machines ({names}) and {len(self.servers)} servers")
        await self.system.start_all()
        settings = self.system.machines[0].file
        self.print_line(f"inspect the running system with: python3 -m otterreach.cli owners --settings {settings}")
        for server in self.servers:
            await server.start()
        self._tasks.start(self.context.entry.watch())
        if not await self.operator.put(START_S):
            self.played.faults.append("first configuration not accepted in time")
            return False
        self.print_line(f"configuration {self.operator.sent['gen']} accepted")
        end = self.loop.time() + START_S
        while self.context.entry.ready < len(self.context.entry.fronts):
            if self.loop.time() > end:
                self.played.faults.append("not all fronts became ready in time")
                return False
            await asyncio.sleep(POLL_S)
        self.played.started_s = self.loop.time() - self.begun
        self.print_line("all fronts are ready; starting traffic")
        return True

    async def _traffic(self) -> None:
        start = self.loop.time()
        self.played.callers = [Callers(self.context, row, start, self.played.faults) for row in self.plan.clients]
        self.played.trainers = [TrainerRunner(self.context, row, start) for row in self.plan.trainer]
        parts = [self._tasks.start(part.run()) for part in self.played.callers]
        parts += [self._tasks.start(part.run()) for part in self.played.trainers]
        injections = [self._tasks.start(self._fault(fault)) for fault in self.plan.fault if fault.at < self.seconds]
        await asyncio.sleep(self.seconds)
        self.context.stopping = True
        self.print_line("traffic ended; waiting for open requests and batch jobs")
        if parts or injections:
            await asyncio.wait([*parts, *injections])

    # Faults --------------------------------------------------------------------------------------

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        self.print_line(f"injecting fault: {fault.kind} {fault.target}")
        machine = self.system.named(fault.target)
        server = next((s for s in self.servers if s.name == fault.target), None)
        if machine:
            await self._machine_fault(machine, fault)
        elif server:
            await self._server_fault(server, fault)
        else:
            self.print_line(f"fault target not found: {fault.target}")

    async def _machine_fault(self, machine: Machine, fault: Fault) -> None:
        if fault.kind == "freeze":
            await machine.freeze(fault.for_s)
            return
        if fault.kind == "restart":
            await machine.stop(float(self.context.bounds["graceS"]))
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
        elif fault.kind == "repeat":
            await server.repeat_answers(fault.x, fault.for_s)
        elif fault.kind == "drain":
            await server.shut_down_gracefully()
            await server.start()

    # Verification and shutdown -----------------------------------------------------------------------

    async def _check(self) -> None:
        faults = self.played.faults
        context = self.context
        if fault := await self.operator.read_back():
            faults.append(fault)
        jobs = [job for part in self.played.trainers for job in part.jobs]
        for trainer in self.played.trainers:
            await asyncio.gather(*(trainer.read_all(job, REREAD_S) for job in trainer.jobs if job.accepted_at))
        for job in jobs:
            faults += check_job(job, self.plan, context.ground_truth)
        engines = {s.name for s in self.plan.service if s.kind == "engine"}
        faults += check_runs(jobs, engines, context.ground_truth, context.seconds("cancelMs"))
        for part in self.played.callers:
            faults += check_mutating(part.sent, context.ground_truth)
        faults += [*context.ground_truth.after_drain, *check_orders(context.ground_truth, context.seconds("leaseMs"))]
        faults += [f"{m.name} exited unexpectedly" for m in self.system.machines if m.unexpected_exits]
        ground_truth = context.ground_truth
        self.played.counts = {
            **context.counts,
            "runs at servers": len(ground_truth.ran),
            "turned away": ground_truth.refused_count,
            "orders taken": sum(order.status == 202 for order in ground_truth.orders),
            "batch jobs": len(jobs),
        }
        self.print_line(
            f"checked {len(jobs)} batch jobs, {sum(len(job.rows) for job in jobs)} results: "
            f"{len(faults) or 'no'} faults"
        )

    async def _stop(self) -> None:
        self._tasks.cancel()
        for server in self.servers:
            if server.state != "down":
                server.stop()
        began = time.monotonic()
        await self.system.stop_all()
        running = [m.name for m in self.system.machines if m.running]
        still = f"; still running: {running}" if running else ""
        self.print_line(f"stopped all processes in {time.monotonic() - began:.1f} s{still}")
