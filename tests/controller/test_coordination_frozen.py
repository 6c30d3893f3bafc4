"""Controllers whose processes are frozen for a while and then continue."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import NO_ANSWER, Coordination

FAILOVER_S = 3.0
LATE_CALLS: tuple[tuple[str, str, dict[str, Any]], ...] = (
    ("POST", "/locks/l1", {"owner": "a1", "holdMs": 60_000}),
    ("POST", "/numbers/n1", {}),
    ("PUT", "/cells/g1.late", {"value": "late", "expect": 0}),
)
COPIES = 5  # of each late call, on separate connections


class FrozenPrimaryTest(unittest.TestCase):
    # Guards against split brain: a primary that thaws goes on answering after the next one has been elected.
    def test_a_primary_that_thaws_accepts_nothing_beside_the_next(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            old = cluster.primary
            fence = (await calls.acquire(old, "l1", "a1", 1000)).body["fence"]
            await calls.put(old, "g1.a", "v1", 0)
            value = (await calls.number(old, "n1")).body["value"]
            old.freeze()
            await cluster.until(lambda: cluster.led_by(cluster.others(old)), FAILOVER_S, "another primary")
            new = next(box for box in cluster.primaries() if box is not old)
            await asyncio.sleep(1.0)
            taken = await calls.acquire(new, "l1", "a2", 5000)
            self.assertEqual(200, taken.status)
            self.assertEqual(200, (await calls.put(new, "g1.a", "v2", 1)).status)
            value = (await calls.number(new, "n1")).body["value"]
            waiting = [
                asyncio.ensure_future(calls.renew(old, "l1", "a1", fence)),
                asyncio.ensure_future(calls.acquire(old, "l1", "a1")),
                asyncio.ensure_future(calls.release(old, "l1", "a2", taken.body["fence"])),
                asyncio.ensure_future(calls.put(old, "g1.a", "v3", 1)),
                asyncio.ensure_future(calls.number(old, "n1")),
            ]
            reading = asyncio.ensure_future(calls.read(old, "g1.a"))
            watching = asyncio.ensure_future(calls.watch(old, "g1", 1))
            await asyncio.sleep(0.5)
            old.thaw()
            for answer in await asyncio.gather(*waiting):
                self.assertEqual(503, answer.status)
            read, watch = await reading, await watching
            if read.status != 503:
                self.assertEqual((200, {"value": "v2", "rev": 2}), (read.status, read.body))
            if watch.status != 503:
                self.assertEqual((200, 2, 1), (watch.status, watch.body["rev"], len(watch.body["events"])))
            self.assertEqual(200, (await calls.renew(new, "l1", "a2", taken.body["fence"])).status)
            self.assertGreater((await calls.number(new, "n1")).body["value"], value)
            self.assertEqual({"value": "v2", "rev": 2}, (await calls.read(new, "g1.a")).body)

        Cluster().run(scenario)

    # Guards against a call in flight at the freeze that both primaries accept, or that is rejected and takes effect.
    def test_calls_under_way_at_the_freeze_are_in_force_or_not_as_their_answers_say(self) -> None:
        for late in (False, True):
            for delay_s in (0.0, 0.0005, 0.001, 0.0015, 0.002, 0.003, 0.004):
                with self.subTest(delay_s=delay_s, late=late):

                    async def scenario(cluster: Cluster, delay_s: float = delay_s, late: bool = late) -> None:
                        calls = Coordination(cluster)
                        old = cluster.primary
                        putting = asyncio.ensure_future(calls.put(old, "g1.a", "v1", 0))
                        acquiring = asyncio.ensure_future(calls.acquire(old, "l1", "a1", 10_000))
                        await asyncio.sleep(delay_s)
                        old.freeze(late)
                        put, acquired = await asyncio.gather(putting, acquiring)
                        await cluster.until(lambda: cluster.led_by(cluster.others(old)), FAILOVER_S, "another primary")
                        old.thaw()
                        await asyncio.sleep(1.0)
                        read = await calls.repeat(calls.read, "g1.a")
                        other = await calls.repeat(calls.acquire, "l1", "a2")
                        if put.status == 200:
                            self.assertEqual({"value": "v1", "rev": 1}, read.body)
                        if acquired.status == 200:
                            self.assertEqual(409, other.status)
                        if put.status == 503:
                            self.assertEqual(404, read.status)
                        if acquired.status == 503:
                            self.assertEqual(200, other.status)

                    Cluster().run(scenario)

    # Guards against a frozen primary that underestimates the age of a hold, or grants it twice.
    def test_a_hold_runs_on_while_all_controllers_stand_still(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            sent_at = cluster.world.now
            fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 3000)).body["fence"]
            for box in cluster.boxes:
                box.freeze()
            await asyncio.sleep(2.0)
            for box in cluster.boxes:
                box.thaw()
            while (other := await calls.acquire(cluster.boxes[1], "l1", "a2")).status != 200:
                self.assertLess(cluster.world.now - sent_at, 3.0 + 1.5)
                await asyncio.sleep(0.03)
            self.assertGreater(cluster.world.now - sent_at, 3.0)
            self.assertGreater(other.body["fence"], fence)

        Cluster().run(scenario)


class LateCallsTest(unittest.TestCase):
    # Guards against calls that take effect seconds after their callers timed out, such as a hold without a holder.
    def test_calls_that_came_while_a_controller_stood_still_are_refused_and_change_nothing(self) -> None:
        for seed in range(1, 5):  # each with another order of events after the thaw
            for of_primary in (False, True):
                with self.subTest(of_primary=of_primary, seed=seed):

                    async def scenario(cluster: Cluster, of_primary: bool = of_primary) -> None:
                        calls = Coordination(cluster)
                        first = (await calls.number(cluster.boxes[0], "n1")).body["value"]
                        box = cluster.primary if of_primary else cluster.others(cluster.primary)[0]
                        box.freeze()
                        await asyncio.sleep(0.1)
                        late = [
                            asyncio.ensure_future(calls.send(box, method, path, body, timeout_s=5.0))
                            for method, path, body in LATE_CALLS * COPIES
                        ]
                        await asyncio.sleep(2.0)
                        box.thaw()
                        for answer in await asyncio.gather(*late):
                            self.assertEqual(503, answer.status)
                        await asyncio.sleep(1.0)
                        self.assertEqual(200, (await calls.repeat(calls.acquire, "l1", "a2")).status)
                        self.assertEqual(404, (await calls.repeat(calls.read, "g1.late")).status)
                        second = (await calls.repeat(calls.number, "n1")).body["value"]
                        self.assertEqual(first + 1, second)

                    Cluster(seed=seed).run(scenario)

    # Guards against the same for calls that the controller had forwarded to a frozen primary.
    def test_calls_forwarded_to_a_primary_that_stands_still_end_without_a_clear_answer(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            old = cluster.primary
            box = cluster.others(old)[0]
            old.freeze()
            late = [asyncio.ensure_future(calls.send(box, method, path, body)) for method, path, body in LATE_CALLS]
            for answer in await asyncio.gather(*late):
                self.assertIn(answer.status, (504, NO_ANSWER))
                self.assertLess(answer.took_s, 0.95)
            await cluster.until(lambda: cluster.led_by(cluster.others(old)), FAILOVER_S, "another primary")
            new = next(box for box in cluster.primaries() if box is not old)
            old.thaw()
            await asyncio.sleep(1.0)
            self.assertEqual(200, (await calls.acquire(new, "l1", "a2")).status)
            self.assertEqual(404, (await calls.read(new, "g1.late")).status)

        Cluster().run(scenario)

    # Guards against a controller that goes on rejecting calls after it has thawed.
    def test_a_controller_serves_again_soon_after_it_thawed(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            box = cluster.others(cluster.primary)[0]
            box.freeze()
            await asyncio.sleep(3.0)
            box.thaw()
            await asyncio.sleep(0.5)
            self.assertEqual(200, (await calls.acquire(box, "l1", "a1")).status)

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
