"""Command line of the scale test, `python3 -m otterreach.scaletest`."""

from __future__ import annotations

import asyncio
import json
import runpy
import signal
import sys
import tempfile
from pathlib import Path

from cyclopts import App

from otterreach.scaletest import meter

app = App(name="scaletest", help="Run real processes and hollow ones, and print the resource usage of each role.")


@app.command
def run(
    *,
    fronts: int = 300,
    servers: int = 1800,
    controllers: int = 5,
    store_nodes: int = 3,
    proxies: int = 2,
    hollow: int = 6,
    heartbeat_ms: int = 1200,
    seconds: float = 20.0,
    joins_per_s: float = 100.0,
    folder: Path | None = None,
) -> None:
    """Start all processes, measure, stop them; print the results as JSON.

    Parameters
    ----------
    fronts: number of hollow proxies, in addition to the real ones.
    servers: number of hollow servers.
    controllers: number of real controllers.
    store_nodes: number of real job store nodes.
    proxies: number of real proxies, which get no traffic.
    hollow: number of processes that the hollow proxies share.
    heartbeat_ms: heartbeat interval of servers.
    seconds: duration of the measurement, after all state has reached all followers.
    joins_per_s: servers that register per second at the start; hollow proxies start at a quarter of that rate.
    folder: folder for logs, settings, disks and message counts.
    """
    from otterreach.scaletest.run import Run
    from otterreach.scaletest.size import Size

    size = Size(
        fronts, servers, controllers, store_nodes, proxies, hollow, heartbeat_ms=heartbeat_ms, joins_per_s=joins_per_s
    )
    run_folder = (folder or Path(tempfile.mkdtemp(prefix="scaletest-"))).absolute()
    run_folder.mkdir(parents=True, exist_ok=True)

    async def run_cancellable() -> None:
        """Run to the end; SIGTERM and SIGINT cancel the run and shut it down cleanly."""
        task = asyncio.current_task()
        assert task is not None
        # A signal has to cancel the task: the default action would leave the child processes running.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        print(json.dumps(await Run(size, seconds, run_folder).run(), indent=1))

    asyncio.run(run_cancellable())


@app.command
def cost(*, servers: int = 1800, fronts: int = 340) -> None:
    """Print, as JSON, the processor time of the steps that grow with the size, at a tenth, a third and all of it."""
    from otterreach.scaletest.cost import measure_sizes

    sizes = [(servers // divisor, max(1, fronts // divisor)) for divisor in (10, 3, 1)]
    print(json.dumps(measure_sizes(sizes), indent=1))


@app.command
def role(kind: str) -> None:
    """Run a real process and count its messages. Started by `run`."""
    from otterreach.loadtest.machines import MODULES

    meter.install()
    runpy.run_module(MODULES[kind], run_name="__main__")


@app.command
def hollow_fronts(file: Path, servers: int, members: int, gap_s: float) -> None:
    """Run hollow proxies with the settings in the file. Started by `run`."""
    meter.install()
    from otterreach.runtime import settings
    from otterreach.scaletest import hollow

    rows = [settings.read(row) for row in json.loads(file.read_text())]
    asyncio.run(hollow.run_proxies(rows, servers, members, gap_s))


@app.command
def hollow_servers(first: int, last: int, controllers: str, beat_s: float, gap_s: float) -> None:
    """Run hollow servers with the numbers from `first` to `last`, exclusive. Started by `run`."""
    meter.install()
    from otterreach.scaletest import hollow

    asyncio.run(hollow.run_servers(range(first, last), controllers.split(","), beat_s, gap_s))


if __name__ == "__main__":
    sys.exit(app())
