"""The port at which a process tells its figures. What answers there is imported at the first connection.

Most processes are never asked, and the imports would lengthen each start by a quarter. A port that can't be had is
logged and costs nothing else: figures are no reason to stop serving.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from otterreach.runtime.log import log

if TYPE_CHECKING:
    from otterreach.runtime.figures import FigureSource
    from otterreach.runtime.http import JsonServer

METRICS_PORT = 9464  # deploy/system.toml names it


class MetricsListener:
    """Listens from the start on. `sources` is called once, at the first connection."""

    def __init__(self, sources: Callable[[], Iterable[FigureSource]]) -> None:
        self._sources = sources
        self._answering: JsonServer | None = None
        self._listening: asyncio.Server | None = None

    async def listen(self, host: str, port: int = METRICS_PORT) -> int:
        """Accept connections; returns the port, 0 if it can't be had."""
        loop = asyncio.get_running_loop()
        try:
            self._listening = await loop.create_server(self._accept, host, port, reuse_address=True)
        except OSError as error:
            log("metrics_unavailable", level="WARNING", address=f"{host}:{port}", error=type(error).__name__)
            return 0
        return int(self._listening.sockets[0].getsockname()[1])

    def _accept(self) -> asyncio.Protocol:
        if self._answering is None:
            from otterreach.runtime.metrics import metrics_server

            self._answering = metrics_server(self._sources())
        return self._answering.accept()

    def stop(self) -> None:
        """Accept no new connections."""
        if self._listening:
            self._listening.close()
        if self._answering:
            self._answering.stop()
