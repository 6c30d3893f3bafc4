"""The commands for locks, elections, numbers and keys, against a fake service on real sockets."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any, cast
from unittest import mock

import pytest

from otterreach.cli import coordination_commands
from otterreach.cli.__main__ import main
from otterreach.cli.codes import ExitCode
from otterreach.cli.held_command import TERMINATE_SHARE, HeldCommand
from otterreach.client import CoordinationClient
from otterreach.runtime.codes import Code
from tests import virtual
from tests.client.fake_service import SILENT, FakeService, Hold, play

HOLD_S = 3.0
ADDRESS = "127.0.0.1"
START_S = 10.0


class ServiceThread:
    """The fake service on a free port, in a thread with its own event loop."""

    def __init__(self) -> None:
        with socket.socket() as free:
            free.bind((ADDRESS, 0))
            self.ctl = f"{ADDRESS}:{free.getsockname()[1]}"
        self.loop = asyncio.new_event_loop()
        self.service = FakeService(cast(virtual.MemoryLoop, self.loop))
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()
        self.run(self.service.listen([self.ctl]))

    def run(self, work: Awaitable[Any]) -> Any:
        async def body() -> Any:
            return await work

        return asyncio.run_coroutine_threadsafe(body(), self.loop).result(START_S)

    async def _cancel_tasks(self) -> None:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def close(self) -> None:
        self.run(self._cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()


@pytest.fixture
def thread() -> Iterator[ServiceThread]:
    thread = ServiceThread()
    yield thread
    thread.close()


def test_numbers_and_keys(thread: ServiceThread, capfd: pytest.CaptureFixture[str]) -> None:
    ctl = ("--ctl", thread.ctl)
    assert main(["number", "harvest", *ctl]) == 0
    assert main(["number", "harvest", *ctl]) == 0
    assert capfd.readouterr().out == "1\n2\n"
    assert main(["get-key", "g1.a", *ctl]) == ExitCode.NOT_THERE
    assert main(["put-key", "g1.a", "v1", "--expect", "0", *ctl]) == 0
    assert main(["put-key", "g1.a", "v2", "--expect", "0", *ctl]) == ExitCode.OTHER_REVISION
    captured = capfd.readouterr()
    assert captured.out == "1\n"
    assert "g1.a is at revision 1, not 0" in captured.err
    assert main(["get-key", "g1.a", *ctl]) == 0
    assert capfd.readouterr().out == "1 g1.a v1\n"


def test_the_command_gets_its_lock_in_the_environment_and_its_exit_code_is_returned(
    thread: ServiceThread, capfd: pytest.CaptureFixture[str]
) -> None:
    script = "echo $OTTERREACH_LOCK $OTTERREACH_OWNER $OTTERREACH_FENCE; exit 7"
    arguments = ["lock", "l1", "--owner", "a1", "--ctl", thread.ctl, "--", "sh", "-c", script]
    assert main(arguments) == 7
    assert capfd.readouterr().out == "l1 a1 1\n"
    assert thread.service.holds == {}


def test_a_lock_held_by_another_owner(thread: ServiceThread, tmp_path: Path) -> None:
    thread.service.holds["l1"] = Hold("a9", 5, thread.loop.time() + 60.0)
    mark = tmp_path / "ran"
    assert main(["lock", "l1", "--wait", "0.3", "--ctl", thread.ctl, "--", "touch", str(mark)]) == Code.LOCK_HELD
    assert not mark.exists()


def test_no_command_and_a_missing_program(thread: ServiceThread) -> None:
    assert main(["elect", "l1", "--ctl", thread.ctl]) == Code.SETTINGS
    assert main(["elect", "l1", "--ctl", thread.ctl, "--", "/no/such/program"]) == Code.SETTINGS
    assert thread.service.holds == {}


def test_nobody_listens() -> None:
    with socket.socket() as free:
        free.bind((ADDRESS, 0))
        ctl = f"{ADDRESS}:{free.getsockname()[1]}"
    assert main(["number", "n1", "--ctl", ctl, "--within", "0.3"]) == Code.UNREACHABLE


def test_a_watch_prints_each_put(thread: ServiceThread) -> None:
    thread.run(call(lambda: thread.service.put("g1.a", "v1")))
    arguments = [sys.executable, "-m", "otterreach.cli", "watch-keys", "g1.", "--ctl", thread.ctl]
    with subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True) as watch:
        assert watch.stdout
        assert watch.stderr
        assert watch.stderr.readline() == "watching g1. from revision 1 on\n"
        thread.run(call(lambda: thread.service.put("g1.b", "v2")))
        assert watch.stdout.readline() == "2 g1.b v2\n"
        watch.send_signal(signal.SIGINT)
        assert watch.wait(START_S) == 0


def test_the_command_ends_with_its_parent(thread: ServiceThread, tmp_path: Path) -> None:
    """If the parent is killed, nothing renews the lease or terminates the command, so the command must die with it."""
    mark = tmp_path / "pid"
    script = f"echo $$ > {mark}.new; mv {mark}.new {mark}; exec sleep 600"
    arguments = [sys.executable, "-m", "otterreach.cli", "elect", "l1", "--ctl", thread.ctl, "--", "sh", "-c", script]
    for number in (signal.SIGTERM, signal.SIGKILL):
        mark.unlink(missing_ok=True)
        with subprocess.Popen(arguments, stderr=subprocess.DEVNULL) as elect:
            wait_for(mark.exists)
            pid = int(mark.read_text())
            elect.send_signal(number)
            elect.wait(START_S)
        wait_for(partial(is_gone, pid))
        thread.service.holds.clear()


def wait_for(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + START_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


def is_gone(pid: int) -> bool:
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return True
    return state == "Z"


async def call(function: Callable[[], Any]) -> Any:
    return function()


class FakeProcess:
    """A fake process in virtual time that ends on one signal only, by default SIGKILL."""

    pid = 4711

    def __init__(self, signals: list[tuple[int, float]], ends_on: int = signal.SIGKILL) -> None:
        self.signals = signals
        self._ends_on = ends_on
        self._ended = asyncio.Event()

    def killpg(self, pid: int, number: int) -> None:
        assert pid == self.pid
        if self._ended.is_set():
            raise ProcessLookupError
        self.signals.append((number, asyncio.get_running_loop().time()))
        if number == self._ends_on:
            self._ended.set()

    async def wait(self) -> int:
        await self._ended.wait()
        return -self._ends_on


def test_a_command_that_ignores_sigterm_is_killed_before_the_hold_expires() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        signals: list[tuple[int, float]] = []
        process = FakeProcess(signals)

        async def start(*_: Any, **__: Any) -> FakeProcess:
            return process

        with (
            mock.patch.object(asyncio, "create_subprocess_exec", start),
            mock.patch.object(os, "killpg", process.killpg),
        ):
            async with client.locks.hold("l1", HOLD_S) as lease:
                running = asyncio.ensure_future(HeldCommand(lease, ["sleep"]).run())
                await asyncio.sleep(5 * HOLD_S)
                assert signals == [], "no signal is sent while the lease is renewed"
                free_at = service.holds["l1"].ends_at
                service.faults.extend([SILENT] * 50)
                assert await running is None
                service.faults.clear()
        assert [number for number, _ in signals] == [signal.SIGTERM, signal.SIGKILL]
        (_, terminated_at), (_, killed_at) = signals
        assert terminated_at <= free_at - TERMINATE_SHARE * HOLD_S + 0.01
        assert terminated_at + 0.1 < killed_at < free_at

    play(body)


def test_a_command_that_ends_on_sigterm_is_not_killed() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        signals: list[tuple[int, float]] = []
        process = FakeProcess(signals, ends_on=signal.SIGTERM)

        async def start(*_: Any, **__: Any) -> FakeProcess:
            return process

        with (
            mock.patch.object(asyncio, "create_subprocess_exec", start),
            mock.patch.object(os, "killpg", process.killpg),
        ):
            async with client.locks.hold("l1", HOLD_S) as lease:
                service.faults.extend([SILENT] * 50)
                assert await HeldCommand(lease, ["sleep"]).run() is None
                service.faults.clear()
        assert [number for number, _ in signals] == [signal.SIGTERM]

    play(body)


def test_owners_are_all_different() -> None:
    assert coordination_commands._owner("a1") == "a1"
    assert len({coordination_commands._owner("") for _ in range(100)}) == 100


def test_a_candidate_waits_until_it_is_elected() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.holds["l1"] = Hold("a9", 5, service.loop.time() + 1200.0)
        async with client.locks.hold("l1", HOLD_S, coordination_commands.ELECTION_WAIT_S) as lease:
            assert lease.held

    play(body)
