"""Survival of allowed losses by replicas and voters (otterreach/controller/survival.py)."""

from __future__ import annotations

import unittest
from itertools import combinations

from hypothesis import given
from hypothesis import strategies as st

from otterreach.controller.survival import (
    FailureDomain,
    SurviveLimits,
    choose_replicas,
    choose_voters,
    failure_domain_of,
    limits_of,
    may_remove_voter,
    unmet_by_replicas,
    unmet_by_voters,
)
from otterreach.runtime.settings import read

# Two regions: "a" with zones a1, a2, a3, and "b" with zones b1, b2.
REGIONS = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}


def machines(*zones: str) -> dict[str, FailureDomain]:
    """Return one machine for each zone given, named m0, m1, ... in this order."""
    return {f"m{n}": failure_domain_of(zone, REGIONS) for n, zone in enumerate(zones)}


def losses(domains: dict[str, FailureDomain], limits: SurviveLimits) -> list[set[str]]:
    """Return every allowed loss as the set of lost machines, by enumeration."""
    found: list[set[str]] = []
    for count in range(limits.nodes + 1):
        found += [set(gone) for gone in combinations(domains, count)]
    for count, kind in ((limits.zones, "zone"), (limits.regions, "region")):
        groups = {getattr(domain, kind) for domain in domains.values()}
        for gone in combinations(sorted(groups), min(count, len(groups))):
            found.append({m for m, domain in domains.items() if getattr(domain, kind) in gone})
    return found


class ReplicasTest(unittest.TestCase):
    def test_table(self) -> None:
        table = [
            # zones of the machines, limits, chosen machines, unmet kinds of losses
            (("a1",), (0, 0, 0), ["m0"], []),
            (("a1", "a1"), (1, 0, 0), ["m0", "m1"], []),
            (("a1",), (1, 0, 0), ["m0"], ["nodes"]),
            (("a1", "a1", "a2"), (1, 1, 0), ["m0", "m2"], []),
            (("a1", "a1", "a1"), (1, 1, 0), ["m0", "m1"], ["zones"]),
            (("a1", "a2", "b1"), (1, 1, 1), ["m0", "m2"], []),
            (("a1", "a2", "a3"), (1, 1, 1), ["m0", "m1"], ["regions"]),
            (("a1", "a2", "a3", "b1"), (1, 2, 1), ["m0", "m3", "m1"], []),
            (("a1", "a1", "a1", "a2"), (2, 1, 0), ["m0", "m3", "m1"], []),
            (("a1", "a2"), (0, 1, 0), ["m0", "m1"], []),
            ((), (1, 0, 0), [], ["nodes"]),
        ]
        for zones, limits, chosen, unmet in table:
            with self.subTest(zones=zones, limits=limits):
                domains, allowed = machines(*zones), SurviveLimits(*limits)
                found = choose_replicas([], list(domains), domains, allowed)
                self.assertEqual(found, chosen)
                expected = [*unmet, *(["zones", "regions"] if not zones else [])]
                self.assertEqual(unmet_by_replicas([domains[m] for m in found], allowed), expected)

    def test_present_replicas_count(self) -> None:
        domains = machines("a1", "a1", "a2")
        self.assertEqual(choose_replicas(["m1"], ["m0", "m2"], domains, SurviveLimits(1, 1)), ["m2"])
        self.assertEqual(choose_replicas(["m1", "m2"], ["m0"], domains, SurviveLimits(1, 1)), [])

    def test_fewest_replicas(self) -> None:
        self.assertEqual(SurviveLimits(1, 0, 0).replicas, 2)
        self.assertEqual(SurviveLimits(1, 2, 0).replicas, 3)

    @given(
        st.lists(st.sampled_from(sorted(REGIONS)), min_size=1, max_size=6),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 1),
    )
    def test_every_allowed_loss_leaves_one(self, zones: list[str], nodes: int, lost: int, regions: int) -> None:
        domains, limits = machines(*zones), SurviveLimits(nodes, lost, regions)
        chosen = choose_replicas([], list(domains), domains, limits)
        if not unmet_by_replicas([domains[m] for m in chosen], limits):
            self.assertTrue(all(set(chosen) - gone for gone in losses(domains, limits)))
            self.assertEqual(len(chosen), limits.replicas)
        else:  # all machines together survive no more kinds of losses
            unmet = unmet_by_replicas(list(domains.values()), limits)
            self.assertEqual(unmet_by_replicas([domains[m] for m in chosen], limits), unmet)


class VotersTest(unittest.TestCase):
    def test_table(self) -> None:
        table = [
            (("a1", "a2", "a3"), (1, 0, 0), 3, []),
            (("a1", "a2", "a3"), (1, 1, 0), 3, []),
            (("a1", "a1", "a1", "a2", "a3"), (1, 0, 0), 5, []),
            (("a1", "a1", "a1", "a2", "a3"), (1, 1, 0), 3, []),
            (("a1", "a1", "a2", "a2", "a3"), (1, 1, 0), 5, []),
            (("a1", "a2", "b1", "b2"), (1, 1, 0), 4, []),
            (("a1", "a2", "b1"), (1, 1, 1), 3, ["regions"]),
            (("a1", "a2"), (1, 0, 0), 2, ["nodes"]),
            (("a1",), (1, 0, 0), 1, ["nodes"]),
        ]
        for zones, limits, count, unmet in table:
            with self.subTest(zones=zones, limits=limits):
                domains, allowed = machines(*zones), SurviveLimits(*limits)
                found = choose_voters(list(domains), domains, allowed)
                self.assertEqual(len(found), count)
                self.assertEqual(unmet_by_voters([domains[m] for m in found], allowed), unmet)

    @given(
        st.lists(st.sampled_from(sorted(REGIONS)), min_size=1, max_size=6),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 1),
    )
    def test_every_allowed_loss_leaves_a_majority(self, zones: list[str], nodes: int, lost: int, regions: int) -> None:
        domains, limits = machines(*zones), SurviveLimits(nodes, lost, regions)
        chosen = choose_voters(list(domains), domains, limits)
        unmet = unmet_by_voters([domains[m] for m in chosen], limits)
        if not unmet:
            inside = {m: domains[m] for m in chosen}
            self.assertTrue(all(len(set(chosen) - gone) * 2 > len(chosen) for gone in losses(inside, limits)))
        options = [c for n in range(1, len(domains) + 1) for c in combinations(domains, n)]
        fewest = min(len(unmet_by_voters([domains[m] for m in option], limits)) for option in options)
        self.assertEqual(len(unmet), fewest)

    def test_a_voter_leaves_only_while_the_others_are_enough(self) -> None:
        domains = machines("a1", "a2", "a3", "a1")
        limits = SurviveLimits(1)
        self.assertTrue(may_remove_voter("m3", ["m0", "m1", "m2", "m3"], domains, limits))
        self.assertFalse(may_remove_voter("m2", ["m0", "m1", "m2"], domains, limits))
        self.assertFalse(may_remove_voter("m2", ["m0", "m2"], domains, limits))  # no loss is survived even now
        across, spread = SurviveLimits(1, 1), machines("a1", "a2", "a3", "a1", "a2")
        self.assertTrue(may_remove_voter("m3", list(domains), domains, across))
        self.assertFalse(may_remove_voter("m2", list(spread), spread, across))  # zone a1 would have half of the voters


class SettingsTest(unittest.TestCase):
    def test_all_three_are_read(self) -> None:
        raw = {"node": "n", "ip": "127.0.0.1", "portRange": [7000, 7001]}
        self.assertEqual(limits_of(read(raw)), SurviveLimits(1, 0, 0))
        survive = {"nodes": 2, "zones": 1, "regions": 3}
        self.assertEqual(limits_of(read(raw | {"survive": survive})), SurviveLimits(2, 1, 3))


if __name__ == "__main__":
    unittest.main()
