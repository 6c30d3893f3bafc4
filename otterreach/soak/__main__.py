"""python3 -m otterreach.soak: real processes under disruptions that overlap, one seed after the other."""

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
from otterreach.soak.run import soak
from otterreach.soak.setup import SoakSetup

BROKEN_OFF = 130
MAX_PROCESSES = 300
PROCESS_MB = 60  # of memory, at the most
MB = 1024 * 1024

app = App(name="soak", help="Real processes under signals, restarts, lost disks and changes, with callers.")


def read_seeds(text: str) -> Iterator[int]:
    """The seeds of `4`, `1-50` or `1,7,20-25`."""
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def fits(setup: SoakSetup) -> bool:
    """Whether the processes stay within a few hundred and half of the machine's memory."""
    count = setup.controllers + setup.jobstores + setup.proxies
    memory_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / MB
    return count <= MAX_PROCESSES and count * PROCESS_MB <= memory_mb / 2


async def play(setup: SoakSetup, folder: Path, quiet: bool) -> SoakResult:
    """One soak, which SIGTERM breaks off in order."""
    task = asyncio.current_task()
    assert task is not None
    # Danger: ended at once, it would leave the system's processes behind.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await soak(setup, folder, quiet)


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class Options:
    """What is soaked."""

    seeds: str = "1"
    "4, 1-50 or 1,7,20-25."
    seconds: float = 40.0
    "Of disruptions, for each seed."
    controllers: int = 0
    "3 or 5; else as the seed says."
    jobstores: int = 0
    "Job store nodes besides."
    proxies: int = 0
    "Proxies besides."
    callers: int = 1
    "A multiple of the usual number of callers."
    out: Path | None = None
    "A folder for results, and for logs and disks of soaks that broke a rule or were late."
    quiet: bool = False
    "Only one line for each seed."

    def setup(self, seed: int) -> SoakSetup:
        """The setup of a seed."""
        setup = SoakSetup.draw(
            seed, self.seconds, jobstores=self.jobstores, proxies=self.proxies, callers_scale=self.callers
        )
        if not self.controllers:
            return setup
        return replace(setup, controllers=self.controllers, survive=(self.controllers - 1) // 2)


DEFAULT_OPTIONS = Options()


def soak_seed(setup: SoakSetup, folder: Path, quiet: bool) -> bool:
    """Soak one seed and tell of it; whether no rule was broken. What an earlier soak left in the folder is removed."""
    shutil.rmtree(folder, ignore_errors=True)  # its disks know other addresses
    result = asyncio.run(play(setup, folder, quiet))
    result.write(folder)
    print(result.line(), flush=True)
    if result.violations:
        print(f"{result.details()}\n  kept in {folder}", flush=True)
    elif not result.late:
        for part in ("disk", "host", "logs", "settings"):
            shutil.rmtree(folder / part, ignore_errors=True)
    return not result.violations


@app.default
def run(*, options: Options = DEFAULT_OPTIONS) -> int:
    """Soak, one seed after the other. Ends with 1 if a rule was broken; then logs and disks are kept."""
    folder = (options.out or Path(tempfile.mkdtemp(prefix="soak-"))).absolute()
    setups = [options.setup(seed) for seed in read_seeds(options.seeds)]
    if not all(fits(setup) for setup in setups):
        print(f"more than {MAX_PROCESSES} processes, or more than half of the memory", file=sys.stderr)
        return 1
    try:
        kept = [soak_seed(setup, folder / f"seed-{setup.seed}", options.quiet) for setup in setups]
    except (asyncio.CancelledError, KeyboardInterrupt):
        print("broken off; everything it started has been ended", file=sys.stderr)
        return BROKEN_OFF
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(app())
