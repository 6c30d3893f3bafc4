"""Fault injection into the processes of a soak, drawn from the seed; disruptions may overlap."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum
from random import Random

from otterreach.loadtest.background_tasks import BackgroundTasks
from otterreach.loadtest.machines import Machine
from otterreach.soak.fleet import Fleet
from otterreach.soak.operator import ConfigurationOperator

PRIMARY_SHARE = 0.4  # share of the disruptions of controllers that target the primary
CONTROLLER_SHARE = 0.7  # share of the disruptions that target a controller
DOWNTIMES_S = (0.0, 0.2, 1.0, 4.0)
FREEZES_S = (0.05, 0.5, 1.5, 3.5, 7.0)
BURST_SHARE = 0.15  # probability that several disruptions start at the same moment
BURST_SIZE = 3
DISRUPTION_PHASE_S = 14.0
RECOVERY_PHASE_S = 9.0  # long enough for the replicas to restore the data of a lost disk
POLL_S = 0.1


class Kind(Enum):
    """Kind of disruption; the value is its relative frequency."""

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
    """Record of a disruption that was carried out. `at`: seconds since the disruptions began."""

    at: float
    kind: str
    target: str


class Disruptor:
    """Draws disruptions and applies them to the fleet."""

    def __init__(
        self, fleet: Fleet, operator: ConfigurationOperator, random: Random, print_line: Callable[[str], None]
    ) -> None:
        self.fleet = fleet
        self.operator = operator
        self.random = random
        self.print_line = print_line
        self.disruptions: list[Disruption] = []
        self._tasks = BackgroundTasks(self._record_failure)
        self._began = 0.0

    async def run(self, seconds: float) -> None:
        """Alternate phases of disruptions and of recovery; return once every process runs again."""
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        end = self._began + seconds
        while loop.time() < end:
            await self._disrupt_until(min(end, loop.time() + DISRUPTION_PHASE_S))
            await self._recover_until(min(end, loop.time() + RECOVERY_PHASE_S))
        await self.finish()

    async def finish(self) -> None:
        """Wait for all disruptions in progress."""
        await self._tasks.wait()

    async def _disrupt_until(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            for _ in range(BURST_SIZE if self.random.random() < BURST_SHARE else 1):
                self._start(self._draw_kind())
            await asyncio.sleep(self.random.expovariate(1.0 / self.fleet.setup.mean_pause_s))

    async def _recover_until(self, until: float) -> None:
        """Wait without new disruptions; time in which every machine runs is credited to lost disks."""
        await self.finish()
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            began = loop.time()
            await asyncio.sleep(POLL_S)
            if self.fleet.is_calm:
                self.fleet.disk_losses.credit_calm_time(loop.time() - began)

    def _draw_kind(self) -> Kind:
        return self.random.choices(list(Kind), [kind.value for kind in Kind])[0]

    def _start(self, kind: Kind) -> None:
        coroutine = self._coroutine(kind)
        if coroutine is not None:
            self._tasks.start(coroutine)

    def _record_failure(self, error: BaseException) -> None:
        self.fleet.unexpected_exits.append(f"disruption failed in the soak test itself: {error!r}")

    def _record(self, kind: Kind, target: str) -> None:
        at = asyncio.get_running_loop().time() - self._began
        self.disruptions.append(Disruption(round(at, 3), kind.name.lower(), target))
        self.print_line(f"{kind.name.lower()} {target}")

    # Kinds ---------------------------------------------------------------------------------------

    def _coroutine(self, kind: Kind) -> Coroutine[object, object, None] | None:
        """Return the coroutine that applies a disruption; None if no target is eligible now."""
        if kind is Kind.CHANGE_CONFIGURATION:
            self._record(kind, "")
            return self.operator.submit_change()
        if kind is Kind.POWER_LOSS:
            return self._power_loss()
        ends_process = kind not in (Kind.FREEZE, Kind.RELOAD)
        loses_disk = kind in (Kind.LOSE_DISK, Kind.REPLACE)
        machine = self._draw_target(loses_disk)
        if machine is None or ends_process and machine.name in self.fleet.restarting:
            return None
        if kind is not Kind.RELOAD and not self.fleet.may_disrupt(machine):
            return None
        self._record(kind, machine.name)
        if loses_disk:
            self.fleet.disk_losses.record_loss(machine.name)
        if ends_process:
            self.fleet.restarting.add(machine.name)
        if kind is Kind.FREEZE:
            self.fleet.freeze(machine)
        return self._apply(kind, machine)

    def _draw_target(self, loses_disk: bool) -> Machine | None:
        fleet = self.fleet
        others = [machine for machine in fleet.system.machines if machine.kind != "core"]
        if others and not loses_disk and self.random.random() >= CONTROLLER_SHARE:
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
        return losses.allowed > 0 or losses.is_counted(machine.name)

    async def _apply(self, kind: Kind, machine: Machine) -> None:
        if kind is Kind.FREEZE:
            await asyncio.sleep(self.random.choice(FREEZES_S))
            self.fleet.thaw(machine)
        elif kind is Kind.RELOAD:
            machine.send_signal(signal.SIGHUP)
        else:
            try:
                await self._restart(kind, machine)
            finally:
                self.fleet.restarting.discard(machine.name)

    async def _restart(self, kind: Kind, machine: Machine) -> None:
        fleet = self.fleet
        graceful = kind is Kind.TERMINATE or kind is Kind.REPLACE and self.random.random() < 0.5
        await (fleet.terminate(machine) if graceful else fleet.kill(machine))
        if kind is Kind.REPLACE:
            await fleet.replace(machine)
            return
        if kind is Kind.LOSE_DISK:
            fleet.lose_disk(machine)
        await asyncio.sleep(self.random.choice(DOWNTIMES_S))
        await fleet.start(machine)

    def _power_loss(self) -> Coroutine[object, object, None] | None:
        """Return the coroutine of a power loss of all controllers, which keep their disks and restart one by one."""
        fleet = self.fleet
        if fleet.restarting or not fleet.setup.may_lose_majority:
            return None
        self._record(Kind.POWER_LOSS, "all controllers")
        fleet.restarting.update(machine.name for machine in fleet.controllers)
        return lose_power(fleet, self.random, lose_disks=0, reserved=True)


async def lose_power(fleet: Fleet, random: Random, lose_disks: int, reserved: bool = False) -> None:
    """Kill all controllers at once, erase some of their disks and restart all of them in random order.

    :param reserved: the caller has already added the controllers to `fleet.restarting`
    """
    while fleet.restarting & {machine.name for machine in fleet.controllers} and not reserved:
        await asyncio.sleep(POLL_S)
    controllers = list(fleet.controllers)
    random.shuffle(controllers)
    fleet.restarting.update(machine.name for machine in controllers)
    await asyncio.gather(*(fleet.kill(machine) for machine in controllers))
    for machine in controllers[:lose_disks]:
        fleet.lose_disk(machine)
    random.shuffle(controllers)
    for machine in controllers:
        await asyncio.sleep(random.choice((0.0, 0.0, 0.3, 1.0)))
        await fleet.start(machine)
        fleet.restarting.discard(machine.name)
