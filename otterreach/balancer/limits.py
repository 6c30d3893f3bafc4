"""Load shedding on arrival: by response times, by the number of open requests, and by tenant share."""

from __future__ import annotations

from math import exp2, sqrt

import otterreach.balancer.interface as api
from otterreach.balancer.state import PendingRequest, Rate, State

TOLERATED_RATIO = 0.5  # ratio of response time to latency target above which requests are refused
IDLE_HEADROOM = 0.25  # part of the target left by an idle fleet's answers that is tolerated in addition
LATENCY_RATIO_ALPHA = 0.3  # smoothing factor of recent latency ratios: high, to follow an overload quickly
# Part of the remaining latency target over which the refusal probability rises to 1. Below 1, so that
# refusals reach their maximum well before all answers are late.
REFUSAL_RANGE = 0.6
MAX_REFUSED_SHARE = 0.95  # some requests are always sent, since the estimates need their answers
SPARE_REQUESTS = 4.0  # open requests that are always allowed: the decaying answer rate may miss as many
EXCESS_CAPACITY = 0.5  # part of the capacity that a tenant above its share may use
# Tolerated multiple of the rate at which a tenant, beside the present rates of all others, would have exactly
# its share of the requests: usage varies in normal operation, too.
SHARE_SLACK = 1.5
MAX_VOTES = 100  # bound of the majority vote for a class's typical client time-out
IDLE_DRIFT = 1e-4  # growth per answer of the minimum ratio: it doubles in some 7000 answers
MEAN_RATIO_ALPHA = 0.02  # smoothing factor of the mean latency ratio: averages some 50 answers


class Limits(State):
    """Refusal of requests before their first attempt."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        classes = settings.classes
        # Late answers that still have a value justify longer response times.
        late_value = min(request_class.late_value for request_class in classes)
        self.tolerated_ratio = TOLERATED_RATIO + (1 - TOLERATED_RATIO) * late_value
        self.typical_left_ns = [(0, 0)] * len(classes)
        self.tenant_rates = [Rate(self.half_life_ns) for _ in settings.tenants]
        self.mean_latency_ratio = 0.0  # mean ratio of response time to latency target, at most 1
        self.min_latency_ratio = 0.0  # minimum of that mean: the ratio of an idle fleet
        self.latency_ratio_samples = 0
        self.answer_rate = Rate(self.min_target_ns)
        self.latency_ratios: dict[int, tuple[float, int]] = {}  # zone -> recent latency ratio, time of update

    def _time_waited_ns(self, event: api.Request, request_class: api.RequestClass) -> int:
        """Return the estimated time for which the client has waited in earlier attempts.

        A client gives each attempt the class's typical time-out, or all the time that is left to it. The
        typical time-out is found by a running majority vote, in which each arriving request votes for the
        time that its client has left. Without this estimate, an overloaded fleet would spend most of its work
        on retries that can't be answered in time.
        """
        typical, votes = self.typical_left_ns[event.class_index]
        typical = typical if votes else event.left_ns
        same = abs(event.left_ns - typical) <= self.settings.resolution_ns
        self.typical_left_ns[event.class_index] = (typical, min(votes + 1, MAX_VOTES) if same else votes - 1)
        return 0 if same else max(0, request_class.deadline_ns - event.left_ns)

    def _should_refuse(self, request: PendingRequest) -> bool:
        """Return True if the request is to be refused on arrival.

        Above the fleet's capacity, queues would grow until every answer is late.
        """
        age = self.now - self.started
        if age <= self.min_target_ns:  # too few answers yet to estimate their rate
            return False
        usable_share = EXCESS_CAPACITY if self._exceeds_share(request.event.tenant) else 1.0
        # A sidecar with little traffic never reaches the limit of open requests: latencies count as well.
        idle_limit = self.min_latency_ratio + (1 - self.min_latency_ratio) * IDLE_HEADROOM
        tolerated_ratio = min(max(self.tolerated_ratio, idle_limit), MAX_REFUSED_SHARE)
        zones = {self.settings.zone: None} | dict.fromkeys(endpoint.zone for endpoint in self.ready)
        odds = [self._refusal_odds(zone, tolerated_ratio) for zone in zones]
        overloaded = self.random.random() * usable_share < odds[0]
        # A zone must not refuse what another zone would serve: the request may cross zones instead.
        if overloaded and self.random.random() * usable_share >= min(odds[1:], default=1.0):
            overloaded = False
            request.may_cross_zones = True
        # By Little's law, with more open requests than (rate of answers in time) x (tolerated response time)
        # the last one would wait too long. The limit adds one standard deviation and a few spare requests.
        rate = self.answer_rate.read(self.now) / (1 - exp2(-age / self.answer_rate.half_ns))
        capacity = rate * self.min_target_ns * tolerated_ratio
        capacity = (capacity + sqrt(capacity) + SPARE_REQUESTS) * usable_share
        if not overloaded and self.open > capacity:
            # Overdue requests don't count: those stuck at a stalled endpoint would use up the capacity.
            overloaded = (
                sum(not other.done and self.now < other.due_at for other in self.pending.values()) > capacity
            )
        if overloaded:
            ratio = self._latency_ratio(self.settings.zone)
            self._log("refusing", f"{self.open} open, limit {capacity:.0f}, latency {ratio:.0%} of targets")
        return overloaded

    def _refusal_odds(self, zone: int, tolerated_ratio: float) -> float:
        """Return the share of requests to refuse by this zone's latency ratio; below 0 for none."""
        excess = (self._latency_ratio(zone) - tolerated_ratio) / (1 - tolerated_ratio)
        return min(excess / REFUSAL_RANGE, MAX_REFUSED_SHARE)

    def _latency_ratio(self, zone: int, sample: float = 0.0, alpha: float = 0.0) -> float:
        """Return the recent latency ratio of a zone's attempts, after adding a sample; it decays toward 0."""
        ratio, at = self.latency_ratios.get(zone, (0.0, 0))
        ratio *= exp2((at - self.now) / (4 * self.half_life_ns))
        ratio += alpha * (sample - ratio)
        self.latency_ratios[zone] = ratio, self.now
        return ratio

    def _exceeds_share(self, tenant: int) -> bool:
        """Return True, at random, for the part of a tenant's requests that exceeds its share.

        Without this, a flood from one tenant would use up the capacity of all others.
        """
        if tenant >= len(self.tenant_rates):
            return False
        rates = [rate.read(self.now) for rate in self.tenant_rates]
        share = self.settings.tenants[tenant].share
        others = sum(rates) - rates[tenant]
        return self.random.random() * rates[tenant] * (1 - share) > others * share * SHARE_SLACK

    def _update_mean_latency_ratio(self, request: PendingRequest, latency_ns: int) -> None:
        """Update the mean and the minimum latency ratio by an answer."""
        if self.now <= request.due_at and not request.done:
            self.answer_rate.add(self.now)
        self.latency_ratio_samples += 1
        samples = self.latency_ratio_samples
        ratio = min(latency_ns / request.request_class.target_ns, 1.0)
        self.mean_latency_ratio += max(MEAN_RATIO_ALPHA, 1 / samples) * (ratio - self.mean_latency_ratio)
        least = self.min_latency_ratio * (1 + IDLE_DRIFT) if samples * MEAN_RATIO_ALPHA >= 1 else 1.0
        # The minimum is the baseline: where even an idle fleet answers near the target, that is no overload.
        self.min_latency_ratio = min(least, self.mean_latency_ratio)
