"""What is refused on arrival: the waits seen, the room there is, and each tenant's share."""

from __future__ import annotations

from math import exp2, sqrt

import otterreach.balancer.interface as api
from otterreach.balancer.state import PendingRequest, Rate, State

TOLERATED_SHARE = 0.5  # of the target, that answers may take before requests are refused
IDLE_ROOM = 0.25  # part of what answers of an idle fleet leave of the target
STRAIN_ALPHA = 0.3  # waits are learned fast
STRAIN_RANGE = 0.6  # part of the rest of the target, over which refusals rise to all: well before all is late
MAX_REFUSED_SHARE = 0.95  # some requests go out whatever the waits, or nothing would be learned
SPARE_REQUESTS = 4.0  # open requests a short memory may easily have missed
EXCESS_ROOM = 0.5  # part of the room that is open to a tenant beyond its share
SHARE_SLACK = 1.5  # by which usage differs from the shares anyhow
MAX_VOTES = 100  # lead of a majority that tells the usual length of a client's try
IDLE_DRIFT = 1e-4  # growth per answer of the least time known: doubles in some 7000 answers
SHARE_ALPHA = 0.02  # the share of the target that answers take moves over some 50 answers


class Limits(State):
    """Refusals before a first attempt."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        classes = settings.classes
        # What is worth something when it is late may take longer.
        late_worth = min(request_class.late_worth for request_class in classes)
        self.tolerated_share = TOLERATED_SHARE + (1 - TOLERATED_SHARE) * late_worth
        self.usual_left_ns = [(0, 0)] * len(classes)
        self.tenant_rates = [Rate(self.half_life_ns) for _ in settings.tenants]
        self.usual_share = 0.0  # of the target that answers take
        self.least_share = 0.0  # the least of it
        self.share_samples = 0
        self.answered = Rate(self.tightest_ns)
        self.strains: dict[int, tuple[float, int]] = {}  # by zone: as usual_share, of late; when

    def _time_waited_ns(self, event: api.Request, request_class: api.RequestClass) -> int:
        """How long the client has waited before.

        A try is given the class's usual time (by majority vote) or all that is left. Danger: in an overload
        most work would go to retries that cannot be in time.
        """
        usual, votes = self.usual_left_ns[event.class_index]
        usual = usual if votes else event.left_ns
        same = abs(event.left_ns - usual) <= self.settings.resolution_ns
        self.usual_left_ns[event.class_index] = (usual, min(votes + 1, MAX_VOTES) if same else votes - 1)
        return 0 if same else max(0, request_class.deadline_ns - event.left_ns)

    def _is_overloaded(self, request: PendingRequest) -> bool:
        """Whether to refuse it on arrival.

        Danger: past capacity all queues grow until every answer is late.
        """
        age = self.now - self.started
        if age <= self.tightest_ns:  # a young sidecar has seen too few answers to know their rate
            return False
        part = EXCESS_ROOM if self._is_excess(request.event.tenant) else 1.0
        # Danger: at a sidecar that sends little the room never fills. It refuses by the waits it sees.
        idle_limit = self.least_share + (1 - self.least_share) * IDLE_ROOM
        tolerated_share = min(max(self.tolerated_share, idle_limit), MAX_REFUSED_SHARE)
        zones = {self.settings.zone: None} | dict.fromkeys(endpoint.zone for endpoint in self.ready)
        odds = [self._refusal_odds(zone, tolerated_share) for zone in zones]
        busy = self.random.random() * part < odds[0]
        # Danger: one zone refuses what the next would serve. What is worth refusing here is worth crossing.
        if busy and self.random.random() * part >= min(odds[1:], default=1.0):
            busy = False
            request.may_cross_zones = True
        # By Little's law, with more requests open than (answers in time per second) x (time in the system)
        # the last would wait too long. Beside that, a deviation of chance, and what a short memory hides.
        rate = self.answered.read(self.now) / (1 - exp2(-age / self.answered.half_ns))
        room = rate * self.tightest_ns * tolerated_share
        room = (room + sqrt(room) + SPARE_REQUESTS) * part
        if not busy and self.open > room:  # Danger: what is stuck at a stalled endpoint would fill the room
            busy = sum(not other.done and self.now < other.due_at for other in self.pending.values()) > room
        if busy:
            waits = self._strain(self.settings.zone)
            self._log("refusing", f"{self.open} open, room {room:.0f}, waits {waits:.0%} of targets")
        return busy

    def _refusal_odds(self, zone: int, tolerated_share: float) -> float:
        """The part of the requests that this zone's waits call for refusing; below 0 for none."""
        excess = (self._strain(zone) - tolerated_share) / (1 - tolerated_share)
        return min(excess / STRAIN_RANGE, MAX_REFUSED_SHARE)

    def _strain(self, zone: int, sample: float = 0.0, alpha: float = 0.0) -> float:
        """Share of their targets that a zone's attempts took of late, moved toward a sample; it fades."""
        strain, at = self.strains.get(zone, (0.0, 0))
        strain *= exp2((at - self.now) / (4 * self.half_life_ns))
        strain += alpha * (sample - strain)
        self.strains[zone] = strain, self.now
        return strain

    def _is_excess(self, tenant: int) -> bool:
        """Whether, by a draw, this falls on what its tenant asks beyond its share. Danger: a flood."""
        if tenant >= len(self.tenant_rates):
            return False
        rates = [rate.read(self.now) for rate in self.tenant_rates]
        share = self.settings.tenants[tenant].share
        others = sum(rates) - rates[tenant]
        return self.random.random() * rates[tenant] * (1 - share) > others * share * SHARE_SLACK

    def _learn_share(self, request: PendingRequest, took: int) -> None:
        """What part of its target an answer took."""
        if self.now <= request.due_at and not request.done:
            self.answered.add(self.now)
        self.share_samples += 1
        samples = self.share_samples
        share = min(took / request.request_class.target_ns, 1.0)
        self.usual_share += max(SHARE_ALPHA, 1 / samples) * (share - self.usual_share)
        least = self.least_share * (1 + IDLE_DRIFT) if samples * SHARE_ALPHA >= 1 else 1.0
        # Danger: idle answers near the target are no overload.
        self.least_share = min(least, self.usual_share)
