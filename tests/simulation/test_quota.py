"""Machines with a processor quota, which run for 10 ms of each 100 ms and are paused for the rest.

A paused machine must not be considered lost: no other primary is elected, no proxy loses its items, and no replica is
moved.
"""

from __future__ import annotations

import unittest

from otterreach.simulation import control, faults, jobs
from otterreach.simulation.world import World

BEGIN_S = 1.0
DURATION_S = 10.0
CONTROLLERS = tuple(f"core-{n}" for n in range(5))
STORES = tuple(f"store-{n}" for n in range(4))
PROXIES = tuple(f"front-{n}" for n in range(2))


def plan(names: tuple[str, ...]) -> faults.Plan:
    quota = faults.Fault(BEGIN_S, faults.QUOTA, names, DURATION_S)
    return faults.Plan((quota,), (), BEGIN_S + DURATION_S + 1.0)


def events_during(world: World, *events: str) -> list[str]:
    """Return the log lines of these events between the beginning and the end of the quotas."""
    lines = list(world.lines)
    begin = next(number for number, line in enumerate(lines) if "FAULT" in line)
    end = next(number for number, line in enumerate(lines) if "OVER" in line)
    return [line for line in lines[begin:end] if any(f"event={event} " in f"{line} " for event in events)]


class QuotaTest(unittest.TestCase):
    def test_no_other_primary_leads(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed):
                setup = control.Setup(members=False)
                world, _ = control.run(seed, plan(CONTROLLERS[: setup.controllers]), setup)
                self.assertIsNone(world.failure, str(world.failure))
                self.assertEqual([], events_during(world, "mode", "epoch"))

    def test_no_proxy_and_no_replica_is_lost(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed):
                world, _ = jobs.run(seed, plan((*CONTROLLERS, *STORES, *PROXIES)))
                self.assertIsNone(world.failure, str(world.failure))
                self.assertEqual([], events_during(world, "mode", "proxy_lost", "replica_lost"))


if __name__ == "__main__":
    unittest.main()
