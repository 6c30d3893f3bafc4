"""Commands for locks, elections, sequence numbers and keys, for scripts of applications and for engineers on call.

`get`, `put` and `watch` are commands on the configuration and the control state; the commands on keys have `key` in
their names.
"""

from __future__ import annotations

import asyncio
import secrets
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Annotated

from cyclopts import Parameter

from otterreach.cli.app import DEFAULT_CONNECTION, Connection, app, fail
from otterreach.cli.codes import ExitCode
from otterreach.runtime.codes import Code, Failure

if TYPE_CHECKING:
    from otterreach.client import Cell, CoordinationClient, CoordinationError

Command = Annotated[str, Parameter(allow_leading_hyphen=True)]
Use = Callable[["CoordinationClient"], Awaitable[int]]
ELECTION_WAIT_S = 10 * 366 * 24 * 3600.0  # practically unlimited: a candidate waits until it is elected
DEFAULT_LOCK_HOLD_S = 5.0
DEFAULT_LOCK_WAIT_S = 10.0
NO_COMMAND = "no command given: expected one after --"
INTERRUPTED = 130


def _owner(given: str) -> str:
    """Return the given owner name, or generate a unique one."""
    return given or f"{socket.gethostname()}.{secrets.token_hex(6)}"


def failure_of(error: CoordinationError) -> Failure:
    """Return the Failure with the result code for an error of the client."""
    from otterreach.client import (
        LeaseLostError,
        LockHeldError,
        OutcomeUnknownError,
        RequestRejectedError,
    )

    codes = {
        LeaseLostError: Code.LOCK_LOST,
        LockHeldError: Code.LOCK_HELD,
        OutcomeUnknownError: Code.TIMED_OUT,
        RequestRejectedError: Code.COORDINATION_FIELD,
    }
    return Failure(codes.get(type(error), Code.UNREACHABLE), str(error))


def _run(connection: Connection, owner: str, use: Use, interrupted: int = INTERRUPTED) -> int:
    """Run `use` with a client; SIGTERM and SIGINT shut it down gracefully, with the exit code `interrupted`."""
    from otterreach.client import CoordinationClient, CoordinationError, RevisionConflictError

    async def work() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with CoordinationClient(connection.ctl_addresses(), owner) as client:
            return await use(client)

    try:
        return asyncio.run(work())
    except RevisionConflictError as conflict:
        print(str(conflict), file=sys.stderr)
        return int(ExitCode.OTHER_REVISION)
    except CoordinationError as error:
        return fail(failure_of(error))
    except asyncio.CancelledError:
        return interrupted


def _hold_and_run(
    connection: Connection, owner: str, name: str, times: tuple[float, float], command: tuple[str, ...]
) -> int:
    if not command:
        return fail(Failure(Code.SETTINGS, NO_COMMAND))
    hold_s, wait_s = times

    async def use(client: CoordinationClient) -> int:
        from otterreach.cli.held_command import HeldCommand

        async with client.locks.hold(name, hold_s, wait_s) as lease:
            print(f"{name}: acquired with fencing token {lease.fence} as {lease.owner}", file=sys.stderr)
            try:
                code = await HeldCommand(lease, command).run()
            except OSError as error:
                return fail(Failure(Code.SETTINGS, f"{command[0]}: {error.strerror}"))
        if code is None:
            return fail(Failure(Code.LOCK_LOST, f"{name}: lease could not be kept; the command was terminated"))
        return code

    return _run(connection, _owner(owner), use)


@app.command
def lock(
    name: str,
    *command: Command,
    hold: float = DEFAULT_LOCK_HOLD_S,
    wait: float = DEFAULT_LOCK_WAIT_S,
    owner: str = "",
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Run a command while holding a lock: otterreach lock NAME -- COMMAND. Exits with the command's exit code.

    Parameters
    ----------
    hold: time for which the service keeps the lock after the last renewal, in seconds.
    wait: time-out of the acquisition, in seconds.
    owner: the name of the lock holder; default: a generated unique name.
    """
    return _hold_and_run(connection, owner, name, (hold, wait), command)


@app.command
def elect(
    name: str,
    *command: Command,
    hold: float = DEFAULT_LOCK_HOLD_S,
    owner: str = "",
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Wait to be elected leader, then run a command while leading: otterreach elect NAME -- COMMAND.

    If the leadership can't be kept, the command gets SIGTERM and then SIGKILL before another candidate can be elected.
    Exits with the command's exit code.

    Parameters
    ----------
    hold: time for which the service keeps the leadership after the last renewal, in seconds.
    owner: the name of the candidate; default: a generated unique name.
    """
    return _hold_and_run(connection, owner, name, (hold, ELECTION_WAIT_S), command)


@app.command
def number(name: str, *, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Print a number greater than all numbers issued before under this name."""

    async def use(client: CoordinationClient) -> int:
        print(await client.numbers.next(name, connection.within))
        return 0

    return _run(connection, _owner(""), use)


def key_line(cell: Cell) -> str:
    """Return the output line of a key: revision, name, value."""
    return f"{cell.revision} {cell.name} {cell.value}"


@app.command
def get_key(name: str, *, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Print the revision, name and value of a key."""

    async def use(client: CoordinationClient) -> int:
        cell = await client.cells.get(name, connection.within)
        if cell is None:
            print(f"{name} has no value", file=sys.stderr)
            return int(ExitCode.NOT_THERE)
        print(key_line(cell))
        return 0

    return _run(connection, _owner(""), use)


@app.command
def put_key(name: str, value: str, *, expect: int, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Store a value in a key and print the new revision. The value must not have been put to this key before.

    Parameters
    ----------
    expect: the required current revision of the key; 0 if it must not have a value yet.
    """

    async def use(client: CoordinationClient) -> int:
        print(await client.cells.put(name, value, expect, connection.within))
        return 0

    return _run(connection, _owner(""), use)


@app.command
def watch_keys(group: str, *, past: int = 0, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Print each put in a group of keys as it happens, until interrupted. The group's name includes its dot.

    Parameters
    ----------
    past: the revision after which to start; default: the current one.
    """

    async def use(client: CoordinationClient) -> int:
        from otterreach.client import Restarted

        async for report in client.watches.watch(group, past=past):
            if isinstance(report, Restarted):
                print(f"watching {group} from revision {report.revision} on", file=sys.stderr)
            for cell in report.cells:
                print(key_line(cell), flush=True)
        return 0

    return _run(connection, _owner(""), use, interrupted=0)
