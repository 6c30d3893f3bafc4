"""Checker of numbers: each is above all that were returned for its name before its call was sent, and is unique."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from otterreach.simulation.coordination_history import CoordinationHistory, NumberRequest, Rule, Violation, rule_of


def find_number_violations(history: CoordinationHistory) -> Iterator[Violation]:
    """Yield the violations of the rules of numbers."""
    by_name: defaultdict[str, list[NumberRequest]] = defaultdict(list)
    for request in history.numbers:
        if request.is_ok:
            by_name[request.name].append(request)
    for requests in by_name.values():
        yield from _find_duplicates(requests)
        yield from _find_non_increasing(requests)


def _find_duplicates(requests: Sequence[NumberRequest]) -> Iterator[Violation]:
    first: dict[int, NumberRequest] = {}
    for request in requests:
        other = first.setdefault(request.value, request)
        if other is not request:
            yield Violation(rule_of(request, Rule.ORDER), f"returned twice: {other}; {request}")


def _find_non_increasing(requests: Sequence[NumberRequest]) -> Iterator[Violation]:
    highest: NumberRequest | None = None  # the one with the highest value of those answered so far
    answered = sorted(requests, key=lambda request: request.answered)
    position = 0
    for request in sorted(requests, key=lambda one: one.sent):
        while position < len(answered) and answered[position].answered < request.sent:
            if highest is None or answered[position].value > highest.value:
                highest = answered[position]
            position += 1
        if highest is not None and request.value <= highest.value:
            yield Violation(rule_of(request, Rule.ORDER), f"not above an earlier number: {highest}; {request}")
