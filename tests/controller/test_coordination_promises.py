"""412, 429 and 503 promise that nothing was done and nothing will be; whatever else is unclear gets another answer."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import NO_ANSWER, Answer, Coordination

FAILOVER_S = 3.0
PATIENCE_S = 1.0
DOWN_S = 0.7
SLOW_DISK_S = 0.2
DELAYS_S = (0.0, 0.0005, 0.001, 0.0015, 0.002, 0.003, 0.005, 0.008, 0.02, 0.1, 0.3)
SLOW_DELAYS_S = (0.002, 0.02, 0.1, 0.3)


async def lose_power(cluster: Cluster) -> None:
    """The primary, for a while."""
    box = cluster.primary
    box.power_off()
    cluster.world.plainly(DOWN_S, box.power_on)


async def kill(cluster: Cluster) -> None:
    """The primary, which is started again at once."""
    box = cluster.primary
    box.kill()
    box.start()


async def kill_backup(cluster: Cluster) -> None:
    """One of the replicas that each write waits for."""
    cluster.backups[0].kill()


async def lose_backups(cluster: Cluster) -> None:
    """The primary from its backups, for a while."""
    cluster.cut([cluster.primary], cluster.backups)
    cluster.world.plainly(DOWN_S, cluster.heal)


async def lose_answers(cluster: Cluster) -> None:
    """What the others send to the primary is lost; what it sends arrives."""
    cluster.cut(cluster.others(cluster.primary), [cluster.primary], both_ways=False)
    cluster.world.plainly(2 * DOWN_S, cluster.heal)


async def hand_over(cluster: Cluster) -> None:
    """The primary shuts down and transfers its place."""
    cluster.terminate(cluster.primary)


TROUBLES = (lose_power, kill, kill_backup, lose_backups, lose_answers, hand_over)


class PromisesTest(unittest.TestCase):
    # Guards against REFUSED: a put that was answered 503 shows up later.
    def test_a_put_answered_503_never_shows_up_and_one_answered_200_always_does(self) -> None:
        for slow_s, delays_s in ((0.0, DELAYS_S), (SLOW_DISK_S, SLOW_DELAYS_S)):
            for trouble in TROUBLES:
                for delay_s in delays_s:
                    with self.subTest(trouble=trouble.__name__, delay_s=delay_s, slow_s=slow_s):

                        async def scene(
                            cluster: Cluster, trouble: Any = trouble, delay_s: float = delay_s, slow_s: float = slow_s
                        ) -> None:
                            calls = Coordination(cluster)
                            for box in cluster.boxes:
                                box.disk.slow_s = slow_s
                            putting = [
                                asyncio.ensure_future(calls.put(box, f"g1.{box.name}", box.name, 0))
                                for box in cluster.boxes
                            ]
                            await asyncio.sleep(delay_s)
                            await trouble(cluster)
                            answers = await asyncio.gather(*putting)
                            await asyncio.sleep(2.0)
                            for box in cluster.boxes:
                                box.disk.slow_s = 0.0
                            await asyncio.sleep(2.0)
                            for box, answer in zip(cluster.boxes, answers, strict=True):
                                await self._check_key(calls, box.name, answer)

                        Cluster().play(scene)

    async def _check_key(self, calls: Coordination, value: str, answer: Answer) -> None:
        self.assertIn(answer.status, (200, 503, 504, NO_ANSWER))
        self.assertLess(answer.took_s, PATIENCE_S + 0.01)
        read = await calls.repeat(calls.read, f"g1.{value}")
        if answer.status == 503:
            self.assertEqual(404, read.status)
        if answer.status == 200:
            self.assertEqual((value, answer.body["rev"]), (read.body["value"], read.body["rev"]))

    # Guards against ONE: a lock whose acquisition was answered 503 is taken, or one answered 200 is not.
    def test_an_acquisition_answered_503_takes_no_lock(self) -> None:
        for trouble in TROUBLES:
            for delay_s in DELAYS_S:
                with self.subTest(trouble=trouble.__name__, delay_s=delay_s):

                    async def scene(cluster: Cluster, trouble: Any = trouble, delay_s: float = delay_s) -> None:
                        calls = Coordination(cluster)
                        acquiring = [
                            asyncio.ensure_future(calls.acquire(box, f"l-{box.name}", "a1", 60_000))
                            for box in cluster.boxes
                        ]
                        await asyncio.sleep(delay_s)
                        await trouble(cluster)
                        answers = await asyncio.gather(*acquiring)
                        await asyncio.sleep(2.0)
                        for box, answer in zip(cluster.boxes, answers, strict=True):
                            lock = f"l-{box.name}"
                            other = await calls.repeat(calls.acquire, lock, "a2")
                            self.assertIn(answer.status, (200, 503, 504, NO_ANSWER))
                            if answer.status in (200, 503):
                                self.assertEqual(409 if answer.status == 200 else 200, other.status)

                    Cluster().play(scene)

    # Guards against a write that is called refused though a later primary may bring it in.
    def test_a_write_whose_primary_loses_its_place_ends_without_a_clear_answer(self) -> None:
        async def scene(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            old = cluster.primary
            for box in cluster.backups:
                box.disk.slow_s = 5.0
            writing = [
                asyncio.ensure_future(calls.put(old, "g1.a", "v1", 0)),
                asyncio.ensure_future(calls.acquire(old, "l1", "a1")),
                asyncio.ensure_future(calls.number(old, "n1")),
            ]
            await asyncio.sleep(0.02)
            cluster.isolate(old)
            for answer in await asyncio.gather(*writing):
                self.assertIn(answer.status, (504, NO_ANSWER))
                self.assertLess(answer.took_s, PATIENCE_S)

        Cluster().play(scene)

    def test_each_controller_answers_503_within_a_second_while_there_is_no_majority(self) -> None:
        async def scene(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            left = cluster.boxes[:2]
            for box in cluster.boxes[2:]:
                box.power_off()
            await asyncio.sleep(2.0)
            for box in left:
                for answer in (
                    await calls.acquire(box, "l1", "a1"),
                    await calls.renew(box, "l1", "a1", 1),
                    await calls.release(box, "l1", "a1", 1),
                    await calls.number(box, "n1"),
                    await calls.put(box, "g1.a", "v1", 0),
                    await calls.read(box, "g1.a"),
                    await calls.watch(box, "g1", 0),
                    await calls.watch(box, "g1", 1, 2000),
                ):
                    self.assertEqual(503, answer.status)
                    self.assertLess(answer.took_s, PATIENCE_S)

        Cluster().play(scene)


if __name__ == "__main__":
    unittest.main()
