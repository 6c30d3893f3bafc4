"""Job store nodes, controllers and their clients under faults: batch jobs are submitted, run, read and ended.

Checked guarantees: an accepted batch job is never answered as unknown; a position keeps its result; no item is listed
twice; the listed results are those of the items that were run; a rejected batch job never runs; no item of an ended
batch job starts later than cancelMs after its end; each epoch of a partition has one primary; without faults, calls are
answered in time.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import partial
from random import Random
from typing import Any

from otterreach.jobstore.__main__ import STOP_TIMEOUT_S
from otterreach.jobstore.job_requests import JobRequests
from otterreach.jobstore.messages import SubmitJob
from otterreach.jobstore.node import JobStoreNode
from otterreach.jobstore.partition_replica import PartitionReplica, ReplicaState
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc_messages import Done
from otterreach.simulation import control, faults
from otterreach.simulation.job_members import Members
from otterreach.simulation.job_proxy import SimulatedProxy
from otterreach.simulation.job_trainers import TRAINERS, Trainers
from otterreach.simulation.loop import Process
from otterreach.simulation.world import SimulatedMachine, World

SLAS = control.SLAS | {"cancelMs": 3000, "settleMs": 1000, "statusS": 600}
CANCEL_S = 3.0
START_S = 10.0
CALM_CALL_S = 4.0  # time limit of a call during fault-free spans


async def store_node(box: SimulatedMachine) -> None:
    """Run a job store node until SIGTERM, then shut it down gracefully."""
    node = box.new_node()
    journal = box.journal()
    records = journal.read()
    box.object = JobStoreNode(node, journal, node.random, records)
    await box.object.start()
    await node.start("store")
    await node.stopping.wait()
    with suppress(TimeoutError):
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await node.announce_shutdown()
            await box.object.stop()


class Scenario:
    """One run of batch jobs under a plan of faults."""

    def __init__(self, world: World, controllers: int = 5, store_nodes: int = 4, proxies: int = 2) -> None:
        self.world = world
        self.random = Random(world.seed ^ 0x10B5)
        for n in range(controllers):
            world.add(f"core-{n}", "core", n % 3, control.controller)
        for n in range(store_nodes):
            world.add(f"store-{n}", "store", n % 3, store_node)
        for n in range(proxies):
            world.add(f"front-{n}", "front", n % 3, self._proxy)
        world.seeds = [box.ip for box in world.of_role("core")[:3]]
        names = [b.name for b in (*world.of_role("core"), *world.of_role("store"))]
        self.plan = faults.draw(
            Random(world.seed ^ 0xFA), names, [b.name for b in world.of_role("front")], world.survive
        )
        self.trainers = Trainers(world, self.random)
        self.batch_jobs = self.trainers.batch_jobs
        self.members = Members(world, Random(world.seed ^ 0x3E3), store_node, self.batch_jobs)
        self.primaries: dict[tuple[int, int], str] = {}
        self.injector: faults.FaultInjector
        world.watch(self._summary, self._check_primaries, always=False)

    def _wrap_methods(self) -> None:
        """Wrap the methods after which a check is due, as evaluating the summary after each step would be expensive."""

        def mark_changes(original: Any) -> Any:
            """Wrap a method that may change a replica."""

            def marked(*args: Any) -> Any:
                """Mark the checks as due."""
                self.world.changed = True
                return original(*args)

            return marked

        for name in ("transition_to", "promise", "finish_replay"):
            self.world.wrap(PartitionReplica, name, mark_changes)
        self.world.wrap(JobRequests, "handle_submit", self._check_acknowledged_copies)
        self.world.wrap(SimulatedMachine, "power_off", self._record_disk_loss)

    def _check_acknowledged_copies(self, original: Any) -> Any:
        """Wrap `handle_submit`: an acknowledged submission has to be on enough disks at that moment."""

        async def handle_submit(requests: JobRequests, link: Any, ask: SubmitJob) -> Any:
            """Answer the request, and check the disks if it is acknowledged."""
            reply = await original(requests, link, ask)
            if isinstance(reply, Done):
                self.members.check_copies(ask.job, "acknowledged with too few copies")
            return reply

        return handle_submit

    def _record_disk_loss(self, original: Any) -> Any:
        def lost(box: SimulatedMachine, wipe: bool = False) -> None:
            """Record the time of the last loss of a disk."""
            if wipe and box.role == "store" and box.name not in self.members.retiring:
                self.members.lost_disk_at = self.world.now
            original(box, wipe)

        return lost

    async def _proxy(self, box: SimulatedMachine) -> None:
        node = box.new_node()
        box.object = SimulatedProxy(self, box, node)
        await node.start("front")
        await box.object.run()

    # Checks after each step -----------------------------------------------------------------------

    def _store_nodes(self) -> list[tuple[SimulatedMachine, JobStoreNode]]:
        return [(b, b.object) for b in self.world.of_role("store") if b.up and isinstance(b.object, JobStoreNode)]

    def _summary(self) -> Any:
        rows: list[tuple[Any, ...]] = []
        for box, node in self._store_nodes():
            rows.extend(
                (box.name, replica.partition, replica.state, replica.epoch, replica.is_complete)
                for replica in node.replication.replicas
            )
        return tuple(rows)

    def _check_primaries(self) -> None:
        for box, node in self._store_nodes():
            for replica in node.replication.replicas:
                if replica.state is ReplicaState.SERVING:
                    name = f"{box.name}#{box.node.disk if box.node else ''}"
                    known = self.primaries.setdefault((replica.partition, replica.epoch), name)
                    what = f"{known} and {name}: partition {replica.partition}, epoch {replica.epoch}"
                    self.world.expect(known == name, "one primary", what)

    def begins(self, box: SimulatedMachine, key: tuple[str, str]) -> None:
        """Check an item that a proxy is about to send to a server."""
        batch_job = self.batch_jobs.get(key[0])
        self.world.expect(batch_job and key[1] in batch_job.items, "runs what was never sent", " ".join(key))
        assert batch_job is not None
        self.world.expect(not batch_job.refused, "runs what was refused", " ".join(key))
        late = batch_job.ended_at and self.world.now > batch_job.ended_at + CANCEL_S
        self.world.expect(not late, "runs what was ended", f"{' '.join(key)} at {box.name}")

    def item_assigned(self, job: str, item: str, body: bytes) -> None:
        """Check an item that was assigned to a proxy."""
        batch_job = self.batch_jobs.get(job)
        self.world.expect(batch_job and batch_job.items.get(item) == body, "other bytes", f"{job} {item}")

    def result_answered(self, key: tuple[str, str], reply: Any) -> None:
        """Check a result of a proxy that was acknowledged or finally rejected."""
        batch_job = self.batch_jobs[key[0]]
        gone = isinstance(reply, Failure) and reply.code is Code.UNKNOWN_JOB
        in_force = batch_job.accepted_at and not batch_job.end_sent
        self.world.expect(not (gone and in_force), "taken is gone", f"{key[0]} to a proxy")
        bad = isinstance(reply, Failure) and reply.code is Code.BAD_MESSAGE
        self.world.expect(not bad, "good result refused", f"{key}: {reply}")

    # The run -------------------------------------------------------------------------------------

    async def play(self) -> None:
        """Start all machines, inject the planned faults, and read all results at the end."""
        world = self.world
        for box in world.boxes.values():
            world.call_later(self.random.uniform(0.0, 0.3), box.start)
        self._wrap_methods()
        trainers = [Process(f"trainer-{n}", f"10.9.0.{n + 1}") for n in range(TRAINERS + 1)]
        tasks = [process.start(world.loop, self.trainers.train(n, process)) for n, process in enumerate(trainers)]
        await self._wait_until(lambda: self.trainers.accepted_count > 0, START_S, "first batch job")
        self.injector = faults.FaultInjector(world, self.plan)
        changes = Process("operator", "10.9.1.1").start(world.loop, self.members.run())
        start = world.now
        for begin, _ in self.plan.calm:
            await asyncio.sleep(max(0.0, start + begin + control.CONTACT_S + 1.5 - world.now))
            before = self.trainers.accepted_count
            await self._wait_until(
                partial(self._has_accepted_more_than, before), CALM_CALL_S, "a batch job accepted without faults"
            )
        await asyncio.sleep(max(0.0, start + self.plan.end - world.now))
        self.trainers.stopping = True
        self.members.stopping = True
        tasks.append(changes)
        for task in tasks:
            await asyncio.wait([task], timeout=30.0)
        world.expect(
            all(task.done() for task in tasks), "in time", "a trainer or the operator did not finish within 30 s"
        )
        for task in tasks:
            if task.done():
                task.result()

    def _has_accepted_more_than(self, count: int) -> bool:
        return self.trainers.accepted_count > count

    async def _wait_until(self, holds: Any, within_s: float, what: str) -> None:
        end = self.world.now + within_s
        while not holds():
            if self.world.now > end:
                self.world.expect(False, "in time", f"{what}: not within {within_s:.1f} s")
                return
            await asyncio.sleep(0.05)


def run(seed: int, plan: faults.Plan | None = None) -> tuple[World, faults.Plan]:
    """Play one seed, with the plan of faults drawn from it or with a given one."""
    world = World(seed, slas=SLAS)
    scenario = Scenario(world)
    if plan is not None:
        scenario.plan = plan
    world.run(scenario.play)
    return world, scenario.plan
