"""The simulation itself: virtual time, network and disks.

Runs are reproducible, a few seeds violate no invariant, and planted faults are found.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any
from unittest import mock

from otterreach.controller.replication import ControlReplication
from otterreach.controller.snapshot import SnapshotReceiver
from otterreach.jobstore.leadership import PartitionLeader
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.node import MemberShutdown
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done, FailureReply
from otterreach.runtime.socket_options import USER_TIMEOUT_MS
from otterreach.simulation import control, faults, jobs, registration
from otterreach.simulation.disk import Disk, VirtualJournal
from otterreach.simulation.loop import Process, StalledError, VirtualLoop
from otterreach.simulation.net import Network

REQUEST = MemberShutdown("node", "disk")


class Pair:
    """Two processes with endpoints; `far` answers Done and records the times of the requests."""

    def __init__(self, seed: int = 1) -> None:
        self.loop = VirtualLoop()
        self.net = Network(self.loop, Random(seed))
        self.near, self.far = Process("near", "10.0.0.1"), Process("far", "10.0.0.2")
        self.received_at: list[float] = []
        self.closed: list[float] = []
        self.end: Endpoint

    async def serve(self) -> None:
        endpoint = self.server = Endpoint()
        endpoint.on(MemberShutdown, self._take)
        await endpoint.listen("10.0.0.2", 5)

    async def _take(self, link: Link, request: MemberShutdown) -> Done:
        self.received_at.append(self.loop.time())
        return Done()

    def play(self, work: Callable[[Pair], Coroutine[Any, Any, None]]) -> None:
        async def both() -> None:
            await self.far.start(self.loop, self.serve())
            self.end = Endpoint()
            await self.near.start(self.loop, work(self))

        self.loop.run(both())

    async def call(self, timeout_s: float = 1.0) -> Any:
        return await self.end.call("10.0.0.2:5", REQUEST, timeout_s)


class LoopTest(unittest.TestCase):
    def test_time_jumps(self) -> None:
        loop = VirtualLoop(50.0)

        async def work() -> float:
            await asyncio.gather(asyncio.sleep(3600.0), asyncio.sleep(7200.0))
            return loop.time()

        self.assertEqual(7250.0, loop.run(work()))

    def test_loop_without_work_raises(self) -> None:
        loop = VirtualLoop()

        async def work() -> None:
            await loop.create_future()

        with self.assertRaises(StalledError):
            loop.run(work())

    def test_frozen_process_runs_deferred_timers_after_thaw(self) -> None:
        loop = VirtualLoop(0.0)
        process, seen = Process("p", "10.0.0.1"), list[float]()

        async def inside() -> None:
            for _ in range(4):
                await asyncio.sleep(1.0)
                seen.append(loop.time())

        async def outside() -> None:
            task = process.start(loop, inside())
            await asyncio.sleep(1.5)
            process.freeze()
            await asyncio.sleep(4.0)
            process.thaw(loop)
            await task

        loop.run(outside())
        self.assertEqual([1.0, 5.5, 6.5, 7.5], seen)

    def test_dead_process_runs_no_more_code(self) -> None:
        loop = VirtualLoop(0.0)
        process, seen = Process("p", "10.0.0.1"), list[str]()

        async def inside() -> None:
            try:
                await asyncio.sleep(1.0)
            finally:
                seen.append("ran on")

        async def outside() -> None:
            process.start(loop, inside())
            await asyncio.sleep(0.5)
            process.kill()
            await asyncio.sleep(5.0)
            self.assertEqual([], seen)

        loop.run(outside())


class NetworkTest(unittest.TestCase):
    def test_call_and_answer(self) -> None:
        async def work(pair: Pair) -> None:
            self.assertEqual(Done(), await pair.call())

        Pair().play(work)

    def test_missing_listener_is_unreachable(self) -> None:
        async def work(pair: Pair) -> None:
            pair.net.machine("10.0.0.3")
            reply = await pair.end.call("10.0.0.3:5", REQUEST, 1.0)
            assert isinstance(reply, Failure)
            self.assertEqual(Code.UNREACHABLE, reply.code)

        Pair().play(work)

    def test_machine_without_power_does_not_answer(self) -> None:
        async def work(pair: Pair) -> None:
            await pair.call()
            pair.net.power_off("10.0.0.2")
            pair.far.kill()
            began = pair.loop.time()
            reply = await pair.call(1.0)
            self.assertEqual(Code.TIMED_OUT, reply.code)
            self.assertAlmostEqual(1.0, pair.loop.time() - began, 3)

        Pair().play(work)

    def test_killed_process_resets(self) -> None:
        async def work(pair: Pair) -> None:
            await pair.call()
            link = pair.end.open_link("10.0.0.2:5")
            assert link is not None
            pair.far.kill()
            pair.net.process_ended(pair.far)
            await asyncio.sleep(0.1)
            self.assertTrue(link.closed)

        Pair().play(work)

    def test_frozen_process_keeps_its_connections(self) -> None:
        async def work(pair: Pair) -> None:
            await pair.call()
            pair.net.freeze(pair.far, late=False)
            reply = await pair.call(3.0)
            self.assertEqual(Code.TIMED_OUT, reply.code)
            self.assertEqual(1, len(pair.received_at))
            pair.net.thaw(pair.far)
            await asyncio.sleep(0.01)
            self.assertEqual(2, len(pair.received_at))

        Pair().play(work)

    def test_partition_delays_bytes(self) -> None:
        async def work(pair: Pair) -> None:
            await pair.call()
            pair.net.cut(["10.0.0.1"], ["10.0.0.2"])
            call = asyncio.ensure_future(pair.call(3.0))
            await asyncio.sleep(1.0)
            self.assertEqual(1, len(pair.received_at))
            pair.net.heal()
            self.assertEqual(Done(), await call)

        Pair().play(work)

    def test_long_partition_closes_the_connection(self) -> None:
        async def work(pair: Pair) -> None:
            await pair.call()
            pair.net.cut(["10.0.0.1"], ["10.0.0.2"])
            began = pair.loop.time()
            reply = await pair.call(9.0)
            self.assertEqual(Code.CLOSED, reply.code)
            self.assertAlmostEqual(USER_TIMEOUT_MS / 1000, pair.loop.time() - began, 2)

        Pair().play(work)

    def test_partition_of_one_direction(self) -> None:
        """The request arrives, the reply does not."""

        async def work(pair: Pair) -> None:
            await pair.call()
            pair.net.cut(["10.0.0.2"], ["10.0.0.1"], both_ways=False)
            reply = await pair.call(1.0)
            self.assertIsInstance(reply, Failure)
            self.assertEqual(2, len(pair.received_at))

        Pair().play(work)

    def test_late_freeze_holds_back_written_bytes(self) -> None:
        """With `late`, bytes written at the moment of the freeze are only sent after the thaw."""

        async def work(pair: Pair) -> None:
            await pair.call()
            call = pair.end.spawn(pair.call(9.0))
            await asyncio.sleep(0)
            pair.net.freeze(pair.near, late=True)
            pair.net.later(4.0, pair.net.thaw, pair.near)
            await call
            self.assertEqual(2, len(pair.received_at))
            self.assertGreater(pair.received_at[1] - pair.received_at[0], 4.0)

        Pair().play(work)

    def test_order_is_kept(self) -> None:
        async def work(pair: Pair) -> None:
            received: list[int] = []

            async def take(link: Link, ask: FailureReply) -> None:
                received.append(ask.code)

            pair.server.on(FailureReply, take)
            link = await pair.end.link("10.0.0.2:5")
            assert isinstance(link, Link)
            for number in range(200):
                link.send(FailureReply(number, ""))
            await asyncio.sleep(1.0)
            self.assertEqual(list(range(200)), received)

        Pair().play(work)

    def test_thawed_process_takes_connections_in_any_order(self) -> None:
        """Data is handled in order on each connection, in any order between connections."""
        orders = set()
        for seed in range(12):
            pair, received = Pair(seed), list[int]()

            async def work(pair: Pair = pair, received: list[int] = received) -> None:
                async def take(link: Link, ask: FailureReply) -> None:
                    received.append(ask.code)

                pair.server.on(FailureReply, take)
                links = [await Endpoint().link("10.0.0.2:5") for _ in range(2)]
                pair.net.freeze(pair.far, late=False)
                for number in range(4):
                    link = links[number % 2]
                    assert isinstance(link, Link)
                    link.send(FailureReply(number, ""))
                    await asyncio.sleep(0.1)
                pair.net.thaw(pair.far)
                await asyncio.sleep(0.5)

            pair.play(lambda _, work=work: work())  # type: ignore[misc]
            self.assertLess(received.index(0), received.index(2))
            self.assertLess(received.index(1), received.index(3))
            orders.add(tuple(received))
        self.assertGreater(len(orders), 2)


class DiskTest(unittest.TestCase):
    def test_synced_records_survive_power_loss(self) -> None:
        for seed in range(40):
            disk = Disk(Random(seed))

            async def work(disk: Disk = disk) -> None:
                journal = VirtualJournal(disk)
                journal.append(1, b"first")
                self.assertTrue(await journal.sync())
                journal.append(2, b"second" * 9)
                syncing = asyncio.ensure_future(journal.sync())
                await asyncio.sleep(0.0001)
                self.assertFalse(syncing.done())

            VirtualLoop().run(work())
            disk.power_lost()
            records = VirtualJournal(disk).read()
            self.assertIn(records, [[(1, b"first")], [(1, b"first"), (2, b"second" * 9)]])

    def test_broken_disk(self) -> None:
        async def work() -> None:
            disk = Disk(Random(1))
            journal = VirtualJournal(disk)
            disk.broken = True
            journal.append(1, b"x")
            self.assertFalse(await journal.sync())
            self.assertFalse(await journal.rewrite(list))

        VirtualLoop().run(work())

    def test_rewrite(self) -> None:
        async def work() -> None:
            disk = Disk(Random(1))
            journal = VirtualJournal(disk)
            journal.append(1, b"x" * 1000)
            await journal.sync()
            self.assertTrue(await journal.rewrite(lambda: [[(2, b"y")]]))
            journal.append(3, b"z")
            await journal.sync()
            self.assertEqual([(2, b"y"), (3, b"z")], VirtualJournal(disk).read())

        VirtualLoop().run(work())


class RunTest(unittest.TestCase):
    def test_repeats(self) -> None:
        one, two = control.run(3)[0], control.run(3)[0]
        self.assertEqual(list(one.lines), list(two.lines))
        self.assertEqual(one.loop.steps, two.loop.steps)

    def test_disk_losses_stay_within_the_survived_number(self) -> None:
        names = [f"n{n}" for n in range(5)]
        for seed in range(300):
            plan = faults.draw(Random(seed), names, ["o"], 1)
            for wipe in [f for f in plan.faults if f.kind == "wipe"]:
                near = [
                    f
                    for f in plan.faults
                    if f is not wipe
                    and set(f.on) & set(names)
                    and f.at < wipe.at + wipe.for_s + 4
                    and wipe.at < f.at + f.for_s + 4
                ]
                self.assertTrue(all(f.kind == "power" and len(f.on) == 4 for f in near), seed)

    def test_some_seeds_keep_all_promises(self) -> None:
        for run, seeds in ((control.run, (1, 2)), (jobs.run, (1,))):
            for seed in seeds:
                world, _ = run(seed)
                self.assertIsNone(world.failure, f"{run.__module__} {seed}: {world.failure}")

    def test_orders_reach_no_other_server_where_addresses_are_used_anew_at_once(self) -> None:
        with mock.patch.object(registration, "REUSE_S", 0.0):
            world, _ = control.run(317)
        self.assertIsNone(world.failure, str(world.failure))


class PlantedTest(unittest.TestCase):
    """Planted faults have to be found within a few seeds."""

    def found(self, run: Any, seeds: int) -> str:
        for seed in range(1, seeds + 1):
            world, _ = run(seed)
            if world.failure is not None:
                return str(world.failure.rule)
        return ""

    def test_backup_that_takes_no_state(self) -> None:
        async def commit(self: SnapshotReceiver, link: Link, ask: Any) -> Done:
            self.replica.promised = max(self.replica.promised, ask.number)
            return Done()

        with mock.patch.object(SnapshotReceiver, "handle_commit", commit):
            self.assertNotEqual("", self.found(control.run, 8))

    def test_read_without_asking_the_backups(self) -> None:
        """A thawed primary answers with its old configuration, which only the check of the read history detects."""

        async def confirm_leadership(self: ControlReplication) -> bool:
            return self.is_primary

        freeze = faults.Fault(3.0, "freeze", (faults.LEADER,), 4.0)
        plan = faults.Plan((freeze,), ((7.0, 16.0),), 16.0)
        with mock.patch.object(ControlReplication, "confirm_leadership", confirm_leadership):
            self.assertEqual("linearizable", self.found(lambda seed: control.run(seed, plan), 12))

    def test_acknowledged_without_the_backups(self) -> None:
        with mock.patch.object(PartitionLeader, "required", property(lambda leader: [])):
            self.assertNotEqual("", self.found(jobs.run, 8))

    def test_disk_that_syncs_nothing(self) -> None:
        async def write(journal: VirtualJournal, data: bytes) -> None:
            journal.disk.data += data
            journal._synced += len(data)

        with mock.patch.object(VirtualJournal, "_write", write):
            self.assertNotEqual("", self.found(control.run, 12))
