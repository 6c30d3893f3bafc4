"""Emptying a job store node: `done` only when others hold all of its partitions, as the committed records say."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from otterreach.controller.api.retirement import RetirementResource
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.planner import StoreMembers
from otterreach.controller.survival import FailureDomain, SurviveLimits
from otterreach.runtime.records import PartitionRecord, RetirementRecord
from otterreach.runtime.store import Item, ReplicatedStore
from tests.virtual import run

ZONES = {"s1#d": "a", "s2#d": "a", "s3#d": "b", "s4#d": "b"}


class ControlReplication:
    """What is revised is known here at once, and committed only when `commit` is called."""

    def __init__(self, published: ReplicatedStore) -> None:
        self.state, self.published, self.revision = ReplicatedStore(), published, 0

    async def confirm(self) -> bool:
        return True

    async def committed(self) -> bool:
        return True

    def propose(self, changes: list[tuple[str, bytes]]) -> asyncio.Future[bool]:
        for key, value in changes:
            self.revision += 1
            self.state.apply([Item(key, self.revision, value)])
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        future.set_result(True)
        return future

    def commit(self) -> None:
        self.published.apply(list(self.state.items.values()))


class Stage:
    def __init__(self, zones: int = 0, names: str = "s1 s2 s3 s4") -> None:
        self.store = ReplicatedStore()
        self.control = ControlReplication(self.store)
        control: Any = self.control
        self.living = {f"{name}#d" for name in names.split()}
        self.settled = True
        self.resource = RetirementResource(control, self.store, self.stores, SurviveLimits(1, zones))
        for name in names.split():
            self.put(f"member/{name}", {"role": "store", "disk": "d", "zone": ZONES[f"{name}#d"], "region": "r"})

    def stores(self) -> StoreMembers | None:
        orders = self.control.state.records(RetirementRecord)
        retiring = {f"{node}#{order.disk}" for node, order in orders.items()}
        places = {m: FailureDomain(ZONES.get(m, "a"), "r") for m in sorted(self.living)}
        return StoreMembers(places, frozenset(retiring & self.living)) if self.settled else None

    def put(self, key: str, value: Any, commit: bool = True) -> None:
        self.control.propose([(key, json.dumps(value).encode())])
        if commit:
            self.control.commit()

    def part(self, epoch: int, *members: str, learners: tuple[str, ...] = (), commit: bool = True) -> None:
        record = PartitionRecord(epoch, members[0], members[1:], learners)
        self.put("part/0", json.loads(record.encode()), commit)

    async def begin(self, node: str = "s1") -> int:
        reply: ApiResponse = await self.resource.handle(ApiCall("POST", f"/retire/{node}", "", b""))
        self.control.commit()
        return reply.status

    async def state(self, node: str = "s1") -> str:
        reply = await self.resource.handle(ApiCall("GET", f"/retire/{node}", "", b""))
        return str(json.loads(reply.body)["state"])


def play(scene: Callable[[], Awaitable[None]]) -> None:
    run(scene)


class RetireTest(unittest.TestCase):
    def test_done_comes_after_the_record_without_it_is_committed(self) -> None:
        async def scene() -> None:
            stage = Stage()
            stage.part(1, "s1#d", "s3#d")
            self.assertEqual(200, await stage.begin())
            self.assertEqual("serving", await stage.state())
            stage.part(2, "s1#d", "s3#d", learners=("s2#d",))
            self.assertEqual("serving", await stage.state())
            stage.part(3, "s3#d", "s2#d", commit=False)
            self.assertEqual("serving", await stage.state())
            stage.control.commit()
            self.assertEqual("done", await stage.state())

        play(scene)

    def test_members_that_are_not_heard_of_do_not_count(self) -> None:
        async def scene() -> None:
            stage = Stage()
            stage.part(1, "s3#d", "s2#d")
            await stage.begin()
            self.assertEqual("done", await stage.state())
            stage.living.discard("s2#d")
            stage.part(2, "s3#d", "s2#d", learners=("s4#d",))
            self.assertEqual("serving", await stage.state())
            stage.part(3, "s3#d", "s4#d")
            self.assertEqual("done", await stage.state())

        play(scene)

    def test_the_copies_elsewhere_are_in_the_zones_that_are_asked_for(self) -> None:
        async def scene() -> None:
            stage = Stage(zones=1)
            stage.part(1, "s3#d", "s4#d")
            await stage.begin()
            self.assertEqual("serving", await stage.state())
            stage.part(2, "s3#d", "s2#d")
            self.assertEqual("done", await stage.state())

        play(scene)

    def test_refused_if_the_others_are_too_few_or_in_too_few_zones(self) -> None:
        async def scene() -> None:
            for zones, names, silent, status in (
                (0, "s1 s2 s3", "", 200),
                (0, "s1 s3", "", 409),
                (0, "s1 s2 s3 s4", "s2 s4", 503),  # the silent ones may be back soon
                (0, "s1 s2 s3 s4", "s4", 200),
                (1, "s1 s2 s3", "", 200),
                (1, "s1 s3 s4", "", 409),
                (1, "s1 s2 s3 s4", "s2", 503),
                (1, "s1 s2", "", 409),
            ):
                with self.subTest(f"{zones} {names} without {silent}"):
                    stage = Stage(zones, names)
                    stage.living -= {f"{name}#d" for name in silent.split()}
                    self.assertEqual(status, await stage.begin())

        play(scene)

    def test_nothing_is_said_before_it_is_known_who_lives(self) -> None:
        async def scene() -> None:
            stage = Stage()
            stage.part(1, "s3#d", "s2#d")
            await stage.begin()
            stage.settled = False
            self.assertEqual("serving", await stage.state())
            self.assertEqual(503, await stage.begin("s2"))

        play(scene)

    def test_a_machine_with_another_disk_may_be_retired_again(self) -> None:
        async def scene() -> None:
            stage = Stage()
            await stage.begin()
            stage.living = {"s1#e", "s2#d", "s3#d", "s4#d"}
            stage.put("member/s1", {"role": "store", "disk": "e", "zone": "a", "region": "r"})
            self.assertEqual(200, await stage.begin())
            self.assertEqual(RetirementRecord("e"), stage.control.state.record(RetirementRecord, "s1"))

        play(scene)


if __name__ == "__main__":
    unittest.main()
