"""The balancer: handles events, returns actions (both defined in otterreach/balancer/interface.py).

Endpoint selection is in routing.py, retries are in retries.py, load shedding is in limits.py.
A request has at most one attempt in flight.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import nlargest
from typing import Any

import otterreach.balancer.interface as api
from otterreach.balancer.interface import NEVER_RAN, RosterForm, Status
from otterreach.balancer.limits import LATENCY_RATIO_ALPHA, Limits
from otterreach.balancer.retries import Retries
from otterreach.balancer.routing import Routing
from otterreach.balancer.state import MAX_SLOWDOWN, Attempt, Endpoint, PendingRequest

# Peers per round of gossip. All get the latency ratio, since that of a single sidecar is noisy; one also gets
# the observations of endpoints.
GOSSIP_PEERS = 4
HOLD_CHECKS = 20  # checks per latency target for a request without an eligible endpoint


class Balancer(Routing, Retries, Limits):
    """Decision logic of one sidecar: call handle() with each event and perform the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self._on_request,
            api.Outcome: self._on_outcome,
            api.Roster: self._on_roster,
            api.Timer: self._on_timer,
            api.ClientGone: self._on_client,
            api.FirstByte: self._on_client,
            api.PeerMessage: self._on_peer,
            api.ProbeResult: self._on_report,
        }
        self.gossiped_at = 0

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle an event.

        :param now: monotonic time of the sidecar, in nanoseconds
        :returns: the actions to perform, in order
        """
        self.now = now
        self.actions = []
        self.handlers[type(event)](event)
        while self.resumed:  # an attempt may end at once and resume the next
            self._attempt(self.resumed.pop())
        return self.actions

    def _on_roster(self, roster: api.Roster) -> None:
        if roster.form is RosterForm.FAILED:
            # Without a subscription, the sidecar would be held to lists that it has not received. So it
            # subscribes again, well within the time that the settings allow.
            self._log("discovery", f"call failed, using {len(self.ready)} endpoints of the last list")
            self._set_timer("ask", int(self.settings.resubscribe_within_ns * self.random.uniform(0.1, 0.4)))
            return
        self._update_list(roster)
        if not self.started:
            self.started = self.now
            if self.settings.discovery == "ask":
                self.actions.append(api.Watch(True))
            if self.settings.report_mode == "pull" and self.settings.may_probe:
                self._set_timer("probe", self.half_life_ns // 10)

    def _gossip(self) -> None:
        """Send the latency ratio to random peers, and the latest observations to the first of them.

        In a large fleet, a single sidecar gets too few answers from any endpoint for reliable estimates.
        There is at most one round per `min_target_ns`, the smallest latency target of all classes.
        """
        settings = self.settings
        if (
            not settings.may_message
            or settings.fleet_size < 2
            or self.now - self.gossiped_at < self.min_target_ns
        ):
            return
        self.gossiped_at = self.now
        size = settings.fleet_size
        peers = [(settings.self_index + self.random.randrange(1, size)) % size for _ in range(GOSSIP_PEERS)]
        newest = nlargest(api.MAX_OBSERVATIONS, self.ready, key=lambda endpoint: endpoint.slowdown_at)
        observations = tuple(self._observation(endpoint) for endpoint in newest if endpoint.slowdown_at)
        self.actions.append(api.Tell(peers[0], self._latency_ratio(settings.zone), observations))
        # The messages to the other peers take 1 byte each.
        self.actions.extend(api.Tell(peer, self._latency_ratio(settings.zone)) for peer in peers[1:])

    def _observation(self, endpoint: Endpoint) -> api.EndpointObservation:
        age_ns = self.now - endpoint.slowdown_at
        return api.EndpointObservation(endpoint.id, endpoint.slowdown, endpoint.queue, age_ns)

    def _on_peer(self, message: api.PeerMessage) -> None:
        """Apply a peer's latency ratio, and its observations that are newer than this sidecar's own."""
        self._latency_ratio(self.settings.zone, max(0.0, min(1.0, message.latency_ratio)), 0.5)
        for observed in message.observations:
            endpoint = self.endpoints.get(observed.endpoint)
            at = self.now - max(0, observed.age_ns)
            if endpoint is None:
                continue
            started = endpoint.row.started_ns
            if at > max(endpoint.slowdown_at, started) and 0 < observed.slowdown < 1e9:
                self._set_slowdown(endpoint, min(observed.slowdown, MAX_SLOWDOWN), at)
            if at > max(endpoint.queue_at, started) and 0 <= observed.queue < 1e9:
                endpoint.queue = observed.queue
                endpoint.queue_at = at
                endpoint.sent_since_report = 0

    def _on_request(self, event: api.Request) -> None:
        request_class = self.settings.classes[event.class_index]
        waited = self._time_waited_ns(event, request_class)
        request = PendingRequest(event, request_class, self.now, waited)
        self.pending[event.request] = request
        self.open += 1
        self.request_rate.add(self.now)
        if event.tenant < len(self.tenant_rates):
            self.tenant_rates[event.tenant].add(self.now)
        self._fill_budget()
        self._enqueue_by_key(request)
        self._attempt(request)

    def _attempt(self, request: PendingRequest) -> None:
        if request.done or request.has_open_attempt():
            return  # ended or sent already: its timer and its turn in the key's queue may both resume it
        expected_ns = self._expected_ns(request)
        # A stuck request delays all others of its key. Those that can no longer be in time end early, while
        # a refusal can still be answered in time.
        ahead = self.queued_by_key[request.key].index(request) if request.key else 0
        blocked = 0
        if request.key and not request.attempts:
            blocked = max(0, self.key_blocked_until.get(request.key, 0) - self.now)
        left = request.limit - self.now - int(ahead * expected_ns) - blocked
        if left <= 0 or not request.attempts and self._should_refuse(request):
            self._end(request)
        elif ahead or blocked:
            self._set_timer("hold", left if ahead else blocked, request)
        else:
            self._send_or_hold(request, expected_ns)

    def _send_or_hold(self, request: PendingRequest, expected_ns: float) -> None:
        """Send the request to an endpoint drawn at random; without an eligible one, retry after a delay."""
        candidates = self._harmless_endpoints(request, self._endpoints_in_use())
        endpoint = self._draw(request, candidates, expected_ns) if candidates else None
        if endpoint:
            self._send(request, endpoint, expected_ns)
            return
        self._log("held", f"none of {len(self.ready)} ready endpoints is eligible")
        interval = request.request_class.target_ns // HOLD_CHECKS
        self._set_timer("hold", min(interval, request.abandoned_at - self.now), request)

    def _send(self, request: PendingRequest, endpoint: Endpoint, expected_ns: float) -> None:
        limit = request.abandoned_at if request.request_class.stream else request.limit
        if early := self._early_timeout_ns(request, expected_ns):
            limit = self.now + early
        timeout_ns = limit - self.now if limit < request.abandoned_at else 0
        self.actions.append(api.Send(request.id, endpoint.id, timeout_ns))
        attempt = Attempt(endpoint, self.now, expected_ns)
        endpoint.open_attempts[request.id, len(request.attempts)] = attempt
        request.attempts.append(attempt)
        endpoint.sent_since_report += 1
        self.sent_work.add(self.now, expected_ns)

    def _end(self, request: PendingRequest) -> None:
        """End the request unanswered: refused if a retry by the client does no harm, else failed."""
        is_harmless = self._is_harmless_to_repeat(request)
        self.actions.append(api.Refuse(request.id) if is_harmless else api.Fail(request.id))
        self._finish(request)

    def _finish(self, request: PendingRequest) -> None:
        """Cancel the open attempt, and drop the request once its last attempt has ended."""
        if not request.done:
            self.open -= 1
            if request.has_open_attempt() and self.settings.may_cancel and not request.streaming:
                self.actions.append(api.Cancel(request.id, len(request.attempts) - 1))
        request.done = True
        if not request.has_open_attempt() and self.pending.pop(request.id, None) is request:
            self._dequeue_by_key(request)

    def _on_client(self, event: api.ClientGone | api.FirstByte) -> None:
        request = self.pending.get(event.request)
        if request and not request.done and isinstance(event, api.FirstByte):
            request.streaming = True
        elif request and not request.done:
            self._finish(request)

    def _on_outcome(self, event: api.Outcome) -> None:
        request = self.pending.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.open:
            return
        attempt.open = False
        attempt.may_have_run = event.status not in NEVER_RAN
        attempt.endpoint.open_attempts.pop((request.id, event.attempt), None)
        if request.key and event.status in (Status.TIMEOUT, Status.RESET, Status.CANCELLED):
            self._block_key(request.key)
        self._on_report(event)
        if event.status is Status.OK:
            self._update_mean_latency_ratio(request, event.latency_ns)
            self._update_class_means(request, event.latency_ns)
            self.answered_work.add(self.now, attempt.expected_ns)
        if event.status is not Status.MOOT:
            self._update_estimates(request, attempt, event)
        if event.finished or request.done:
            self._finish(request)
        elif self._may_resend(request):
            self._attempt(request)
        else:
            self._end(request)

    def _update_estimates(self, request: PendingRequest, attempt: Attempt, event: api.Outcome) -> None:
        endpoint = attempt.endpoint
        latency_ns = float(event.latency_ns)
        before = self._slowdown(endpoint)
        timed_out_late = event.status is Status.TIMEOUT and self.now >= request.due_at
        share = 1.0 if timed_out_late else min(latency_ns / request.request_class.target_ns, 1.0)
        if event.status not in (Status.OK, Status.CANCELLED):
            self._log("failing", f"endpoint {endpoint.id}: {event.status.name}, slowdown {before:.1f}")
            # A fast error must not count as a fast answer.
            latency_ns = max(latency_ns, float(request.request_class.deadline_ns))
        if event.status in (Status.OK, Status.TIMEOUT):
            # A single slow endpoint is not an overload: its samples count less, by its slowdown.
            alpha = LATENCY_RATIO_ALPHA * min(1.0, self._typical_slowdown(endpoint) / before)
            self._latency_ratio(endpoint.zone, share, alpha)
        if self._add_slowdown_sample(request, attempt, event.status, latency_ns, before):
            self._gossip()

    def _on_timer(self, event: api.Timer) -> None:
        purpose, request_id = self.timers.pop(event.token, ("", 0))
        if purpose == "ask":
            self.actions.append(api.Watch(True))
        elif purpose == "probe":
            if self.ready:
                oldest = min(self.ready, key=lambda endpoint: endpoint.queue_at)
                self.actions.append(api.Probe(oldest.id))
            self._set_timer("probe", self.half_life_ns // 10)
        elif request := self.pending.get(request_id):  # held, or queued behind its key
            self._attempt(request)
