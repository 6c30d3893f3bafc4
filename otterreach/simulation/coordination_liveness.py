"""Liveness without faults: definite answers and watch events within a second, and locks free soon after a hold."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from otterreach.simulation.coordination_history import (
    Acquire,
    CoordinationHistory,
    Release,
    Renewal,
    Rule,
    Violation,
    Watch,
)

ANSWER_S = 1.0  # time-out of callers, and limit for answers and events
DEFINITE_STATUSES = (
    HTTPStatus.OK,
    HTTPStatus.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED,
    HTTPStatus.NOT_FOUND,
    HTTPStatus.GONE,
)


@dataclass(frozen=True, slots=True)
class FaultFreeSpan:
    """A time span without faults. The core is stable from `stable_from` on."""

    begin: float
    stable_from: float
    end: float

    def covers(self, begin: float, end: float) -> bool:
        """Return True if the core was stable from `begin` to `end`."""
        return self.stable_from <= begin and end < self.end


def find_liveness_violations(
    history: CoordinationHistory, fault_free: Sequence[FaultFreeSpan], free_s: float
) -> Iterator[Violation]:
    """Yield what was not answered in time. `free_s`: a lock may still be refused for this long after a hold ends."""
    for call in history.calls():
        due = call.sent + ANSWER_S + (call.wait_s if isinstance(call, Watch) else 0.0)
        unanswered = call.status not in DEFINITE_STATUSES and not call.fault_injected and call.exchange_ended_at < inf
        if unanswered and any(span.covers(call.sent, due) for span in fault_free):
            yield Violation(Rule.PROMPT, f"no definite answer in time without faults: {call}")
    yield from _find_late_events(history, fault_free)
    for refused in _find_late_refusals(history, fault_free, free_s):
        yield Violation(Rule.PROMPT, f"acquire refused although no other owner can hold the lock: {refused}")


def _find_late_events(history: CoordinationHistory, fault_free: Sequence[FaultFreeSpan]) -> Iterator[Violation]:
    """Yield events answered more than `ANSWER_S` after their put was acknowledged and the watch was sent."""
    acknowledged = {put.value: put.acknowledged for put in history.puts}
    for watch in history.watches:
        if watch.fault_injected:
            continue
        for event in watch.events:
            due = max(acknowledged.get(event.value, inf), watch.sent)
            late = due + ANSWER_S < watch.answered
            if late and any(span.covers(due, watch.answered) for span in fault_free):
                yield Violation(Rule.PROMPT, f"late event {event.revision}, due from {due:.3f} on, in {watch}")


def _find_late_refusals(
    history: CoordinationHistory, fault_free: Sequence[FaultFreeSpan], free_s: float
) -> Iterator[Acquire]:
    holding: defaultdict[str, list[Acquire | Renewal]] = defaultdict(list)
    for acquire in history.acquires:
        holding[acquire.lock].append(acquire)
    for renewal in history.renewals:
        holding[renewal.lock].append(renewal)
    releases = _DefiniteReleases(history)
    for refused in history.acquires:
        span = next((s for s in fault_free if s.stable_from + free_s < refused.sent < s.end), None)
        if span is None or refused.status != HTTPStatus.CONFLICT:
            continue
        others = [call for call in holding[refused.lock] if call.owner != refused.owner]
        possible = [call for call in others if call.sent < refused.answered]
        if all(_may_block_until(call, span, releases) + free_s < refused.sent for call in possible):
            yield refused


class _DefiniteReleases:
    """The releases that definitely ended a hold.

    A release ends only the hold that it names. So it may have had no effect if an indeterminate acquire of the same
    owner may have been applied after the hold began.
    """

    def __init__(self, history: CoordinationHistory) -> None:
        self._indeterminate: defaultdict[tuple[str, str], list[Acquire]] = defaultdict(list)  # by lock and owner
        self._begins: dict[tuple[str, str, int], float] = {}  # start of each hold, by lock, owner and fencing token
        for acquire in history.acquires:
            if acquire.is_indeterminate:
                self._indeterminate[acquire.lock, acquire.owner].append(acquire)
            elif acquire.is_ok:
                self._begins[acquire.lock, acquire.owner, acquire.fence] = acquire.answered
        self._definite: defaultdict[tuple[str, str], list[Release]] = defaultdict(list)
        for release in history.releases:
            if release.is_ok and not self._may_be_ineffective(release):
                self._definite[release.lock, release.owner].append(release)

    def _may_be_ineffective(self, release: Release) -> bool:
        begin = self._begins.get((release.lock, release.owner, release.fence), -inf)
        indeterminate = self._indeterminate[release.lock, release.owner]
        return any(call.sent < release.answered and call.applied_by > begin for call in indeterminate)

    def latest_end(self, call: Acquire | Renewal) -> float:
        """Return the latest time at which the hold of this call was released; inf if no release is definite."""
        later = [one for one in self._definite[call.lock, call.owner] if one.sent > call.answered]
        return min((one.answered for one in later if one.fence >= call.fence), default=inf)


def _may_block_until(call: Acquire | Renewal, span: FaultFreeSpan, releases: _DefiniteReleases) -> float:
    """Return the time until which a call may keep others from the lock."""
    if call.is_indeterminate:
        return max(call.exchange_ended_at, call.sent + ANSWER_S, span.begin) + call.hold_s
    if not call.is_ok:
        return -inf
    return min(releases.latest_end(call), call.sent + call.hold_s)
