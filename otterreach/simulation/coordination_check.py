"""All rules of coordination, held against one history."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from itertools import chain

from otterreach.simulation.coordination_history import (
    Acquire,
    Call,
    CoordinationHistory,
    PutCopy,
    Read,
    Renewal,
    Rule,
    Violation,
    Watch,
)
from otterreach.simulation.coordination_liveness import CalmSpan, find_liveness_violations
from otterreach.simulation.keyspace_checker import find_key_violations
from otterreach.simulation.keyspace_linearizability import find_linearizability_violations
from otterreach.simulation.lock_checker import find_lock_violations
from otterreach.simulation.number_checker import find_number_violations
from otterreach.simulation.watch_checker import find_watch_violations


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of a deployment, in seconds."""

    history_s: float  # how long a watch can resume from a revision that was given
    free_s: float  # how long after a hold's end its lock may still be refused


def find_violations(history: CoordinationHistory, calm: Sequence[CalmSpan], bounds: Bounds) -> Iterator[Violation]:
    """What breaks a rule, the plainest first."""
    return chain(
        history.violations,
        _unexpected_answers(history),
        find_lock_violations(history),
        find_number_violations(history),
        find_key_violations(history),
        find_watch_violations(history, bounds.history_s),
        find_linearizability_violations(history),
        find_liveness_violations(history, calm, bounds.free_s),
    )


def _unexpected_answers(history: CoordinationHistory) -> Iterator[Violation]:
    """Well-formed calls are never answered that they are wrong, or that there is no such resource."""
    for call in history.calls():
        wrong = HTTPStatus.BAD_REQUEST <= call.status < HTTPStatus.INTERNAL_SERVER_ERROR
        if wrong and call.status not in _expected(call):
            yield Violation(Rule.PROTOCOL, str(call))


def _expected(call: Call) -> tuple[HTTPStatus, ...]:
    """The statuses below 500 with which such a call may be answered, beside 200."""
    if isinstance(call, Read):
        return (HTTPStatus.NOT_FOUND, HTTPStatus.TOO_MANY_REQUESTS)
    if isinstance(call, Watch):
        return (HTTPStatus.GONE, HTTPStatus.TOO_MANY_REQUESTS)
    if isinstance(call, PutCopy):
        return (HTTPStatus.PRECONDITION_FAILED, HTTPStatus.TOO_MANY_REQUESTS)
    if isinstance(call, Acquire | Renewal):
        return (HTTPStatus.CONFLICT, HTTPStatus.TOO_MANY_REQUESTS)
    return (HTTPStatus.TOO_MANY_REQUESTS,)
