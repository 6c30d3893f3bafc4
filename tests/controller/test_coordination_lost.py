"""Acknowledged locks, numbers, keys and watches survive a loss of power on all controllers."""

from __future__ import annotations

import asyncio
import unittest

from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Coordination

ANSWERED_WITHIN_S = 3.0  # minimum time for which each call is retried at the end of a simulated day


class LostTest(unittest.TestCase):
    # Guards against answers that are late, or older than what was acknowledged.
    def test_acknowledged_keys_numbers_locks_and_watches_are_answered_after_all_controllers_lost_power(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            box = cluster.primary
            held = await calls.acquire(box, "held", "a3.7", 10_000)
            released = await calls.acquire(box, "released", "a3.7")
            number = await calls.number(box, "n2")
            first = await calls.put(box, "g1.2d", "5c0e7a21d94b36f8", 0)
            second = await calls.put(box, "g1.2e", "71be0a4c00d1f2a9", 0)
            acknowledged = [held, released, number, first, second]
            self.assertEqual([200] * 5, [answer.status for answer in acknowledged])
            self.assertEqual(200, (await calls.release(box, "released", "a3.7", released.body["fence"])).status)

            for each in cluster.boxes:
                each.power_off()
            await asyncio.sleep(1.0)
            for each in cluster.boxes:
                each.power_on()
            began = cluster.world.now
            await cluster.until(cluster.primaries, ANSWERED_WITHIN_S, "a primary")
            left_s = began + ANSWERED_WITHIN_S - cluster.world.now

            read = await calls.until_clear(lambda box: calls.read(box, "g1.2d"), left_s)
            watch = await calls.until_clear(lambda box: calls.watch(box, "g1", first.body["rev"]), left_s)
            next_number = await calls.until_clear(lambda box: calls.number(box, "n2"), left_s)
            again = await calls.until_clear(lambda box: calls.acquire(box, "released", "b1.1"), left_s)
            other = await calls.until_clear(lambda box: calls.acquire(box, "held", "b1.1"), left_s)
            renewed = await calls.until_clear(lambda box: calls.renew(box, "held", "a3.7", held.body["fence"]), left_s)
            self.assertLess(cluster.world.now - began, ANSWERED_WITHIN_S)

            self.assertEqual({"value": "5c0e7a21d94b36f8", "rev": first.body["rev"]}, read.body)
            event = {"name": "g1.2e", "value": "71be0a4c00d1f2a9", "rev": second.body["rev"]}
            self.assertEqual({"events": [event], "rev": second.body["rev"]}, watch.body)
            self.assertGreater(next_number.body["value"], number.body["value"])
            self.assertEqual(200, again.status)
            self.assertGreater(again.body["fence"], released.body["fence"])
            self.assertEqual(409, other.status, "its holder still counts itself as such")
            self.assertEqual(200, renewed.status, "its holder still counts itself as such")

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
