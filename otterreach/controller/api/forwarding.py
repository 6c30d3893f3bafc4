"""Passes calls on to the primary controller, and gives up on them as soon as the primary is not heard any more."""

from __future__ import annotations

import asyncio

from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.replication import ControlReplication
from otterreach.runtime.codes import Code, Failure

PRIMARY_CHECK_S = 0.05  # between two looks whether the primary that calls were forwarded to is still heard


class Forwarder:
    """The calls that wait for the primary. One task looks after all of them, and none runs while there are none."""

    def __init__(self, control: ControlReplication) -> None:
        self.control = control
        self._waiting: dict[
            asyncio.Future[None], str
        ] = {}  # by the future that ends the waiting: the primary's address
        self._monitor: asyncio.Task[None] | None = None

    async def forward(self, call: ApiCall, timeout_s: float) -> ApiResponse | Failure:
        """The primary's answer. A failure with `maybe_done` leaves open whether the call was handled."""
        address = self.control.live_primary_address
        if not address:
            return Failure(Code.NOT_PRIMARY, "no primary is heard")
        asked = self.control.endpoint.spawn(self.control.endpoint.call(address, call, timeout_s))
        lost: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[lost] = address
        self._start_monitor()
        asked.add_done_callback(lambda _: self._end(lost))
        try:
            await lost
        finally:
            del self._waiting[lost]
        return asked.result() if asked.done() else Failure(Code.CLOSED, "the primary is not heard any more")

    def abandon(self) -> None:
        """This controller shuts down: its callers are to go on to another one."""
        for lost in list(self._waiting):
            self._end(lost)

    def _start_monitor(self) -> None:
        if self._monitor is None or self._monitor.done():
            self._monitor = self.control.endpoint.spawn(self._watch_primary())

    async def _watch_primary(self) -> None:
        while self._waiting:
            await asyncio.sleep(PRIMARY_CHECK_S)
            address = self.control.live_primary_address
            for lost, asked_address in list(self._waiting.items()):
                if asked_address != address:
                    self._end(lost)

    def _end(self, lost: asyncio.Future[None]) -> None:
        if not lost.done():
            lost.set_result(None)
