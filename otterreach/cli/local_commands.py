"""Commands that need no running system: start a role, check settings and configurations, inspect data files."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

from otterreach.cli.app import app, fail, read_file
from otterreach.cli.codes import ExitCode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.settings import SETTINGS_FILE_VARIABLE

ROLES = {"proxy": "otterreach.proxy", "controller": "otterreach.controller", "jobstore": "otterreach.jobstore"}


@app.command
def run(role: str, *, settings: Path | None = None) -> int:
    """Run a role of the system in this process, with the given settings file.

    Parameters
    ----------
    role: proxy, controller or jobstore.
    settings: the settings file; default: the one named by the environment variable.
    """
    import runpy

    if role not in ROLES:
        return fail(Failure(Code.SETTINGS, f"unknown role {role!r}: expected one of {', '.join(ROLES)}"))
    if settings:
        os.environ[SETTINGS_FILE_VARIABLE] = str(settings)
    runpy.run_module(ROLES[role], run_name="__main__")
    return 0


@app.command
def check_settings(file: Path) -> int:
    """Check whether a process can start with a settings file."""
    from otterreach.balancer.settings_reader import SettingsError
    from otterreach.runtime.settings import load

    try:
        found = load(str(file))
    except SettingsError as error:
        return fail(Failure(Code.SETTINGS, str(error)))
    print(f"{file}: {found.node}, {found.machine}, own calls at {found.address}, seeds {', '.join(found.seeds)}")
    return 0


@app.command
def check_config(file: Path, *, current: Path | None = None) -> int:
    """Check whether a configuration is valid; with --current, also whether it may replace that one."""
    from otterreach.controller.config import check_put

    body = read_file(file)
    base = read_file(current) if current else None
    if isinstance(body, Failure):
        return fail(body)
    if isinstance(base, Failure):
        return fail(base)
    known = json.loads(base) if base else None
    found = check_put(body, known, known["gen"] if known else 0)
    if isinstance(found, Failure):
        return fail(found)
    raw = json.loads(body)
    print(f"{file}: valid, gen {raw['gen']}, {len(raw['routes'])} routes, {len(raw['backends'])} services")
    return 0


def _verdict(file: Path) -> int:
    from otterreach.cli.data import verify as check

    verdict = check(file)
    print(verdict.text, file=sys.stderr if verdict.code else sys.stdout)
    return int(verdict.code)


@app.command
def verify(file: Path) -> int:
    """Verify all records of a data file (control.journal, jobs.journal)."""
    return _verdict(file)


@app.command
def read_data(file: Path, *, item: str = "") -> int:
    """Print the records of a data file, one per line; with --item the latest value of an item (config, ...) as JSON."""
    from otterreach.cli import data

    if not file.exists():
        return _verdict(file)
    found = file.read_bytes()
    if item:
        value = data.item_value(found, item)
        print("null" if value is None else json.dumps(value, indent=1))
        return 0 if value is not None else int(ExitCode.NOT_THERE)
    file_kind = data.kind_of_file(file, found)
    for entry in data.walk(found):
        print(data.record_line(file_kind, entry))
    return _verdict(file)
