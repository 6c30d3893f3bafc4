"""Machines, their processes and disks on a virtual network, and what may happen to them."""

from __future__ import annotations

import asyncio
import gc
import sys
import zlib
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

import otterreach.runtime.log
from otterreach.runtime import identity, settings
from otterreach.runtime.node import Node
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.settings import Settings
from otterreach.simulation.disk import Disk, VirtualJournal
from otterreach.simulation.loop import OWNER, Process, StalledError, VirtualLoop
from otterreach.simulation.net import Network

PORT = 7000
CTL = 8000
BINDS = {"ctl": CTL, "front": 8001, "readyz": 8002}
ZONES = ("hall-a", "hall-b", "hall-c")
LINES = 4000  # of the log that are kept
RESTART_S = 0.5


class InvariantViolationError(AssertionError):
    """A promise was not kept. `rule` names it."""

    def __init__(self, rule: str, what: str) -> None:
        super().__init__(f"{rule}: {what}")
        self.rule = rule


class Box:
    """A machine: its disk, and the life that its process is in."""

    def __init__(self, world: World, name: str, role: str, ip: str, zone: str, main: Main) -> None:
        self.world = world
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.main = main
        self.disk = Disk(world.random)
        self.process: Process | None = None
        self.incarnations = 0
        self.first = True
        self.node: Node | None = None
        self.object: Any = None  # what the role put together
        self.wanted = True  # to be started again when its process ends

    @property
    def up(self) -> bool:
        """Whether its process is there, frozen or not."""
        return self.process is not None and not self.process.dead

    @property
    def runs(self) -> bool:
        """Whether its process is there and not frozen."""
        return self.up and self.process is not None and not self.process.frozen

    def settings(self) -> Settings:
        """The settings of its process."""
        raw = {
            "node": self.name,
            "machine": self.role,
            "ip": self.ip,
            "az": self.zone,
            "region": "r",
            "zones": dict.fromkeys(ZONES, "r"),
            "portRange": [PORT, PORT + 15],
            "binds": {name: f"{self.ip}:{port}" for name, port in BINDS.items()},
            "peers": [f"{ip}:{CTL}" for ip in self.world.seeds],
            "bootstrap": self.first,
            "counted": True,
            "caps": {"ramMb": 300, "nofile": 4000, "diskMb": 300},
            "datadir": "/nowhere",
            "heartbeatMs": 1200,
            "inForce": ["base"],
            "survive": {"nodes": self.world.survive, "zones": self.world.survive_zones, "regions": 0},
            "slas": self.world.slas,
        }
        return settings.read(raw)

    def journal(self) -> VirtualJournal:
        """A journal on its disk."""
        return VirtualJournal(self.disk)

    def new_node(self) -> Node:
        """The node of a new incarnation."""
        random = Random(zlib.crc32(f"{self.world.seed} {self.name} {self.incarnations}".encode()))
        self.node = Node(self.settings(), Endpoint(), random)
        return self.node

    def start(self) -> None:
        """Start the process, unless it runs or the power is off."""
        if self.up or not self.world.net.machine(self.ip).powered:
            return
        self.incarnations += 1
        self.world.changed = True
        process = self.process = Process(self.name, self.ip)
        self.world.processes.append(process)
        task = process.start(self.world.loop, self._run())
        task.add_done_callback(lambda done: self._over(process, done))

    async def _run(self) -> None:
        await self.main(self)

    def _over(self, process: Process, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()):
            self.world.broken(InvariantViolationError("ended by itself", f"{self.name}: {error!r}"))
        self.world.plainly(RESTART_S, self._again, process)

    def _again(self, process: Process) -> None:
        if self.process is process and not process.dead:
            self.kill()
        if self.wanted:
            self.start()

    def kill(self) -> None:
        """SIGKILL: the kernel resets its connections; the disk has all that was written."""
        if self.process and not self.process.dead:
            self.process.kill()
            self.world.net.process_ended(self.process)
            self.first = False
            self.world.changed = True
            self.node = None
            self.object = None

    def terminate(self) -> None:
        """SIGTERM; it is started again if it is wanted."""
        if self.runs and self.node is not None and self.process is not None:
            self.world.loop.call_as(self.process, self.node.stopping.set)

    def power_off(self, wipe: bool = False) -> None:
        """Lose the power, and the disk as well if `wipe`."""
        self.world.net.power_off(self.ip)
        self.kill()
        self.disk.power_lost()
        if wipe:
            self.disk.wipe()

    def power_on(self) -> None:
        """Power comes back, and the process is started."""
        self.world.net.power_on(self.ip)
        self.start()

    def freeze(self, late: bool = False) -> None:
        """The process stands still; `late`: right before what it just sent leaves."""
        if self.process and not self.process.dead:
            self.world.changed = True
            self.world.net.freeze(self.process, late)

    def thaw(self) -> None:
        """The process runs again."""
        if self.process and self.process.frozen:
            self.world.changed = True
            self.world.net.thaw(self.process)


Main = Callable[[Box], Awaitable[None]]


class World:
    """One run: everything in it follows from the seed."""

    def __init__(self, seed: int, survive: int = 1, slas: dict[str, Any] | None = None, survive_zones: int = 0) -> None:
        self.seed = seed
        self.survive = survive
        self.survive_zones = survive_zones
        self.slas = slas or {}
        self.random = Random(seed)
        self.loop = VirtualLoop()
        self.net = Network(self.loop, Random(seed ^ 0x5EED))
        self.boxes: dict[str, Box] = {}
        self._addresses = [0] * len(ZONES)  # given out, by zone
        self.processes: list[Process] = []  # the dead too, see Process.tasks
        self.seeds: list[str] = []
        self.lines: deque[str] = deque(maxlen=LINES)
        self.failure: InvariantViolationError | None = None
        self.checks: list[Callable[[], None]] = []
        self.states: set[int] = set()
        self.depth = 0
        self._wrapped: list[tuple[type, str, Any]] = []
        self.changed = True
        self._always = True
        self._state = 0
        self._summary: Callable[[], Any] = lambda: None
        self.loop.after = self._after

    def add(self, name: str, role: str, zone: int, main: Main, ip: str = "") -> Box:
        """A machine at a new address, or at one that another has left."""
        if not ip:
            self._addresses[zone] += 1
            ip = f"10.{zone + 1}.0.{self._addresses[zone]}"
        box = self.boxes[name] = Box(self, name, role, ip, ZONES[zone], main)
        return box

    def of_role(self, role: str) -> list[Box]:
        """The machines of a role."""
        return [box for box in self.boxes.values() if box.role == role]

    @property
    def now(self) -> float:
        """Virtual seconds since the start."""
        return self.loop.time()

    def plainly(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        """Later, on nobody's behalf."""
        self.net.later(seconds, callback, *args)

    def broken(self, failure: InvariantViolationError) -> None:
        """Record the first failure; it ends the run."""
        if self.failure is None:
            self.failure = failure
            self.lines.append(f"{self.now:9.3f} BROKEN {failure}")

    def expect(self, holds: Any, rule: str, what: str) -> None:
        """Fail the run if this does not hold."""
        if not holds:
            self.broken(InvariantViolationError(rule, what))

    def watch(self, summary: Callable[[], Any], *checks: Callable[[], None], always: bool = True) -> None:
        """`checks` run whenever `summary` has changed; its values are the states that are counted.

        Not `always`: it is asked only after steps in which `changed` was set.
        """
        self._summary = summary
        self.checks = list(checks)
        self._always = always

    def _after(self) -> None:
        if not (self._always or self.changed):
            return
        self.changed = False
        state = hash(self._summary())
        if state != self._state:
            self._state = state
            self.depth += 1
            self.states.add(state)
            for check in self.checks:
                check()

    def run(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Play it. `failure` has what went wrong, if anything did."""

        async def guarded() -> None:
            """The work, until it is done or something fails."""
            task = Process("judge", "10.9.9.9").start(self.loop, work())
            while not task.done() and self.failure is None:
                await asyncio.wait([task], timeout=0.25)
            if task.done():
                task.result()

        self.loop.set_exception_handler(self._unhandled)
        with self._stand_ins():
            try:
                self.loop.run(guarded())
            except StalledError as error:
                self.broken(InvariantViolationError("stalled", str(error)))
            self._collect()

    def _unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.broken(InvariantViolationError("unhandled", f"{context.get('message')}: {context.get('exception')!r}"))

    def _collect(self) -> None:
        """What dead processes left ends in silence, and not in the middle of the next run."""
        for box in self.boxes.values():
            box.process = None
            box.node = None
            box.object = None
        self.processes.clear()
        self.net.transports.clear()
        self.net.servers.clear()
        self.net.stuck.clear()
        hook = sys.unraisablehook
        sys.unraisablehook = lambda _: None
        try:
            gc.collect()
        finally:
            sys.unraisablehook = hook

    def wrap(self, owner: type, name: str, around: Callable[[Callable[..., Any]], Callable[..., Any]]) -> None:
        """Put something around a method for as long as this run lasts."""
        plain = getattr(owner, name)
        self._wrapped.append((owner, name, plain))
        setattr(owner, name, around(plain))

    def _unwrap(self) -> None:
        for owner, name, plain in reversed(self._wrapped):
            setattr(owner, name, plain)
        self._wrapped.clear()

    @contextmanager
    def _stand_ins(self) -> Iterator[None]:
        """Ids and the log follow the seed and virtual time; all else is handed in."""
        ids = Random(self.seed ^ 0x1D)
        drawn = identity.draw_disk_id
        logger = otterreach.runtime.log._logger
        identity.draw_disk_id = lambda: f"{ids.getrandbits(48):012x}"
        otterreach.runtime.log._logger = _Lines(self)
        try:
            yield
        finally:
            identity.draw_disk_id = drawn
            otterreach.runtime.log._logger = logger
            self._unwrap()


class _Lines:
    """Takes the place of the logger."""

    NOT_ALLOWED = (
        "event=handler_failed",
        "event=task_failed",
        "event=call_failed",
        "event=bad_message",
        "event=record_changed_in_epoch",
        "event=primary_without_replica",
        "event=replica_differs",
    )

    def __init__(self, world: World) -> None:
        self.world = world

    def log(self, level: str, _: str, line: str) -> None:
        """A line of the log; some end the run."""
        owner = OWNER.get()
        text = line.partition(" ")[2]
        name = owner.name if owner else "-"
        self.world.lines.append(f"{self.world.now:9.3f} {name:10} {text}")
        event = text.partition("event=")[2].partition(" ")[0]
        if f"event={event}" in self.NOT_ALLOWED:
            self.world.broken(InvariantViolationError(event, f"{name}: {text}"))
