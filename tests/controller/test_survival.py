"""What any allowed loss leaves of replicas and of voters (otterreach/controller/survival.py)."""

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

# Two regions: a1, a2, a3 are zones of "a"; b1, b2 of "b".
REGIONS = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}


def machines(*zones: str) -> dict[str, FailureDomain]:
    """One machine for each zone named, in this order: m0, m1, ..."""
    return {f"m{n}": failure_domain_of(zone, REGIONS) for n, zone in enumerate(zones)}


def losses(places: dict[str, FailureDomain], limits: SurviveLimits) -> list[set[str]]:
    """Every allowed loss, found by trying them all: the machines that are gone."""
    found: list[set[str]] = []
    for count in range(limits.nodes + 1):
        found += [set(gone) for gone in combinations(places, count)]
    for count, kind in ((limits.zones, "zone"), (limits.regions, "region")):
        groups = {getattr(place, kind) for place in places.values()}
        for gone in combinations(sorted(groups), min(count, len(groups))):
            found.append({m for m, place in places.items() if getattr(place, kind) in gone})
    return found


class ReplicasTest(unittest.TestCase):
    def test_table(self) -> None:
        table = [
            # zones of the machines, limits, what is chosen, what stays unmet
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
                places, what = machines(*zones), SurviveLimits(*limits)
                found = choose_replicas([], list(places), places, what)
                self.assertEqual(found, chosen)
                expected = [*unmet, *(["zones", "regions"] if not zones else [])]
                self.assertEqual(unmet_by_replicas([places[m] for m in found], what), expected)

    def test_those_that_are_there_count(self) -> None:
        places = machines("a1", "a1", "a2")
        self.assertEqual(choose_replicas(["m1"], ["m0", "m2"], places, SurviveLimits(1, 1)), ["m2"])
        self.assertEqual(choose_replicas(["m1", "m2"], ["m0"], places, SurviveLimits(1, 1)), [])

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
        places, limits = machines(*zones), SurviveLimits(nodes, lost, regions)
        chosen = choose_replicas([], list(places), places, limits)
        if not unmet_by_replicas([places[m] for m in chosen], limits):
            self.assertTrue(all(set(chosen) - gone for gone in losses(places, limits)))
            self.assertEqual(len(chosen), limits.replicas)
        else:  # all machines together give no more
            unmet = unmet_by_replicas(list(places.values()), limits)
            self.assertEqual(unmet_by_replicas([places[m] for m in chosen], limits), unmet)


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
                places, what = machines(*zones), SurviveLimits(*limits)
                found = choose_voters(list(places), places, what)
                self.assertEqual(len(found), count)
                self.assertEqual(unmet_by_voters([places[m] for m in found], what), unmet)

    @given(
        st.lists(st.sampled_from(sorted(REGIONS)), min_size=1, max_size=6),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 1),
    )
    def test_every_allowed_loss_leaves_a_majority(self, zones: list[str], nodes: int, lost: int, regions: int) -> None:
        places, limits = machines(*zones), SurviveLimits(nodes, lost, regions)
        chosen = choose_voters(list(places), places, limits)
        unmet = unmet_by_voters([places[m] for m in chosen], limits)
        if not unmet:
            inside = {m: places[m] for m in chosen}
            self.assertTrue(all(len(set(chosen) - gone) * 2 > len(chosen) for gone in losses(inside, limits)))
        options = [c for n in range(1, len(places) + 1) for c in combinations(places, n)]
        fewest = min(len(unmet_by_voters([places[m] for m in option], limits)) for option in options)
        self.assertEqual(len(unmet), fewest)

    def test_a_voter_leaves_only_while_the_others_are_enough(self) -> None:
        places = machines("a1", "a2", "a3", "a1")
        limits = SurviveLimits(1)
        self.assertTrue(may_remove_voter("m3", ["m0", "m1", "m2", "m3"], places, limits))
        self.assertFalse(may_remove_voter("m2", ["m0", "m1", "m2"], places, limits))
        self.assertFalse(may_remove_voter("m2", ["m0", "m2"], places, limits))  # no loss is borne already
        across, spread = SurviveLimits(1, 1), machines("a1", "a2", "a3", "a1", "a2")
        self.assertTrue(may_remove_voter("m3", list(places), places, across))
        self.assertFalse(may_remove_voter("m2", list(spread), spread, across))  # a1 would have half of them


class SettingsTest(unittest.TestCase):
    def test_all_three_are_read(self) -> None:
        raw = {"node": "n", "ip": "127.0.0.1", "portRange": [7000, 7001]}
        self.assertEqual(limits_of(read(raw)), SurviveLimits(1, 0, 0))
        survive = {"nodes": 2, "zones": 1, "regions": 3}
        self.assertEqual(limits_of(read(raw | {"survive": survive})), SurviveLimits(2, 1, 3))


if __name__ == "__main__":
    unittest.main()
