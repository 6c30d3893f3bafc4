"""Processes of a soak, and the operations on them: signals, restarts, disk losses, replacement of machines."""

from __future__ import annotations

import asyncio
import re
import signal
from pathlib import Path

from otterreach.loadtest.machines import FRONT_PORT, SEEDS, Machine, System
from otterreach.soak.disk_losses import DiskLosses
from otterreach.soak.setup import SOAK_BOUNDS, SoakSetup

REPLACEMENT_OCTET = 60  # third octet of the addresses of replacement machines, plus the index of the zone
FIRST_HOST = 10
SUPERVISE_INTERVAL_S = 0.3
STARTUP_S = 3.0  # a process may still be loading its state for this long after its start
_MODE_EVENT = re.compile(r"event=mode .*\bnew=(\w+)")


class Fleet:
    """All machines of a soak and their processes. `down` and `frozen` name those not running normally at present."""

    def __init__(self, setup: SoakSetup, folder: Path, network_prefix: str) -> None:
        self.setup = setup
        self.folder = folder
        self.network_prefix = network_prefix
        self.plan = setup.plan()
        self.system = System(self.plan, folder, network_prefix, SOAK_BOUNDS)
        self.down: set[str] = set()
        self.frozen: dict[str, int] = {}  # by machine: number of overlapping freezes
        # Machines whose process is being ended or started; only one task at a time may do so.
        self.restarting: set[str] = set()
        self.open_crowds = 0  # crowds of clients that don't behave, during which answers may be late
        self.disk_losses = DiskLosses(setup.survive, float(SOAK_BOUNDS["syncS"]))
        self.unexpected_exits: list[str] = []
        self._started_at: dict[str, float] = {}
        self._replacements = 0

    @property
    def controllers(self) -> list[Machine]:
        """Current controllers, replacements included."""
        return self.system.machines_of_kind("core")

    def addresses(self) -> list[str]:
        """Return the `ctl` addresses of the current controllers, which clients use."""
        return [machine.ctl for machine in self.controllers]

    def front_addresses(self) -> list[str]:
        """Return the addresses of the proxies for requests of clients."""
        return [f"{machine.ip}:{FRONT_PORT}" for machine in self.system.machines_of_kind("front")]

    @property
    def is_calm(self) -> bool:
        """True if every process runs, its start-up time has passed, and no crowd is there."""
        now = asyncio.get_running_loop().time()
        all_started = all(now - at >= STARTUP_S for at in self._started_at.values())
        return all_started and not self.down and not self.frozen and not self.open_crowds

    def may_disrupt(self, machine: Machine) -> bool:
        """Return True if at most `survive` controllers would be disrupted at once, this machine included.

        Machines of other kinds may always be disrupted, as may all where the setup allows the loss of a majority.
        """
        if self.setup.may_lose_majority or machine.kind != "core":
            return True
        disrupted = {one.name for one in self.controllers} & self.disrupted
        return len(disrupted | {machine.name}) <= self.setup.survive

    @property
    def disrupted(self) -> set[str]:
        """Names of the machines that are down, frozen, or being ended or started."""
        return self.down | self.restarting | self.frozen.keys()

    def primary(self) -> Machine | None:
        """Return the running controller whose last logged mode is primary; None if there is none."""
        for machine in self.controllers:
            log = self.folder / "logs" / f"{machine.name}.log"
            modes = _MODE_EVENT.findall(log.read_text(errors="replace")) if log.exists() else []
            if modes and modes[-1] == "primary" and machine.running:
                return machine
        return None

    async def start_all(self) -> None:
        """Start every process at once."""
        await asyncio.gather(*(self.start(machine) for machine in self.system.machines))

    async def start(self, machine: Machine) -> None:
        """Start the process of a machine, which must not be running.

        A second process for the same machine could not be signalled any more and would outlive the soak.
        """
        assert not machine.running
        await machine.start(self.plan, self.system.seeds, SOAK_BOUNDS)
        self._started_at[machine.name] = asyncio.get_running_loop().time()
        self.down.discard(machine.name)

    async def stop_all(self) -> None:
        """Record the resource usage of every process and kill it."""
        for machine in self.system.machines:
            machine.measure()
        await asyncio.gather(*(machine.kill() for machine in self.system.machines))

    # Operations on one machine --------------------------------------------------------------------

    async def kill(self, machine: Machine) -> None:
        """Send SIGKILL and wait for the process to end."""
        self._record_unexpected_exit(machine)
        self.down.add(machine.name)
        await machine.kill()

    async def terminate(self, machine: Machine) -> None:
        """Send SIGTERM, and SIGKILL after the grace period. A frozen process handles SIGTERM once it is thawed."""
        self._record_unexpected_exit(machine)
        self.down.add(machine.name)
        machine.should_run = False
        machine.send_signal(signal.SIGTERM)
        end = asyncio.get_running_loop().time() + float(SOAK_BOUNDS["graceS"])
        while machine.running and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        await machine.kill()

    def freeze(self, machine: Machine) -> None:
        """Send SIGSTOP. Freezes of one process may overlap; the end of the last one resumes it."""
        self.frozen[machine.name] = self.frozen.get(machine.name, 0) + 1
        machine.send_signal(signal.SIGSTOP)

    def thaw(self, machine: Machine) -> None:
        """End one freeze; send SIGCONT if no other one is in progress."""
        self.frozen[machine.name] -= 1
        if not self.frozen[machine.name]:
            del self.frozen[machine.name]
            machine.send_signal(signal.SIGCONT)

    def lose_disk(self, machine: Machine) -> None:
        """Erase the disk of a machine whose process has ended."""
        self.disk_losses.record_loss(machine.name)
        machine.wipe()

    async def replace(self, machine: Machine) -> Machine:
        """Remove a machine whose process has ended, and start another with an empty disk at a new address."""
        self.lose_disk(machine)
        self._replacements += 1
        zone = self.plan.zones.index(machine.zone)
        ip = f"{self.network_prefix}.{REPLACEMENT_OCTET + zone}.{FIRST_HOST + self._replacements}"
        new = Machine(f"{machine.kind}-r{self._replacements}", machine.kind, ip, machine.zone, self.folder)
        new.first_start = False
        machines = self.system.machines
        machines[machines.index(machine)] = new
        self.down.discard(machine.name)
        self._started_at.pop(machine.name, None)
        self.system.seeds[:] = [one.ctl for one in self.controllers][:SEEDS]
        await self.start(new)
        for other in machines:
            other.write_settings(self.plan, self.system.seeds, SOAK_BOUNDS)
        return new

    async def supervise(self) -> None:
        """Record unexpected exits, which are faults of the program, and restart those processes, until cancelled."""
        while True:
            for machine in list(self.system.machines):
                if machine.should_run and not machine.running and machine.name not in self.restarting:
                    self._record_unexpected_exit(machine)
                    self.restarting.add(machine.name)
                    await self.start(machine)
                    self.restarting.discard(machine.name)
            await asyncio.sleep(SUPERVISE_INTERVAL_S)

    def _record_unexpected_exit(self, machine: Machine) -> None:
        if machine.should_run and not machine.running:
            machine.should_run = False
            self.unexpected_exits.append(f"{machine.name} exited unexpectedly with {machine.exit_code}")
