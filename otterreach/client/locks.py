"""Locks: waiting for one, holding it while a block runs, and elections, which are locks that are held long."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

from otterreach.client.errors import LockHeldError, OutcomeUnknownError, UnavailableError
from otterreach.client.lease import MS_PER_S, Lease
from otterreach.client.transport import Answer, Backoff, Call, Transport

FIRST_POLL_S = 0.1
MAX_POLL_S = 0.5
DEFAULT_HOLD_S = 3.0
DEFAULT_WAIT_S = 10.0


class _NameInUse:
    """Who uses a lock inside this process, and how many wait for that."""

    def __init__(self) -> None:
        self.mutex = asyncio.Lock()
        self.users = 0


class Locks:
    """The locks of one owner.

    Danger: the service gives a lock that is held to its own holder again. So two tasks with one owner name would both
    get it. Inside this object one lease exists for each lock at a time; two objects need two owner names.
    """

    def __init__(self, transport: Transport, owner: str) -> None:
        self.owner = owner
        self._transport = transport
        self._in_use: dict[str, _NameInUse] = {}

    @asynccontextmanager
    async def hold(
        self, name: str, hold_s: float = DEFAULT_HOLD_S, wait_s: float = DEFAULT_WAIT_S
    ) -> AsyncIterator[Lease]:
        """Hold a lock while a block runs, renewed in the background; given back at the end of the block.

        The block has to call `lease.check()` before each protected action, or to run it with `lease.run()`. Raises
        LockHeldError, UnavailableError, OutcomeUnknownError or RequestRejectedError if the lock can't be had.

        :param hold_s: for how long the service keeps the lock after the last renewal that it received
        :param wait_s: how long to wait for the lock
        """
        until = self._transport.now() + wait_s
        use = self._in_use.setdefault(name, _NameInUse())
        use.users += 1
        try:
            await self._wait_for_local_use(use, name, until)
            try:
                lease = await self._acquire(name, hold_s, until)
                lease.keep_renewed()
                try:
                    yield lease
                finally:
                    await lease.release()
            finally:
                use.mutex.release()
        finally:
            use.users -= 1
            if not use.users:
                self._in_use.pop(name, None)

    async def _wait_for_local_use(self, use: _NameInUse, name: str, until: float) -> None:
        try:
            async with asyncio.timeout_at(until):
                await use.mutex.acquire()
        except TimeoutError:
            raise LockHeldError(f"{name} is held by another task of this process") from None

    async def _acquire(self, name: str, hold_s: float, until: float) -> Lease:
        """Ask until the lock is free; raises LockHeldError after `until`."""
        call = Call.to("locks", name, "POST", {"owner": self.owner, "holdMs": round(hold_s * MS_PER_S)})
        backoff = Backoff(self._transport.random, FIRST_POLL_S, MAX_POLL_S)
        held_by_another = False
        while True:
            try:
                answer = await self._transport.call(call, until)
            except (UnavailableError, OutcomeUnknownError) as error:
                if held_by_another and isinstance(error, UnavailableError):
                    raise LockHeldError(f"{name} was held by another") from error
                raise
            if lease := self._lease_of(name, hold_s, answer):
                return lease
            held_by_another = answer.status == HTTPStatus.CONFLICT
            pause_s = backoff.next_s()
            if self._transport.now() + pause_s >= until:
                raise LockHeldError(f"{name} was held by another")
            await asyncio.sleep(pause_s)

    def _lease_of(self, name: str, hold_s: float, answer: Answer) -> Lease | None:
        """The lease that an answer gives; None if it gives none, or gives it too late to be of use."""
        if answer.status != HTTPStatus.OK:
            return None
        lease = Lease(self._transport, name, self.owner, hold_s, answer)
        return lease if lease.held else None
