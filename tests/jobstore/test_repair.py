"""Repair after the loss of a store: every partition has all its replicas again within syncS.

`python3 -m tests.jobstore.test_repair` prints the durations. They are virtual time: network delays, bandwidth and disk
syncs, without processor time.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass

from otterreach.controller.failure_detector import HEARTBEAT_TIMEOUT_S
from otterreach.controller.node import PLAN_INTERVAL_S
from otterreach.runtime.rpc_messages import Done
from tests.jobstore.jobstore_world import Client, Store, World
from tests.jobstore.test_installation import MBIT_30, big_job
from tests.virtual import run

MBIT_600 = 600e6 / 8


@dataclass(frozen=True)
class Size:
    jobs: int
    items: int
    body: int  # bytes of each item

    @property
    def megabytes(self) -> float:
        return self.jobs * self.items * self.body * 4 / 3 / 1e6


CURRENT = Size(50, 200, 200)
LARGE = Size(50, 200, 1500)


async def filled_world(size: Size, link: float, stores: int = 4) -> World:
    world = World(stores)
    for store in world.stores.values():
        world.net.bandwidth[store.address] = link
    client = Client(world)
    await asyncio.sleep(1.0)
    for n in range(size.jobs):
        job = f"job{n}"
        await world.serving(job)
        assert await client.submit(job, body=big_job(job, size.items, size.body), timeout_s=10.0) == Done()
    return world


async def wait_until_repaired(world: World, within_s: float) -> float:
    """Plan as the controller does until each partition has all its replicas on stores that are alive."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while loop.time() - began < within_s:
        world.plan()
        members = world.store_members()
        if all(
            members.survive(r.members, world.limits) and set(r.members) <= world.alive
            for r in world.partition_records().values()
        ):
            return loop.time() - began
        await asyncio.sleep(PLAN_INTERVAL_S)
    raise AssertionError("partitions not repaired in time")


async def lose_store(world: World, store: Store) -> None:
    """Lose a store with its disk. The controller detects it by the missing heartbeats."""
    store.wipe()
    await asyncio.sleep(HEARTBEAT_TIMEOUT_S + PLAN_INTERVAL_S)
    world.set_alive(store, alive=False)


def repair_s(size: Size, link: float, how: str) -> float:
    """Return the time from the loss of a store until each partition has all its replicas."""

    async def main() -> float:
        world = await filled_world(size, link)
        loop = asyncio.get_running_loop()
        began = loop.time()
        lost = world.stores["store-0"]
        if how == "same address":
            lost.wipe()
            lost.start()
            world.set_alive(lost)
        else:
            await lose_store(world, lost)
        if how == "replaced":
            world.add("store-9")
        await wait_until_repaired(world, 60.0)
        took = loop.time() - began
        world.check()
        return took

    return run(main)


class RepairTest(unittest.TestCase):
    def test_within_sync_s_at_todays_size_and_a_large_one(self) -> None:
        for size in (CURRENT, LARGE):
            for how in ("lost", "replaced", "same address"):
                with self.subTest(f"{size} {how}"):
                    self.assertLess(repair_s(size, MBIT_600, how), 4.4)

    def test_two_losses_in_a_row(self) -> None:
        async def main() -> None:
            world = await filled_world(Size(20, 50, 200), MBIT_600, 4)
            client = Client(world)
            for name in ("store-0", "store-1"):
                await lose_store(world, world.stores[name])
                world.add(f"new-{name}")
                await wait_until_repaired(world, 4.4)
            for n in range(20):
                store = await world.serving(f"job{n}")
                await asyncio.sleep(0.0)
                reply = await client.read(f"job{n}", store=store)
                self.assertEqual(50, getattr(reply, "total", reply))
            world.check()

        run(main)


if __name__ == "__main__":
    for size in (CURRENT, LARGE):
        for link, name in ((MBIT_600, "600 Mbit/s"), (MBIT_30, "30 Mbit/s")):
            for how in ("lost", "replaced", "same address"):
                took = repair_s(size, link, how)
                print(f"{size.megabytes:.1f} MB, {name}, {how}: {took:.2f} s")
