"""Each planted fault is found by the scenario in its entry, and the code without it passes the same run."""

from __future__ import annotations

import unittest

from otterreach.simulation.planted import RUNS, Change, Planted, find, passes, planted
from otterreach.simulation.planted_keys import KEY_FAULTS, WATCH_FAULTS
from otterreach.simulation.planted_locks import LOCK_FAULTS, NUMBER_FAULTS
from otterreach.simulation.planted_table import TABLE, UNNOTICED

MIN_FAULTS = 24
SEEDS = 8


class TableTest(unittest.TestCase):
    def test_enough_faults_with_unique_names(self) -> None:
        self.assertGreaterEqual(len(TABLE), MIN_FAULTS)
        self.assertEqual(len(TABLE), len({fault.name for fault in TABLE}))

    def test_missing_text_raises(self) -> None:
        change = Change("otterreach.controller.epochs:is_majority", "no such text", "")
        with self.assertRaises(ValueError), planted(Planted("none", "", (change,), "write-elect")):
            pass

    def test_all_faults_apply_to_the_code(self) -> None:
        for fault in (*TABLE, *UNNOTICED):
            with self.subTest(fault.name), planted(fault):
                pass


class FoundTest(unittest.TestCase):
    """The known seed is tried first; where other code has shifted the timing, one of the next seeds finds the fault."""

    def found(self, kind: str) -> None:
        for fault in [f for f in TABLE if (f.found_by if f.found_by in RUNS else "search") == kind]:
            with self.subTest(fault.name):
                found = find(fault, fault.seed, SEEDS)
                self.assertNotEqual("", found.rule)
                if found.rule != fault.rule:
                    self.assertTrue(passes(fault, found.seed), f"{found.rule}, also without the fault")

    def test_by_the_search_of_the_small_model(self) -> None:
        self.found("search")

    def test_by_the_simulation_of_the_controllers(self) -> None:
        self.found("control")

    def test_by_the_simulation_of_batch_jobs(self) -> None:
        self.found("jobs")


class FoundByCoordinationTest(unittest.TestCase):
    """As FoundTest, with one test for each part, so that they run in parallel."""

    def found(self, faults: tuple[Planted, ...]) -> None:
        for fault in faults:
            with self.subTest(fault.name):
                found = find(fault, fault.seed, SEEDS)
                self.assertNotEqual("", found.rule)
                if found.rule != fault.rule:
                    self.assertTrue(passes(fault, found.seed), f"{found.rule}, also without the fault")

    def test_all_are_in_the_table(self) -> None:
        parts = (*LOCK_FAULTS, *NUMBER_FAULTS, *KEY_FAULTS, *WATCH_FAULTS)
        self.assertEqual(set(parts), {fault for fault in TABLE if fault.found_by == "coordination"})

    def test_of_locks(self) -> None:
        self.found(LOCK_FAULTS)

    def test_of_numbers(self) -> None:
        self.found(NUMBER_FAULTS)

    def test_of_keys(self) -> None:
        self.found(KEY_FAULTS)

    def test_of_watches(self) -> None:
        self.found(WATCH_FAULTS)
