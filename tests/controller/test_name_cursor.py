"""The primary scans locks and events in batches, so that it can send heartbeats however many there are."""

from __future__ import annotations

from typing import TypeVar, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from otterreach.controller import event_collection, hold_checkpoints, lock_collection
from otterreach.controller.api.resource import ControlState
from otterreach.controller.coordination_records import EventRecord, LockRecord, NumberRecord, event_name
from otterreach.controller.event_collection import EventCollection
from otterreach.controller.group_histories import HistoryCache
from otterreach.controller.hold_checkpoints import MAX_CHECKPOINTS, HoldCheckpoints
from otterreach.controller.lock_collection import LockCollection
from otterreach.controller.name_cursor import NameCursor
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.coordination.history import Event
from otterreach.coordination.locks import Hold
from otterreach.runtime.records import ItemChange, Record, put
from otterreach.runtime.store import Item, ReplicatedStore

MANY = 5000
LONG_S = 1000.0
R = TypeVar("R", bound=Record)


class CountingStore(ReplicatedStore):
    """Counts the records that are read, individually or all at once."""

    def __init__(self) -> None:
        super().__init__()
        self.records_read = 0

    def record(self, kind: type[R], name: str = "") -> R | None:
        self.records_read += 1
        return super().record(kind, name)

    def records(self, kind: type[R]) -> dict[str, R]:
        self.records_read += self.count(kind)
        return super().records(kind)


class Control:
    """A control state whose writes are committed immediately."""

    def __init__(self) -> None:
        self.state = CountingStore()
        self.now = 0.0
        self.receipts = ReceiptTimes(lambda: self.now)
        self.largest_write = 0

    def propose(self, changes: list[ItemChange]) -> None:
        self.largest_write = max(self.largest_write, len(changes))
        first = self.state.revision + 1
        items = [Item(key, revision, value) for revision, (key, value) in enumerate(changes, first)]
        self.receipts.observe(self.state.apply(items))


def control_with_locks(hold_ms: int) -> Control:
    control = Control()
    control.propose([put(LockRecord(Hold("a", n, n, hold_ms)), f"l{n}") for n in range(1, MANY + 1)])
    control.largest_write = 0
    return control


# Guards against a scan of 100,000 locks that blocks the primary's event loop until another controller takes over.
def test_checkpoints_of_many_holds_are_written_in_parts() -> None:
    control = control_with_locks(hold_ms=600_000)
    checkpoints = HoldCheckpoints(cast(ControlState, control), control.receipts)
    for number in range(MANY // MAX_CHECKPOINTS + 20):
        control.now += 10.0
        control.state.records_read = 0
        checkpoints.write_when_due()
        assert control.state.records_read <= hold_checkpoints.MAX_SCANNED, number
    assert 0 < control.largest_write <= MAX_CHECKPOINTS


# Guards against the same.
def test_many_ended_locks_are_collected_in_parts() -> None:
    control = control_with_locks(hold_ms=1000)
    collection = LockCollection(cast(ControlState, control), control.receipts)
    control.now += LONG_S
    rounds = 0
    while control.state.records(LockRecord):
        control.state.records_read = 0
        collection.collect()
        assert control.state.records_read <= lock_collection.MAX_SCANNED
        rounds += 1
    assert rounds == -(-MANY // lock_collection.MAX_SCANNED)


# Guards against the same.
def test_many_old_events_are_collected_in_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(event_collection, "COLLECTION_THRESHOLD_BYTES", 0)
    control = Control()
    events = {slot: Event("g.a", f"v{slot}", slot + 1, None) for slot in range(MANY)}
    control.propose([put(EventRecord(event), event_name("g.", slot)) for slot, event in events.items()])
    histories = HistoryCache()
    histories.of(control.state)
    collection = EventCollection(cast(ControlState, control), histories, control.receipts, retention_s=30.0)
    collection.collect()
    control.now += LONG_S
    for _ in range(2 + MANY // event_collection.MAX_SCANNED):
        control.state.records_read = 0
        collection.collect()
        assert control.state.records_read <= event_collection.MAX_SCANNED
    assert list(control.state.records(EventRecord)) == [event_name("g.", MANY - 1)]
    assert histories.of(control.state).of("g.").revision == MANY


@given(st.integers(0, 20), st.integers(1, 7))
def test_each_pass_has_every_name_once(count: int, limit: int) -> None:
    control = Control()
    control.propose([put(NumberRecord(1), f"n{number}") for number in range(count)])
    cursor = NameCursor(NumberRecord)
    for _ in range(3):
        names: list[str] = []
        while len(names) < count:
            batch = cursor.take(control.state, limit)
            assert 0 < len(batch) <= limit
            names += batch
        assert sorted(names) == sorted(f"n{number}" for number in range(count))
    assert len(cursor.take(control.state, limit)) == min(limit, count)
