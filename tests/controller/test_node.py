"""The periodic work of the primary: members, order leases, unresponsive servers, retiring job store nodes."""

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
from otterreach.controller.watcher import LivenessReporter
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
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_messages import Done
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
    """Stands in for ControlReplication: proposed changes are committed at once."""

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


class PrimaryFixture:
    """The components of a ControllerNode that a primary runs."""

    def __init__(self) -> None:
        self.control = ControlStandIn()
        control: Any = self.control
        endpoint = Endpoint()
        limits = SurviveLimits(1)
        clock = asyncio.get_running_loop().time
        self.detector = FailureDetector(clock)
        self.watcher = LivenessReporter(SETTINGS, endpoint, control, self.detector)
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
    def play(self, scenario: Any) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)

        async def whole() -> None:
            await scenario(PrimaryFixture())

        loop.run_until_complete(whole())

    def test_a_dead_holder_is_replaced_and_the_next_one_waits(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            for node in ("front-1", "front-2"):
                await fixture.member(node, "front")
            fixture.server("a")
            first = fixture.lease("a")
            self.assertEqual(first.wait_ms, 0)
            other = ({"front-1", "front-2"} - {first.holder}).pop()
            for _ in range(5):
                await asyncio.sleep(0.25)
                await fixture.heartbeat(other)
            second = fixture.lease("a")
            self.assertEqual(second.holder, other)
            self.assertGreater(second.wait_ms, 3000)

        self.play(scenario)

    def test_a_released_lease_states_how_long_the_next_holder_waits(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            link: Any = None
            for node in ("front-1", "front-2"):
                await fixture.member(node, "front")
            fixture.server("a")
            holder = fixture.lease("a").holder
            self.assertEqual(await fixture.leases.handle_release(link, LeaseRelease(holder, "a", 10**9)), Done())
            new = fixture.lease("a")
            self.assertNotEqual(new.holder, holder)
            self.assertEqual(new.wait_ms, 0)
            reply = await fixture.leases.handle_release(link, LeaseRelease(new.holder, "a", 500))
            self.assertIsInstance(reply, Failure)  # the only other proxy has just released the lease

        self.play(scenario)

    def test_a_loaded_version_never_decreases(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            link: Any = None
            fixture.server("a", version=3)
            await fixture.servers.handle_model_loaded(link, ModelLoaded("a", "m", 4))
            await fixture.servers.handle_model_loaded(link, ModelLoaded("a", "m", 2))
            self.assertEqual(fixture.server_record("a").models, (ModelVersion("m", 4),))

        self.play(scenario)

    def test_a_repeat_is_not_confirmed_before_it_is_committed(self) -> None:
        """A change made by the first call is lost with the primary unless it is committed."""

        async def scenario(fixture: PrimaryFixture) -> None:
            link: Any = None
            announce = MemberAnnouncement("front-1", "", "front", "front-1:1", "z", "r")
            fixture.server("a", version=3)
            calls: list[Callable[[], Awaitable[Any]]] = [
                lambda: fixture.members.handle_announcement(link, announce),
                lambda: fixture.servers.handle_model_loaded(link, ModelLoaded("a", "m", 3)),
                lambda: fixture.servers.handle_model_loaded(link, ModelLoaded("unknown", "m", 3)),
                lambda: fixture.leases.handle_release(link, LeaseRelease("front-1", "a", 500)),
            ]
            self.assertEqual(await calls[0](), Done())
            for call in calls:
                self.assertEqual(await call(), Done())
            fixture.control.is_committed = False
            for call in calls:
                self.assertIsInstance(await call(), Failure)

        self.play(scenario)

    def test_an_unresponsive_proxy_expires_and_a_store_with_replicas_does_not(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            await fixture.member("front-1", "front")
            await fixture.member("store-1", "store", "d1")
            fixture.put(PartitionRecord(1, "store-1#d1"), "0")
            await asyncio.sleep(PROXY_EXPIRY_S * 10)
            fixture.members.remove_unresponsive_members()
            self.assertEqual(set(fixture.members.records()), {"store-1"})
            await fixture.member("front-1", "front")
            self.assertIn("front-1", fixture.members.records())

        self.play(scenario)

    def test_a_retirement_applies_to_the_disk_present_at_the_time(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            await fixture.member("store-1", "store", "d1")
            fixture.put(RetirementRecord("d1"), "store-1")
            self.assertEqual(fixture.stores.members().leaving, frozenset({"store-1#d1"}))
            await fixture.member("store-1", "store", "d2")
            self.assertEqual(fixture.stores.members().usable, ["store-1#d2"])

        self.play(scenario)

    def test_a_member_counts_as_dead_from_its_shutdown_announcement_to_its_next_heartbeat(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            link: Any = None
            await fixture.member("store-1", "store", "d1")
            self.assertEqual(fixture.stores.members().usable, ["store-1#d1"])
            await fixture.members.handle_shutdown(link, MemberShutdown("store-1", "d1"))
            self.assertEqual(fixture.stores.members().usable, [])
            await fixture.heartbeat("store-1", "d1")
            self.assertEqual(fixture.stores.members().usable, ["store-1#d1"])

        self.play(scenario)

    def test_heartbeats_from_before_a_shutdown_do_not_revive_a_member(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            link: Any = None
            await fixture.member("store-1", "store", "d1")
            await asyncio.sleep(0.1)
            await fixture.members.handle_shutdown(link, MemberShutdown("store-1", "d1"))
            await asyncio.sleep(0.1)
            await fixture.watcher.handle_liveness_report(
                link, LivenessReport("core-2", [LastHeartbeat("store-1#d1", 150)], [])
            )
            self.assertEqual(fixture.stores.members().usable, [])

        self.play(scenario)

    def test_a_member_counts_as_lost_while_it_reports_a_stalled_disk(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            link: Any = None
            await fixture.member("store-1", "store", "d1")
            await fixture.stores.handle_disk_stalled(link, DiskStalled("store-1", "d1", 700))
            self.assertEqual(fixture.stores.members().domains, {})
            for _ in range(5):
                await asyncio.sleep(0.25)
                await fixture.heartbeat("store-1", "d1")
            self.assertEqual(fixture.stores.members().usable, ["store-1#d1"])

        self.play(scenario)

    def test_a_draining_store_is_treated_as_retiring_if_others_can_take_its_replicas(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            link: Any = None
            for node in ("store-1", "store-2"):
                await fixture.member(node, "store", "d")
            reply = await fixture.stores.handle_draining(link, StoreDraining("store-1", "d"))
            self.assertIs(Code.TOO_FEW_LEFT, getattr(reply, "code", None))
            await fixture.member("store-3", "store", "d")
            self.assertEqual(await fixture.stores.handle_draining(link, StoreDraining("store-1", "d")), Done())
            self.assertEqual(fixture.stores.members().usable, ["store-2#d", "store-3#d"])
            for _ in range(7):
                await asyncio.sleep(0.25)
                for node in ("store-1", "store-2", "store-3"):
                    await fixture.heartbeat(node, "d")
            self.assertEqual(len(fixture.stores.members().usable), 3)

        self.play(scenario)

    def test_unresponsive_servers_are_marked_silent_and_responsive_ones_are_not(self) -> None:
        async def scenario(fixture: PrimaryFixture) -> None:
            fixture.server("a")
            fixture.servers.mark_unresponsive_servers()
            await asyncio.sleep(10)
            fixture.servers.mark_unresponsive_servers()
            self.assertIs(True, fixture.server_record("a").silent)
            fixture.detector.record_server_heartbeat("a")
            fixture.servers.mark_unresponsive_servers()
            self.assertIs(False, fixture.server_record("a").silent)

        self.play(scenario)

    def test_the_ring_is_the_same_everywhere_and_spreads_members(self) -> None:
        controllers = [f"10.0.0.{n}:7000" for n in range(5)]
        self.assertEqual(watchers_in_order("front-1", controllers), watchers_in_order("front-1", controllers[::-1]))
        firsts = {watchers_in_order(f"front-{n}", controllers)[0] for n in range(60)}
        self.assertGreater(len(firsts), WATCHERS)


if __name__ == "__main__":
    unittest.main()
