"""The primary controller's work: members, order leases, silent servers, job store nodes that leave."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from otterreach.controller.failure_detector import FailureDetector
from otterreach.controller.member_registry import PROXY_EXPIRY_S, MemberRegistry
from otterreach.controller.messages import LastHeartbeat, LivenessReport
from otterreach.controller.order_leases import OrderLeases
from otterreach.controller.server_registry import ServerRegistry
from otterreach.controller.store_registry import StoreRegistry
from otterreach.controller.survival import SurviveLimits
from otterreach.controller.watcher import Watcher
from otterreach.jobstore.messages import DiskStalled, StoreDraining
from otterreach.proxy.messages import LeaseRelease, ModelLoaded
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.node import WATCHERS, Heartbeat, MemberAnnouncement, MemberShutdown, watchers_in_order
from otterreach.runtime.records import (
    ItemChange,
    ModelVersion,
    OrderLeaseRecord,
    PartitionRecord,
    Record,
    RetirementRecord,
    ServerRecord,
    put,
)
from otterreach.runtime.rpc import Done, Endpoint
from otterreach.runtime.settings import read
from otterreach.runtime.store import Item, ReplicatedStore
from tests.virtual import VirtualLoop

SETTINGS = read(
    {
        "node": "core-1",
        "ip": "127.0.0.1",
        "portRange": [7000, 7001],
        "binds": {"ctl": "127.0.0.1:1"},
        "heartbeatMs": 1200,
        "survive": {"nodes": 1},
    }
)


class ControlStandIn:
    """Stands in for ControlReplication: what is proposed is in force at once."""

    def __init__(self) -> None:
        self.state = ReplicatedStore()
        self.is_primary = True
        self.revision = 0
        self.is_committed = True

    def propose(self, changes: list[ItemChange]) -> asyncio.Future[bool]:
        for key, value in changes:
            self.revision += 1
            self.state.apply([Item(key, self.revision, value)])
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        future.set_result(True)
        return future

    async def done_when_committed(self) -> Done | Failure:
        return Done() if self.is_committed else Failure(Code.NOT_SYNCED, "not at all replicas")

    def not_primary(self) -> Failure:
        return Failure(Code.NOT_PRIMARY, "")


class Stage:
    """The parts of a ControllerNode that a primary runs."""

    def __init__(self) -> None:
        self.control = ControlStandIn()
        control: Any = self.control
        endpoint = Endpoint()
        limits = SurviveLimits(1)
        clock = asyncio.get_running_loop().time
        self.detector = FailureDetector(clock)
        self.watcher = Watcher(SETTINGS, endpoint, control, self.detector)
        self.stores = StoreRegistry(endpoint, control, self.detector, limits, clock)
        self.members = MemberRegistry(endpoint, control, self.detector, self.stores.forget_draining)
        self.servers = ServerRegistry(SETTINGS, endpoint, control, self.detector)
        self.leases = OrderLeases(SETTINGS, endpoint, control, self.members, clock)

    async def member(self, node: str, role: str, disk: str = "") -> None:
        link: Any = None
        announcement = MemberAnnouncement(node, disk, role, f"{node}:1", "z", "r")
        await self.members.handle_announcement(link, announcement)
        await self.heartbeat(node, disk)

    async def heartbeat(self, node: str, disk: str = "") -> None:
        link: Any = None
        await self.watcher.handle_heartbeat(link, Heartbeat(node, disk))

    def put(self, record: Record, name: str) -> None:
        self.control.propose([put(record, name)])

    def server(self, ident: str, version: int = 1) -> None:
        self.put(ServerRecord("lm", f"{ident}:1", "z", 4, "up", (ModelVersion("m", version),), 0, 1), ident)

    def lease(self, ident: str) -> OrderLeaseRecord:
        self.leases.assign_leases()
        lease = self.control.state.record(OrderLeaseRecord, ident)
        assert lease is not None
        return lease

    def server_record(self, ident: str) -> ServerRecord:
        record = self.control.state.record(ServerRecord, ident)
        assert record is not None
        return record


class PrimaryWorkTest(unittest.TestCase):
    def play(self, scene: Any) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)

        async def whole() -> None:
            await scene(Stage())

        loop.run_until_complete(whole())

    def test_a_dead_holder_is_replaced_and_the_next_one_waits(self) -> None:
        async def scene(stage: Stage) -> None:
            for node in ("front-1", "front-2"):
                await stage.member(node, "front")
            stage.server("a")
            first = stage.lease("a")
            self.assertEqual(first.wait_ms, 0)
            other = ({"front-1", "front-2"} - {first.holder}).pop()
            for _ in range(5):
                await asyncio.sleep(0.25)
                await stage.heartbeat(other)
            second = stage.lease("a")
            self.assertEqual(second.holder, other)
            self.assertGreater(second.wait_ms, 3000)

        self.play(scene)

    def test_one_that_lets_go_tells_how_long_the_next_has_to_wait(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            for node in ("front-1", "front-2"):
                await stage.member(node, "front")
            stage.server("a")
            holder = stage.lease("a").holder
            self.assertEqual(await stage.leases.handle_release(link, LeaseRelease(holder, "a", 10**9)), Done())
            new = stage.lease("a")
            self.assertNotEqual(new.holder, holder)
            self.assertEqual(new.wait_ms, 0)
            reply = await stage.leases.handle_release(link, LeaseRelease(new.holder, "a", 500))
            self.assertIsInstance(reply, Failure)  # the only other one has just let go

        self.play(scene)

    def test_a_load_is_noted_upwards_only(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            stage.server("a", version=3)
            await stage.servers.handle_model_loaded(link, ModelLoaded("a", "m", 4))
            await stage.servers.handle_model_loaded(link, ModelLoaded("a", "m", 2))
            self.assertEqual(stage.server_record("a").models, (ModelVersion("m", 4),))

        self.play(scene)

    def test_a_repeat_is_not_confirmed_before_it_is_committed(self) -> None:
        """What the first call changed may still vanish with the primary."""

        async def scene(stage: Stage) -> None:
            link: Any = None
            announce = MemberAnnouncement("front-1", "", "front", "front-1:1", "z", "r")
            stage.server("a", version=3)
            calls: list[Callable[[], Awaitable[Any]]] = [
                lambda: stage.members.handle_announcement(link, announce),
                lambda: stage.servers.handle_model_loaded(link, ModelLoaded("a", "m", 3)),
                lambda: stage.servers.handle_model_loaded(link, ModelLoaded("unknown", "m", 3)),
                lambda: stage.leases.handle_release(link, LeaseRelease("front-1", "a", 500)),
            ]
            self.assertEqual(await calls[0](), Done())
            for call in calls:
                self.assertEqual(await call(), Done())
            stage.control.is_committed = False
            for call in calls:
                self.assertIsInstance(await call(), Failure)

        self.play(scene)

    def test_a_silent_proxy_is_forgotten_and_a_store_that_keeps_something_is_not(self) -> None:
        async def scene(stage: Stage) -> None:
            await stage.member("front-1", "front")
            await stage.member("store-1", "store", "d1")
            stage.put(PartitionRecord(1, "store-1#d1"), "0")
            await asyncio.sleep(PROXY_EXPIRY_S * 10)
            stage.members.remove_unresponsive_members()
            self.assertEqual(set(stage.members.records()), {"store-1"})
            await stage.member("front-1", "front")
            self.assertIn("front-1", stage.members.records())

        self.play(scene)

    def test_retiring_means_the_disk_that_was_there(self) -> None:
        async def scene(stage: Stage) -> None:
            await stage.member("store-1", "store", "d1")
            stage.put(RetirementRecord("d1"), "store-1")
            self.assertEqual(stage.stores.members().leaving, frozenset({"store-1#d1"}))
            await stage.member("store-1", "store", "d2")
            self.assertEqual(stage.stores.members().usable, ["store-1#d2"])

        self.play(scene)

    def test_one_that_announces_its_shutdown_counts_as_dead_at_once_and_as_alive_when_it_is_back(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            await stage.member("store-1", "store", "d1")
            self.assertEqual(stage.stores.members().usable, ["store-1#d1"])
            await stage.members.handle_shutdown(link, MemberShutdown("store-1", "d1"))
            self.assertEqual(stage.stores.members().usable, [])
            await stage.heartbeat("store-1", "d1")
            self.assertEqual(stage.stores.members().usable, ["store-1#d1"])

        self.play(scene)

    def test_what_watchers_heard_before_a_shutdown_does_not_bring_a_member_back(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            await stage.member("store-1", "store", "d1")
            await asyncio.sleep(0.1)
            await stage.members.handle_shutdown(link, MemberShutdown("store-1", "d1"))
            await asyncio.sleep(0.1)
            await stage.watcher.handle_liveness_report(
                link, LivenessReport("core-2", [LastHeartbeat("store-1#d1", 150)], [])
            )
            self.assertEqual(stage.stores.members().usable, [])

        self.play(scene)

    def test_a_member_whose_disk_stalls_is_as_good_as_lost_while_it_says_so(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            await stage.member("store-1", "store", "d1")
            await stage.stores.handle_disk_stalled(link, DiskStalled("store-1", "d1", 700))
            self.assertEqual(stage.stores.members().domains, {})
            for _ in range(5):
                await asyncio.sleep(0.25)
                await stage.heartbeat("store-1", "d1")
            self.assertEqual(stage.stores.members().usable, ["store-1#d1"])

        self.play(scene)

    def test_one_that_is_about_to_end_is_treated_as_retiring_if_others_can_take_its_replicas(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            for node in ("store-1", "store-2"):
                await stage.member(node, "store", "d")
            reply = await stage.stores.handle_draining(link, StoreDraining("store-1", "d"))
            self.assertIs(Code.TOO_FEW_LEFT, getattr(reply, "code", None))
            await stage.member("store-3", "store", "d")
            self.assertEqual(await stage.stores.handle_draining(link, StoreDraining("store-1", "d")), Done())
            self.assertEqual(stage.stores.members().usable, ["store-2#d", "store-3#d"])
            for _ in range(7):
                await asyncio.sleep(0.25)
                for node in ("store-1", "store-2", "store-3"):
                    await stage.heartbeat(node, "d")
            self.assertEqual(len(stage.stores.members().usable), 3)

        self.play(scene)

    def test_silent_servers_are_marked_and_heard_ones_are_not(self) -> None:
        async def scene(stage: Stage) -> None:
            stage.server("a")
            stage.servers.mark_unresponsive_servers()
            await asyncio.sleep(10)
            stage.servers.mark_unresponsive_servers()
            self.assertIs(True, stage.server_record("a").silent)
            stage.detector.record_server_heartbeat("a")
            stage.servers.mark_unresponsive_servers()
            self.assertIs(False, stage.server_record("a").silent)

        self.play(scene)

    def test_the_ring_is_the_same_everywhere_and_spreads_members(self) -> None:
        controllers = [f"10.0.0.{n}:7000" for n in range(5)]
        self.assertEqual(watchers_in_order("front-1", controllers), watchers_in_order("front-1", controllers[::-1]))
        firsts = {watchers_in_order(f"front-{n}", controllers)[0] for n in range(60)}
        self.assertGreater(len(firsts), WATCHERS)


if __name__ == "__main__":
    unittest.main()
