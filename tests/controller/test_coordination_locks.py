"""Locks without faults: mutual exclusion, fencing tokens, renewal, release and expiry."""

from __future__ import annotations

import asyncio
import unittest

from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Coordination

FREE_S = 1.5  # `freeMs` of the deployments: limit for a lock to become free after the end of its hold
MARGIN_S = 0.1


class LocksTest(unittest.TestCase):
    # Guards against two owners that hold one lock at the same time.
    def test_another_owner_gets_409_while_the_lock_is_held_and_a_higher_token_soon_after(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            sent_at = cluster.world.now
            first = await calls.acquire(cluster.boxes[0], "l1", "a1", 2000)
            turn = 0
            while (other := await calls.acquire(cluster.boxes[turn % 5], "l1", "a2", 2000)).status == 409:
                self.assertEqual(82, other.body["code"])
                turn += 1
                await asyncio.sleep(0.05)
            self.assertEqual(200, other.status)
            self.assertGreater(other.body["fence"], first.body["fence"])
            self.assertGreater(cluster.world.now - other.took_s, sent_at + 2.0)
            self.assertLess(cluster.world.now, sent_at + 2.0 + FREE_S)

        Cluster().run(scenario)

    # Guards against a hold whose duration counts from an earlier call than the last renewal.
    def test_a_renewed_lock_is_held_from_its_last_renewal(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 1000)).body["fence"]
            for turn in range(5):
                await asyncio.sleep(0.6)
                renewed_at = cluster.world.now
                renewed = await calls.renew(cluster.boxes[turn], "l1", "a1", fence, 1000)
                self.assertEqual(200, renewed.status)
            while cluster.world.now < renewed_at + 1.0:
                self.assertEqual(409, (await calls.acquire(cluster.boxes[1], "l1", "a2")).status)
                await asyncio.sleep(0.02)

        Cluster().run(scenario)

    # Guards against a holder that acquires again and gets a lower token, or loses the lock to another owner.
    def test_the_holder_that_asks_again_gets_a_token_that_is_not_lower_and_more_time(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            first = await calls.acquire(cluster.boxes[0], "l1", "a1", 1000)
            await asyncio.sleep(0.8)
            again = await calls.acquire(cluster.boxes[1], "l1", "a1", 1000)
            self.assertEqual(200, again.status)
            self.assertGreaterEqual(again.body["fence"], first.body["fence"])
            await asyncio.sleep(0.8)
            self.assertEqual(409, (await calls.acquire(cluster.boxes[2], "l1", "a2")).status)

        Cluster().run(scenario)

    # Guards against a hold that can't be renewed with the older of its tokens.
    def test_each_token_of_one_hold_renews_it(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            first = (await calls.acquire(cluster.boxes[0], "l1", "a1")).body["fence"]
            second = (await calls.acquire(cluster.boxes[0], "l1", "a1")).body["fence"]
            for fence in (first, second):
                self.assertEqual(200, (await calls.renew(cluster.boxes[1], "l1", "a1", fence)).status)

        Cluster().run(scenario)

    # Guards against a renewal of an ended hold that extends, or takes over, another one.
    def test_a_renewal_with_a_token_of_an_earlier_hold_gets_409(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            box = cluster.boxes[0]
            earlier = (await calls.acquire(box, "l1", "a1")).body["fence"]
            await calls.release(box, "l1", "a1", earlier)
            self.assertEqual(409, (await calls.renew(box, "l1", "a1", earlier)).status, "released")
            later = (await calls.acquire(box, "l1", "a1", 500)).body["fence"]
            self.assertEqual(409, (await calls.renew(box, "l1", "a1", earlier)).status, "the next hold is another one")
            self.assertEqual(409, (await calls.renew(box, "l1", "a2", later)).status, "another owner")
            await asyncio.sleep(0.5 + MARGIN_S)
            self.assertEqual(409, (await calls.renew(box, "l1", "a1", later)).status, "expired")
            self.assertEqual(200, (await calls.acquire(box, "l1", "a2")).status)
            self.assertEqual(409, (await calls.renew(box, "l1", "a1", later)).status, "another holds it")

        Cluster().run(scenario)

    # Guards against a delayed release that frees a later hold of the same or another owner.
    def test_a_late_release_of_an_earlier_hold_frees_nothing(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            box = cluster.boxes[0]
            earlier = (await calls.acquire(box, "l1", "a1")).body["fence"]
            await calls.release(box, "l1", "a1", earlier)
            later = (await calls.acquire(box, "l1", "a1")).body["fence"]
            for owner, fence in (("a1", earlier), ("a2", later), ("a1", later + 1)):
                self.assertEqual(200, (await calls.release(box, "l1", owner, fence)).status)
                self.assertEqual(409, (await calls.acquire(box, "l1", "a3")).status)

        Cluster().run(scenario)

    # Guards against a release that was sent before its owner acquired the lock again, and ends the new hold.
    def test_a_late_release_with_a_token_before_the_holder_asked_again_frees_nothing(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            box = cluster.boxes[0]
            first = (await calls.acquire(box, "l1", "a1")).body["fence"]
            again = (await calls.acquire(box, "l1", "a1")).body["fence"]
            self.assertGreater(again, first)
            self.assertEqual(200, (await calls.release(box, "l1", "a1", first)).status)
            self.assertEqual(409, (await calls.acquire(box, "l1", "a2")).status)

        Cluster().run(scenario)

    def test_a_release_is_answered_200_whether_or_not_the_lock_is_held(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for turn, box in enumerate(cluster.boxes):
                self.assertEqual(200, (await calls.release(box, f"unknown{turn}", "a1", 7)).status)
                fence = (await calls.acquire(box, "l1", "a1")).body["fence"]
                self.assertEqual(200, (await calls.release(box, "l1", "a1", fence)).status)
                self.assertEqual(200, (await calls.release(box, "l1", "a1", fence)).status)

        Cluster().run(scenario)

    def test_a_released_lock_is_free_at_once(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 60_000)).body["fence"]
            await calls.release(cluster.boxes[1], "l1", "a1", fence)
            other = await calls.acquire(cluster.boxes[2], "l1", "a2")
            self.assertEqual(200, other.status)
            self.assertGreater(other.body["fence"], fence)

        Cluster().run(scenario)

    # Guards against a short renewal that extends the expiry of a longer hold.
    def test_a_short_renewal_does_not_make_a_long_hold_longer_than_it_was(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            box = cluster.boxes[0]
            began = cluster.world.now
            fence = (await calls.acquire(box, "l1", "a1", 4000)).body["fence"]
            await asyncio.sleep(3.0)
            self.assertEqual(200, (await calls.renew(box, "l1", "a1", fence, 500)).status)
            while (other := await calls.acquire(box, "l1", "a2")).status == 409:
                await asyncio.sleep(0.05)
            self.assertEqual(200, other.status)
            self.assertGreater(cluster.world.now, began + 4.0, "the answer to the renewal may have been lost")
            self.assertLess(cluster.world.now, began + 4.0 + FREE_S)

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
