"""Child processes of a run and what they use, from /proc. Only processes started here are signalled."""

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

from otterreach.runtime.settings import VARIABLE
from otterreach.scaletest import meter

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STOP_S = 4.0
Hear = Callable[[dict[str, Any]], None]


@dataclass(frozen=True, slots=True)
class Used:
    """By a process so far. cpu in seconds, memory in MB."""

    cpu_s: float
    memory_mb: float
    files: int


def used(pid: int) -> Used:
    """Raises OSError if there is no such process any more."""
    proc = Path(f"/proc/{pid}")
    times = (proc / "stat").read_text().rpartition(")")[2].split()
    status = (proc / "status").read_text().splitlines()
    resident = next((int(row.split()[1]) for row in status if row.startswith("VmRSS")), 0)
    return Used(
        (int(times[11]) + int(times[12])) / TICKS_PER_S, resident / 1024, sum(1 for _ in (proc / "fd").iterdir())
    )


class Child:
    """One process. `role`: what the table adds it to."""

    def __init__(self, role: str, name: str, folder: Path) -> None:
        self.role = role
        self.name = name
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def meter(self) -> Path:
        """The file that its counts go to."""
        return self.folder / f"{self.name}.meter"

    async def start(self, arguments: list[str], settings: Path | None, hear: Hear | None) -> None:
        """Start the process; `hear` gets the events that it prints."""
        paths = os.pathsep.join(path or str(Path.cwd()) for path in sys.path)
        environment = {**os.environ, "PYTHONPATH": paths, meter.VARIABLE: str(self.meter)}
        if settings:
            environment[VARIABLE] = str(settings)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "otterreach.scaletest",
                *arguments,
                env=environment,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE if hear else log,
                stderr=log,
                start_new_session=True,
            )
        if hear:
            self._reading = asyncio.ensure_future(self._read(hear))

    async def _read(self, hear: Hear) -> None:
        assert self.process
        assert self.process.stdout
        while row := await self.process.stdout.readline():
            if row.startswith(b"{"):
                hear(json.loads(row))

    def order(self, order: dict[str, Any]) -> None:
        """Send it an order, as a line of JSON."""
        if self.process and self.process.stdin:
            self.process.stdin.write(json.dumps(order).encode() + b"\n")

    def used(self) -> Used:
        """What it has used so far; zeros if it is gone."""
        with suppress(OSError, ValueError, IndexError):
            if self.process:
                return used(self.process.pid)
        return Used(0.0, 0.0, 0)

    async def stop(self) -> None:
        """SIGTERM, and SIGKILL if that does not help."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            process.terminate()
        try:
            await asyncio.wait_for(process.wait(), STOP_S)
        except TimeoutError:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
