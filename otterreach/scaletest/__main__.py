"""python3 -m otterreach.scaletest: a scale run on one machine."""

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

app = App(name="scaletest", help="Runs real processes beside hollow ones, and prints what each role costs.")


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
    """Start all, measure, stop all; prints JSON.

    Parameters
    ----------
    fronts: hollow sidecars, besides the real proxies.
    servers: hollow servers.
    controllers: real.
    store_nodes: real.
    proxies: real; without traffic.
    hollow: processes that the hollow sidecars share.
    heartbeat_ms: of servers.
    seconds: of measuring, once everything is known everywhere.
    joins_per_s: servers that register in a second, at the start; sidecars come a quarter as fast.
    folder: for logs, settings, disks and counts.
    """
    from otterreach.scaletest.run import Run
    from otterreach.scaletest.size import Size

    size = Size(
        fronts, servers, controllers, store_nodes, proxies, hollow, heartbeat_ms=heartbeat_ms, joins_per_s=joins_per_s
    )
    place = (folder or Path(tempfile.mkdtemp(prefix="scaletest-"))).absolute()
    place.mkdir(parents=True, exist_ok=True)

    async def whole() -> None:
        """The run, ended in order by a signal."""
        task = asyncio.current_task()
        assert task is not None
        # Danger: ended at once, it would leave its processes behind.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        print(json.dumps(await Run(size, seconds, place).run(), indent=1))

    asyncio.run(whole())


@app.command
def cost(*, servers: int = 1800, fronts: int = 340) -> None:
    """Processor time of the steps that grow with the size: at a tenth, a third and the whole of it; prints JSON."""
    from otterreach.scaletest.cost import table

    sizes = [(servers // part, max(1, fronts // part)) for part in (10, 3, 1)]
    print(json.dumps(table(sizes), indent=1))


@app.command
def role(kind: str) -> None:
    """A real process, counted. Started by `run`."""
    from otterreach.loadtest.machines import MODULES

    meter.install()
    runpy.run_module(MODULES[kind], run_name="__main__")


@app.command
def hollow_fronts(file: Path, servers: int, members: int, gap_s: float) -> None:
    """Hollow sidecars, as the file has their settings. Started by `run`."""
    meter.install()
    from otterreach.runtime import settings
    from otterreach.scaletest import hollow

    rows = [settings.read(row) for row in json.loads(file.read_text())]
    asyncio.run(hollow.fronts(rows, servers, members, gap_s))


@app.command
def hollow_servers(first: int, last: int, controllers: str, beat_s: float, gap_s: float) -> None:
    """Hollow servers with these numbers. Started by `run`."""
    meter.install()
    from otterreach.scaletest import hollow

    asyncio.run(hollow.servers(range(first, last), controllers.split(","), beat_s, gap_s))


if __name__ == "__main__":
    sys.exit(app())
