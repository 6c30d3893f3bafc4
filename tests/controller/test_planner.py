"""Tests of the placement of partitions on job store nodes (docs/system.md, "Partitions of batch jobs")."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from otterreach.controller.planner import StoreMembers, initial_records, plan, promote_learner
from otterreach.controller.survival import FailureDomain, SurviveLimits
from otterreach.runtime.records import PartitionRecord

TWO = SurviveLimits(1)
ZONES = {"a#1": "z1", "b#1": "z2", "c#1": "z3", "d#1": "z1"}


def stores(*names: str, retiring: tuple[str, ...] = ()) -> StoreMembers:
    return StoreMembers({n: FailureDomain(ZONES.get(n, "z1"), "r") for n in names}, frozenset(retiring))


class PlannerTest(unittest.TestCase):
    def test_the_first_records_are_spread_over_members_and_zones(self) -> None:
        records = initial_records(16, TWO, stores("a#1", "b#1", "c#1"))
        primaries = Counter(r.primary for r in records.values())
        load = Counter(m for r in records.values() for m in r.members)
        self.assertEqual(len(records), 16)
        self.assertLessEqual(max(primaries.values()) - min(primaries.values()), 2)
        self.assertLessEqual(max(load.values()) - min(load.values()), 2)
        for record in records.values():
            self.assertEqual(len({ZONES[m] for m in record.members}), 2)

    def test_too_few_store_nodes_create_no_records(self) -> None:
        self.assertEqual(initial_records(16, TWO, stores("a#1")), {})

    def test_a_dead_primary_gives_way_to_a_living_backup_and_another_joins(self) -> None:
        new = plan({0: PartitionRecord(4, "a#1", ("b#1",))}, TWO, stores("b#1", "c#1"))[0]
        self.assertEqual((new.epoch, new.primary, new.backups, new.learners), (5, "b#1", ("a#1",), ("c#1",)))
        done = promote_learner(new, "c#1", TWO, stores("b#1", "c#1"))
        self.assertEqual((done.primary, done.backups, done.learners), ("b#1", ("c#1",), ()))

    def test_successive_deaths_of_all_members_keep_the_complete_replica_in_the_record(self) -> None:
        records = {0: PartitionRecord(4, "a#1", ("b#1",))}
        records |= plan(records, TWO, stores("b#1"))
        self.assertEqual(plan(records, TWO, stores()), {})
        records |= plan(records, TWO, stores("a#1", "b#2"))  # b has lost its disk
        self.assertEqual(records[0].primary, "a#1")

    def test_a_dead_backup_stays_until_a_learner_is_in_sync(self) -> None:
        new = plan({0: PartitionRecord(4, "a#1", ("b#1",))}, TWO, stores("a#1", "c#1"))[0]
        self.assertEqual((new.primary, new.backups, new.learners), ("a#1", ("b#1",), ("c#1",)))
        done = promote_learner(new, "c#1", TWO, stores("a#1", "c#1"))
        self.assertEqual((done.epoch, done.backups, done.learners), (6, ("c#1",), ()))

    def test_with_no_member_alive_nothing_changes(self) -> None:
        self.assertEqual(plan({0: PartitionRecord(4, "a#1", ("b#1",))}, TWO, stores("c#1", "d#1")), {})

    def test_a_wiped_member_is_a_new_member_and_never_becomes_primary(self) -> None:
        new = plan({0: PartitionRecord(4, "a#1", ("b#1",))}, TWO, stores("a#2", "b#1"))[0]
        self.assertEqual((new.primary, new.learners), ("b#1", ("a#2",)))

    def test_a_retiring_member_leaves_only_after_a_learner_is_in_sync(self) -> None:
        record = PartitionRecord(1, "a#1", ("b#1",))
        new = plan({0: record}, TWO, stores("a#1", "b#1", "c#1", retiring=("a#1",)))[0]
        self.assertEqual((new.members, new.learners), (record.members, ("c#1",)))
        done = promote_learner(new, "c#1", TWO, stores("a#1", "b#1", "c#1", retiring=("a#1",)))
        self.assertEqual(set(done.members), {"b#1", "c#1"})

    def test_a_new_store_node_gets_its_share_and_then_nothing_changes(self) -> None:
        records = initial_records(16, TWO, stores("a#1", "b#1"))
        for _ in range(200):
            all_of = stores("a#1", "b#1", "c#1")
            changes = plan(records, TWO, all_of)
            if not changes:
                break
            records |= changes
            for n, record in list(records.items()):
                for learner in record.learners:
                    records[n] = promote_learner(records[n], learner, TWO, all_of)
        self.assertEqual(changes, {})
        load = Counter(m for r in records.values() for m in r.members)
        self.assertLessEqual(max(load.values()) - min(load.values()), 3)
        self.assertTrue(all(len(r.members) == 2 for r in records.values()))

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.sets(st.sampled_from(sorted(ZONES)), min_size=1), st.booleans()), max_size=12))
    def test_a_primary_always_has_a_complete_replica(self, steps: list[tuple[set[str], bool]]) -> None:
        records = initial_records(4, TWO, stores(*ZONES))
        for living, sync in steps:
            now = stores(*sorted(living))
            for n, new in plan(records, TWO, now).items():
                old = records[n]
                self.assertGreater(new.epoch, old.epoch)
                self.assertIn(new.primary, old.members)
                self.assertLessEqual(set(new.members), set(old.members))
                records[n] = new
            if sync:
                for n, record in list(records.items()):
                    if record.primary in living and record.learners:
                        records[n] = promote_learner(record, record.learners[0], TWO, now)
                        self.assertGreaterEqual(len(records[n].members), 2)


if __name__ == "__main__":
    unittest.main()
