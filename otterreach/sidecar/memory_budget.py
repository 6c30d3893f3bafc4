"""A limit on the sum of the bytes that a process holds for its callers.

Each connection of a caller has a `Reservation`, which it updates whenever the bytes change that the process holds for
it: the request being received, requests that wait or run, and answers that are not yet read. While the sum is over
the limit, incomplete requests are evicted, first those that hold much and have made no progress for long. What still
does not fit is refused by its connection. Requests that run are never evicted.

Small reservations may also use a reserve above the limit, so that ordinary callers are served while large bodies fill
the budget. A caller that is nearly alone may exceed the limit, up to the largest size of a single reservation.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

SMALL_BYTES = 64 * 1024  # a reservation up to this size may use the reserve
RESERVE_SHARE = 0.125  # of the limit, in addition to it
LOW_WATER_SHARE = 0.875  # of the limit: evicting down to it makes the next scan of all reservations rare
UNLIMITED_BYTES = 2**63
MIN_STALL_S = 0.1  # counts as the time since the last progress of a request that has just made some


class Holder(Protocol):
    """A connection whose incomplete request can be evicted."""

    def evict(self) -> None:
        """Refuse the incomplete request, release its memory, and update the reservation accordingly."""


class Reservation:
    """The share of one connection in a budget."""

    __slots__ = ("_budget", "holder", "incomplete_bytes", "other_bytes", "progress_at")

    def __init__(self, budget: MemoryBudget, holder: Holder) -> None:
        self._budget = budget
        self.holder: Holder | None = holder  # None once closed
        self.incomplete_bytes = 0  # of the request that is being received
        self.other_bytes = 0  # of requests that wait or run, and of unread answers
        self.progress_at = 0.0

    @property
    def held_bytes(self) -> int:
        """All bytes of the reservation."""
        return self.incomplete_bytes + self.other_bytes

    @property
    def is_small(self) -> bool:
        """True if the reservation may use the reserve."""
        return self.held_bytes <= SMALL_BYTES

    def update(self, incomplete_bytes: int, other_bytes: int) -> bool:
        """Set the sizes; return False if they don't fit and the connection has to give up its newest request.

        A reservation whose own incomplete request was evicted fits afterwards.
        """
        if self.holder is None:
            return True
        growth = incomplete_bytes + other_bytes - self.held_bytes
        self.incomplete_bytes = incomplete_bytes
        self.other_bytes = other_bytes
        return self._budget.account(self, growth)

    def release(self) -> None:
        """Give everything back."""
        self.update(0, 0)

    def close(self) -> None:
        """Give everything back for good, and break the reference cycle with the holder."""
        self.release()
        self.holder = None


class MemoryBudget:
    """The sum of all reservations, and its limit in bytes."""

    def __init__(self, limit_bytes: int, clock: Callable[[], float], max_single_bytes: int | None = None) -> None:
        """:param clock: returns a time in seconds that never goes back

        :param max_single_bytes: largest size of one reservation; by default without a limit
        """
        self.limit_bytes = limit_bytes
        self.max_single_bytes = max_single_bytes or UNLIMITED_BYTES
        self.used_bytes = 0
        self.evictions = 0
        self._clock = clock
        self._incomplete: set[Reservation] = set()

    def reserve(self, holder: Holder) -> Reservation:
        """Return an empty reservation for a new connection."""
        return Reservation(self, holder)

    def account(self, reservation: Reservation, growth: int) -> bool:
        """Add the growth of a reservation; return False if there is no room for it."""
        self.used_bytes += growth
        if reservation.incomplete_bytes:
            self._incomplete.add(reservation)
        else:
            self._incomplete.discard(reservation)
        if growth <= 0:
            return True
        reservation.progress_at = self._clock()
        if self._fits(reservation):
            return True
        self._evict_for(reservation)
        return self._fits(reservation)

    def _ceiling(self, reservation: Reservation) -> int:
        """Return the sum up to which a reservation of this size may grow."""
        reserve = int(self.limit_bytes * RESERVE_SHARE)
        return self.limit_bytes + (reserve if reservation.is_small else 0)

    def _fits(self, reservation: Reservation) -> bool:
        if reservation.held_bytes > self.max_single_bytes:
            return False
        is_nearly_alone = self.used_bytes - reservation.held_bytes <= int(self.limit_bytes * RESERVE_SHARE)
        return is_nearly_alone or self.used_bytes <= self._ceiling(reservation)

    def _evict_for(self, grown: Reservation) -> None:
        """Evict incomplete requests until the sum is well below the limit; small ones only in favour of a small one."""
        now = self._clock()

        def cost(reservation: Reservation) -> float:
            """Return the rank of a request: what it holds, for how long without progress."""
            return reservation.incomplete_bytes * (now - reservation.progress_at + MIN_STALL_S)

        candidates = [one for one in self._incomplete if grown.is_small or not one.is_small]
        for reservation in sorted(candidates, key=cost, reverse=True):
            if self.used_bytes <= self._ceiling(grown) * LOW_WATER_SHARE:
                break
            if reservation.holder is not None:
                self.evictions += 1
                reservation.holder.evict()


def unlimited() -> MemoryBudget:
    """Return a budget without a limit, for listeners whose callers are trusted."""
    return MemoryBudget(UNLIMITED_BYTES, time.monotonic)
