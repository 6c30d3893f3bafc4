"""Locks: acquiring one and holding it for a block. An election is a lock that its leader holds for long."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

from otterreach.client.errors import LockHeldError, OutcomeUnknownError, UnavailableError
from otterreach.client.lease import MS_PER_S, Lease
from otterreach.client.transport import Answer, Backoff, Call, Transport

INITIAL_POLL_S = 0.1
MAX_POLL_S = 0.5
DEFAULT_HOLD_S = 3.0
DEFAULT_WAIT_S = 10.0


class _LocalLock:
    """Mutual exclusion of the tasks of this process that use one lock, with the number of users and waiters."""

    def __init__(self) -> None:
        self.mutex = asyncio.Lock()
        self.users = 0


class Locks:
    """The locks of one owner.

    The service grants a held lock again to its present owner, so two tasks with the same owner name would both get
    it. This object therefore allows one lease per lock at a time; two objects need different owner names.
    """

    def __init__(self, transport: Transport, owner: str) -> None:
        self.owner = owner
        self._transport = transport
        self._local_locks: dict[str, _LocalLock] = {}

    @asynccontextmanager
    async def hold(
        self, name: str, hold_s: float = DEFAULT_HOLD_S, wait_s: float = DEFAULT_WAIT_S
    ) -> AsyncIterator[Lease]:
        """Hold a lock for the duration of a block, with renewal in the background; release it at the end of the block.

        The block must call `lease.check()` before each protected action, or run the action with `lease.run()`. Raises
        LockHeldError, UnavailableError, OutcomeUnknownError or RequestRejectedError if the lock can't be acquired.

        :param hold_s: how long the service keeps the lock after the last renewal that it received, in seconds
        :param wait_s: time-out of the acquisition, in seconds
        """
        until = self._transport.now() + wait_s
        local_lock = self._local_locks.setdefault(name, _LocalLock())
        local_lock.users += 1
        try:
            await self._acquire_locally(local_lock, name, until)
            try:
                lease = await self._acquire(name, hold_s, until)
                lease.keep_renewed()
                try:
                    yield lease
                finally:
                    await lease.release()
            finally:
                local_lock.mutex.release()
        finally:
            local_lock.users -= 1
            if not local_lock.users:
                self._local_locks.pop(name, None)

    async def _acquire_locally(self, local_lock: _LocalLock, name: str, until: float) -> None:
        try:
            async with asyncio.timeout_at(until):
                await local_lock.mutex.acquire()
        except TimeoutError:
            raise LockHeldError(f"{name} is held by another task of this process") from None

    async def _acquire(self, name: str, hold_s: float, until: float) -> Lease:
        """Poll until the lock is granted; raise LockHeldError after `until`."""
        call = Call.to("locks", name, "POST", {"owner": self.owner, "holdMs": round(hold_s * MS_PER_S)})
        backoff = Backoff(self._transport.random, INITIAL_POLL_S, MAX_POLL_S)
        is_held_by_another = False
        while True:
            try:
                answer = await self._transport.call(call, until)
            except (UnavailableError, OutcomeUnknownError) as error:
                if is_held_by_another and isinstance(error, UnavailableError):
                    raise LockHeldError(f"{name} is held by another owner") from error
                raise
            if lease := self._lease_from(name, hold_s, answer):
                return lease
            is_held_by_another = answer.status == HTTPStatus.CONFLICT
            delay_s = backoff.next_s()
            if self._transport.now() + delay_s >= until:
                raise LockHeldError(f"{name} is held by another owner")
            await asyncio.sleep(delay_s)

    def _lease_from(self, name: str, hold_s: float, answer: Answer) -> Lease | None:
        """Return the lease granted by an answer; None if none was granted, or if it has already expired locally."""
        if answer.status != HTTPStatus.OK:
            return None
        lease = Lease(self._transport, name, self.owner, hold_s, answer)
        return lease if lease.held else None
