"""Controllers that shut down, are replaced and join: after each step the cluster survives a further allowed loss."""

from __future__ import annotations

import asyncio
import unittest

from otterreach.controller.epochs import EpochConfiguration
from otterreach.controller.survival import unmet_by_replicas, unmet_by_voters
from otterreach.simulation.world import SimulatedMachine
from tests.controller.controller_world import Cluster

SHUTDOWN_S = 1.1
REPAIR_S = 2.0
RECOVERY_S = 4.5  # from a loss or a return until all allowed losses are survived again
FAILOVER_S = 1.6


def configuration_of(cluster: Cluster) -> EpochConfiguration:
    configuration = cluster.control(cluster.primary).accepted
    assert configuration is not None
    return configuration


def unmet(cluster: Cluster) -> list[str]:
    """Return the kinds of allowed losses that the running machines would not survive now."""
    formation = cluster.control(cluster.primary).formation
    configuration = configuration_of(cluster)
    up = {cluster.control(box).id for box in cluster.boxes if box.up and box.object}
    domains = formation.domains(configuration.witnesses)
    replicas = [domains[m] for m in configuration.members if m in up]
    missing = unmet_by_replicas(replicas, formation.limits)
    return missing + unmet_by_voters([domains[w] for w in domains], formation.limits)


async def wait_for_primary(cluster: Cluster, within_s: float = FAILOVER_S) -> float:
    """Wait for a running primary and return the seconds that took."""
    return await cluster.until(cluster.primaries, within_s, "a primary")


async def change(cluster: Cluster) -> int:
    """Put one more configuration, check that it is acknowledged, and return its version."""
    status, _, base = await cluster.get(cluster.primary)
    assert status == 200, status
    status, _ = await cluster.put(cluster.primary, base, base + 1, f"gen-{base + 1}")
    assert status == 200, status
    return base + 1


async def expect_number(cluster: Cluster, gen: int) -> None:
    status, _, read = await cluster.get(cluster.primary)
    assert (status, read) == (200, gen), (status, read, gen)


async def wait_for_primary_among(cluster: Cluster, boxes: list[SimulatedMachine], within_s: float) -> float:
    """Wait until one of these machines is primary and return the seconds that took."""
    return await cluster.until(lambda: cluster.led_by(boxes), within_s, "another primary")


async def wait_for_voters(cluster: Cluster, count: int, within_s: float) -> None:
    """Wait until the configuration has `count` witnesses."""
    await cluster.until(lambda: len(configuration_of(cluster).witnesses) == count, within_s, f"{count} witnesses")


async def wait_for_exit(cluster: Cluster, box: SimulatedMachine) -> float:
    return await cluster.until(lambda: not box.up, SHUTDOWN_S, "the end")


async def terminate(cluster: Cluster, box: SimulatedMachine, again: bool = False) -> float:
    """Send SIGTERM and return the seconds until the process has exited."""
    cluster.terminate(box, again)
    return await wait_for_exit(cluster, box)


class ShutdownTest(unittest.TestCase):
    def test_a_primary_transfers_leadership_before_it_exits(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            for _ in range(3):
                gen, old = await change(cluster), cluster.primary
                cluster.terminate(old, again=True)
                self.assertLess(await wait_for_primary_among(cluster, cluster.others(old), 0.2), 0.15)
                await wait_for_exit(cluster, old)
                self.assertEqual(unmet(cluster), [])
                await expect_number(cluster, gen)
                await asyncio.sleep(2.0)
                self.assertEqual(len(cluster.primaries()), 1)

        for zones in ((0, 1, 2), (0, 1, 2, 0, 1)):
            with self.subTest(zones=zones):
                Cluster(zones).run(scenario)

    def test_a_backup_is_replaced_before_it_exits(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            gen, backup, primary = await change(cluster), cluster.backups[0], cluster.primary
            ident = cluster.control(backup).id
            self.assertLess(await terminate(cluster, backup), 0.3)
            self.assertEqual(unmet(cluster), [])
            self.assertNotIn(ident, configuration_of(cluster).members)
            primary.power_off(wipe=True)  # the next loss follows at once
            await wait_for_primary(cluster)
            await expect_number(cluster, gen)

        Cluster().run(scenario)

    def test_a_witness_exits_at_once(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            witness = cluster.others(cluster.primary, *cluster.backups)[0]
            number = cluster.control(cluster.primary).number
            self.assertLess(await terminate(cluster, witness), 0.1)
            self.assertEqual(cluster.control(cluster.primary).number, number)

        Cluster().run(scenario)

    def test_a_write_in_flight_is_answered_before_the_primary_exits(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            old = cluster.primary
            write = asyncio.ensure_future(cluster.put(old, 1, 2, "late"))
            await asyncio.sleep(0.004)
            cluster.terminate(old)
            self.assertEqual((await write)[0], 200)
            await cluster.until(lambda: cluster.led_by(cluster.others(old)), 0.3, "another primary")
            await expect_number(cluster, 2)

        Cluster().run(scenario)

    def test_shutdown_time_is_bounded_without_peers(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            for box in cluster.boxes:
                cluster.isolate(box)
            ends = await asyncio.gather(*(terminate(cluster, box) for box in cluster.boxes))
            self.assertLess(max(ends), SHUTDOWN_S)

        Cluster().run(scenario)

    def test_all_shut_down_at_once_and_restart(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            gen = await change(cluster)
            await asyncio.gather(*(terminate(cluster, box, again=True) for box in cluster.boxes))
            await wait_for_primary(cluster, 3.0)
            await asyncio.sleep(0.5)
            await expect_number(cluster, gen)

        Cluster().run(scenario)


class JoiningTest(unittest.TestCase):
    # Guards against five controllers that stay at three voters: two joiners were useful only together, and their join
    # requests did not arrive together.
    def test_joiners_useful_only_together_are_added_though_they_ask_at_different_times(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            configuration = cluster.control(cluster.primary).accepted
            assert configuration is not None
            self.assertEqual(5, len(configuration.witnesses))

        delays = {"core-3": 0.15, "core-4": 0.3}
        Cluster(survive={"nodes": 2, "zones": 1}, start_after_s=delays).run(scenario)


class ReplacementTest(unittest.TestCase):
    def replaced(self, kind: str, zones: tuple[int, ...] = (0, 1, 2)) -> None:
        """Replace a machine by one with the same address and an empty disk, three times, RECOVERY_S apart."""

        async def scenario(cluster: Cluster) -> None:
            for _ in range(3):
                gen = await change(cluster)
                box = {"primary": cluster.primary, "backup": cluster.backups[0]}.get(kind)
                box = box or cluster.others(cluster.primary, *cluster.backups)[0]
                count = len(configuration_of(cluster).witnesses)
                cluster.replace(box)
                await asyncio.sleep(RECOVERY_S)
                self.assertEqual(unmet(cluster), [])
                self.assertEqual(len(configuration_of(cluster).witnesses), count)
                ident = cluster.control(box).id
                self.assertIn(ident, [w.id for w in configuration_of(cluster).witnesses])
                await expect_number(cluster, gen)

        Cluster(zones).run(scenario)

    def test_primary_at_the_same_address(self) -> None:
        self.replaced("primary")

    def test_backup_at_the_same_address(self) -> None:
        self.replaced("backup")

    def test_witness_at_the_same_address(self) -> None:
        self.replaced("witness")

    def test_primary_of_five(self) -> None:
        self.replaced("primary", (0, 1, 2, 0, 1))

    def test_planned_replacement_of_every_machine(self) -> None:
        """Each machine is replaced in turn: a new one joins, then the old one shuts down."""

        async def scenario(cluster: Cluster) -> None:
            first = list(cluster.boxes)
            for old in first:
                gen = await change(cluster)
                new = cluster.add(zone=int(old.name[-1]) % 3)
                await wait_for_voters(cluster, 4, 2.0)
                await terminate(cluster, old)
                await wait_for_primary(cluster)
                await wait_for_voters(cluster, 3, 5.0)
                self.assertEqual(unmet(cluster), [])
                self.assertIn(cluster.control(new).id, [w.id for w in configuration_of(cluster).witnesses])
                await expect_number(cluster, gen)

        Cluster((0, 1, 2)).run(scenario)

    def test_unplanned_replacement_of_every_machine(self) -> None:
        """Each machine is lost in turn with its disk, and a new one joins at another address."""

        async def scenario(cluster: Cluster) -> None:
            for old in list(cluster.boxes):
                gen = await change(cluster)
                old.power_off(wipe=True)
                old.restart_on_exit = False
                new = cluster.add(zone=int(old.name[-1]) % 3)
                await asyncio.sleep(RECOVERY_S)
                self.assertEqual(unmet(cluster), [])
                self.assertEqual(len(configuration_of(cluster).witnesses), 3)
                self.assertIn(cluster.control(new).id, [w.id for w in configuration_of(cluster).witnesses])
                await expect_number(cluster, gen)

        Cluster((0, 1, 2)).run(scenario)

    def test_unresponsive_witnesses_are_kept_where_the_next_loss_requires_them(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            witnesses = cluster.others(cluster.primary, *cluster.backups)
            for box in witnesses[:2]:
                box.restart_on_exit = False
                box.kill()
                await asyncio.sleep(2 * RECOVERY_S)
            self.assertEqual(len(configuration_of(cluster).witnesses), 3)
            witnesses[2].kill()
            await asyncio.sleep(2 * RECOVERY_S)
            self.assertEqual(len(configuration_of(cluster).witnesses), 3)
            await change(cluster)

        Cluster().run(scenario)


class ZonesTest(unittest.TestCase):
    def zones_of(self, cluster: Cluster, idents: list[str]) -> list[str]:
        return [box.zone for box in cluster.named(idents)]

    def test_replicas_are_in_two_zones_and_any_zone_may_be_lost(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            for _ in range(2):
                gen, zone = await change(cluster), cluster.primary.zone
                self.assertEqual(len(set(self.zones_of(cluster, configuration_of(cluster).members))), 2)
                lost = [box for box in cluster.boxes if box.zone == zone]
                for box in lost:
                    box.power_off()
                await wait_for_primary_among(cluster, cluster.others(*lost), FAILOVER_S)
                await expect_number(cluster, gen)
                for box in lost:
                    box.power_on()
                await asyncio.sleep(RECOVERY_S)
                self.assertEqual(unmet(cluster), [])

        Cluster((0, 1, 2, 0, 1, 2), survive={"nodes": 1, "zones": 1}).run(scenario)

    def test_the_zone_with_most_machines_gets_no_majority(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            await asyncio.sleep(1.0)
            witnesses = [w.id for w in configuration_of(cluster).witnesses]
            self.assertEqual(unmet(cluster), [])
            self.assertEqual(sorted(self.zones_of(cluster, witnesses)), ["hall-a", "hall-b", "hall-c"])
            number = cluster.control(cluster.primary).number
            await asyncio.sleep(3.0)
            # Controllers that are not voters and keep asking to join cause no new epoch.
            self.assertEqual(cluster.control(cluster.primary).number, number)

        cluster = Cluster((0, 1, 2, 0, 0), survive={"nodes": 1, "zones": 1})
        cluster.expected = 3
        cluster.run(scenario)

    def test_a_single_zone_gets_the_best_choice_and_logs_what_is_unmet(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            self.assertEqual(len(configuration_of(cluster).members), 2)
            self.assertTrue(any("event=survival" in line and "replicas:zones" in line for line in cluster.world.lines))
            await change(cluster)

        Cluster((0, 0, 0), survive={"nodes": 1, "zones": 1}).run(scenario)


if __name__ == "__main__":
    unittest.main()
