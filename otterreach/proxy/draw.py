"""Server selection by a weighted random draw.

The expected response time of server i is w_i = (L_i + 1) * x_i; a server is drawn with a probability proportional to
1 / w_i. L_i is the load that the server last reported (Server-Load) plus the requests sent to it since. Without a
report it is the number of this proxy's requests in flight times the number of proxies, because all proxies draw by the
same rule. x_i is a moving average of response times, relative to the typical time of the request's route. A failure
enters x_i as a response time equal to the time-out, a rejection as a few typical times. Without new samples x_i decays
towards the mean of the other servers. The cost of opening a connection is added as response time.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp2
from random import Random

from otterreach.balancer.draw import weighted_choice
from otterreach.proxy.policy import PRODUCTION_POLICY, Policy

ALPHA = 0.3  # weight of a new response time; a short memory, since the published algorithm uses a single sample
FAIL_ALPHA = 0.5  # weight of a failure or a rejection
TYPICAL_TIME_ALPHA = 0.05  # averages a route's typical time over about 20 answers
MAX_SAMPLE = 50.0  # upper bound of a sample, in typical times: one stall must not starve a server permanently
MIN_SAMPLE = 0.02  # lower bound of a sample: no server is faster than the others by a larger factor
REJECTION_SAMPLE = 15.0  # the sample of a rejection, in typical times
HALF_LIFE_S = 2.0  # time in which an estimate without new samples decays half way to the mean
REJECTION_HALF_LIFE_S = 0.7  # half-life after a rejection: the server is up and has free capacity again soon
REJECTION_MEMORY_S = 1.0  # time for which a server that has rejected a request counts as full
SPARE_LOAD_SHARE = 0.5  # load below which a server has spare capacity, as a share of its slots
MAX_LOAD_AGE_S = 1.5  # a reported load that is older is ignored
NEW_CONNECTION_FACTOR = 3.0  # minimum factor by which opening a connection raises the expected response time
NEW_CONNECTION_SHARE = 0.1  # upper bound of the total probability of the servers without an idle connection


class Estimate:
    """The estimated speed and load of one incarnation of a server."""

    __slots__ = (
        "half_life_s",
        "in_flight",
        "load",
        "load_at",
        "rejected_at",
        "sent_since_report",
        "slowness",
        "updated_at",
    )

    def __init__(self) -> None:
        self.slowness = 0.0  # response time divided by the route's typical time; 0: no sample yet
        self.updated_at = 0.0
        self.half_life_s = HALF_LIFE_S  # of the decay towards the mean
        self.in_flight = 0  # requests of this proxy
        self.load = 0  # last reported by the server
        self.load_at = -1e9
        self.rejected_at = -1e9
        self.sent_since_report = 0  # requests sent minus requests ended by this proxy since the last report

    @property
    def is_known(self) -> bool:
        """True once a sample has been recorded."""
        return self.slowness > 0

    def record_sent(self) -> None:
        """Count a request that is sent to the server."""
        self.in_flight += 1
        self.sent_since_report += 1

    def record_ended(self) -> None:
        """Count the end of a request, whatever its outcome."""
        self.in_flight -= 1
        self.sent_since_report -= 1

    def record_reported_load(self, value: bytes | None, now: float) -> None:
        """Record the value of a Server-Load header (running, waiting, slots); a malformed value is ignored."""
        if not value:
            return
        parts = value.split(b",")
        if len(parts) >= 2 and all(part.strip().isdigit() for part in parts[:2]):
            self.load = int(parts[0]) + int(parts[1])
            self.load_at = now
            self.sent_since_report = 0

    def load_now(self, now: float, proxies: int) -> float:
        """Return L_i: the reported load plus requests sent since, or without a report, own requests times proxies."""
        if now - self.load_at < MAX_LOAD_AGE_S:
            return max(self.in_flight, self.load + self.sent_since_report)
        return self.in_flight * proxies

    def has_spare_capacity(self, slots: int, now: float) -> bool:
        """Return True if the last report shows spare capacity and the server has rejected nothing recently.

        Without a report, the requests in flight of this proxy stand in for the load.
        """
        is_rejecting = now - self.rejected_at < REJECTION_MEMORY_S
        return not is_rejecting and self.load_now(now, 1) < slots * SPARE_LOAD_SHARE


class Draw:
    """Updates estimates and draws servers by them. `proxies` is the number of proxies, including this one."""

    def __init__(self, random: Random, policy: Policy = PRODUCTION_POLICY) -> None:
        self.random = random
        self.policy = policy
        self.proxies = 1
        self._typical_s: dict[str, float] = {}  # route -> seconds

    def record_response(self, estimate: Estimate, route: str, seconds: float, now: float) -> None:
        """Add the response time of a successful request."""
        typical_s = self._typical_s.get(route)
        self._typical_s[route] = (
            seconds if typical_s is None else typical_s + TYPICAL_TIME_ALPHA * (seconds - typical_s)
        )
        self._add_sample(estimate, seconds / max(typical_s or seconds, 1e-6), ALPHA, now)

    def record_failure(self, estimate: Estimate, route: str, timeout_s: float, now: float) -> None:
        """Add a time-out, a failed connection or a reset as a response time equal to the time-out."""
        typical_s = self._typical_s.get(route, timeout_s / MAX_SAMPLE)
        self._add_sample(estimate, timeout_s / max(typical_s, 1e-6), FAIL_ALPHA, now)

    def record_rejection(self, estimate: Estimate, now: float) -> None:
        """Add a request that the server rejected without executing it."""
        self._add_sample(estimate, REJECTION_SAMPLE, FAIL_ALPHA, now)
        estimate.half_life_s = REJECTION_HALF_LIFE_S
        estimate.rejected_at = now

    def _add_sample(self, estimate: Estimate, sample: float, alpha: float, now: float) -> None:
        sample = min(MAX_SAMPLE, max(MIN_SAMPLE, sample))
        old = estimate.slowness if estimate.is_known else 1.0 if alpha == FAIL_ALPHA else sample
        estimate.slowness = old + alpha * (sample - old)
        estimate.updated_at = now
        estimate.half_life_s = HALF_LIFE_S

    def expected_times(self, estimates: Sequence[Estimate], now: float, proxies: int = 0) -> list[float]:
        """Return w_i of each server; one without samples takes the mean x of the others and its own load.

        :param proxies: number of proxies that send to these servers; 0: all proxies
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
        """Draw a server and return its index in `estimates`, which must not be empty.

        :param without_idle: for each server, True if this proxy has no idle connection to it
        """
        odds = [1 / w for w in self.expected_times(estimates, now, proxies)]
        if self.policy.prefer_idle_connections and any(without_idle) and not all(without_idle):
            new = sum(without_idle)
            penalty = max(NEW_CONNECTION_FACTOR, new / (NEW_CONNECTION_SHARE * (len(odds) - new)))
            odds = [share / penalty if without else share for share, without in zip(odds, without_idle, strict=True)]
        return weighted_choice(self.random, odds)

    def choose(self, weights: Sequence[float]) -> int:
        """Return an index drawn by weight; selects the service of a split route."""
        return weighted_choice(self.random, weights)
