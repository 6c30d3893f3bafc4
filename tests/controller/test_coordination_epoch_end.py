"""The number of revisions per epoch is limited: the primary begins a new epoch before it is exhausted."""

from __future__ import annotations

import asyncio
import unittest

from otterreach.controller.writes import MAX_COUNT, NEW_EPOCH_COUNT
from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Answer, Coordination

PROMPT_S = 1.0


class EpochEndTest(unittest.TestCase):
    # Guards against writes that are rejected for good once an epoch has no revisions left.
    def test_calls_are_served_through_the_end_of_the_count(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 60_000)).body["fence"]
            await calls.put(cluster.boxes[0], "g1.a", "v0", 0)
            primary = cluster.primary
            control = cluster.control(primary)
            number = control.number
            control.primary.writes._count_in_epoch = NEW_EPOCH_COUNT - 20
            waiting = asyncio.ensure_future(calls.watch(cluster.boxes[1], "g1", 30, 20_000))
            answers: list[Answer] = []
            values = []
            for turn in range(40):
                box = cluster.boxes[turn % 5]
                answers.append(await calls.put(box, "g1.a", f"v{turn + 1}", turn + 1))
                values.append((await calls.number(box, "n1")).body["value"])
                await asyncio.sleep(0.01)
            self.assertEqual([(200, {"rev": turn + 2}) for turn in range(40)], [(a.status, a.body) for a in answers])
            self.assertLess(max(answer.took_s for answer in answers), PROMPT_S)
            self.assertEqual(list(range(1, 41)), values)
            self.assertGreater(control.number, number, "a new epoch")
            self.assertIs(primary, cluster.primary)
            self.assertEqual(200, (await calls.renew(cluster.boxes[2], "l1", "a1", fence)).status)
            self.assertEqual(31, (await waiting).body["rev"])

        Cluster().run(scenario)

    # Guards against revisions beyond their epoch, and against wrong answers to writes at the very end of the count.
    def test_at_the_very_end_a_write_is_refused_until_the_new_epoch_and_nothing_is_lost(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await calls.put(cluster.boxes[0], "g1.a", "v1", 0)
            control = cluster.control(cluster.primary)
            control.primary.writes._count_in_epoch = MAX_COUNT - 1
            began = cluster.world.now
            answers = await asyncio.gather(
                *(calls.put(cluster.boxes[turn % 5], f"g1.{turn}", f"value {turn}", 0) for turn in range(10))
            )
            self.assertEqual({200, 503}, {answer.status for answer in answers})
            for turn in range(10):
                answer = await calls.repeat(calls.put, f"g1.{turn}", f"value {turn}", 0)
                if answers[turn].status == 200:
                    self.assertEqual(answers[turn].body, answer.body)
            self.assertLess(cluster.world.now - began, PROMPT_S)
            self.assertEqual(11, (await calls.repeat(calls.watch, "g1", 0)).body["rev"])

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
