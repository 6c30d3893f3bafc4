"""One hold of a lock, and the safe use of its time.

The holder counts its time by its own steady clock, from the moment before it sent the call that was answered 200, and
gives up a margin before that time is over. A service that counts from its later receipt of the call can't have given
the lock to another by then. Time of day is never used. Every check compares clock readings, so a process that was
frozen finds the lease lost even if no timer has run yet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from http import HTTPStatus
from typing import TypeVar

from otterreach.client.errors import CoordinationError, LeaseLostError
from otterreach.client.transport import Answer, Call, JsonValue, Transport

T = TypeVar("T")
MARGIN_SHARE = 0.1  # of the hold, for work to end in after the lease is given up
MIN_MARGIN_S = 0.05
RENEWALS_PER_HOLD = 3
RELEASE_TIMEOUT_S = 2.0
MS_PER_S = 1000


def margin_of(hold_s: float) -> float:
    """How long before the end of a hold its holder gives it up, in seconds."""
    return max(MIN_MARGIN_S, hold_s * MARGIN_SHARE)


class Lease:
    """A lock while it is held. Made by `Locks`."""

    def __init__(self, transport: Transport, name: str, owner: str, hold_s: float, answer: Answer) -> None:
        self.name = name
        self.owner = owner
        self.hold_s = hold_s
        self.fence = answer.integer("fence")
        self.lost = asyncio.Event()  # set once the lease is given up, lost or released
        self._transport = transport
        self._give_up_at = answer.sent_at + hold_s - margin_of(hold_s)
        self._timer: asyncio.TimerHandle | None = None
        self._renewing: asyncio.Task[None] | None = None
        self._given_back = False  # the service is known not to keep the hold, or was asked not to
        self._start_timer()

    @property
    def remaining_s(self) -> float:
        """For how long the lock may still be used, in seconds; 0 once it may not."""
        if self.lost.is_set():
            return 0.0
        return max(0.0, self._give_up_at - self._transport.now())

    @property
    def held(self) -> bool:
        """Whether the lock may be used at this moment."""
        return self.remaining_s > 0

    def check(self) -> None:
        """Raise LeaseLostError unless the lock may be used at this moment: for use right before each action."""
        if not self.held:
            raise LeaseLostError(f"{self.name} is not held any more")

    async def renew(self) -> None:
        """Extend the hold; raises LeaseLostError if that fails before the lease has to be given up.

        Danger: an answer that comes after that moment counts for nothing, although the service may have extended the
        hold: what the application was told to stop may not resume under the same lease.
        """
        self.check()
        document: dict[str, JsonValue] = {"owner": self.owner, "fence": self.fence}
        document["holdMs"] = round(self.hold_s * MS_PER_S)
        call = Call.to("locks", self.name, "PUT", document)
        try:
            answer = await self._transport.call(call, self._give_up_at)
        except CoordinationError as error:
            self._end()
            raise LeaseLostError(f"{self.name} could not be renewed: {error}") from error
        if answer.status != HTTPStatus.OK or not self.held:
            self._given_back = answer.status != HTTPStatus.OK
            self._end()
            raise LeaseLostError(f"{self.name} could not be renewed")
        self._give_up_at = answer.sent_at + self.hold_s - margin_of(self.hold_s)
        self._start_timer()

    def keep_renewed(self) -> None:
        """Renew in the background, until the lease is lost or released."""
        if self._renewing is None:
            self._renewing = asyncio.ensure_future(self._renew_repeatedly())

    async def run(self, work: Coroutine[object, object, T]) -> T:
        """Run a coroutine while the lock is held; cancels it and raises LeaseLostError once the lease is lost."""
        task = asyncio.ensure_future(work)
        lost = asyncio.ensure_future(self.lost.wait())
        try:
            await asyncio.wait((task, lost), return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            raise LeaseLostError(f"{self.name} was lost while it was in use")
        finally:
            lost.cancel()
            await _cancelled(task)

    async def release(self) -> None:
        """Give the lock back. It is not held from the moment of this call on, whatever the answer.

        A lease that was given up is given back too: the service may still keep it. Errors are not raised: without the
        release the hold runs out by itself.
        """
        self._end()
        if self._given_back:
            return
        self._given_back = True
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
        self._timer = asyncio.get_running_loop().call_at(self._give_up_at, self._end)

    def _end(self) -> None:
        """The one place that ends the lease."""
        self.lost.set()
        if self._timer:
            self._timer.cancel()
        if self._renewing and self._renewing is not asyncio.current_task():
            self._renewing.cancel()


async def _cancelled(task: asyncio.Task[T]) -> None:
    """Cancel a task and wait for its end; what it raises meanwhile is dropped."""
    if not task.done():
        task.cancel()
        await asyncio.wait((task,))
        if not task.cancelled():
            task.exception()
