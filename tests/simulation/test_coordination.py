"""A few seeds of locks, numbers, keys and watches under faults, on the real controllers."""

from __future__ import annotations

import pytest

from otterreach.simulation import coordination

SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
def test_some_seeds_keep_all_promises(seed: int) -> None:
    world, _ = coordination.run(seed)
    assert world.failure is None, str(world.failure)


def test_a_run_repeats() -> None:
    one, two = coordination.run(5)[0], coordination.run(5)[0]
    assert list(one.lines) == list(two.lines)
    assert one.loop.steps == two.loop.steps
