"""Property test of the four rules (see checker.py) on random sequences of legal events."""

from __future__ import annotations

import random
from heapq import heappop, heappush
from itertools import count
from typing import Any

from hypothesis import HealthCheck, given, settings, strategies

from otterreach.balancer import interface as api
from otterreach.balancer.interface import EndpointState, Status
from otterreach.balancer.logic import Balancer
from tests.balancer.checker import Checker
from tests.balancer.support import MS, SECOND, raw_settings

TICK = 5 * MS
STATUSES = list(Status)


class World:
    """Simulation of a balancer's environment with random legal events: requests, outcomes, rosters, peers, timers."""

    def __init__(self, seed: int, cfg: api.Settings, length_ns: int) -> None:
        self.rng = random.Random(seed)
        self.cfg = cfg
        self.checker = Checker(cfg)
        self.balancer = Balancer(cfg, seed)
        self.now = self.rng.choice((10 * SECOND, 10**15))
        self.end = self.now + length_ns
        self.order = count()
        self.queue: list[tuple[int, int, str, Any]] = []
        self.ids = count(1)
        self.in_flight: dict[tuple[int, int], api.Send] = {}
        self.failure_mode = self.rng.choice(("calm", "errors", "silent", "mixed"))

    def schedule(self, when: int, kind: str, data: Any = None) -> None:
        heappush(self.queue, (-(-when // TICK) * TICK, next(self.order), kind, data))

    def run(self) -> Checker:
        self.handle(api.Roster(1, api.RosterForm.CACHED, tuple(self.random_rows())))
        self.schedule(self.now + TICK, "arrive")
        self.schedule(self.now + SECOND, "roster")
        self.schedule(self.now + SECOND, "peer")
        while self.queue:
            when, _, kind, data = heappop(self.queue)
            if when > self.end + 10 * SECOND and not self.in_flight and kind == "timer":
                break
            self.now = max(self.now, when)
            self.checker.check_deadlines(self.now)
            getattr(self, "do_" + kind)(data)
        self.checker.check_deadlines(self.now + 60 * SECOND)
        assert not self.balancer.pending, "state kept for finished requests"
        assert not self.balancer.queued_by_key, "state kept for idle keys"
        return self.checker

    def random_rows(self) -> list[api.Listed]:
        rng = self.rng
        started = (0, self.now, self.now - SECOND)
        return [
            api.Listed(
                n * 7919,
                rng.choice((0.0, 1.0, 4.0)),
                n % 3,
                rng.randrange(2),
                n % 2,
                rng.choice((0, 1, 1, 1, 2)),
                rng.choice(started),
            )
            for n in rng.sample(range(1, 9), rng.randrange(0, 8))
        ]

    def handle(self, event: api.Event) -> None:
        self.checker.on_event(self.now, event)
        actions = self.balancer.handle(self.now, event)
        self.checker.on_actions(self.now, actions)
        for action in actions:
            if isinstance(action, api.Send):
                self.on_send(action)
            elif isinstance(action, api.SetTimer):
                self.schedule(self.now + max(action.delay_ns, TICK), "timer", action.token)
            elif isinstance(action, api.Cancel):
                self.schedule(self.now + TICK, "cancelled", (action.request, action.attempt))

    def on_send(self, send: api.Send) -> None:
        state = self.checker.requests[send.request]
        attempt = len(state.attempts) - 1
        self.in_flight[send.request, attempt] = send
        limit = min(self.now + send.timeout_ns, state.due) if send.timeout_ns else state.due
        self.schedule(limit, "outcome", (send.request, attempt, Status.TIMEOUT))
        status = self.random_status()
        if status is not None:
            wait = self.rng.choice((1, 30, 200, 900)) * MS
            if self.now + wait < limit:
                self.schedule(self.now + wait, "outcome", (send.request, attempt, status))

    def random_status(self) -> Status | None:
        if self.failure_mode == "calm":
            return Status.OK
        if self.failure_mode == "silent":
            return None
        weights = (5, 1, 2, 0, 2, 2, 0, 0) if self.failure_mode == "errors" else (2, 4, 1, 0, 1, 1, 0, 0)
        return self.rng.choices(STATUSES, weights)[0]

    def do_arrive(self, _: Any) -> None:
        if self.now >= self.end:
            return
        rng = self.rng
        left = rng.choice((0, TICK, 300 * MS, 2 * SECOND))
        hint = rng.choice((None, 0, 30 * MS, 2**63))
        cls = rng.randrange(len(self.cfg.classes))
        request = api.Request(next(self.ids), cls, left, hint, rng.choice((0, 5, 2**64 - 1)))
        self.schedule(self.now + rng.choice((TICK, 20 * MS, 400 * MS)), "arrive")
        self.handle(request)
        state = self.checker.requests[request.request]
        if rng.random() < 0.1:
            self.schedule(self.now + 50 * MS, "leave", request.request)
        self.schedule(state.due + TICK, "deadline", request.request)

    def do_leave(self, request: int) -> None:
        if not self.checker.requests[request].answered:
            self.handle(api.ClientGone(request))

    def do_deadline(self, request: int) -> None:
        state = self.checker.requests[request]
        assert state.answered or any(c.open for c in state.attempts), (
            "rule 1: neither answered nor in flight at its deadline"
        )

    def do_cancelled(self, attempt: tuple[int, int]) -> None:
        self.do_outcome((*attempt, Status.CANCELLED))

    def do_outcome(self, data: tuple[int, int, Status]) -> None:
        request, attempt, status = data
        send = self.in_flight.pop((request, attempt), None)
        if send is None:
            return
        finished = self.checker.requests[request].answered or status is Status.OK
        latency = self.now - self.checker.requests[request].attempts[attempt].sent
        load = self.rng.choice(((), (0.0,), (9.0,), (float("nan"),), (float("inf"),), (-1.0,)))
        self.handle(api.Outcome(request, send.endpoint, attempt, latency, status, finished, load))

    def do_roster(self, _: Any) -> None:
        form = self.rng.choice((api.RosterForm.DELTA, api.RosterForm.FULL, api.RosterForm.FAILED))
        rows = () if form is api.RosterForm.FAILED else tuple(self.random_rows())
        if form is not api.RosterForm.DELTA:
            rows = tuple(row for row in rows if row.state != EndpointState.GONE)
        if self.now < self.end:
            self.schedule(self.now + self.rng.choice((TICK, SECOND)), "roster")
        self.handle(api.Roster(2, form, rows))

    def do_peer(self, _: Any) -> None:
        rng = self.rng
        slow, queue = rng.choice((0.1, 1.0, 50.0)), rng.choice((0.0, 9.0))
        seen = [api.EndpointObservation(n * 7919, slow, queue, rng.randrange(SECOND)) for n in range(1, 9)]
        if self.now < self.end and self.cfg.may_message:
            self.schedule(self.now + rng.choice((TICK, SECOND)), "peer")
            self.handle(api.PeerMessage(1, rng.random(), tuple(seen)))

    def do_timer(self, token: int) -> None:
        self.handle(api.Timer(token))


@settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    seed=strategies.integers(0, 2**32),
    scope=strategies.sampled_from(["all", "zone", "cell"]),
    duplicate=strategies.booleans(),
    cancel=strategies.booleans(),
    cap=strategies.integers(1, 5),
    window=strategies.sampled_from([50 * MS, 400 * MS, 5 * SECOND]),
    late_worth=strategies.sampled_from([0.0, 0.3]),
    peers=strategies.booleans(),
    in_order=strategies.sampled_from([(), (2,), (0, 1, 2)]),
    settle=strategies.sampled_from([0, 100 * MS, SECOND]),
)
def test_the_rules_hold_on_any_legal_day(
    seed: int,
    scope: str,
    duplicate: bool,
    cancel: bool,
    cap: int,
    window: int,
    late_worth: float,
    peers: bool,
    in_order: tuple[int, ...],
    settle: int,
) -> None:
    raw = raw_settings(
        allowed__may_duplicate=duplicate,
        allowed__cancel=cancel,
        allowed__attempts_cap=cap,
        allowed__peers=peers,
        guarantees__order_settle_ns=settle,
    )
    raw["request-classes"][1].update({"dedup-scope": scope, "dedup-window-ns": window})
    for cls in raw["request-classes"]:
        cls["late-worth"] = late_worth
    for n in in_order:
        raw["request-classes"][n]["in-order"] = True
    checker = World(seed, api.Settings.from_dict(raw), 8 * SECOND).run()
    assert checker.requests
