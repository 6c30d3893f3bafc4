"""Store machines that come and go: added, stopped by SIGTERM, retired and taken away, replaced.

A machine whose retirement was answered with `done` goes at once, its disk too: what it held must then be on enough
other disks.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from random import Random

from otterreach.jobstore.placement import partition_of
from otterreach.simulation import client
from otterreach.simulation.job_trainers import BatchJob
from otterreach.simulation.world import CTL, Box, Main, World

PAUSE_S = (1.0, 6.0)  # between two changes
ASK_AGAIN_S = 0.3
RETIRE_S = 30.0  # an order that is not done by then is left to itself
EMPTY_S = (0.5, 4.0)  # from a machine's end to its replacement
MOST_STORES = 7


def has_job(box: Box, job: str) -> bool:
    """Whether this machine's disk has the batch job, in the copy that it goes by."""
    on_disk = f"{job}.0".encode() in box.disk.data[: box.disk.synced]
    if not box.up or box.object is None:
        return on_disk
    copy = box.object.replication.replicas[partition_of(job)]
    return on_disk and copy.is_complete and copy.jobs.get(job) is not None


class Members:
    """Changes of store machines, one after the other."""

    def __init__(self, world: World, random: Random, store_node: Main, batch_jobs: dict[str, BatchJob]) -> None:
        self.world = world
        self.random = random
        self.store_node = store_node
        self.batch_jobs = batch_jobs
        self.stopping = False
        self.leaving: set[str] = set()  # machines that are to be emptied
        self.lost_disk_at = -1e9  # when a disk was last lost by a fault
        self.done: dict[str, int] = {}  # changes made, by kind

    async def run(self) -> None:
        """Until told to stop."""
        kinds: list[tuple[str, Callable[[], Awaitable[bool]]]] = [
            ("add", self._add),
            ("stop", self._stop_one),
            ("retire", self._retire_one),
            ("retire", self._retire_one),
        ]
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            kind, change = self.random.choice(kinds)
            if not self.stopping and await change():
                self.done[kind] = self.done.get(kind, 0) + 1

    def _staying(self) -> list[Box]:
        return [b for b in self.world.of_role("store") if b.runs and b.name not in self.leaving]

    async def _add(self) -> bool:
        """One more machine, at an address of its own."""
        number = len(self.world.of_role("store"))
        if number >= MOST_STORES:
            return False
        box = self.world.add(f"store-{number}", "store", number % 3, self.store_node)
        box.first = False
        self.world.lines.append(f"{self.world.now:9.3f} ADD {box.name}")
        self.world.plainly(0.0, box.start)
        return True

    async def _stop_one(self) -> bool:
        """SIGTERM; it starts again by itself."""
        staying = self._staying()
        if len(staying) <= self.world.survive + 1:
            return False
        box = self.random.choice(staying)
        if box.node is None:
            return False
        self.world.lines.append(f"{self.world.now:9.3f} SIGTERM {box.name}")
        process = box.process
        assert process is not None
        self.world.loop.call_as(process, box.node.stopping.set)
        return True

    async def _retire_one(self) -> bool:
        staying = self._staying()
        if len(staying) <= self.world.survive + 2:
            return False
        box = self.random.choice(staying)
        self.leaving.add(box.name)
        end = self.world.now + RETIRE_S
        self.world.lines.append(f"{self.world.now:9.3f} RETIRE {box.name}")
        try:
            if await self._ask("POST", box, end) and await self._ask("GET", box, end):
                await self._take_away(box)
                return True
            return False
        finally:
            self.leaving.discard(box.name)

    async def _ask(self, method: str, box: Box, end: float) -> bool:
        """Whether the order was taken (POST), or is done (GET); another controller each time."""
        cores = self.world.of_role("core")
        while self.world.now < end and not self.stopping:
            address = f"{self.random.choice(cores).ip}:{CTL}"
            response = await client.ask(address, method, f"/retire/{box.name}")
            if response is not None and response.status == 200:
                if method == "POST" or json.loads(response.body)["state"] == "done":
                    return True
            elif response is not None and response.status in (404, 409):
                return False
            await asyncio.sleep(ASK_AGAIN_S)
        return False

    async def _take_away(self, box: Box) -> None:
        """The machine goes with its disk; later an empty one is there in its place."""
        if not box.up:
            return  # it died meanwhile, and whoever comes back with its disk may still be needed
        self.world.lines.append(f"{self.world.now:9.3f} RETIRED {box.name}")
        for batch_job in self.batch_jobs.values():
            if batch_job.accepted_at:
                self.check_copies(batch_job.id, "retired before its copies are elsewhere", without=box)
        box.power_off(wipe=True)
        await asyncio.sleep(self.random.uniform(*EMPTY_S))
        box.power_on()

    def check_copies(self, job: str, rule: str, without: Box | None = None) -> None:
        """The batch job is on enough disks to bear the loss of `survive` machines."""
        if self.world.now - self.lost_disk_at < RETIRE_S / 2:
            return  # a disk was lost, and what it held may not yet be on another
        holders = [b.name for b in self.world.of_role("store") if b is not without and has_job(b, job)]
        self.world.expect(len(holders) > self.world.survive, rule, f"{job} is at {','.join(holders) or 'none'}")
