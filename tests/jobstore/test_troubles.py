"""Job store nodes under random faults, one at a time: no acknowledged write is lost, and no listed result changes."""

from __future__ import annotations

import asyncio
import json
import os
import unittest
from collections.abc import Coroutine
from random import Random
from typing import Any

from otterreach.jobstore.messages import EndJob, JobResults, ReadItem, ReadJob, SubmitJob
from otterreach.jobstore.placement import partition_of
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc_messages import Done
from tests.jobstore.jobstore_world import Client, Runner, Store, World, body_of, job_json
from tests.virtual import run

HEARTBEAT_TIMEOUT_S = 0.9
SETTLE_S = 1.0
SEEDS = [int(s) for s in os.environ.get("STACKS_SEEDS", "1 2 503").split()]


class FaultRun:
    """One run: clients and proxies work while random faults occur."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.world = World(self.random.choice((3, 4)), seed)
        self.client = Client(self.world)
        self.runners = [Runner(self.world, f"front-{n}", run_s=0.15) for n in range(3)]
        self.accepted: dict[str, float] = {}
        self.sizes: dict[str, int] = {}
        self.ended: set[str] = set()
        self.seen: dict[str, list[bytes]] = {}
        self.count = 0
        self.violations: list[str] = []
        self.now = asyncio.get_running_loop().time
        self.silent_since: dict[str, float] = {}  # by store: when the controller began to receive no heartbeats from it
        self.stopped = False
        self.added = 0
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # The controller's view ------------------------------------------------------------------------

    async def controller(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            for store in self.world.stores.values():
                is_reachable = store.running and not self.world.net.blocked(store.address, "core:7000")
                is_alive = store.node.member in self.world.alive
                if is_reachable:
                    self.silent_since.pop(store.name, None)
                    if not is_alive:
                        self.world.set_alive(store)
                elif (
                    is_alive and self.now() - self.silent_since.setdefault(store.name, self.now()) > HEARTBEAT_TIMEOUT_S
                ):
                    self.world.set_alive(store, alive=False)
            self.world.plan()

    # Clients -------------------------------------------------------------------------------------

    async def call_until_final(self, job: str, request: Any) -> Any:
        """Call the current primary until the reply is final."""
        while True:
            reply = await self.client.endpoint.call(self.world.primary_of(job).address, request, 1.0)
            unclear = (Code.NOT_PRIMARY, Code.NOT_SYNCED, Code.UNREACHABLE, Code.STALE_EPOCH, Code.NO_HANDLER)
            if not isinstance(reply, Failure) or not reply.maybe_done and reply.code not in unclear:
                return reply
            await asyncio.sleep(0.1)

    async def trainer(self) -> None:
        while not self.stopped:
            await asyncio.sleep(self.random.uniform(0.05, 0.5))
            self.count += 1
            job = f"job{self.count}"
            size = self.random.randint(1, 12)
            self.spawn(self.submit(job, size))

    async def submit(self, job: str, size: int) -> None:
        reply = await self.call_until_final(
            job, SubmitJob(job, "h", "r-lot", job_json(job, size, step=1, minVersion=1))
        )
        if not isinstance(reply, Done):
            self.violations.append(f"{job}: submit gave {reply}")
            return
        self.sizes[job], self.accepted[job] = size, self.now()
        await asyncio.sleep(self.random.uniform(0.0, 2.0))
        if self.random.random() < 0.3:
            reply = await self.call_until_final(job, EndJob(job))
            if isinstance(reply, Done):
                self.ended.add(job)
            else:
                self.violations.append(f"{job}: end gave {reply}")

    async def reader(self) -> None:
        while not self.stopped:
            await asyncio.sleep(0.05)
            if self.accepted:
                job = self.random.choice(sorted(self.accepted)[-30:])
                store = self.random.choice(list(self.world.stores.values()))
                offset = self.random.randint(0, len(self.seen.get(job, [])))
                self.spawn(self.read(job, offset, store))

    async def read(self, job: str, offset: int, store: Store) -> None:
        expected = len(self.seen.get(job, [])) if self.now() - self.accepted[job] > SETTLE_S else 0
        sent_at = self.now()
        reply = await self.client.endpoint.call(store.address, ReadJob(job, offset, 300), 1.0)
        if isinstance(reply, JobResults):
            self.check_results(job, offset, reply)
        elif reply.code is Code.UNKNOWN_JOB and sent_at - self.accepted[job] > SETTLE_S:
            self.violations.append(f"{job}: {store.name} knows nothing of it ({expected})")

    def check_results(self, job: str, offset: int, reply: JobResults) -> None:
        rows = [json.dumps(r).encode() for r in json.loads(b"[" + reply.body + b"]")]
        seen = self.seen.setdefault(job, [])
        if reply.total != self.sizes[job] or reply.next_cursor != offset + len(rows):
            self.violations.append(f"{job}: total {reply.total}, cursor {reply.next_cursor}")
        for n, row in enumerate(rows, offset):
            if n < len(seen) and seen[n] != row:
                self.violations.append(f"{job}: position {n} changed")
            elif n == len(seen):
                seen.append(row)

    # Faults --------------------------------------------------------------------------------------

    async def inject_faults(self, count: int) -> None:
        for _ in range(count):
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
            store = self.random.choice([s for s in self.world.stores.values() if s.running])
            kind = self.random.choice(
                (
                    self.kill,
                    self.lose_power,
                    self.wipe,
                    self.freeze,
                    self.isolate,
                    self.disconnect_from_controller,
                    self.replace,
                    self.add,
                    self.lose_power_everywhere,
                    self.restart_repeatedly,
                )
            )
            await kind(store, self.random.choice((0.4, 1.0, 2.0, 3.5)))
            await self.wait_until_repaired()

    async def kill(self, store: Store, for_s: float) -> None:
        store.stop()
        await asyncio.sleep(for_s)
        store.start()

    async def lose_power(self, store: Store, for_s: float) -> None:
        store.stop(power=True)
        await asyncio.sleep(for_s)
        store.start()

    async def wipe(self, store: Store, for_s: float) -> None:
        store.wipe()
        await asyncio.sleep(for_s)
        store.start()

    async def freeze(self, store: Store, for_s: float) -> None:
        self.world.net.freeze(store.address)
        await asyncio.sleep(for_s)
        self.world.net.thaw(store.address)

    async def isolate(self, store: Store, for_s: float) -> None:
        for other in [*(s.address for s in self.world.stores.values()), "core:7000"]:
            if other != store.address:
                self.world.net.disconnect(store.address, other)
        await asyncio.sleep(for_s)
        self.world.net.reconnect()

    async def disconnect_from_controller(self, store: Store, for_s: float) -> None:
        self.world.net.disconnect(store.address, "core:7000")
        await asyncio.sleep(for_s)
        self.world.net.reconnect()

    async def replace(self, store: Store, for_s: float) -> None:
        """Replace the store by an empty machine at another address."""
        store.wipe()
        await asyncio.sleep(for_s)
        self.add_store()

    async def add(self, store: Store, for_s: float) -> None:
        if len(self.world.stores) < 7:
            self.add_store()
        await asyncio.sleep(for_s)

    def add_store(self) -> None:
        self.added += 1
        self.world.add(f"added-{self.added}")

    async def lose_power_everywhere(self, store: Store, for_s: float) -> None:
        """Cut the power of all stores; one of them may lose its disk as well."""
        running = [s for s in self.world.stores.values() if s.running]
        for one in running:
            one.stop(power=True)
        if store.running or self.random.random() < 0.5:
            store.wipe()
        await asyncio.sleep(for_s)
        for one in running:
            one.start()

    async def restart_repeatedly(self, store: Store, for_s: float) -> None:
        """Stop and start the store repeatedly, at intervals below the heartbeat time-out."""
        for _ in range(4):
            store.stop(power=self.random.random() < 0.5)
            await asyncio.sleep(self.random.uniform(0.05, 0.4))
            store.start()
            await asyncio.sleep(self.random.uniform(0.05, 0.4))

    async def wait_until_repaired(self) -> None:
        """Wait until every partition has all its replicas again."""
        end = self.now() + 15.0
        while self.now() < end:
            await asyncio.sleep(0.1)
            if all(self.is_healthy(n) for n in range(16)):
                return
        states = {
            n: (p, [s.store_node.replication.replicas[n].state.value for s in self.world.stores.values()])
            for n, p in self.world.partition_records().items()
            if not self.is_healthy(n)
        }
        raise AssertionError(f"partitions not repaired within 15 s: {states}")

    def is_healthy(self, n: int) -> bool:
        record = self.world.partition_records()[n]
        members = [self.world.stores[m.partition("#")[0]] for m in record.members]
        if len(members) < 2 or any(m not in self.world.alive for m in record.members):
            return False
        leader = members[0].store_node.replication.leaders.get(n)
        return bool(leader and leader.is_confirmed and leader.epoch == record.epoch)

    # The run -------------------------------------------------------------------------------------

    async def run(self, count: int) -> None:
        await self.world.serving("a")
        for work in (self.controller(), self.trainer(), self.reader()):
            self.spawn(work)
        await self.inject_faults(count)
        self.stopped = True
        await self.finish()
        self.world.check()
        assert not self.violations, self.violations[:5]

    async def finish(self) -> None:
        await asyncio.sleep(5.0)
        assert len(self.accepted) == self.count, f"{len(self.accepted)} of {self.count} accepted"
        for job, size in self.sizes.items():
            for _ in range(100):
                reply = await self.call_until_final(job, ReadJob(job, 0, 0))
                if not isinstance(reply, JobResults) or job in self.ended or reply.next_cursor == size:
                    break
                await asyncio.sleep(0.1)
            assert isinstance(reply, JobResults), f"{job}: {reply}"
            self.check_results(job, 0, reply)
            listed = [json.loads(row)["id"] for row in self.seen[job]]
            assert len(listed) == len(set(listed)), f"{job}: an item twice"
            assert job in self.ended or len(listed) == size, f"{job}: {len(listed)} of {size} listed"
        await self.check_bodies()

    async def check_bodies(self) -> None:
        """Check that the body of an unfinished item of an open batch job can be read."""
        for runner in self.runners:
            runner.slots = 0
        self.sizes["last"] = 2
        await self.call_until_final("last", SubmitJob("last", "h", "r-lot", job_json("last", 2)))
        reply = await self.call_until_final("last", ReadItem("last", "last-1"))
        assert reply.body == body_of("last", 1), reply


class FaultsTest(unittest.TestCase):
    def test_random_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run(lambda seed=seed: self.one(seed))  # type: ignore[misc]

    async def one(self, seed: int) -> None:
        await FaultRun(seed).run(8)

    def test_jobs_are_spread_over_partitions(self) -> None:
        self.assertGreater(len({partition_of(f"job{n}") for n in range(100)}), 12)


if __name__ == "__main__":
    unittest.main()
