"""The budget of the bytes that callers make a process hold."""

from __future__ import annotations

from otterreach.sidecar.memory_budget import SMALL_BYTES, MemoryBudget, Reservation

MIB = 1024 * 1024
LIMIT = 16 * MIB


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class Connection:
    """A connection of a caller that gives up its incomplete request when it is evicted."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.reservation: Reservation = budget.reserve(self)
        self.evicted = False

    def receive(self, size: int) -> bool:
        return self.reservation.update(self.reservation.incomplete_bytes + size, self.reservation.other_bytes)

    def complete(self) -> bool:
        return self.reservation.update(0, self.reservation.held_bytes)

    def evict(self) -> None:
        self.evicted = True
        self.reservation.update(0, self.reservation.other_bytes)


def budget_and_clock(max_single_bytes: int | None = None) -> tuple[MemoryBudget, Clock]:
    clock = Clock()
    return MemoryBudget(LIMIT, clock, max_single_bytes), clock


def test_what_is_given_back_can_be_used_again() -> None:
    budget, _ = budget_and_clock()
    connection = Connection(budget)
    for _ in range(100):
        assert connection.receive(LIMIT)
        connection.reservation.release()
    assert budget.used_bytes == 0


def test_the_sum_stays_under_the_limit() -> None:
    budget, clock = budget_and_clock()
    connections = [Connection(budget) for _ in range(100)]
    for _ in range(20):
        for connection in connections:
            clock.now += 0.001
            if not connection.evicted and not connection.receive(MIB // 2):
                connection.evict()
            assert budget.used_bytes <= LIMIT
    assert budget.evictions > 0


def test_the_request_that_holds_much_for_longest_is_evicted_first() -> None:
    budget, clock = budget_and_clock()
    stalled, active, small = (Connection(budget) for _ in range(3))
    stalled.receive(6 * MIB)
    small.receive(1000)
    clock.now = 10.0
    active.receive(7 * MIB)
    newest = Connection(budget)
    assert newest.receive(4 * MIB)
    assert (stalled.evicted, active.evicted, small.evicted, newest.evicted) == (True, False, False, False)


def test_requests_that_run_are_not_evicted() -> None:
    budget, _ = budget_and_clock()
    running = [Connection(budget) for _ in range(2)]
    for connection in running:
        connection.receive(8 * MIB)
        connection.complete()
    newest = Connection(budget)
    newest.receive(4 * MIB)
    assert newest.evicted
    assert not any(connection.evicted for connection in running)


def test_small_requests_fit_while_the_limit_is_reached() -> None:
    budget, _ = budget_and_clock()
    for _ in range(2):
        connection = Connection(budget)
        connection.receive(8 * MIB)
        connection.complete()
    small = [Connection(budget) for _ in range(20)]
    assert all(connection.receive(SMALL_BYTES) for connection in small)
    larger = Connection(budget)
    larger.receive(SMALL_BYTES + 1)
    assert larger.evicted
    assert not any(connection.evicted for connection in small)


def test_a_caller_that_is_nearly_alone_may_exceed_the_limit() -> None:
    budget, _ = budget_and_clock(max_single_bytes=4 * LIMIT)
    small, large = Connection(budget), Connection(budget)
    assert small.receive(1000)
    assert large.receive(2 * LIMIT)
    assert large.complete()
    other = Connection(budget)
    other.receive(1000)  # the reserve is used up, too
    assert other.evicted or not other.complete()


def test_one_reservation_has_a_largest_size() -> None:
    budget, _ = budget_and_clock(max_single_bytes=LIMIT // 2)
    connection = Connection(budget)
    connection.receive(LIMIT // 2)
    assert connection.complete()
    assert not connection.reservation.update(0, LIMIT // 2 + 1)
