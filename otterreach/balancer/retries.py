"""Whether and where a request is sent again, and which requests of a key have to wait for each other."""

from __future__ import annotations

import otterreach.balancer.interface as api
from otterreach.balancer.interface import Effect
from otterreach.balancer.state import Endpoint, PendingRequest, State

# re-sends per first attempt, and how many may be saved up
RETRY_SHARE = 0.2
RETRY_BURST = 50.0
EARLY_TIMEOUT = 4.0  # usual times that an attempt may take before another: lost answers against waste
# Usual times that must then be left: a further attempt with less is no better than waiting on.
LEFT_AFTER_TIMEOUT = 3.0


class Retries(State):
    """Further attempts: their budget, and what repeats are harmless. The turns of requests with one key."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.queued_by_key: dict[int, list[PendingRequest]] = {}  # by key, in the order taken
        self.key_blocked_until: dict[int, int] = {}  # key -> until when, the first to end first
        self.resumed: list[PendingRequest] = []  # their turn has come
        self.retry_tokens = RETRY_BURST / 5

    def _fill_budget(self) -> None:
        """A first attempt pays for a part of a further one."""
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_SHARE)

    def _harmless_endpoints(self, request: PendingRequest, ready: list[Endpoint]) -> list[Endpoint]:
        """Those of the ready at which an attempt does no harm; tried ones only for want of others."""
        possibly_executed = request.possibly_executed()
        if possibly_executed and request.request_class.effect is Effect.BY_KEY:
            # Danger: outside the group, or past its memory, a repeat is a second effect. A copy may need
            # a connection's time-out and some batches to arrive.
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

    def _early_timeout_ns(self, request: PendingRequest, usual: float) -> int:
        """How long an attempt may take before another is made; 0: as long as there is.

        Danger: at a silent endpoint, or where answers are lost, it would use up all the time there was to
        recover in.
        """
        early = int(EARLY_TIMEOUT * usual)
        if self.now + early + LEFT_AFTER_TIMEOUT * usual >= request.due_at:
            return 0
        if len(request.attempts) + 1 >= self.settings.attempts_cap or self.retry_tokens < 1:
            return 0
        is_repeatable = request.request_class.effect is not Effect.ONCE and not request.request_class.stream
        return early if is_repeatable else 0

    def _may_resend(self, request: PendingRequest) -> bool:
        """Danger: retries feed an overload, and may repeat an effect. First attempts fill their budget."""
        runs_once = request.request_class.effect is Effect.ONCE
        if request.streaming or runs_once and request.possibly_executed():
            return False
        if len(request.attempts) >= self.settings.attempts_cap or self.retry_tokens < 1:
            return False
        self.retry_tokens -= 1
        return True

    def _is_harmless_to_repeat(self, request: PendingRequest) -> bool:
        """Whether the client may send it again."""
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
        """The next of its key may go."""
        if request.key:
            queue = self.queued_by_key[request.key]
            queue.remove(request)
            self.resumed += queue[:1]
            if not queue:
                del self.queued_by_key[request.key]

    def _block_key(self, key: int) -> None:
        """Danger: what timed out or broke may run on beside the next request of its key."""
        self.key_blocked_until.pop(key, None)
        self.key_blocked_until[key] = self.now + self.settings.order_settle_ns
        while next(iter(self.key_blocked_until.values())) < self.now:
            del self.key_blocked_until[next(iter(self.key_blocked_until))]
