"""Legal but hostile values neither raise exceptions nor break a rule; other kinds of settings work."""

from __future__ import annotations

import pytest

from otterreach.balancer import interface as api
from otterreach.balancer.interface import RosterForm, Settings, Status
from tests.balancer.support import MS, SECOND, Sidecar, finals, listed, raw_settings, sends, timers
from tests.balancer.test_rules import World


@pytest.mark.parametrize("size", [0, 1, 300])
def test_fleets_of_any_size(size: int) -> None:
    sidecar = Sidecar([listed(n, started_ns=n % 3 * 99 * SECOND) for n in range(size)])
    for _ in range(30):
        for send in sends(sidecar.request()):
            sidecar.outcome(send, Status.RESET)
        sidecar.now += 20 * MS


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, 0.0, 3e38])
def test_load_reports_with_any_values(value: float) -> None:
    sidecar = Sidecar([listed(1), listed(2)], report__columns=["latency_ms", "queue", "inflight", "qps"])
    for _ in range(50):
        for send in sends(sidecar.request()):
            sidecar.now += 10 * MS
            sidecar.outcome(send, load=(value,) * 4)
    assert set(sidecar.serve(40)) == {1, 2}


def test_no_time_left_is_answered_at_once() -> None:
    sidecar = Sidecar([listed(1)])
    assert len(finals(sidecar.request(left_ns=0))) == 1


def test_a_start_time_in_the_future_gets_the_least_capacity() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(50)
    sidecar.roster([listed(3, started_ns=sidecar.now + 60 * SECOND)])
    assert sidecar.serve(100).count(3) < 30


def test_a_fleet_that_failed_completely_is_used_again_after_its_recovery() -> None:
    sidecar = Sidecar([listed(1), listed(2), listed(3)])
    for _ in range(200):
        for send in sends(sidecar.request(cls=2)):
            sidecar.outcome(send, Status.ERROR)
        sidecar.now += 20 * MS
    assert len(sidecar.serve(50)) == 50


def test_a_sidecar_that_sends_little_tries_a_failed_endpoint_again() -> None:
    """At one request in two seconds samples are rare: a bad one must not exclude an endpoint permanently."""
    sidecar = Sidecar([listed(1), listed(2), listed(3)])
    for _ in range(6):
        for send in sends(sidecar.request(cls=2)):
            sidecar.outcome(send, Status.ERROR if send.endpoint == 1 else Status.OK)
        sidecar.now += 50 * MS
    chosen = []
    for _ in range(60):
        sidecar.now += 2 * SECOND
        chosen += sidecar.serve(1)
    assert chosen.count(1) > 8


def test_old_reports_decay_and_do_not_cause_herding() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(40)
    for e, queue in zip(sidecar.balancer.endpoints.values(), (0.0, 40.0), strict=True):
        e.queue, e.queue_at, e.slowdown, e.slowdown_at = queue, sidecar.now, 1.0, sidecar.now
    sidecar.balancer.mean_queue = 20.0
    idle, busy = sidecar.balancer.endpoints.values()
    assert sidecar.balancer._load(busy) > 39 > 1 > sidecar.balancer._load(idle)
    sidecar.balancer.now += 20 * SECOND
    assert sidecar.balancer._load(busy) / sidecar.balancer._load(idle) < 1.2


def test_a_streaming_class_runs_to_the_clients_limit() -> None:
    raw = raw_settings()
    raw["request-classes"][0]["stream"] = True
    sidecar = Sidecar([listed(1)])
    sidecar.balancer = type(sidecar.balancer)(Settings.from_dict(raw), 1)
    sidecar.roster([listed(1)], RosterForm.CACHED)
    assert sends(sidecar.request())[0].timeout_ns == 0


def test_waiting_for_a_stalled_endpoint_is_bounded_and_cheap() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(20)
    pending = []
    for _ in range(400):
        pending += timers(sidecar.request(cls=2))
        sidecar.now += MS
    assert len(pending) < 500
    assert len(sidecar.balancer.pending) < 400


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_with_asked_discovery_and_silent_reports(seed: int) -> None:
    raw = raw_settings(discovery="ask", report__how="silent", report__columns=[], allowed__cancel=False)
    checker = World(seed, api.Settings.from_dict(raw), 10 * SECOND).run()
    assert checker.requests


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, 0.0, 3e38])
def test_peer_messages_with_any_values(value: float) -> None:
    """Messages of peers are not trusted: their values may be anything."""
    sidecar = Sidecar([listed(1), listed(2)], allowed__peers=True)
    seen = (api.EndpointObservation(1, value, value, -(10**18)), api.EndpointObservation(7, value, value, 10**18))
    for _ in range(50):
        sidecar.balancer.handle(sidecar.now, api.PeerMessage(1, value, seen))
        for send in sends(sidecar.request()):
            sidecar.now += 10 * MS
            sidecar.outcome(send)
    overloaded = value in (float("inf"), 3e38)
    assert overloaded or len(sidecar.serve(40)) == 40
