"""Stalled and full disks of job store nodes: other nodes take over, as if the machine were lost."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from otterreach.jobstore.disk_monitor import STALLED_S, DiskMonitor
from otterreach.jobstore.messages import AppendEntries, JobResults, PartitionEpochs, PartitionPing, ProxyPing, ProxyPong
from otterreach.jobstore.node import DISK_FAILURE_EXIT_S
from otterreach.jobstore.placement import partition_of
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc_messages import Done
from tests.jobstore.jobstore_world import Client, Store, World
from tests.virtual import VirtualLoop, run

TAKEOVER_S = 1.1  # the time of a takeover from a dead machine
LONG_S = 5.0
Scenario = Callable[[World, Client], Coroutine[Any, Any, None]]


def run_scenario(scenario: Scenario, stores: int = 3) -> None:
    async def main() -> None:
        world = World(stores)
        client = Client(world)
        await world.serving("a")
        assert await client.submit("a") == Done()
        await scenario(world, client)
        world.check()

    run(main)


async def write(world: World, client: Client, job: str) -> float:
    """Submit to the current primary until it accepts. Return how long it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while await client.submit(job, timeout_s=0.3) != Done():
        assert loop.time() - began < 30.0, "job not accepted within 30 s"
        await asyncio.sleep(0.05)
    return loop.time() - began


class StalledDiskTest(unittest.TestCase):
    def test_a_primary_is_replaced_within_the_time_of_a_dead_one(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            old = world.primary_of("a")
            old.journal.disk.stalled = True
            self.assertLess(await write(world, client, "a33"), TAKEOVER_S)
            self.assertIsNot(old, world.primary_of("a33"))
            old.journal.disk.stalled = False

        run_scenario_on_one_partition("a", "a33", scenario)

    def test_a_backup_is_replaced_within_the_time_of_a_dead_one(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            old = world.backup_of("a")
            old.journal.disk.stalled = True
            self.assertLess(await write(world, client, "a33"), TAKEOVER_S)
            self.assertNotIn(old.node.member, world.partition_records()[old.replica("a").partition].members)
            old.journal.disk.stalled = False

        run_scenario_on_one_partition("a", "a33", scenario)

    def test_pings_are_answered_and_reads_go_on_while_it_stalls(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            old = world.primary_of("a")
            old.journal.disk.stalled = True
            stuck = asyncio.ensure_future(client.submit("a33", old, timeout_s=3.0))
            await asyncio.sleep(STALLED_S / 2)
            replica = old.replica("a")
            self.assertIsInstance(await client.read("a", store=old), JobResults)
            pong = await client.call(old, ProxyPing("client", "client:7000", 0, 0, 0))
            self.assertIsInstance(pong, ProxyPong)
            self.assertIn(replica.partition, [served.partition for served in pong.served])
            epochs = await client.call(old, PartitionPing(old.node.member, [replica.partition], [replica.epoch]))
            self.assertIsInstance(epochs, PartitionEpochs)
            await stuck
            old.journal.disk.stalled = False

        run_scenario_on_one_partition("a", "a33", scenario)

    def test_a_result_in_flight_is_listed_once_and_the_old_primary_does_no_harm_afterwards(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            old = world.primary_of("a")
            self.assertEqual(Done(), await client.finish("a", 0))
            old.journal.disk.stalled = True
            stuck = asyncio.ensure_future(client.finish("a", 1, store=old))
            self.assertIsInstance(await stuck, Failure)
            await wait_for_new_primary(world, old)
            await client.finish("a", 1)
            self.assertEqual(Done(), await client.finish("a", 2))
            before = (await client.read("a")).body
            await asyncio.sleep(LONG_S)
            old.journal.disk.stalled = False
            await asyncio.sleep(2.0)
            world.plan()
            await asyncio.sleep(2.0)
            self.assertEqual(before, (await client.read("a")).body)
            self.assertIsInstance(await client.read("a", store=old), Failure)

        run_scenario(scenario)

    def test_a_slow_disk_is_not_reported_as_stalled(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            old = world.primary_of("a")
            old.journal.sync_s = 0.3
            writes = []
            for n in range(8):
                writes.append(asyncio.ensure_future(client.submit(f"slow{n}", old, timeout_s=3.0)))
                await asyncio.sleep(0.1)
            await asyncio.gather(*writes)
            self.assertEqual({}, world.stalled)

        run_scenario(scenario)

    def test_a_process_that_was_frozen_does_not_report_its_disk(self) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)

        class Waiting:
            failed: Failure | None = None

            async def sync(self) -> bool:
                await asyncio.sleep(0.1)
                return True

        async def scenario() -> None:
            monitor = DiskMonitor(Waiting(), loop.time)
            node: Any = None
            sync = asyncio.ensure_future(monitor.sync())
            await asyncio.sleep(0.05)
            monitor._check(node)
            loop.freeze(3.0)
            monitor._check(node)  # would report to the node, which is None, if the disk counted as stalled
            self.assertTrue(monitor.usable)
            self.assertTrue(await sync)

        loop.run_until_complete(scenario())


class FullDiskTest(unittest.TestCase):
    def test_a_primary_with_a_full_disk_serves_nothing_and_another_takes_over(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            old = world.primary_of("a")
            old.journal.disk.full = True
            reply = await client.submit("a33", old)
            self.assertIsInstance(reply, Failure)
            refused = await client.read("a", store=old)
            self.assertIsInstance(refused, Failure)
            self.assertIsNot(Code.UNKNOWN_JOB, refused.code)
            self.assertLess(await write(world, client, "a33"), TAKEOVER_S)
            self.assertIsInstance(await client.read("a"), JobResults)
            await asyncio.sleep(1.0)
            self.assertFalse(old.store_node.replication.leaders)

        run_scenario_on_one_partition("a", "a33", scenario)

    def test_a_backup_with_a_full_disk_is_replaced(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            world.backup_of("a").journal.disk.full = True
            self.assertLess(await write(world, client, "a33"), TAKEOVER_S)
            self.assertEqual(Done(), await client.finish("a", 0))

        run_scenario_on_one_partition("a", "a33", scenario)

    def test_the_process_ends_only_after_its_replicas_are_moved(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            old = world.primary_of("a")
            old.journal.disk.full = True
            await client.submit("a33", old)
            await old.node.stopping.wait()
            for record in world.partition_records().values():
                self.assertNotIn(old.node.member, (*record.members, *record.learners))

        run_scenario_on_one_partition("a", "a33", scenario)

    def test_without_other_nodes_the_process_ends_after_a_while(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            old = world.primary_of("a")
            old.journal.disk.full = True
            await client.submit("a33", old)
            await asyncio.sleep(DISK_FAILURE_EXIT_S - 1.0)
            self.assertFalse(old.node.stopping.is_set())
            await asyncio.sleep(2.0)
            self.assertTrue(old.node.stopping.is_set())

        run_scenario(scenario, 2)

    def test_a_node_that_starts_on_a_full_disk_takes_no_part(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            backup = world.backup_of("a")
            backup.stop()
            backup.disk.full = True
            backup.start()
            await asyncio.sleep(0.5)
            self.assertTrue(backup.node.stopping.is_set())
            replica = backup.replica("a")
            request = AppendEntries(
                replica.partition, replica.epoch, backup.node.member, 5, replica.index, replica.chain, []
            )
            self.assertIs(Code.DISK_FAILED, getattr(await client.call(backup, request), "code", None))

        run_scenario(scenario)


async def wait_for_new_primary(world: World, old: Store) -> None:
    """Wait until another store than the old primary serves the batch job `a`."""
    while await world.serving("a") is old:
        await asyncio.sleep(0.05)


def run_scenario_on_one_partition(one: str, other: str, scenario: Scenario) -> None:
    """Run a scenario with two batch jobs of the same partition."""
    assert partition_of(one) == partition_of(other), "the two jobs are in different partitions"
    run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
