"""Tests of controller/api/router.py: time-outs, forwarding to the primary, heartbeats answered from a replica."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from otterreach.controller.api import router
from otterreach.controller.api.router import ApiRouter, CoordinationContext
from otterreach.controller.messages import ApiCall
from otterreach.controller.planner import StoreMembers
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.controller.watch_hub import WatchHub
from otterreach.runtime.codes import Code
from otterreach.runtime.store import ReplicatedStore
from otterreach.sidecar import http1
from tests.controller.control_api_support import HEARTBEAT_S, Case, FakeControl, FakeHeartbeats, heartbeat, put


class Follower:
    def __init__(self, store: ReplicatedStore) -> None:
        self.store, self.age = store, 0.1

    def age_s(self) -> float:
        return self.age


class RouterTest(Case):
    def create(self, control: FakeControl) -> tuple[ApiRouter, Follower, list[str]]:
        bounds = SimpleNamespace(history_s=20.0)
        values: dict[str, object] = {
            "survive_nodes": 1,
            "survive_zones": 0,
            "survive_regions": 0,
            "heartbeat_s": HEARTBEAT_S,
        }
        values["bounds"] = bounds
        settings: Any = type("Settings", (), values)
        follower, heartbeats = Follower(control.published), FakeHeartbeats()
        parts: Any = control, follower
        coordination = CoordinationContext(ReceiptTimes(asyncio.get_running_loop().time), WatchHub(), lambda: False)
        api = ApiRouter(settings, parts[0], parts[1], lambda: StoreMembers({}), heartbeats, coordination)
        return api, follower, heartbeats.heard

    def request(self, call: ApiCall) -> http1.Request:
        headers = {b"if-match": call.match.encode()}
        return http1.Request(call.method.encode(), call.path.encode(), headers, call.body, True)

    async def status(self, api: ApiRouter, call: ApiCall) -> int:
        return (await api.handle(self.request(call))).status

    def test_answered_within_the_callers_second(self) -> None:
        """While writes are stalled, eight changes and a retry get 503 in time; the pending write still takes effect."""

        async def scenario() -> None:
            control = FakeControl(instant=False)
            api, _, _ = self.create(control)
            began = asyncio.get_running_loop().time()
            calls = [put(0, n + 1, f"op{n}") for n in range(8)]
            found = await asyncio.gather(*(self.status(api, call) for call in (*calls, calls[0])))
            self.assertEqual([503] * 9, found)
            self.assertLess(asyncio.get_running_loop().time() - began, 0.9)
            control.commit()
            self.assertEqual(200, await self.status(api, calls[0]))
            self.assertEqual(412, await self.status(api, calls[1]))

        self.run_scenario(scenario)

    def test_forwarding(self) -> None:
        async def scenario() -> None:
            control = FakeControl()
            control.is_primary = False
            api, _, _ = self.create(control)
            loop = asyncio.get_running_loop()
            began = loop.time()
            self.assertEqual(503, await self.status(api, put(0, 1)))
            self.assertEqual(began, loop.time(), "no primary is known: the answer comes at once")
            control.primary_address = "10.0.0.1:7000"
            self.assertEqual(503, await self.status(api, put(0, 1)))
            self.assertLess(loop.time() - began, 1.0)
            control.endpoint.answer_after_s = 0.3
            self.assertEqual(200, await self.status(api, put(0, 1)))
            loop.call_later(0.1, setattr, control, "primary_address", "")
            began = loop.time()
            self.assertEqual(503, await self.status(api, put(0, 1)))
            self.assertLess(loop.time() - began, 0.2, "the primary is not heard any more: nobody waits for it")
            control.primary_address = "10.0.0.1:7000"
            refused = await control.endpoint.handlers[ApiCall](None, put(0, 1))
            self.assertEqual(Code.NOT_PRIMARY, refused.code)

        self.run_scenario(scenario)

    def test_a_large_body_has_more_time(self) -> None:
        small, large = put(0, 1), ApiCall("PUT", "/config", "0", bytes(8_000_000))
        self.assertLess(router.answer_within_s(small) + router.FORWARD_EXTRA_S, 0.9)
        self.assertGreater(router.answer_within_s(large), 4.0)

    def test_heartbeats_are_acknowledged_only_from_a_fresh_copy(self) -> None:
        async def scenario() -> None:
            control = FakeControl()
            api, follower, heard = self.create(control)
            self.assertEqual(200, await self.status(api, heartbeat("a", 1)))
            control.is_primary = False  # from here on this is another controller with a replica
            self.assertEqual(200, await self.status(api, heartbeat("a", 2)))
            self.assertEqual(503, await self.status(api, heartbeat("a", 3, "draining")))
            follower.age = router.MAX_STATE_AGE_S + 0.1
            self.assertEqual(503, await self.status(api, heartbeat("a", 4)))
            self.assertEqual(["a"] * 4, heard)

        self.run_scenario(scenario)

    def test_unknown_paths(self) -> None:
        async def scenario() -> None:
            api, _, _ = self.create(FakeControl())
            self.assertEqual(404, await self.status(api, ApiCall("GET", "/what", "", b"")))
            self.assertEqual(404, (await api._decide(ApiCall("GET", "/what", "", b""))).status)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
