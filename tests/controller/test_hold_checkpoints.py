"""The records of active holds, and no others, are replaced with records of their remaining duration."""

from __future__ import annotations

import asyncio
import unittest

from otterreach.controller.coordination_records import LockRecord
from otterreach.controller.hold_checkpoints import MAX_AGE_S, MAX_CHECKPOINTS
from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Coordination

PLAN_S = 0.2  # interval of the primary's periodic work
POLL_S = 0.01


class HoldCheckpointsTest(unittest.TestCase):
    def test_the_records_of_running_holds_are_young_at_all_members_and_say_what_is_left(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            sent_at = cluster.world.now
            hold_s = 8.0
            await calls.acquire(cluster.boxes[0], "l1", "a1", round(hold_s * 1000))
            received_at = cluster.world.now
            seen = 0
            while cluster.world.now < sent_at + hold_s - 1.0:
                for box in [cluster.primary, *cluster.backups]:
                    control = cluster.control(box)
                    item = control.state.items["lock/l1"]
                    age_s = box.object.receipts.age_s(item)
                    self.assertLess(age_s, MAX_AGE_S + PLAN_S + 0.05)
                    ends_at = cluster.world.now - age_s + LockRecord.decode(item.value).hold.hold_ms / 1000
                    self.assertGreaterEqual(ends_at, sent_at + hold_s)
                    self.assertLess(ends_at, received_at + hold_s + 0.1)
                    seen += 1
                await asyncio.sleep(POLL_S)
            self.assertGreater(seen, 1000)

        Cluster().run(scenario)

    def test_locks_that_are_not_held_and_holds_that_are_renewed_cost_no_writes(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            fence = (await calls.acquire(cluster.boxes[0], "l1", "a1")).body["fence"]
            before = cluster.control(cluster.primary).state.revision
            for _ in range(10):
                await asyncio.sleep(0.3)
                await calls.renew(cluster.boxes[0], "l1", "a1", fence)
            self.assertEqual(before + 10, cluster.control(cluster.primary).state.revision)
            await calls.acquire(cluster.boxes[0], "ended", "a1", 400)
            await calls.release(cluster.boxes[0], "l1", "a1", fence)
            await asyncio.sleep(1.0)
            before = cluster.control(cluster.primary).state.revision
            await asyncio.sleep(5.0)
            self.assertEqual(before, cluster.control(cluster.primary).state.revision)

        Cluster().run(scenario)

    def test_many_holds_are_written_a_part_at_a_time(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            count = 2 * MAX_CHECKPOINTS
            for first in range(0, count, 64):
                names = [f"l{number}" for number in range(first, first + 64)]
                await asyncio.gather(*(calls.acquire(cluster.primary, name, "a1", 600_000) for name in names))
            await asyncio.sleep(5.0)
            primary = cluster.primary
            items = [cluster.control(primary).state.items[f"lock/l{number}"] for number in range(count)]
            self.assertLess(max(primary.object.receipts.age_s(item) for item in items), 2 * (MAX_AGE_S + PLAN_S))

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
