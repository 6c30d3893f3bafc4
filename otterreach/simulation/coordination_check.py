"""Verification of one history against all rules of coordination."""

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
from otterreach.simulation.coordination_liveness import FaultFreeSpan, find_liveness_violations
from otterreach.simulation.keyspace_checker import find_key_violations
from otterreach.simulation.keyspace_linearizability import find_linearizability_violations
from otterreach.simulation.lock_checker import find_lock_violations
from otterreach.simulation.number_checker import find_number_violations
from otterreach.simulation.watch_checker import find_watch_violations


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds that a deployment guarantees."""

    history_s: float  # a watch can resume from a revision for this long after receiving it
    free_s: float  # a lock may still be refused for this long after the end of a hold


def find_violations(
    history: CoordinationHistory, fault_free: Sequence[FaultFreeSpan], bounds: Bounds
) -> Iterator[Violation]:
    """Yield all violations, those that are the simplest to understand first."""
    return chain(
        history.violations,
        _find_unexpected_answers(history),
        find_lock_violations(history),
        find_number_violations(history),
        find_key_violations(history),
        find_watch_violations(history, bounds.history_s),
        find_linearizability_violations(history),
        find_liveness_violations(history, fault_free, bounds.free_s),
    )


def _find_unexpected_answers(history: CoordinationHistory) -> Iterator[Violation]:
    """Yield each client error status that a well-formed call must not get, such as 400, or 404 for a lock."""
    for call in history.calls():
        wrong = HTTPStatus.BAD_REQUEST <= call.status < HTTPStatus.INTERNAL_SERVER_ERROR
        if wrong and call.status not in _expected_statuses(call):
            yield Violation(Rule.PROTOCOL, str(call))


def _expected_statuses(call: Call) -> tuple[HTTPStatus, ...]:
    """Return the client error statuses that are valid answers to a call of this kind."""
    if isinstance(call, Read):
        return (HTTPStatus.NOT_FOUND, HTTPStatus.TOO_MANY_REQUESTS)
    if isinstance(call, Watch):
        return (HTTPStatus.GONE, HTTPStatus.TOO_MANY_REQUESTS)
    if isinstance(call, PutCopy):
        return (HTTPStatus.PRECONDITION_FAILED, HTTPStatus.TOO_MANY_REQUESTS)
    if isinstance(call, Acquire | Renewal):
        return (HTTPStatus.CONFLICT, HTTPStatus.TOO_MANY_REQUESTS)
    return (HTTPStatus.TOO_MANY_REQUESTS,)
