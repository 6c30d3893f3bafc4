"""Model-based test of mutual exclusion: at no time do two callers consider themselves holder of the lock.

The state machine models the service: a primary and a backup that store each hold on its receipt and know only how long
ago that was, with delayed calls, lost responses, failovers, restarts and checkpoints.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from otterreach.coordination.locks import (
    EXPIRY_MARGIN_S,
    MAX_CLOCK_DRIFT,
    Acquire,
    Granted,
    HeldByOther,
    Hold,
    Lost,
    Release,
    Renew,
    acquire,
    is_expired,
    release_ends_hold,
    remaining_ms,
    renew,
)

Step = tuple[float, float]
ROUNDING_S = 1e-9
OWNERS = ("a", "b")
owners = st.sampled_from(OWNERS)
kinds = st.sampled_from(["acquire", "renew", "release"])
holds_ms = st.sampled_from([40, 200, 1000])
delays_ms = st.sampled_from([0, 1, 100])


@dataclass
class Replica:
    """A replica that stores the hold."""

    hold: Hold | None = None
    stored_at: int = 0

    def store(self, hold: Hold | None, now: int) -> None:
        self.hold = hold
        self.stored_at = now


@dataclass
class Caller:
    """An owner's view of its hold, and all tokens that it has received."""

    fence: int = 0
    until: int = 0  # time until which it considers itself the holder
    hold_ms: int = 0  # duration of the hold in its view
    calls_sent: int = 0
    fences: list[int] = field(default_factory=list)


@dataclass(frozen=True)
class Sent:
    """A call in flight."""

    call: Acquire | Renew | Release
    sent_at: int
    number: int  # sequence number among the calls of its owner
    others_had: int  # highest token received by another owner before


class LocksMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0  # ms
        self.primary = Replica()
        self.backup = Replica()
        self.last_fence = 0
        self.callers = {owner: Caller() for owner in OWNERS}
        self.sent: list[Sent] = []

    # Callers -------------------------------------------------------------------------------------

    def _send(self, call: Acquire | Renew | Release) -> None:
        caller = self.callers[call.owner]
        caller.calls_sent += 1
        others = [fence for owner in OWNERS if owner != call.owner for fence in self.callers[owner].fences]
        self.sent.append(Sent(call, self.now, caller.calls_sent, max(others, default=0)))

    def _make(self, owner: str, kind: str, hold_ms: int) -> Acquire | Renew | Release:
        fence = self.callers[owner].fence
        if kind == "acquire" or not fence:
            return Acquire(owner, hold_ms)
        if kind == "renew":
            return Renew(owner, fence, hold_ms)
        self.callers[owner].until = 0  # it stops being the holder when it sends the release
        return Release(owner, fence)

    @rule(owner=owners, kind=kinds, hold_ms=holds_ms, is_lost=st.booleans(), delay_ms=delays_ms)
    def call(self, owner: str, kind: str, hold_ms: int, is_lost: bool, delay_ms: int) -> None:
        self._send(self._make(owner, kind, hold_ms))
        self._receive(self.sent.pop(), delay_ms, is_lost)

    @rule(owner=owners, kind=kinds, hold_ms=holds_ms)
    def send_a_call_that_comes_late(self, owner: str, kind: str, hold_ms: int) -> None:
        self._send(self._make(owner, kind, hold_ms))

    # The service ---------------------------------------------------------------------------------

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), delay_ms=delays_ms, is_repeated=st.booleans())
    def receive_late(self, data: st.DataObject, delay_ms: int, is_repeated: bool) -> None:
        """Receive delayed calls in any order and possibly repeatedly."""
        sent = data.draw(st.sampled_from(self.sent))
        if not is_repeated:
            self.sent.remove(sent)
        self._receive(sent, delay_ms, is_lost=False)

    def _receive(self, sent: Sent, delay_ms: int, is_lost: bool) -> None:
        """Apply a call on the primary and later on the backup; the response reaches the caller unless it is lost."""
        granted = self._decide(sent.call)
        if granted is None:
            return
        self.primary.store(granted, self.now)
        self.now += delay_ms
        self.backup.store(granted, self.now)
        if not is_lost:
            self._answer(sent, granted)

    def _decide(self, call: Acquire | Renew | Release) -> Hold | None:
        """Return the granted hold; None for a release or a rejection."""
        elapsed_s = (self.now - self.primary.stored_at) / 1000
        hold = self.primary.hold
        if isinstance(call, Release):
            if release_ends_hold(hold, call):
                self.primary.store(None, self.now)
                self.backup.store(None, self.now)
            return None
        if isinstance(call, Renew):
            renewed = renew(hold, elapsed_s, call)
            return None if isinstance(renewed, Lost) else renewed.hold
        result = acquire(hold, elapsed_s, call, self.last_fence + 1)
        if isinstance(result, HeldByOther):
            assert hold is not None
            assert not is_expired(hold, elapsed_s)
            return None
        self.last_fence += 1
        return result.hold

    def _answer(self, sent: Sent, granted: Hold) -> None:
        """Deliver a response, unless the caller has sent another call since and ignores it."""
        caller = self.callers[sent.call.owner]
        if sent.number != caller.calls_sent or isinstance(sent.call, Release):
            return
        until = sent.sent_at + sent.call.hold_ms
        if isinstance(sent.call, Acquire):
            assert granted.fence > sent.others_had
            assert granted.fence >= max(caller.fences, default=0)
            assert granted.fence not in [f for o in OWNERS if o != sent.call.owner for f in self.callers[o].fences]
            caller.fences.append(granted.fence)
            caller.fence = granted.fence
            caller.until = until
        elif caller.until > self.now and caller.fence == sent.call.fence:
            caller.until = until  # otherwise the hold has expired for the caller, and the renewal has no effect

    # Faults --------------------------------------------------------------------------------------

    @rule(delay_ms=delays_ms | st.just(1100))
    def time_passes(self, delay_ms: int) -> None:
        self.now += delay_ms

    @rule(delay_ms=delays_ms)
    def the_backup_takes_over(self, delay_ms: int) -> None:
        """Fail over to the backup; the new primary's backup stores the hold later."""
        self.now += delay_ms
        self.primary = self.backup
        self.backup = Replica(self.primary.hold, self.now + delay_ms)

    @rule(delay_ms=delays_ms)
    def all_start_again(self, delay_ms: int) -> None:
        """Restart all replicas, which lose the time at which the hold was stored."""
        self.now += delay_ms
        self.primary.stored_at = self.backup.stored_at = self.now

    @rule(delay_ms=delays_ms)
    def store_the_remaining_time(self, delay_ms: int) -> None:
        hold = self.primary.hold
        if hold is None:
            return
        remaining = remaining_ms(hold, (self.now - self.primary.stored_at) / 1000)
        if remaining > 0:
            self.primary.store(replace(hold, hold_ms=remaining), self.now)
            self.backup.store(self.primary.hold, self.now + delay_ms)

    # Invariants ----------------------------------------------------------------------------------

    @invariant()
    def one_holder(self) -> None:
        holders = [owner for owner, caller in self.callers.items() if caller.until > self.now]
        assert len(holders) <= 1, holders

    @invariant()
    def its_hold_is_stored(self) -> None:
        for owner, caller in self.callers.items():
            if caller.until > self.now:
                assert self.primary.hold is not None
                assert self.primary.hold.owner == owner
                assert self.primary.hold.first_fence <= caller.fence <= self.primary.hold.fence
                assert not is_expired(self.primary.hold, (self.now - self.primary.stored_at) / 1000)


TestLocks = LocksMachine.TestCase
TestLocks.settings = settings(max_examples=1000, stateful_step_count=25)


steps = st.lists(st.tuples(st.floats(0, 2), st.floats(0, 0.5)), max_size=10)


@given(st.integers(1, 10_000), steps)
def test_what_is_left_never_ends_sooner_than_the_hold_and_hardly_later(hold_ms: int, steps_s: list[Step]) -> None:
    """Each step gives the age at which the remaining time is computed, and the delay until that is stored."""
    hold = Hold("a", 1, 1, hold_ms)
    now = 0.0
    late_s = 0.0
    for wait_s, delay_s in steps_s:
        remaining = remaining_ms(hold, wait_s)
        if remaining <= 0:
            assert now + wait_s >= hold_ms / 1000 - ROUNDING_S
            return
        hold = replace(hold, hold_ms=remaining)
        now += wait_s + delay_s
        late_s += delay_s + 0.001 + wait_s * MAX_CLOCK_DRIFT
        assert now + remaining / 1000 >= hold_ms / 1000 - ROUNDING_S
        assert now + remaining / 1000 <= hold_ms / 1000 + late_s + ROUNDING_S


def test_a_hold_is_over_right_after_its_time_and_the_margin() -> None:
    granted = acquire(None, 0.0, Acquire("a", 1000), 1)
    assert isinstance(granted, Granted)
    ends_s = (1.0 + EXPIRY_MARGIN_S) / (1 - MAX_CLOCK_DRIFT)
    assert not is_expired(granted.hold, ends_s - 0.001)
    assert is_expired(granted.hold, ends_s + ROUNDING_S)


# Guards against two holders: a fast clock ends a hold of a day while its holder, whose clock is slow, relies on it.
@given(st.integers(1, 24 * 3600 * 1000), st.floats(0.0005, 1.0))
def test_a_hold_outlasts_the_drift_of_two_clocks(hold_ms: int, checkpoint_share: float) -> None:
    hold = Hold("a", 1, 1, hold_ms)
    fast = 1.0005 / 0.9995  # rate of the local clock relative to the holder's
    wait_s = hold_ms / 1000 * checkpoint_share
    holder_now_s = 0.0
    while (remaining := remaining_ms(hold, wait_s * fast)) > 0 and holder_now_s <= hold_ms / 1000:
        holder_now_s += wait_s
        hold = replace(hold, hold_ms=remaining)
    rest_s = max(0.0, hold_ms / 1000 - holder_now_s)
    assert not is_expired(hold, rest_s * fast)


def test_a_call_for_less_time_than_is_left_shortens_nothing_and_lengthens_nothing() -> None:
    hold = Hold("a", 1, 1, 4000)
    for result in (acquire(hold, 3.0, Acquire("a", 500), 2), renew(hold, 3.0, Renew("a", 1, 500))):
        assert isinstance(result, Granted)
        assert result.hold.hold_ms == 1000 + 3.0 * 1000 * MAX_CLOCK_DRIFT
