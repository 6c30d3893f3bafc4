"""Command line of the soak test, `python3 -m otterreach.soak`: runs one seed after the other."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path

from cyclopts import App, Parameter

from otterreach.soak.result import SoakResult
from otterreach.soak.run import run_soak
from otterreach.soak.setup import Load, SoakSetup

INTERRUPTED_EXIT_CODE = 130
MAX_PROCESSES = 300
PROCESS_MB = 60  # upper bound on the memory of one process
MB = 1024 * 1024

app = App(
    name="soak",
    help="Run clients against real processes under signals, restarts, disk losses and configuration changes.",
)


def read_seeds(text: str) -> Iterator[int]:
    """Yield the seeds of a list such as `4`, `1-50` or `1,7,20-25`."""
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def fits_machine(setup: SoakSetup) -> bool:
    """Return True if the setup needs at most `MAX_PROCESSES` processes and half of the machine's memory."""
    count = setup.controllers + setup.jobstores + setup.proxies
    memory_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / MB
    return count <= MAX_PROCESSES and count * PROCESS_MB <= memory_mb / 2


async def run_cancellable(setup: SoakSetup, folder: Path, quiet: bool) -> SoakResult:
    """Run one soak; SIGTERM cancels it and shuts it down cleanly."""
    task = asyncio.current_task()
    assert task is not None
    # SIGTERM has to cancel the task: the default action would end this process and leave its child processes running.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_soak(setup, folder, quiet)


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class Options:
    """Options of the command line."""

    seeds: str = "1"
    "Seeds to run: 4, 1-50 or 1,7,20-25."
    seconds: float = 40.0
    "Duration of the disruptions for each seed, in seconds."
    controllers: int = 0
    "Number of controllers, 3 or 5; by default drawn from the seed."
    jobstores: int = 0
    "Number of job store nodes."
    proxies: int = 0
    "Number of proxies."
    callers: int = 1
    "Factor on the default number of callers."
    crowds: int = 0
    "Clients of each crowd that sends large bodies without their end; 0 for no crowds."
    requests: int = 0
    "Clients that send requests to the proxies; 0 for none. There have to be proxies."
    out: Path | None = None
    "Folder for the results; logs and disks are kept for soaks that broke a rule or had late answers."
    quiet: bool = False
    "Print only one line for each seed."

    def setup(self, seed: int) -> SoakSetup:
        """Return the setup for a seed, with the options applied."""
        setup = SoakSetup.draw(
            seed,
            self.seconds,
            jobstores=self.jobstores,
            proxies=self.proxies,
            load=Load(self.callers, self.crowds, self.requests),
        )
        if not self.controllers:
            return setup
        return replace(setup, controllers=self.controllers, survive=(self.controllers - 1) // 2)


DEFAULT_OPTIONS = Options()


def soak_seed(setup: SoakSetup, folder: Path, quiet: bool) -> bool:
    """Soak one seed and print the result; return True if no rule was broken.

    Files of an earlier soak in the folder are removed first.
    """
    shutil.rmtree(folder, ignore_errors=True)  # old disks hold a membership with other addresses
    result = asyncio.run(run_cancellable(setup, folder, quiet))
    result.write(folder)
    print(result.line(), flush=True)
    if result.violations:
        print(f"{result.details()}\n  logs and disks kept in {folder}", flush=True)
    elif not result.late:
        for part in ("disk", "host", "logs", "settings"):
            shutil.rmtree(folder / part, ignore_errors=True)
    return not result.violations


@app.default
def run(*, options: Options = DEFAULT_OPTIONS) -> int:
    """Soak one seed after the other. Exits with 1 if a rule was broken; logs and disks are then kept."""
    folder = (options.out or Path(tempfile.mkdtemp(prefix="soak-"))).absolute()
    setups = [options.setup(seed) for seed in read_seeds(options.seeds)]
    if not all(fits_machine(setup) for setup in setups):
        print(f"soak too large: more than {MAX_PROCESSES} processes or half of the machine's memory", file=sys.stderr)
        return 1
    try:
        kept = [soak_seed(setup, folder / f"seed-{setup.seed}", options.quiet) for setup in setups]
    except (asyncio.CancelledError, KeyboardInterrupt):
        print("interrupted; all processes of the soak have been stopped", file=sys.stderr)
        return INTERRUPTED_EXIT_CODE
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(app())
