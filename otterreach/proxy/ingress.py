"""The HTTP listener for clients: accepts connections, enforces their time limits, shuts down gracefully."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from otterreach.proxy.client_connection import Client, Handler
from otterreach.runtime.configuration import Caps
from otterreach.runtime.histogram import Histogram
from otterreach.sidecar.memory_budget import MemoryBudget, unlimited
from otterreach.sidecar.transport import listen_tcp

BACKLOG = 1024
MAX_CONNECTIONS = 4096  # without settings
SWEEP_INTERVAL_S = 0.25


class Ingress:
    """The listener for clients."""

    def __init__(
        self,
        handler: Handler,
        caps: Callable[[], Caps],
        budget: MemoryBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """:param budget: of the memory for callers; by default without a limit"""
        self.handler = handler
        self._caps = caps
        self.budget = budget or unlimited()
        self.max_connections = max_connections
        self.clients: set[Client] = set()
        self.shutting_down = False
        self.answers: Counter[int] = Counter()  # by status
        self.answer_times = Histogram("answer_seconds", "From the whole request to the end of its answer.")
        self._server: asyncio.Server | None = None

    def caps(self) -> Caps:
        """Return the limits for clients in force."""
        return self._caps()

    @property
    def keep_alive(self) -> bytes:
        """The Keep-Alive header: one second less than the idle time-out.

        The margin keeps a client's next request from crossing the close of the connection.
        """
        seconds = int(self.caps().idle_s - 1)
        return b"Keep-Alive: timeout=%d\r\n" % seconds if seconds >= 1 else b""

    async def listen(self, host: str, port: int) -> int:
        """Accept connections and return the port.

        :raises OSError: if the address can't be bound
        """
        self._server = await listen_tcp(lambda: Client(self), (host, port), BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    async def sweep(self) -> None:
        """Enforce the time limits of connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            caps = self.caps()
            now = loop.time()
            for client in list(self.clients):
                client.sweep(now, caps)

    async def shut_down(self, accept_s: float, within_s: float) -> None:
        """Shut down gracefully: accept connections for `accept_s`, answer accepted requests, end after `within_s`.

        Both times count from the call.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.shutting_down = True
        await asyncio.sleep(accept_s)
        if self._server:
            self._server.close()
        late_at = loop.time() + 1.0
        while self.clients and loop.time() - start < within_s:
            for client in list(self.clients):
                client.shut_down(late=loop.time() > late_at)
            await asyncio.sleep(0.02)
