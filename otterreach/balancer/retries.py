"""Retries: their budget, the endpoints that may get them, and the order of requests with the same key."""

from __future__ import annotations

import otterreach.balancer.interface as api
from otterreach.balancer.interface import Effect
from otterreach.balancer.state import Endpoint, PendingRequest, State

# Retry budget: tokens earned per first attempt, and the most that can accumulate.
RETRY_SHARE = 0.2
RETRY_BURST = 50.0
# Time-out of an attempt before the deadline, in expected times. Higher values delay the recovery from lost
# answers; lower ones waste work on retries of requests that are merely slow.
EARLY_TIMEOUT = 4.0
# Expected times that must remain after an early time-out: with less, a retry is no better than waiting on.
LEFT_AFTER_TIMEOUT = 3.0


class Retries(State):
    """Retry budget, safety of retries, and serial execution of the requests of a key."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.queued_by_key: dict[int, list[PendingRequest]] = {}  # by key, in order of arrival
        self.key_blocked_until: dict[int, int] = {}  # key -> end of the block, in order of the ends
        self.resumed: list[PendingRequest] = []  # next of their key, to be attempted now
        self.retry_tokens = RETRY_BURST / 5

    def _fill_budget(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_SHARE)

    def _harmless_endpoints(self, request: PendingRequest, ready: list[Endpoint]) -> list[Endpoint]:
        """Return the ready endpoints where an attempt is safe; those already tried only as a last resort."""
        possibly_executed = request.possibly_executed()
        if possibly_executed and request.request_class.effect is Effect.BY_KEY:
            # Outside the deduplication scope or after its window, a repeat would be executed a second time.
            # `travel` is the time that the repeat may need to arrive: a connection time-out and some batches.
            settings = self.settings
            first = possibly_executed[0].endpoint.row
            travel = settings.connect_timeout_ns + 4 * settings.resolution_ns + settings.answer_slack_ns
            if self.now + travel >= possibly_executed[0].sent + request.request_class.dedup_window_ns:
                return []
            if request.request_class.dedup_scope == "zone":
                ready = [endpoint for endpoint in ready if endpoint.zone == first.zone]
            elif request.request_class.dedup_scope != "all":
                ready = [endpoint for endpoint in ready if endpoint.row.cell == first.cell]
        tried = {attempt.endpoint.id for attempt in request.attempts}
        return ([endpoint for endpoint in ready if endpoint.id not in tried] or ready) if tried else ready

    def _early_timeout_ns(self, request: PendingRequest, expected_ns: float) -> int:
        """Return the time-out after which the request is retried; 0 for no limit but the request's own.

        Without it, an attempt at a silent endpoint, or one whose answer is lost, would use up all the time in
        which the request could still be retried.
        """
        early = int(EARLY_TIMEOUT * expected_ns)
        if self.now + early + LEFT_AFTER_TIMEOUT * expected_ns >= request.due_at:
            return 0
        if len(request.attempts) + 1 >= self.settings.attempts_cap or self.retry_tokens < 1:
            return 0
        is_repeatable = request.request_class.effect is not Effect.ONCE and not request.request_class.stream
        return early if is_repeatable else 0

    def _may_resend(self, request: PendingRequest) -> bool:
        """Return True, and take a retry token, if the request may be attempted again.

        A retry must neither repeat an effect nor add to an overload: first attempts earn the budget.
        """
        runs_once = request.request_class.effect is Effect.ONCE
        if request.streaming or runs_once and request.possibly_executed():
            return False
        if len(request.attempts) >= self.settings.attempts_cap or self.retry_tokens < 1:
            return False
        self.retry_tokens -= 1
        return True

    def _is_harmless_to_repeat(self, request: PendingRequest) -> bool:
        """Return True if a retry by the client does no harm."""
        return (
            not request.possibly_executed()
            or request.request_class.effect is Effect.REPEATABLE
            or request.request_class.effect is Effect.BY_KEY
            and request.request_class.dedup_scope == "all"
        )

    def _enqueue_by_key(self, request: PendingRequest) -> None:
        if request.key:
            self.queued_by_key.setdefault(request.key, []).append(request)

    def _dequeue_by_key(self, request: PendingRequest) -> None:
        """Remove the request from its key's queue, and resume the next one."""
        if request.key:
            queue = self.queued_by_key[request.key]
            queue.remove(request)
            self.resumed += queue[:1]
            if not queue:
                del self.queued_by_key[request.key]

    def _block_key(self, key: int) -> None:
        """Block the key: an attempt that timed out or was cut off may still be executing.

        Without the block it would run concurrently with the next request of the key.
        """
        self.key_blocked_until.pop(key, None)
        self.key_blocked_until[key] = self.now + self.settings.order_settle_ns
        while next(iter(self.key_blocked_until.values())) < self.now:
            del self.key_blocked_until[next(iter(self.key_blocked_until))]
