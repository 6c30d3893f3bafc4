"""The processes of a soak, and what is done to them: signals, restarts, lost disks, replaced machines."""

from __future__ import annotations

import asyncio
import re
import signal
from pathlib import Path

from otterreach.loadtest.machines import SEEDS, Machine, System
from otterreach.soak.disk_losses import DiskLosses
from otterreach.soak.setup import SOAK_BOUNDS, SoakSetup

REPLACEMENTS_NET = 60  # third part of the addresses of machines that replace others
FIRST_ADDRESS = 10
SUPERVISE_S = 0.3
SETTLED_S = 3.0  # after a start a process may still be loading
_MODE = re.compile(r"event=mode .*\bnew=(\w+)")


class Fleet:
    """All processes. `down` and `frozen` name the machines that are not running as they should at this moment."""

    def __init__(self, setup: SoakSetup, folder: Path, net: str) -> None:
        self.setup = setup
        self.folder = folder
        self.net = net
        self.plan = setup.plan()
        self.system = System(self.plan, folder, net, SOAK_BOUNDS)
        self.down: set[str] = set()
        self.frozen: dict[str, int] = {}  # by machine: how many freezes of it are under way
        self.in_use: set[str] = set()  # machines whose process is being ended or started: one at a time does that
        self.disk_losses = DiskLosses(setup.survive, float(SOAK_BOUNDS["syncS"]))
        self.unexpected_ends: list[str] = []
        self._started_at: dict[str, float] = {}
        self._replacements = 0

    @property
    def controllers(self) -> list[Machine]:
        """The present controllers."""
        return self.system.of("core")

    def addresses(self) -> list[str]:
        """The `ctl` addresses that applications know."""
        return [machine.ctl for machine in self.controllers]

    @property
    def is_calm(self) -> bool:
        """Whether every process runs and has had time to start."""
        now = asyncio.get_running_loop().time()
        settled = all(now - at >= SETTLED_S for at in self._started_at.values())
        return settled and not self.down and not self.frozen

    def has_room(self, machine: Machine) -> bool:
        """Whether one more machine may be disturbed without more than the system bears being so at once."""
        if self.setup.may_lose_majority or machine.kind != "core":
            return True
        disturbed = {one.name for one in self.controllers} & self.disturbed
        return len(disturbed | {machine.name}) <= self.setup.survive

    @property
    def disturbed(self) -> set[str]:
        """The machines that are down, frozen, or about to be ended."""
        return self.down | self.in_use | self.frozen.keys()

    def primary(self) -> Machine | None:
        """The controller whose log says last that it is primary; None if no log says so."""
        for machine in self.controllers:
            log = self.folder / "logs" / f"{machine.name}.log"
            modes = _MODE.findall(log.read_text(errors="replace")) if log.exists() else []
            if modes and modes[-1] == "primary" and machine.running:
                return machine
        return None

    async def start_all(self) -> None:
        """Start every process at once."""
        await asyncio.gather(*(self.start(machine) for machine in self.system.machines))

    async def start(self, machine: Machine) -> None:
        """Start a process.

        Danger: a second one for the same machine would be out of reach, and would outlive the soak.
        """
        assert not machine.running
        await machine.start(self.plan, self.system.seeds, SOAK_BOUNDS)
        self._started_at[machine.name] = asyncio.get_running_loop().time()
        self.down.discard(machine.name)

    async def stop_all(self) -> None:
        """End every process."""
        for machine in self.system.machines:
            machine.measure()
        await asyncio.gather(*(machine.kill() for machine in self.system.machines))

    # What is done to one machine ------------------------------------------------------------------

    async def kill(self, machine: Machine) -> None:
        """SIGKILL."""
        self._note_end(machine)
        self.down.add(machine.name)
        await machine.kill()

    async def terminate(self, machine: Machine) -> None:
        """SIGTERM, and SIGKILL after the time of grace. A frozen process gets it when it goes on."""
        self._note_end(machine)
        self.down.add(machine.name)
        machine.wanted = False
        machine.send_signal(signal.SIGTERM)
        end = asyncio.get_running_loop().time() + float(SOAK_BOUNDS["graceS"])
        while machine.running and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        await machine.kill()

    def freeze(self, machine: Machine) -> None:
        """SIGSTOP. Several freezes of one process may overlap: the last one's end lets it go on."""
        self.frozen[machine.name] = self.frozen.get(machine.name, 0) + 1
        machine.send_signal(signal.SIGSTOP)

    def thaw(self, machine: Machine) -> None:
        """The end of one freeze."""
        self.frozen[machine.name] -= 1
        if not self.frozen[machine.name]:
            del self.frozen[machine.name]
            machine.send_signal(signal.SIGCONT)

    def lose_disk(self, machine: Machine) -> None:
        """The disk of a machine whose process has ended is lost."""
        self.disk_losses.lose(machine.name)
        machine.wipe()

    async def replace(self, machine: Machine) -> Machine:
        """A machine whose process has ended is gone for good; another one with an empty disk comes at a new address."""
        self.lose_disk(machine)
        self._replacements += 1
        zone = self.plan.zones.index(machine.zone)
        ip = f"{self.net}.{REPLACEMENTS_NET + zone}.{FIRST_ADDRESS + self._replacements}"
        new = Machine(f"{machine.kind}-r{self._replacements}", machine.kind, ip, machine.zone, self.folder)
        new.first = False
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
        """Note ends that nobody asked for, which are faults of the program, and start the process again; for ever."""
        while True:
            for machine in list(self.system.machines):
                if machine.wanted and not machine.running and machine.name not in self.in_use:
                    self._note_end(machine)
                    self.in_use.add(machine.name)
                    await self.start(machine)
                    self.in_use.discard(machine.name)
            await asyncio.sleep(SUPERVISE_S)

    def _note_end(self, machine: Machine) -> None:
        if machine.wanted and not machine.running:
            machine.wanted = False
            self.unexpected_ends.append(f"{machine.name} ended by itself with {machine.exit_code}")
