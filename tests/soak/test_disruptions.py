"""Disruptions: what they may do at once, and that everything runs after them. Processes are fake, time is virtual."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from random import Random
from unittest import mock

import pytest

from otterreach.soak.disk_losses import DiskLosses
from otterreach.soak.disruptions import Disruptor, Kind, lose_power
from otterreach.soak.fleet import Fleet
from otterreach.soak.operator import ConfigurationOperator
from otterreach.soak.setup import SoakSetup
from tests import virtual
from tests.soak.fake_processes import fake_processes, process_of

SECONDS = 120.0


class Watched(Fleet):
    """A fleet that holds what happens against what is allowed."""

    most_disturbed = 0
    most_lost = 0

    def lose_disk(self, machine: object) -> None:
        super().lose_disk(machine)  # type: ignore[arg-type]
        self.most_lost = max(self.most_lost, self.setup.survive - self.disk_losses.allowed)

    def look(self) -> None:
        present = {machine.name for machine in self.system.machines}  # one may be replaced while it is frozen
        self.most_disturbed = max(self.most_disturbed, len(self.disturbed & present))


def disturbed_fleet(setup: SoakSetup, folder: Path) -> tuple[Watched, Disruptor]:
    """A fleet after all disruptions of a soak."""

    async def main() -> tuple[Watched, Disruptor]:
        fleet = Watched(setup, folder, "127.1")
        operator = ConfigurationOperator(fleet.plan, fleet.addresses, Random(1))
        disruptor = Disruptor(fleet, operator, Random(setup.seed), lambda _: None)
        await fleet.start_all()

        async def look() -> None:
            while True:
                fleet.look()
                await asyncio.sleep(0.05)

        looking = asyncio.ensure_future(look())
        with mock.patch.object(operator, "change", mock.AsyncMock()):
            await disruptor.run(setup.seconds)
        looking.cancel()
        assert all(machine.running for machine in fleet.system.machines)
        assert not any(process_of(machine).stopped for machine in fleet.system.machines)
        return fleet, disruptor

    with fake_processes():
        return virtual.run(main)


@pytest.mark.parametrize("seed", range(1, 9))
def test_everything_runs_after_the_disruptions(seed: int, tmp_path: Path) -> None:
    fleet, disruptor = disturbed_fleet(SoakSetup.draw(seed, SECONDS, jobstores=2, proxies=2), tmp_path)
    assert fleet.unexpected_ends == []
    assert fleet.down == set()
    assert fleet.frozen == {}
    assert fleet.in_use == set()
    assert len(disruptor.done) > 20
    assert fleet.most_disturbed > 1, "they overlap"
    assert fleet.most_lost <= fleet.setup.survive


@pytest.mark.parametrize("seed", range(1, 5))
def test_the_majority_is_kept_where_the_setup_says_so(seed: int, tmp_path: Path) -> None:
    setup = replace(SoakSetup.draw(seed, SECONDS), may_lose_majority=False)
    fleet, _ = disturbed_fleet(setup, tmp_path)
    assert 0 < fleet.most_disturbed <= setup.survive


def test_every_kind_comes_and_the_same_ones_again_for_the_same_seed(tmp_path: Path) -> None:
    setup = replace(SoakSetup.draw(3, 300.0), may_lose_majority=True)
    first = disturbed_fleet(setup, tmp_path)[1].done
    assert {one.kind for one in first} == {kind.name.lower() for kind in Kind}
    assert disturbed_fleet(setup, tmp_path)[1].done == first


def test_a_replaced_machine_has_a_new_address_and_is_among_those_that_applications_know(tmp_path: Path) -> None:
    async def main() -> None:
        fleet = Fleet(SoakSetup.draw(1, SECONDS), tmp_path, "127.1")
        await fleet.start_all()
        old = fleet.controllers[0]
        await fleet.kill(old)
        new = await fleet.replace(old)
        assert new.ctl in fleet.addresses()
        assert old.ctl not in fleet.addresses()
        assert new.ctl in fleet.system.seeds
        assert not new.settings(fleet.plan, fleet.system.seeds, {})["bootstrap"]
        assert fleet.disk_losses.allowed == fleet.setup.survive - 1

    with fake_processes():
        virtual.run(main)


def test_a_loss_of_power_ends_all_controllers_and_starts_them_again(tmp_path: Path) -> None:
    async def main() -> None:
        fleet = Fleet(SoakSetup.draw(1, SECONDS), tmp_path, "127.1")
        await fleet.start_all()
        before = [process_of(machine) for machine in fleet.controllers]
        await lose_power(fleet, Random(1), lose_disks=1)
        assert all(process.returncode is not None for process in before)
        assert all(machine.running for machine in fleet.controllers)
        assert fleet.disk_losses.allowed == fleet.setup.survive - 1

    with fake_processes():
        virtual.run(main)


def test_an_end_that_nobody_asked_for_is_noted_and_the_process_starts_again(tmp_path: Path) -> None:
    async def main() -> None:
        fleet = Fleet(SoakSetup.draw(1, SECONDS), tmp_path, "127.1")
        await fleet.start_all()
        supervising = asyncio.ensure_future(fleet.supervise())
        process_of(fleet.controllers[0]).send_signal(9)
        await asyncio.sleep(2.0)
        supervising.cancel()
        assert fleet.unexpected_ends == ["core-0 ended by itself with 0"]
        assert fleet.controllers[0].running

    with fake_processes():
        virtual.run(main)


def test_a_lost_disk_counts_until_every_machine_has_run_for_long_enough() -> None:
    losses = DiskLosses(survive=2, sync_s=6.0)
    losses.lose("core-1")
    losses.lose("core-2")
    assert losses.allowed == 0
    assert losses.is_outstanding("core-1")
    losses.pass_calm_time(4.0)
    losses.lose("core-1")  # again, before it was made up for
    losses.pass_calm_time(4.0)
    assert losses.allowed == 1
    assert losses.is_outstanding("core-1")
    losses.pass_calm_time(4.0)
    assert losses.allowed == 2
