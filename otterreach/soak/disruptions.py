"""What disturbs the processes, one after the other and at the same time, drawn from the seed."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from otterreach.loadtest.machines import Machine
from otterreach.soak.fleet import Fleet
from otterreach.soak.operator import ConfigurationOperator

PRIMARY_SHARE = 0.4  # of the disruptions of a controller hit the primary
CORE_SHARE = 0.7  # of the disruptions hit a controller
DOWN_S = (0.0, 0.2, 1.0, 4.0)
FROZEN_S = (0.05, 0.5, 1.5, 3.5, 7.0)
BURST_SHARE = 0.15  # of the disruptions come as several at the same moment
BURST = 3
QUIET_EVERY_S = 14.0
QUIET_S = 9.0  # long enough for a lost disk to be made up for
POLL_S = 0.1


class Kind(Enum):
    """A kind of disruption; its value is how often it comes."""

    TERMINATE = 4.0
    KILL = 4.1
    FREEZE = 5.0
    RELOAD = 2.0
    LOSE_DISK = 3.0
    REPLACE = 2.1
    CHANGE_CONFIGURATION = 2.2
    POWER_LOSS = 0.5


@dataclass(frozen=True, slots=True)
class Disruption:
    """One that was carried out, for the record. `at`: seconds since the soak began."""

    at: float
    kind: str
    target: str


@dataclass(slots=True)
class Disruptor:
    """Draws disruptions and carries them out."""

    fleet: Fleet
    operator: ConfigurationOperator
    random: Random
    print_line: Callable[[str], None]
    done: list[Disruption] = field(default_factory=list)
    _under_way: set[asyncio.Task[None]] = field(default_factory=set)
    _began: float = 0.0

    async def run(self, seconds: float) -> None:
        """Disturb for so long, in phases with quiet ones between; ends once everything runs again."""
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        end = self._began + seconds
        while loop.time() < end:
            await self._series(min(end, loop.time() + QUIET_EVERY_S))
            await self._quiet(min(end, loop.time() + QUIET_S))
        await self.finish()

    async def finish(self) -> None:
        """Wait for what is under way."""
        while self._under_way:
            await asyncio.wait(self._under_way)

    async def _series(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            for _ in range(BURST if self.random.random() < BURST_SHARE else 1):
                self._begin(self._draw())
            await asyncio.sleep(self.random.expovariate(1.0 / self.fleet.setup.mean_pause_s))

    async def _quiet(self, until: float) -> None:
        """Time in which every machine runs makes up for lost disks."""
        await self.finish()
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            began = loop.time()
            await asyncio.sleep(POLL_S)
            if self.fleet.is_calm:
                self.fleet.disk_losses.pass_calm_time(loop.time() - began)

    def _draw(self) -> Kind:
        return self.random.choices(list(Kind), [kind.value for kind in Kind])[0]

    def _begin(self, kind: Kind) -> None:
        work = self._work(kind)
        if work is None:
            return
        task = asyncio.ensure_future(work)
        self._under_way.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._under_way.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.fleet.unexpected_ends.append(f"the soak itself failed: {error!r}")

    def _note(self, kind: Kind, target: str) -> None:
        at = asyncio.get_running_loop().time() - self._began
        self.done.append(Disruption(round(at, 3), kind.name.lower(), target))
        self.print_line(f"{kind.name.lower()} {target}")

    # Kinds ---------------------------------------------------------------------------------------

    def _work(self, kind: Kind) -> Coroutine[object, object, None] | None:
        """The coroutine of a disruption; None if there is no target for it now."""
        if kind is Kind.CHANGE_CONFIGURATION:
            self._note(kind, "")
            return self.operator.change()
        if kind is Kind.POWER_LOSS:
            return self._power_loss()
        ends_process = kind not in (Kind.FREEZE, Kind.RELOAD)
        loses_disk = kind in (Kind.LOSE_DISK, Kind.REPLACE)
        machine = self._target(loses_disk)
        if machine is None or ends_process and machine.name in self.fleet.in_use:
            return None
        if kind is not Kind.RELOAD and not self.fleet.has_room(machine):
            return None
        self._note(kind, machine.name)
        if loses_disk:
            self.fleet.disk_losses.lose(machine.name)
        if ends_process:
            self.fleet.in_use.add(machine.name)
        if kind is Kind.FREEZE:
            self.fleet.freeze(machine)
        return self._on_machine(kind, machine)

    def _target(self, loses_disk: bool) -> Machine | None:
        fleet = self.fleet
        others = [machine for machine in fleet.system.machines if machine.kind != "core"]
        if others and not loses_disk and self.random.random() >= CORE_SHARE:
            return self.random.choice(others)
        controllers = fleet.controllers
        if loses_disk:
            controllers = [one for one in controllers if self._may_lose_disk(one)]
        primary = fleet.primary()
        if primary in controllers and self.random.random() < PRIMARY_SHARE:
            return primary
        return self.random.choice(controllers) if controllers else None

    def _may_lose_disk(self, machine: Machine) -> bool:
        losses = self.fleet.disk_losses
        return losses.allowed > 0 or losses.is_outstanding(machine.name)

    async def _on_machine(self, kind: Kind, machine: Machine) -> None:
        if kind is Kind.FREEZE:
            await asyncio.sleep(self.random.choice(FROZEN_S))
            self.fleet.thaw(machine)
        elif kind is Kind.RELOAD:
            machine.send_signal(signal.SIGHUP)
        else:
            try:
                await self._end_and_start(kind, machine)
            finally:
                self.fleet.in_use.discard(machine.name)

    async def _end_and_start(self, kind: Kind, machine: Machine) -> None:
        fleet = self.fleet
        by_signal = kind is Kind.TERMINATE or kind is Kind.REPLACE and self.random.random() < 0.5
        await (fleet.terminate(machine) if by_signal else fleet.kill(machine))
        if kind is Kind.REPLACE:
            await fleet.replace(machine)
            return
        if kind is Kind.LOSE_DISK:
            fleet.lose_disk(machine)
        await asyncio.sleep(self.random.choice(DOWN_S))
        await fleet.start(machine)

    def _power_loss(self) -> Coroutine[object, object, None] | None:
        """All controllers at the same moment; they keep their disks and come back one after the other."""
        fleet = self.fleet
        if fleet.in_use or not fleet.setup.may_lose_majority:
            return None
        self._note(Kind.POWER_LOSS, "all controllers")
        fleet.in_use.update(machine.name for machine in fleet.controllers)
        return lose_power(fleet, self.random, lose_disks=0, reserved=True)


async def lose_power(fleet: Fleet, random: Random, lose_disks: int, reserved: bool = False) -> None:
    """Kill all controllers at once; some of their disks are lost; all start again, in any order.

    :param reserved: the caller has seen to it that nobody else ends or starts them
    """
    while fleet.in_use & {machine.name for machine in fleet.controllers} and not reserved:
        await asyncio.sleep(POLL_S)
    controllers = list(fleet.controllers)
    random.shuffle(controllers)
    fleet.in_use.update(machine.name for machine in controllers)
    await asyncio.gather(*(fleet.kill(machine) for machine in controllers))
    for machine in controllers[:lose_disks]:
        fleet.lose_disk(machine)
    random.shuffle(controllers)
    for machine in controllers:
        await asyncio.sleep(random.choice((0.0, 0.0, 0.3, 1.0)))
        await fleet.start(machine)
        fleet.in_use.discard(machine.name)
