"""Forwards calls to the primary controller, and aborts them as soon as the primary's heartbeats cease."""

from __future__ import annotations

import asyncio

from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.replication import ControlReplication
from otterreach.runtime.codes import Code, Failure

PRIMARY_CHECK_S = 0.05  # interval of the checks that the primary to which calls were forwarded is alive


class Forwarder:
    """The calls in flight to the primary. A single task monitors all of them, and runs only while there are any."""

    def __init__(self, control: ControlReplication) -> None:
        self.control = control
        # Future that ends a wait -> address of the primary waited for.
        self._waiting: dict[asyncio.Future[None], str] = {}
        self._monitor: asyncio.Task[None] | None = None

    async def forward(self, call: ApiCall, timeout_s: float) -> ApiResponse | Failure:
        """Return the primary's response. A failure with `maybe_done` leaves open whether the call was handled."""
        address = self.control.live_primary_address
        if not address:
            return Failure(Code.NOT_PRIMARY, "no primary is heard")
        pending = self.control.endpoint.spawn(self.control.endpoint.call(address, call, timeout_s))
        lost: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[lost] = address
        self._start_monitor()
        pending.add_done_callback(lambda _: self._end(lost))
        try:
            await lost
        finally:
            del self._waiting[lost]
        return pending.result() if pending.done() else Failure(Code.CLOSED, "the primary is not heard any more")

    def abort(self) -> None:
        """End all calls in flight, because this controller is shutting down and callers are to use another one."""
        for lost in list(self._waiting):
            self._end(lost)

    def _start_monitor(self) -> None:
        if self._monitor is None or self._monitor.done():
            self._monitor = self.control.endpoint.spawn(self._watch_primary())

    async def _watch_primary(self) -> None:
        while self._waiting:
            await asyncio.sleep(PRIMARY_CHECK_S)
            address = self.control.live_primary_address
            for lost, called_address in list(self._waiting.items()):
                if called_address != address:
                    self._end(lost)

    def _end(self, lost: asyncio.Future[None]) -> None:
        if not lost.done():
            lost.set_result(None)
