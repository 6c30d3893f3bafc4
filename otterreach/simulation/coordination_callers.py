"""Applications that call locks and numbers: they hold, renew and release locks, overrun holds, crash and restart."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from random import Random

from otterreach.simulation.coordination_client import CoordinationClient, WireRequest, integer_field
from otterreach.simulation.coordination_history import (
    Acquire,
    CoordinationHistory,
    NumberRequest,
    Release,
    Renewal,
)

HOLD_S = (0.4, 0.8, 1.5, 3.0, 5.0)  # hold times that callers request
ACQUIRE_TIMEOUT_S = (1.0, 8.0)  # a caller stops trying to acquire a lock after a time drawn from this range
RETRY_DELAY_S = (0.03, 0.4)
THINK_TIME_S = (0.0, 0.1, 0.6)
SAME_LOCK_SHARE = 0.5  # share of acquisitions of the last used lock, since a caller often wants it again after a crash
RENEWALS = (1, 8)  # range of the number of renewals of one hold
RENEW_AFTER_SHARE = (0.2, 0.6)  # delay before a renewal, as a share of the hold time
RELEASE_ATTEMPTS = 3


class HolderPattern(Enum):
    """What a caller does with a lock after acquiring it."""

    RELEASE_EARLY = "holds it for a moment and releases it"
    RENEW = "renews it several times and releases it"
    REACQUIRE = "acquires it again while it holds it, and releases it"
    RELEASE_AND_REACQUIRE = "releases it once, and acquires it again at once for a longer hold"
    CRASH = "dies while holding it, and comes back under the same name"
    OVERRUN = "sleeps beyond its time, then renews and releases what it has lost"
    RENEW_RELEASED = "releases it, then asks for a renewal all the same"


@dataclass(slots=True)
class HeldLock:
    """The caller's own view of its hold: the fencing token, and the time until which it considers itself the holder."""

    lock: str
    fence: int
    hold_s: float
    expires: float


class LockCaller:
    """Acquires a few locks, one at a time, under the same owner name for all its holds."""

    def __init__(
        self, owner: str, locks: Sequence[str], client: CoordinationClient, stopping: Callable[[], bool]
    ) -> None:
        self.owner = owner
        self.locks = locks
        self.client = client
        self.history: CoordinationHistory = client.history
        self.random: Random = client.random
        self.stopping = stopping
        self.loop = asyncio.get_running_loop()
        self.last_lock = locks[0]

    async def run(self) -> None:
        """Acquire one lock after the other until the run ends."""
        while not self.stopping():
            same_lock = self.random.random() < SAME_LOCK_SHARE
            self.last_lock = self.last_lock if same_lock else self.random.choice(self.locks)
            held = await self._acquire(self.last_lock, self.random.choice(HOLD_S))
            if held is not None:
                await self._follow_pattern(held, self.random.choice(list(HolderPattern)))
            await asyncio.sleep(self.random.choice(THINK_TIME_S))

    async def _follow_pattern(self, held: HeldLock, pattern: HolderPattern) -> None:
        if pattern is HolderPattern.CRASH:
            await asyncio.sleep(self.random.uniform(0.1, 1.5) * held.hold_s)
        elif pattern is HolderPattern.OVERRUN:
            await asyncio.sleep(held.expires - self.loop.time() + self.random.uniform(0.01, 2.0))
            await self._renew_once(held)
            await self._release(held)
        elif pattern is HolderPattern.RENEW:
            await self._renew_repeatedly(held)
            await self._release(held)
        elif pattern is HolderPattern.RELEASE_AND_REACQUIRE:
            await self._release(held, 1)
            reacquired = await self._acquire(held.lock, max(HOLD_S))
            if reacquired is not None:
                await asyncio.sleep(self.random.uniform(0.5, 0.9) * reacquired.hold_s)
                await self._release(reacquired)
        elif pattern is HolderPattern.REACQUIRE:
            await asyncio.sleep(self.random.uniform(0.0, 0.5) * held.hold_s)
            reacquired = await self._acquire(held.lock, held.hold_s)
            await self._release(reacquired or held)
        else:
            await asyncio.sleep(self.random.uniform(0.0, 0.5) * held.hold_s)
            await self._release(held)
            if pattern is HolderPattern.RENEW_RELEASED:
                await self._renew_once(held)

    async def _acquire(self, lock: str, hold_s: float) -> HeldLock | None:
        """Retry until the lock is acquired; return None if the caller gives up."""
        give_up = self.loop.time() + self.random.uniform(*ACQUIRE_TIMEOUT_S)
        while self.loop.time() < give_up and not self.stopping():
            held = await acquire_once(self.client, self.owner, lock, hold_s)
            if held is not None:
                return held
            await asyncio.sleep(self.random.uniform(*RETRY_DELAY_S))
        return None

    async def _renew_repeatedly(self, held: HeldLock) -> None:
        """Renew the hold several times before it expires, for as long as that succeeds."""
        for _ in range(self.random.randint(*RENEWALS)):
            await asyncio.sleep(self.random.uniform(*RENEW_AFTER_SHARE) * held.hold_s)
            while not await self._renew_once(held):
                if self.loop.time() >= held.expires or self.stopping():
                    return
                await asyncio.sleep(self.random.uniform(*RETRY_DELAY_S))
        if self.random.random() < 0.5:
            await asyncio.sleep(max(0.0, held.expires - self.loop.time()) * self.random.random())

    async def _renew_once(self, held: HeldLock) -> bool:
        """Send one renewal. An answer that arrives after the hold has expired does not extend it."""
        call = Renewal(sent=self.loop.time(), lock=held.lock, owner=self.owner, hold_s=held.hold_s, fence=held.fence)
        self.history.renewals.append(call)
        body = {"owner": self.owner, "fence": held.fence, "holdMs": round(held.hold_s * 1000)}
        await self.client.exchange(call, WireRequest("PUT", f"/locks/{held.lock}", body))
        if call.status == HTTPStatus.CONFLICT:
            held.expires = min(held.expires, self.loop.time())
        if not call.is_ok or call.answered >= held.expires:
            return False
        held.expires = call.sent + held.hold_s
        return True

    async def _release(self, held: HeldLock, max_attempts: int = RELEASE_ATTEMPTS) -> None:
        """Release the hold; retry a few times if the answer is not 200."""
        held.expires = min(held.expires, self.loop.time())
        for _ in range(self.random.randint(1, max_attempts)):
            call = Release(sent=self.loop.time(), lock=held.lock, owner=self.owner, fence=held.fence)
            self.history.releases.append(call)
            body = {"owner": self.owner, "fence": held.fence}
            await self.client.exchange(call, WireRequest("DELETE", f"/locks/{held.lock}", body))
            if call.is_ok:
                return
            await asyncio.sleep(self.random.uniform(*RETRY_DELAY_S))


async def acquire_once(
    client: CoordinationClient, owner: str, lock: str, hold_s: float, final: bool = False
) -> HeldLock | None:
    """Send one acquire. Return the hold if the 200 arrived before the hold would have expired, else None."""
    loop = asyncio.get_running_loop()
    call = Acquire(sent=loop.time(), lock=lock, owner=owner, hold_s=hold_s, final=final)
    client.history.acquires.append(call)
    request = WireRequest("POST", f"/locks/{lock}", {"owner": owner, "holdMs": round(hold_s * 1000)})
    body = await client.exchange(call, request)
    if not call.is_ok:
        return None
    call.fence = integer_field(client.history, call, body, "fence")
    if call.answered >= call.sent + hold_s:
        return None
    return HeldLock(lock, call.fence, hold_s, call.sent + hold_s)


async def request_number(client: CoordinationClient, name: str, final: bool = False) -> NumberRequest:
    """Request one number."""
    call = NumberRequest(sent=asyncio.get_running_loop().time(), name=name, final=final)
    client.history.numbers.append(call)
    body = await client.exchange(call, WireRequest("POST", f"/numbers/{name}", {}))
    if call.is_ok:
        call.value = integer_field(client.history, call, body, "value")
    return call


async def request_numbers(client: CoordinationClient, names: Sequence[str], stopping: Callable[[], bool]) -> None:
    """Request one number after the other until the run ends."""
    while not stopping():
        await request_number(client, client.random.choice(names))
        await asyncio.sleep(client.random.choice(THINK_TIME_S))
