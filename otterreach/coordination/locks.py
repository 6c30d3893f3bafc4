"""Locks with an owner, a fencing token and an expiry time.

Each function decides one call against the current hold and returns the new hold, which the caller stores. Times are
durations in seconds on a monotonic clock: `elapsed_s` is the time since the hold was stored. A hold is stored when a
call is accepted, and an embedder may store an active hold again at any time with `hold_ms` set to the result of
`remaining_ms`. A holder considers the lock its own until `hold_ms` after it sent its last accepted call. A call is
received after it was sent, so a hold that lasts `hold_ms` from the receipt expires after its holder has stopped relying
on it.

    >>> granted = acquire(None, 0.0, Acquire("worker-1", hold_ms=3000), fence=41)
    >>> granted
    Granted(hold=Hold(owner='worker-1', fence=41, first_fence=41, hold_ms=3000))
    >>> acquire(granted.hold, 1.2, Acquire("worker-2", hold_ms=3000), fence=42)
    HeldByOther(owner='worker-1')
    >>> renew(granted.hold, 1.5, Renew("worker-1", fence=41, hold_ms=3000))
    Granted(hold=Hold(owner='worker-1', fence=41, first_fence=41, hold_ms=3000))
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import ceil

EXPIRY_MARGIN_S = 0.05  # added to `hold_ms` before a hold counts as expired
MAX_CLOCK_DRIFT = 0.001  # between two monotonic clocks, each of which may be slewed by 500 ppm


@dataclass(frozen=True, slots=True)
class Hold:
    """Uninterrupted ownership of a lock by one holder."""

    owner: str
    fence: int  # fencing token of the last acquisition
    first_fence: int  # fencing token of the first acquisition; renewals with any token from it to `fence` are valid
    hold_ms: int  # duration, from when the hold was last stored


@dataclass(frozen=True, slots=True)
class Acquire:
    """Request to acquire a lock. If the owner already holds it, the hold is extended and gets a new fencing token."""

    owner: str
    hold_ms: int


@dataclass(frozen=True, slots=True)
class Renew:
    """Request to extend a hold."""

    owner: str
    fence: int
    hold_ms: int


@dataclass(frozen=True, slots=True)
class Release:
    """Request to release a hold."""

    owner: str
    fence: int


@dataclass(frozen=True, slots=True)
class Granted:
    """Result of a call that is accepted once `hold` has been stored."""

    hold: Hold


@dataclass(frozen=True, slots=True)
class HeldByOther:
    """Result of an acquisition while another owner may still hold the lock. Nothing changes."""

    owner: str


@dataclass(frozen=True, slots=True)
class Lost:
    """Result of a renewal of a hold that has ended. Nothing changes."""


def _min_elapsed_s(elapsed_s: float) -> float:
    """Return the time that has passed on the holder's clock at least, given the time elapsed on the local clock."""
    return elapsed_s * (1 - MAX_CLOCK_DRIFT)


def is_expired(hold: Hold, elapsed_s: float) -> bool:
    """Return True if the hold has expired on the holder's clock as well, even at the maximum clock drift."""
    return _min_elapsed_s(elapsed_s) >= hold.hold_ms / 1000 + EXPIRY_MARGIN_S


def remaining_ms(hold: Hold, elapsed_s: float) -> int:
    """Return the remaining duration of a hold without the expiry margin; 0 or less if it has expired for its holder."""
    return ceil(hold.hold_ms - _min_elapsed_s(elapsed_s) * 1000)


def _extended_hold_ms(hold: Hold, elapsed_s: float, hold_ms: int) -> int:
    """Return the duration of a hold that is extended by `hold_ms` from now; no call shortens a hold.

    The response to a call that asks for less than the remaining time may be lost, in which case the holder relies on
    the remaining time.
    """
    return max(remaining_ms(hold, elapsed_s), hold_ms)


def acquire(hold: Hold | None, elapsed_s: float, call: Acquire, fence: int) -> Granted | HeldByOther:
    """Decide on an acquisition.

    :param fence: a token above all those issued for this lock. The current owner gets a new token as well, because a
        release of its earlier acquisition may still be in flight and must not end this one.
    """
    if hold is None or is_expired(hold, elapsed_s):
        return Granted(Hold(call.owner, fence, fence, call.hold_ms))
    if hold.owner != call.owner:
        return HeldByOther(hold.owner)
    return Granted(replace(hold, fence=fence, hold_ms=_extended_hold_ms(hold, elapsed_s, call.hold_ms)))


def renew(hold: Hold | None, elapsed_s: float, call: Renew) -> Granted | Lost:
    """Decide on a renewal. It is granted only for the hold that the token belongs to, and only until that expires."""
    if hold is None or hold.owner != call.owner or is_expired(hold, elapsed_s):
        return Lost()
    if not hold.first_fence <= call.fence <= hold.fence:
        return Lost()
    return Granted(replace(hold, hold_ms=_extended_hold_ms(hold, elapsed_s, call.hold_ms)))


def release_ends_hold(hold: Hold | None, call: Release) -> bool:
    """Return True if a release ends the current hold. Only a release with the token of its last acquisition does."""
    return hold is not None and (hold.owner, hold.fence) == (call.owner, call.fence)
