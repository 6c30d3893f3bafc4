"""A lease on a lock, and how long its holder may safely use it.

The holder measures the lease on its own monotonic clock, from just before it sent the call that was answered 200, and
stops using the lease a safety margin before the hold time is over. The service measures the hold time from its later
receipt of the call, so it can't have granted the lock to another owner by then. Wall-clock time is never used. Each
check compares clock readings, so a process that was suspended finds its lease expired even if no timer has run yet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from http import HTTPStatus
from typing import TypeVar

from otterreach.client.errors import CoordinationError, LeaseLostError
from otterreach.client.transport import Answer, Call, JsonValue, Transport

T = TypeVar("T")
MARGIN_SHARE = 0.1  # fraction of the hold time reserved for work to stop after the local expiry of the lease
MIN_MARGIN_S = 0.05
RENEWALS_PER_HOLD = 3
RELEASE_TIMEOUT_S = 2.0
MS_PER_S = 1000


def safety_margin_s(hold_s: float) -> float:
    """Return how long before the end of the hold time the holder stops using the lease, in seconds."""
    return max(MIN_MARGIN_S, hold_s * MARGIN_SHARE)


class Lease:
    """A lease on a lock. Created by `Locks`."""

    def __init__(self, transport: Transport, name: str, owner: str, hold_s: float, answer: Answer) -> None:
        self.name = name
        self.owner = owner
        self.hold_s = hold_s
        self.fence = answer.integer("fence")
        self.lost = asyncio.Event()  # set once the lease has expired, was lost or was released
        self._transport = transport
        self._usable_until = answer.sent_at + hold_s - safety_margin_s(hold_s)
        self._timer: asyncio.TimerHandle | None = None
        self._renewal_task: asyncio.Task[None] | None = None
        self._released = False  # the service has dropped the hold, or was asked to
        self._start_timer()

    @property
    def remaining_s(self) -> float:
        """The remaining time for which the lock may be used, in seconds; 0 once the lease has ended."""
        if self.lost.is_set():
            return 0.0
        return max(0.0, self._usable_until - self._transport.now())

    @property
    def held(self) -> bool:
        """True while the lock may be used."""
        return self.remaining_s > 0

    def check(self) -> None:
        """Raise LeaseLostError unless the lock may be used now. Call it right before each protected action."""
        if not self.held:
            raise LeaseLostError(f"{self.name}: lease has ended")

    async def renew(self) -> None:
        """Extend the hold; raise LeaseLostError if it is rejected, or not answered before the local expiry.

        An answer after the local expiry is ignored, although the service may have extended the hold: the application
        was already notified of the loss, and work that it stopped must not resume under the same lease.
        """
        self.check()
        document: dict[str, JsonValue] = {"owner": self.owner, "fence": self.fence}
        document["holdMs"] = round(self.hold_s * MS_PER_S)
        call = Call.to("locks", self.name, "PUT", document)
        try:
            answer = await self._transport.call(call, self._usable_until)
        except CoordinationError as error:
            self._end()
            raise LeaseLostError(f"{self.name}: lease could not be renewed: {error}") from error
        if answer.status != HTTPStatus.OK or not self.held:
            self._released = answer.status != HTTPStatus.OK
            self._end()
            raise LeaseLostError(f"{self.name}: lease could not be renewed: rejected, or answered after its expiry")
        self._usable_until = answer.sent_at + self.hold_s - safety_margin_s(self.hold_s)
        self._start_timer()

    def keep_renewed(self) -> None:
        """Start renewing in the background until the lease is lost or released."""
        if self._renewal_task is None:
            self._renewal_task = asyncio.ensure_future(self._renew_repeatedly())

    async def run(self, work: Coroutine[object, object, T]) -> T:
        """Run a coroutine under the lease; cancel it and raise LeaseLostError once the lease is lost."""
        task = asyncio.ensure_future(work)
        lost = asyncio.ensure_future(self.lost.wait())
        try:
            await asyncio.wait((task, lost), return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            raise LeaseLostError(f"{self.name}: lease was lost while it was in use")
        finally:
            lost.cancel()
            await _cancel_and_wait(task)

    async def release(self) -> None:
        """Release the lock. The lease ends with this call, whatever the answer.

        A lease past its local expiry is released, too, since the service may still keep its hold. Errors are
        suppressed: if the release fails, the hold expires at the service.
        """
        self._end()
        if self._released:
            return
        self._released = True
        call = Call.to("locks", self.name, "DELETE", {"owner": self.owner, "fence": self.fence})
        try:
            await self._transport.call(call, self._transport.now() + RELEASE_TIMEOUT_S)
        except CoordinationError:
            return

    async def _renew_repeatedly(self) -> None:
        while self.held:
            await asyncio.sleep(min(self.hold_s / RENEWALS_PER_HOLD, self.remaining_s))
            try:
                await self.renew()
            except LeaseLostError:
                return

    def _start_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(self._usable_until, self._end)

    def _end(self) -> None:
        """End the lease; every way in which a lease ends goes through here."""
        self.lost.set()
        if self._timer:
            self._timer.cancel()
        if self._renewal_task and self._renewal_task is not asyncio.current_task():
            self._renewal_task.cancel()


async def _cancel_and_wait(task: asyncio.Task[T]) -> None:
    """Cancel a task and wait for its end; ignore exceptions that it raises after the cancellation."""
    if not task.done():
        task.cancel()
        await asyncio.wait((task,))
        if not task.cancelled():
            task.exception()
