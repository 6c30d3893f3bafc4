"""Coordination after a power loss on all controllers, and after machines were wiped and replaced."""

from __future__ import annotations

import asyncio
import unittest

from otterreach.simulation.world import SimulatedMachine
from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Coordination

START_S = 3.0
FREE_S = 1.5  # `freeMs` of the deployments
SYNC_S = 4.5  # limit for full replication after a loss


async def lose_all_power(cluster: Cluster, wiped: tuple[SimulatedMachine, ...] = (), down_s: float = 0.5) -> None:
    """Power off all controllers at once. Those in `wiped` lose their disks and are not started again."""
    for box in cluster.boxes:
        box.power_off(wipe=box in wiped)
    await asyncio.sleep(down_s)
    for box in cluster.others(*wiped):
        box.power_on()
    await cluster.until(cluster.primaries, START_S, "a primary")


class PowerTest(unittest.TestCase):
    # Guards against a hold that ends too early because the replayed journal doesn't contain the times of its calls.
    def test_a_hold_outlasts_a_loss_of_all_power(self) -> None:
        for down_s in (0.1, 1.0):
            with self.subTest(down_s=down_s):

                async def scenario(cluster: Cluster, down_s: float = down_s) -> None:
                    calls = Coordination(cluster)
                    sent_at = cluster.world.now
                    fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 4000)).body["fence"]
                    await asyncio.sleep(0.5)
                    await lose_all_power(cluster, down_s=down_s)
                    while (other := await calls.acquire(cluster.boxes[1], "l1", "a2")).status != 200:
                        await asyncio.sleep(0.05)
                    self.assertGreater(cluster.world.now, sent_at + 4.0)
                    self.assertGreater(other.body["fence"], fence)

                Cluster().run(scenario)

    # Guards against 409 long after the expiry, because a replayed journal restarts each hold.
    def test_a_hold_ends_in_time_also_after_a_loss_of_all_power(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            sent_at = cluster.world.now
            await calls.acquire(cluster.boxes[0], "l1", "a1", 10_000)
            await asyncio.sleep(8.0)
            await lose_all_power(cluster, down_s=0.3)
            stable_at = cluster.world.now
            while (await calls.acquire(cluster.boxes[1], "l1", "a2")).status != 200:
                await asyncio.sleep(0.05)
            self.assertGreater(cluster.world.now, sent_at + 10.0)
            self.assertLess(cluster.world.now, max(sent_at + 10.0, stable_at) + FREE_S)

        Cluster().run(scenario)

    # Guards against counters and fencing tokens that restart after the locks were released and their records deleted.
    def test_counts_go_on_after_a_loss_of_all_power(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for _ in range(3):
                fence = (await calls.acquire(cluster.boxes[0], "l1", "a1")).body["fence"]
                await calls.release(cluster.boxes[0], "l1", "a1", fence)
                value = (await calls.number(cluster.boxes[0], "n1")).body["value"]
                last = await calls.put(cluster.boxes[0], "g1.a", f"value {value}", None)
            for _ in range(2):
                await lose_all_power(cluster)
                again = await calls.repeat(calls.acquire, "l1", "a2")
                self.assertGreater(again.body["fence"], fence)
                fence = again.body["fence"]
                await calls.repeat(calls.release, "l1", "a2", fence)
                number = await calls.repeat(calls.number, "n1")
                self.assertGreater(number.body["value"], value)
                value = number.body["value"]
                text = f"value {value}"
                put = await calls.repeat(calls.put, "g1.a", text, None)
                self.assertEqual(last.body["rev"] + 1, put.body["rev"])
                last = put

        Cluster().run(scenario)

    # Guards against a put that is retried after the power loss and gets a second revision.
    def test_a_repeated_put_gets_its_first_revision_after_a_loss_of_all_power(self) -> None:
        for expect in (0, None):
            with self.subTest(expect=expect):

                async def scenario(cluster: Cluster, expect: int | None = expect) -> None:
                    calls = Coordination(cluster)
                    first = await calls.put(cluster.boxes[0], "g1.a", "v1", expect)
                    await calls.put(cluster.boxes[1], "g1.a", "v2", 1)
                    await calls.put(cluster.boxes[2], "g1.b", "v3", 0)
                    await lose_all_power(cluster)
                    again = await calls.repeat(calls.put, "g1.a", "v1", expect)
                    self.assertEqual((200, first.body), (again.status, again.body))

                Cluster().run(scenario)

    # Guards against a put in flight at the power loss that gets two revisions or whose 504 is treated as a rejection.
    def test_a_put_under_way_when_all_power_is_lost_has_one_revision_or_none(self) -> None:
        for delay_s in (0.0005, 0.001, 0.002, 0.003, 0.004, 0.006, 0.01):
            with self.subTest(delay_s=delay_s):

                async def scenario(cluster: Cluster, delay_s: float = delay_s) -> None:
                    calls = Coordination(cluster)
                    await calls.put(cluster.primary, "g1.a", "v1", 0)
                    putting = asyncio.ensure_future(calls.put(cluster.primary, "g1.a", "v2", 1))
                    await asyncio.sleep(delay_s)
                    await lose_all_power(cluster)
                    answer = await putting
                    again = await calls.repeat(calls.put, "g1.a", "v2", 1)
                    self.assertEqual((200, {"rev": 2}), (again.status, again.body))
                    if answer.status == 200:
                        self.assertEqual(again.body, answer.body)
                    watch = await calls.repeat(calls.watch, "g1", 1)
                    self.assertEqual([{"name": "g1.a", "value": "v2", "rev": 2}], watch.body["events"])

                Cluster().run(scenario)


class ReplacedMachineTest(unittest.TestCase):
    # Guards against state that is on one machine only, or that is lost with a replaced one.
    def test_acknowledged_state_outlives_each_machine_in_turn(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            fence, value, revision = 0, 0, 0
            for _ in range(2):
                for role in ("primary", "backup"):
                    lock = await calls.repeat(calls.acquire, "l1", "a1", 500)
                    number = await calls.repeat(calls.number, "n1")
                    text = f"value {number.body['value']}"
                    put = await calls.repeat(calls.put, "g1.a", text, None)
                    self.assertGreater(lock.body["fence"], fence)
                    self.assertGreater(number.body["value"], value)
                    self.assertEqual(revision + 1, put.body["rev"])
                    fence, value, revision = lock.body["fence"], number.body["value"], put.body["rev"]
                    cluster.replace(cluster.primary if role == "primary" else cluster.backups[0])
                    await asyncio.sleep(SYNC_S)
            read = await calls.repeat(calls.read, "g1.a")
            self.assertEqual({"value": f"value {value}", "rev": revision}, read.body)
            watch = await calls.repeat(calls.watch, "g1", 1)
            self.assertEqual(list(range(2, revision + 1)), [event["rev"] for event in watch.body["events"]])

        Cluster().run(scenario)

    # Guards against lost state if the tolerated disk loss coincides with a power loss on all controllers.
    def test_acknowledged_state_outlives_the_primarys_disk_and_all_power(self) -> None:
        for of_primary in (True, False):
            with self.subTest(of_primary=of_primary):

                async def scenario(cluster: Cluster, of_primary: bool = of_primary) -> None:
                    calls = Coordination(cluster)
                    sent_at = cluster.world.now
                    fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 4000)).body["fence"]
                    value = (await calls.number(cluster.boxes[0], "n1")).body["value"]
                    await calls.put(cluster.boxes[0], "g1.a", "v1", 0)
                    lost = cluster.primary if of_primary else cluster.backups[0]
                    await lose_all_power(cluster, wiped=(lost,))
                    self.assertEqual(409, (await calls.repeat(calls.acquire, "l1", "a2")).status)
                    renewed = await calls.repeat(calls.renew, "l1", "a1", fence)
                    self.assertEqual(200, renewed.status)
                    self.assertLess(cluster.world.now, sent_at + 4.0)
                    self.assertGreater((await calls.repeat(calls.number, "n1")).body["value"], value)
                    read = await calls.repeat(calls.read, "g1.a")
                    self.assertEqual({"value": "v1", "rev": 1}, read.body)

                Cluster().run(scenario)

    # Guards against late answers after the maximum tolerated disk loss and a power loss on all controllers at once.
    def test_acknowledged_state_is_answered_in_time_after_two_disks_and_all_power(self) -> None:
        for empty_again in (False, True):
            with self.subTest(empty_again=empty_again):

                async def scenario(cluster: Cluster, empty_again: bool = empty_again) -> None:
                    calls = Coordination(cluster)
                    fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 20_000)).body["fence"]
                    value = (await calls.number(cluster.boxes[0], "n1")).body["value"]
                    await calls.put(cluster.boxes[0], "g1.a", "v1", 0)
                    await calls.put(cluster.boxes[0], "g1.b", "v2", 0)
                    wiped = (cluster.primary, cluster.backups[0])
                    began = cluster.world.now + 0.5
                    await lose_all_power(cluster, wiped)
                    if empty_again:
                        for box in wiped:
                            box.power_on()
                    renewed, other, number, read, watch, put = await asyncio.gather(
                        calls.repeat(calls.renew, "l1", "a1", fence),
                        calls.repeat(calls.acquire, "l2", "a2"),
                        calls.repeat(calls.number, "n1"),
                        calls.repeat(calls.read, "g1.a"),
                        calls.repeat(calls.watch, "g1", 1),
                        calls.repeat(calls.put, "g1.c", "v3", 0),
                    )
                    self.assertEqual(200, renewed.status)
                    self.assertGreater(other.body["fence"], fence)
                    self.assertGreater(number.body["value"], value)
                    self.assertEqual({"value": "v1", "rev": 1}, read.body)
                    self.assertEqual({"name": "g1.b", "value": "v2", "rev": 2}, watch.body["events"][0])
                    self.assertEqual({"rev": 3}, put.body)
                    self.assertLess(cluster.world.now - began, START_S)

                Cluster(survive={"nodes": 2}).run(scenario)

    # Guards against a newly joined machine that serves nothing, or outdated state.
    def test_a_new_machine_answers_as_the_others_do(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await calls.put(cluster.boxes[0], "g1.a", "v1", 0)
            cluster.primary.power_off(wipe=True)
            new = cluster.add(1)
            await asyncio.sleep(SYNC_S)
            self.assertEqual({"value": "v1", "rev": 1}, (await calls.read(new, "g1.a")).body)
            self.assertEqual(200, (await calls.acquire(new, "l1", "a1")).status)
            self.assertEqual(1, (await calls.watch(new, "g1", 0)).body["rev"])

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
