"""Numbers: each is above every one that was given under its name before the call was sent, and none is given twice."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from otterreach.simulation.coordination_history import CoordinationHistory, NumberRequest, Rule, Violation, rule_of


def find_number_violations(history: CoordinationHistory) -> Iterator[Violation]:
    """What breaks a rule of numbers."""
    by_name: defaultdict[str, list[NumberRequest]] = defaultdict(list)
    for request in history.numbers:
        if request.is_ok:
            by_name[request.name].append(request)
    for requests in by_name.values():
        yield from _given_twice(requests)
        yield from _not_rising(requests)


def _given_twice(requests: Sequence[NumberRequest]) -> Iterator[Violation]:
    first: dict[int, NumberRequest] = {}
    for request in requests:
        other = first.setdefault(request.value, request)
        if other is not request:
            yield Violation(rule_of(request, Rule.ORDER), f"given twice: {other}; {request}")


def _not_rising(requests: Sequence[NumberRequest]) -> Iterator[Violation]:
    highest: NumberRequest | None = None  # of those answered so far
    answered = sorted(requests, key=lambda request: request.answered)
    place = 0
    for request in sorted(requests, key=lambda one: one.sent):
        while place < len(answered) and answered[place].answered < request.sent:
            if highest is None or answered[place].value > highest.value:
                highest = answered[place]
            place += 1
        if highest is not None and request.value <= highest.value:
            yield Violation(rule_of(request, Rule.ORDER), f"not above an earlier one: {highest}; {request}")
