"""Endpoint selection: estimates of each endpoint, selection odds, and caps on endpoints that warm up.

The common case (docs/design.md): w_i = (L_i + 1) * x_i for each eligible endpoint i, and one random
draw with odds 1 / w_i. First attempts and retries use the same draw.
"""

from __future__ import annotations

from math import exp2

import otterreach.balancer.interface as api
from otterreach.balancer.draw import rendezvous_score, weighted_choice
from otterreach.balancer.interface import EndpointState, RosterForm, Status
from otterreach.balancer.state import MAX_SLOWDOWN, Attempt, Endpoint, PendingRequest, Rate, State

# Smoothing factors. An endpoint's is high: the paper finds a single sample sufficient.
ALPHA = 0.3  # of an endpoint's response times
FAIL_ALPHA = 0.6  # of its failures, which are rarer than answers and more significant
KIND_ALPHA = 0.1  # of the mean of a kind, used for endpoints without answers: averages some 10 answers
CLASS_ALPHA = 0.02  # of a class's expected time: averages some 50 answers, to change more slowly than x_i
MIN_ENDPOINTS = 12  # endpoints in use even at a low request rate, so that each zone and kind has some
CLASS_MEMORY = 8  # factor of the half-life for samples of a single class, which are rarer
PRICE_WAIT = 20.0  # waiting time, in latency targets, that equals a price of one request's full value
KEY_AFFINITY = 0.6  # odds of a key's preferred endpoint, relative to all other endpoints together
MIN_CAPACITY_SHARE = 1e-6  # a divisor; an endpoint that has just started may have a capacity of 0
# Planned part of the allowance during warm-up, below 1 since traffic is uneven and estimates are imprecise.
WARM_UP_SHARE = 0.6


class Routing(State):
    """Estimates of response times and load, and the random selection based on them."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        classes = settings.classes
        self.order_salt = self.random.getrandbits(64)
        # Moving average of each class's response times.
        self.mean_latency_ns = [request_class.target_ns / 4 for request_class in classes]
        self.answers_by_class = [0] * len(classes)
        self.mean_hint_ns = [0.0] * len(classes)
        self.request_rate = Rate(4 * self.half_life_ns)  # shorter: too noisy at a low rate
        self.answered_work = Rate(settings.collapse_window_ns)
        self.sent_work = Rate(settings.collapse_window_ns)
        figures = [*settings.report_columns, "queue", "inflight"]  # index past the end: not reported
        self.load_column = figures.index("queue" if "queue" in settings.report_columns else "inflight")
        self.mean_queue = 0.0
        self.mean_weight = 1.0
        self.slowdown_by_kind: dict[tuple[int, int], float] = {}  # (kind, zone) -> mean x_i

    def _update_list(self, roster: api.Roster) -> None:
        if roster.form is not RosterForm.DELTA:
            listed = {row.endpoint for row in roster.entries}
            self.endpoints = {ident: known for ident, known in self.endpoints.items() if ident in listed}
        for row in roster.entries:
            known = self.endpoints.pop(row.endpoint, None)
            if row.state != EndpointState.GONE:
                # The same id with another start time is a new process: it warms up, without estimates.
                same = known if known and known.row.started_ns == row.started_ns else None
                self.endpoints[row.endpoint] = same or Endpoint(row, self.settings)
                self.endpoints[row.endpoint].update(row)
        self.ready = [endpoint for endpoint in self.endpoints.values() if endpoint.ready]
        # Each sidecar uses the first endpoints of an order of its own: with connections from hundreds of
        # sidecars, an endpoint's connection table would be full.
        self.ready.sort(key=lambda endpoint: rendezvous_score(self.order_salt, endpoint.id))
        weight = sum(endpoint.weight for endpoint in self.ready)
        self.mean_weight = weight / max(1, len(self.ready)) or 1.0

    def _on_report(self, event: api.Outcome | api.ProbeResult) -> None:
        """Apply the load that an endpoint reports with an answer or a probe: its number of queued requests.

        Where endpoints don't report a queue, it is their number of requests in flight. The report also moves
        the fleet's mean toward this number by the part ALPHA of the difference.
        """
        endpoint = self.endpoints.get(event.endpoint)
        load = event.load
        value = load[self.load_column] if self.load_column < len(load) else -1.0
        if endpoint and 0 <= value < 1e9:  # ignores nan, inf and values out of range
            endpoint.queue = value
            endpoint.queue_at = self.now
            endpoint.sent_since_report = 0
            self.mean_queue += ALPHA * (value - self.mean_queue)

    def _draw(
        self, request: PendingRequest, candidates: list[Endpoint], expected_ns: float
    ) -> Endpoint | None:
        """Draw an endpoint with odds inverse to w_i = (L_i + 1) * x_i, raised by the cross-zone price.

        :returns: None if all candidates are warming up and the draw falls on the share that they can't take
        """
        settings = self.settings
        slowdowns = self.slowdown_by_kind.values()
        current_ns = expected_ns * max(1.0, sum(slowdowns) / max(1, len(slowdowns)))
        cross_zone_factor = (
            1 + settings.price_cross_zone * PRICE_WAIT * request.request_class.target_ns / current_ns
        )
        preferred = self._endpoint_of_key(request.event.key, candidates)
        preference = max(1.0, KEY_AFFINITY * len(candidates))
        odds = []
        any_warming_up = False
        for endpoint in candidates:
            weight = (self._load(endpoint) + 1) * self._slowdown(endpoint, request.event.class_index)
            if self.now < endpoint.warm_from:
                self._update_capacity_share(endpoint)
                weight /= endpoint.capacity_share
                any_warming_up = True
            if endpoint.zone != settings.zone and not request.may_cross_zones:
                weight *= cross_zone_factor
            odds.append(1 / max(weight / preference if endpoint is preferred else weight, 1e-9))
        odds_of_none = self._cap_warming_endpoints(candidates, odds) if any_warming_up else 0.0
        index = weighted_choice(self.random, [*odds, odds_of_none])
        return candidates[index] if index < len(candidates) else None

    def _update_capacity_share(self, endpoint: Endpoint) -> None:
        """Estimate the capacity share of an endpoint that warms up: guaranteed, or shown by its answers."""
        settings = self.settings
        age = max(0, self.now - endpoint.row.started_ns)
        guaranteed = settings.start_capacity + (1 - settings.start_capacity) * age / settings.warm_up_ns
        # Fast answers raise the share from the planned part up to the full allowance, not beyond.
        shown = min(1.0, 1 / endpoint.proven_slowdown, guaranteed / WARM_UP_SHARE)
        endpoint.capacity_share = max(guaranteed, shown, MIN_CAPACITY_SHARE)

    def _endpoint_of_key(self, key: int, candidates: list[Endpoint]) -> Endpoint | None:
        """Return the preferred endpoint of a key for all sidecars of a zone, by rendezvous hashing."""
        if not key or not self.settings.key_affinity:
            return None
        near = [endpoint for endpoint in candidates if endpoint.zone == self.settings.zone] or candidates
        return max(near, key=lambda endpoint: rendezvous_score(key, endpoint.id))

    def _load(self, endpoint: Endpoint) -> float:
        """Return L_i: the reported queue, decayed by age toward the fleet's mean, plus own sends since."""
        open_attempts = len(endpoint.open_attempts)
        fade = exp2((endpoint.queue_at - self.now) / self.half_life_ns)
        sent = endpoint.sent_since_report
        unreported = sent if sent < open_attempts else open_attempts
        queue = self.mean_queue + (endpoint.queue - self.mean_queue) * fade + unreported
        return queue if queue > open_attempts else open_attempts

    def _slowdown(self, endpoint: Endpoint, class_index: int | None = None) -> float:
        """Return x_i, decayed toward the fleet's mean so that one bad sample cannot starve an endpoint.

        Samples of the request's class take precedence: the mean over all classes hides an endpoint that fails
        one class and serves the others.
        """
        # Inlined _typical_slowdown: this runs for each endpoint of each draw.
        slowdown = self.slowdown_by_kind.get(endpoint.kind) or self.mean_weight / endpoint.weight
        if endpoint.slowdown_at:
            fade = exp2((endpoint.slowdown_at - self.now) / self.half_life_ns)
            slowdown += (endpoint.slowdown - slowdown) * fade
        if class_index in endpoint.slowdown_by_class:
            in_class, at = endpoint.slowdown_by_class[class_index]
            slowdown += (in_class - slowdown) * exp2((at - self.now) / (CLASS_MEMORY * self.half_life_ns))
        # A stalled endpoint yields no samples: the age of its oldest open attempt counts as one.
        if endpoint.open_attempts:
            oldest = next(iter(endpoint.open_attempts.values()))
            slowdown = max(slowdown, min((self.now - oldest.sent) / oldest.expected_ns, MAX_SLOWDOWN))
        return slowdown

    def _typical_slowdown(self, endpoint: Endpoint) -> float:
        """Return the x_i (ratio of response times to expected times) of an endpoint without samples.

        It is the mean x_i of the endpoints of the same kind in the same zone; before these have any samples,
        it is the mean weight of the ready endpoints divided by this one's.

        In a large fleet most endpoints have no samples yet; with equal values for all, slow kinds would be
        chosen as often as fast ones.
        """
        return self.slowdown_by_kind.get(endpoint.kind) or self.mean_weight / endpoint.weight

    def _endpoints_in_use(self) -> list[Endpoint]:
        """Return the first endpoints in this sidecar's order, few enough that each is sampled often."""
        return self.ready[: MIN_ENDPOINTS + int(self.request_rate.read(self.now) * self.half_life_ns)]

    def _cap_warming_endpoints(self, candidates: list[Endpoint], odds: list[float]) -> float:
        """Cap the odds of endpoints that warm up: one that gets too much work collapses and stays down.

        Each one's share of this sidecar's draws is capped at a multiple of its proportional share of the
        capacity; so the fleet's total is capped as well, however low each sidecar's rate. The cap applies to
        the rate of answered work, since the rate of sent work may be any amount above the capacity.

        :returns: the odds of choosing no endpoint, where all are warming up
        """
        settings = self.settings
        total = sum(odds)
        now = self.now
        capacities = [
            endpoint.weight * (endpoint.capacity_share if now < endpoint.warm_from else 1.0)
            for endpoint in candidates
        ]
        capacity = sum(capacities) or 1.0
        answered_share = min(1.0, self.answered_work.read(self.now) / (self.sent_work.read(self.now) or 1.0))
        cap_per_capacity = total * WARM_UP_SHARE * settings.collapse_multiple * answered_share / capacity
        removed = 0.0
        warm = []
        for index, endpoint in enumerate(candidates):
            if self.now >= endpoint.warm_from:
                warm.append(index)
                continue
            excess = odds[index] - cap_per_capacity * endpoint.weight * endpoint.capacity_share
            if excess > 0:
                removed = removed + excess
                odds[index] = odds[index] - excess
        scale = 1 + removed / (sum(odds[index] for index in warm) or 1.0)
        for index in warm:
            odds[index] *= scale  # keeps the caps correct as shares of the total
        return 0.0 if warm else removed

    def _expected_ns(self, request: PendingRequest) -> float:
        """Return the expected time: the class's mean, plus the difference of the hint to the mean hint."""
        class_index = request.event.class_index
        expected_of_class = self.mean_latency_ns[class_index]
        expected = expected_of_class
        hint = request.event.hint_ns
        if hint is not None and self.answers_by_class[class_index]:
            expected = max(expected + hint - self.mean_hint_ns[class_index], expected / 4)
        return max(1.0, min(expected, MAX_SLOWDOWN * expected_of_class))  # a hint may be any number

    def _update_class_means(self, request: PendingRequest, latency_ns: int) -> None:
        """Update the expected time and the mean hint of the request's class."""
        class_index = request.event.class_index
        self.answers_by_class[class_index] += 1
        alpha = max(CLASS_ALPHA, 1 / self.answers_by_class[class_index])
        self.mean_latency_ns[class_index] += alpha * (latency_ns - self.mean_latency_ns[class_index])
        # Both means are taken over answered requests: over different sets they would drift apart.
        if request.event.hint_ns is not None:
            self.mean_hint_ns[class_index] += alpha * (request.event.hint_ns - self.mean_hint_ns[class_index])

    def _add_slowdown_sample(
        self, request: PendingRequest, attempt: Attempt, status: Status, latency_ns: float, before: float
    ) -> bool:
        """Add a sample to an endpoint's x_i, which was `before`. Return False if the sample was ignored."""
        endpoint = attempt.endpoint
        sample = max(1e-9, min(latency_ns / attempt.expected_ns, MAX_SLOWDOWN))
        if status is Status.CANCELLED and sample <= before:
            return False  # cancelled early: no information
        in_class = self._slowdown(endpoint, request.event.class_index)
        alpha = ALPHA if status is Status.OK else FAIL_ALPHA
        endpoint.proven_slowdown += alpha * (sample - endpoint.proven_slowdown)
        endpoint.slowdown_by_class[request.event.class_index] = (
            in_class + alpha * (sample - in_class),
            self.now,
        )
        self._set_slowdown(endpoint, before + ALPHA * (sample - before), self.now)
        return True

    def _set_slowdown(self, endpoint: Endpoint, slowdown: float, at: int) -> None:
        endpoint.slowdown = slowdown
        endpoint.slowdown_at = at
        typical = self._typical_slowdown(endpoint)
        self.slowdown_by_kind[endpoint.kind] = typical + KIND_ALPHA * (slowdown - typical)
