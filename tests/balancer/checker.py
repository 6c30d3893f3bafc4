"""Independent implementation of the four rules and of the order by key, which checks all sends and answers.

It shares no logic with the balancer: its state comes only from the events and actions that it is given.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from otterreach.balancer import interface as api
from otterreach.balancer.interface import Effect, Settings

NOT_EXECUTED = {2, 4, 7}  # full, connect failed, moot
POSSIBLY_EXECUTING = {3, 5, 6}  # time-out, reset, cancelled


@dataclass
class AttemptState:
    endpoint: int
    sent: int
    open: bool = True
    not_executed: bool = False


@dataclass
class RequestState:
    request_class: api.RequestClass
    due: int
    attempts: list[AttemptState] = field(default_factory=list)
    answered: bool = False  # by the balancer, or by an outcome that finished it
    key: int = 0  # of an in-order request, else 0
    blocked_until: int = 0  # end of the block of its key by its own attempts
    closed_events: set[int] = field(default_factory=set)

    def finished(self) -> bool:
        return self.answered and not any(c.open for c in self.attempts)


class Checker:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.requests: dict[int, RequestState] = {}
        self.current_rows: dict[int, api.Listed] = {}
        self.excluded_since: dict[int, int] = {}
        self.all_rows: dict[int, api.Listed] = {}
        self.key_queues: dict[int, list[int]] = {}  # key -> in-order requests in order of arrival

    def on_event(self, now: int, event: api.Event) -> None:
        match event:
            case api.Request():
                request_class = self.settings.classes[event.class_index]
                key = event.key if request_class.in_order else 0
                self.requests[event.request] = RequestState(request_class, now + event.left_ns, key=key)
                if key:
                    self.key_queues.setdefault(key, []).append(event.request)
            case api.ClientGone():
                self.requests[event.request].answered = True
            case api.Outcome():
                state = self.requests[event.request]
                attempt = state.attempts[event.attempt]
                attempt.open = False
                attempt.not_executed = int(event.status) in NOT_EXECUTED
                if int(event.status) in POSSIBLY_EXECUTING:
                    state.blocked_until = now + self.settings.order_settle_ns
                state.answered = state.answered or event.finished
            case api.Roster() if event.form != api.RosterForm.FAILED:
                self._apply_roster(now, event)
            case _:
                pass

    def _apply_roster(self, now: int, roster: api.Roster) -> None:
        if roster.form != api.RosterForm.DELTA:
            for endpoint in set(self.current_rows) - {row.endpoint for row in roster.entries}:
                del self.current_rows[endpoint]
                self.excluded_since.setdefault(endpoint, now)
        for row in roster.entries:
            self.all_rows[row.endpoint] = row
            self.current_rows[row.endpoint] = row
            if row.state == 1:
                self.excluded_since.pop(row.endpoint, None)
            else:
                self.excluded_since.setdefault(row.endpoint, now)

    def on_actions(self, now: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send():
                    self._check_send(now, action)
                case api.Refuse():
                    self._check_final(now, action.request)
                    self._check_refusal(self.requests[action.request])
                case api.Fail():
                    self._check_final(now, action.request)
                case api.Cancel():
                    assert self.settings.may_cancel, "cancel where it is not allowed"
                    assert action.attempt < len(self.requests[action.request].attempts), "cancel of an unknown attempt"
                case api.Probe():
                    assert self.settings.may_probe
                case api.Tell():
                    assert self.settings.may_message
                case api.SetTimer():
                    assert 0 <= action.delay_ns <= 71 * 60 * 10**9
                case _:
                    pass

    def _check_send(self, now: int, send: api.Send) -> None:
        state = self.requests[send.request]
        assert not state.answered, "rule 1: a send for a finished request"
        assert send.endpoint in self.all_rows, "a send to an endpoint that was never listed"
        assert send.timeout_ns >= 0
        excluded = self.excluded_since.get(send.endpoint)
        grace = self.settings.drain_grace_ns
        assert excluded is None or now <= excluded + grace, "rule 3: a send past the drain grace"
        assert len(state.attempts) < self.settings.attempts_cap, "more attempts than allowed"
        if not self.settings.may_duplicate:
            assert not any(c.open for c in state.attempts), "two attempts of a request in flight"
        self._check_effects(now, state, send.endpoint)
        self._check_order(now, send.request, state)
        state.attempts.append(AttemptState(send.endpoint, now))

    def _check_effects(self, now: int, state: RequestState, endpoint: int) -> None:
        possibly_executed = [c for c in state.attempts if not c.not_executed]
        if not possibly_executed or state.request_class.effect is Effect.REPEATABLE:
            return
        assert state.request_class.effect is Effect.BY_KEY, "rule 2: a retry of a request that may have been executed"
        assert now <= possibly_executed[0].sent + state.request_class.dedup_window_ns, (
            "rule 2: a retry after the deduplication window"
        )
        entry, first = self.all_rows[endpoint], self.all_rows[possibly_executed[0].endpoint]
        if state.request_class.dedup_scope == "zone":
            assert entry.zone == first.zone, "rule 2: a retry outside the zone that deduplicates"
        elif state.request_class.dedup_scope == "cell":
            assert entry.cell == first.cell, "rule 2: a retry outside the cell that deduplicates"

    def _check_order(self, now: int, request: int, state: RequestState) -> None:
        if not state.key:
            return
        queue = self.key_queues[state.key]
        for earlier in queue[: queue.index(request)]:
            assert self.requests[earlier].finished(), "order: an earlier request of the key is not finished"
            assert now >= self.requests[earlier].blocked_until, "order: a send while the key is blocked"

    def _check_refusal(self, state: RequestState) -> None:
        if all(c.not_executed for c in state.attempts) or state.request_class.effect is Effect.REPEATABLE:
            return
        by_key_all = state.request_class.effect is Effect.BY_KEY and state.request_class.dedup_scope == "all"
        assert by_key_all, "rule 2: a refusal of a request that may have been executed"

    def _check_final(self, now: int, request: int) -> None:
        state = self.requests[request]
        assert not state.answered, "rule 1: a second final answer"
        assert now <= state.due + self.settings.answer_slack_ns, "rule 1: a late final answer"
        state.answered = True

    def check_deadlines(self, now: int) -> None:
        for request, state in self.requests.items():
            late = now > state.due + self.settings.answer_slack_ns
            assert state.answered or not late, f"rule 1: request {request} was never answered"
