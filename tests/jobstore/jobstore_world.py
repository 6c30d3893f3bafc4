"""Job store nodes on a simulated network, with proxies, clients, and a control state kept by the real planner."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from otterreach.controller import planner
from otterreach.controller.survival import FailureDomain, SurviveLimits
from otterreach.jobstore.leadership import PartitionLeader
from otterreach.jobstore.messages import (
    AssignItems,
    CancelJob,
    DiskStalled,
    EndJob,
    ItemBody,
    ItemFinished,
    ProxyPing,
    ProxyPong,
    ReadItem,
    ReadJob,
    ReplicaInSync,
    ReplicaLost,
    StoreDraining,
    SubmitJob,
    WorkItem,
)
from otterreach.jobstore.node import JobStoreNode
from otterreach.jobstore.partition_replica import PartitionReplica
from otterreach.jobstore.placement import PARTITIONS, partition_of
from otterreach.runtime import settings as settings_module
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import member_id
from otterreach.runtime.node import Node
from otterreach.runtime.records import PartitionRecord, Record, put
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.store import Item, ReplicatedStore
from tests.jobstore.jobstore_net import Net, VirtualDisk, VirtualEndpoint, VirtualJournal

SETTINGS = {
    "portRange": [7000, 7001],
    "peers": ["core:8000"],
    "caps": {"ramMb": 320, "diskMb": 380},
    "slas": {"statusS": 120, "syncS": 4.4, "cancelMs": 3000},
    "datadir": "/none",
}
ROUTE = {"name": "r-lot", "host": "h", "prefix": "/p/", "kind": "rollout", "dueMs": 5000, "maxWaitS": 30}
CONTROLLER = "core:7000"
STALL_REPORT_VALID_S = 0.9  # a disk counts as usable again this long after the last report of a stall
TWO = SurviveLimits(1)


def body_of(job: str, item: int) -> bytes:
    return f"body of {job} {item}".encode()


def job_json(job: str, items: int = 4, group: int = 2, **head: Any) -> bytes:
    """Return the JSON of a batch job."""
    rows = [
        {
            "id": f"{job}-{n}",
            "path": f"/p/{n}",
            "headers": {"Model": "m"},
            "tokens": 10,
            "group": f"g{n // group}",
            "body": base64.b64encode(body_of(job, n)).decode(),
        }
        for n in range(items)
    ]
    return json.dumps({**head, "reqs": rows}).encode()


class StoreNode:
    """The part of otterreach.runtime.node.Node that a JobStoreNode uses."""

    def __init__(self, name: str, endpoint: VirtualEndpoint, random: Random) -> None:
        self.settings = settings_module.read({**SETTINGS, "node": name, "ip": name})
        self.endpoint, self.random, self.disk = endpoint, random, ""
        self.store = ReplicatedStore()
        self.follower = SimpleNamespace(primary=CONTROLLER, controllers=[CONTROLLER], fresh_at=0.0)
        self.stopping = asyncio.Event()

    async def call_primary(self, request: Any, timeout_s: float = 0.8) -> Any:
        return await self.endpoint.call(CONTROLLER, request, timeout_s)

    @property
    def member(self) -> str:
        return member_id(self.settings.node, self.disk)


class Store:
    """The machine of a job store node. Its disk outlives its processes."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.address = world, name, f"{name}:7000"
        self.disk = VirtualDisk()
        self.running = False
        self.start()

    def start(self) -> None:
        self.running = True
        self.endpoint = VirtualEndpoint(self.world.net, self.address)
        self.journal = VirtualJournal(self.disk)
        self.node = StoreNode(self.name, self.endpoint, self.world.random)
        records = self.journal.read()
        with mock.patch(
            "otterreach.runtime.identity.generate_disk_id", lambda: f"{self.world.random.getrandbits(48):012x}"
        ):
            self.store_node = JobStoreNode(cast(Node, self.node), self.journal, self.world.random, records)
        self.endpoint.spawn(self.store_node.start())
        self.world.send_control_state(self)

    def stop(self, power: bool = False) -> None:
        """Kill the process. With `power`, unsynced data may be lost and the peers' connections are not closed."""
        if not self.running:
            return
        self.running = False
        disk = self.journal.disk
        self.journal.kill()
        self.endpoint.kill(silent=power)
        if power:
            disk.lose_power(self.world.random)
        self.disk = disk
        if self.endpoint.failures:
            self.world.failures += self.endpoint.failures

    def wipe(self) -> None:
        self.stop(power=True)
        self.disk = VirtualDisk()

    def replica(self, job: str) -> PartitionReplica:
        return self.store_node.replication.replicas[partition_of(job)]

    def leader(self, job: str) -> PartitionLeader | None:
        return self.store_node.replication.leaders.get(partition_of(job))


class World:
    """The machines, the network and the controller. `alive`: the members that the controller holds to be alive."""

    def __init__(
        self, stores: int = 3, seed: int = 1, limits: SurviveLimits = TWO, zones: dict[str, str] | None = None
    ) -> None:
        self.random = Random(seed)
        self.net = Net(self.random)
        self.control = ReplicatedStore()
        self.limits, self.revision = limits, 0
        self.zones = zones or {}  # zone by store name; by default each store is a zone of its own
        self.failures: list[BaseException] = []
        self.stores: dict[str, Store] = {}
        self.alive: set[str] = set()
        self.lag: Callable[[], float] = lambda: 0.02
        self.lost: list[ReplicaLost] = []
        self.controller = VirtualEndpoint(self.net, CONTROLLER)
        self.controller.on(ReplicaInSync, self._synced)
        self.controller.on(ReplicaLost, self._lost)
        self.controller.on(DiskStalled, self._disk_stalled)
        self.controller.on(StoreDraining, self._leaving)
        self.stalled: dict[str, float] = {}  # by member with a stalled disk: the time of its last report
        self.leaving: set[str] = set()
        self.put("config", {"gen": 1, "routes": [ROUTE], "backends": []})
        self.initial_stores = stores
        for n in range(stores):
            self.add(f"store-{n}")

    def add(self, name: str) -> Store:
        store = self.stores[name] = Store(self, name)
        self.set_alive(store)
        return store

    def heal_network(self) -> None:
        """Remove all faults of the network."""
        self.net.frozen.clear()
        self.net.reconnect()

    def put(self, key: str, value: Any) -> None:
        """Change an item of the control state. Each store receives the change after a delay, in order."""
        self.revision += 1
        item = Item(key, self.revision, json.dumps(value).encode())
        self.control.apply([item])
        for store in list(self.stores.values()):
            if store.running:
                self._publish(store, [item])

    def put_record(self, record: Record, name: str) -> None:
        change = put(record, name)
        self.put(change.key, json.loads(change.value))

    def _publish(self, store: Store, items: list[Item]) -> None:
        def take(endpoint: VirtualEndpoint, node: StoreNode) -> None:
            if endpoint.down:
                return
            if self.net.blocked(store.address, CONTROLLER):
                asyncio.get_running_loop().call_later(0.05, take, endpoint, node)
                return
            node.store.apply(items)
            node.follower.fresh_at = asyncio.get_running_loop().time()

        asyncio.get_running_loop().call_later(self.lag(), take, store.endpoint, store.node)

    def send_control_state(self, store: Store) -> None:
        """Send the complete control state to a store that starts."""
        self._publish(store, list(self.control.items.values()))

    def set_alive(self, store: Store, alive: bool = True) -> None:
        """Have the controller hold a store to be alive or dead, and plan."""
        name = store.node.member
        self.alive = {m for m in self.alive if not m.startswith(store.name + "#")}
        if alive:
            self.alive.add(name)
            self.put(
                f"member/{store.name}",
                {
                    "role": "store",
                    "address": store.address,
                    "zone": self.zone(store.name),
                    "region": "r",
                    "disk": store.node.disk,
                },
            )
        self.plan()

    def store_members(self) -> planner.StoreMembers:
        now = asyncio.get_running_loop().time()
        stalled = {m for m, at in self.stalled.items() if now - at < STALL_REPORT_VALID_S}
        domains = {m: FailureDomain(self.zone(m.partition("#")[0]), "r") for m in sorted(self.alive - stalled)}
        return planner.StoreMembers(domains, frozenset(self.leaving & set(domains)))

    def zone(self, name: str) -> str:
        return self.zones.get(name, name)

    def partition_records(self) -> dict[int, PartitionRecord]:
        return {int(number): record for number, record in self.control.records(PartitionRecord).items()}

    def plan(self) -> None:
        records, members = self.partition_records(), self.store_members()
        if not records and len(self.stores) < self.initial_stores:
            return
        plan = (
            planner.plan(records, self.limits, members)
            if records
            else planner.initial_records(PARTITIONS, self.limits, members)
        )
        for n, part in plan.items():
            self.put_record(part, str(n))

    async def _synced(self, link: Any, report: ReplicaInSync) -> Done | Failure:
        record = self.partition_records()[report.partition]
        if record.epoch != report.epoch:
            return Failure(Code.STALE_EPOCH, "another epoch")
        if report.member in record.learners:
            self.put_record(
                planner.promote_learner(record, report.member, self.limits, self.store_members()), str(report.partition)
            )
        return Done()

    async def _lost(self, link: Any, report: ReplicaLost) -> None:
        self.lost.append(report)

    async def _disk_stalled(self, link: Any, report: DiskStalled) -> None:
        self.stalled[member_id(report.node, report.disk)] = asyncio.get_running_loop().time()
        self.plan()

    async def _leaving(self, link: Any, report: StoreDraining) -> Done | Failure:
        name, members = member_id(report.node, report.disk), self.store_members()
        if len([m for m in members.usable if m != name]) <= self.limits.nodes:
            return Failure(Code.TOO_FEW_LEFT, "too few others")
        self.leaving.add(name)
        self.plan()
        return Done()

    def primary_of(self, job: str) -> Store:
        return self.stores[self.partition_records()[partition_of(job)].primary.partition("#")[0]]

    def backup_of(self, job: str) -> Store:
        return self.stores[self.partition_records()[partition_of(job)].backups[0].partition("#")[0]]

    async def serving(self, job: str, within_s: float = 5.0) -> Store:
        """Wait until a store serves this batch job, and return it."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        while loop.time() < end:
            for store in self.stores.values():
                leader = store.leader(job) if store.running else None
                if leader and leader.is_confirmed:
                    return store
            await asyncio.sleep(0.02)
        raise AssertionError(f"no store serves {job}")

    def check(self) -> None:
        """Raise the first failure of a handler or task of any store."""
        failures = [*self.failures, *(f for s in self.stores.values() for f in s.endpoint.failures)]
        if failures:
            raise failures[0]


class Client:
    """Calls job store nodes as a proxy does on behalf of its clients."""

    def __init__(self, world: World, name: str = "client") -> None:
        self.world = world
        self.endpoint = VirtualEndpoint(world.net, f"{name}:7000")

    async def call(self, store: Store, value: Any, timeout_s: float = 1.0) -> Any:
        reply = await self.endpoint.call(store.address, value, timeout_s)
        if isinstance(reply, Failure) and reply.code is Code.TIMED_OUT and reply.reason == "no answer in time":
            retry = await self.endpoint.call(store.address, value, timeout_s)  # the connection may have been dead
            return retry if not isinstance(retry, Failure) or retry.maybe_done else reply
        return reply

    async def submit(
        self, job: str, store: Store | None = None, body: bytes | None = None, timeout_s: float = 1.0
    ) -> Any:
        request = SubmitJob(job, "h", "r-lot", body or job_json(job))
        return await self.call(store or self.world.primary_of(job), request, timeout_s)

    async def read(self, job: str, offset: int = 0, wait_ms: int = 0, store: Store | None = None) -> Any:
        request = ReadJob(job, offset, wait_ms)
        return await self.call(store or self.world.primary_of(job), request, 1.0 + wait_ms / 1000)

    async def item(self, job: str, n: int) -> Any:
        return await self.call(self.world.primary_of(job), ReadItem(job, f"{job}-{n}"))

    async def end(self, job: str) -> Any:
        return await self.call(self.world.primary_of(job), EndJob(job))

    async def finish(
        self, job: str, n: int, text: str = "", store: Store | None = None, timeout_s: float = 1.0, **changes: Any
    ) -> Any:
        values: dict[str, Any] = {"state": "done", "reason": "", "versions": [1], "score": "", **changes}
        request = ItemFinished(job, f"{job}-{n}", text=text or f"text {n}", **values)
        return await self.call(store or self.world.primary_of(job), request, timeout_s)


class Runner:
    """A proxy that pings, accepts items, and finishes each after about `run_s` (None: it finishes none by itself)."""

    def __init__(self, world: World, name: str, slots: int = 4, run_s: float | None = 0.05) -> None:
        self.world, self.name, self.slots, self.run_s = world, name, slots, run_s
        self.endpoint = VirtualEndpoint(world.net, f"{name}:7000")
        self.running_items: dict[tuple[str, str], WorkItem] = {}
        self.assigned: list[tuple[str, str]] = []
        self.cancelled: list[str] = []
        self.pongs: dict[str, ProxyPong] = {}
        self.pinging = True
        self.endpoint.on(AssignItems, self._assign)
        self.endpoint.on(CancelJob, self._cancel)
        self.endpoint.spawn(self._pings())

    async def _pings(self) -> None:
        while True:
            if self.pinging:
                for store in list(self.world.stores.values()):
                    self.endpoint.spawn(self._ping(store))
            await asyncio.sleep(0.25)

    async def _ping(self, store: Store) -> None:
        now = int(asyncio.get_running_loop().time() * 1000)
        free = max(0, self.slots - len(self.running_items))
        jobs = sorted({job for job, _ in self.running_items})
        ping = ProxyPing(self.name, self.endpoint.address, now, self.slots, free, jobs, 1)
        pong = await self.endpoint.call(store.address, ping, 0.6)
        if isinstance(pong, ProxyPong):
            self.pongs[store.name] = pong
            for job in pong.ended:
                await self._cancel(None, CancelJob(job))

    async def _assign(self, link: Any, request: AssignItems) -> None:
        for work in request.items:
            key = (request.job, work.item)
            self.assigned.append(key)
            if key not in self.running_items:
                self.running_items[key] = work
                if self.run_s is not None:
                    self.endpoint.spawn(self._run(request.job, work))

    async def _run(self, job: str, work: WorkItem) -> None:
        await asyncio.sleep((self.run_s or 0.0) * self.world.random.uniform(0.5, 1.5))
        text = f"{work.item} by {self.name} {self.world.random.random()}"
        while (job, work.item) in self.running_items:
            request = ItemFinished(job, work.item, "done", "", text, [1], "")
            store = self.world.primary_of(job)
            reply = await self.endpoint.call(store.address, request, 1.0)
            final = (Code.UNKNOWN_ITEM, Code.JOB_ENDED, Code.BAD_MESSAGE)
            if isinstance(reply, Done) or isinstance(reply, Failure) and reply.code in final:
                self.running_items.pop((job, work.item), None)
                return
            await asyncio.sleep(0.1)

    async def _cancel(self, link: Any, request: CancelJob) -> None:
        self.cancelled.append(request.job)
        for key in [k for k in self.running_items if k[0] == request.job]:
            del self.running_items[key]


__all__ = ["Client", "ItemBody", "Runner", "Store", "World", "body_of", "job_json"]
