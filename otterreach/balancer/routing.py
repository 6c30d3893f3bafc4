"""Where a request goes: what is known of each endpoint, the odds, and the caps on cold ones.

The ordinary path (docs/design.md): w_i = (L_i + 1) * x_i for each eligible endpoint i, and one random
draw with odds 1 / w_i. First attempts and retries use that same draw.
"""

from __future__ import annotations

from math import exp2

import otterreach.balancer.interface as api
from otterreach.balancer.draw import draw, mix
from otterreach.balancer.interface import EndpointState, RosterForm, Status
from otterreach.balancer.state import MAX_SLOWDOWN, Attempt, Endpoint, PendingRequest, Rate, State

ALPHA = 0.3  # weight of a new response time: the paper finds one sample enough, so a short memory
FAIL_ALPHA = 0.6  # the same of a failure: rarer than answers, and worth more
KIND_ALPHA = 0.1  # a kind's mean moves over some 10 answers: it stands for endpoints without answers
CLASS_ALPHA = 0.02  # a class's usual time moves over some 50 answers: slower than any endpoint's
MIN_ENDPOINTS = 12  # endpoints in a sidecar's draw, however little it sends: some of each zone and kind
CLASS_MEMORY = 8  # an endpoint's answers in one class are rarer, and remembered that much longer
PRICE_WAIT = 20.0  # a price of a whole request's worth weighs like waiting this many targets
KEY_AFFINITY = 0.6  # odds of the endpoint likely to have met a key, against those of all others together
MIN_WARM_SHARE = 1e-6  # an endpoint that starts this moment may have no capacity at all, and is divided by
COLD_SHARE = 0.6  # part of the cold allowance planned for: traffic is uneven, estimates are rough


class Routing(State):
    """The estimates, and the draw by them."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        classes = settings.classes
        self.order_salt = self.random.getrandbits(64)
        self.usual_ns = [
            request_class.target_ns / 4 for request_class in classes
        ]  # usual response time, learned
        self.answers_by_class = [0] * len(classes)
        self.mean_hint_ns = [0.0] * len(classes)
        self.request_rate = Rate(4 * self.half_life_ns)  # a small sidecar's rate over less is mere chance
        self.answered_work = Rate(settings.fall_ns)
        self.sent_work = Rate(settings.fall_ns)
        figures = [*settings.report_columns, "queue", "inflight"]  # past the end: not reported
        self.load_column = figures.index("queue" if "queue" in settings.report_columns else "inflight")
        self.mean_queue = 0.0
        self.mean_weight = 1.0
        self.slowdown_by_kind: dict[tuple[int, int], float] = {}  # mean x_i of a kind of machine in a zone

    def _update_list(self, roster: api.Roster) -> None:
        if roster.form is not RosterForm.DELTA:
            listed = {row.endpoint for row in roster.entries}
            self.endpoints = {ident: known for ident, known in self.endpoints.items() if ident in listed}
        for row in roster.entries:
            known = self.endpoints.pop(row.endpoint, None)
            if row.state != EndpointState.GONE:
                # The same id with a new start is a new process: cold, and what was learned is void.
                same = known if known and known.row.started_ns == row.started_ns else None
                self.endpoints[row.endpoint] = same or Endpoint(row, self.settings)
                self.endpoints[row.endpoint].update(row)
        self.ready = [endpoint for endpoint in self.endpoints.values() if endpoint.ready]
        # Danger: hundreds of sidecars with a connection to every endpoint fill its table. Each has an order.
        self.ready.sort(key=lambda endpoint: mix(self.order_salt, endpoint.id))
        weight = sum(endpoint.weight for endpoint in self.ready)
        self.mean_weight = weight / max(1, len(self.ready)) or 1.0

    def _on_report(self, event: api.Outcome | api.ProbeResult) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        load = event.load
        value = load[self.load_column] if self.load_column < len(load) else -1.0
        if endpoint and 0 <= value < 1e9:  # not for nan, inf or nonsense
            endpoint.queue = value
            endpoint.queue_at = self.now
            endpoint.sent_since_report = 0
            self.mean_queue += ALPHA * (value - self.mean_queue)

    def _draw(self, request: PendingRequest, candidates: list[Endpoint], usual: float) -> Endpoint | None:
        """The design's rule: odds inverse to w_i = (L_i + 1) * x_i, raised by what the settings price."""
        settings = self.settings
        slowdowns = self.slowdown_by_kind.values()
        took = usual * max(1.0, sum(slowdowns) / max(1, len(slowdowns)))  # of late
        cross_zone_factor = (
            1 + settings.price_cross_zone * PRICE_WAIT * request.request_class.target_ns / took
        )
        preferred = self._endpoint_of_key(request.event.key, candidates)
        preference = max(1.0, KEY_AFFINITY * len(candidates))
        odds = []
        any_cold = False
        for endpoint in candidates:
            weight = (self._load(endpoint) + 1) * self._slowdown(endpoint, request.event.class_index)
            if self.now < endpoint.warm_from:
                self._update_warm_share(endpoint)
                weight /= endpoint.warm_share
                any_cold = True
            if endpoint.zone != settings.zone and not request.may_cross_zones:
                weight *= cross_zone_factor
            odds.append(1 / max(weight / preference if endpoint is preferred else weight, 1e-9))
        odds_of_none = self._cap_cold_endpoints(candidates, odds) if any_cold else 0.0
        index = draw(self.random, [*odds, odds_of_none])
        return candidates[index] if index < len(candidates) else None

    def _update_warm_share(self, endpoint: Endpoint) -> None:
        """How much of its capacity a cold endpoint has: the guaranteed least, or what it has shown."""
        settings = self.settings
        age = max(0, self.now - endpoint.row.started_ns)
        guaranteed = settings.start_capacity + (1 - settings.start_capacity) * age / settings.cold_ns
        # Proof opens the whole allowance in place of the part planned for, and never more.
        shown = min(1.0, 1 / endpoint.proven_slowdown, guaranteed / COLD_SHARE)
        endpoint.warm_share = max(guaranteed, shown, MIN_WARM_SHARE)

    def _endpoint_of_key(self, key: int, candidates: list[Endpoint]) -> Endpoint | None:
        """The endpoint at which all sidecars of a zone gather a key, by highest-random-weight hashing."""
        if not key or not self.settings.warm_keys:
            return None
        near = [endpoint for endpoint in candidates if endpoint.zone == self.settings.zone] or candidates
        return max(near, key=lambda endpoint: mix(key, endpoint.id))

    def _load(self, endpoint: Endpoint) -> float:
        """L_i: the reported queue, faded by age toward the fleet's, and own sends since."""
        open_attempts = len(endpoint.open_attempts)
        fade = exp2((endpoint.queue_at - self.now) / self.half_life_ns)
        sent = endpoint.sent_since_report
        unreported = sent if sent < open_attempts else open_attempts
        queue = self.mean_queue + (endpoint.queue - self.mean_queue) * fade + unreported
        return queue if queue > open_attempts else open_attempts

    def _slowdown(self, endpoint: Endpoint, class_index: int | None = None) -> float:
        """x_i, fading toward the fleet's mean so that one bad sample cannot starve an endpoint.

        Danger: one that fails a class and serves the others looks well by its mean: what its class knows
        comes first.
        """
        # As _typical_slowdown, without a call: this runs for each endpoint of each draw.
        slowdown = self.slowdown_by_kind.get(endpoint.kind) or self.mean_weight / endpoint.weight
        if endpoint.slowdown_at:
            fade = exp2((endpoint.slowdown_at - self.now) / self.half_life_ns)
            slowdown += (endpoint.slowdown - slowdown) * fade
        if class_index in endpoint.slowdown_by_class:
            in_class, at = endpoint.slowdown_by_class[class_index]
            slowdown += (in_class - slowdown) * exp2((at - self.now) / (CLASS_MEMORY * self.half_life_ns))
        if endpoint.open_attempts:  # Danger: a stalled endpoint sends no samples. Waiting for it is a sample.
            oldest = next(iter(endpoint.open_attempts.values()))
            slowdown = max(slowdown, min((self.now - oldest.sent) / oldest.usual, MAX_SLOWDOWN))
        return slowdown

    def _typical_slowdown(self, endpoint: Endpoint) -> float:
        """The x_i of an endpoint of which nothing is known yet: the mean of its kind.

        Danger: of many endpoints most have given no answer yet, and a slow kind would take a fast one's odds.
        """
        return self.slowdown_by_kind.get(endpoint.kind) or self.mean_weight / endpoint.weight

    def _endpoints_in_use(self) -> list[Endpoint]:
        """The first of this sidecar's own order: those that answer it often, as the design assumes."""
        return self.ready[: MIN_ENDPOINTS + int(self.request_rate.read(self.now) * self.half_life_ns)]

    def _cap_cold_endpoints(self, candidates: list[Endpoint], odds: list[float]) -> float:
        """Cap the odds of cold endpoints: one that is sent too much falls over and stays down.

        Its share of a sidecar's draws is capped at a multiple of the part that it would bear were all alike,
        so the fleet's sum is capped too, however little each sends. A share of what is answered: sent, it may
        be any amount.
        Returns the odds of sending nowhere, where all are cold.
        """
        settings = self.settings
        total = sum(odds)
        now = self.now
        capacities = [
            endpoint.weight * (endpoint.warm_share if now < endpoint.warm_from else 1.0)
            for endpoint in candidates
        ]
        capacity = sum(capacities) or 1.0
        answered_share = min(1.0, self.answered_work.read(self.now) / (self.sent_work.read(self.now) or 1.0))
        cap_per_capacity = total * COLD_SHARE * settings.fall_multiple * answered_share / capacity
        removed = 0.0
        warm = []
        for index, endpoint in enumerate(candidates):
            if self.now >= endpoint.warm_from:
                warm.append(index)
                continue
            excess = odds[index] - cap_per_capacity * endpoint.weight * endpoint.warm_share
            if excess > 0:
                removed = removed + excess
                odds[index] = odds[index] - excess
        scale = 1 + removed / (sum(odds[index] for index in warm) or 1.0)
        for index in warm:
            odds[index] *= scale  # so that the caps are shares of what is drawn
        return 0.0 if warm else removed

    def _usual_ns(self, request: PendingRequest) -> float:
        """What this request usually takes: its class's usual time, and what its hint adds to the class's."""
        class_index = request.event.class_index
        usual_of_class = self.usual_ns[class_index]
        usual = usual_of_class
        hint = request.event.hint_ns
        if hint is not None and self.answers_by_class[class_index]:
            usual = max(usual + hint - self.mean_hint_ns[class_index], usual / 4)
        return max(1.0, min(usual, MAX_SLOWDOWN * usual_of_class))  # a hint may be any number

    def _learn_usual(self, request: PendingRequest, took: int) -> None:
        """What requests of a class usually take."""
        class_index = request.event.class_index
        self.answers_by_class[class_index] += 1
        alpha = max(CLASS_ALPHA, 1 / self.answers_by_class[class_index])
        self.usual_ns[class_index] += alpha * (took - self.usual_ns[class_index])
        if request.event.hint_ns is not None:  # Danger: means of different requests drift apart
            self.mean_hint_ns[class_index] += alpha * (request.event.hint_ns - self.mean_hint_ns[class_index])

    def _learn_slowdown(
        self, request: PendingRequest, attempt: Attempt, status: Status, took: float, before: float
    ) -> bool:
        """One sample of an endpoint's x_i, which was `before`; whether it said anything."""
        endpoint = attempt.endpoint
        sample = max(1e-9, min(took / attempt.usual, MAX_SLOWDOWN))
        if status is Status.CANCELLED and sample <= before:
            return False  # given up early: says nothing
        in_class = self._slowdown(endpoint, request.event.class_index)
        alpha = ALPHA if status is Status.OK else FAIL_ALPHA
        endpoint.proven_slowdown += alpha * (sample - endpoint.proven_slowdown)
        endpoint.slowdown_by_class[request.event.class_index] = (
            in_class + alpha * (sample - in_class),
            self.now,
        )
        self._learn(endpoint, before + ALPHA * (sample - before), self.now)
        return True

    def _learn(self, endpoint: Endpoint, slowdown: float, at: int) -> None:
        endpoint.slowdown = slowdown
        endpoint.slowdown_at = at
        typical = self._typical_slowdown(endpoint)
        self.slowdown_by_kind[endpoint.kind] = typical + KIND_ALPHA * (slowdown - typical)
