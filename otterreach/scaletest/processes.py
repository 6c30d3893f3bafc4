"""Child processes of a run and their resource usage, from /proc. Only processes started here are signalled."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from otterreach.runtime.settings import SETTINGS_FILE_VARIABLE
from otterreach.scaletest import meter

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STOP_TIMEOUT_S = 4.0
EventHandler = Callable[[dict[str, Any]], None]


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resource usage of a process so far: processor time in seconds, resident memory in MB, open files."""

    cpu_s: float
    memory_mb: float
    files: int


def read_usage(pid: int) -> ResourceUsage:
    """Return the resource usage of a process. Raise OSError if it does not exist any more."""
    proc = Path(f"/proc/{pid}")
    times = (proc / "stat").read_text().rpartition(")")[2].split()
    status = (proc / "status").read_text().splitlines()
    resident = next((int(row.split()[1]) for row in status if row.startswith("VmRSS")), 0)
    return ResourceUsage(
        (int(times[11]) + int(times[12])) / TICKS_PER_S, resident / 1024, sum(1 for _ in (proc / "fd").iterdir())
    )


class Child:
    """Child process. `role`: the row of the table that it belongs to."""

    def __init__(self, role: str, name: str, folder: Path) -> None:
        self.role = role
        self.name = name
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None
        self._reader_task: asyncio.Task[None] | None = None

    @property
    def meter_file(self) -> Path:
        """File that receives its message counts."""
        return self.folder / f"{self.name}.meter"

    async def start(self, arguments: list[str], settings: Path | None, on_event: EventHandler | None) -> None:
        """Start the process; `on_event` is called with each event that it prints."""
        paths = os.pathsep.join(path or str(Path.cwd()) for path in sys.path)
        environment = {**os.environ, "PYTHONPATH": paths, meter.METER_VARIABLE: str(self.meter_file)}
        if settings:
            environment[SETTINGS_FILE_VARIABLE] = str(settings)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "otterreach.scaletest",
                *arguments,
                env=environment,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE if on_event else log,
                stderr=log,
                start_new_session=True,
            )
        if on_event:
            self._reader_task = asyncio.ensure_future(self._read_events(on_event))

    async def _read_events(self, on_event: EventHandler) -> None:
        assert self.process
        assert self.process.stdout
        while row := await self.process.stdout.readline():
            if row.startswith(b"{"):
                on_event(json.loads(row))

    def order(self, order: dict[str, Any]) -> None:
        """Send an order to its standard input, as a line of JSON."""
        if self.process and self.process.stdin:
            self.process.stdin.write(json.dumps(order).encode() + b"\n")

    def usage(self) -> ResourceUsage:
        """Return its resource usage so far; zeros if the process is gone."""
        with suppress(OSError, ValueError, IndexError):
            if self.process:
                return read_usage(self.process.pid)
        return ResourceUsage(0.0, 0.0, 0)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL if the process has not ended within `STOP_TIMEOUT_S`."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            process.terminate()
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
