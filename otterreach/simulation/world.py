"""Simulated machines with processes and disks on a virtual network, and the faults that can be applied to them."""

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
LOG_LINES_KEPT = 4000  # of the log; older lines are dropped
RESTART_S = 0.5


class InvariantViolationError(AssertionError):
    """An invariant was violated; `rule` is its name."""

    def __init__(self, rule: str, what: str) -> None:
        super().__init__(f"{rule}: {what}")
        self.rule = rule


class SimulatedMachine:
    """A machine: its address, its disk and the current incarnation of its process."""

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
        self.object: Any = None  # the top-level object of the role, set by `main`
        self.restart_on_exit = True  # the process is restarted when it ends

    @property
    def up(self) -> bool:
        """True if the process exists, frozen or not."""
        return self.process is not None and not self.process.dead

    @property
    def is_running(self) -> bool:
        """True if the process exists and is not frozen."""
        return self.up and self.process is not None and not self.process.frozen

    def settings(self) -> Settings:
        """Return the settings of the process."""
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
        """Return a new journal on the disk of the machine."""
        return VirtualJournal(self.disk)

    def new_node(self) -> Node:
        """Create the node of a new incarnation."""
        random = Random(zlib.crc32(f"{self.world.seed} {self.name} {self.incarnations}".encode()))
        self.node = Node(self.settings(), Endpoint(), random)
        return self.node

    def start(self) -> None:
        """Start the process, unless it is already up or the machine has no power."""
        if self.up or not self.world.net.machine(self.ip).powered:
            return
        self.incarnations += 1
        self.world.changed = True
        process = self.process = Process(self.name, self.ip)
        self.world.processes.append(process)
        task = process.start(self.world.loop, self._run())
        task.add_done_callback(lambda done: self._on_exit(process, done))

    async def _run(self) -> None:
        await self.main(self)

    def _on_exit(self, process: Process, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()):
            self.world.record_violation(InvariantViolationError("ended by itself", f"{self.name}: {error!r}"))
        self.world.call_later(RESTART_S, self._restart, process)

    def _restart(self, process: Process) -> None:
        if self.process is process and not process.dead:
            self.kill()
        if self.restart_on_exit:
            self.start()

    def kill(self) -> None:
        """Kill the process as SIGKILL does: the kernel resets its connections, and the disk keeps all written data."""
        if self.process and not self.process.dead:
            self.process.kill()
            self.world.net.process_ended(self.process)
            self.first = False
            self.world.changed = True
            self.node = None
            self.object = None

    def terminate(self) -> None:
        """Stop the process as SIGTERM does; it is restarted if `restart_on_exit` is set."""
        if self.is_running and self.node is not None and self.process is not None:
            self.world.loop.call_as(self.process, self.node.stopping.set)

    def power_off(self, wipe: bool = False) -> None:
        """Cut the power; `wipe` erases the disk as well."""
        self.world.net.power_off(self.ip)
        self.kill()
        self.disk.power_lost()
        if wipe:
            self.disk.wipe()

    def power_on(self) -> None:
        """Restore the power and start the process."""
        self.world.net.power_on(self.ip)
        self.start()

    def freeze(self, late: bool = False) -> None:
        """Suspend the process; with `late`, before the kernel receives what the process has just sent."""
        if self.process and not self.process.dead:
            self.world.changed = True
            self.world.net.freeze(self.process, late)

    def thaw(self) -> None:
        """Resume the process."""
        if self.process and self.process.frozen:
            self.world.changed = True
            self.world.net.thaw(self.process)


Main = Callable[[SimulatedMachine], Awaitable[None]]


class World:
    """One run of a simulation, determined completely by its seed."""

    def __init__(self, seed: int, survive: int = 1, slas: dict[str, Any] | None = None, survive_zones: int = 0) -> None:
        self.seed = seed
        self.survive = survive
        self.survive_zones = survive_zones
        self.slas = slas or {}
        self.random = Random(seed)
        self.loop = VirtualLoop()
        self.net = Network(self.loop, Random(seed ^ 0x5EED))
        self.boxes: dict[str, SimulatedMachine] = {}
        self._addresses = [0] * len(ZONES)  # number of addresses assigned, by zone
        self.processes: list[Process] = []  # includes dead ones, see Process.tasks
        self.seeds: list[str] = []
        self.lines: deque[str] = deque(maxlen=LOG_LINES_KEPT)
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

    def add(self, name: str, role: str, zone: int, main: Main, ip: str = "") -> SimulatedMachine:
        """Add a machine at a new address, or at `ip`, which a removed machine may have had before."""
        if not ip:
            self._addresses[zone] += 1
            ip = f"10.{zone + 1}.0.{self._addresses[zone]}"
        box = self.boxes[name] = SimulatedMachine(self, name, role, ip, ZONES[zone], main)
        return box

    def of_role(self, role: str) -> list[SimulatedMachine]:
        """Return the machines of a role."""
        return [box for box in self.boxes.values() if box.role == role]

    @property
    def now(self) -> float:
        """The virtual time, in seconds."""
        return self.loop.time()

    def call_later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        """Call back after a delay, outside of any simulated process."""
        self.net.later(seconds, callback, *args)

    def record_violation(self, failure: InvariantViolationError) -> None:
        """Record the first violation, which ends the run; later ones are ignored."""
        if self.failure is None:
            self.failure = failure
            self.lines.append(f"{self.now:9.3f} BROKEN {failure}")

    def expect(self, holds: Any, rule: str, what: str) -> None:
        """Fail the run with the name of the rule if `holds` is false."""
        if not holds:
            self.record_violation(InvariantViolationError(rule, what))

    def watch(self, summary: Callable[[], Any], *checks: Callable[[], None], always: bool = True) -> None:
        """Run `checks` whenever the value of `summary` changes; its distinct values are counted as states.

        Without `always`, `summary` is evaluated only after steps in which `changed` was set.
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
        """Run the simulation to its end or to the first violation, which is stored in `failure`."""

        async def guarded() -> None:
            """Run the work until it is done or an invariant is violated."""
            task = Process("judge", "10.9.9.9").start(self.loop, work())
            while not task.done() and self.failure is None:
                await asyncio.wait([task], timeout=0.25)
            if task.done():
                task.result()

        self.loop.set_exception_handler(self._unhandled)
        with self._patched_globals():
            try:
                self.loop.run(guarded())
            except StalledError as error:
                self.record_violation(InvariantViolationError("stalled", str(error)))
            self._collect()

    def _unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.record_violation(
            InvariantViolationError("unhandled", f"{context.get('message')}: {context.get('exception')!r}")
        )

    def _collect(self) -> None:
        """Collect what dead processes left behind now, without warnings, rather than in the middle of the next run."""
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

    def wrap(self, owner: type, name: str, wrapper: Callable[[Callable[..., Any]], Callable[..., Any]]) -> None:
        """Wrap a method for the duration of this run."""
        original = getattr(owner, name)
        self._wrapped.append((owner, name, original))
        setattr(owner, name, wrapper(original))

    def _unwrap(self) -> None:
        for owner, name, original in reversed(self._wrapped):
            setattr(owner, name, original)
        self._wrapped.clear()

    @contextmanager
    def _patched_globals(self) -> Iterator[None]:
        """Replace the global id generator and logger by deterministic ones; everything else is passed in explicitly."""
        ids = Random(self.seed ^ 0x1D)
        original_draw = identity.generate_disk_id
        logger = otterreach.runtime.log._logger
        identity.generate_disk_id = lambda: f"{ids.getrandbits(48):012x}"
        otterreach.runtime.log._logger = _LogCapture(self)
        try:
            yield
        finally:
            identity.generate_disk_id = original_draw
            otterreach.runtime.log._logger = logger
            self._unwrap()


class _LogCapture:
    """Replacement of the logger: keeps the lines in memory and fails the run on forbidden events."""

    FORBIDDEN_EVENTS = (
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
        """Store a log line; a forbidden event ends the run."""
        owner = OWNER.get()
        text = line.partition(" ")[2]
        name = owner.name if owner else "-"
        self.world.lines.append(f"{self.world.now:9.3f} {name:10} {text}")
        event = text.partition("event=")[2].partition(" ")[0]
        if f"event={event}" in self.FORBIDDEN_EVENTS:
            self.world.record_violation(InvariantViolationError(event, f"{name}: {text}"))
