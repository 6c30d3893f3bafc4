"""Retirement of a job store node: `done` only when the committed records place all its partitions on other nodes."""

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


class FakeControlReplication:
    """Changes are visible in `state` at once, and committed only when `commit` is called."""

    def __init__(self, published: ReplicatedStore) -> None:
        self.state, self.published, self.revision = ReplicatedStore(), published, 0

    async def confirm_leadership(self) -> bool:
        return True

    async def wait_until_committed(self) -> bool:
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


class Fixture:
    def __init__(self, zones: int = 0, names: str = "s1 s2 s3 s4") -> None:
        self.store = ReplicatedStore()
        self.control = FakeControlReplication(self.store)
        control: Any = self.control
        self.living = {f"{name}#d" for name in names.split()}
        self.known = True
        self.resource = RetirementResource(control, self.store, self.stores, SurviveLimits(1, zones))
        for name in names.split():
            self.put(f"member/{name}", {"role": "store", "disk": "d", "zone": ZONES[f"{name}#d"], "region": "r"})

    def stores(self) -> StoreMembers | None:
        orders = self.control.state.records(RetirementRecord)
        retiring = {f"{node}#{order.disk}" for node, order in orders.items()}
        domains = {m: FailureDomain(ZONES.get(m, "a"), "r") for m in sorted(self.living)}
        return StoreMembers(domains, frozenset(retiring & self.living)) if self.known else None

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


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    run(scenario)


class RetireTest(unittest.TestCase):
    def test_done_comes_after_the_record_without_it_is_committed(self) -> None:
        async def scenario() -> None:
            fixture = Fixture()
            fixture.part(1, "s1#d", "s3#d")
            self.assertEqual(200, await fixture.begin())
            self.assertEqual("serving", await fixture.state())
            fixture.part(2, "s1#d", "s3#d", learners=("s2#d",))
            self.assertEqual("serving", await fixture.state())
            fixture.part(3, "s3#d", "s2#d", commit=False)
            self.assertEqual("serving", await fixture.state())
            fixture.control.commit()
            self.assertEqual("done", await fixture.state())

        run_scenario(scenario)

    def test_members_that_are_not_heard_of_do_not_count(self) -> None:
        async def scenario() -> None:
            fixture = Fixture()
            fixture.part(1, "s3#d", "s2#d")
            await fixture.begin()
            self.assertEqual("done", await fixture.state())
            fixture.living.discard("s2#d")
            fixture.part(2, "s3#d", "s2#d", learners=("s4#d",))
            self.assertEqual("serving", await fixture.state())
            fixture.part(3, "s3#d", "s4#d")
            self.assertEqual("done", await fixture.state())

        run_scenario(scenario)

    def test_the_copies_elsewhere_are_in_the_zones_that_are_asked_for(self) -> None:
        async def scenario() -> None:
            fixture = Fixture(zones=1)
            fixture.part(1, "s3#d", "s4#d")
            await fixture.begin()
            self.assertEqual("serving", await fixture.state())
            fixture.part(2, "s3#d", "s2#d")
            self.assertEqual("done", await fixture.state())

        run_scenario(scenario)

    def test_refused_if_the_others_are_too_few_or_in_too_few_zones(self) -> None:
        async def scenario() -> None:
            for zones, names, silent, status in (
                (0, "s1 s2 s3", "", 200),
                (0, "s1 s3", "", 409),
                (0, "s1 s2 s3 s4", "s2 s4", 503),  # the unresponsive ones may return soon
                (0, "s1 s2 s3 s4", "s4", 200),
                (1, "s1 s2 s3", "", 200),
                (1, "s1 s3 s4", "", 409),
                (1, "s1 s2 s3 s4", "s2", 503),
                (1, "s1 s2", "", 409),
            ):
                with self.subTest(f"{zones} {names} without {silent}"):
                    fixture = Fixture(zones, names)
                    fixture.living -= {f"{name}#d" for name in silent.split()}
                    self.assertEqual(status, await fixture.begin())

        run_scenario(scenario)

    def test_no_definite_answer_until_the_live_members_are_known(self) -> None:
        async def scenario() -> None:
            fixture = Fixture()
            fixture.part(1, "s3#d", "s2#d")
            await fixture.begin()
            fixture.known = False
            self.assertEqual("serving", await fixture.state())
            self.assertEqual(503, await fixture.begin("s2"))

        run_scenario(scenario)

    def test_a_machine_with_another_disk_may_be_retired_again(self) -> None:
        async def scenario() -> None:
            fixture = Fixture()
            await fixture.begin()
            fixture.living = {"s1#e", "s2#d", "s3#d", "s4#d"}
            fixture.put("member/s1", {"role": "store", "disk": "e", "zone": "a", "region": "r"})
            self.assertEqual(200, await fixture.begin())
            self.assertEqual(RetirementRecord("e"), fixture.control.state.record(RetirementRecord, "s1"))

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
