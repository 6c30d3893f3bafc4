"""Checker of locks: one holder at a time, and fencing tokens that increase in real-time order.

A caller holds a lock from the arrival of the 200 until the hold time has passed since it sent its last successful call,
or until it sends the release. A crashed caller counts as holder until its hold expires, too: the service can't detect
the crash.
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
    """A time span in which a caller considered itself the holder."""

    lock: str
    owner: str
    fence: int
    begin: float
    end: float
    expires: float  # end of the hold without a release

    def __str__(self) -> str:
        return f"{self.owner} held {self.lock} with fence {self.fence} from {self.begin:.3f} to {self.end:.3f}"


def find_lock_violations(history: CoordinationHistory) -> Iterator[Violation]:
    """Yield the violations of the rules of locks."""
    calls: defaultdict[str, list[LockCall]] = defaultdict(list)
    all_calls: list[LockCall] = [*history.acquires, *history.renewals, *history.releases]
    for call in all_calls:
        calls[call.lock].append(call)
    for lock_calls in calls.values():
        acquires = [call for call in lock_calls if isinstance(call, Acquire) and call.is_ok]
        renewals = [call for call in lock_calls if isinstance(call, Renewal) and call.is_ok]
        holds = holds_of(lock_calls)
        yield from _find_overlaps(holds)
        yield from _find_refused_renewals_of_holders(lock_calls, holds)
        yield from _find_duplicate_fences(acquires)
        yield from _find_non_increasing_fences(acquires)
        yield from _find_renewals_of_lost_holds(acquires, renewals)
        yield from _find_renewals_of_released_holds(lock_calls, renewals)


def holds_of(calls: Sequence[LockCall]) -> list[Hold]:
    """Return the spans in which the callers of one lock considered themselves holders."""
    by_owner: defaultdict[str, list[LockCall]] = defaultdict(list)
    for call in calls:
        by_owner[call.owner].append(call)
    return [hold for owner_calls in by_owner.values() for hold in _holds_of_owner(owner_calls)]


def _effective_time(call: LockCall) -> float:
    """Return the time at which a call changes whether its caller considers itself the holder."""
    return call.sent if isinstance(call, Release) else call.answered


def _holds_of_owner(calls: Sequence[LockCall]) -> list[Hold]:
    holds: list[Hold] = []
    for call in sorted((c for c in calls if isinstance(c, Release) or c.is_ok), key=_effective_time):
        current = holds[-1] if holds and _effective_time(call) < holds[-1].end else None
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


def _find_overlaps(holds: Sequence[Hold]) -> Iterator[Violation]:
    latest: dict[str, Hold] = {}  # by owner: of the holds that have begun, the one that ends last
    for hold in sorted(holds, key=lambda one: one.begin):
        for other in latest.values():
            if other.owner != hold.owner and other.end > hold.begin and hold.end > hold.begin:
                yield Violation(Rule.ONE, f"{other}; {hold}")
        known = latest.get(hold.owner)
        if known is None or hold.end > known.end:
            latest[hold.owner] = hold


def _find_duplicate_fences(acquires: Sequence[Acquire]) -> Iterator[Violation]:
    first: dict[int, Acquire] = {}
    for call in acquires:
        other = first.setdefault(call.fence, call)
        if other.owner != call.owner:
            yield Violation(rule_of(call, Rule.ONE), f"the same fence for two owners: {other}; {call}")


def _find_non_increasing_fences(acquires: Sequence[Acquire]) -> Iterator[Violation]:
    """Yield fences not above those that other owners got before the call was sent, or below the owner's own."""
    highest: dict[str, Acquire] = {}  # by owner: the call with the highest fence of those answered so far
    answered = sorted(acquires, key=lambda call: call.answered)
    position = 0
    for call in sorted(acquires, key=lambda one: one.sent):
        while position < len(answered) and answered[position].answered < call.sent:
            known = answered[position]
            if known.owner not in highest or highest[known.owner].fence < known.fence:
                highest[known.owner] = known
            position += 1
        for earlier in highest.values():
            least = earlier.fence if earlier.owner == call.owner else earlier.fence + 1
            if call.fence < least:
                yield Violation(rule_of(call, Rule.ONE), f"fence does not increase: {earlier}; {call}")


def _find_renewals_of_lost_holds(acquires: Sequence[Acquire], renewals: Sequence[Renewal]) -> Iterator[Violation]:
    """Yield successful renewals of a hold that was lost because another owner had got a higher fence."""
    for renewal in renewals:
        for acquire in acquires:
            another = acquire.owner != renewal.owner and acquire.fence > renewal.fence
            if another and acquire.answered < renewal.sent:
                yield Violation(Rule.ONE, f"renewed although lost: {acquire}; {renewal}")


def _find_renewals_of_released_holds(calls: Sequence[LockCall], renewals: Sequence[Renewal]) -> Iterator[Violation]:
    """Yield successful renewals of released holds, unless the owner may have acquired the lock again in between."""
    releases = [call for call in calls if isinstance(call, Release) and call.is_ok]
    for renewal in renewals:
        for release in releases:
            same = release.owner == renewal.owner and release.fence == renewal.fence
            if not same or release.answered >= renewal.sent:
                continue
            if not any(_may_reacquire_between(call, release, renewal) for call in calls):
                yield Violation(Rule.ONE, f"renewed although released: {release}; {renewal}")


def _may_reacquire_between(call: LockCall, release: Release, renewal: Renewal) -> bool:
    """Return True if the call is an acquire of the owner that may have been applied between release and renewal."""
    if not isinstance(call, Acquire) or call.owner != renewal.owner or call.sent >= renewal.answered:
        return False
    if call.is_indeterminate:
        return call.applied_by > release.sent
    return call.is_ok and call.answered > release.sent


def _find_refused_renewals_of_holders(calls: Sequence[LockCall], holds: Sequence[Hold]) -> Iterator[Violation]:
    """Yield refused renewals of current holds, unless a delayed acquire of the owner may have replaced the hold."""
    refused = [call for call in calls if isinstance(call, Renewal) and call.status == HTTPStatus.CONFLICT]
    for renewal in refused:
        for hold in holds:
            same = hold.owner == renewal.owner and hold.fence == renewal.fence
            within = hold.begin <= renewal.sent < hold.end and renewal.answered < hold.expires
            if same and within and not _may_be_replaced(hold, renewal, calls):
                yield Violation(Rule.PROTOCOL, f"renewal refused although {hold}: {renewal}")


def _may_be_replaced(hold: Hold, renewal: Renewal, calls: Sequence[LockCall]) -> bool:
    """Return True if another, possibly delayed acquire of the holder may have been applied during the hold."""
    for call in calls:
        if not isinstance(call, Acquire) or call.owner != hold.owner or call.sent > renewal.answered:
            continue
        if call.is_indeterminate and call.applied_by > hold.begin:
            return True
        if call.is_ok and call.fence != hold.fence and call.answered > hold.begin:
            return True
    return False
