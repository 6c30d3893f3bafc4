"""Failover of the primary: acknowledged locks, numbers and keys stay valid."""

from __future__ import annotations

import asyncio
import unittest

from otterreach.simulation.world import SimulatedMachine
from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Coordination

FREE_S = 1.5  # `freeMs` of the deployments: limit from the end of a hold, or from when the core is stable again
FAILOVER_S = 3.0
RETRY_S = 0.03


async def fail_over(cluster: Cluster) -> SimulatedMachine:
    """Power off the primary for good, and return the next one."""
    lost = cluster.primary
    lost.power_off()
    await cluster.until(cluster.primaries, FAILOVER_S, "another primary")
    return cluster.primary


async def owner_changes_at(cluster: Cluster, calls: Coordination, lock: str, owner: str) -> tuple[float, int]:
    """Ask the running controllers in turn for the lock; return the time at which it was granted and the token."""
    turn = 0
    while True:
        running = [box for box in cluster.boxes if box.up]
        answer = await calls.acquire(running[turn % len(running)], lock, owner)
        if answer.status == 200:
            return cluster.world.now, answer.body["fence"]
        turn += 1
        await asyncio.sleep(RETRY_S)


class LockFailoverTest(unittest.TestCase):
    # Guards against a new primary that ends a hold before it has expired for its holder, or long after.
    def test_a_hold_ends_after_its_time_and_not_long_after_it(self) -> None:
        for hold_ms, wait_s in ((2000, 0.0), (4000, 1.0), (6000, 5.0)):
            with self.subTest(hold_ms=hold_ms, wait_s=wait_s):

                async def scenario(cluster: Cluster, hold_ms: int = hold_ms, wait_s: float = wait_s) -> None:
                    calls = Coordination(cluster)
                    sent_at = cluster.world.now
                    fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", hold_ms)).body["fence"]
                    await asyncio.sleep(wait_s)
                    await fail_over(cluster)
                    stable_at = cluster.world.now
                    granted_at, next_fence = await owner_changes_at(cluster, calls, "l1", "a2")
                    self.assertGreater(next_fence, fence)
                    self.assertGreater(granted_at, sent_at + hold_ms / 1000)
                    self.assertLess(granted_at, max(sent_at + hold_ms / 1000, stable_at) + FREE_S)

                Cluster().run(scenario)

    # Guards against 409 long after a hold's expiry from a primary that received the state only after the call.
    def test_a_hold_ends_in_time_also_after_two_changes_of_primary(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            sent_at = cluster.world.now
            await calls.acquire(cluster.boxes[0], "l1", "a1", 10_000)
            await asyncio.sleep(6.0)
            await fail_over(cluster)
            await asyncio.sleep(2.0)
            await fail_over(cluster)
            granted_at, _ = await owner_changes_at(cluster, calls, "l1", "a2")
            self.assertGreater(granted_at, sent_at + 10.0)
            self.assertLess(granted_at, sent_at + 10.0 + FREE_S)

        Cluster().run(scenario)

    # Guards against 409 long after a hold's expiry from a primary whose process was started after the call.
    def test_a_hold_ends_in_time_also_where_the_next_primary_was_restarted_since(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            sent_at = cluster.world.now
            await calls.acquire(cluster.boxes[0], "l1", "a1", 10_000)
            await asyncio.sleep(5.0)
            for backup in cluster.backups:
                backup.kill()
                backup.start()
            await asyncio.sleep(3.0)
            await fail_over(cluster)
            granted_at, _ = await owner_changes_at(cluster, calls, "l1", "a2")
            self.assertGreater(granted_at, sent_at + 10.0)
            self.assertLess(granted_at, sent_at + 10.0 + FREE_S)

        Cluster().run(scenario)

    # Guards against 409 long after a hold's expiry from a primary that was killed and became primary again.
    def test_a_hold_ends_in_time_also_where_the_primary_was_restarted(self) -> None:
        for down_s in (0.0, 0.3, 0.5):
            with self.subTest(down_s=down_s):

                async def scenario(cluster: Cluster, down_s: float = down_s) -> None:
                    calls = Coordination(cluster)
                    sent_at = cluster.world.now
                    await calls.acquire(cluster.boxes[0], "l1", "a1", 10_000)
                    await asyncio.sleep(7.0)
                    primary = cluster.primary
                    primary.kill()
                    await asyncio.sleep(down_s)
                    primary.start()
                    await cluster.until(cluster.primaries, FAILOVER_S, "a primary")
                    granted_at, _ = await owner_changes_at(cluster, calls, "l1", "a2")
                    self.assertGreater(granted_at, sent_at + 10.0)
                    self.assertLess(granted_at, sent_at + 10.0 + FREE_S)

                Cluster().run(scenario)

    # Guards against two holders: a renewal accepted by the old primary is unknown to the next one.
    def test_a_renewal_counts_at_the_next_primary(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 2500)).body["fence"]
            await asyncio.sleep(2.0)
            renewed_at = cluster.world.now
            self.assertEqual(200, (await calls.renew(cluster.boxes[1], "l1", "a1", fence, 2500)).status)
            await fail_over(cluster)
            granted_at, _ = await owner_changes_at(cluster, calls, "l1", "a2")
            self.assertGreater(granted_at, renewed_at + 2.5)
            self.assertLess(granted_at, renewed_at + 2.5 + FREE_S)

        Cluster().run(scenario)

    # Guards against a holder that loses its lock at a failover although it renews in time.
    def test_the_holder_renews_and_releases_at_the_next_primary(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 5000)).body["fence"]
            box = await fail_over(cluster)
            renewed = await calls.until_clear(lambda _: calls.renew(box, "l1", "a1", fence, 5000))
            self.assertEqual(200, renewed.status)
            self.assertEqual(409, (await calls.acquire(box, "l1", "a2")).status)
            self.assertEqual(200, (await calls.release(box, "l1", "a1", fence)).status)
            self.assertEqual(200, (await calls.acquire(box, "l1", "a2")).status)

        Cluster().run(scenario)

    # Guards against reuse of a fencing token after its lock was released or its hold expired.
    def test_tokens_rise_across_changes_of_primary_over_released_and_expired_holds(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            fences = []
            for owner in ("a1", "a2", "a3"):
                fences.append((await owner_changes_at(cluster, calls, "l1", owner))[1])
                await calls.repeat(calls.release, "l1", owner, fences[-1])
                fences.append((await owner_changes_at(cluster, calls, "l1", owner))[1])
                fences.append((await owner_changes_at(cluster, calls, "l2", owner))[1])
                if owner != "a3":
                    await fail_over(cluster)
                    await asyncio.sleep(4.0)
            self.assertEqual(sorted(set(fences)), fences)

        Cluster().run(scenario)


class NumberFailoverTest(unittest.TestCase):
    # Guards against a new primary that returns a number again, or a lower one.
    def test_numbers_rise_across_changes_of_primary(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            values: list[int] = []
            for _ in range(3):
                for _ in range(4):
                    answer = await calls.repeat(calls.number, "n1")
                    values.append(answer.body["value"])
                if len(values) < 12:
                    await fail_over(cluster)
                    await asyncio.sleep(3.0)
            self.assertEqual(sorted(set(values)), values)
            self.assertEqual(12, len(values))

        Cluster().run(scenario)


class KeyFailoverTest(unittest.TestCase):
    # Guards against a put that is retried on another primary and gets a second revision, or 412.
    def test_a_repeated_put_gets_its_first_revision_at_the_next_primary(self) -> None:
        for expect in (0, None):
            with self.subTest(expect=expect):

                async def scenario(cluster: Cluster, expect: int | None = expect) -> None:
                    calls = Coordination(cluster)
                    first = await calls.put(cluster.boxes[0], "g1.a", "v1", expect)
                    await calls.put(cluster.boxes[1], "g1.a", "v2", first.body["rev"])
                    await calls.put(cluster.boxes[2], "g1.b", "v3", None)
                    await fail_over(cluster)
                    again = await calls.repeat(calls.put, "g1.a", "v1", expect)
                    self.assertEqual((200, first.body), (again.status, again.body))
                    read = await calls.repeat(calls.read, "g1.a")
                    self.assertEqual({"value": "v2", "rev": 2}, read.body)

                Cluster().run(scenario)

    # Guards against a new primary that assigns a group's revision twice, or accepts a put over a later one.
    def test_a_groups_count_goes_on_at_the_next_primary(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for number in range(1, 4):
                answer = await calls.put(cluster.boxes[0], f"g1.{number}", f"v{number}", 0)
                self.assertEqual({"rev": number}, answer.body)
            await fail_over(cluster)
            over_later = await calls.repeat(calls.put, "g1.3", "v4", 2)
            self.assertEqual((412, {"rev": 3}), (over_later.status, over_later.body))
            next_put = await calls.repeat(calls.put, "g1.1", "v5", 1)
            self.assertEqual((200, {"rev": 4}), (next_put.status, next_put.body))

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
