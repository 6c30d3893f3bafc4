"""Controllers that leave, are replaced and join: at each step a further allowed loss leaves a copy and a majority."""

from __future__ import annotations

import asyncio
import unittest

from otterreach.controller.epochs import EpochConfiguration
from otterreach.controller.survival import unmet_by_replicas, unmet_by_voters
from otterreach.simulation.world import Box
from tests.controller.controller_world import Cluster

LEAVE_S = 1.1
REPAIR_S = 2.0
SYNC_S = 4.5  # from a loss or a return to full strength
TAKE_OVER_S = 1.6


def configuration_of(cluster: Cluster) -> EpochConfiguration:
    configuration = cluster.control(cluster.primary).accepted
    assert configuration is not None
    return configuration


def unmet(cluster: Cluster) -> list[str]:
    """The kinds of allowed losses that the machines which run would not bear now."""
    formation = cluster.control(cluster.primary).formation
    configuration = configuration_of(cluster)
    up = {cluster.control(box).id for box in cluster.boxes if box.up and box.object}
    places = formation.domains(configuration.witnesses)
    replicas = [places[m] for m in configuration.members if m in up]
    missing = unmet_by_replicas(replicas, formation.limits)
    return missing + unmet_by_voters([places[w] for w in places], formation.limits)


async def lead(cluster: Cluster, within_s: float = TAKE_OVER_S) -> float:
    """Seconds until somebody who runs leads."""
    return await cluster.until(cluster.primaries, within_s, "a primary")


async def change(cluster: Cluster) -> int:
    """One more configuration, acknowledged: its number."""
    status, _, base = await cluster.get(cluster.primary)
    assert status == 200, status
    status, _ = await cluster.put(cluster.primary, base, base + 1, f"gen-{base + 1}")
    assert status == 200, status
    return base + 1


async def expect_number(cluster: Cluster, gen: int) -> None:
    status, _, read = await cluster.get(cluster.primary)
    assert (status, read) == (200, gen), (status, read, gen)


async def led(cluster: Cluster, boxes: list[Box], within_s: float) -> float:
    """Seconds until one of these leads."""
    return await cluster.until(lambda: cluster.led_by(boxes), within_s, "another primary")


async def voters(cluster: Cluster, count: int, within_s: float) -> None:
    """Until there are so many witnesses."""
    await cluster.until(lambda: len(configuration_of(cluster).witnesses) == count, within_s, f"{count} witnesses")


async def ended(cluster: Cluster, box: Box) -> float:
    return await cluster.until(lambda: not box.up, LEAVE_S, "the end")


async def end(cluster: Cluster, box: Box, again: bool = False) -> float:
    """SIGTERM; seconds until it has ended."""
    cluster.terminate(box, again)
    return await ended(cluster, box)


class LeavingTest(unittest.TestCase):
    def test_a_primary_gives_leadership_on_before_it_ends(self) -> None:
        async def scene(cluster: Cluster) -> None:
            for _ in range(3):
                gen, old = await change(cluster), cluster.primary
                cluster.terminate(old, again=True)
                self.assertLess(await led(cluster, cluster.others(old), 0.2), 0.15)
                await ended(cluster, old)
                self.assertEqual(unmet(cluster), [])
                await expect_number(cluster, gen)
                await asyncio.sleep(2.0)
                self.assertEqual(len(cluster.primaries()), 1)

        for zones in ((0, 1, 2), (0, 1, 2, 0, 1)):
            with self.subTest(zones=zones):
                Cluster(zones).play(scene)

    def test_a_backup_is_replaced_before_it_ends(self) -> None:
        async def scene(cluster: Cluster) -> None:
            gen, backup, primary = await change(cluster), cluster.backups[0], cluster.primary
            ident = cluster.control(backup).id
            self.assertLess(await end(cluster, backup), 0.3)
            self.assertEqual(unmet(cluster), [])
            self.assertNotIn(ident, configuration_of(cluster).members)
            primary.power_off(wipe=True)  # the next loss, right after
            await lead(cluster)
            await expect_number(cluster, gen)

        Cluster().play(scene)

    def test_a_witness_ends_at_once(self) -> None:
        async def scene(cluster: Cluster) -> None:
            witness = cluster.others(cluster.primary, *cluster.backups)[0]
            number = cluster.control(cluster.primary).number
            self.assertLess(await end(cluster, witness), 0.1)
            self.assertEqual(cluster.control(cluster.primary).number, number)

        Cluster().play(scene)

    def test_a_write_under_way_is_answered_before_the_primary_leaves(self) -> None:
        async def scene(cluster: Cluster) -> None:
            old = cluster.primary
            write = asyncio.ensure_future(cluster.put(old, 1, 2, "late"))
            await asyncio.sleep(0.004)
            cluster.terminate(old)
            self.assertEqual((await write)[0], 200)
            await cluster.until(lambda: cluster.led_by(cluster.others(old)), 0.3, "another primary")
            await expect_number(cluster, 2)

        Cluster().play(scene)

    def test_the_end_is_not_put_off_without_others(self) -> None:
        async def scene(cluster: Cluster) -> None:
            for box in cluster.boxes:
                cluster.isolate(box)
            ends = await asyncio.gather(*(end(cluster, box) for box in cluster.boxes))
            self.assertLess(max(ends), LEAVE_S)

        Cluster().play(scene)

    def test_all_leave_at_once_and_come_back(self) -> None:
        async def scene(cluster: Cluster) -> None:
            gen = await change(cluster)
            await asyncio.gather(*(end(cluster, box, again=True) for box in cluster.boxes))
            await lead(cluster, 3.0)
            await asyncio.sleep(0.5)
            await expect_number(cluster, gen)

        Cluster().play(scene)


class JoiningTest(unittest.TestCase):
    # Guards against a core of five that stays at three voters: two joiners that were of use only together asked apart.
    def test_joiners_that_are_of_use_only_together_are_added_though_they_ask_apart(self) -> None:
        async def scene(cluster: Cluster) -> None:
            configuration = cluster.control(cluster.primary).accepted
            assert configuration is not None
            self.assertEqual(5, len(configuration.witnesses))

        delays = {"core-3": 0.15, "core-4": 0.3}
        Cluster(survive={"nodes": 2, "zones": 1}, start_after_s=delays).play(scene)


class ReplacementTest(unittest.TestCase):
    def replaced(self, kind: str, zones: tuple[int, ...] = (0, 1, 2)) -> None:
        """An empty disk at the same address; from SYNC_S after it the next such loss is borne."""

        async def scene(cluster: Cluster) -> None:
            for _ in range(3):
                gen = await change(cluster)
                box = {"primary": cluster.primary, "backup": cluster.backups[0]}.get(kind)
                box = box or cluster.others(cluster.primary, *cluster.backups)[0]
                count = len(configuration_of(cluster).witnesses)
                cluster.replace(box)
                await asyncio.sleep(SYNC_S)
                self.assertEqual(unmet(cluster), [])
                self.assertEqual(len(configuration_of(cluster).witnesses), count)
                ident = cluster.control(box).id
                self.assertIn(ident, [w.id for w in configuration_of(cluster).witnesses])
                await expect_number(cluster, gen)

        Cluster(zones).play(scene)

    def test_primary_at_the_same_address(self) -> None:
        self.replaced("primary")

    def test_backup_at_the_same_address(self) -> None:
        self.replaced("backup")

    def test_witness_at_the_same_address(self) -> None:
        self.replaced("witness")

    def test_primary_of_five(self) -> None:
        self.replaced("primary", (0, 1, 2, 0, 1))

    def test_planned_replacement_of_every_machine(self) -> None:
        """A new one joins, the old one leaves, until none of the first is there."""

        async def scene(cluster: Cluster) -> None:
            first = list(cluster.boxes)
            for old in first:
                gen = await change(cluster)
                new = cluster.add(zone=int(old.name[-1]) % 3)
                await voters(cluster, 4, 2.0)
                await end(cluster, old)
                await lead(cluster)
                await voters(cluster, 3, 5.0)
                self.assertEqual(unmet(cluster), [])
                self.assertIn(cluster.control(new).id, [w.id for w in configuration_of(cluster).witnesses])
                await expect_number(cluster, gen)

        Cluster((0, 1, 2)).play(scene)

    def test_unplanned_replacement_of_every_machine(self) -> None:
        """One is lost with its disk, a new one joins elsewhere, until none of the first is there."""

        async def scene(cluster: Cluster) -> None:
            for old in list(cluster.boxes):
                gen = await change(cluster)
                old.power_off(wipe=True)
                old.wanted = False
                new = cluster.add(zone=int(old.name[-1]) % 3)
                await asyncio.sleep(SYNC_S)
                self.assertEqual(unmet(cluster), [])
                self.assertEqual(len(configuration_of(cluster).witnesses), 3)
                self.assertIn(cluster.control(new).id, [w.id for w in configuration_of(cluster).witnesses])
                await expect_number(cluster, gen)

        Cluster((0, 1, 2)).play(scene)

    def test_silent_witnesses_are_not_dropped_below_what_bears_the_next_loss(self) -> None:
        async def scene(cluster: Cluster) -> None:
            witnesses = cluster.others(cluster.primary, *cluster.backups)
            for box in witnesses[:2]:
                box.wanted = False
                box.kill()
                await asyncio.sleep(2 * SYNC_S)
            self.assertEqual(len(configuration_of(cluster).witnesses), 3)
            witnesses[2].kill()
            await asyncio.sleep(2 * SYNC_S)
            self.assertEqual(len(configuration_of(cluster).witnesses), 3)
            await change(cluster)

        Cluster().play(scene)


class ZonesTest(unittest.TestCase):
    def zones_of(self, cluster: Cluster, idents: list[str]) -> list[str]:
        return [box.zone for box in cluster.named(idents)]

    def test_copies_stand_in_two_zones_and_any_zone_may_go(self) -> None:
        async def scene(cluster: Cluster) -> None:
            for _ in range(2):
                gen, zone = await change(cluster), cluster.primary.zone
                self.assertEqual(len(set(self.zones_of(cluster, configuration_of(cluster).members))), 2)
                lost = [box for box in cluster.boxes if box.zone == zone]
                for box in lost:
                    box.power_off()
                await led(cluster, cluster.others(*lost), TAKE_OVER_S)
                await expect_number(cluster, gen)
                for box in lost:
                    box.power_on()
                await asyncio.sleep(SYNC_S)
                self.assertEqual(unmet(cluster), [])

        Cluster((0, 1, 2, 0, 1, 2), survive={"nodes": 1, "zones": 1}).play(scene)

    def test_a_zone_with_most_machines_gets_no_majority(self) -> None:
        async def scene(cluster: Cluster) -> None:
            await asyncio.sleep(1.0)
            witnesses = [w.id for w in configuration_of(cluster).witnesses]
            self.assertEqual(unmet(cluster), [])
            self.assertEqual(sorted(self.zones_of(cluster, witnesses)), ["hall-a", "hall-b", "hall-c"])
            number = cluster.control(cluster.primary).number
            await asyncio.sleep(3.0)
            self.assertEqual(cluster.control(cluster.primary).number, number)  # those left out change nothing

        cluster = Cluster((0, 1, 2, 0, 0), survive={"nodes": 1, "zones": 1})
        cluster.expected = 3
        cluster.play(scene)

    def test_one_zone_alone_takes_the_best_and_says_so(self) -> None:
        async def scene(cluster: Cluster) -> None:
            self.assertEqual(len(configuration_of(cluster).members), 2)
            self.assertTrue(any("event=survival" in line and "replicas:zones" in line for line in cluster.world.lines))
            await change(cluster)

        Cluster((0, 0, 0), survive={"nodes": 1, "zones": 1}).play(scene)


if __name__ == "__main__":
    unittest.main()
