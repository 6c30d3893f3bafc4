"""Entry point of the client for applications."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from types import TracebackType

from otterreach.client.cells import Cells
from otterreach.client.locks import Locks
from otterreach.client.numbers import Numbers
from otterreach.client.transport import Transport
from otterreach.client.watches import Watches


class CoordinationClient:
    """Locks, numbers, cells and watches that share one set of connections; an asynchronous context manager.

    :param addresses: `ctl` addresses of controllers, host:port; each of them accepts every call
    :param owner: the name under which this application holds locks; must be unique to this process
    """

    def __init__(self, addresses: Sequence[str], owner: str, random: Random | None = None) -> None:
        self._transport = Transport(addresses, random)
        self.locks = Locks(self._transport, owner)
        self.numbers = Numbers(self._transport)
        self.cells = Cells(self._transport)
        self.watches = Watches(self._transport, self.cells)

    async def __aenter__(self) -> CoordinationClient:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the pooled connections."""
        self._transport.close()
