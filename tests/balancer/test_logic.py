"""Unit tests of the balancer's decisions. Each failure that the balancer handles has a test here."""

from __future__ import annotations

import ast
import os
import random
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from otterreach.balancer import interface as api
from otterreach.balancer.interface import EndpointState, RosterForm, Status
from otterreach.balancer.logic import Balancer
from otterreach.balancer.routing import WARM_UP_SHARE
from otterreach.balancer.state import PendingRequest
from tests.balancer.support import MS, SECOND, Sidecar, finals, listed, sends, settings, timers, without_logs

ROOT = Path(__file__).parent.parent.parent
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]


def _pending(sidecar: Sidecar) -> PendingRequest:
    return PendingRequest(api.Request(10**6, 0, 2 * SECOND), sidecar.balancer.settings.classes[0], sidecar.now, 0)


def share(chosen: list[int], endpoint: int) -> float:
    return chosen.count(endpoint) / len(chosen)


# Limits of the policy files


def test_module_limits() -> None:
    lines = [line for path in POLICY for line in path.read_text().splitlines()]
    assert sum(bool(line.strip()) for line in lines) <= 1200  # operators don't run a larger policy
    assert max(map(len, lines)) <= 110
    assert "otterreach/balancer/interface.py" in lines[0]


def test_module_imports_only_the_interface_and_the_standard_library() -> None:
    """Policy files may also import each other. So the deploy file's list contains all files with decision logic."""
    imported = set()
    for node in (node for path in POLICY for node in ast.walk(ast.parse(path.read_text()))):
        if isinstance(node, ast.Import):
            imported |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add(str(node.module))
    outside = {m for m in imported if m.split(".")[0] not in sys.stdlib_module_names}
    own = {f"otterreach.balancer.{path.stem}" for path in POLICY}
    assert outside <= {"otterreach.balancer", "otterreach.balancer.interface"} | own
    assert not imported & {"time", "datetime", "os", "threading"}


# Random selection of endpoints


def test_endpoints_without_samples_have_equal_odds() -> None:
    counts = {1: 0, 2: 0, 3: 0, 4: 0}
    for seed in range(2000):
        sidecar = Sidecar([listed(n) for n in counts], seed=seed)
        counts[sends(sidecar.request())[0].endpoint] += 1
    # Binomial(2000, 1/4): five standard deviations are 97.
    assert all(abs(n - 500) < 97 for n in counts.values()), counts


def test_odds_are_the_inverse_of_load_plus_one_times_response_time() -> None:
    """The frequencies of 4000 draws match w_i = (L_i + 1) * x_i for the given queues and slowdowns."""
    queues, slow = {1: 0, 2: 1, 3: 4}, {1: 1.0, 2: 2.0, 3: 1.0}
    counts = dict.fromkeys(queues, 0)
    for seed in range(4000):
        sidecar = Sidecar([listed(n) for n in queues], seed=seed)
        for n, e in sidecar.balancer.endpoints.items():
            e.slowdown, e.slowdown_at = slow[n], sidecar.now
            e.queue, e.queue_at = queues[n], sidecar.now
        counts[sends(sidecar.request())[0].endpoint] += 1
    odds = {n: 1 / ((queues[n] + 1) * slow[n]) for n in queues}
    for n, odd in odds.items():
        p = odd / sum(odds.values())
        bound = 5 * (4000 * p * (1 - p)) ** 0.5  # five standard deviations
        assert abs(counts[n] - 4000 * p) < bound, (n, counts)


def test_a_faster_endpoint_gets_more() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    chosen = []
    for _ in range(400):
        [send] = sends(sidecar.request())
        chosen.append(send.endpoint)
        latency = (20 if send.endpoint == 1 else 100) * MS
        sidecar.now += latency
        sidecar.outcome(send, latency_ns=latency)
    assert share(chosen, 1) > 0.65


def test_own_sends_since_the_report_count_as_load() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    counts = {1: 0, 2: 0}
    for _ in range(60):  # sent at once, before the answer rate is known, so that none is refused
        for send in sends(sidecar.request()):
            counts[send.endpoint] += 1
    assert min(counts.values()) > 20  # uniform draws would go below this for 1 in 200 seeds


# Failures


@pytest.mark.parametrize("status", [Status.ERROR, Status.RESET, Status.FULL, Status.CONNECT_FAILED])
def test_fast_failures_lower_the_share_and_decay(status: Status) -> None:
    """An endpoint that fails immediately looks fast and must not attract all traffic."""
    sidecar = Sidecar([listed(n) for n in range(1, 6)])

    def play(rounds: int, broken: bool) -> float:
        chosen = []
        for _ in range(rounds):
            [send] = sends(sidecar.request(cls=2))
            chosen.append(send.endpoint)
            sidecar.now += 20 * MS
            if broken and send.endpoint == 1:
                for again in sends(sidecar.outcome(send, status, latency_ns=MS)):
                    sidecar.outcome(again, attempt=1, latency_ns=40 * MS)
                sidecar.now += 20 * MS
            else:
                sidecar.outcome(send, latency_ns=40 * MS)
        return share(chosen, 1)

    play(100, broken=False)
    assert play(300, broken=True) < 0.1
    sidecar.now += 30 * SECOND
    play(100, broken=False)
    assert play(300, broken=False) > 0.1


def test_a_silent_endpoint_loses_its_share_before_anything_times_out() -> None:
    sidecar = Sidecar([listed(n) for n in range(1, 6)])
    sidecar.serve(100)
    late = []
    for n in range(100):
        for send in sends(sidecar.request(cls=2)):
            if n >= 50:
                late.append(send.endpoint)
            sidecar.now += 10 * MS
            if send.endpoint != 1:
                sidecar.outcome(send, latency_ns=10 * MS)
    assert share(late, 1) < 0.08


def test_a_restarted_endpoint_starts_without_estimates() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(20)
    sidecar.roster([listed(1, started_ns=sidecar.now)])
    assert not sidecar.balancer.endpoints[1].slowdown_at
    assert sidecar.balancer.endpoints[2].slowdown_at


# Attempts and rules


def test_an_attempt_that_never_ran_is_sent_elsewhere() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [first] = sends(sidecar.request(cls=2))
    sidecar.now += 5 * MS
    [second] = sends(sidecar.outcome(first, Status.FULL))
    assert second.endpoint != first.endpoint


def test_an_unsafe_request_that_may_have_run_is_failed_not_refused() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [send] = sends(sidecar.request(cls=2))
    assert sidecar.outcome(send, Status.ERROR) == [api.Fail(send.request)]


def test_a_keyed_request_stays_in_its_zone_and_window() -> None:
    rows = [listed(1), listed(2), listed(3, zone=1), listed(4, zone=1)]
    zone = {row.endpoint: row.zone for row in rows}
    for seed in range(40):
        sidecar = Sidecar(rows, seed=seed)
        [first] = sends(sidecar.request(cls=1))
        [second] = sends(sidecar.outcome(first, Status.RESET))
        assert zone[second.endpoint] == zone[first.endpoint]
    sidecar = Sidecar(rows)
    [first] = sends(sidecar.request(cls=1))
    sidecar.now += SECOND - 30 * MS  # the retry would arrive after the deduplication window
    assert sends(sidecar.outcome(first, Status.RESET)) == []


def test_every_attempts_cap_is_kept_and_ends_in_an_answer() -> None:
    sidecar = Sidecar([listed(n) for n in range(1, 9)])
    actions = sidecar.request()
    for attempt in range(3):
        [send] = sends(actions)
        sidecar.now += 5 * MS
        actions = sidecar.outcome(send, Status.CONNECT_FAILED, attempt=attempt)
    assert sends(actions) == []
    assert len(finals(actions)) == 1


def test_an_empty_fleet_holds_and_then_refuses_in_time() -> None:
    sidecar = Sidecar([])
    start = sidecar.now
    pending = timers(sidecar.request(left_ns=300 * MS))
    answers: list[api.Action] = []
    while pending and sidecar.now < start + SECOND:
        timer = pending.pop()
        sidecar.now += timer.delay_ns
        actions = sidecar.balancer.handle(sidecar.now, api.Timer(timer.token))
        pending += timers(actions)
        answers += finals(actions)
    assert answers == [api.Refuse(1)]
    assert sidecar.now <= start + 300 * MS


def test_a_held_request_goes_out_when_an_endpoint_appears() -> None:
    sidecar = Sidecar([])
    [timer] = timers(sidecar.request())
    sidecar.roster([listed(1)])
    sidecar.now += timer.delay_ns
    assert sends(sidecar.balancer.handle(sidecar.now, api.Timer(timer.token)))[0].endpoint == 1


def test_nothing_goes_to_a_draining_or_gone_endpoint() -> None:
    sidecar = Sidecar([listed(1), listed(2), listed(3)])
    sidecar.roster([listed(1, state=EndpointState.DRAINING), listed(2, state=EndpointState.GONE)])
    assert set(sidecar.serve(50)) == {3}
    sidecar.roster([listed(4)], RosterForm.FULL)
    assert set(sidecar.serve(50)) == {4}


def test_a_timeout_at_the_deadline_is_answered_at_once() -> None:
    sidecar = Sidecar([listed(1)])
    [send] = sends(sidecar.request(cls=2))
    sidecar.now += 2 * SECOND
    assert sidecar.outcome(send, Status.TIMEOUT, latency_ns=2 * SECOND) == [api.Fail(send.request)]


def test_stale_and_unknown_events_do_nothing() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [send] = sends(sidecar.request())
    sidecar.outcome(send)
    assert sidecar.outcome(send) == []
    assert sidecar.outcome(api.Send(77, 1)) == []
    assert sidecar.balancer.handle(sidecar.now, api.ClientGone(send.request)) == []
    assert sidecar.balancer.handle(sidecar.now, api.Timer(4_000_000)) == []
    assert sidecar.balancer.handle(sidecar.now, api.ProbeResult(99, Status.OK, 5, (1.0,))) == []
    assert (
        sidecar.balancer.handle(sidecar.now, api.PeerMessage(3, 0.2, (api.EndpointObservation(99, 1.0, 0.0, 0),))) == []
    )


def test_a_request_has_one_attempt_at_a_time_and_it_is_cancelled_when_the_client_goes() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(40)
    actions = sidecar.request()
    [send] = sends(actions)
    assert timers(actions) == []  # no hedged request: measurements showed no benefit beyond noise
    sidecar.now += 600 * MS
    assert sidecar.balancer.handle(sidecar.now, api.ClientGone(send.request)) == [api.Cancel(send.request, 0)]


# Order by key

IN_ORDER = [{"target-ns": 700 * MS, "deadline-ns": 2 * SECOND, "effect": "once", "in-order": True}]


def ordered_sidecar() -> Sidecar:
    changes: dict[str, Any] = {"request_classes": IN_ORDER, "guarantees__order_settle_ns": 100 * MS}
    return Sidecar([listed(n) for n in range(1, 5)], **changes)


def expire_first_timer(sidecar: Sidecar, actions: list[api.Action]) -> list[api.Action]:
    """Advance the time to the first timer set by the actions, and return the actions of its expiry."""
    timer = timers(actions)[0]
    sidecar.now += timer.delay_ns
    return without_logs(sidecar.balancer.handle(sidecar.now, api.Timer(timer.token)))


def test_requests_of_one_key_run_one_at_a_time_in_order() -> None:
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    second, third = sidecar.request(key=9), sidecar.request(key=9)
    assert not sends(second) and not sends(third)
    assert sends(sidecar.request(key=8))
    assert sends(sidecar.request())
    sidecar.now += 50 * MS
    [send] = sends(sidecar.outcome(first))
    assert send.request == 2
    sidecar.now += 50 * MS
    [send] = sends(sidecar.outcome(send))
    assert send.request == 3
    # The timer of a request that was sent already has no effect.
    assert sends(expire_first_timer(sidecar, second)) == []


def test_a_key_is_blocked_after_an_attempt_that_may_still_be_executing() -> None:
    for status in (Status.TIMEOUT, Status.RESET):
        sidecar = ordered_sidecar()
        [first] = sends(sidecar.request(key=9))
        sidecar.request(key=9)
        sidecar.now += 50 * MS
        actions = sidecar.outcome(first, status)
        assert finals(actions) and not sends(actions)
        [again] = [t for t in timers(actions) if t.delay_ns == 100 * MS]
        sidecar.now += again.delay_ns
        [send] = sends(sidecar.balancer.handle(sidecar.now, api.Timer(again.token)))
        assert send.request == 2


def test_a_key_waits_for_the_outcome_of_a_cancelled_attempt_and_is_blocked() -> None:
    """The client has gone, but the endpoint may still be executing the attempt."""
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    assert sidecar.balancer.handle(sidecar.now, api.ClientGone(first.request)) == [api.Cancel(first.request, 0)]
    assert not sends(sidecar.request(key=9))
    sidecar.now += 20 * MS
    actions = sidecar.outcome(first, Status.CANCELLED, finished=True)
    assert not sends(actions)
    [send] = sends(expire_first_timer(sidecar, actions))
    assert send.request == 2


def test_those_behind_a_stuck_request_are_refused_before_they_are_late() -> None:
    """Otherwise, the queue of a popular key would grow until all its requests are late."""
    sidecar = ordered_sidecar()
    sidecar.serve(60, latency_ns=200 * MS)
    sidecar.request(key=9)
    waiting = [sidecar.request(key=9) for _ in range(6)]
    assert [bool(finals(actions)) for actions in waiting] == [False, False, False, True, True, True]
    start, request = sidecar.now, 62
    actions = expire_first_timer(sidecar, waiting[2])
    assert api.Refuse(request + 2) in actions
    assert sidecar.now < start + 700 * MS


def test_a_later_request_that_leaves_does_not_send_the_first_again() -> None:
    """A non-idempotent request was sent twice when both its timer and the key's queue resumed it."""
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    sidecar.request(key=9)
    actions = without_logs(sidecar.balancer.handle(sidecar.now, api.ClientGone(2)))
    assert not sends(actions)
    sidecar.now += 50 * MS
    assert not sends(sidecar.outcome(first))
    assert not sidecar.balancer.queued_by_key


# Silent endpoints


def test_a_slow_attempt_is_timed_out_while_there_is_time_for_a_retry() -> None:
    """With a silent endpoint or a lost answer, waiting until the deadline would leave no time for a retry."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(60, latency_ns=50 * MS)
    [send] = sends(sidecar.request())
    assert 100 * MS < send.timeout_ns <= 300 * MS
    sidecar.now += send.timeout_ns
    [again] = sends(sidecar.outcome(send, Status.TIMEOUT, latency_ns=send.timeout_ns))
    assert again.endpoint != send.endpoint
    [unsafe] = sends(sidecar.request(cls=2))
    assert unsafe.timeout_ns == 700 * MS


def test_no_early_time_out_where_little_time_would_be_left() -> None:
    """Under load, a retry is no more likely to succeed than waiting, and adds to the load."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(60, latency_ns=150 * MS)
    [send] = sends(sidecar.request())
    assert send.timeout_ns == 700 * MS


def test_an_endpoint_that_fails_one_class_loses_that_class_only() -> None:
    """The mean over all classes would hide the class that an endpoint leaves unanswered."""
    sidecar = Sidecar([listed(n) for n in range(1, 6)])
    late: dict[int, list[int]] = {0: [], 2: []}
    for n in range(600):
        cls = 2 * (n % 2)
        for send in sends(sidecar.request(cls)):
            bad = cls == 2 and send.endpoint == 1
            if n >= 100:
                late[cls].append(send.endpoint)
            sidecar.now += 40 * MS
            sidecar.outcome(send, Status.TIMEOUT if bad else Status.OK, latency_ns=40 * MS, finished=True)
    assert share(late[2], 1) < 0.1
    assert share(late[0], 1) > 0.12


# Overload


def test_a_client_retry_that_can_no_longer_be_in_time_is_refused_at_once() -> None:
    """In an overload, most work would go to client retries that have missed their latency target.

    The client's attempts normally have a time-out of 1.2 s of its 2 s. One with 0.9 s left has waited 1.1 s already,
    longer than the target of 0.7 s.
    """
    sidecar = Sidecar([listed(1), listed(2)])
    for _ in range(5):
        [send] = sends(sidecar.request(2, left_ns=1200 * MS))
        sidecar.outcome(send)
    assert [type(a) for a in sidecar.request(2, left_ns=900 * MS)] == [api.Refuse]
    [send] = sends(sidecar.request(2, left_ns=1200 * MS))
    assert send.timeout_ns == 700 * MS
    [send] = sends(sidecar.request(2, left_ns=1500 * MS))  # has waited 0.5 s: 0.2 s of the target remain
    assert send.timeout_ns == 200 * MS


def test_more_open_requests_than_can_be_answered_in_time_are_refused() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(100, latency_ns=100 * MS)  # 10 per second: some 7 can be answered within 0.7 s
    answers = [finals(sidecar.request()) for _ in range(30)]
    assert not any(answers[:2])
    assert all(answers[10:])


def refused_at_steady_load(latency_ns: int, gap_ns: int, seconds: int = 20, **changes: Any) -> float:
    """Return the share of requests refused in the second half of a run with a constant response time."""
    sidecar = Sidecar([listed(n) for n in range(1, 5)], **changes)
    under_way: list[tuple[int, api.Send]] = []
    half, end = sidecar.now + seconds * SECOND // 2, sidecar.now + seconds * SECOND
    asked = refused = 0
    while sidecar.now < end:
        while under_way and under_way[0][0] <= sidecar.now:
            sidecar.outcome(under_way.pop(0)[1], latency_ns=latency_ns)
        actions = sidecar.request()
        under_way += [(sidecar.now + latency_ns, send) for send in sends(actions)]
        asked += sidecar.now > half
        refused += sidecar.now > half and bool(finals(actions))
        sidecar.now += gap_ns
    return refused / asked


def test_idle_answers_near_the_target_do_not_shrink_the_limit() -> None:
    """If idle answers take more than half the target, a limit based on half the target would shrink to almost 0."""
    assert refused_at_steady_load(600 * MS, 10 * MS, allowed__may_duplicate=False) < 0.02


def test_a_small_sidecar_does_not_refuse_for_having_seen_little() -> None:
    assert refused_at_steady_load(300 * MS, 900 * MS) == 0


def test_overdue_requests_do_not_count_against_the_limit() -> None:
    """Requests stuck at a stalled endpoint must not use up the limit while other endpoints are idle."""
    late = [{"target-ns": 700 * MS, "deadline-ns": 2 * SECOND, "effect": "once", "late-worth": 0.5}]
    sidecar = Sidecar([listed(1), listed(2)], request_classes=late)
    sidecar.serve(200, latency_ns=100 * MS)
    stuck = [bool(sends(sidecar.request())) for _ in range(30)]
    assert not stuck[-1]  # the limit is reached
    sidecar.now += 699 * MS
    assert finals(sidecar.request())
    sidecar.now += 2 * MS
    assert sends(sidecar.request())


def test_a_young_sidecar_does_not_refuse_for_want_of_a_known_rate() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    assert not any(finals(sidecar.request()) for _ in range(30))


def test_a_heavy_tail_of_hints_does_not_cause_refusals_of_other_requests() -> None:
    """A mean hint that includes refused requests would drift away from the mean latency of answered ones."""
    sidecar = Sidecar([listed(1), listed(2)])
    rng = random.Random(4)
    refused = 0
    for n in range(600):
        heavy = n > 100 and rng.random() < 0.05
        actions = sidecar.request(hint_ns=(3000 if heavy else 100) * MS)
        refused += not heavy and bool(finals(actions))
        for send in sends(actions):
            sidecar.now += 120 * MS
            sidecar.outcome(send, latency_ns=120 * MS)
    assert refused == 0


# Endpoints that warm up


def share_of_cold_endpoints(rows: list[api.Listed], cold: set[int], rate_ns: int, length_ns: int = SECOND) -> float:
    sidecar = Sidecar(rows)
    sidecar.serve(200, latency_ns=rate_ns)
    sidecar.roster([listed(n, started_ns=sidecar.now) for n in cold])
    end, hits = sidecar.now + length_ns, 0
    while sidecar.now < end:
        for send in sends(sidecar.request()):
            hits += send.endpoint in cold
            sidecar.outcome(send, latency_ns=20 * MS)
        sidecar.now += rate_ns
    return hits / (length_ns / rate_ns)


def test_a_cold_endpoint_gets_no_more_than_its_share() -> None:
    """Above the limit it would collapse. With a quarter of its capacity, it may get 2.5 times that share."""
    fair = 1 / 5
    got = share_of_cold_endpoints([listed(n) for n in range(1, 6)], {5}, 5 * MS)
    assert got < 2.5 * 0.5 * fair


def test_a_restarted_zone_does_not_get_all_local_traffic() -> None:
    rows = [listed(n, zone=n % 2) for n in range(1, 9)]
    got = share_of_cold_endpoints(rows, {2, 4, 6, 8}, 5 * MS)
    assert got < 0.5


def test_the_cold_budget_holds_where_the_draw_prefers_the_cold_endpoint() -> None:
    """Next to slow warm endpoints, a new one looks best and would get enough work to collapse."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(100)
    sidecar.roster([listed(2, started_ns=sidecar.now)])
    chosen = []
    for _ in range(300):
        sidecar.balancer.endpoints[1].slowdown, sidecar.balancer.endpoints[1].slowdown_at = 10.0, sidecar.now
        for send in sends(sidecar.request()):
            chosen.append(send.endpoint)
            sidecar.now += 5 * MS
            sidecar.outcome(send, latency_ns=5 * MS)
    # Without the cap, its share would be 0.25 / (0.25 + 0.1) = 0.7; the plan is 0.4 x 2.5 times a fair 0.2 to 0.3.
    assert share(chosen, 2) < 0.45


def capacity_share_after(answers: int, latency_ns: int, status: Status = Status.OK) -> float:
    """Return the estimated capacity share of endpoint 2, which has just started, after some answers of its own."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(100)
    sidecar.roster([listed(2, started_ns=sidecar.now)])
    while answers:
        for send in sends(sidecar.request()):
            if send.endpoint == 2:
                sidecar.outcome(send, status, latency_ns=latency_ns, finished=True)
                answers -= 1
            else:
                sidecar.outcome(send)
    sidecar.request()
    return sidecar.balancer.endpoints[2].capacity_share


def test_a_cold_endpoints_own_answers_open_its_whole_allowance_and_no_more() -> None:
    """Most endpoints of a replaced fleet answered well in time, and were idle while others had full queues."""
    assert capacity_share_after(12, 50 * MS) == pytest.approx(0.25 / WARM_UP_SHARE, rel=0.02)
    assert capacity_share_after(12, 400 * MS) == pytest.approx(0.25, rel=0.02)  # as slow as the guarantee allows
    assert capacity_share_after(12, 5 * MS, Status.ERROR) == pytest.approx(0.25, rel=0.02)  # failures prove nothing
    assert capacity_share_after(1, 5 * MS) < 0.36  # one quick answer may be a light request


def test_what_is_sent_and_not_answered_does_not_raise_the_cold_budget() -> None:
    """In an overload, a share of the sent work would be more than a new endpoint can process."""
    shares = []
    for unanswered in (0, 3):  # per answered request
        sidecar = Sidecar([listed(n) for n in range(1, 5)])
        sidecar.serve(200, latency_ns=10 * MS)
        sidecar.roster([listed(4, started_ns=sidecar.now)])
        for n in range(60 * unanswered):
            req = sidecar.balancer.pending.setdefault(-n, _pending(sidecar))
            sidecar.balancer._send(req, sidecar.balancer.endpoints[1], 10e6)
            sidecar.balancer.endpoints[1].open_attempts.clear()
        sidecar.balancer.endpoints[4].capacity_share = 0.25
        odds = [1.0, 1.0, 1.0, 9.0]
        sidecar.balancer._cap_warming_endpoints(list(sidecar.balancer.endpoints.values()), odds)
        assert sum(odds) == pytest.approx(12.0)
        shares.append(odds[3] / 12)
    assert shares[1] < 0.75 * shares[0]


def test_a_fleet_that_is_completely_cold_is_not_sent_all_requests() -> None:
    """A cap on the share of the draws has no effect if all endpoints are capped."""
    sidecar = Sidecar([listed(n) for n in range(1, 5)])
    sidecar.serve(100)
    sidecar.roster([listed(n, started_ns=sidecar.now) for n in range(1, 5)])
    for e in sidecar.balancer.endpoints.values():
        e.capacity_share = 0.25
    odds = [1.0, 1.0, 1.0, 1.0]
    nowhere = sidecar.balancer._cap_warming_endpoints(list(sidecar.balancer.endpoints.values()), odds)
    assert nowhere + sum(odds) == pytest.approx(4.0)
    assert nowhere >= 0


def test_sidecars_that_send_little_use_a_cold_endpoint_too() -> None:
    """With an allowance of less than one request per window, new endpoints would be idle until warmed up."""
    hits = 0
    for seed in range(300):
        sidecar = Sidecar([listed(n) for n in range(10)], seed=seed)
        sidecar.serve(5, latency_ns=300 * MS)
        sidecar.roster([listed(9, started_ns=sidecar.now)])
        sidecar.now += SECOND
        hits += sidecar.serve(3, latency_ns=300 * MS).count(9)
    # Uniform draws would give 90; with a quarter of its capacity, and rising, it should get some 20.
    assert 8 < hits < 45


def test_an_overdue_attempt_counts_as_a_sample() -> None:
    sidecar = Sidecar([listed(1)])
    sidecar.serve(30)
    sidecar.request(cls=2)
    expected_ns = sidecar.balancer.mean_latency_ns[2]
    sidecar.balancer.now += int(8 * expected_ns)
    assert sidecar.balancer._slowdown(sidecar.balancer.endpoints[1]) == pytest.approx(8, rel=0.01)


# Other settings


def test_discovery_by_asking_subscribes_and_asks_again_after_a_failure() -> None:
    balancer = Balancer(settings(discovery="ask"), 1)
    assert api.Watch(True) in balancer.handle(SECOND, api.Roster(1, RosterForm.CACHED, (listed(1),)))
    [timer] = timers(balancer.handle(2 * SECOND, api.Roster(1, RosterForm.FAILED)))
    assert timer.delay_ns < 10 * SECOND
    again = balancer.handle(2 * SECOND + timer.delay_ns, api.Timer(timer.token))
    assert again == [api.Watch(True)]
    assert set(balancer.endpoints) == {1}


def test_pulled_reports_are_asked_for_only_where_probes_are_allowed() -> None:
    for allowed in (True, False):
        balancer = Balancer(settings(allowed__probes=allowed, report__how="pull"), 1)
        started = timers(balancer.handle(SECOND, api.Roster(1, RosterForm.CACHED, (listed(1),))))
        assert len(started) == allowed
        for timer in started:
            actions = balancer.handle(SECOND + timer.delay_ns, api.Timer(timer.token))
            assert api.Probe(1) in actions
            balancer.handle(2 * SECOND, api.ProbeResult(1, Status.OK, MS, (6.0,)))
            assert balancer.endpoints[1].queue == 6.0


def test_no_resend_and_no_cancel_once_a_stream_has_begun() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    actions = sidecar.request()
    [send] = sends(actions)
    sidecar.balancer.handle(sidecar.now, api.FirstByte(send.request, send.endpoint, MS, 0))
    for timer in timers(actions):
        sidecar.now += timer.delay_ns
        assert sidecar.balancer.handle(sidecar.now, api.Timer(timer.token)) == []


@pytest.mark.parametrize("hint", [0, 1, 2**64 - 1])
def test_hostile_but_legal_values_do_not_raise(hint: int) -> None:
    sidecar = Sidecar([listed(1, weight=0.0), listed(2, weight=float("inf")), listed(3, weight=-1.0)])
    for left in (0, 1, 2**63):
        for send in sends(sidecar.request(left_ns=left, hint_ns=hint, key=2**64 - 1)):
            sidecar.outcome(send, load=(float("nan"),), latency_ns=0)
    sidecar.now += 10**17
    sidecar.request(hint_ns=hint)


# Log lines described in docs/on-call.md


def test_failures_are_logged_at_a_limited_rate() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    lines: list[str] = []
    for _ in range(200):
        sidecar._last += 1
        actions = sidecar.balancer.handle(sidecar.now, api.Request(sidecar._last, 2, 2 * SECOND))
        for send in sends(actions):
            event = api.Outcome(send.request, send.endpoint, 0, MS, Status.ERROR, False)
            actions += sidecar.balancer.handle(sidecar.now, event)
        lines += [a.text for a in actions if isinstance(a, api.Log)]
        sidecar.now += 20 * MS
    assert 1 <= len(lines) <= 3
    assert lines[0].startswith("failing: endpoint ")


def test_each_topic_of_the_log_is_on_the_on_call_page() -> None:
    page = (ROOT / "docs/on-call.md").read_text()
    topics = {
        str(node.args[0].value)
        for path in POLICY
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
        and getattr(node.func, "attr", "") == "_log"
        and isinstance(node.args[0], ast.Constant)
    }
    assert len(topics) >= 4
    for topic in topics:
        assert f"`{topic}:`" in page, topic


# Determinism and size


def play(seed: int) -> list[api.Action]:
    rng = random.Random(seed)
    sidecar = Sidecar([listed(n * 101, zone=n % 2) for n in range(1, 8)], seed=seed)
    log: list[Any] = []
    for _ in range(300):
        actions = sidecar.request(rng.randrange(3), key=rng.randrange(1 << 60))
        log += actions
        sidecar.now += rng.randrange(40) * MS
        for send in sends(actions):
            log += sidecar.outcome(send, rng.choice((Status.OK, Status.OK, Status.ERROR)))
    return log


def test_same_events_same_actions_whatever_the_hash_seed() -> None:
    code = "from tests.balancer.test_logic import play; print(hash(tuple(map(repr, play(3)))) and play(3))"
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("0", "1", "77")
    }
    assert len(outputs) == 1
    assert outputs == {(repr(play(3)) + "\n").encode()}


def test_two_modules_in_one_process_do_not_touch_each_other() -> None:
    alone = play(5)
    sidecar = Sidecar([listed(1)])
    sidecar.serve(10)
    assert play(5) == alone


def test_state_stays_bounded() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    for n in range(3000):
        todo, attempt = sidecar.request(key=n), 0
        while todo:
            action = todo.pop(0)
            if isinstance(action, api.SetTimer):
                todo += sidecar.balancer.handle(sidecar.now, api.Timer(action.token))
            elif isinstance(action, api.Send):
                todo += sidecar.outcome(action, Status.OK if n % 5 else Status.RESET, attempt=attempt)
                attempt += 1
        sidecar.now += 10 * MS
        sidecar.roster([listed(1000 + n), listed(1000 + n - 5, state=EndpointState.GONE)])
    assert len(sidecar.balancer.endpoints) < 20
    assert len(sidecar.balancer.pending) < 20
    assert len(sidecar.balancer.timers) < 50


def test_a_whole_fleet_cold_at_once_costs_one_pass_a_request() -> None:
    """A fleet enlarged fivefold mostly warms up: the work per request must be linear in its size."""

    def calls(size: int) -> int:
        sidecar = Sidecar([listed(n, started_ns=100 * SECOND) for n in range(size)])
        seen = 0

        def count(frame: Any, event: str, arg: Any) -> None:
            nonlocal seen
            seen += 1

        sys.setprofile(count)
        try:
            for _ in range(20):
                sidecar.request()
        finally:
            sys.setprofile(None)
        return seen

    assert calls(400) < 6 * calls(100)


def test_hundreds_of_endpoints() -> None:
    sidecar = Sidecar([listed(n) for n in range(500)])
    assert len(sidecar.serve(50)) == 50


def test_a_flooding_tenant_is_refused_before_those_within_their_share() -> None:
    """A flood from one tenant must not use up the capacity of the others."""
    tenants = [{"share": 0.5, "quota-per-s": 9.0}, {"share": 0.5, "quota-per-s": 9.0}]
    sidecar = Sidecar([listed(1), listed(2)], tenants=tenants, over_share_worth=0.1)
    rng, waiting = random.Random(2), []
    offered, refused = [0, 0], [0, 0]
    for _ in range(3000):
        tenant = int(rng.random() < 0.2)  # tenant 0 sends four times as many requests as tenant 1
        actions = sidecar.request(tenant=tenant)
        offered[tenant] += 1
        refused[tenant] += bool(finals(actions))
        waiting += sends(actions)
        sidecar.now += 10 * MS
        if len(waiting) > 3 and rng.random() < 0.4:  # far fewer answers than requests
            sidecar.outcome(waiting.pop(0), latency_ns=300 * MS)
    assert refused[0] / offered[0] > 1.2 * refused[1] / offered[1]


# Many sidecars


def test_an_endpoint_without_samples_gets_its_kinds_mean() -> None:
    """In a large fleet most endpoints have no samples, and slow kinds were chosen as often as fast ones."""
    fast = [listed(n, kind=0) for n in range(20)]
    slow = [listed(n, kind=1) for n in range(20, 40)]
    sidecar = Sidecar([*fast, *slow], seed=3)
    for _ in range(60):
        for send in sends(sidecar.request()):
            latency = 50 * MS if send.endpoint < 20 else 200 * MS
            sidecar.now += latency
            sidecar.outcome(send, latency_ns=latency)
    sidecar.roster([listed(98, kind=0), listed(99, kind=1)])
    fresh_fast, fresh_slow = sidecar.balancer.endpoints[98], sidecar.balancer.endpoints[99]
    assert sidecar.balancer._slowdown(fresh_slow) > 1.5 * sidecar.balancer._slowdown(fresh_fast)


def test_a_sidecar_that_sends_little_keeps_to_few_endpoints_and_a_busy_one_does_not() -> None:
    """Connections from hundreds of sidecars to every endpoint would fill the endpoints' connection tables."""
    rows = [listed(n) for n in range(200)]
    quiet = Sidecar(rows)
    assert len(set(quiet.serve(300, latency_ns=900 * MS))) <= 20
    busy = Sidecar(rows)
    assert len(set(busy.serve(3000, latency_ns=5 * MS))) > 150


def test_sidecars_keep_to_different_endpoints() -> None:
    rows, used = [listed(n) for n in range(60)], dict.fromkeys(range(60), 0)
    for seed in range(300):
        for n in set(Sidecar(rows, seed=seed).serve(40, latency_ns=SECOND)):
            used[n] += 1
    assert max(used.values()) < 2.5 * min(used.values())


def test_a_sidecar_whose_usual_endpoints_are_all_gone_uses_others() -> None:
    sidecar = Sidecar([listed(n) for n in range(60)])
    few = set(sidecar.serve(60, latency_ns=SECOND))
    sidecar.roster([listed(n, state=EndpointState.DRAINING) for n in few])
    assert sends(sidecar.request())[0].endpoint not in few


def test_a_small_sidecar_refuses_by_latency_and_recovers() -> None:
    """At one request per second, the limit of open requests is never reached."""
    sidecar = Sidecar([listed(n) for n in range(4)])
    for _ in range(20):
        for send in sends(sidecar.request()):
            sidecar.outcome(send, Status.TIMEOUT, latency_ns=700 * MS, finished=True)
        sidecar.now += SECOND
    refused = sum(bool(finals(sidecar.request())) for _ in range(200))
    assert 100 < refused < 200
    sidecar.now += 60 * SECOND
    for send in sends(sidecar.request()):
        sidecar.outcome(send)
    assert not finals(sidecar.request())


def test_one_bad_endpoint_among_others_is_no_overload() -> None:
    sidecar, refused = Sidecar([listed(n) for n in range(8)]), 0
    for _ in range(400):
        actions = sidecar.request()
        refused += len(finals(actions))
        for send in sends(actions):
            bad = send.endpoint == 0
            sidecar.now += 100 * MS
            sidecar.outcome(
                send, Status.TIMEOUT if bad else Status.OK, latency_ns=700 * MS if bad else 60 * MS, finished=True
            )
    assert refused < 8


def test_idle_answers_near_the_target_are_no_overload() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(60, latency_ns=600 * MS)
    assert sum(len(finals(sidecar.request())) for _ in range(3)) == 0


def cross_zone_and_refused(far_latency_ns: int) -> tuple[int, int]:
    """Return the requests sent to the other zone, and those refused, if local answers take 90% of the target."""
    sidecar = Sidecar([listed(n, zone=n % 2) for n in range(8)], prices__cross_zone=0.22)
    sidecar.serve(100)  # response times of an idle fleet
    crossed = refused = 0
    for _ in range(400):
        actions = sidecar.request()
        refused += len(finals(actions))
        sidecar.now += 20 * MS
        for send in sends(actions):
            far = send.endpoint % 2 == 1
            crossed += far
            sidecar.outcome(send, latency_ns=far_latency_ns if far else 630 * MS)
    return crossed, refused


def test_requests_refused_by_local_latency_cross_to_a_faster_zone() -> None:
    """One zone refused half of its requests while another one was idle."""
    crossed, refused = cross_zone_and_refused(far_latency_ns=50 * MS)
    assert crossed > 100 and refused < 40
    _, refused = cross_zone_and_refused(far_latency_ns=650 * MS)
    assert refused > 100  # no zone is faster: crossing has no benefit


def peer_messages(actions: list[api.Action]) -> list[api.Tell]:
    return [a for a in actions if isinstance(a, api.Tell)]


def test_peers_are_notified_rarely_and_only_where_messages_are_allowed() -> None:
    silent, peer = Sidecar([listed(1)]), Sidecar([listed(1)], allowed__peers=True, fleet_size=5, self_index=2)
    sent = []
    for _ in range(50):
        for send in sends(silent.request()):
            assert not peer_messages(silent.outcome(send))
        for send in sends(peer.request()):
            peer.now += 70 * MS
            sent += peer_messages(peer.outcome(send))
    full = [t for t in sent if t.observations]
    assert 3 <= len(full) <= 6
    assert len(sent) == 4 * len(full)
    assert {t.peer for t in sent} <= {0, 1, 3, 4}


def test_a_peers_newer_observation_counts_and_an_older_one_does_not() -> None:
    sidecar = Sidecar([listed(1), listed(2, started_ns=99 * SECOND)], allowed__peers=True)
    sidecar.serve(20)
    at = sidecar.balancer.endpoints[1].slowdown_at
    sidecar.now += SECOND
    old = api.EndpointObservation(1, 9.0, 9.0, sidecar.now - at + MS)
    before_start = api.EndpointObservation(2, 9.0, 9.0, 5 * SECOND)
    sidecar.balancer.handle(sidecar.now, api.PeerMessage(1, 0.0, (old, before_start)))
    assert sidecar.balancer.endpoints[1].slowdown < 5 > sidecar.balancer.endpoints[2].slowdown
    sidecar.balancer.handle(sidecar.now, api.PeerMessage(1, 0.0, (api.EndpointObservation(1, 9.0, 9.0, 0),)))
    assert sidecar.balancer.endpoints[1].slowdown == 9.0 == sidecar.balancer.endpoints[1].queue


def test_a_popular_key_has_the_same_affinity_in_small_and_large_fleets() -> None:
    """With fixed odds, the preferred endpoint would get a third of a fleet of 10, and a twelfth of one of 73."""
    for size in (10, 80):
        sidecar = Sidecar([listed(n) for n in range(size)], family_info__warm_keys=True)
        counts: dict[int, int] = {}
        for _ in range(400):
            for send in sends(sidecar.request(key=77)):
                counts[send.endpoint] = counts.get(send.endpoint, 0) + 1
                sidecar.now += 10 * MS
                sidecar.outcome(send, latency_ns=10 * MS)
        assert 100 < max(counts.values()) < 250
