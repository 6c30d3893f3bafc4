"""Locks: one holder at a time, and fencing tokens that rise in real-time order.

A caller counts itself holder from the arrival of the 200 until its time has passed since it sent its last good call, or
until it sends the release. A caller that dies counts to the end of its time as well: the service can't know of it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from otterreach.simulation.coordination_history import (
    Acquire,
    CoordinationHistory,
    Release,
    Renewal,
    Rule,
    Violation,
    rule_of,
)

LockCall = Acquire | Renewal | Release


@dataclass(slots=True)
class Hold:
    """A span in which a caller counted itself holder."""

    lock: str
    owner: str
    fence: int
    begin: float
    end: float
    expires: float  # when it would have ended without a release

    def __str__(self) -> str:
        return f"{self.owner} held {self.lock} with fence {self.fence} from {self.begin:.3f} to {self.end:.3f}"


def find_lock_violations(history: CoordinationHistory) -> Iterator[Violation]:
    """What breaks a rule of locks."""
    calls: defaultdict[str, list[LockCall]] = defaultdict(list)
    every: list[LockCall] = [*history.acquires, *history.renewals, *history.releases]
    for call in every:
        calls[call.lock].append(call)
    for of_lock in calls.values():
        acquires = [call for call in of_lock if isinstance(call, Acquire) and call.is_ok]
        renewals = [call for call in of_lock if isinstance(call, Renewal) and call.is_ok]
        holds = holds_of(of_lock)
        yield from _overlaps(holds)
        yield from _renewals_refused_to_holders(of_lock, holds)
        yield from _fences_given_twice(acquires)
        yield from _fences_that_do_not_rise(acquires)
        yield from _renewals_of_lost_holds(acquires, renewals)
        yield from _renewals_of_released_holds(of_lock, renewals)


def holds_of(calls: Sequence[LockCall]) -> list[Hold]:
    """The spans in which the callers of one lock counted themselves holders."""
    by_owner: defaultdict[str, list[LockCall]] = defaultdict(list)
    for call in calls:
        by_owner[call.owner].append(call)
    return [hold for of_owner in by_owner.values() for hold in _holds_of_owner(of_owner)]


def _moment(call: LockCall) -> float:
    """When a call changes what its caller believes."""
    return call.sent if isinstance(call, Release) else call.answered


def _holds_of_owner(calls: Sequence[LockCall]) -> list[Hold]:
    holds: list[Hold] = []
    for call in sorted((c for c in calls if isinstance(c, Release) or c.is_ok), key=_moment):
        current = holds[-1] if holds and _moment(call) < holds[-1].end else None
        if isinstance(call, Release):
            if current is not None and current.fence == call.fence:
                current.end = call.sent
            continue
        expires = call.sent + call.hold_s
        if call.answered < expires:
            if current is not None and isinstance(call, Acquire):
                current.end = call.answered
            if isinstance(call, Acquire):
                holds.append(Hold(call.lock, call.owner, call.fence, call.answered, expires, expires))
            elif current is not None and current.fence == call.fence:
                current.end = expires
                current.expires = expires
    return holds


def _overlaps(holds: Sequence[Hold]) -> Iterator[Violation]:
    latest: dict[str, Hold] = {}  # by owner: the hold that ends last of those that have begun
    for hold in sorted(holds, key=lambda one: one.begin):
        for other in latest.values():
            if other.owner != hold.owner and other.end > hold.begin and hold.end > hold.begin:
                yield Violation(Rule.ONE, f"{other}; {hold}")
        known = latest.get(hold.owner)
        if known is None or hold.end > known.end:
            latest[hold.owner] = hold


def _fences_given_twice(acquires: Sequence[Acquire]) -> Iterator[Violation]:
    first: dict[int, Acquire] = {}
    for call in acquires:
        other = first.setdefault(call.fence, call)
        if other.owner != call.owner:
            yield Violation(rule_of(call, Rule.ONE), f"one fence for two holders: {other}; {call}")


def _fences_that_do_not_rise(acquires: Sequence[Acquire]) -> Iterator[Violation]:
    """Above those that other holders had got before the call was sent, and not below its own."""
    highest: dict[str, Acquire] = {}  # by owner, of the calls answered so far
    answered = sorted(acquires, key=lambda call: call.answered)
    place = 0
    for call in sorted(acquires, key=lambda one: one.sent):
        while place < len(answered) and answered[place].answered < call.sent:
            known = answered[place]
            if known.owner not in highest or highest[known.owner].fence < known.fence:
                highest[known.owner] = known
            place += 1
        for earlier in highest.values():
            least = earlier.fence if earlier.owner == call.owner else earlier.fence + 1
            if call.fence < least:
                yield Violation(rule_of(call, Rule.ONE), f"a fence that does not rise: {earlier}; {call}")


def _renewals_of_lost_holds(acquires: Sequence[Acquire], renewals: Sequence[Renewal]) -> Iterator[Violation]:
    """Once another holder has a higher fence, the hold is lost for good."""
    for renewal in renewals:
        for acquire in acquires:
            another = acquire.owner != renewal.owner and acquire.fence > renewal.fence
            if another and acquire.answered < renewal.sent:
                yield Violation(Rule.ONE, f"renewed though lost: {acquire}; {renewal}")


def _renewals_of_released_holds(calls: Sequence[LockCall], renewals: Sequence[Renewal]) -> Iterator[Violation]:
    """A hold that was released is not renewed, unless its owner may have acquired the lock again meanwhile."""
    releases = [call for call in calls if isinstance(call, Release) and call.is_ok]
    for renewal in renewals:
        for release in releases:
            same = release.owner == renewal.owner and release.fence == renewal.fence
            if not same or release.answered >= renewal.sent:
                continue
            if not any(_may_act_between(call, release, renewal) for call in calls):
                yield Violation(Rule.ONE, f"renewed though released: {release}; {renewal}")


def _may_act_between(call: LockCall, release: Release, renewal: Renewal) -> bool:
    """Whether an acquire of the same owner may have been taken between the two calls, however late it arrived."""
    if not isinstance(call, Acquire) or call.owner != renewal.owner or call.sent >= renewal.answered:
        return False
    if call.is_unclear:
        return call.taken_by > release.sent
    return call.is_ok and call.answered > release.sent


def _renewals_refused_to_holders(calls: Sequence[LockCall], holds: Sequence[Hold]) -> Iterator[Violation]:
    """A holder is told that the lock is lost only when it is; a late acquire of its own may have replaced its hold."""
    refused = [call for call in calls if isinstance(call, Renewal) and call.status == HTTPStatus.CONFLICT]
    for renewal in refused:
        for hold in holds:
            same = hold.owner == renewal.owner and hold.fence == renewal.fence
            within = hold.begin <= renewal.sent < hold.end and renewal.answered < hold.expires
            if same and within and not _may_be_replaced(hold, renewal, calls):
                yield Violation(Rule.PROTOCOL, f"renewal refused though {hold}: {renewal}")


def _may_be_replaced(hold: Hold, renewal: Renewal, calls: Sequence[LockCall]) -> bool:
    """Whether another acquire of the holder, however late it arrived, may have been taken during the hold."""
    for call in calls:
        if not isinstance(call, Acquire) or call.owner != hold.owner or call.sent > renewal.answered:
            continue
        if call.is_unclear and call.taken_by > hold.begin:
            return True
        if call.is_ok and call.fence != hold.fence and call.answered > hold.begin:
            return True
    return False
