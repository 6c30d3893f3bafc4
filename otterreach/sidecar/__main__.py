"""Entry point of the sidecar: start-up, signals and graceful shutdown. Logs go to standard error."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable

from otterreach.balancer.interface import RosterForm, Settings
from otterreach.sidecar.config import Address, Config, ConfigError, load, read_discovery_address
from otterreach.sidecar.discovery import INITIAL_BACKOFF_S, Watch
from otterreach.sidecar.endpoints import Endpoints
from otterreach.sidecar.memory_budget import MemoryBudget
from otterreach.sidecar.server import Server
from otterreach.sidecar.sidecar import Sidecar

ACCEPT_GRACE_S = 0.5  # listening time after SIGTERM: new connections arrive for up to 0.4 s
# The platform may send SIGKILL at this time after SIGTERM: the longest deadline, of which it counts at most
# MAX_KILL_DEADLINE_S, plus KILL_GRACE_S. Answers are due KILL_RESERVE_S earlier.
MAX_KILL_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
KILL_RESERVE_S = 0.1
# If discovery pushes lists, the sidecar waits at start-up at most this time for a list newer than `known`, the one in
# its configuration. The platform allows 30 s for the start.
FIRST_LIST_TIMEOUT_S = 10.0
BACKOFF_SHARE = 0.5  # longest backoff, as part of the time in which an update must be received
GC_THRESHOLDS = (10_000, 20, 20)  # high, since reference cycles are rare: parsers break theirs
RESERVED_SOCKETS = 32  # file descriptors for other uses, and for connections that are closing
# Part of the remaining descriptors for clients. Many client connections are idle; each busy one also needs a connection
# to an endpoint.
CLIENT_SHARE = 0.6
CLIENT_MEMORY_SHARE = (
    0.2  # of the memory, for requests of clients; the smallest limit is hardly above the program's size
)
BYTES_PER_MB = 1024 * 1024


class Signals:
    """Events for the signals of the platform.

    They are installed before anything else, so that an early SIGHUP is handled later instead of ending the process.
    """

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()

    def install(self) -> None:
        """Install the signal handlers in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)


async def run(config: Config, signals: Signals, on_listening: Callable[[Address], None]) -> None:
    """Run a sidecar until a stop signal, and until all accepted requests are answered.

    :param on_listening: called with the address in use once the sidecar listens
    """
    loop = asyncio.get_running_loop()
    settings = config.settings
    sockets = max(16, config.sockets - RESERVED_SOCKETS)
    max_clients = int(sockets * CLIENT_SHARE)
    endpoints = Endpoints(
        settings.report_columns, settings.connect_timeout_ns, config.keepalive_ns, sockets - max_clients
    )
    sidecar = Sidecar(config, endpoints)
    sidecar.update_endpoints(config.known, RosterForm.CACHED)
    loop.call_later(FIRST_LIST_TIMEOUT_S, sidecar.accept_current_list)
    watch = Watch(
        config.discovery,
        config.names,
        config.known.revision,
        sidecar.update_endpoints,
        sidecar.accept_current_list,
        _max_backoff_s(settings),
    )
    tasks = [loop.create_task(watch.run()), loop.create_task(endpoints.sweep())]
    tasks.append(loop.create_task(_reload(config.path, watch, signals.reload)))
    budget = MemoryBudget(int(config.memory_mb * BYTES_PER_MB * CLIENT_MEMORY_SHARE), loop.time)
    server = Server(sidecar, config.names, settings, max_clients, budget)
    tasks.append(loop.create_task(server.sweep()))
    try:
        on_listening(server.listen(config.listen))
    except OSError as error:
        raise ConfigError(f"LB_LISTEN: {error}") from None
    gc.freeze()  # objects of the start-up are permanent and need no further collection
    gc.set_threshold(*GC_THRESHOLDS)
    await signals.stop.wait()
    await server.stop(ACCEPT_GRACE_S, *_answer_deadlines_s(settings))
    for task in tasks:
        task.cancel()


def _max_backoff_s(settings: Settings) -> float:
    """Return the longest backoff between two calls to discovery, in seconds.

    With pushed lists, all updates count as received when discovery is available again. With requested lists, the
    settings define how long the last call is valid.
    """
    bound_ns = settings.drain_grace_ns if settings.discovery == "push" else settings.resubscribe_within_ns
    return max(INITIAL_BACKOFF_S, bound_ns / 1e9 * BACKOFF_SHARE)


def _answer_deadlines_s(settings: Settings) -> tuple[float, float]:
    """Return the seconds after SIGTERM until answers are due: to requests that arrive later, and to all requests."""
    within_s = max(ACCEPT_GRACE_S + KILL_RESERVE_S, max(c.deadline_ns for c in settings.classes) / 1e9)
    killed_s = min(within_s, MAX_KILL_DEADLINE_S) + KILL_GRACE_S
    return min(within_s, killed_s - KILL_RESERVE_S), within_s


async def _reload(path: str, watch: Watch, requested: asyncio.Event) -> None:
    """Reload the configuration on request. Only discovery's address can change at run time."""
    while True:
        await requested.wait()
        requested.clear()
        try:
            watch.set_address(read_discovery_address(path))
        except ConfigError as error:  # an invalid file must not end the sidecar
            print(f"sidecar: configuration not reloaded: {error}"[:300], file=sys.stderr)


async def _until_signalled() -> None:
    signals = Signals()
    signals.install()
    try:
        await run(load(os.environ), signals, lambda _: None)
    finally:
        # The closing event loop restores the default signal handlers, which end the process with a failure status.
        # Signals during the shutdown are therefore blocked.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def main() -> int:
    """Run the sidecar; return 2 if its configuration is invalid."""
    try:
        asyncio.run(_until_signalled())
    except ConfigError as error:
        print(f"sidecar: {error}"[:300], file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
