"""Replicas of partitions survive every loss that `survive` allows: machines, zones or regions, each separately."""

from __future__ import annotations

import itertools
import unittest
from collections import Counter
from collections.abc import Collection, Iterator

from hypothesis import given, settings
from hypothesis import strategies as st

from otterreach.controller.planner import (
    StoreMembers,
    attainable,
    initial_records,
    plan,
    promote_learner,
    remove_surplus,
)
from otterreach.controller.survival import FailureDomain, SurviveLimits, unmet_by_replicas
from otterreach.runtime.records import PartitionRecord

PARTITIONS = 4
MAX_STEPS = 200
DOMAINS = {
    "a1#1": FailureDomain("a", "north"),
    "a2#1": FailureDomain("a", "north"),
    "b1#1": FailureDomain("b", "north"),
    "b2#1": FailureDomain("b", "north"),
    "c1#1": FailureDomain("c", "south"),
    "c2#1": FailureDomain("c", "south"),
    "d1#1": FailureDomain("d", "south"),
    "e1#1": FailureDomain("e", "west"),
}


def stores(*names: str, retiring: tuple[str, ...] = ()) -> StoreMembers:
    return StoreMembers({f"{n}#1": DOMAINS[f"{n}#1"] for n in names}, frozenset(f"{n}#1" for n in retiring))


def survives(members: Collection[str], limits: SurviveLimits) -> bool:
    return not unmet_by_replicas([DOMAINS[m] for m in members], limits)


def losses(domains: dict[str, FailureDomain], survive: tuple[int, int, int]) -> Iterator[set[str]]:
    """Yield every set of machines that may be lost at once."""
    nodes, zones, regions = survive
    for lost in itertools.combinations(sorted(domains), min(nodes, len(domains))):
        yield set(lost)
    for count, attribute in ((zones, "zone"), (regions, "region")):
        found = sorted({str(getattr(p, attribute)) for p in domains.values()})
        for names in itertools.combinations(found, min(count, len(found))):
            yield {m for m, p in domains.items() if getattr(p, attribute) in names}


class PlannedSpreadTest(unittest.TestCase):
    def test_initial_records_are_in_as_many_zones_and_regions_as_required(self) -> None:
        everywhere = stores("a1", "a2", "b1", "b2", "c1", "c2", "d1", "e1")
        for survive in ((1, 0, 0), (1, 1, 0), (1, 1, 1), (1, 2, 0), (1, 2, 1), (2, 1, 2), (0, 1, 0)):
            limits = SurviveLimits(*survive)
            with self.subTest(survive):
                for record in initial_records(16, limits, everywhere).values():
                    self.assertTrue(survives(record.members, limits))
                    self.assertEqual(limits.replicas, len(record.members))

    def test_a_repair_takes_another_zone_though_the_own_one_has_less_load(self) -> None:
        records = {n: PartitionRecord(1, "a1#1", ("b1#1",)) for n in range(4)}
        changes = plan(records, SurviveLimits(1, 1, 0), stores("a1", "a2", "c1"))
        self.assertEqual([("c1#1",)] * 4, [record.learners for record in changes.values()])

    def test_replicas_move_within_the_remaining_zone_and_back_when_the_other_returns(self) -> None:
        limits = SurviveLimits(1, 1, 0)
        one_zone = stores("a1", "a2")
        record = plan({0: PartitionRecord(1, "b1#1", ("a1#1",))}, limits, one_zone)[0]
        self.assertEqual(("a2#1",), record.learners)
        record = promote_learner(record, "a2#1", limits, one_zone)
        self.assertEqual({"a1#1", "a2#1"}, set(record.members))
        both = stores("a1", "a2", "b1")
        record = plan({0: record}, limits, both)[0]
        self.assertEqual(("b1#1",), record.learners)
        record = promote_learner(record, "b1#1", limits, both)
        record = plan({0: record}, limits, both)[0]
        self.assertEqual(2, len(record.members))
        self.assertTrue(survives(record.members, limits))

    def test_replicas_in_one_zone_are_spread_when_a_zone_loss_must_be_survived(self) -> None:
        changes = plan({0: PartitionRecord(1, "a1#1", ("a2#1",))}, SurviveLimits(1, 1, 0), stores("a1", "a2", "b1"))
        self.assertEqual(("b1#1",), changes[0].learners)

    def test_a_retiring_member_stays_until_others_are_in_enough_zones(self) -> None:
        limits = SurviveLimits(1, 1, 0)
        now = stores("a1", "a2", "b1", "b2", retiring=("b1",))
        record = plan({0: PartitionRecord(1, "a1#1", ("b1#1",))}, limits, now)[0]
        self.assertEqual((("b1#1",), ("b2#1",)), (record.backups, record.learners))
        self.assertEqual(("b2#1",), promote_learner(record, "b2#1", limits, now).backups)
        kept = promote_learner(PartitionRecord(2, "a1#1", ("b1#1",), ("a2#1",)), "a2#1", limits, now)
        self.assertIn("b1#1", kept.members)

    def test_a_dead_surplus_member_is_removed(self) -> None:
        record = PartitionRecord(3, "a1#1", ("b1#1", "c1#1"))
        limits = SurviveLimits(1, 0, 0)
        trimmed = remove_surplus(record, limits, stores("a1", "b1"), Counter({"a1#1": 9, "b1#1": 9}))
        self.assertEqual(("a1#1", ("b1#1",)), (trimmed.primary, trimmed.backups))


SURVIVE = st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 2)).filter(any)
MACHINES = st.sets(st.sampled_from(sorted(DOMAINS)), min_size=2)


class PlannedPartitions:
    """Partition records that the planner changes, learner by learner, until no change is left."""

    def __init__(self, machines: set[str], limits: SurviveLimits) -> None:
        self.limits = limits
        self.records = initial_records(PARTITIONS, limits, self.stores(machines))

    def stores(self, live: set[str], retiring: Collection[str] = ()) -> StoreMembers:
        return StoreMembers({m: DOMAINS[m] for m in sorted(live)}, frozenset(retiring))

    def steps(self, live: set[str], retiring: Collection[str] = ()) -> Iterator[None]:
        """Apply the planner's changes, yielding after each change of a record; end when no change is left."""
        now = self.stores(live, retiring)
        for _ in range(MAX_STEPS):
            changes = plan(self.records, self.limits, now)
            self.records |= changes
            yield
            syncing = [n for n, r in self.records.items() if r.learners and r.primary in live]
            for n in syncing:
                self.records[n] = promote_learner(self.records[n], self.records[n].learners[0], self.limits, now)
                yield
            if not changes and not syncing:
                return
        raise AssertionError("the planner did not converge")


class AnyLossTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(MACHINES, SURVIVE, st.data())
    def test_any_allowed_loss_leaves_a_replica_before_and_after_every_repair(
        self, machines: set[str], survive: tuple[int, int, int], data: st.DataObject
    ) -> None:
        limits = SurviveLimits(*survive)
        domains = {m: DOMAINS[m] for m in machines}
        if attainable(domains.values(), limits) != limits or len(machines) < limits.replicas:
            return  # these machines cannot survive the losses
        planned = PlannedPartitions(machines, limits)
        for _ in range(3):
            every = list(losses(domains, survive))
            for lost in every:
                for record in planned.records.values():
                    self.assertTrue(set(record.members) - lost, f"{record} without {lost}")
            lost = data.draw(st.sampled_from(every))
            for _ in planned.steps(machines - lost):
                for record in planned.records.values():
                    self.assertTrue(set(record.members) - lost)
            self._check_strength(planned, machines - lost)
            for _ in planned.steps(machines):
                pass
            self._check_strength(planned, machines)

    def _check_strength(self, planned: PlannedPartitions, live: set[str]) -> None:
        target = attainable([DOMAINS[m] for m in live], planned.limits)
        if len(live) < target.replicas:
            return
        for record in planned.records.values():
            self.assertTrue(survives(set(record.members) & live, target), f"{record} {target}")

    @settings(max_examples=100, deadline=None)
    @given(MACHINES, SURVIVE, st.data())
    def test_moves_and_retirement_keep_surviving_the_allowed_losses(
        self, machines: set[str], survive: tuple[int, int, int], data: st.DataObject
    ) -> None:
        limits = SurviveLimits(*survive)
        first = data.draw(st.sets(st.sampled_from(sorted(machines)), min_size=1))
        if attainable([DOMAINS[m] for m in first], limits) != limits or len(first) < limits.replicas:
            return
        planned = PlannedPartitions(first, limits)
        retiring = {data.draw(st.sampled_from(sorted(machines)))}
        staying = {m: DOMAINS[m] for m in machines - retiring}
        for _ in planned.steps(machines):
            for record in planned.records.values():
                self.assertTrue(survives(record.members, limits), f"moved: {record}")
        if attainable(staying.values(), limits) != limits or len(staying) < limits.replicas:
            return
        for _ in planned.steps(machines, retiring):
            for record in planned.records.values():
                self.assertTrue(survives(record.members, limits), f"retiring: {record}")
        self.assertFalse(retiring & {m for r in planned.records.values() for m in r.members})


if __name__ == "__main__":
    unittest.main()
