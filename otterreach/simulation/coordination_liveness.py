"""Calls in calm times: clear answers and events of watches within a second, and locks free soon after a hold."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from otterreach.simulation.coordination_history import (
    Acquire,
    Call,
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
    released = _releases(history.releases)
    for refused in history.acquires:
        span = next((s for s in calm if s.stable_from + free_s < refused.sent < s.end), None)
        if span is None or refused.status != HTTPStatus.CONFLICT:
            continue
        others = [call for call in holding[refused.lock] if call.owner != refused.owner]
        possible = [call for call in others if call.sent < refused.answered]
        if all(_kept_until(call, span, released) + free_s < refused.sent for call in possible):
            yield refused


def _releases(releases: Sequence[Release]) -> dict[tuple[str, str, int], Release]:
    """The first release that was answered of each hold, by lock, owner and fence."""
    first: dict[tuple[str, str, int], Release] = {}
    for release in sorted(releases, key=lambda call: call.answered):
        if release.is_ok:
            first.setdefault((release.lock, release.owner, release.fence), release)
    return first


def _kept_until(call: Acquire | Renewal, span: CalmSpan, released: dict[tuple[str, str, int], Release]) -> float:
    """Until when a call may keep the lock from others."""
    if call.is_refused or call.status == HTTPStatus.CONFLICT:
        return call.sent
    if not call.is_ok:
        return _arrives_by(call, span) + call.hold_s
    release = released.get((call.lock, call.owner, call.fence))
    if release is not None and call.answered < release.sent:
        return min(release.answered, call.sent + call.hold_s)
    return call.sent + call.hold_s


def _arrives_by(call: Call, span: CalmSpan) -> float:
    """Until when a call without a clear answer may still be taken."""
    return max(call.over, call.sent + ANSWER_S, span.begin)
