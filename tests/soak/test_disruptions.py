"""Limits on simultaneous disruptions, and full recovery after them. Processes are fake, time is virtual."""

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


class MonitoredFleet(Fleet):
    """Fleet that records the highest numbers of disrupted machines and of lost disks at the same time."""

    most_disrupted = 0
    most_lost = 0

    def lose_disk(self, machine: object) -> None:
        super().lose_disk(machine)  # type: ignore[arg-type]
        self.most_lost = max(self.most_lost, self.setup.survive - self.disk_losses.allowed)

    def sample(self) -> None:
        present = {machine.name for machine in self.system.machines}  # a machine may be replaced while it is frozen
        self.most_disrupted = max(self.most_disrupted, len(self.disrupted & present))


def disrupted_fleet(setup: SoakSetup, folder: Path) -> tuple[MonitoredFleet, Disruptor]:
    """Run all disruptions of a soak; return the fleet and the disruptor."""

    async def main() -> tuple[MonitoredFleet, Disruptor]:
        fleet = MonitoredFleet(setup, folder, "127.1")
        operator = ConfigurationOperator(fleet.plan, fleet.addresses, Random(1))
        disruptor = Disruptor(fleet, operator, Random(setup.seed), lambda _: None)
        await fleet.start_all()

        async def sample() -> None:
            while True:
                fleet.sample()
                await asyncio.sleep(0.05)

        sampling = asyncio.ensure_future(sample())
        with mock.patch.object(operator, "submit_change", mock.AsyncMock()):
            await disruptor.run(setup.seconds)
        sampling.cancel()
        assert all(machine.running for machine in fleet.system.machines)
        assert not any(process_of(machine).stopped for machine in fleet.system.machines)
        return fleet, disruptor

    with fake_processes():
        return virtual.run(main)


@pytest.mark.parametrize("seed", range(1, 9))
def test_everything_runs_after_the_disruptions(seed: int, tmp_path: Path) -> None:
    fleet, disruptor = disrupted_fleet(SoakSetup.draw(seed, SECONDS, jobstores=2, proxies=2), tmp_path)
    assert fleet.unexpected_exits == []
    assert fleet.down == set()
    assert fleet.frozen == {}
    assert fleet.restarting == set()
    assert len(disruptor.disruptions) > 20
    assert fleet.most_disrupted > 1, "disruptions overlap"
    assert fleet.most_lost <= fleet.setup.survive


@pytest.mark.parametrize("seed", range(1, 5))
def test_a_majority_stays_undisturbed_unless_the_setup_allows_its_loss(seed: int, tmp_path: Path) -> None:
    setup = replace(SoakSetup.draw(seed, SECONDS), may_lose_majority=False)
    fleet, _ = disrupted_fleet(setup, tmp_path)
    assert 0 < fleet.most_disrupted <= setup.survive


def test_every_kind_occurs_and_the_same_seed_gives_the_same_disruptions(tmp_path: Path) -> None:
    setup = replace(SoakSetup.draw(3, 300.0), may_lose_majority=True)
    first = disrupted_fleet(setup, tmp_path)[1].disruptions
    assert {one.kind for one in first} == {kind.name.lower() for kind in Kind}
    assert disrupted_fleet(setup, tmp_path)[1].disruptions == first


def test_a_replacement_machine_has_a_new_address_that_clients_use(tmp_path: Path) -> None:
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


def test_an_unexpected_exit_is_recorded_and_the_process_restarted(tmp_path: Path) -> None:
    async def main() -> None:
        fleet = Fleet(SoakSetup.draw(1, SECONDS), tmp_path, "127.1")
        await fleet.start_all()
        supervising = asyncio.ensure_future(fleet.supervise())
        process_of(fleet.controllers[0]).send_signal(9)
        await asyncio.sleep(2.0)
        supervising.cancel()
        assert fleet.unexpected_exits == ["core-0 exited unexpectedly with 0"]
        assert fleet.controllers[0].running

    with fake_processes():
        virtual.run(main)


def test_a_lost_disk_counts_until_every_machine_has_run_for_long_enough() -> None:
    losses = DiskLosses(survive=2, sync_s=6.0)
    losses.record_loss("core-1")
    losses.record_loss("core-2")
    assert losses.allowed == 0
    assert losses.is_counted("core-1")
    losses.credit_calm_time(4.0)
    losses.record_loss("core-1")  # again, before its data was restored
    losses.credit_calm_time(4.0)
    assert losses.allowed == 1
    assert losses.is_counted("core-1")
    losses.credit_calm_time(4.0)
    assert losses.allowed == 2
