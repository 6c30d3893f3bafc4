"""Network partitions that isolate the primary from the other controllers, while callers reach both sides."""

from __future__ import annotations

import asyncio
import unittest

from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import NO_ANSWER, Coordination

FAILOVER_S = 3.0
PROMPT_S = 1.0  # time-out after which a caller turns to another controller
NOT_TAKEN = (409, 429, 503)


class CutTest(unittest.TestCase):
    # Guards against split brain: an isolated primary goes on answering after the next one has been elected.
    def test_a_cut_primary_accepts_no_call_and_answers_no_read(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            old = cluster.primary
            fence = (await calls.acquire(old, "l1", "a1", 1000)).body["fence"]
            await calls.put(old, "g1.a", "v1", 0)
            number = (await calls.number(old, "n1")).body["value"]
            cluster.isolate(old)
            await cluster.until(lambda: cluster.led_by(cluster.others(old)), FAILOVER_S, "another primary")
            new = cluster.primary
            self.assertIsNot(new, old)
            self.assertEqual(200, (await calls.put(new, "g1.a", "v2", 1)).status)
            for method, path, body in (
                ("POST", "/locks/l2", {"owner": "a1", "holdMs": 1000}),
                ("PUT", "/locks/l1", {"owner": "a1", "fence": fence, "holdMs": 1000}),
                ("DELETE", "/locks/l1", {"owner": "a1", "fence": fence}),
                ("POST", "/numbers/n1", {}),
                ("PUT", "/cells/g1.a", {"value": "v3", "expect": 1}),
                ("GET", "/cells/g1.a", None),
                ("GET", "/cells/g1.none", None),
                ("GET", "/watch/g1.?past=0&waitMs=0", None),
                ("GET", "/watch/g1.?past=1&waitMs=0", None),
            ):
                answer = await calls.send(old, method, path, body)
                self.assertEqual(503, answer.status, f"{method} {path}")
                self.assertLess(answer.took_s, PROMPT_S)
            cluster.heal()
            later = await calls.repeat(calls.number, "n1")
            self.assertGreater(later.body["value"], number)

        Cluster().run(scenario)

    # Guards against two holders, and against a 503 for a renewal that took effect: the primary is isolated during it.
    def test_a_renewal_under_way_at_the_cut_is_in_force_or_not_as_its_answer_says(self) -> None:
        for delay_s in (0.0, 0.0005, 0.001, 0.002, 0.003, 0.004, 0.006):
            with self.subTest(delay_s=delay_s):

                async def scenario(cluster: Cluster, delay_s: float = delay_s) -> None:
                    calls = Coordination(cluster)
                    old = cluster.primary
                    fence = (await calls.acquire(old, "l1", "a1", 1500)).body["fence"]
                    await asyncio.sleep(1.2)
                    sent_at = cluster.world.now
                    renewing = asyncio.ensure_future(calls.renew(old, "l1", "a1", fence, 5000))
                    await asyncio.sleep(delay_s)
                    cluster.isolate(old)
                    renewed = await renewing
                    await cluster.until(lambda: cluster.led_by(cluster.others(old)), FAILOVER_S, "another primary")
                    while (await calls.acquire(cluster.primary, "l1", "a2")).status != 200:
                        await asyncio.sleep(0.05)
                    held_s = cluster.world.now - sent_at
                    if renewed.status == 200:
                        self.assertGreater(held_s, 5.0)
                    elif renewed.status in NOT_TAKEN:
                        self.assertLess(held_s, FAILOVER_S)

                Cluster().run(scenario)

    # Guards against a watch that goes on waiting on a primary that is not notified of further puts.
    def test_a_watch_that_waits_at_a_primary_is_answered_503_once_that_is_cut_off(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            old = cluster.primary
            await calls.put(old, "g1.a", "v1", 0)
            waiting = asyncio.ensure_future(calls.watch(old, "g1", 1, 20_000))
            await asyncio.sleep(0.5)
            cut_at = cluster.world.now
            cluster.isolate(old)
            answer = await waiting
            self.assertEqual(503, answer.status)
            self.assertLess(cluster.world.now - cut_at, PROMPT_S)

        Cluster().run(scenario)

    # Guards against the same on a controller that is on the primary's side of the partition.
    def test_a_watch_that_waits_beside_a_cut_primary_is_answered_503(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            old = cluster.primary
            await calls.put(old, "g1.a", "v1", 0)
            beside = next(box for box in cluster.others(old) if box not in cluster.backups)
            waiting = asyncio.ensure_future(calls.watch(beside, "g1", 1, 20_000))
            await asyncio.sleep(0.5)
            cut_at = cluster.world.now
            cluster.cut([old, beside], cluster.others(old, beside))
            answer = await waiting
            self.assertEqual(503, answer.status)
            self.assertLess(cluster.world.now - cut_at, PROMPT_S)

        Cluster().run(scenario)

    # Guards against a 503 for a put in flight at the partition that becomes visible later.
    def test_a_put_under_way_at_the_cut_is_not_refused_and_then_shown(self) -> None:
        for delay_s in (0.0, 0.0005, 0.001, 0.002, 0.003, 0.004, 0.006):
            with self.subTest(delay_s=delay_s):

                async def scenario(cluster: Cluster, delay_s: float = delay_s) -> None:
                    calls = Coordination(cluster)
                    old = cluster.primary
                    putting = asyncio.ensure_future(calls.put(old, "g1.a", "v1", 0))
                    await asyncio.sleep(delay_s)
                    cluster.isolate(old)
                    answer = await putting
                    self.assertIn(answer.status, (200, 503, 504, NO_ANSWER))
                    self.assertLess(answer.took_s, PROMPT_S)
                    await asyncio.sleep(2.0)
                    cluster.heal()
                    await asyncio.sleep(2.0)
                    read = await calls.repeat(calls.read, "g1.a")
                    if answer.status == 200:
                        self.assertEqual({"value": "v1", "rev": 1}, read.body)
                    if answer.status == 503:
                        self.assertEqual(404, read.status)

                Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
