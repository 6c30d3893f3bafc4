"""Model-based test of the table of pending watches."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from otterreach.coordination.watches import WatchTable

LIMIT = 5
GROUPS = ("g1.", "g2.", "g")
waiters = st.integers(0, 7)
groups = st.sampled_from(GROUPS)
revisions = st.integers(0, 6)


class WatchTableMachine(RuleBasedStateMachine):
    """The model maps each waiter to its group and the revision after which it waits for events."""

    def __init__(self) -> None:
        super().__init__()
        self.table: WatchTable[int] = WatchTable(LIMIT)
        self.model: dict[int, tuple[str, int]] = {}

    @rule(waiter=waiters, group=groups, past=revisions)
    def add(self, waiter: int, group: str, past: int) -> None:
        if waiter in self.model:
            return  # a waiter waits for one group only
        added = self.table.add(group, past, waiter)
        assert added == (len(self.model) < LIMIT)
        if added:
            self.model[waiter] = (group, past)

    @rule(waiter=waiters, group=groups)
    def remove(self, waiter: int, group: str) -> None:
        self.table.remove(group, waiter)
        if waiter in self.model and self.model[waiter][0] == group:
            del self.model[waiter]

    @rule(group=groups, revision=revisions)
    def take(self, group: str, revision: int) -> None:
        reached = sorted(w for w, (waits_for, past) in self.model.items() if waits_for == group and past < revision)
        assert sorted(self.table.take(group, revision)) == reached
        for waiter in reached:
            del self.model[waiter]

    @rule()
    def take_all(self) -> None:
        assert sorted(self.table.take_all()) == sorted(self.model)
        self.model.clear()

    @invariant()
    def counts(self) -> None:
        assert len(self.table) == len(self.model)

    @invariant()
    def nothing_is_kept_of_groups_that_nobody_waits_for(self) -> None:
        assert set(self.table._waiters) == {group for group, _ in self.model.values()}


TestWatchTable = WatchTableMachine.TestCase
TestWatchTable.settings = settings(max_examples=200, stateful_step_count=40)
