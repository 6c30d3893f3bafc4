"""The listener for metrics. The modules that answer are imported at the first connection.

Most processes are never scraped, and the imports would lengthen each start by a quarter. A port that can't be bound is
logged and has no other effect: a process serves without metrics.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from otterreach.runtime.log import log

if TYPE_CHECKING:
    from otterreach.runtime.figures import MetricSource
    from otterreach.runtime.http import JsonServer

METRICS_PORT = 9464  # also in deploy/system.toml


class MetricsListener:
    """A listener that imports the metrics server and calls `sources` at the first connection."""

    def __init__(self, sources: Callable[[], Iterable[MetricSource]]) -> None:
        self._sources = sources
        self._metrics_server: JsonServer | None = None
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int = METRICS_PORT) -> int:
        """Accept connections and return the port, or 0 if it can't be bound."""
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(self._accept, host, port, reuse_address=True)
        except OSError as error:
            log("metrics_unavailable", level="WARNING", address=f"{host}:{port}", error=type(error).__name__)
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    def _accept(self) -> asyncio.Protocol:
        if self._metrics_server is None:
            from otterreach.runtime.metrics import metrics_server

            self._metrics_server = metrics_server(self._sources())
        return self._metrics_server.accept()

    def stop(self) -> None:
        """Accept no new connections."""
        if self._server:
            self._server.close()
        if self._metrics_server:
            self._metrics_server.stop()
