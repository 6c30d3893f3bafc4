"""Installation of replicas: it progresses over slow links and broken connections, and does not delay other work."""

from __future__ import annotations

import asyncio
import base64
import json
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from otterreach.jobstore.installation import CHUNK_BYTES, chunks_of
from otterreach.jobstore.messages import Entry
from otterreach.jobstore.partition_replica import ReplicaState
from otterreach.jobstore.placement import PARTITIONS, partition_of
from otterreach.runtime.rpc_messages import Done
from tests.jobstore.jobstore_world import Client, Store, World
from tests.virtual import run

BIG = "big"
SLOW_LINK = 200_000.0  # bytes per second: the transfer of a chunk takes longer than the time-out of other calls
MBIT_30 = 30e6 / 8
Scenario = Callable[[World, Client], Coroutine[Any, Any, None]]


def big_job(job: str, items: int, size: int) -> bytes:
    body = base64.b64encode(bytes(size)).decode()
    rows = [{"id": f"{job}-{n}", "path": "/p", "group": "g", "body": body} for n in range(items)]
    return json.dumps({"reqs": rows}).encode()


def jobs_of_partition(partition: int, count: int) -> list[str]:
    """Return the names of batch jobs of one partition."""
    return [name for name in (f"job{n}" for n in range(PARTITIONS * count * 8)) if partition_of(name) == partition][
        :count
    ]


def run_scenario(scenario: Scenario, jobs: int = 16, size: int = 40_000) -> None:
    """Run a scenario with `jobs` batch jobs in one partition, each of about ten times `size` bytes as entries."""

    async def main() -> None:
        world = World(3)
        client = Client(world)
        await world.serving(BIG)
        for job in jobs_of_partition(partition_of(BIG), jobs):
            assert await client.submit(job, body=big_job(job, 10, size), timeout_s=10.0) == Done()
        await scenario(world, client)
        world.check()

    run(main)


def store_without_replica(world: World) -> Store:
    """Return the store that has no replica of the partition."""
    members = (world.primary_of(BIG), world.backup_of(BIG))
    return next(store for store in world.stores.values() if store not in members)


def add_learner(world: World, store: Store) -> None:
    record = world.partition_records()[partition_of(BIG)]
    json_record = {**json.loads(record.encode()), "epoch": record.epoch + 1, "joining": [store.node.member]}
    world.put(f"part/{partition_of(BIG)}", json_record)


async def wait_until_member(world: World, store: Store, within_s: float) -> float:
    """Wait until the store is a member. Return how long it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while store.node.member not in world.partition_records()[partition_of(BIG)].members:
        assert loop.time() - began < within_s, "store did not become a member in time"
        await asyncio.sleep(0.05)
    return loop.time() - began


class InstallTest(unittest.TestCase):
    def test_it_completes_over_a_link_on_which_a_chunk_takes_longer_than_a_call(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            learner = store_without_replica(world)
            world.net.bandwidth[learner.address] = SLOW_LINK
            add_learner(world, learner)
            await wait_until_member(world, learner, 120.0)
            self.assertEqual(world.primary_of(BIG).replica(BIG).jobs.digests(), learner.replica(BIG).jobs.digests())

        run_scenario(scenario)

    def test_after_a_broken_connection_it_resumes_where_it_stopped(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            learner = store_without_replica(world)
            world.net.bandwidth[learner.address] = 4 * SLOW_LINK
            add_learner(world, learner)
            before = world.net.sent.get(learner.address, 0)
            for _ in range(5):
                await asyncio.sleep(1.4)
                for link in list(learner.endpoint.links):
                    link.abort()
            await wait_until_member(world, learner, 60.0)
            total = sum(len(entry.body) for entry in learner.replica(BIG).jobs.snapshot(0.0))
            sent = world.net.sent[learner.address] - before
            self.assertLess(sent, total + 7 * 2 * CHUNK_BYTES)

        run_scenario(scenario)

    def test_pings_and_other_writes_continue_during_an_installation(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            learner, primary = store_without_replica(world), world.primary_of(BIG)
            for store in world.stores.values():
                world.net.bandwidth[store.address] = MBIT_30
            others = [
                name
                for name in (f"small{n}" for n in range(400))
                if partition_of(name) != partition_of(BIG)
                and world.primary_of(name) is primary
                and world.backup_of(name) is learner
            ]
            add_learner(world, learner)
            slowest, count, loop = 0.0, 0, asyncio.get_running_loop()
            while learner.node.member not in world.partition_records()[partition_of(BIG)].members:
                began = loop.time()
                name = others[count]
                self.assertEqual(Done(), await client.submit(name, primary))
                slowest, count = max(slowest, loop.time() - began), count + 1
                leaders = primary.store_node.replication.leaders.values()
                self.assertTrue(all(one.is_confirmed for one in leaders if one.replica.partition != partition_of(BIG)))
            self.assertGreater(count, 5)
            self.assertLess(slowest, 0.3)
            self.assertEqual([], world.lost)

        run_scenario(scenario)

    def test_writes_during_an_installation_are_replicated(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            learner = store_without_replica(world)
            world.net.bandwidth[learner.address] = MBIT_30
            add_learner(world, learner)
            job = jobs_of_partition(partition_of(BIG), 1)[0]
            await asyncio.sleep(0.1)
            await world.serving(BIG)
            for n in range(10):
                self.assertEqual(Done(), await client.finish(job, n, timeout_s=5.0))
            self.assertEqual(Done(), await client.end(job))
            await wait_until_member(world, learner, 60.0)
            await asyncio.sleep(1.0)
            primary = world.primary_of(BIG).replica(BIG)
            self.assertEqual(primary.position, learner.replica(BIG).position)
            self.assertEqual(primary.jobs.digests(), learner.replica(BIG).jobs.digests())

        run_scenario(scenario)

    def test_a_learner_that_lost_power_midway_has_no_complete_replica(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            learner = store_without_replica(world)
            world.net.bandwidth[learner.address] = SLOW_LINK
            add_learner(world, learner)
            await asyncio.sleep(8.0)
            staged = learner.replica(BIG).staged
            assert staged is not None
            self.assertGreater(staged.next_chunk, 1)
            learner.stop(power=True)
            learner.start()
            self.assertFalse(learner.replica(BIG).is_complete)
            await asyncio.sleep(0.5)
            self.assertIs(ReplicaState.LEARNER, learner.replica(BIG).state)
            world.net.bandwidth.clear()
            await wait_until_member(world, learner, 20.0)
            self.assertTrue(learner.replica(BIG).is_complete)

        run_scenario(scenario)

    def test_chunks(self) -> None:
        for sizes, counts in (
            ([], [0]),
            ([10], [1]),
            ([CHUNK_BYTES, 1], [1, 1]),
            ([CHUNK_BYTES * 3, 5, 5], [1, 2]),
            ([CHUNK_BYTES // 2, CHUNK_BYTES // 2, 1], [2, 1]),
        ):
            with self.subTest(sizes):
                chunks = list(chunks_of(Entry(1, bytes(size)) for size in sizes))
                self.assertEqual(counts, [len(chunk) for chunk in chunks])


if __name__ == "__main__":
    unittest.main()
