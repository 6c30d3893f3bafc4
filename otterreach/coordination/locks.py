"""Locks with an owner, a fencing token and a time after which they are free again.

Each function decides one call on the present hold and returns what the hold is to become; the caller stores it. Times
are durations in seconds on a steady clock: `elapsed_s` is how long ago the hold was stored, which it is when a call is
accepted. An embedder may store a running hold anew at any time, with what `left_ms` says as its `hold_ms`. A holder
counts itself as such until `hold_ms` after it sent its last accepted call. A call is received after it was sent, so a
hold that lasts `hold_ms` from the receipt ends after its holder has stopped.

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

EXPIRY_MARGIN_S = 0.05  # beyond `hold_ms`
MAX_CLOCK_DRIFT = 0.001  # between two steady clocks, each of which may be slewed by 500 ppm


@dataclass(frozen=True, slots=True)
class Hold:
    """One holder's uninterrupted possession of a lock."""

    owner: str
    fence: int  # of its last acquisition
    first_fence: int  # of its first acquisition: renewals of any of them are for this hold
    hold_ms: int  # so long it lasts from when it was stored for its last accepted call, or stored anew since


@dataclass(frozen=True, slots=True)
class Acquire:
    """Asks for the lock, or for more time and a new token where the owner has it already."""

    owner: str
    hold_ms: int


@dataclass(frozen=True, slots=True)
class Renew:
    """Asks for more time."""

    owner: str
    fence: int
    hold_ms: int


@dataclass(frozen=True, slots=True)
class Release:
    """Gives the lock back."""

    owner: str
    fence: int


@dataclass(frozen=True, slots=True)
class Granted:
    """The call is accepted once `hold` is stored."""

    hold: Hold


@dataclass(frozen=True, slots=True)
class HeldByOther:
    """Another owner may hold the lock still. Nothing changes."""

    owner: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The hold that was to be renewed has ended. Nothing changes."""


def _surely_passed_s(elapsed_s: float) -> float:
    """How much of a time on this machine's clock has passed on the holder's as well."""
    return elapsed_s * (1 - MAX_CLOCK_DRIFT)


def is_over(hold: Hold, elapsed_s: float) -> bool:
    """Whether the holder has surely stopped counting itself as such."""
    return _surely_passed_s(elapsed_s) >= hold.hold_ms / 1000 + EXPIRY_MARGIN_S


def left_ms(hold: Hold, elapsed_s: float) -> int:
    """How long the hold lasts from now on, without the margin; 0 or less if its holder has stopped."""
    return ceil(hold.hold_ms - _surely_passed_s(elapsed_s) * 1000)


def _extended_ms(hold: Hold, elapsed_s: float, hold_ms: int) -> int:
    """How long from now a hold lasts that is asked to last for `hold_ms`: no call makes it end sooner.

    The answer to a call that asks for less than is left may be lost, and then its holder goes on for what is left.
    """
    return max(left_ms(hold, elapsed_s), hold_ms)


def acquire(hold: Hold | None, elapsed_s: float, call: Acquire, fence: int) -> Granted | HeldByOther:
    """Decide an acquisition.

    :param fence: above all tokens that were given for this lock. Also the same owner gets it: a release of its earlier
        acquisition may still be under way, and must not end this one.
    """
    if hold is None or is_over(hold, elapsed_s):
        return Granted(Hold(call.owner, fence, fence, call.hold_ms))
    if hold.owner != call.owner:
        return HeldByOther(hold.owner)
    return Granted(replace(hold, fence=fence, hold_ms=_extended_ms(hold, elapsed_s, call.hold_ms)))


def renew(hold: Hold | None, elapsed_s: float, call: Renew) -> Granted | Lost:
    """Decide a renewal: only for the hold that the token belongs to, and only while that lasts."""
    if hold is None or hold.owner != call.owner or is_over(hold, elapsed_s):
        return Lost()
    if not hold.first_fence <= call.fence <= hold.fence:
        return Lost()
    return Granted(replace(hold, hold_ms=_extended_ms(hold, elapsed_s, call.hold_ms)))


def ends(hold: Hold | None, call: Release) -> bool:
    """Whether a release ends the present hold: only that of its last acquisition does."""
    return hold is not None and (hold.owner, hold.fence) == (call.owner, call.fence)
