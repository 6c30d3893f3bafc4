"""The system's processes on loopback addresses: settings, start, fault injection, stop.

Only processes started here are signalled, by their process id.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from otterreach.loadtest.plan import Plan
from otterreach.runtime.settings import SETTINGS_FILE_VARIABLE

MODULES = {"front": "otterreach.proxy", "core": "otterreach.controller", "store": "otterreach.jobstore"}
ROLES = {"front": "proxy", "core": "controller", "store": "jobstore"}
FRONT_PORT = 8149
READYZ_PORT = 8141
CTL_PORT = 8144
PORTS = [7380, 7395]
SEEDS = 3
REGION = "here"
FIRST_OCTET = {"front": 40, "core": 10, "store": 20}  # last octet of the first address of each class
STOP_MARGIN_S = 2.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class ResourceUse:
    """Resources that a machine's processes have used."""

    cpu_s: float = 0.0
    peak_mb: float = 0.0


class Machine:
    """A simulated machine: an address, a settings file, a folder as its disk and a process."""

    def __init__(self, name: str, kind: str, ip: str, zone: str, folder: Path) -> None:
        self.name = name
        self.kind = kind
        self.ip = ip
        self.zone = zone
        self.folder = folder
        self.first_start = True
        self.should_run = False  # the process is expected to run
        self.unexpected_exits = 0  # number of unexpected exits
        self.used = ResourceUse()
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None

    @property
    def ctl(self) -> str:
        """The address of the operator's API."""
        return f"{self.ip}:{CTL_PORT}"

    @property
    def file(self) -> Path:
        """The machine's settings file."""
        return self.folder / "settings" / f"{self.name}.yaml"

    @property
    def disk(self) -> Path:
        """The folder used as the machine's disk."""
        return self.folder / "disk" / self.name

    @property
    def running(self) -> bool:
        """True if the machine's process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Process id of the last process; 0 before the first start."""
        return self._process.pid if self._process else 0

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last process; None while it runs, or before the first start."""
        return self._process.returncode if self._process else None

    def settings(self, plan: Plan, seeds: list[str], bounds: dict[str, Any]) -> dict[str, Any]:
        """Return the settings of the machine's process."""
        binds = {
            "front": {"front": f"{self.ip}:{FRONT_PORT}", "readyz": f"{self.ip}:{READYZ_PORT}"},
            "core": {"ctl": self.ctl},
            "store": {},
        }[self.kind]
        return {
            "node": self.name,
            "role": ROLES[self.kind],
            "machine": self.kind,
            "serves": list(binds) or ["store"],
            "ip": self.ip,
            "az": self.zone,
            "region": REGION,
            "zones": dict.fromkeys(plan.zones, REGION),
            "binds": binds,
            "portRange": PORTS,
            "peers": seeds,
            "bootstrap": self.first_start,
            "counted": self.kind != "front",
            "caps": {
                "cpuFrac": 1.0,
                "cores": 1,
                "ramMb": plan.machines.ram_mb,
                "nofile": plan.machines.nofile,
                "netMbps": 1000.0,
                "diskMb": 400,
            },
            "datadir": None if self.kind == "front" else str(self.disk),
            "discovery": "enlist",
            "entry": "vip",
            "heartbeatMs": plan.heartbeat_ms,
            "inForce": ["base", "drain", "config", "samples", "engine", "batch"],
            "survive": {"nodes": plan.survive, "zones": 0, "regions": 0},
            "slas": bounds,
        }

    def write_settings(self, plan: Plan, seeds: list[str], bounds: dict[str, Any]) -> None:
        """Write the settings file atomically: a process may start and read it meanwhile."""
        self.file.parent.mkdir(parents=True, exist_ok=True)
        new = self.file.with_suffix(".new")
        new.write_text(yaml.safe_dump(self.settings(plan, seeds, bounds), sort_keys=False))
        new.replace(self.file)

    async def start(self, plan: Plan, seeds: list[str], bounds: dict[str, Any]) -> None:
        """Write the settings and start the process."""
        self.write_settings(plan, seeds, bounds)
        if self.kind != "front":
            self.disk.mkdir(parents=True, exist_ok=True)
        logs = self.folder / "logs"
        logs.mkdir(parents=True, exist_ok=True)
        paths = os.pathsep.join(path or str(Path.cwd()) for path in sys.path)
        environment = {**os.environ, SETTINGS_FILE_VARIABLE: str(self.file), "PYTHONPATH": paths}
        with (logs / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                MODULES[self.kind],
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )
        self.first_start = False
        self.should_run = True
        self._watch = asyncio.ensure_future(self._wait(self._process))

    async def _wait(self, process: asyncio.subprocess.Process) -> None:
        await process.wait()
        if self.should_run and process is self._process:
            self.unexpected_exits += 1

    def send_signal(self, number: int) -> None:
        """Send a signal to the running process, if there is one."""
        if self.running and self._process:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)

    def measure(self) -> None:
        """Add the resource use of the running process; to be called before it ends."""
        if not self.running or self._process is None:
            return
        with suppress(OSError, IndexError, ValueError):
            proc = Path(f"/proc/{self._process.pid}")
            times = (proc / "stat").read_text().rpartition(")")[2].split()
            self.used.cpu_s += (int(times[11]) + int(times[12])) / TICKS_PER_S
            peak = next(line for line in (proc / "status").read_text().splitlines() if line.startswith("VmHWM"))
            self.used.peak_mb = max(self.used.peak_mb, int(peak.split()[1]) / 1024)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit. The process is not restarted."""
        self.measure()
        self.should_run = False
        self.send_signal(signal.SIGKILL)
        if self._process:
            await self._process.wait()

    def wipe(self) -> None:
        """Delete the contents of the disk."""
        shutil.rmtree(self.disk, ignore_errors=True)

    async def freeze(self, for_s: float) -> None:
        """Pause the process with SIGSTOP for a time."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.send_signal(signal.SIGCONT)

    async def stop(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.measure()
        self.should_run = False
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        if self._process:
            try:
                await asyncio.wait_for(self._process.wait(), grace_s)
            except TimeoutError:
                await self.kill()


class System:
    """All machines of a play. `net`: the first two octets of their addresses, 127.x."""

    def __init__(self, plan: Plan, folder: Path, net: str, bounds: dict[str, Any]) -> None:
        self.plan = plan
        self.bounds = bounds
        self.machines: list[Machine] = []
        for kind, count in (
            ("core", plan.machines.core),
            ("store", plan.machines.store),
            ("front", plan.machines.front),
        ):
            for n in range(count):
                zone_index = n % len(plan.zones)
                ip = f"{net}.{zone_index + 1}.{FIRST_OCTET[kind] + n}"
                self.machines.append(Machine(f"{kind}-{n}", kind, ip, plan.zones[zone_index], folder))
        self.seeds = [m.ctl for m in self.machines_of_kind("core")][:SEEDS]

    def machines_of_kind(self, kind: str) -> list[Machine]:
        """Return the machines of a class."""
        return [m for m in self.machines if m.kind == kind]

    def named(self, name: str) -> Machine | None:
        """Return the machine with this name, or None."""
        return next((m for m in self.machines if m.name == name), None)

    async def start(self, machine: Machine) -> None:
        """Start one machine."""
        await machine.start(self.plan, self.seeds, self.bounds)

    async def start_all(self) -> None:
        """Start all machines at once."""
        await asyncio.gather(*(self.start(machine) for machine in self.machines))

    async def stop_all(self) -> None:
        """Stop all machines in order of dependency: front, store, core."""
        grace = float(self.bounds["graceS"]) + STOP_MARGIN_S
        for kind in ("front", "store", "core"):
            await asyncio.gather(*(m.stop(grace) for m in self.machines_of_kind(kind)))
