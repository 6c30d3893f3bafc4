"""python3 -m otterreach.loadtest: plays the whole system on this machine."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from otterreach.loadtest import report
from otterreach.loadtest.plan import Plan, load
from otterreach.loadtest.play import Play, Played
from otterreach.runtime.codes import Failure

BROKEN_OFF = 130

app = App(name="loadtest", help="Plays the whole system on this machine, against stand-ins for all around it.")


async def _play(plan: Plan, folder: Path, seconds: float, quiet: bool) -> Played:
    task = asyncio.current_task()
    assert task is not None
    # Danger: ended at once, it would leave the system's processes behind.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await Play(plan, folder, seconds, quiet).run()


@app.command
def play(
    *,
    plan: str = "default",
    seconds: float | None = None,
    out: Path | None = None,
    compare: Path | None = None,
    seed: int | None = None,
    quiet: Annotated[bool, Parameter(negative="")] = False,
) -> int:
    """Start the system, play a plan against it, check what came of it, stop it all.

    Parameters
    ----------
    plan: a TOML file, or the name of a ready plan (default, troubles).
    seconds: of traffic; else as the plan says.
    out: a folder for results, report.html, logs, settings and disks. Plays into one folder are gathered.
    compare: a folder with the results of other plays, shown beside these.
    seed: of all chance; else as the plan says.
    quiet: only the table at the end.
    """
    found = load(plan)
    if isinstance(found, Failure):
        print(found.reason, file=sys.stderr)
        return int(found.code)
    if seed is not None:
        found = replace(found, seed=seed)
    folder = (out or Path(tempfile.mkdtemp(prefix="loadtest-"))).absolute()
    number = report.next_number(folder)
    try:
        played = asyncio.run(_play(found, folder / f"play-{number:03}", seconds or found.seconds, quiet))
    except (asyncio.CancelledError, KeyboardInterrupt):
        print("broken off; everything it started has been stopped", file=sys.stderr)
        return BROKEN_OFF
    result = report.result_of(played)
    report.write(folder, number, result)
    print(report.table(result))
    if compare:
        print(report.comparison(folder, compare))
    print(f"\n{folder / 'report.html'}")
    return 1 if played.faults else 0


@app.command
def compare(here: Path, there: Path) -> None:
    """The figures of two folders with results side by side, with their spread."""
    print(report.comparison(here, there))


if __name__ == "__main__":
    sys.exit(app())
