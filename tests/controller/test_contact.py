"""A primary serves only while a majority of the witnesses answers it (docs/control-replication.md)."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from otterreach.controller.election import Election
from otterreach.controller.formation import Formation
from otterreach.controller.witness_contacts import WitnessContacts
from otterreach.simulation.world import SimulatedMachine
from tests.controller.controller_world import Cluster, configuration_of

UNCLEAR = (0, 503)
MAX_ANSWER_S = 0.5  # by then a caller has a 5xx response
FAILOVER_S = 1.6


async def expect_no_answer(cluster: Cluster, box: SimulatedMachine, seconds: float = MAX_ANSWER_S) -> None:
    """Check that every kind of call is answered 503 in time: reads, new, repeated, stale and invalid changes."""
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


async def expect_service(cluster: Cluster, box: SimulatedMachine) -> int:
    """Put a change based on the current version, repeat it, and read it back; return the new version."""
    status, _, base = await cluster.get(box)
    assert status == 200, status
    for _ in range(2):
        status, _ = await cluster.put(box, base, base + 1, f"gen-{base + 1}")
        assert status == 200, status
    status, _, read = await cluster.get(box)
    assert (status, read) == (200, base + 1), (status, read)
    return base + 1


async def expect_new_primary(cluster: Cluster, old: SimulatedMachine) -> None:
    """Wait until another controller than the old primary leads."""
    others = cluster.others(old)
    await cluster.until(lambda: cluster.led_by(others), FAILOVER_S, "another primary")


class PartitionTest(unittest.TestCase):
    def test_primary_alone_answers_503_in_time_and_another_leads(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            old = cluster.primary
            cluster.isolate(old)
            await expect_no_answer(cluster, old)
            others = cluster.others(old)
            await cluster.until(lambda: cluster.led_by(others), FAILOVER_S, "another primary")
            await expect_service(cluster, cluster.primary)
            await expect_no_answer(cluster, old)
            cluster.heal()
            await cluster.until(lambda: len(cluster.primaries()) == 1, 1.0, "one primary")

        Cluster().run(scenario)

    def test_primary_with_all_its_backups_answers_503_without_a_majority(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            old, backups = cluster.primary, cluster.backups
            cluster.isolate(old, *backups)
            for _ in range(8):
                for box in (old, *backups):
                    await expect_no_answer(cluster, box)
                await asyncio.sleep(0.5)
            cluster.heal()
            await asyncio.sleep(0.5)
            self.assertEqual(cluster.primaries(), [old])  # no other could be elected: it continues at once
            await expect_service(cluster, old)

        Cluster().run(scenario)

    def test_without_the_majority_rule_that_primary_would_answer(self) -> None:
        """Without the majority check the isolated primary answers, so the tests above depend on that check."""

        async def scenario(cluster: Cluster) -> None:
            old, backups = cluster.primary, cluster.backups
            cluster.isolate(old, *backups)
            await asyncio.sleep(1.0)
            status, _ = await cluster.put(old, 1, 2, "cut off")
            self.assertEqual(status, 200)

        with mock.patch.object(WitnessContacts, "has_majority", lambda *_: True):
            Cluster().run(scenario)

    def test_primary_with_one_of_two_backups(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            old = cluster.primary
            inside = cluster.backups[0]
            cluster.isolate(old, inside)
            await expect_no_answer(cluster, old)
            others = cluster.others(old, inside)
            await cluster.until(lambda: cluster.led_by(others), FAILOVER_S, "another primary")
            await expect_service(cluster, cluster.primary)
            await expect_no_answer(cluster, old)
            await expect_no_answer(cluster, inside)

        Cluster(survive={"nodes": 2}).run(scenario)

    def test_primary_that_receives_nothing(self) -> None:
        """Messages from the primary arrive, and messages to it are lost."""

        async def scenario(cluster: Cluster) -> None:
            old = cluster.primary
            others = cluster.others(old)
            cluster.cut(others, [old], both_ways=False)
            await expect_no_answer(cluster, old)
            await cluster.until(lambda: cluster.led_by(others), 2 * FAILOVER_S, "another primary")
            await expect_service(cluster, cluster.primary)

        Cluster().run(scenario)

    def test_primary_whose_messages_are_lost(self) -> None:
        """Messages to the primary arrive, and messages from it are lost."""

        async def scenario(cluster: Cluster) -> None:
            old = cluster.primary
            others = cluster.others(old)
            cluster.cut([old], others, both_ways=False)
            await expect_no_answer(cluster, old)
            await cluster.until(lambda: cluster.led_by(others), FAILOVER_S, "another primary")
            await expect_service(cluster, cluster.primary)

        Cluster().run(scenario)

    def test_follower_that_cannot_reach_the_primary_answers_503_at_once(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            follower = next(b for b in cluster.boxes if b not in (cluster.primary, *cluster.backups))
            cluster.isolate(follower)
            await expect_no_answer(cluster, follower, 0.6)
            await asyncio.sleep(0.6)
            await expect_no_answer(cluster, follower, 0.01)

        Cluster().run(scenario)

    def test_put_in_flight_at_a_partition_may_end_unclear_and_is_applied_once(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            for number, delay_s in enumerate((0.0, 0.0005, 0.001, 0.002, 0.003, 0.004, 0.006, 0.01)):
                gen, old = number + 2, cluster.primary
                call = asyncio.ensure_future(cluster.put(old, gen - 1, gen, f"cut-{number}"))
                await asyncio.sleep(delay_s)
                cluster.isolate(old)
                status, took = await call
                self.assertIn(status, (*UNCLEAR, 200))
                self.assertLess(took, MAX_ANSWER_S)
                await expect_new_primary(cluster, old)
                if status == 200:
                    read = await cluster.get(cluster.primary)
                    self.assertEqual((read[0], read[2]), (200, gen))
                status, _ = await cluster.put(cluster.primary, gen - 1, gen, f"cut-{number}")
                self.assertEqual(status, 200)
                cluster.heal()
                await asyncio.sleep(1.5)

        Cluster().run(scenario)

    def test_primary_that_thaws_in_a_newer_epoch_steps_down(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            old = cluster.primary
            write = asyncio.ensure_future(cluster.call(old, "PUT", "/config", configuration_of(2, "lost"), 1, 9.0))
            read = asyncio.ensure_future(cluster.call(old, "GET", "/config", timeout_s=9.0))
            await asyncio.sleep(0.0021)
            old.freeze()
            await cluster.until(lambda: cluster.led_by(cluster.others(old)), FAILOVER_S, "another primary")
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

        Cluster().run(scenario)


class ElectionPartitionTest(unittest.TestCase):
    """The candidate is isolated between two steps of its election."""

    def play(self, owner: type, step: str, before: bool) -> None:
        cluster = Cluster()
        isolated: list[SimulatedMachine] = []

        def around(original: Any) -> Any:
            async def isolating(part: Election | Formation, *args: Any, **kwargs: Any) -> Any:
                probe = kwargs.get("probe", False)
                due = armed and not isolated and not probe
                if due and before:
                    isolate(part)
                result = await original(part, *args, **kwargs)
                if due and not before:
                    isolate(part)
                return result

            return isolating

        def isolate(part: Election | Formation) -> None:
            box = next(
                b
                for b in cluster.boxes
                if b.object and part in (cluster.control(b).election, cluster.control(b).formation)
            )
            isolated.append(box)
            cluster.isolate(box)

        armed: list[bool] = []

        async def scenario(cluster: Cluster) -> None:
            first = cluster.primary
            armed.append(True)
            first.kill()
            await cluster.until(lambda: isolated, FAILOVER_S, "an election")
            first.start()
            candidate = isolated[0]
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
        cluster.run(scenario)

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
