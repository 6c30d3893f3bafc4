"""412, 429 and 503 guarantee that a call has no effect, now or later; an unknown outcome gets another answer."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import NO_ANSWER, Answer, Coordination

FAILOVER_S = 3.0
CALL_TIMEOUT_S = 1.0
DOWN_S = 0.7
SLOW_DISK_S = 0.2
DELAYS_S = (0.0, 0.0005, 0.001, 0.0015, 0.002, 0.003, 0.005, 0.008, 0.02, 0.1, 0.3)
SLOW_DELAYS_S = (0.002, 0.02, 0.1, 0.3)


async def lose_power(cluster: Cluster) -> None:
    """Power off the primary for a while."""
    box = cluster.primary
    box.power_off()
    cluster.world.call_later(DOWN_S, box.power_on)


async def kill(cluster: Cluster) -> None:
    """Kill the primary and restart it immediately."""
    box = cluster.primary
    box.kill()
    box.start()


async def kill_backup(cluster: Cluster) -> None:
    """Kill one of the backups, which each write waits for."""
    cluster.backups[0].kill()


async def lose_backups(cluster: Cluster) -> None:
    """Partition the primary from its backups for a while."""
    cluster.cut([cluster.primary], cluster.backups)
    cluster.world.call_later(DOWN_S, cluster.heal)


async def lose_answers(cluster: Cluster) -> None:
    """Drop the messages to the primary for a while; its own messages arrive."""
    cluster.cut(cluster.others(cluster.primary), [cluster.primary], both_ways=False)
    cluster.world.call_later(2 * DOWN_S, cluster.heal)


async def hand_over(cluster: Cluster) -> None:
    """Shut the primary down gracefully; it transfers the leadership."""
    cluster.terminate(cluster.primary)


FAULTS = (lose_power, kill, kill_backup, lose_backups, lose_answers, hand_over)


class PromisesTest(unittest.TestCase):
    # Guards against a put that was answered 503 and becomes visible later.
    def test_a_put_answered_503_never_shows_up_and_one_answered_200_always_does(self) -> None:
        for slow_s, delays_s in ((0.0, DELAYS_S), (SLOW_DISK_S, SLOW_DELAYS_S)):
            for fault in FAULTS:
                for delay_s in delays_s:
                    with self.subTest(fault=fault.__name__, delay_s=delay_s, slow_s=slow_s):

                        async def scenario(
                            cluster: Cluster, fault: Any = fault, delay_s: float = delay_s, slow_s: float = slow_s
                        ) -> None:
                            calls = Coordination(cluster)
                            for box in cluster.boxes:
                                box.disk.slow_s = slow_s
                            putting = [
                                asyncio.ensure_future(calls.put(box, f"g1.{box.name}", box.name, 0))
                                for box in cluster.boxes
                            ]
                            await asyncio.sleep(delay_s)
                            await fault(cluster)
                            answers = await asyncio.gather(*putting)
                            await asyncio.sleep(2.0)
                            for box in cluster.boxes:
                                box.disk.slow_s = 0.0
                            await asyncio.sleep(2.0)
                            for box, answer in zip(cluster.boxes, answers, strict=True):
                                await self._check_key(calls, box.name, answer)

                        Cluster().run(scenario)

    async def _check_key(self, calls: Coordination, value: str, answer: Answer) -> None:
        self.assertIn(answer.status, (200, 503, 504, NO_ANSWER))
        self.assertLess(answer.took_s, CALL_TIMEOUT_S + 0.01)
        read = await calls.repeat(calls.read, f"g1.{value}")
        if answer.status == 503:
            self.assertEqual(404, read.status)
        if answer.status == 200:
            self.assertEqual((value, answer.body["rev"]), (read.body["value"], read.body["rev"]))

    # Guards against an acquisition that was answered 503 and took the lock, or one answered 200 that did not.
    def test_an_acquisition_answered_503_takes_no_lock(self) -> None:
        for fault in FAULTS:
            for delay_s in DELAYS_S:
                with self.subTest(fault=fault.__name__, delay_s=delay_s):

                    async def scenario(cluster: Cluster, fault: Any = fault, delay_s: float = delay_s) -> None:
                        calls = Coordination(cluster)
                        acquiring = [
                            asyncio.ensure_future(calls.acquire(box, f"l-{box.name}", "a1", 60_000))
                            for box in cluster.boxes
                        ]
                        await asyncio.sleep(delay_s)
                        await fault(cluster)
                        answers = await asyncio.gather(*acquiring)
                        await asyncio.sleep(2.0)
                        for box, answer in zip(cluster.boxes, answers, strict=True):
                            lock = f"l-{box.name}"
                            other = await calls.repeat(calls.acquire, lock, "a2")
                            self.assertIn(answer.status, (200, 503, 504, NO_ANSWER))
                            if answer.status in (200, 503):
                                self.assertEqual(409 if answer.status == 200 else 200, other.status)

                    Cluster().run(scenario)

    # Guards against a write that is reported as rejected although a later primary may commit it.
    def test_a_write_whose_primary_loses_its_place_ends_without_a_clear_answer(self) -> None:
        async def scenario(cluster: Cluster) -> None:
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
                self.assertLess(answer.took_s, CALL_TIMEOUT_S)

        Cluster().run(scenario)

    def test_each_controller_answers_503_within_a_second_while_there_is_no_majority(self) -> None:
        async def scenario(cluster: Cluster) -> None:
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
                    self.assertLess(answer.took_s, CALL_TIMEOUT_S)

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
