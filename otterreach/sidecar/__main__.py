"""Start, signals and the end of one sidecar. The log goes to standard error."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable

from otterreach.balancer.interface import RosterForm, Settings
from otterreach.sidecar.config import Address, Config, ConfigError, discovery_in, load
from otterreach.sidecar.discovery import FIRST_WAIT_S, Watch
from otterreach.sidecar.endpoints import Endpoints
from otterreach.sidecar.server import Server
from otterreach.sidecar.sidecar import Sidecar

ACCEPT_S = 0.5  # after SIGTERM: new connections go on coming for up to 0.4 s
# After SIGTERM the platform may kill once the longest deadline is over, which it counts as 3 s where it is
# longer, and 0.7 s more.
KILL_COUNTS_S = 3.0
KILL_AFTER_S = 0.7
KILL_RESERVE_S = 0.1
LIST_S = 10.0  # at the start, for a list newer than `known`, where lists are pushed; 30 s are allowed in all
WAIT_SHARE = 0.5  # of the time in which news must be known
COLLECT = (10_000, 20, 20)  # cycles are rare here: parsers let go of themselves
SPARE_SOCKETS = 32  # descriptors for all but clients and endpoints, and for those on their way out
CLIENTS_SHARE = 0.6  # of the others: many at rest beside those busy, of which each needs one to an endpoint


class Signals:
    """What the platform asks for while the program runs.

    They exist before anything else does, so that a SIGHUP at an awkward moment waits instead of killing the process.
    """

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()

    def install(self) -> None:
        """Have the running loop set the events."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)


async def run(config: Config, signals: Signals, on_listening: Callable[[Address], None]) -> None:
    """Run one sidecar until a signal to stop, and until all requests that it accepted are answered."""
    loop = asyncio.get_running_loop()
    settings = config.settings
    sockets = max(16, config.sockets - SPARE_SOCKETS)
    most = int(sockets * CLIENTS_SHARE)
    endpoints = Endpoints(settings.report_columns, settings.connect_timeout_ns, config.keepalive_ns, sockets - most)
    sidecar = Sidecar(config, endpoints)
    sidecar.listed(config.known, RosterForm.CACHED)
    loop.call_later(LIST_S, sidecar.go_by_known)
    watch = Watch(
        config.discovery,
        config.names,
        config.known.revision,
        sidecar.listed,
        sidecar.go_by_known,
        _longest_wait(settings),
    )
    tasks = [loop.create_task(watch.run()), loop.create_task(endpoints.sweep())]
    tasks.append(loop.create_task(_reload(config.path, watch, signals.reload)))
    server = Server(sidecar, config.names, settings, most)
    tasks.append(loop.create_task(server.sweep()))
    try:
        on_listening(server.listen(config.listen))
    except OSError as error:
        raise ConfigError(f"LB_LISTEN: {error}") from None
    gc.freeze()  # what start-up made stays for good: no collection need look at it
    gc.set_threshold(*COLLECT)
    await signals.stop.wait()
    await server.stop(ACCEPT_S, *_ending(settings))
    for task in tasks:
        task.cancel()


def _longest_wait(settings: Settings) -> float:
    """Between two calls to discovery.

    Where lists are pushed, all that it has counts as told when it is back; where they are asked for, the settings say
    how long the last call is good for.
    """
    bound_ns = settings.drain_grace_ns if settings.discovery == "push" else settings.resubscribe_within_ns
    return max(FIRST_WAIT_S, bound_ns / 1e9 * WAIT_SHARE)


def _ending(settings: Settings) -> tuple[float, float]:
    """How long after SIGTERM the last answers are due: to what comes from then on, and to all."""
    within_s = max(ACCEPT_S + KILL_RESERVE_S, max(c.deadline_ns for c in settings.classes) / 1e9)
    killed_s = min(within_s, KILL_COUNTS_S) + KILL_AFTER_S
    return min(within_s, killed_s - KILL_RESERVE_S), within_s


async def _reload(path: str, watch: Watch, asked: asyncio.Event) -> None:
    """New configurations: of what the file says only discovery's address can change under way."""
    while True:
        await asked.wait()
        asked.clear()
        try:
            watch.move(discovery_in(path))
        except ConfigError as error:  # Danger: a bad file must cost a log line, not the sidecar
            print(f"sidecar: not reloaded: {error}"[:300], file=sys.stderr)


async def _until_signalled() -> None:
    signals = Signals()
    signals.install()
    try:
        await run(load(os.environ), signals, lambda _: None)
    finally:
        # Danger: the closing loop gives signals back their deadly defaults. What comes now finds us leaving.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def main() -> int:
    """Run the sidecar; 2 if its configuration can't be read."""
    try:
        asyncio.run(_until_signalled())
    except ConfigError as error:
        print(f"sidecar: {error}"[:300], file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
