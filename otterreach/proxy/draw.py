"""The design: which server a request goes to.

w_i = (L_i + 1) * x_i is the expected response time of server i, and one random draw with odds 1 / w_i picks. L_i is
what the server has told (Server-Load) and what has been sent since; where it tells nothing, the own requests in flight
times the proxies, for all proxies draw alike. x_i is a moving mean of response times over what the route's requests
usually take; failures enter it as if they had lasted the time-out, refusals as a few usual times, and what is old
drifts back to the mean of the others. What a new connection costs counts as response time too.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp2
from random import Random

from otterreach.balancer.draw import draw
from otterreach.proxy.policy import IN_SERVICE, Policy

ALPHA = 0.3  # weight of a new response time: the source finds one sample enough, so a short memory
FAIL_ALPHA = 0.5  # the same of a failure or a rejection
TYPICAL_TIME_ALPHA = 0.05  # a route's typical time moves over some 20 answers
MAX_SAMPLE = 50.0  # upper bound of one sample, in typical times: one stall must not starve a server for good
MIN_SAMPLE = 0.02  # lower bound: no server is that much faster than the others
REJECTION_SAMPLE = 15.0  # what a rejection counts as, in typical times
HALF_LIFE_S = 2.0  # an estimate without new samples has come half the way back to the mean by then
REJECTION_HALF_LIFE_S = 0.7  # the same after a rejection: the server is there, and has room again soon
REJECTION_MEMORY_S = 1.0  # a server that has rejected a request counts as full for so long
SPARE_LOAD_SHARE = 0.5  # of its slots: below it a server has room to spare
MAX_LOAD_AGE_S = 1.5  # a reported load is of no use when it is older
NEW_CONNECTION_FACTOR = 3.0  # a new connection counts as response time, at least by this factor ...
NEW_CONNECTION_SHARE = 0.1  # ... and by as much as leaves servers without an idle one so much of the odds together


class Estimate:
    """What is known of one server's speed and load. Ends with its incarnation."""

    __slots__ = ("half_life_s", "in_flight", "load", "load_at", "rejected_at", "sent_since", "slowness", "updated_at")

    def __init__(self) -> None:
        self.slowness = 0.0  # response time over the route's typical time; 0: none is known yet
        self.updated_at = 0.0
        self.half_life_s = HALF_LIFE_S  # half of what is learned is gone after it
        self.in_flight = 0  # own
        self.load = 0  # as the server last reported it
        self.load_at = -1e9
        self.rejected_at = -1e9
        self.sent_since = 0  # own sends less own ends since it was told

    @property
    def is_known(self) -> bool:
        """Whether there has been any response time."""
        return self.slowness > 0

    def record_sent(self) -> None:
        """A request has been sent."""
        self.in_flight += 1
        self.sent_since += 1

    def record_ended(self) -> None:
        """A request has ended, however."""
        self.in_flight -= 1
        self.sent_since -= 1

    def record_reported_load(self, value: bytes | None, now: float) -> None:
        """Server-Load: running, waiting and slots. What can't be read is as if it weren't there."""
        if not value:
            return
        parts = value.split(b",")
        if len(parts) >= 2 and all(part.strip().isdigit() for part in parts[:2]):
            self.load = int(parts[0]) + int(parts[1])
            self.load_at = now
            self.sent_since = 0

    def load_now(self, now: float, proxies: int) -> float:
        """L_i: the reported load and what was sent since; without a report, the own requests times the proxies."""
        if now - self.load_at < MAX_LOAD_AGE_S:
            return max(self.in_flight, self.load + self.sent_since)
        return self.in_flight * proxies

    def has_spare_room(self, slots: int, now: float) -> bool:
        """Whether the server surely isn't full, by its last report and rejections; without reports by own requests."""
        is_rejecting = now - self.rejected_at < REJECTION_MEMORY_S
        return not is_rejecting and self.load_now(now, 1) < slots * SPARE_LOAD_SHARE


class Draw:
    """The estimates' arithmetic and the draw. `proxies`: how many there are, this one included."""

    def __init__(self, random: Random, policy: Policy = IN_SERVICE) -> None:
        self.random = random
        self.policy = policy
        self.proxies = 1
        self._typical_s: dict[str, float] = {}  # route -> seconds

    def record_response(self, estimate: Estimate, route: str, seconds: float, now: float) -> None:
        """A response time."""
        typical_s = self._typical_s.get(route)
        self._typical_s[route] = (
            seconds if typical_s is None else typical_s + TYPICAL_TIME_ALPHA * (seconds - typical_s)
        )
        self._add_sample(estimate, seconds / max(typical_s or seconds, 1e-6), ALPHA, now)

    def record_failure(self, estimate: Estimate, route: str, timeout_s: float, now: float) -> None:
        """A time-out, a failed connection or a reset: as if it had lasted the time-out."""
        typical_s = self._typical_s.get(route, timeout_s / MAX_SAMPLE)
        self._add_sample(estimate, timeout_s / max(typical_s, 1e-6), FAIL_ALPHA, now)

    def record_rejection(self, estimate: Estimate, now: float) -> None:
        """Turned away before it ran."""
        self._add_sample(estimate, REJECTION_SAMPLE, FAIL_ALPHA, now)
        estimate.half_life_s = REJECTION_HALF_LIFE_S
        estimate.rejected_at = now

    def _add_sample(self, estimate: Estimate, sample: float, alpha: float, now: float) -> None:
        sample = min(MAX_SAMPLE, max(MIN_SAMPLE, sample))
        old = estimate.slowness if estimate.is_known else 1.0 if alpha == FAIL_ALPHA else sample
        estimate.slowness = old + alpha * (sample - old)
        estimate.updated_at = now
        estimate.half_life_s = HALF_LIFE_S

    def expected(self, estimates: Sequence[Estimate], now: float, proxies: int = 0) -> list[float]:
        """w_i of each; one that nothing is known of takes the mean x of the others, and its own load.

        `proxies`: that send there, if not all.
        """
        known = [e.slowness for e in estimates if e.is_known]
        mean = sum(known) / len(known) if known else 1.0
        proxies = proxies or self.proxies
        return [self._load(e, now, proxies) * self._slowness_now(e, mean, now) for e in estimates]

    def _load(self, estimate: Estimate, now: float, proxies: int) -> float:
        """L_i + 1."""
        return estimate.load_now(now, proxies) + 1 if self.policy.load_in_draw else 1.0

    def _slowness_now(self, estimate: Estimate, mean: float, now: float) -> float:
        if not estimate.is_known or not self.policy.response_time_in_draw:
            return mean
        return mean + (estimate.slowness - mean) * exp2((estimate.updated_at - now) / estimate.half_life_s)

    def pick(
        self, estimates: Sequence[Estimate], now: float, without_idle: Sequence[bool] = (), proxies: int = 0
    ) -> int:
        """The place of the one drawn; there must be one. `without_idle`: those with no idle connection at hand."""
        odds = [1 / w for w in self.expected(estimates, now, proxies)]
        if self.policy.prefer_idle_connections and any(without_idle) and not all(without_idle):
            new = sum(without_idle)
            dear = max(NEW_CONNECTION_FACTOR, new / (NEW_CONNECTION_SHARE * (len(odds) - new)))
            odds = [share / dear if without else share for share, without in zip(odds, without_idle, strict=True)]
        return draw(self.random, odds)

    def choose(self, weights: Sequence[float]) -> int:
        """The place of one, by weight: the services of a split route."""
        return draw(self.random, weights)
