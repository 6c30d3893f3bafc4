"""Checkers of coordination on hand-written histories: each violation is reported, and valid histories have none."""

from __future__ import annotations

from itertools import permutations
from math import inf
from random import Random

import pytest

from otterreach.simulation.coordination_check import Bounds, find_violations
from otterreach.simulation.coordination_history import (
    Acquire,
    Call,
    CoordinationHistory,
    NumberRequest,
    Put,
    PutCopy,
    Read,
    Release,
    Renewal,
    Rule,
    Watch,
    WatchEvent,
)
from otterreach.simulation.coordination_liveness import FaultFreeSpan
from otterreach.simulation.keyspace_linearizability import find_linearizability_violations

BOUNDS = Bounds(history_s=20.0, free_s=1.5)
FAULT_FREE = [FaultFreeSpan(0.0, 0.0, 1000.0)]
NEVER_FAULT_FREE: list[FaultFreeSpan] = []
DRAWN_HISTORIES = 600


def acquire(owner: str, sent: float, fence: int = 0, hold_s: float = 3.0, status: int = 200) -> Acquire:
    return Acquire(
        sent=sent,
        answered=sent + 0.1,
        exchange_ended_at=sent + 0.1,
        status=status,
        lock="l",
        owner=owner,
        hold_s=hold_s,
        fence=fence,
    )


def renewal(owner: str, sent: float, fence: int, answered: float = 0.0, status: int = 200) -> Renewal:
    end = answered or sent + 0.1
    return Renewal(
        sent=sent, answered=end, exchange_ended_at=end, status=status, lock="l", owner=owner, hold_s=3.0, fence=fence
    )


def release(owner: str, sent: float, fence: int) -> Release:
    return Release(
        sent=sent, answered=sent + 0.1, exchange_ended_at=sent + 0.1, status=200, lock="l", owner=owner, fence=fence
    )


def number(sent: float, answered: float, value: int, final: bool = False) -> NumberRequest:
    return NumberRequest(
        sent=sent, answered=answered, exchange_ended_at=answered, status=200, name="n", value=value, final=final
    )


def put(value: str, expect: int, *copies: PutCopy, key: str = "g.a") -> Put:
    return Put(key, value, expect, list(copies))


def copy(sent: float, revision: int = 0, status: int = 200) -> PutCopy:
    return PutCopy(sent=sent, answered=sent + 0.1, exchange_ended_at=sent + 0.1, status=status, revision=revision)


def unanswered(sent: float) -> PutCopy:
    return PutCopy(sent=sent, exchange_ended_at=sent + 1.0)


def read(sent: float, value: str, revision: int, key: str = "g.a", final: bool = False) -> Read:
    status = 200 if revision else 404
    return Read(
        sent=sent,
        answered=sent + 0.1,
        exchange_ended_at=sent + 0.1,
        status=status,
        key=key,
        value=value,
        revision=revision,
        final=final,
    )


def watch(sent: float, past: int, revision: int, *events: WatchEvent, status: int = 200, given: float = -inf) -> Watch:
    return Watch(
        sent=sent,
        answered=sent + 0.1,
        exchange_ended_at=sent + 0.1,
        status=status,
        group="g.",
        past=past,
        wait_s=1.0,
        past_received_at=given,
        revision=revision,
        events=events,
    )


A = put("v1", 0, copy(1.0, 1))
B = put("v2", 1, copy(2.0, 2))
FIRST = WatchEvent("g.a", "v1", 1)
SECOND = WatchEvent("g.a", "v2", 2)


def rules(*calls: Call | Put, fault_free: list[FaultFreeSpan] = NEVER_FAULT_FREE) -> set[Rule]:
    """Return the rules that a history of these calls violates."""
    history = CoordinationHistory()
    for call in calls:
        if isinstance(call, Put):
            history.puts.append(call)
        elif isinstance(call, Acquire):
            history.acquires.append(call)
        elif isinstance(call, Renewal):
            history.renewals.append(call)
        elif isinstance(call, Release):
            history.releases.append(call)
        elif isinstance(call, NumberRequest):
            history.numbers.append(call)
        elif isinstance(call, Read):
            history.reads.append(call)
        elif isinstance(call, Watch):
            history.watches.append(call)
    return {violation.rule for violation in find_violations(history, fault_free, BOUNDS)}


VALID: dict[str, tuple[Call | Put, ...]] = {
    "one after the other": (acquire("a", 1.0, 1), acquire("b", 4.0, 2)),
    "released, then taken": (acquire("a", 1.0, 1), release("a", 2.0, 1), acquire("b", 2.01, 2)),
    "refused while it is held": (acquire("a", 1.0, 1), acquire("b", 2.0, status=409), acquire("b", 4.1, 2)),
    "renewed in time": (acquire("a", 1.0, 1), renewal("a", 3.0, 1), acquire("b", 6.0, 2)),
    "a renewal answered too late does not extend the hold": (
        acquire("a", 1.0, 1),
        renewal("a", 3.0, 1, answered=4.2),
        acquire("b", 6.0, 2),
        renewal("b", 7.0, 2),
    ),
    "the same owner gets the same fence": (acquire("a", 1.0, 1), acquire("a", 2.0, 1)),
    "numbers of calls at the same time in any order": (number(1.0, 3.0, 2), number(1.5, 2.0, 1)),
    "an indeterminate put is observed later": (put("v1", 0, unanswered(1.0)), read(9.0, "v1", 4)),
    "a repeat gets the first revision": (put("v1", 0, copy(1.0, 1), copy(3.0, 1)), B),
    "a rejection names the revision of an indeterminate put": (
        put("v1", 0, unanswered(1.0)),
        put("v2", 0, copy(2.0, 7, 412)),
    ),
    "404 before the first put": (read(0.5, "", 0), A, read(1.5, "v1", 1)),
    "a watch from the beginning": (A, B, watch(3.0, 1, 2, SECOND), watch(3.0, 0, 2)),
    "a watch of a group that had nothing yet": (A, watch(1.05, 0, 1, FIRST)),
    "410 for an old revision": (A, watch(30.0, 1, 0, status=410, given=9.0)),
}

VIOLATING: dict[str, tuple[Rule, tuple[Call | Put, ...]]] = {
    "two holders": (Rule.ONE, (acquire("a", 1.0, 1), acquire("b", 3.8, 2))),
    "two holders after a renewal": (Rule.ONE, (acquire("a", 1.0, 1), renewal("a", 3.0, 1), acquire("b", 5.8, 2))),
    "the same fence for two": (Rule.ONE, (acquire("a", 1.0, 1), acquire("b", 5.0, 1))),
    "a lower fence": (Rule.ONE, (acquire("a", 1.0, 2), acquire("b", 5.0, 1))),
    "a lower fence of the same owner": (Rule.ONE, (acquire("a", 1.0, 2), acquire("a", 5.0, 1))),
    "renewed though lost": (Rule.ONE, (acquire("a", 1.0, 1), acquire("b", 5.0, 2), renewal("a", 6.0, 1))),
    "renewed though released": (Rule.ONE, (acquire("a", 1.0, 1), release("a", 2.0, 1), renewal("a", 2.5, 1))),
    "renewal refused to the holder": (Rule.PROTOCOL, (acquire("a", 1.0, 1), renewal("a", 2.0, 1, status=409))),
    "a number twice": (Rule.ORDER, (number(1.0, 2.0, 1), number(1.5, 2.5, 1))),
    "a number that decreases": (Rule.ORDER, (number(1.0, 2.0, 5), number(2.5, 3.0, 4))),
    "a number that decreases at the end": (Rule.LOST, (number(1.0, 2.0, 5), number(2.5, 3.0, 4, final=True))),
    "a revision twice": (Rule.ORDER, (A, put("v3", 0, copy(1.05, 1), key="g.b"))),
    "a revision that decreases": (Rule.ORDER, (B, put("v3", 0, copy(3.0, 1), key="g.b"))),
    "a put over an outdated revision": (Rule.ORDER, (A, B, put("v3", 1, copy(2.05, 3)))),
    "a revision below one that a watch returned": (Rule.ORDER, (watch(1.0, 0, 5), put("v3", 0, copy(2.0, 4)))),
    "a stale read": (Rule.STALE, (A, B, read(3.0, "v1", 1))),
    "a stale 404": (Rule.STALE, (A, read(3.0, "", 0))),
    "a stale rejection": (Rule.STALE, (A, B, put("v3", 5, copy(3.0, 1, 412)))),
    "a stale watch": (Rule.STALE, (A, B, watch(3.0, 1, 1))),
    "a stale read at the end": (Rule.LOST, (A, B, read(3.0, "v1", 1, final=True))),
    "a value that nobody put": (Rule.MIXED, (read(1.0, "x", 1),)),
    "a value of another key": (Rule.MIXED, (A, read(2.0, "v1", 1, key="g.b"))),
    "a value under two revisions": (Rule.MIXED, (A, read(2.0, "v1", 2))),
    "a repeat with another revision": (Rule.MIXED, (put("v1", 0, copy(1.0, 1), copy(2.0, 2)),)),
    "a rejection that names no revision": (Rule.MIXED, (A, put("v3", 0, copy(2.0, 9, 412)))),
    "a rejection that names what was expected": (Rule.MIXED, (A, put("v3", 1, copy(2.0, 1, 412)))),
    "a rejected value": (Rule.REFUSED, (put("v1", 3, copy(1.0, 0, 412)), read(2.0, "v1", 1))),
    "a value refused with 503": (Rule.REFUSED, (put("v1", 0, copy(1.0, 0, 503)), read(2.0, "v1", 1))),
    "a repeat that is rejected": (Rule.REFUSED, (put("v1", 0, copy(1.0, 1), copy(2.0, 2, 412)), B)),
    "a watch that skips": (Rule.ORDER, (A, B, watch(3.0, 0, 2, SECOND))),
    "a watch that skips the last": (Rule.ORDER, (A, B, put("v3", 2, copy(2.5, 3)), watch(3.0, 1, 3, SECOND))),
    "a watch with decreasing events": (Rule.ORDER, (A, B, watch(3.0, 0, 2, SECOND, FIRST))),
    "a watch above its revision": (Rule.ORDER, (A, B, watch(1.9, 0, 1, FIRST, SECOND))),
    "a watch that shows a rejected put": (
        Rule.REFUSED,
        (put("v1", 3, copy(1.0, 0, 412)), watch(2.0, 0, 1, FIRST)),
    ),
    "410 too early": (Rule.LOST, (A, watch(20.0, 1, 0, status=410, given=1.0))),
    "410 for the current revision": (Rule.LOST, (watch(20.0, 0, 0, status=410),)),
    "a read goes back": (Rule.LINEARIZABLE, (put("v1", 0, unanswered(1.0)), read(2.0, "v1", 1), read(3.0, "", 0))),
    "400 for a valid call": (Rule.PROTOCOL, (put("v1", 0, copy(1.0, 0, 400)),)),
}

VIOLATING_WITHOUT_FAULTS: dict[str, tuple[Call | Put, ...]] = {
    "no answer": (put("v1", 0, unanswered(1.0)),),
    "unavailable": (acquire("a", 1.0, status=503),),
    "refused long after the hold expired": (acquire("a", 1.0, 1), acquire("b", 5.6, status=409)),
    "refused long after the release": (acquire("a", 1.0, 1), release("a", 1.2, 1), acquire("b", 2.9, status=409)),
    "an event that comes late": (
        A,
        B,
        Watch(
            sent=0.5,
            answered=3.3,
            exchange_ended_at=3.3,
            status=200,
            group="g.",
            past=1,
            wait_s=9.0,
            revision=2,
            events=(SECOND,),
        ),
    ),
}


@pytest.mark.parametrize("name", VALID)
def test_valid_history(name: str) -> None:
    assert rules(*VALID[name]) == set()


@pytest.mark.parametrize("name", VIOLATING)
def test_violating_history(name: str) -> None:
    rule, calls = VIOLATING[name]
    assert rule in rules(*calls)


@pytest.mark.parametrize("name", VIOLATING_WITHOUT_FAULTS)
def test_late_answer_violates_only_without_faults(name: str) -> None:
    assert Rule.PROMPT in rules(*VIOLATING_WITHOUT_FAULTS[name], fault_free=FAULT_FREE)
    assert Rule.PROMPT not in rules(*VIOLATING_WITHOUT_FAULTS[name], fault_free=NEVER_FAULT_FREE)


def test_same_verdict_as_all_orders() -> None:
    """The verdict on small random histories equals that of an exhaustive search over all orders."""
    verdicts = {True: 0, False: 0}
    for seed in range(DRAWN_HISTORIES):
        history = draw(Random(seed))
        expected = any_order(history)
        verdicts[expected] += 1
        assert (not list(find_linearizability_violations(history))) is expected, f"seed {seed}: {history}"
    assert min(verdicts.values()) > DRAWN_HISTORIES / 10, "too few linearizable or too few violating histories"


def draw(random: Random) -> CoordinationHistory:
    """Draw three puts to two keys of one group, and three reads, whose start and end times are distinct."""
    moments = random.sample(range(40), 12)
    spans = [(float(min(pair)), float(max(pair))) for pair in zip(moments[::2], moments[1::2], strict=True)]
    history = CoordinationHistory()
    revisions = sorted(random.sample(range(1, 9), 3))
    random.shuffle(spans)
    latest = {"g.a": 0, "g.b": 0}
    known: dict[str, list[tuple[str, int]]] = {"g.a": [("", 0)], "g.b": [("", 0)]}
    for revision, (called, answered) in zip(revisions, sorted(spans[:3]), strict=True):
        key = random.choice(["g.a", "g.b"])
        one = PutCopy(sent=called, answered=answered, exchange_ended_at=answered, status=200, revision=revision)
        history.puts.append(Put(key, f"v{revision}", latest[key], [one]))
        latest[key] = revision
        known[key].append((f"v{revision}", revision))
    for called, answered in spans[3:]:
        key = random.choice(["g.a", "g.b"])
        value, revision = random.choice(known[key])
        status = 200 if revision else 404
        history.reads.append(
            Read(
                sent=called,
                answered=answered,
                exchange_ended_at=answered,
                status=status,
                key=key,
                value=value,
                revision=revision,
            )
        )
    return history


def any_order(history: CoordinationHistory) -> bool:
    """Return True if an order of the calls that is consistent with real time explains all answers."""
    calls: list[Read | Put] = [*history.puts, *history.reads]
    return any(fits(order) for order in permutations(calls))


def span_of(call: Read | Put) -> tuple[float, float]:
    return (call.sent, call.acknowledged) if isinstance(call, Put) else (call.sent, call.answered)


def fits(order: tuple[Read | Put, ...]) -> bool:
    newest = 0
    current: dict[str, int] = {}
    for place, call in enumerate(order):
        if any(span_of(later)[1] < span_of(call)[0] for later in order[place + 1 :]):
            return False
    for call in order:
        if isinstance(call, Read):
            if current.get(call.key, 0) != call.revision:
                return False
        else:
            revision = call.copies[0].revision
            if revision <= newest or call.expect != current.get(call.key, 0):
                return False
            newest = revision
            current[call.key] = revision
    return True
