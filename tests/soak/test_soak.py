"""One short soak with real processes; long soaks are started manually (docs/operations.md)."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from unittest import mock

from otterreach.simulation.coordination_history import Rule, Violation
from otterreach.soak import __main__ as main_module
from otterreach.soak.__main__ import Options, fits_machine, read_seeds
from otterreach.soak.result import SoakResult
from otterreach.soak.run import run_soak
from otterreach.soak.setup import SMALL_CORE, SoakSetup

SEED = 7
SECONDS = 12.0
MIN_SERVED_CALLS = 100
MIN_DISRUPTIONS = 3


def test_a_short_soak_breaks_no_rule(tmp_path: Path) -> None:
    """Acknowledged locks, numbers, keys and watches survive signals, restarts, disk losses and changes."""
    setup = replace(
        SoakSetup.draw(SEED, SECONDS), controllers=SMALL_CORE, survive=1, mean_pause_s=1.0, final_power_loss=True
    )

    async def main() -> SoakResult:
        return await run_soak(setup, tmp_path, quiet=True)

    result = asyncio.run(main())
    assert result.violations == [], result.details()
    assert sum(counts.get("200", 0) for counts in result.calls.values()) > MIN_SERVED_CALLS
    assert result.calls["Acquire"].get("200", 0) > 0
    assert len(result.disruptions) >= MIN_DISRUPTIONS


def test_a_soak_begins_on_empty_disks(tmp_path: Path) -> None:
    """Guards against reuse of the disks of an earlier soak, which hold a membership with other addresses."""
    old = tmp_path / "disk" / "core-0" / "control.journal"
    old.parent.mkdir(parents=True)
    old.touch()
    setup = SoakSetup.draw(SEED, SECONDS)

    async def run_cancellable(*_: object) -> SoakResult:
        assert not old.exists()
        return SoakResult(setup)

    with mock.patch.object(main_module, "run_cancellable", run_cancellable):
        assert main_module.soak_seed(setup, tmp_path, quiet=True)


def test_the_same_seed_gives_the_same_setup() -> None:
    setups = [SoakSetup.draw(seed, SECONDS) for seed in range(50)]
    assert setups == [SoakSetup.draw(seed, SECONDS) for seed in range(50)]
    assert {setup.controllers for setup in setups} == {3, 5}
    assert {setup.final_power_loss for setup in setups} == {True, False}
    assert {setup.may_lose_majority for setup in setups} == {True, False}


def test_seed_lists_process_limit_and_options() -> None:
    assert list(read_seeds("4")) == [4]
    assert list(read_seeds("1,7,20-22")) == [1, 7, 20, 21, 22]
    assert fits_machine(Options(proxies=10).setup(1))
    assert not fits_machine(Options(proxies=100_000).setup(1))
    setup = Options(controllers=5).setup(1)
    assert (setup.controllers, setup.survive) == (5, 2)


def test_late_answers_are_separate_from_broken_rules(tmp_path: Path) -> None:
    result = SoakResult(SoakSetup.draw(1, SECONDS))
    result.add_violations([Violation(Rule.PROMPT, "slow"), Violation(Rule.ONE, "two holders")])
    assert result.violations == ["ONE: two holders"]
    assert result.late == ["PROMPT: slow"]
    assert "1 VIOLATIONS" in result.line()
    result.write(tmp_path)
    assert "two holders" in (tmp_path / "result.json").read_text()
