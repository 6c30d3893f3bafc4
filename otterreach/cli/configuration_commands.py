"""Commands that read, change and compare the configuration in force."""

from __future__ import annotations

import difflib
import json
import sys
from http import HTTPStatus
from pathlib import Path
from typing import Any

from otterreach.cli.app import DEFAULT_CONNECTION, Connection, app, call_api, current_configuration, fail, read_file
from otterreach.cli.codes import ExitCode
from otterreach.runtime.codes import Code, Failure


@app.command
def get(*, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Print the configuration in force as JSON."""
    current = current_configuration(connection)
    if isinstance(current, Failure):
        return fail(current)
    if current is None:
        print("no configuration has been accepted yet", file=sys.stderr)
        return int(ExitCode.NOT_THERE)
    print(json.dumps(current, indent=1))
    return 0


def _change(method: str, file: Path, match: int | None, connection: Connection) -> int:
    from otterreach.cli.caller import error_of

    body = read_file(file)
    if isinstance(body, Failure):
        return fail(body)
    if match is None:
        current = current_configuration(connection)
        if isinstance(current, Failure):
            return fail(current)
        match = int(current["gen"]) if current else 0
    answer = call_api(connection, method, "/config", body, match)
    if isinstance(answer, Failure):
        return fail(answer)
    if answer.status != HTTPStatus.OK:
        return fail(error_of(answer))
    print(f"accepted, on top of {match}")
    return 0


@app.command
def put(file: Path, *, match: int | None = None, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Submit a complete configuration. Without --match it replaces the version in force."""
    return _change("PUT", file, match, connection)


@app.command
def patch(file: Path, *, match: int | None = None, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Change individual items of the configuration by name."""
    return _change("PATCH", file, match, connection)


def lines_of(config: dict[str, Any] | None) -> list[str]:
    """Return a configuration as lines with sorted keys, so that a diff doesn't show differences of order."""
    return json.dumps(config, indent=1, sort_keys=True).splitlines() if config else []


@app.command
def diff(file: Path, *, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Show the changes that a file would make to the configuration in force."""
    body = read_file(file)
    current = current_configuration(connection)
    for failure in (body, current):
        if isinstance(failure, Failure):
            return fail(failure)
    assert isinstance(body, bytes)
    assert not isinstance(current, Failure)
    try:
        new = json.loads(body)
    except ValueError as error:
        return fail(Failure(Code.CONFIG_UNREADABLE, f"{file}: {error}"))
    found = list(difflib.unified_diff(lines_of(current), lines_of(new), "in force", str(file), lineterm=""))
    print("\n".join(found) if found else "no difference")
    return int(ExitCode.DIFFERENT) if found else 0
