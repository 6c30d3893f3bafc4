"""python3 -m otterreach.cli: the operator's command line. It ends with 0, or with the number of a result code."""

from __future__ import annotations

import asyncio
import difflib
import json
import os
import signal
import sys
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter

from otterreach.cli.codes import FAULT, ExitCode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.settings import VARIABLE
from otterreach.runtime.store import ReplicatedStore

ROLES = {"proxy": "otterreach.proxy", "controller": "otterreach.controller", "jobstore": "otterreach.jobstore"}
RETIRE_LOOK_S = 0.5

app = App(
    name="otterreach",
    help=f"The operator's command line. Where addresses are not given they come from --settings, "
    f"or from the settings file that {VARIABLE} names.",
)


def fail(failure: Failure) -> int:
    """The reason goes to standard error, the number is the exit code."""
    print(f"{failure.code.name.lower()} ({int(failure.code)}): {failure.reason}", file=sys.stderr)
    return int(failure.code)


@Parameter(name="*")
@dataclass
class Where:
    """How the system is reached."""

    ctl: str = ""
    "ctl addresses, host:port, split by commas."
    controllers: str = ""
    "Internal addresses of controllers, host:port, split by commas."
    settings: Path | None = None
    "A settings file of any process of the system."
    within: float = 10.0
    "Seconds to try for."

    def _raw(self) -> dict[str, Any]:
        import yaml

        name = self.settings or os.environ.get(VARIABLE, "")
        try:
            raw = yaml.safe_load(Path(name).read_text(encoding="utf-8")) if name else None
        except (OSError, yaml.YAMLError) as error:
            raise SystemExit(fail(Failure(Code.SETTINGS, f"{name}: {error}"))) from None
        if not isinstance(raw, dict):
            raise SystemExit(fail(Failure(Code.SETTINGS, "neither addresses nor a settings file are given")))
        return raw

    def ctl_addresses(self) -> list[str]:
        return self.ctl.split(",") if self.ctl else [str(peer) for peer in self._raw().get("peers") or ()]

    def internal(self) -> list[str]:
        if self.controllers:
            return self.controllers.split(",")
        raw = self._raw()
        port = (raw.get("portRange") or [0])[0]
        return [f"{str(peer).rpartition(':')[0]}:{port}" for peer in raw.get("peers") or ()]


HERE = Where()


def _call(where: Where, method: str, path: str, body: bytes = b"", match: int | None = None) -> Any:
    from otterreach.cli.caller import Caller

    headers = {b"Content-Type": b"application/json"} if body else {}
    if match is not None:
        headers[b"If-Match"] = b"%d" % match
    return asyncio.run(Caller(where.ctl_addresses()).call(method, path, body, headers, where.within))


def _current(where: Where) -> dict[str, Any] | None | Failure:
    """The configuration in force; None if none has been taken yet."""
    from otterreach.cli.caller import error_of

    answer = _call(where, "GET", "/config")
    if isinstance(answer, Failure):
        return answer
    if answer.status == 404:
        return None
    return json.loads(answer.body) if answer.status == 200 else error_of(answer)


def _read(file: Path) -> bytes | Failure:
    try:
        return file.read_bytes()
    except OSError as error:
        return Failure(Code.CONFIG_UNREADABLE, f"{file}: {error.strerror}")


# A process, and files -------------------------------------------------------------------------------


@app.command
def run(role: str, *, settings: Path | None = None) -> int:
    """Run a role of the system in this process, as the settings file says.

    Parameters
    ----------
    role: proxy, controller or jobstore.
    settings: the settings file; else the one that the environment names.
    """
    import runpy

    if role not in ROLES:
        return fail(Failure(Code.SETTINGS, f"no role {role!r}: {', '.join(ROLES)}"))
    if settings:
        os.environ[VARIABLE] = str(settings)
    runpy.run_module(ROLES[role], run_name="__main__")
    return 0


@app.command
def check_settings(file: Path) -> int:
    """Whether a process could start with this settings file."""
    from otterreach.balancer.interface import SettingsError
    from otterreach.runtime.settings import load

    try:
        found = load(str(file))
    except SettingsError as error:
        return fail(Failure(Code.SETTINGS, str(error)))
    print(f"{file}: {found.node}, {found.machine}, own calls at {found.address}, seeds {', '.join(found.seeds)}")
    return 0


@app.command
def check_config(file: Path, *, current: Path | None = None) -> int:
    """Whether a configuration is valid; with --current, whether it may follow that one."""
    from otterreach.controller.config import check_whole

    body, base = _read(file), _read(current) if current else None
    if isinstance(body, Failure):
        return fail(body)
    if isinstance(base, Failure):
        return fail(base)
    known = json.loads(base) if base else None
    found = check_whole(body, known, known["gen"] if known else 0)
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
    """Check every record of a data file (control.journal, jobs.journal)."""
    return _verdict(file)


@app.command
def read_data(file: Path, *, item: str = "") -> int:
    """The records of a data file, a line each; with --item the newest value of one item (config, ...) as JSON."""
    from otterreach.cli import data

    if not file.exists():
        return _verdict(file)
    found = file.read_bytes()
    if item:
        value = data.state_in(found).get(item)
        print("null" if value is None else json.dumps(value, indent=1))
        return 0 if value is not None else int(ExitCode.NOT_THERE)
    of = data.kind_of_file(file, found)
    for entry in data.walk(found):
        print(data.line(of, entry))
    return _verdict(file)


# The configuration ------------------------------------------------------------------------------------


@app.command
def get(*, where: Where = HERE) -> int:
    """The configuration in force, as JSON."""
    current = _current(where)
    if isinstance(current, Failure):
        return fail(current)
    if current is None:
        print("no configuration has been taken yet", file=sys.stderr)
        return int(ExitCode.NOT_THERE)
    print(json.dumps(current, indent=1))
    return 0


def _change(method: str, file: Path, match: int | None, where: Where) -> int:
    from otterreach.cli.caller import error_of

    body = _read(file)
    if isinstance(body, Failure):
        return fail(body)
    if match is None:
        current = _current(where)
        if isinstance(current, Failure):
            return fail(current)
        match = int(current["gen"]) if current else 0
    answer = _call(where, method, "/config", body, match)
    if isinstance(answer, Failure):
        return fail(answer)
    if answer.status != 200:
        return fail(error_of(answer))
    print(f"taken, on top of {match}")
    return 0


@app.command
def put(file: Path, *, match: int | None = None, where: Where = HERE) -> int:
    """Send a whole configuration. Without --match it builds on the one in force."""
    return _change("PUT", file, match, where)


@app.command
def patch(file: Path, *, match: int | None = None, where: Where = HERE) -> int:
    """Change items of the configuration by name."""
    return _change("PATCH", file, match, where)


def lines_of(config: dict[str, Any] | None) -> list[str]:
    """A configuration in an order of its own, so that only real differences show."""
    return json.dumps(config, indent=1, sort_keys=True).splitlines() if config else []


@app.command
def diff(file: Path, *, where: Where = HERE) -> int:
    """What a file would change in the configuration in force."""
    body, current = _read(file), _current(where)
    for failure in (body, current):
        if isinstance(failure, Failure):
            return fail(failure)
    assert isinstance(body, bytes) and not isinstance(current, Failure)
    try:
        new = json.loads(body)
    except ValueError as error:
        return fail(Failure(Code.CONFIG_UNREADABLE, f"{file}: {error}"))
    found = list(difflib.unified_diff(lines_of(current), lines_of(new), "in force", str(file), lineterm=""))
    print("\n".join(found) if found else "no difference")
    return int(ExitCode.DIFFERENT) if found else 0


# The state of the system ------------------------------------------------------------------------------


def _show(where: Where, rows: Callable[[ReplicatedStore], Iterator[tuple[str, ...]]]) -> int:
    from otterreach.cli import state

    store = asyncio.run(state.read(where.internal()))
    if isinstance(store, Failure):
        return fail(store)
    print(state.columns(rows(store)))
    return 0


@app.command
def servers(*, where: Where = HERE) -> int:
    """The servers that are registered."""
    from otterreach.cli import state

    return _show(where, state.servers)


@app.command
def sidecars(*, where: Where = HERE) -> int:
    """The machines of the system."""
    from otterreach.cli import state

    return _show(where, state.members)


@app.command
def owners(*, where: Where = HERE) -> int:
    """Who keeps which partition of the batch jobs."""
    from otterreach.cli import state

    return _show(where, state.owners)


@app.command
def epochs(*, where: Where = HERE) -> int:
    """The epoch of the controllers, the version of the configuration and of the weights."""
    from otterreach.cli import state

    return _show(where, state.epochs)


def _jobs_in_file(data: Path) -> int:
    from otterreach.cli.data import job_line, jobs_in

    found = _read(data)
    if isinstance(found, Failure):
        return fail(found)
    for part, job in jobs_in(found):
        print(job_line(part, job))
    return 0


@app.command
def jobs(*ids: str, data: Path | None = None, where: Where = HERE) -> int:
    """Batch jobs by their ids, asked of who owns them; or with --data all that are in a job store node's data file."""
    from otterreach.cli import state

    if data:
        return _jobs_in_file(data)
    if not ids:
        return fail(Failure(Code.UNKNOWN_JOB, "name batch jobs by their ids, or a data file with --data"))
    rows: list[tuple[str, ...]] = [("batch job", "part", "owner", "listed", "items")]
    code = 0
    for ident in ids:
        found = asyncio.run(state.job(where.internal(), ident))
        if isinstance(found, Failure):
            code = fail(Failure(found.code, f"{ident}: {found.reason}"))
        else:
            rows.append(found)
    print(state.columns(iter(rows)))
    return code


@app.command
def watch(kind: str = "", *, where: Where = HERE) -> int:
    """Every change of the control state as it comes; of one kind of items (server, part, member, ...) if named."""
    from otterreach.cli import state

    def show(item: Any) -> None:
        print(state.item_line(item), flush=True)

    try:
        return fail(asyncio.run(state.watch(where.internal(), kind, show)))
    except KeyboardInterrupt:
        return 0


def _retire_state(node: str, where: Where) -> str | Failure:
    from otterreach.cli.caller import error_of

    answer = _call(where, "GET", f"/retire/{node}")
    if isinstance(answer, Failure):
        return answer
    if answer.status == 404:
        return Failure(Code.UNKNOWN_NODE, node)
    return str(json.loads(answer.body)["state"]) if answer.status == 200 else error_of(answer)


@app.command
def retire(
    node: str,
    *,
    over: float = 10.0,
    watch: Annotated[bool, Parameter(negative="")] = False,
    look: bool = False,
    where: Where = HERE,
) -> int:
    """Empty a store machine; at `done` it may be taken away with its disk.

    Parameters
    ----------
    over: seconds over which it may be done.
    watch: go on until it is done.
    look: only tell how far it is.
    """
    import time

    from otterreach.cli.caller import error_of

    if not look:
        answer = _call(where, "POST", f"/retire/{node}", json.dumps({"overS": over}).encode())
        if isinstance(answer, Failure):
            return fail(answer)
        if answer.status != 200:
            return fail(error_of(answer))
    while True:
        state = _retire_state(node, where)
        if isinstance(state, Failure) and not watch:
            return fail(state)
        if isinstance(state, str):
            print(f"{node}: {state}", flush=True)
            if state == "done" or not watch:
                return 0
        time.sleep(RETIRE_LOOK_S)


def main(arguments: Sequence[str] | None = None) -> int:
    """The exit code."""
    try:
        return int(app(arguments, exit_on_error=False, result_action="return_value") or 0)
    except SystemExit as ended:
        return int(ended.code) if isinstance(ended.code, int) else FAULT
    except Exception as error:
        if type(error).__module__.startswith("cyclopts"):  # it has told what is wrong with the arguments
            return FAULT
        raise


if __name__ == "__main__":
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)  # its output may go to `head`
    sys.exit(main())
