"""controller/primary.py: what becomes of a write under way when its primary steps down."""

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
from otterreach.runtime.rpc import Done
from otterreach.runtime.store import ReplicatedStore
from otterreach.simulation.disk import Disk, VirtualJournal
from tests import virtual
from tests.controller.test_node import SETTINGS


class Follower:
    """Takes no part: nothing is published to anyone."""

    def __init__(self) -> None:
        self.store, self.relay, self.primary, self.fresh_at = ReplicatedStore(), self, "", 0.0
        self.published: list[Any] = []

    def publish(self, items: list[Any]) -> None:
        self.published += items


class Endpoint:
    """The backup: each append is answered when the test says so."""

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


class Stage:
    """A primary with one backup."""

    def __init__(self) -> None:
        self.replica = LocalReplica(SETTINGS, VirtualJournal(Disk(Random(1))))  # type: ignore[arg-type]
        self.replica.id = "me"
        self.endpoint, self.follower = Endpoint(), Follower()
        parts: Any = self.endpoint, self.follower, Election()
        self.primary = Primary(self.replica, *parts)
        self.lead(1)

    def lead(self, number: int) -> None:
        """An election that this controller has won."""
        witnesses = [ControllerInfo(name, name, f"{name}:1", "z") for name in ("me", "other")]
        self.replica.accepted = EpochConfiguration(number, "me", ["other"], witnesses)
        self.primary.begin_epoch([])

    def step_down(self) -> None:
        self.replica.become(Mode.FOLLOWING, "another leads")
        for told in self.replica.on_step_down:
            told()


class WriteTest(unittest.TestCase):
    def test_at_all_members(self) -> None:
        async def scene() -> None:
            stage = Stage()
            write = stage.primary.propose([("config", b"1")])
            stage.endpoint.answers.put_nowait(Done())
            self.assertTrue(await write)

        virtual.run(scene)

    def test_is_not_taken_into_a_later_term(self) -> None:
        """Between the two terms another may have led without it, and have accepted something else in its place."""

        async def scene() -> None:
            stage = Stage()
            write = stage.primary.propose([("config", b"1")])
            await asyncio.sleep(0.01)
            stage.step_down()
            stage.lead(3)
            stage.endpoint.answers.put_nowait(Failure(Code.TIMED_OUT, "no answer in time"))
            await asyncio.sleep(0.01)
            self.assertEqual(1, len(stage.endpoint.appended), "appended once more in the later term")
            self.assertTrue(write.done())
            self.assertFalse(write.result())
            later = stage.primary.propose([("config", b"2")])
            stage.endpoint.answers.put_nowait(Done())
            self.assertTrue(await later)
            self.assertEqual([1, 3], [append.number for append in stage.endpoint.appended])

        virtual.run(scene)


if __name__ == "__main__":
    unittest.main()
