"""Keys without faults: compare-and-put, the revision in 412, and retried puts."""

from __future__ import annotations

import asyncio
import unittest

from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Coordination

HISTORY_S = 3.0
EVENT_RETENTION_S = HISTORY_S + 10.0  # retention of events; later puts may overwrite them after that


class KeysTest(unittest.TestCase):
    # Guards against lost updates: a put with `expect` succeeds over a later revision.
    def test_a_put_on_another_revision_gets_412_with_the_keys_revision_and_changes_nothing(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await calls.put(cluster.boxes[0], "g1.other", "v0", 0)
            self.assertEqual({"rev": 2}, (await calls.put(cluster.boxes[0], "g1.a", "v1", 0)).body)
            for turn, expect in enumerate((0, 1, 3, 99)):
                answer = await calls.put(cluster.boxes[turn], "g1.a", f"other {expect}", expect)
                self.assertEqual((412, {"rev": 2}), (answer.status, answer.body))
            absent = await calls.put(cluster.boxes[0], "g1.none", "v2", 1)
            self.assertEqual((412, {"rev": 0}), (absent.status, absent.body))
            self.assertEqual(404, (await calls.read(cluster.boxes[1], "g1.none")).status)
            self.assertEqual({"value": "v1", "rev": 2}, (await calls.read(cluster.boxes[2], "g1.a")).body)
            self.assertEqual(2, (await calls.watch(cluster.boxes[3], "g1", 0)).body["rev"])

        Cluster().run(scenario)

    def test_of_puts_on_one_revision_at_the_same_moment_one_succeeds(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for expect in range(5):
                puts = [calls.put(box, "g1.a", f"{expect} {box.name}", expect) for box in cluster.boxes]
                answers = await asyncio.gather(*puts)
                self.assertEqual([200, 412, 412, 412, 412], sorted(answer.status for answer in answers))
                self.assertEqual({expect + 1}, {answer.body["rev"] for answer in answers})

        Cluster().run(scenario)

    # Guards against a retried put that gets a second revision, or 412.
    def test_a_repeated_put_gets_its_first_revision_though_others_came_since(self) -> None:
        for expect in (0, None):
            with self.subTest(expect=expect):

                async def scenario(cluster: Cluster, expect: int | None = expect) -> None:
                    calls = Coordination(cluster)
                    first = await calls.put(cluster.boxes[0], "g1.a", "v1", expect)
                    for number in range(2, 8):
                        await calls.put(cluster.boxes[0], "g1.a", f"v{number}", None)
                    for box in cluster.boxes:
                        again = await calls.put(box, "g1.a", "v1", expect)
                        self.assertEqual((200, first.body), (again.status, again.body))
                    self.assertEqual({"value": "v7", "rev": 7}, (await calls.read(cluster.boxes[0], "g1.a")).body)
                    self.assertEqual(7, (await calls.watch(cluster.boxes[0], "g1", 0)).body["rev"])

                Cluster().run(scenario)

    def test_two_copies_of_a_put_at_the_same_moment_have_one_revision(self) -> None:
        for expect in (0, None):
            with self.subTest(expect=expect):

                async def scenario(cluster: Cluster, expect: int | None = expect) -> None:
                    calls = Coordination(cluster)
                    answers = await asyncio.gather(*(calls.put(box, "g1.a", "v1", expect) for box in cluster.boxes))
                    self.assertEqual([(200, {"rev": 1})] * 5, [(each.status, each.body) for each in answers])

                Cluster().run(scenario)

    # Guards against the newest put of a key being forgotten with the history of its group.
    def test_the_newest_put_of_a_key_is_recognised_long_after_its_event_is_gone(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            first = await calls.put(cluster.boxes[0], "g1.a", "v1", 0)
            for number in range(6):
                await asyncio.sleep(EVENT_RETENTION_S + 0.5)
                await calls.put(cluster.boxes[0], f"g1.b{number}", f"w{number}", 0)
            self.assertEqual(410, (await calls.watch(cluster.boxes[1], "g1", 1)).status)
            again = await calls.put(cluster.boxes[1], "g1.a", "v1", 0)
            self.assertEqual((200, first.body), (again.status, again.body))

        Cluster(slas={"historyS": HISTORY_S}).run(scenario)

    def test_a_key_without_a_dot_is_a_group_of_its_own(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for key in ("g1", "g1.a", "g1.a.b"):
                await calls.put(cluster.boxes[0], key, f"value of {key}", 0)
            self.assertEqual(1, (await calls.read(cluster.boxes[0], "g1")).body["rev"])
            self.assertEqual(1, (await calls.read(cluster.boxes[0], "g1.a")).body["rev"])
            self.assertEqual(2, (await calls.read(cluster.boxes[0], "g1.a.b")).body["rev"])

        Cluster().run(scenario)

    def test_values_come_back_as_they_were_put(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for number, value in enumerate(("", " ", "é\u2028\U0001f9a6", '"\\\x00\n', "x" * 65_536), start=1):
                put = await calls.put(cluster.boxes[number % 5], f"g1.{number}", value, 0)
                self.assertEqual((200, {"rev": number}), (put.status, put.body))
                read = await calls.read(cluster.boxes[(number + 1) % 5], f"g1.{number}")
                self.assertEqual({"value": value, "rev": number}, read.body)
                watch = await calls.watch(cluster.boxes[number % 5], "g1", number - 1)
                if number > 1:
                    self.assertEqual(value, watch.body["events"][0]["value"])

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
