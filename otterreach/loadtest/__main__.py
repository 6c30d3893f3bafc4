"""Command line of the load test: python3 -m otterreach.loadtest."""

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
from otterreach.loadtest.play import Play, PlayResult
from otterreach.runtime.codes import Failure

EXIT_INTERRUPTED = 130

app = App(name="loadtest", help="Load-test the whole system on this machine with simulated clients and servers.")


async def _play(plan: Plan, folder: Path, seconds: float, quiet: bool) -> PlayResult:
    task = asyncio.current_task()
    assert task is not None
    # Without cancellation, SIGTERM would end this process before it has stopped the system's processes.
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
    """Start the system, run a plan against it, verify the results and stop all processes.

    Parameters
    ----------
    plan: a TOML file, or the name of a built-in plan (default, troubles).
    seconds: duration of traffic; defaults to that of the plan.
    out: a folder for results, report.html, logs, settings and disks. Repeated runs add to the same folder.
    compare: a folder with the results of other runs, for comparison.
    seed: seed of the random numbers; defaults to that of the plan.
    quiet: print only the final table.
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
        print("interrupted; all processes that it started have been stopped", file=sys.stderr)
        return EXIT_INTERRUPTED
    result = report.result_of(played)
    report.write(folder, number, result)
    print(report.table(result))
    if compare:
        print(report.comparison(folder, compare))
    print(f"\n{folder / 'report.html'}")
    return 1 if played.faults else 0


@app.command
def compare(here: Path, there: Path) -> None:
    """Compare the results in two folders: the mean and range of each figure."""
    print(report.comparison(here, there))


if __name__ == "__main__":
    sys.exit(app())
