"""Callers of locks and numbers, as applications are: they hold, renew, release, oversleep, die and come back."""

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

HOLD_S = (0.4, 0.8, 1.5, 3.0, 5.0)
ASK_FOR_S = (1.0, 8.0)  # a caller gives a lock up after so long without it
AGAIN_S = (0.03, 0.4)
THINK_S = (0.0, 0.1, 0.6)
SAME_LOCK_SHARE = 0.5  # after it died, a caller often asks for the same lock again
RENEWALS = (1, 8)
RENEW_AFTER = (0.2, 0.6)  # of the hold
RELEASE_TRIES = 3


class Habit(Enum):
    """What a caller does with a lock that it has got."""

    MOMENT = "holds it for a moment and releases it"
    RENEW = "renews it several times and releases it"
    REACQUIRE = "acquires it again while it holds it, and releases it"
    RETURN = "releases it once, and acquires it again at once for a longer hold"
    DIE = "dies while holding it, and comes back under the same name"
    OVERSLEEP = "sleeps beyond its time, then renews and releases what it has lost"
    RENEW_RELEASED = "releases it, then asks for a renewal all the same"


@dataclass(slots=True)
class HeldLock:
    """What a holder knows: its fence, and until when it counts itself holder."""

    lock: str
    fence: int
    hold_s: float
    until: float


class LockCaller:
    """Locks one of a few locks at a time, under one owner name for all its holds."""

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
            again = self.random.random() < SAME_LOCK_SHARE
            self.last_lock = self.last_lock if again else self.random.choice(self.locks)
            held = await self._acquire(self.last_lock, self.random.choice(HOLD_S))
            if held is not None:
                await self._use(held, self.random.choice(list(Habit)))
            await asyncio.sleep(self.random.choice(THINK_S))

    async def _use(self, held: HeldLock, habit: Habit) -> None:
        if habit is Habit.DIE:
            await asyncio.sleep(self.random.uniform(0.1, 1.5) * held.hold_s)
        elif habit is Habit.OVERSLEEP:
            await asyncio.sleep(held.until - self.loop.time() + self.random.uniform(0.01, 2.0))
            await self._renew_once(held)
            await self._release(held)
        elif habit is Habit.RENEW:
            await self._keep(held)
            await self._release(held)
        elif habit is Habit.RETURN:
            await self._release(held, 1)
            anew = await self._acquire(held.lock, max(HOLD_S))
            if anew is not None:
                await asyncio.sleep(self.random.uniform(0.5, 0.9) * anew.hold_s)
                await self._release(anew)
        elif habit is Habit.REACQUIRE:
            await asyncio.sleep(self.random.uniform(0.0, 0.5) * held.hold_s)
            anew = await self._acquire(held.lock, held.hold_s)
            await self._release(anew or held)
        else:
            await asyncio.sleep(self.random.uniform(0.0, 0.5) * held.hold_s)
            await self._release(held)
            if habit is Habit.RENEW_RELEASED:
                await self._renew_once(held)

    async def _acquire(self, lock: str, hold_s: float) -> HeldLock | None:
        """Ask until it is got in time, or given up."""
        give_up = self.loop.time() + self.random.uniform(*ASK_FOR_S)
        while self.loop.time() < give_up and not self.stopping():
            held = await acquire_once(self.client, self.owner, lock, hold_s)
            if held is not None:
                return held
            await asyncio.sleep(self.random.uniform(*AGAIN_S))
        return None

    async def _keep(self, held: HeldLock) -> None:
        """Renew in time, again and again, for as long as that succeeds."""
        for _ in range(self.random.randint(*RENEWALS)):
            await asyncio.sleep(self.random.uniform(*RENEW_AFTER) * held.hold_s)
            while not await self._renew_once(held):
                if self.loop.time() >= held.until or self.stopping():
                    return
                await asyncio.sleep(self.random.uniform(*AGAIN_S))
        if self.random.random() < 0.5:
            await asyncio.sleep(max(0.0, held.until - self.loop.time()) * self.random.random())

    async def _renew_once(self, held: HeldLock) -> bool:
        """Send one renewal. One whose answer comes after the caller's time counts for nothing."""
        call = Renewal(sent=self.loop.time(), lock=held.lock, owner=self.owner, hold_s=held.hold_s, fence=held.fence)
        self.history.renewals.append(call)
        body = {"owner": self.owner, "fence": held.fence, "holdMs": round(held.hold_s * 1000)}
        await self.client.exchange(call, WireRequest("PUT", f"/locks/{held.lock}", body))
        if call.status == HTTPStatus.CONFLICT:
            held.until = min(held.until, self.loop.time())
        if not call.is_ok or call.answered >= held.until:
            return False
        held.until = call.sent + held.hold_s
        return True

    async def _release(self, held: HeldLock, tries: int = RELEASE_TRIES) -> None:
        """Give it back; without a clear answer a few times."""
        held.until = min(held.until, self.loop.time())
        for _ in range(self.random.randint(1, tries)):
            call = Release(sent=self.loop.time(), lock=held.lock, owner=self.owner, fence=held.fence)
            self.history.releases.append(call)
            body = {"owner": self.owner, "fence": held.fence}
            await self.client.exchange(call, WireRequest("DELETE", f"/locks/{held.lock}", body))
            if call.is_ok:
                return
            await asyncio.sleep(self.random.uniform(*AGAIN_S))


async def acquire_once(
    client: CoordinationClient, owner: str, lock: str, hold_s: float, final: bool = False
) -> HeldLock | None:
    """Send one acquire. What is held, if the 200 came within the time that it gives."""
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
    """Ask for one number."""
    call = NumberRequest(sent=asyncio.get_running_loop().time(), name=name, final=final)
    client.history.numbers.append(call)
    body = await client.exchange(call, WireRequest("POST", f"/numbers/{name}", {}))
    if call.is_ok:
        call.value = integer_field(client.history, call, body, "value")
    return call


async def request_numbers(client: CoordinationClient, names: Sequence[str], stopping: Callable[[], bool]) -> None:
    """Ask for one number after the other until the run ends."""
    while not stopping():
        await request_number(client, client.random.choice(names))
        await asyncio.sleep(client.random.choice(THINK_S))
