"""What the primary controller does for all: members, duties, silent servers, retiring (controller/node.py)."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from otterreach.controller.messages import Sighting, Sightings
from otterreach.controller.node import FRONT_GONE_S, ControllerNode
from otterreach.controller.survival import SurviveLimits
from otterreach.jobstore.messages import DiskStalled, Leaving
from otterreach.proxy.messages import Loaded, Release
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.node import WATCHERS, Announce, Farewell, Heartbeat, ring_of
from otterreach.runtime.rpc import Done
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


class Control:
    """Stands in for replication: what is revised is in force at once."""

    def __init__(self) -> None:
        self.state, self.is_primary, self.primary_address, self.rev = ReplicatedStore(), True, "", 0
        self.is_committed = True

    def revise(self, changes: list[tuple[str, bytes]]) -> asyncio.Future[bool]:
        for key, value in changes:
            self.rev += 1
            self.state.apply([Item(key, self.rev, value)])
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        future.set_result(True)
        return future

    async def committed(self) -> bool:
        return self.is_committed


class Stage:
    def __init__(self) -> None:
        self.controller = ControllerNode.__new__(ControllerNode)
        controller: Any = self.controller
        self.control = Control()
        controller.settings, controller.control, controller.loop = SETTINGS, self.control, asyncio.get_running_loop()
        controller.heard, controller.heard_servers, controller._leaving, controller._lost = {}, {}, {}, {}
        controller._stalled, controller._ending, controller._left = {}, {}, {}
        controller.limits = SurviveLimits(1)

    async def member(self, node: str, role: str, disk: str = "") -> None:
        link: Any = None
        await self.controller._announce(link, Announce(node, disk, role, f"{node}:1", "z", "r"))
        await self.beat(node, disk)

    async def beat(self, node: str, disk: str = "") -> None:
        link: Any = None
        await self.controller._heartbeat(link, Heartbeat(node, disk))

    def put(self, key: str, value: Any) -> None:
        self.control.revise([(key, json.dumps(value).encode())])

    def server(self, ident: str, gen: int = 1) -> None:
        self.put(
            f"server/{ident}",
            {
                "backend": "lm",
                "addr": f"{ident}:1",
                "az": "z",
                "cap": 4,
                "state": "up",
                "models": [{"name": "m", "gen": gen}],
                "warm_ms": 0,
                "calls": 1,
            },
        )

    def duty(self, ident: str) -> Any:
        self.controller._plan_duties()
        return self.control.state.get(f"duty/{ident}")


class RegistrarTest(unittest.TestCase):
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
            first = stage.duty("a")
            self.assertEqual(first["wait_ms"], 0)
            other = ({"front-1", "front-2"} - {first["holder"]}).pop()
            for _ in range(5):
                await asyncio.sleep(0.25)
                await stage.beat(other)
            second = stage.duty("a")
            self.assertEqual(second["holder"], other)
            self.assertGreater(second["wait_ms"], 3000)

        self.play(scene)

    def test_one_that_lets_go_tells_how_long_the_next_has_to_wait(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            for node in ("front-1", "front-2"):
                await stage.member(node, "front")
            stage.server("a")
            holder = stage.duty("a")["holder"]
            self.assertEqual(await stage.controller._release(link, Release(holder, "a", 10**9)), Done())
            new = stage.duty("a")
            self.assertNotEqual(new["holder"], holder)
            self.assertEqual(new["wait_ms"], 0)
            reply = await stage.controller._release(link, Release(new["holder"], "a", 500))
            self.assertIsInstance(reply, Failure)  # the only other one has just let go

        self.play(scene)

    def test_a_load_is_noted_upwards_only(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            stage.server("a", gen=3)
            await stage.controller._loaded(link, Loaded("a", "m", 4))
            await stage.controller._loaded(link, Loaded("a", "m", 2))
            self.assertEqual(stage.control.state.get("server/a")["models"], [{"name": "m", "gen": 4}])

        self.play(scene)

    def test_a_repeat_is_not_confirmed_before_it_is_committed(self) -> None:
        """What the first call changed may still vanish with the primary."""

        async def scene(stage: Stage) -> None:
            link: Any = None
            announce = Announce("front-1", "", "front", "front-1:1", "z", "r")
            stage.server("a", gen=3)
            calls: list[Callable[[], Awaitable[Any]]] = [
                lambda: stage.controller._announce(link, announce),
                lambda: stage.controller._loaded(link, Loaded("a", "m", 3)),
                lambda: stage.controller._loaded(link, Loaded("unknown", "m", 3)),
                lambda: stage.controller._release(link, Release("front-1", "a", 500)),
            ]
            self.assertEqual(await calls[0](), Done())
            for call in calls:
                self.assertEqual(await call(), Done())
            stage.control.is_committed = False
            for call in calls:
                self.assertIsInstance(await call(), Failure)

        self.play(scene)

    def test_a_silent_carrier_is_forgotten_and_a_store_that_keeps_something_is_not(self) -> None:
        async def scene(stage: Stage) -> None:
            await stage.member("front-1", "front")
            await stage.member("store-1", "store", "d1")
            stage.put("part/0", {"epoch": 1, "primary": "store-1#d1", "backups": [], "joining": []})
            await asyncio.sleep(FRONT_GONE_S * 10)
            stage.controller._plan_members()
            self.assertEqual(set(stage.control.state.named("member")), {"store-1"})
            await stage.member("front-1", "front")
            self.assertIn("front-1", stage.control.state.named("member"))

        self.play(scene)

    def test_retiring_means_the_disk_that_was_there(self) -> None:
        async def scene(stage: Stage) -> None:
            await stage.member("store-1", "store", "d1")
            stage.put("retire/store-1", {"disk": "d1"})
            self.assertEqual(stage.controller.stores().retiring, frozenset({"store-1#d1"}))
            await stage.member("store-1", "store", "d2")
            self.assertEqual(stage.controller.stores().usable, ["store-1#d2"])

        self.play(scene)

    def test_one_that_says_farewell_counts_as_dead_at_once_and_as_alive_when_it_is_back(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            await stage.member("store-1", "store", "d1")
            self.assertEqual(stage.controller.stores().usable, ["store-1#d1"])
            await stage.controller._farewell(link, Farewell("store-1", "d1"))
            self.assertEqual(stage.controller.stores().usable, [])
            await stage.beat("store-1", "d1")
            self.assertEqual(stage.controller.stores().usable, ["store-1#d1"])

        self.play(scene)

    def test_what_watchers_heard_before_a_farewell_does_not_bring_a_member_back(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            await stage.member("store-1", "store", "d1")
            await asyncio.sleep(0.1)
            await stage.controller._farewell(link, Farewell("store-1", "d1"))
            await asyncio.sleep(0.1)
            await stage.controller._sightings(link, Sightings("core-2", [Sighting("store-1#d1", 150)], []))
            self.assertEqual(stage.controller.stores().usable, [])

        self.play(scene)

    def test_a_member_whose_disk_stalls_is_as_good_as_lost_while_it_says_so(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            await stage.member("store-1", "store", "d1")
            await stage.controller._disk_stalled(link, DiskStalled("store-1", "d1", 700))
            self.assertEqual(stage.controller.stores().places, {})
            for _ in range(5):
                await asyncio.sleep(0.25)
                await stage.beat("store-1", "d1")
            self.assertEqual(stage.controller.stores().usable, ["store-1#d1"])

        self.play(scene)

    def test_one_that_is_about_to_end_is_treated_as_retiring_if_others_can_take_its_copies(self) -> None:
        async def scene(stage: Stage) -> None:
            link: Any = None
            for node in ("store-1", "store-2"):
                await stage.member(node, "store", "d")
            reply = await stage.controller._store_leaving(link, Leaving("store-1", "d"))
            self.assertIs(Code.TOO_FEW_LEFT, getattr(reply, "code", None))
            await stage.member("store-3", "store", "d")
            self.assertEqual(await stage.controller._store_leaving(link, Leaving("store-1", "d")), Done())
            self.assertEqual(stage.controller.stores().usable, ["store-2#d", "store-3#d"])
            for _ in range(7):
                await asyncio.sleep(0.25)
                for node in ("store-1", "store-2", "store-3"):
                    await stage.beat(node, "d")
            self.assertEqual(len(stage.controller.stores().usable), 3)

        self.play(scene)

    def test_silent_servers_are_marked_and_heard_ones_are_not(self) -> None:
        async def scene(stage: Stage) -> None:
            stage.server("a")
            stage.controller._plan_servers()
            await asyncio.sleep(10)
            stage.controller._plan_servers()
            self.assertTrue(stage.control.state.get("server/a")["silent"])
            stage.controller._server_heard("a")
            stage.controller._plan_servers()
            self.assertFalse(stage.control.state.get("server/a")["silent"])

        self.play(scene)

    def test_the_ring_is_the_same_everywhere_and_spreads_members(self) -> None:
        controllers = [f"10.0.0.{n}:7000" for n in range(5)]
        self.assertEqual(ring_of("front-1", controllers), ring_of("front-1", controllers[::-1]))
        firsts = {ring_of(f"front-{n}", controllers)[0] for n in range(60)}
        self.assertGreater(len(firsts), WATCHERS)


if __name__ == "__main__":
    unittest.main()
