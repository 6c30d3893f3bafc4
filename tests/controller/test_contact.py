"""A primary answers only while a majority of the witnesses is in touch (docs/control-replication.md)."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from otterreach.controller.election import Election
from otterreach.controller.formation import Formation
from otterreach.controller.witness_contacts import WitnessContacts
from otterreach.simulation.world import Box
from tests.controller.controller_world import Cluster, configuration_of

UNCLEAR = (0, 503)
ANSWER_S = 0.5  # by then a caller has its 5xx
TAKE_OVER_S = 1.6


async def expect_no_answer(cluster: Cluster, box: Box, seconds: float = ANSWER_S) -> None:
    """Every kind of call ends with 503 in time: a read, a new change, one that is there already, an invalid one."""
    calls: list[tuple[str, bytes, int | None]] = [
        ("GET", b"", None),
        ("PUT", configuration_of(2, "other"), 1),
        ("PUT", configuration_of(1, "first"), 0),
        ("PUT", configuration_of(9, "late"), 7),
        ("PUT", b"{}", 1),
    ]
    replies = await asyncio.gather(*(cluster.call(box, method, "/config", body, m) for method, body, m in calls))
    for (method, body, _), (status, took, _) in zip(calls, replies, strict=True):
        assert status == 503, f"{method} {body!r}: {status} of {box.name}"
        assert took <= seconds, f"{method} {body!r}: {took:.2f} s at {box.name}"


async def expect_service(cluster: Cluster, box: Box) -> int:
    """A change on what is read is taken, is taken when it comes again, and is read back: its number."""
    status, _, base = await cluster.get(box)
    assert status == 200, status
    for _ in range(2):
        status, _ = await cluster.put(box, base, base + 1, f"gen-{base + 1}")
        assert status == 200, status
    status, _, read = await cluster.get(box)
    assert (status, read) == (200, base + 1), (status, read)
    return base + 1


async def expect_another(cluster: Cluster, old: Box) -> None:
    """Another than the old primary leads soon."""
    others = cluster.others(old)
    await cluster.until(lambda: cluster.led_by(others), TAKE_OVER_S, "another primary")


class CutTest(unittest.TestCase):
    def test_primary_alone_answers_503_in_time_and_another_leads(self) -> None:
        async def scene(cluster: Cluster) -> None:
            old = cluster.primary
            cluster.isolate(old)
            await expect_no_answer(cluster, old)
            others = cluster.others(old)
            await cluster.until(lambda: cluster.led_by(others), TAKE_OVER_S, "another primary")
            await expect_service(cluster, cluster.primary)
            await expect_no_answer(cluster, old)
            cluster.heal()
            await cluster.until(lambda: len(cluster.primaries()) == 1, 1.0, "one primary")

        Cluster().play(scene)

    def test_primary_with_all_its_backups_answers_503_without_a_majority(self) -> None:
        async def scene(cluster: Cluster) -> None:
            old, backups = cluster.primary, cluster.backups
            cluster.isolate(old, *backups)
            for _ in range(8):
                for box in (old, *backups):
                    await expect_no_answer(cluster, box)
                await asyncio.sleep(0.5)
            cluster.heal()
            await asyncio.sleep(0.5)
            self.assertEqual(cluster.primaries(), [old])  # nobody else could lead: it goes on at once
            await expect_service(cluster, old)

        Cluster().play(scene)

    def test_without_the_majority_rule_that_primary_would_answer(self) -> None:
        """The trouble above is brought about: it is the rule that keeps the answers back."""

        async def scene(cluster: Cluster) -> None:
            old, backups = cluster.primary, cluster.backups
            cluster.isolate(old, *backups)
            await asyncio.sleep(1.0)
            status, _ = await cluster.put(old, 1, 2, "cut off")
            self.assertEqual(status, 200)

        with mock.patch.object(WitnessContacts, "has_majority", lambda *_: True):
            Cluster().play(scene)

    def test_primary_with_one_of_two_backups(self) -> None:
        async def scene(cluster: Cluster) -> None:
            old = cluster.primary
            inside = cluster.backups[0]
            cluster.isolate(old, inside)
            await expect_no_answer(cluster, old)
            others = cluster.others(old, inside)
            await cluster.until(lambda: cluster.led_by(others), TAKE_OVER_S, "another primary")
            await expect_service(cluster, cluster.primary)
            await expect_no_answer(cluster, old)
            await expect_no_answer(cluster, inside)

        Cluster(survive={"nodes": 2}).play(scene)

    def test_answers_that_do_not_come_back(self) -> None:
        """The primary is heard by all and hears nobody."""

        async def scene(cluster: Cluster) -> None:
            old = cluster.primary
            others = cluster.others(old)
            cluster.cut(others, [old], both_ways=False)
            await expect_no_answer(cluster, old)
            await cluster.until(lambda: cluster.led_by(others), 2 * TAKE_OVER_S, "another primary")
            await expect_service(cluster, cluster.primary)

        Cluster().play(scene)

    def test_questions_that_do_not_get_out(self) -> None:
        """The primary hears all and is heard by nobody."""

        async def scene(cluster: Cluster) -> None:
            old = cluster.primary
            others = cluster.others(old)
            cluster.cut([old], others, both_ways=False)
            await expect_no_answer(cluster, old)
            await cluster.until(lambda: cluster.led_by(others), TAKE_OVER_S, "another primary")
            await expect_service(cluster, cluster.primary)

        Cluster().play(scene)

    def test_follower_that_cannot_reach_the_primary_answers_503_at_once(self) -> None:
        async def scene(cluster: Cluster) -> None:
            follower = next(b for b in cluster.boxes if b not in (cluster.primary, *cluster.backups))
            cluster.isolate(follower)
            await expect_no_answer(cluster, follower, 0.6)
            await asyncio.sleep(0.6)
            await expect_no_answer(cluster, follower, 0.01)

        Cluster().play(scene)

    def test_order_under_way_when_the_cut_comes_ends_unclear_and_is_taken_once(self) -> None:
        async def scene(cluster: Cluster) -> None:
            for number, moment in enumerate((0.0, 0.0005, 0.001, 0.002, 0.003, 0.004, 0.006, 0.01)):
                gen, old = number + 2, cluster.primary
                call = asyncio.ensure_future(cluster.put(old, gen - 1, gen, f"cut-{number}"))
                await asyncio.sleep(moment)
                cluster.isolate(old)
                status, took = await call
                self.assertIn(status, (*UNCLEAR, 200))
                self.assertLess(took, ANSWER_S)
                await expect_another(cluster, old)
                if status == 200:
                    read = await cluster.get(cluster.primary)
                    self.assertEqual((read[0], read[2]), (200, gen))
                status, _ = await cluster.put(cluster.primary, gen - 1, gen, f"cut-{number}")
                self.assertEqual(status, 200)
                cluster.heal()
                await asyncio.sleep(1.5)

        Cluster().play(scene)

    def test_primary_that_thaws_into_a_newer_epoch(self) -> None:
        async def scene(cluster: Cluster) -> None:
            old = cluster.primary
            write = asyncio.ensure_future(cluster.call(old, "PUT", "/config", configuration_of(2, "lost"), 1, 9.0))
            read = asyncio.ensure_future(cluster.call(old, "GET", "/config", timeout_s=9.0))
            await asyncio.sleep(0.0021)
            old.freeze()
            await cluster.until(lambda: cluster.led_by(cluster.others(old)), TAKE_OVER_S, "another primary")
            leader = cluster.primary
            gen = await expect_service(cluster, leader)
            old.thaw()
            status, _, _ = await write
            self.assertEqual(status, 503)
            status, _, _ = await read
            self.assertEqual(status, 503)
            await cluster.until(lambda: cluster.primaries() == [leader], 0.3, "the old one steps down")
            await asyncio.sleep(0.2)
            self.assertEqual((await cluster.get(old))[2], gen)

        Cluster().play(scene)


class ElectionCutTest(unittest.TestCase):
    """The candidate is cut off between two messages of its election."""

    def play(self, owner: type, step: str, before: bool) -> None:
        cluster = Cluster()
        cut_off: list[Box] = []

        def around(plain: Any) -> Any:
            async def cutting(part: Election | Formation, *args: Any, **named: Any) -> Any:
                probe = named.get("probe", False)
                due = armed and not cut_off and not probe
                if due and before:
                    isolate(part)
                result = await plain(part, *args, **named)
                if due and not before:
                    isolate(part)
                return result

            return cutting

        def isolate(part: Election | Formation) -> None:
            box = next(
                b
                for b in cluster.boxes
                if b.object and part in (cluster.control(b).election, cluster.control(b).formation)
            )
            cut_off.append(box)
            cluster.isolate(box)

        armed: list[bool] = []

        async def scene(cluster: Cluster) -> None:
            first = cluster.primary
            armed.append(True)
            first.kill()
            await cluster.until(lambda: cut_off, TAKE_OVER_S, "an election")
            first.start()
            candidate = cut_off[0]
            await asyncio.sleep(0.05)
            await expect_no_answer(cluster, candidate, 0.6)
            others = cluster.others(candidate)
            await cluster.until(
                lambda: [p for p in cluster.primaries() if p in others], 3.0, "a primary of the majority"
            )
            leader = next(p for p in cluster.primaries() if p in others)
            gen = await expect_service(cluster, leader)
            await expect_no_answer(cluster, candidate, 0.6)
            cluster.heal()
            await asyncio.sleep(1.0)
            self.assertEqual(len(cluster.primaries()), 1)
            status, _, read = await cluster.get(candidate)
            self.assertEqual((status, read), (200, gen))

        cluster.world.wrap(owner, step, around)
        cluster.play(scene)

    def test_before_it_asks_for_promises(self) -> None:
        self.play(Election, "_request_promises", before=True)

    def test_after_the_promises(self) -> None:
        self.play(Election, "_request_promises", before=False)

    def test_after_the_snapshots(self) -> None:
        self.play(Formation, "_install_snapshots", before=False)

    def test_before_the_configuration_is_sent(self) -> None:
        self.play(Election, "_accept_configuration", before=True)

    def test_after_the_configuration_is_accepted(self) -> None:
        self.play(Election, "_accept_configuration", before=False)


if __name__ == "__main__":
    unittest.main()
