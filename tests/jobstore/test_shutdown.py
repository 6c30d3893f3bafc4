"""Graceful shutdown: a job store node's replicas are moved first, if other nodes are left and the time suffices."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, cast

from otterreach.jobstore.graceful_shutdown import GRACE_SHARE, has_assigned_replicas, transfer_replicas
from otterreach.jobstore.messages import JobResults
from otterreach.runtime.codes import Code
from otterreach.runtime.node import Node
from otterreach.runtime.rpc_messages import Done
from tests.jobstore.jobstore_world import Client, Store, World
from tests.virtual import run

JOBS = [f"job{n}" for n in range(20)]
Scenario = Callable[[World, Client], Coroutine[Any, Any, None]]


def run_scenario(scenario: Scenario, stores: int = 3) -> None:
    async def main() -> None:
        world = World(stores)
        client = Client(world)
        await world.serving("a")
        for job in JOBS:
            assert await client.submit(job) == Done()
            assert await client.finish(job, 0) == Done()
        await scenario(world, client)
        world.check()

    run(main)


async def shut_down(world: World, store: Store) -> bool:
    """Shut a store down as on SIGTERM: move its replicas, then end it for good together with its disk."""
    done = await transfer_replicas(cast(Node, store.node))
    store.wipe()
    world.set_alive(store, alive=False)
    return done


async def is_readable(world: World, client: Client, job: str) -> bool:
    """Return True if the batch job and its result can be read from the store that serves it."""
    while True:
        reply = await client.read(job, store=await world.serving(job))
        if getattr(reply, "code", None) not in (Code.NOT_PRIMARY, Code.NOT_SYNCED):
            return isinstance(reply, JobResults) and reply.total == 4 and reply.next_cursor == 1


class GracefulShutdownTest(unittest.TestCase):
    def test_no_job_is_lost_with_its_disk_and_another_right_afterwards(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            leaving, other = world.primary_of("job1"), world.backup_of("job1")
            self.assertTrue(await shut_down(world, leaving))
            other.wipe()
            world.set_alive(other, alive=False)
            world.add("store-9")
            for job in JOBS:
                self.assertTrue(await is_readable(world, client, job), job)

        run_scenario(scenario, 4)

    def test_it_serves_until_its_replicas_are_moved(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            leaving = world.primary_of("job1")
            transfer = asyncio.ensure_future(transfer_replicas(cast(Node, leaving.node)))
            slowest, loop = 0.0, asyncio.get_running_loop()
            n = 0
            while not transfer.done():
                n, began = n + 1, loop.time()
                while await client.submit(f"more{n}") != Done():
                    await asyncio.sleep(0.01)
                slowest = max(slowest, loop.time() - began)
            self.assertTrue(await transfer)
            self.assertLess(slowest, 0.2)
            self.assertFalse(has_assigned_replicas(cast(Node, leaving.node)))

        run_scenario(scenario)

    def test_without_other_nodes_it_ends_at_once(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            loop = asyncio.get_running_loop()
            began = loop.time()
            self.assertFalse(await transfer_replicas(cast(Node, world.primary_of("a").node)))
            self.assertLess(loop.time() - began, 0.5)

        run_scenario(scenario, 2)

    def test_it_ends_within_its_grace_time(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            leaving = world.primary_of("a")
            for store in world.stores.values():
                if store is not leaving:
                    store.journal.disk.stalled = True
            world.net.disconnect(leaving.address, "core:7000")
            loop = asyncio.get_running_loop()
            began = loop.time()
            self.assertFalse(await transfer_replicas(cast(Node, leaving.node)))
            grace_s = leaving.node.settings.bounds.grace_s
            self.assertLess(loop.time() - began, GRACE_SHARE * grace_s + 1.1)
            for store in world.stores.values():
                store.journal.disk.stalled = False

        run_scenario(scenario)

    def test_two_shutdowns_in_a_row_with_a_new_store_before_each(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            for n in range(2):
                world.add(f"new-{n}")
                self.assertTrue(await shut_down(world, world.stores[f"store-{n}"]))
                world.leaving.clear()
                world.plan()
            for job in JOBS:
                self.assertTrue(await is_readable(world, client, job), job)

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
