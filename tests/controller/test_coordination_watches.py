"""Watches on any controller: contents and timing of the answers, also during failover."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Answer, Coordination

FAILOVER_S = 3.0
AT_ONCE_S = 0.03  # a few network hops
HISTORY_S = 5.0
EVENT_RETENTION_S = HISTORY_S + 10.0  # retention of events; later puts may overwrite them after that
LONG_MS = 20_000


def revisions(answer: Answer) -> list[int]:
    """Return the revisions of the events in an answer, in order."""
    return [event["rev"] for event in answer.body["events"]]


async def put_all(calls: Coordination, group: str, first: int, last: int) -> None:
    """Put one value per key, with the revisions from `first` to `last`."""
    for number in range(first, last + 1):
        box = calls.cluster.boxes[number % len(calls.cluster.boxes)]
        answer = await calls.put(box, f"{group}.{number}", f"{group} value {number}", 0)
        assert answer.body == {"rev": number}, answer


class WatchTest(unittest.TestCase):
    def test_each_group_counts_from_one_for_all_its_keys(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await put_all(calls, "g1", 1, 4)
            await put_all(calls, "g2", 1, 3)
            for group, revision in (("g1", 4), ("g2", 3), ("g3", 0)):
                answer = await calls.watch(cluster.boxes[0], group, 0)
                self.assertEqual({"events": [], "rev": revision}, answer.body)

        Cluster().run(scenario)

    def test_past_0_is_answered_the_present_revision_at_once(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await put_all(calls, "g1", 1, 3)
            for box in cluster.boxes:
                answer = await calls.watch(box, "g1", 0, LONG_MS)
                self.assertEqual({"events": [], "rev": 3}, answer.body)
                self.assertLess(answer.took_s, AT_ONCE_S)

        Cluster().run(scenario)

    # Guards against a watch whose events skip a put, repeat one or are out of order.
    def test_a_resumed_watch_gets_each_later_put_of_its_group_once_and_rising(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await put_all(calls, "g1", 1, 6)
            await put_all(calls, "g10", 1, 2)
            for box in cluster.boxes:
                for past in range(1, 7):
                    answer = await calls.watch(box, "g1", past, 50)
                    self.assertEqual((6, list(range(past + 1, 7))), (answer.body["rev"], revisions(answer)))
            event = (await calls.watch(cluster.boxes[0], "g1", 5)).body["events"][0]
            self.assertEqual({"name": "g1.6", "value": "g1 value 6", "rev": 6}, event)

        Cluster().run(scenario)

    # Guards against late notification: a put counts by the share of its watchers that receive it in time.
    def test_a_waiting_watch_at_each_controller_gets_a_put_at_once(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await put_all(calls, "g1", 1, 1)
            ended_at: list[float] = []

            async def watch(number: int) -> Answer:
                answer = await calls.watch(cluster.boxes[number], "g1", 1, LONG_MS)
                ended_at.append(cluster.world.now)
                return answer

            waiting = [asyncio.ensure_future(watch(number)) for number in range(5)]
            await asyncio.sleep(3.0)
            await put_all(calls, "g2", 1, 1)
            put_at = cluster.world.now
            await calls.put(cluster.boxes[2], "g1.b", "v2", 0)
            for answer in await asyncio.gather(*waiting):
                self.assertEqual([{"name": "g1.b", "value": "v2", "rev": 2}], answer.body["events"])
                self.assertEqual(2, answer.body["rev"])
            self.assertLess(max(ended_at), put_at + AT_ONCE_S)
            self.assertGreater(min(ended_at), put_at)

        Cluster().run(scenario)

    def test_a_watch_without_news_is_answered_once_its_time_is_over(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await put_all(calls, "g1", 1, 2)
            for box in cluster.boxes:
                answer = await calls.watch(box, "g1", 2, 700)
                self.assertEqual({"events": [], "rev": 2}, answer.body)
                self.assertAlmostEqual(0.7, answer.took_s, delta=AT_ONCE_S)

        Cluster().run(scenario)


class WatchFailoverTest(unittest.TestCase):
    # Guards against events that are lost when a watch resumes from a saved revision on another primary.
    def test_a_watch_resumes_from_each_revision_at_the_next_primary(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await put_all(calls, "g1", 1, 5)
            cluster.primary.power_off()
            await cluster.until(cluster.primaries, FAILOVER_S, "another primary")
            for past in range(6):
                answer = await calls.repeat(calls.watch, "g1", past)
                expected = list(range(past + 1, 6)) if past else []
                self.assertEqual((5, expected), (answer.body["rev"], revisions(answer)))

        Cluster().run(scenario)

    # Guards against a watch that goes on waiting for a primary that is lost.
    def test_a_watch_that_waits_beside_a_lost_primary_is_answered_503(self) -> None:
        async def lose_power(cluster: Cluster) -> None:
            cluster.primary.power_off()

        async def kill(cluster: Cluster) -> None:
            cluster.primary.kill()

        async def freeze(cluster: Cluster) -> None:
            cluster.primary.freeze()

        async def terminate(cluster: Cluster) -> None:
            cluster.terminate(cluster.primary)

        for fault in (lose_power, kill, freeze, terminate):
            with self.subTest(fault.__name__):

                async def scenario(cluster: Cluster, fault: Any = fault) -> None:
                    calls = Coordination(cluster)
                    await put_all(calls, "g1", 1, 1)
                    others = cluster.others(cluster.primary)
                    waiting = [asyncio.ensure_future(calls.watch(box, "g1", 1, LONG_MS)) for box in others]
                    await asyncio.sleep(1.0)
                    began = cluster.world.now
                    await fault(cluster)
                    for answer in await asyncio.gather(*waiting):
                        self.assertEqual(503, answer.status)
                    self.assertLess(cluster.world.now - began, 1.0)

                Cluster().run(scenario)

    # Guards against a watch that goes on waiting on a controller that shuts down or is no longer the primary.
    def test_a_watch_that_waits_at_a_primary_that_shuts_down_is_answered_503(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await put_all(calls, "g1", 1, 1)
            old = cluster.primary
            waiting = asyncio.ensure_future(calls.watch(old, "g1", 1, LONG_MS))
            await asyncio.sleep(1.0)
            began = cluster.world.now
            cluster.terminate(old)
            self.assertEqual(503, (await waiting).status)
            self.assertLess(cluster.world.now - began, 1.0)

        Cluster().run(scenario)

    # Guards against events skipped by a watch that resumes across a failover, with puts before and after it.
    def test_a_watch_that_resumes_through_changes_of_primary_skips_nothing(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await put_all(calls, "g1", 1, 1)
            seen: list[int] = []

            async def watch_on() -> None:
                past, turn = 1, 0
                while past < 60:
                    box = cluster.boxes[turn % 5]
                    answer = await calls.watch(box, "g1", past, 500)
                    turn += answer.status != 200
                    if answer.status == 200:
                        self.assertEqual(list(range(past + 1, answer.body["rev"] + 1)), revisions(answer))
                        seen.extend(revisions(answer))
                        past = answer.body["rev"]

            watching = asyncio.ensure_future(watch_on())
            for number in range(2, 61):
                if number in (15, 35):
                    box = cluster.primary
                    box.kill()
                    cluster.world.call_later(1.0, box.start)
                key, value = f"g1.{number % 7}", f"value {number}"
                answer = await calls.repeat(calls.put, key, value, None)
                self.assertEqual((200, {"rev": number}), (answer.status, answer.body))
            await watching
            self.assertEqual(list(range(2, 61)), seen)

        Cluster().run(scenario)


class HistoryTest(unittest.TestCase):
    # Guards against 410 for a revision that was assigned less than `historyS` ago.
    def test_410_only_for_a_revision_given_longer_ago_than_the_history_spans(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            given: list[tuple[float, int]] = [(cluster.world.now, 1)]
            gone = 0
            await put_all(calls, "g1", 1, 1)
            for number in range(2, 80):
                await asyncio.sleep(0.5)
                await put_all(calls, "g1", number, number)
                given.append((cluster.world.now, number))
                for at, past in given:
                    answer = await calls.watch(cluster.boxes[number % 5], "g1", past)
                    if cluster.world.now - at < HISTORY_S:
                        self.assertEqual(200, answer.status)
                    if answer.status == 200:
                        self.assertEqual(list(range(past + 1, number + 1)), revisions(answer))
                    else:
                        self.assertEqual((410, 84), (answer.status, answer.body["code"]))
                        gone += 1
            self.assertGreater(gone, 0)

        Cluster(slas={"historyS": HISTORY_S}).run(scenario)

    # Guards against a history that is lost, or truncated too early, at a failover or a restart.
    def test_the_history_spans_its_time_through_failovers_and_a_loss_of_all_power(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await put_all(calls, "g1", 1, 4)
            await asyncio.sleep(EVENT_RETENTION_S - HISTORY_S / 2)
            given_at = cluster.world.now
            past = (await calls.watch(cluster.boxes[0], "g1", 0)).body["rev"]
            box = cluster.primary
            box.kill()
            cluster.world.call_later(0.5, box.start)
            for number in range(5, 9):
                key = f"g1.{number}"
                await calls.repeat(calls.put, key, f"value of {key}", 0)
            for each in cluster.boxes:
                each.power_off()
            await asyncio.sleep(0.5)
            for each in cluster.boxes:
                each.power_on()
            answer = await calls.repeat(calls.watch, "g1", past)
            self.assertLess(cluster.world.now - given_at, HISTORY_S)
            self.assertEqual((200, 8, [5, 6, 7, 8]), (answer.status, answer.body["rev"], revisions(answer)))

        Cluster(slas={"historyS": HISTORY_S}).run(scenario)


if __name__ == "__main__":
    unittest.main()
