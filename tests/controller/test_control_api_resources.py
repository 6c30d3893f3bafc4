"""Tests of versions, retirement and servers (controller/api): responses to calls and their retries."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any

from otterreach.controller.api.retirement import RetirementResource
from otterreach.controller.api.servers import ServerResource
from otterreach.controller.api.versions import VersionResource
from otterreach.controller.messages import ApiCall
from otterreach.controller.planner import StoreMembers
from otterreach.controller.survival import FailureDomain, SurviveLimits
from otterreach.runtime.records import ModelVersion, RetirementRecord, ServerRecord, ServerState, VersionRecord
from tests.controller.control_api_support import (
    HEARTBEAT_S,
    Case,
    FakeControl,
    FakeHeartbeats,
    deregistration,
    heartbeat,
    settle,
    statuses,
)


class VersionTest(Case):
    def test_answers(self) -> None:
        async def scenario() -> None:
            control = FakeControl()
            resource = VersionResource(control)

            def version(gen: Any) -> ApiCall:
                return ApiCall("POST", "/version-put", "", json.dumps({"model": "m", "gen": gen}).encode())

            for gen, status in ((2, 200), (2, 200), (3, 200), (2, 200), (None, 400)):
                await self.expect(resource, version(gen), status)
            self.assertEqual(VersionRecord(3), control.state.record(VersionRecord, "m"))
            await self.expect(resource, ApiCall("POST", "/version-put", "", b"{"), 400)
            await self.expect(resource, ApiCall("GET", "/version-put", "", b""), 405)

        self.run_scenario(scenario)

    def test_a_repeat_waits_for_the_first(self) -> None:
        async def scenario() -> None:
            control = FakeControl(instant=False)
            resource = VersionResource(control)
            call = ApiCall("POST", "/version-put", "", b'{"model":"m","gen":2}')
            tasks = [asyncio.ensure_future(resource.handle(call)) for _ in range(2)]
            await settle()
            self.assertFalse(any(task.done() for task in tasks))
            control.depose()
            self.assertEqual([503, 503], statuses(await asyncio.gather(*tasks)))

        self.run_scenario(scenario)


class RetirementTest(Case):
    def create(self, stores: int, instant: bool = True) -> tuple[FakeControl, RetirementResource, set[str]]:
        control = FakeControl(instant)
        living: set[str] = set()
        for n in range(stores):
            self.member(control, f"s{n}", f"d{n}")
            living.add(f"s{n}#d{n}")
        control.commit()

        def living_stores() -> StoreMembers:
            orders = control.state.records(RetirementRecord)
            retiring = {f"{node}#{order.disk}" for node, order in orders.items()}
            return StoreMembers({name: FailureDomain("z", "r") for name in living}, frozenset(retiring & living))

        wanted = SurviveLimits(1)
        return control, RetirementResource(control, control.published, living_stores, wanted), living

    def member(self, control: FakeControl, node: str, disk: str) -> None:
        control.propose(
            [(f"member/{node}", json.dumps({"role": "store", "disk": disk, "zone": "z", "region": "r"}).encode())]
        )

    def call(self, node: str, method: str = "POST") -> ApiCall:
        return ApiCall(method, f"/retire/{node}", "", b'{"overS":10}')

    def test_answers(self) -> None:
        async def scenario() -> None:
            control, resource, _ = self.create(4)
            partition = {"epoch": 1, "primary": "s0#d0", "backups": ["s1#d1"], "joining": []}
            control.propose([("part/0", json.dumps(partition).encode())])
            await self.expect(resource, self.call("unknown"), 404)
            await self.expect(resource, self.call("unknown", "GET"), 404)
            await self.expect(resource, self.call("s0"), 200)
            await self.expect(resource, self.call("s0"), 200)
            await self.expect(resource, self.call("s1"), 200)
            await self.expect(resource, self.call("s2"), 409)
            await self.expect(resource, self.call("s1"), 200)
            progress = await self.expect(resource, self.call("s0", "GET"), 200)
            self.assertEqual({"state": "serving"}, json.loads(progress.body))
            control.propose([("part/0", json.dumps(partition | {"primary": "s2#d2", "backups": ["s3#d3"]}).encode())])
            progress = await self.expect(resource, self.call("s0", "GET"), 200)
            self.assertEqual({"state": "done"}, json.loads(progress.body))

        self.run_scenario(scenario)

    def test_another_disk_is_another_machine(self) -> None:
        async def scenario() -> None:
            control, resource, living = self.create(4)
            await self.expect(resource, self.call("s0"), 200)
            self.member(control, "s0", "new")
            living.add("s0#new")
            progress = await self.expect(resource, self.call("s0", "GET"), 200)
            self.assertEqual({"state": "serving"}, json.loads(progress.body))
            await self.expect(resource, self.call("s0"), 200)
            self.assertEqual(RetirementRecord("new"), control.state.record(RetirementRecord, "s0"))

        self.run_scenario(scenario)

    def test_unresponsive_members_are_no_reason_to_reject(self) -> None:
        async def scenario() -> None:
            _, resource, living = self.create(3)
            living.discard("s1#d1")
            await self.expect(resource, self.call("s0"), 503)
            living.add("s1#d1")
            await self.expect(resource, self.call("s0"), 200)

        self.run_scenario(scenario)

    def test_rejected_only_because_of_committed_state(self) -> None:
        """An order must not be rejected because of another one that may never be committed."""

        async def scenario() -> None:
            control, resource, _ = self.create(3, instant=False)
            tasks = [asyncio.ensure_future(resource.handle(self.call(node))) for node in ("s0", "s1", "s0")]
            await settle()
            self.assertFalse(any(task.done() for task in tasks))
            control.depose()
            self.assertEqual([503] * 3, statuses(await asyncio.gather(*tasks)))

        self.run_scenario(scenario)


def server_of(control: FakeControl, ident: str) -> ServerRecord:
    record = control.state.record(ServerRecord, ident)
    assert record is not None
    return record


class ServerTest(Case):
    def handle_all(self, *calls: ApiCall) -> FakeControl:
        """Handle the calls in this order and check that each is acknowledged."""
        control = FakeControl()

        async def scenario() -> None:
            resource = ServerResource(control, FakeHeartbeats(), HEARTBEAT_S)
            for call in calls:
                await self.expect(resource, call, 200)

        self.run_scenario(scenario)
        return control

    def test_draining_is_for_good(self) -> None:
        control = self.handle_all(
            heartbeat("a", 1), heartbeat("a", 5, "draining"), heartbeat("a", 6), heartbeat("a", 3)
        )
        self.assertEqual(ServerState.DRAINING, server_of(control, "a").state)

    def test_late_heartbeats_do_not_bring_it_back(self) -> None:
        for calls in (
            (heartbeat("a", 1), deregistration("a"), heartbeat("a", 2)),
            (heartbeat("a", 1), heartbeat("a", 2, "draining"), deregistration("a"), heartbeat("a", 3, "draining")),
            (deregistration("a"), heartbeat("a", 2)),  # none of its heartbeats had arrived
            (heartbeat("a", 1), deregistration("a"), heartbeat("b", 1), heartbeat("a", 9), deregistration("a")),
        ):
            self.assertIsNone(self.handle_all(*calls).state.record(ServerRecord, "a"))

    def test_a_late_one_changes_nothing(self) -> None:
        control = self.handle_all(heartbeat("a", 4, address="10.0.0.1:80"), heartbeat("a", 2))
        self.assertEqual("10.0.0.1:80", server_of(control, "a").address)

    def test_versions_only_rise(self) -> None:
        """A load was recorded before the server reported it."""
        control = self.handle_all(
            heartbeat("a", 1, gen=3), heartbeat("a", 2, gen=2), heartbeat("a", 3, "draining", gen=1)
        )
        server = server_of(control, "a")
        self.assertEqual(((ModelVersion("m", 3),), ServerState.DRAINING), (server.models, server.state))

    def test_the_next_at_an_address_takes_its_place(self) -> None:
        control = self.handle_all(heartbeat("a", 1), heartbeat("b", 1), heartbeat("a", 2))
        self.assertEqual(["b"], list(control.state.records(ServerRecord)))

    def test_a_late_first_heartbeat_displaces_no_living_server(self) -> None:
        """The heartbeat is from a server that ended before any of them arrived, and whose address has been reused."""

        async def scenario() -> None:
            control, heartbeats = FakeControl(), FakeHeartbeats()
            resource = ServerResource(control, heartbeats, HEARTBEAT_S)
            await self.expect(resource, heartbeat("b", 1), 200)
            heartbeats.silence_s["b"] = HEARTBEAT_S
            await self.expect(resource, heartbeat("a", 1), 503)
            self.assertEqual(["b"], list(control.state.records(ServerRecord)))
            await self.expect(resource, heartbeat("b", 2, gen=9), 200)
            self.assertEqual((ModelVersion("m", 9),), server_of(control, "b").models)

        self.run_scenario(scenario)

    def test_the_next_one_is_taken_once_the_former_is_silent(self) -> None:
        async def scenario() -> None:
            control, heartbeats = FakeControl(), FakeHeartbeats()
            resource = ServerResource(control, heartbeats, HEARTBEAT_S)
            await self.expect(resource, heartbeat("a", 1), 200)
            heartbeats.silence_s["a"] = 0.1
            await self.expect(resource, heartbeat("b", 1), 503)
            heartbeats.silence_s["a"] = 2 * HEARTBEAT_S
            await self.expect(resource, heartbeat("b", 2), 200)
            self.assertEqual(["b"], list(control.state.records(ServerRecord)))

        self.run_scenario(scenario)

    def test_nothing_new_writes_nothing(self) -> None:
        once = self.handle_all(heartbeat("a", 1))
        often = self.handle_all(*(heartbeat("a", n) for n in range(1, 9)))
        self.assertEqual(once.state.revision, often.state.revision)

    def test_a_repeat_waits_for_the_first(self) -> None:
        async def scenario() -> None:
            control = FakeControl(instant=False)
            resource = ServerResource(control, FakeHeartbeats(), HEARTBEAT_S)
            calls = [
                heartbeat("a", 1),
                heartbeat("a", 1),
                deregistration("a"),
                deregistration("a"),
                heartbeat("a", 2),
            ]
            tasks = [asyncio.ensure_future(resource.handle(call)) for call in calls]
            await settle()
            self.assertFalse(any(task.done() for task in tasks))
            control.depose()
            self.assertEqual([503] * 5, statuses(await asyncio.gather(*tasks)))

        self.run_scenario(scenario)

    def test_unreadable(self) -> None:
        async def scenario() -> None:
            control = FakeControl()
            resource = ServerResource(control, FakeHeartbeats(), HEARTBEAT_S)
            for data in (b"", b"{}", b"[]", b'{"state":"up"}'):
                await self.expect(resource, ApiCall("PUT", "/servers/a", "", data), 400)
            self.assertEqual(0, control.state.revision)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
