"""The switches of server selection: each affects its mechanism, and all are enabled in production."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import fields
from random import Random

from otterreach.proxy.draw import Draw, Estimate
from otterreach.proxy.policy import PRODUCTION_POLICY, Policy

DRAWS = 2000


def estimate(slowness: float = 1.0, load: int = 0) -> Estimate:
    found = Estimate()
    found.slowness = slowness
    found.load = load
    return found


def shares(policy: Policy, estimates: list[Estimate], without_idle: tuple[bool, ...] = ()) -> list[float]:
    draw = Draw(Random(1), policy)
    picked = Counter(draw.pick(estimates, 0.0, without_idle) for _ in range(DRAWS))
    return [picked[place] / DRAWS for place in range(len(estimates))]


class PolicyTest(unittest.TestCase):
    def test_all_mechanisms_are_on_in_service(self) -> None:
        self.assertTrue(all(getattr(PRODUCTION_POLICY, field.name) for field in fields(Policy)))
        self.assertIs(Draw(Random(1)).policy, PRODUCTION_POLICY)

    def test_the_load_counts_in_the_odds_unless_it_is_switched_off(self) -> None:
        estimates = [estimate(load=0), estimate(load=3)]
        for row in estimates:
            row.load_at = 0.0
        self.assertAlmostEqual(shares(PRODUCTION_POLICY, estimates)[0], 0.8, delta=0.03)
        self.assertAlmostEqual(shares(Policy(load_in_draw=False), estimates)[0], 0.5, delta=0.04)

    def test_response_times_count_in_the_odds_unless_they_are_switched_off(self) -> None:
        estimates = [estimate(1.0), estimate(4.0)]
        self.assertAlmostEqual(shares(PRODUCTION_POLICY, estimates)[0], 0.8, delta=0.03)
        self.assertAlmostEqual(shares(Policy(response_time_in_draw=False), estimates)[0], 0.5, delta=0.04)

    def test_idle_connections_count_in_the_odds_unless_they_are_switched_off(self) -> None:
        estimates = [estimate(), estimate()]
        self.assertGreater(shares(PRODUCTION_POLICY, estimates, (False, True))[0], 0.7)
        self.assertAlmostEqual(
            shares(Policy(prefer_idle_connections=False), estimates, (False, True))[0], 0.5, delta=0.04
        )


if __name__ == "__main__":
    unittest.main()
