"""Limits of the coordination state: calls beyond them get 429 and change nothing; obsolete records are collected."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from otterreach.controller import event_collection, lock_collection
from otterreach.controller.api import coordination_answers, keys
from otterreach.controller.coordination_records import EventRecord, FenceRecord, LockRecord
from otterreach.controller.watch_hub import WatchHub
from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Answer, Coordination

LIMIT = 81  # Code.COORDINATION_LIMIT, as callers see it
FULL_BYTES = 1700
RESERVED_BYTES = 200
HISTORY_S = 3.0
COLLECTED_WITHIN_S = 2.0  # from the end of the retention period
EVENT_RETENTION_S = HISTORY_S + 10.0  # retention of events; later puts may overwrite them after that


class BoundsTest(unittest.TestCase):
    def assert_limit(self, answer: Answer) -> None:
        self.assertEqual((429, LIMIT), (answer.status, answer.body.get("code")))

    def test_beyond_the_number_of_names_new_ones_get_429_and_the_others_go_on(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for number in range(3):
                box = cluster.boxes[number]
                self.assertEqual(200, (await calls.acquire(box, f"l{number}", "a1")).status)
                self.assertEqual(200, (await calls.number(box, f"n{number}")).status)
                self.assertEqual(200, (await calls.put(box, f"g1.{number}", f"v{number}", 0)).status)
            revisions = [cluster.control(box).state.revision for box in cluster.boxes]
            for box in cluster.boxes:
                self.assert_limit(await calls.acquire(box, "l3", "a1"))
                self.assert_limit(await calls.number(box, "n3"))
                self.assert_limit(await calls.put(box, "g1.3", "v3", 0))
                self.assertEqual(404, (await calls.read(box, "g1.3")).status)
            self.assertEqual(revisions, [cluster.control(box).state.revision for box in cluster.boxes])
            self.assertEqual(200, (await calls.acquire(cluster.boxes[3], "l1", "a1")).status)
            self.assertEqual({"value": 2}, (await calls.number(cluster.boxes[3], "n1")).body)
            self.assertEqual({"rev": 4}, (await calls.put(cluster.boxes[3], "g1.1", "v4", 2)).body)

        with (
            mock.patch.object(coordination_answers, "MAX_NAMES", 3),
            mock.patch.object(keys, "MAX_NAMES", 3),
        ):
            Cluster().run(scenario)

    def test_beyond_the_events_that_a_group_may_keep_a_put_gets_429_until_they_are_old(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for number in range(1, 6):
                self.assertEqual({"rev": number}, (await calls.put(cluster.boxes[0], "g1.a", f"v{number}", None)).body)
            self.assert_limit(await calls.put(cluster.boxes[1], "g1.a", "v6", None))
            self.assertEqual({"rev": 1}, (await calls.put(cluster.boxes[1], "g2.a", "w1", None)).body)
            self.assertEqual({"rev": 1}, (await calls.put(cluster.boxes[2], "g1.a", "v1", None)).body, "sent again")
            await asyncio.sleep(EVENT_RETENTION_S + 0.1)
            self.assertEqual({"rev": 6}, (await calls.put(cluster.boxes[1], "g1.a", "v6", None)).body)

        with mock.patch.object(keys, "MAX_GROUP_EVENTS", 5):
            Cluster(slas={"historyS": HISTORY_S}).run(scenario)

    def test_beyond_the_bytes_of_a_groups_events_a_put_gets_429_until_they_are_old(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            value = "x" * 1000
            answers = [await calls.put(cluster.boxes[0], "g1.a", f"{value}{n}", None) for n in range(6)]
            self.assertEqual([200] * 5 + [429], [answer.status for answer in answers])
            await asyncio.sleep(EVENT_RETENTION_S + 0.1)
            answers = [await calls.put(cluster.boxes[0], "g1.a", f"{value}{n}", None) for n in range(6, 11)]
            self.assertEqual([200] * 5, [answer.status for answer in answers])

        with mock.patch.object(keys, "MAX_GROUP_BYTES", 5000):
            Cluster(slas={"historyS": HISTORY_S}).run(scenario)

    # Guards against a state that is full of expired events and rejects every put for good.
    def test_a_state_that_was_full_of_events_takes_puts_again_once_they_are_old(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            rounds = []
            last = 0
            for _ in range(3):
                first = last + 1
                while (answer := await calls.put(cluster.boxes[0], "g1.a", f"{last:4000}", None)).status == 200:
                    last += 1
                    self.assertEqual({"rev": last}, answer.body)
                self.assert_limit(answer)
                rounds.append(last + 1 - first)
                self.assertEqual(200, (await calls.watch(cluster.boxes[1], "g1", first - 1 or 1)).status)
                await asyncio.sleep(EVENT_RETENTION_S + COLLECTED_WITHIN_S)
            self.assertGreater(min(rounds), 5)
            self.assertEqual({"events": [], "rev": last}, (await calls.watch(cluster.boxes[1], "g1", last)).body)
            for box in [cluster.primary, *cluster.backups]:
                self.assertEqual(1, len(cluster.control(box).state.records(EventRecord)))

        with (
            mock.patch.object(keys, "MAX_STATE_BYTES", 50_000),
            mock.patch.object(event_collection, "COLLECTION_THRESHOLD_BYTES", 0),
        ):
            Cluster(slas={"historyS": HISTORY_S}).run(scenario)

    # Guards against a state that outgrows the disk: locks and numbers count towards the limit as well as keys.
    def test_a_full_state_takes_no_new_locks_and_numbers(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            self.assertEqual(200, (await calls.acquire(cluster.boxes[0], "l1", "a1")).status)
            self.assertEqual(200, (await calls.number(cluster.boxes[0], "n1")).status)
            with (
                mock.patch.object(keys, "MAX_STATE_BYTES", FULL_BYTES),
                mock.patch.object(coordination_answers, "MAX_STATE_BYTES", FULL_BYTES),
                mock.patch.object(coordination_answers, "RESERVED_BYTES", RESERVED_BYTES),
            ):
                self.assertLess(cluster.control(cluster.primary).state.bytes, FULL_BYTES)
                self.assertEqual(200, (await calls.put(cluster.boxes[0], "g1.a", "x" * 500, 0)).status)
                self.assertGreater(cluster.control(cluster.primary).state.bytes, FULL_BYTES + RESERVED_BYTES)
                self.assert_limit(await calls.put(cluster.boxes[0], "g1.b", "v1", 0))
                self.assert_limit(await calls.acquire(cluster.boxes[0], "l2", "a1"))
                self.assert_limit(await calls.number(cluster.boxes[0], "n2"))
                self.assertEqual(200, (await calls.acquire(cluster.boxes[1], "l1", "a1")).status)
                self.assertEqual({"value": 2}, (await calls.number(cluster.boxes[1], "n1")).body)

        Cluster().run(scenario)

    def test_beyond_the_watches_that_may_wait_others_get_429(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await calls.put(cluster.boxes[0], "g1.a", "v1", 0)
            waiting = [asyncio.ensure_future(calls.watch(box, "g1", 1, 2000)) for box in cluster.boxes[:3]]
            await asyncio.sleep(0.1)
            self.assert_limit(await calls.watch(cluster.boxes[3], "g1", 1, 2000))
            self.assertEqual({"events": [], "rev": 1}, (await calls.watch(cluster.boxes[3], "g1", 0, 2000)).body)
            self.assertEqual({"events": [], "rev": 1}, (await calls.watch(cluster.boxes[3], "g1", 1)).body)
            await calls.put(cluster.boxes[4], "g1.a", "v2", 1)
            for answer in await asyncio.gather(*waiting):
                self.assertEqual(2, answer.body["rev"])
            again = await calls.watch(cluster.boxes[3], "g1", 2, 100)
            self.assertEqual({"events": [], "rev": 2}, again.body)

        with mock.patch.object(WatchHub.__init__, "__defaults__", (3,)):
            Cluster().run(scenario)

    # Guards against abandoned watches that count towards the limit for good.
    def test_a_watch_whose_caller_has_left_counts_until_its_time_is_over(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await calls.put(cluster.boxes[0], "g1.a", "v1", 0)
            for box in cluster.boxes[:3]:
                path = "/watch/g1.?past=1&waitMs=1000"
                self.assertEqual(0, (await calls.send(box, "GET", path, timeout_s=0.2)).status)
            await asyncio.sleep(1.1)
            self.assertEqual(200, (await calls.watch(cluster.boxes[3], "g1", 1, 500)).status)

        with mock.patch.object(WatchHub.__init__, "__defaults__", (3,)):
            Cluster().run(scenario)


class CollectionTest(unittest.TestCase):
    # Guards against reuse of a fencing token after the record of the lock was collected.
    def test_records_of_ended_holds_are_collected_and_tokens_still_rise(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            ended = (await calls.acquire(cluster.boxes[0], "ended", "a1", 500)).body["fence"]
            long_ms = 1000 * int(lock_collection.RETENTION_S + COLLECTED_WITHIN_S + 60)
            held = (await calls.acquire(cluster.boxes[0], "held", "a1", long_ms)).body["fence"]
            await asyncio.sleep(lock_collection.RETENTION_S - 5)
            state = cluster.control(cluster.primary).state
            self.assertIsNotNone(state.record(LockRecord, "ended"), "for a while a late renewal is told that it lost")
            await asyncio.sleep(COLLECTED_WITHIN_S + 5 + 1)
            for box in [cluster.primary, *cluster.backups]:
                self.assertEqual(["held"], list(cluster.control(box).state.records(LockRecord)))
                self.assertEqual(FenceRecord(held), cluster.control(box).state.record(FenceRecord))
            self.assertEqual(409, (await calls.renew(cluster.boxes[0], "ended", "a1", ended)).status)
            self.assertEqual(409, (await calls.acquire(cluster.boxes[1], "held", "a2")).status)
            self.assertEqual(200, (await calls.renew(cluster.boxes[1], "held", "a1", held)).status)
            self.assertGreater((await calls.acquire(cluster.boxes[1], "ended", "a2")).body["fence"], held)

        Cluster().run(scenario)

    # Guards against tokens that restart after the tombstones of locks were collected and all controllers lost power.
    def test_tokens_rise_after_the_tombstones_of_locks_are_collected(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            fence = 0
            for _ in range(5):
                fence = (await calls.acquire(cluster.boxes[0], "l1", "a1", 500)).body["fence"]
                await calls.release(cluster.boxes[0], "l1", "a1", fence)
            await asyncio.sleep(600.0)
            self.assertEqual(0, cluster.control(cluster.primary).state.count(LockRecord), "not even a tombstone")
            for box in cluster.boxes:
                box.power_off()
            for box in cluster.boxes:
                box.power_on()
            self.assertGreater((await calls.repeat(calls.acquire, "l1", "a2")).body["fence"], fence)

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
