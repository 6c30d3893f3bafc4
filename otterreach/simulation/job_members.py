"""Membership changes of job store machines: added, stopped by SIGTERM, retired and replaced.

A machine whose retirement was answered with `done` is removed at once together with its disk, so its data must be on
enough other disks by then.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from random import Random

from otterreach.jobstore.placement import partition_of
from otterreach.simulation import client
from otterreach.simulation.job_trainers import BatchJob
from otterreach.simulation.world import CTL, Main, SimulatedMachine, World

PAUSE_S = (1.0, 6.0)  # between two changes
RETRY_S = 0.3
RETIRE_S = 30.0  # a retirement that takes longer is no longer followed
REPLACEMENT_DELAY_S = (0.5, 4.0)  # from the removal of a machine to its replacement
MAX_STORES = 7


def holds_job(box: SimulatedMachine, job: str) -> bool:
    """Return True if the batch job is on the disk of the machine and, if it is up, in its complete replica."""
    on_disk = f"{job}.0".encode() in box.disk.data[: box.disk.synced]
    if not box.up or box.object is None:
        return on_disk
    replica = box.object.replication.replicas[partition_of(job)]
    return on_disk and replica.is_complete and replica.jobs.get(job) is not None


class Members:
    """Changes the membership of job store machines, one change after the other."""

    def __init__(self, world: World, random: Random, store_node: Main, batch_jobs: dict[str, BatchJob]) -> None:
        self.world = world
        self.random = random
        self.store_node = store_node
        self.batch_jobs = batch_jobs
        self.stopping = False
        self.retiring: set[str] = set()  # machines that are being retired
        self.lost_disk_at = -1e9  # time of the last loss of a disk by a fault
        self.done: dict[str, int] = {}  # number of changes, by kind

    async def run(self) -> None:
        """Make changes until `stopping` is set."""
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

    def _remaining(self) -> list[SimulatedMachine]:
        return [b for b in self.world.of_role("store") if b.is_running and b.name not in self.retiring]

    async def _add(self) -> bool:
        """Add a machine at a new address."""
        number = len(self.world.of_role("store"))
        if number >= MAX_STORES:
            return False
        box = self.world.add(f"store-{number}", "store", number % 3, self.store_node)
        box.first = False
        self.world.lines.append(f"{self.world.now:9.3f} ADD {box.name}")
        self.world.call_later(0.0, box.start)
        return True

    async def _stop_one(self) -> bool:
        """Send SIGTERM to a machine, whose process is then restarted."""
        remaining = self._remaining()
        if len(remaining) <= self.world.survive + 1:
            return False
        box = self.random.choice(remaining)
        if box.node is None:
            return False
        self.world.lines.append(f"{self.world.now:9.3f} SIGTERM {box.name}")
        process = box.process
        assert process is not None
        self.world.loop.call_as(process, box.node.stopping.set)
        return True

    async def _retire_one(self) -> bool:
        remaining = self._remaining()
        if len(remaining) <= self.world.survive + 2:
            return False
        box = self.random.choice(remaining)
        self.retiring.add(box.name)
        end = self.world.now + RETIRE_S
        self.world.lines.append(f"{self.world.now:9.3f} RETIRE {box.name}")
        try:
            if await self._order_retirement("POST", box, end) and await self._order_retirement("GET", box, end):
                await self._remove_retired(box)
                return True
            return False
        finally:
            self.retiring.discard(box.name)

    async def _order_retirement(self, method: str, box: SimulatedMachine, end: float) -> bool:
        """Return True once the retirement is accepted (POST) or done (GET); each attempt asks a random controller."""
        cores = self.world.of_role("core")
        while self.world.now < end and not self.stopping:
            address = f"{self.random.choice(cores).ip}:{CTL}"
            response = await client.ask(address, method, f"/retire/{box.name}")
            if response is not None and response.status == 200:
                if method == "POST" or json.loads(response.body)["state"] == "done":
                    return True
            elif response is not None and response.status in (404, 409):
                return False
            await asyncio.sleep(RETRY_S)
        return False

    async def _remove_retired(self, box: SimulatedMachine) -> None:
        """Remove the machine with its disk; an empty one replaces it later."""
        if not box.up:
            return  # it died meanwhile; its disk may still be needed when it comes back
        self.world.lines.append(f"{self.world.now:9.3f} RETIRED {box.name}")
        for batch_job in self.batch_jobs.values():
            if batch_job.accepted_at:
                self.check_copies(batch_job.id, "retired before its copies are elsewhere", without=box)
        box.power_off(wipe=True)
        await asyncio.sleep(self.random.uniform(*REPLACEMENT_DELAY_S))
        box.power_on()

    def check_copies(self, job: str, rule: str, without: SimulatedMachine | None = None) -> None:
        """Check that the batch job is on enough disks to survive the loss of `survive` machines."""
        if self.world.now - self.lost_disk_at < RETIRE_S / 2:
            return  # a disk was lost, and its data may not be replicated again yet
        holders = [b.name for b in self.world.of_role("store") if b is not without and holds_job(b, job)]
        self.world.expect(len(holders) > self.world.survive, rule, f"{job} is only on {','.join(holders) or 'no disk'}")
