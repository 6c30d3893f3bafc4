"""Commands on the running system: model servers, machines, batch jobs, and the retirement of a store machine."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Iterator
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from otterreach.cli.app import DEFAULT_CONNECTION, Connection, app, call_api, fail, read_file
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.store import ReplicatedStore

RETIRE_POLL_S = 0.5


def _show(connection: Connection, rows: Callable[[ReplicatedStore], Iterator[tuple[str, ...]]]) -> int:
    from otterreach.cli import state

    store = asyncio.run(state.read(connection.controller_addresses()))
    if isinstance(store, Failure):
        return fail(store)
    print(state.columns(rows(store)))
    return 0


@app.command
def servers(*, connection: Connection = DEFAULT_CONNECTION) -> int:
    """List the registered model servers."""
    from otterreach.cli import state

    return _show(connection, state.servers)


@app.command
def sidecars(*, connection: Connection = DEFAULT_CONNECTION) -> int:
    """List the machines of the system."""
    from otterreach.cli import state

    return _show(connection, state.members)


@app.command
def owners(*, connection: Connection = DEFAULT_CONNECTION) -> int:
    """List the owners of the batch job partitions."""
    from otterreach.cli import state

    return _show(connection, state.owners)


@app.command
def epochs(*, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Show the epoch of the controllers, and the versions of the configuration and of the models' weights."""
    from otterreach.cli import state

    return _show(connection, state.epochs)


def _jobs_in_file(data: Path) -> int:
    from otterreach.cli.data import job_line, jobs_in

    found = read_file(data)
    if isinstance(found, Failure):
        return fail(found)
    for job in jobs_in(found):
        print(job_line(job))
    return 0


@app.command
def jobs(*ids: str, data: Path | None = None, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Show batch jobs by their ids, as their owners report them; with --data, all those in a job store's data file."""
    from otterreach.cli import state

    if data:
        return _jobs_in_file(data)
    if not ids:
        return fail(Failure(Code.UNKNOWN_JOB, "no batch job given: expected ids, or a data file with --data"))
    rows: list[tuple[str, ...]] = [("batch job", "part", "owner", "listed", "items")]
    code = 0
    for job_id in ids:
        found = asyncio.run(state.job(connection.controller_addresses(), job_id))
        if isinstance(found, Failure):
            code = fail(Failure(found.code, f"{job_id}: {found.reason}"))
        else:
            rows.append(found)
    print(state.columns(iter(rows)))
    return code


@app.command
def watch(kind: str = "", *, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Print each change of the control state as it happens; only of one kind of items (server, part, ...) if given."""
    from otterreach.cli import state

    def show(item: Any) -> None:
        """Print one change and flush the output."""
        print(state.item_line(item), flush=True)

    try:
        return fail(asyncio.run(state.watch(connection.controller_addresses(), kind, show)))
    except KeyboardInterrupt:
        return 0


def _retire_state(node: str, connection: Connection) -> str | Failure:
    from otterreach.cli.caller import error_of

    answer = call_api(connection, "GET", f"/retire/{node}")
    if isinstance(answer, Failure):
        return answer
    if answer.status == HTTPStatus.NOT_FOUND:
        return Failure(Code.UNKNOWN_NODE, node)
    return str(json.loads(answer.body)["state"]) if answer.status == HTTPStatus.OK else error_of(answer)


@app.command
def retire(
    node: str,
    *,
    over: float = 10.0,
    watch: Annotated[bool, Parameter(negative="")] = False,
    look: bool = False,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Drain a store machine; once it reports `done`, the machine and its disk may be removed.

    Parameters
    ----------
    over: time over which the drain may be spread, in seconds.
    watch: print the state until it is `done`.
    look: only show the state of the retirement.
    """
    from otterreach.cli.caller import error_of

    if not look:
        answer = call_api(connection, "POST", f"/retire/{node}", json.dumps({"overS": over}).encode())
        if isinstance(answer, Failure):
            return fail(answer)
        if answer.status != HTTPStatus.OK:
            return fail(error_of(answer))
    while True:
        state = _retire_state(node, connection)
        if isinstance(state, Failure) and not watch:
            return fail(state)
        if isinstance(state, str):
            print(f"{node}: {state}", flush=True)
            if state == "done" or not watch:
                return 0
        time.sleep(RETIRE_POLL_S)
