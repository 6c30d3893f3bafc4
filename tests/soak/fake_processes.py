"""Simulated processes that replace the operating system processes of the load test's machines."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from otterreach.loadtest.machines import Machine

EXIT_DELAY_S = 0.3  # delay from SIGTERM to the exit


class FakeProcess:
    """Process that exits `EXIT_DELAY_S` after SIGTERM unless it is stopped, and immediately after SIGKILL."""

    pid = 0

    def __init__(self) -> None:
        self.returncode: int | None = None
        self.stopped = False
        self.signals: list[int] = []
        self._exited = asyncio.Event()
        self._terminated = False

    def send_signal(self, number: int) -> None:
        self.signals.append(number)
        if number == signal.SIGKILL:
            self._exit()
        elif number == signal.SIGTERM:
            self._terminated = True
        elif number in (signal.SIGSTOP, signal.SIGCONT):
            self.stopped = number == signal.SIGSTOP
        if self._terminated and not self.stopped:
            asyncio.get_running_loop().call_later(EXIT_DELAY_S, self._exit)

    def _exit(self) -> None:
        if self.returncode is None:
            self.returncode = 0
            self._exited.set()

    async def wait(self) -> int:
        await self._exited.wait()
        assert self.returncode is not None
        return self.returncode


@contextmanager
def fake_processes() -> Iterator[list[str]]:
    """Let machines start fake processes; yield the list of started machines' names, in order of start."""
    started: list[str] = []

    async def start(machine: Machine, *_: Any) -> None:
        assert not machine.running, f"{machine.name} is started twice"
        started.append(machine.name)
        machine._process = FakeProcess()  # type: ignore[assignment]
        machine.should_run = True

    with mock.patch.object(Machine, "start", start), mock.patch.object(Machine, "write_settings"):
        yield started


def process_of(machine: Machine) -> FakeProcess:
    assert isinstance(machine._process, FakeProcess)
    return machine._process
