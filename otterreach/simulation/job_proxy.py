"""A proxy that simulates running items by a delay; the real JobStoreDirectory decides what is sent and when."""

from __future__ import annotations

import asyncio
import zlib
from random import Random
from typing import Any, Protocol

from otterreach.jobstore.messages import AssignItems, CancelJob, ItemFinished, RunningItems
from otterreach.jobstore.placement import partition_of
from otterreach.proxy.directory import JobStoreDirectory
from otterreach.proxy.ping_schedule import ItemLoad
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.node import Node
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done
from otterreach.simulation.world import SimulatedMachine

CALL_S = 0.8
SLOTS = 6
ITEM_S = (0.02, 0.8)
LONG_ITEM_S = (2.0, 5.0)


class ProxyObserver(Protocol):
    """Is notified of the actions of a proxy."""

    def begins(self, box: SimulatedMachine, key: tuple[str, str]) -> None:
        """Called before the proxy sends an item to a server."""

    def item_assigned(self, job: str, item: str, body: bytes) -> None:
        """Called when the proxy is assigned an item."""

    def result_answered(self, key: tuple[str, str], reply: Any) -> None:
        """Called when a result is acknowledged or finally rejected."""


class Draw:
    """The part of a proxy's Draw that JobStoreDirectory uses."""

    def __init__(self, random: Random) -> None:
        self.random = random


class DirectoryFleet:
    """The part of a proxy's fleet that JobStoreDirectory uses."""

    def __init__(self, node: Node) -> None:
        self.store = node.store
        self.loop = asyncio.get_running_loop()
        self.draw = Draw(node.random)


def text_of(job: str, item: str) -> str:
    """Return the result text of an item, which is the same at each run."""
    return f"text of {job} {item}"


def is_long(job: str) -> bool:
    """Return True if the items of a batch job are long, so that other items wait at the proxy for seconds."""
    return zlib.crc32(job.encode()) % 3 == 0


class SimulatedProxy:
    """Simulates running items by a delay, under the same rule as the real proxy.

    Right before an item is sent, JobStoreDirectory must have confirmed recently that its batch job is still open.
    """

    def __init__(self, observer: ProxyObserver, box: SimulatedMachine, node: Node) -> None:
        self.observer = observer
        self.box = box
        self.node = node
        self.loop = asyncio.get_running_loop()
        self.queue: dict[tuple[str, str], AssignItems] = {}
        self.running: set[tuple[str, str]] = set()
        self.reporting: set[tuple[str, str]] = set()
        self.ended: set[str] = set()
        fleet: Any = DirectoryFleet(node)
        self.directory = JobStoreDirectory(fleet, node.endpoint, node.settings, self)
        node.endpoint.on(AssignItems, self._assign)
        node.endpoint.on(CancelJob, self._cancel)

    async def run(self) -> None:
        """Run assigned items until the process ends."""
        spawn = self.node.endpoint.spawn
        spawn(self.directory.run())
        while True:
            await asyncio.sleep(0.05)
            for key in list(self.queue):
                busy = key in self.running or key in self.reporting or len(self.running) >= SLOTS
                if not busy and self.directory.is_confirmed_recently(key[0]):
                    self.running.add(key)
                    self.observer.begins(self.box, key)
                    spawn(self._run_item(key))

    def load(self) -> ItemLoad:
        """Return the load that is reported to the job store nodes."""
        return ItemLoad(SLOTS, max(0, SLOTS - len(self.queue)), tuple(sorted({job for job, _ in self.queue})))

    async def _assign(self, link: Link, assign: AssignItems) -> None:
        owner = self.directory.owners.get(assign.partition)
        if assign.job in self.ended or owner and assign.epoch < owner.epoch:
            return
        for work in assign.items:
            self.observer.item_assigned(assign.job, work.item, work.body)
            self.queue.setdefault((assign.job, work.item), assign)
        if link.address:
            self.directory.confirm(assign.job, link.address)

    async def _cancel(self, link: Link, cancel: CancelJob) -> None:
        self.end_job(cancel.job)

    def end_job(self, job: str) -> None:
        """Drop the queued items of a batch job; none of its items may start any more."""
        self.ended.add(job)
        for key in [k for k in self.queue if k[0] == job]:
            del self.queue[key]

    def on_confirmed(self) -> None:
        """Do nothing: the queue is polled anyway."""

    def report_running(self, partition: int, address: str) -> None:
        """Report the items here to the new primary of a partition."""
        items = [" ".join(key) for key in self.queue if partition_of(key[0]) == partition]
        running = RunningItems(partition, self.node.settings.node, items)
        self.node.endpoint.spawn(self.node.endpoint.call(address, running, CALL_S))

    async def _run_item(self, key: tuple[str, str]) -> None:
        await asyncio.sleep(self.node.random.uniform(*(LONG_ITEM_S if is_long(key[0]) else ITEM_S)))
        self.running.discard(key)
        self.reporting.add(key)
        finished = ItemFinished(*key, "done", "", text_of(*key), [2], "score")
        while key in self.queue:
            reply = await self.directory.call(key[0], finished, CALL_S * 2, CALL_S)
            final = (Code.JOB_ENDED, Code.UNKNOWN_ITEM, Code.UNKNOWN_JOB, Code.BAD_MESSAGE)
            if isinstance(reply, Done) or isinstance(reply, Failure) and reply.code in final:
                self.observer.result_answered(key, reply)
                self.queue.pop(key, None)
        self.reporting.discard(key)
