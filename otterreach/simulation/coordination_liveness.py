"""Calls in calm times: clear answers and events of watches within a second, and locks free soon after a hold."""

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

ANSWER_S = 1.0  # callers leave after so much silence
CLEAR = (HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.PRECONDITION_FAILED, HTTPStatus.NOT_FOUND, HTTPStatus.GONE)


@dataclass(frozen=True, slots=True)
class CalmSpan:
    """A span without any fault. The core is stable from `stable_from` on."""

    begin: float
    stable_from: float
    end: float

    def covers(self, begin: float, end: float) -> bool:
        """Whether the core was stable all this time."""
        return self.stable_from <= begin and end < self.end


def find_liveness_violations(
    history: CoordinationHistory, calm: Sequence[CalmSpan], free_s: float
) -> Iterator[Violation]:
    """What was not answered in time. `free_s`: how long after its time a lock may still be refused."""
    for call in history.calls():
        due = call.sent + ANSWER_S + (call.wait_s if isinstance(call, Watch) else 0.0)
        unanswered = call.status not in CLEAR and not call.faulty and call.over < inf
        if unanswered and any(span.covers(call.sent, due) for span in calm):
            yield Violation(Rule.PROMPT, f"no clear answer in calm times: {call}")
    yield from _late_events(history, calm)
    for refused in _locks_refused_late(history, calm, free_s):
        yield Violation(Rule.PROMPT, f"refused though nobody may hold the lock: {refused}")


def _late_events(history: CoordinationHistory, calm: Sequence[CalmSpan]) -> Iterator[Violation]:
    """A watch that waits is answered as soon as a put is acknowledged."""
    acknowledged = {put.value: put.acknowledged for put in history.puts}
    for watch in history.watches:
        if watch.faulty:
            continue
        for event in watch.events:
            known = max(acknowledged.get(event.value, inf), watch.sent)
            late = known + ANSWER_S < watch.answered
            if late and any(span.covers(known, watch.answered) for span in calm):
                yield Violation(Rule.PROMPT, f"event {event.revision}, acknowledged at {known:.3f}, in {watch}")


def _locks_refused_late(history: CoordinationHistory, calm: Sequence[CalmSpan], free_s: float) -> Iterator[Acquire]:
    holding: defaultdict[str, list[Acquire | Renewal]] = defaultdict(list)
    for acquire in history.acquires:
        holding[acquire.lock].append(acquire)
    for renewal in history.renewals:
        holding[renewal.lock].append(renewal)
    released = _Releases(history)
    for refused in history.acquires:
        span = next((s for s in calm if s.stable_from + free_s < refused.sent < s.end), None)
        if span is None or refused.status != HTTPStatus.CONFLICT:
            continue
        others = [call for call in holding[refused.lock] if call.owner != refused.owner]
        possible = [call for call in others if call.sent < refused.answered]
        if all(_kept_until(call, span, released) + free_s < refused.sent for call in possible):
            yield refused


class _Releases:
    """When holds were released, as far as that is sure.

    It is not, where an acquire of the same owner was not answered clearly and may have been taken during the hold: a
    release ends only the hold that it names.
    """

    def __init__(self, history: CoordinationHistory) -> None:
        self._unclear: defaultdict[tuple[str, str], list[Acquire]] = defaultdict(list)  # by lock and owner
        self._begins: dict[tuple[str, str, int], float] = {}  # of holds, by lock, owner and fence
        for acquire in history.acquires:
            if acquire.is_unclear:
                self._unclear[acquire.lock, acquire.owner].append(acquire)
            elif acquire.is_ok:
                self._begins[acquire.lock, acquire.owner, acquire.fence] = acquire.answered
        self._sure: defaultdict[tuple[str, str], list[Release]] = defaultdict(list)
        for release in history.releases:
            if release.is_ok and not self._may_be_void(release):
                self._sure[release.lock, release.owner].append(release)

    def _may_be_void(self, release: Release) -> bool:
        begin = self._begins.get((release.lock, release.owner, release.fence), -inf)
        unclear = self._unclear[release.lock, release.owner]
        return any(call.sent < release.answered and call.taken_by > begin for call in unclear)

    def end_of(self, call: Acquire | Renewal) -> float:
        """When the hold of this call was released, at the latest; inf if that is not sure."""
        later = [one for one in self._sure[call.lock, call.owner] if one.sent > call.answered]
        return min((one.answered for one in later if one.fence >= call.fence), default=inf)


def _kept_until(call: Acquire | Renewal, span: CalmSpan, released: _Releases) -> float:
    """Until when a call may keep the lock from others."""
    if call.is_unclear:
        return max(call.over, call.sent + ANSWER_S, span.begin) + call.hold_s
    if not call.is_ok:
        return -inf
    return min(released.end_of(call), call.sent + call.hold_s)
