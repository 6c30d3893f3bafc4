"""The outcome of a write in flight when its primary steps down (otterreach/controller/primary.py)."""

from __future__ import annotations

import asyncio
import unittest
from random import Random
from typing import Any

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.local_replica import LocalReplica, Mode
from otterreach.controller.messages import AppendItems
from otterreach.controller.primary import Primary
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.store import ReplicatedStore
from otterreach.simulation.disk import Disk, VirtualJournal
from tests import virtual
from tests.controller.test_node import SETTINGS


class Follower:
    """Stands in for the relay follower: records published items and sends nothing."""

    def __init__(self) -> None:
        self.store, self.relay, self.primary, self.fresh_at = ReplicatedStore(), self, "", 0.0
        self.published: list[Any] = []

    def publish(self, items: list[Any]) -> None:
        self.published += items


class Endpoint:
    """Stands in for the backup: each append gets its reply from the test."""

    def __init__(self) -> None:
        self.appended: list[AppendItems] = []
        self.answers: asyncio.Queue[Any] = asyncio.Queue()

    def spawn(self, work: Any) -> Any:
        return asyncio.ensure_future(work)

    async def call(self, address: str, value: Any, timeout_s: float) -> Any:
        if not isinstance(value, AppendItems):
            return Failure(Code.TIMED_OUT, "not asked here")
        self.appended.append(value)
        return await self.answers.get()


class Election:
    in_progress = False

    async def run(self) -> bool:
        return False


class PrimaryFixture:
    """A primary with one backup."""

    def __init__(self) -> None:
        self.replica = LocalReplica(SETTINGS, VirtualJournal(Disk(Random(1))))  # type: ignore[arg-type]
        self.replica.id = "me"
        self.endpoint, self.follower = Endpoint(), Follower()
        parts: Any = self.endpoint, self.follower, Election()
        self.primary = Primary(self.replica, *parts)
        self.lead(1)

    def lead(self, number: int) -> None:
        """Begin an epoch as after an election that this controller has won."""
        witnesses = [ControllerInfo(name, name, f"{name}:1", "z") for name in ("me", "other")]
        self.replica.accepted = EpochConfiguration(number, "me", ["other"], witnesses)
        self.primary.begin_epoch([])

    def step_down(self) -> None:
        self.replica.set_mode(Mode.FOLLOWING, "another leads")
        for observer in self.replica.on_step_down:
            observer()


class WriteTest(unittest.TestCase):
    def test_write_is_acknowledged_once_all_members_have_it(self) -> None:
        async def scenario() -> None:
            fixture = PrimaryFixture()
            write = fixture.primary.propose([("config", b"1")])
            fixture.endpoint.answers.put_nowait(Done())
            self.assertTrue(await write)

        virtual.run(scenario)

    def test_abandoned_write_is_not_appended_in_a_later_epoch(self) -> None:
        """Another primary may have led in between without the write, and accepted a conflicting one."""

        async def scenario() -> None:
            fixture = PrimaryFixture()
            write = fixture.primary.propose([("config", b"1")])
            await asyncio.sleep(0.01)
            fixture.step_down()
            fixture.lead(3)
            fixture.endpoint.answers.put_nowait(Failure(Code.TIMED_OUT, "no answer in time"))
            await asyncio.sleep(0.01)
            self.assertEqual(1, len(fixture.endpoint.appended), "appended once more in the later epoch")
            self.assertTrue(write.done())
            self.assertFalse(write.result())
            later = fixture.primary.propose([("config", b"2")])
            fixture.endpoint.answers.put_nowait(Done())
            self.assertTrue(await later)
            self.assertEqual([1, 3], [append.number for append in fixture.endpoint.appended])

        virtual.run(scenario)


if __name__ == "__main__":
    unittest.main()
