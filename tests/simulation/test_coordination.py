"""Simulation of locks, numbers, keys and watches under faults, on the real controllers, for a few seeds."""

from __future__ import annotations

import pytest

from otterreach.simulation import coordination

SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
def test_some_seeds_break_no_rule(seed: int) -> None:
    world, _ = coordination.run(seed)
    assert world.failure is None, str(world.failure)


def test_run_is_deterministic() -> None:
    first, second = coordination.run(5)[0], coordination.run(5)[0]
    assert list(first.lines) == list(second.lines)
    assert first.loop.steps == second.loop.steps
