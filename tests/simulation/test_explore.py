"""The small model of the controllers: complete searches within small bounds find no violation."""

from __future__ import annotations

import unittest
from typing import Any

from otterreach.simulation.explore import SCENARIOS, Search, explore, quiet
from otterreach.simulation.small_model import Model
from otterreach.simulation.small_parts import Bounds, Event


def play(bounds: Bounds, events: int) -> tuple[Model, list[Event]]:
    """Execute the first possible event repeatedly."""
    model = Model(bounds)
    trace: list[Event] = []
    while len(trace) < events and (choices := [*model.network(), *model.timers(), *model.others()]):
        trace.append(choices[0])
        model.step(choices[0])
    model.end()
    return model, trace


class ModelTest(unittest.TestCase):
    def test_repeats(self) -> None:
        bounds = Bounds(writes=1, elections=1)
        with quiet():
            model, trace = play(bounds, 40)
            other_model, other_trace = play(bounds, 40)
        self.assertEqual(trace, other_trace)
        self.assertEqual(model.key(True), other_model.key(True))

    def test_write_is_acknowledged(self) -> None:
        with quiet():
            model, _ = play(Bounds(writes=1, elections=0), 20)
        self.assertIsNone(model.failure)
        self.assertEqual({"config": 1 << 24 | 2}, model.checks.seen.acked)

    def test_election_makes_another_primary(self) -> None:
        with quiet():
            model, _ = play(Bounds(writes=0, elections=1), 40)
        self.assertIsNone(model.failure)
        self.assertEqual({1, 2}, set(model.checks.seen.primaries))

    def test_same_histories_are_one_state(self) -> None:
        """Syncs at two members, in either order, lead to the same state."""
        with quiet():
            keys = []
            for order in ((1, 2), (2, 1)):
                model = Model(Bounds())
                for number in order:
                    member = model.members[number]
                    member.note("sync", member.name)
                keys.append(model.key(False))
                model.end()
        self.assertEqual(keys[0], keys[1])


class ExploreTest(unittest.TestCase):
    """The searches that CI runs; complete scenarios are run manually (python3 -m otterreach.simulation explore)."""

    def check_complete_search(self, name: str, least_states: int, **changes: Any) -> None:
        found = explore(name, **changes)
        self.assertEqual("", found.failure, found.trace)
        self.assertTrue(found.complete)
        self.assertGreater(found.states, least_states)

    def test_write_and_election(self) -> None:
        self.check_complete_search("write-elect", 2000)

    def test_time_out(self) -> None:
        self.check_complete_search("write-time-out", 400, deviations=0)

    def test_all_scenarios_within_a_state_limit(self) -> None:
        for name in SCENARIOS:
            found = explore(name, most_states=250)
            self.assertEqual("", found.failure, f"{name}: {found.trace}")

    def test_state_limit_ends_the_search(self) -> None:
        found = Search(SCENARIOS["write-crash"], most_states=50).run()
        self.assertFalse(found.complete)
