"""Stored locks, numbers, keys and events read the same, and are written the same, as on disks in service.

The file in tests/data was made when these kinds first were stored. It is never made anew.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from otterreach.controller.coordination_records import (
    COORDINATION_KINDS,
    EventRecord,
    FenceRecord,
    KeyRecord,
    LockRecord,
    NumberRecord,
    event_name,
    split_event_name,
)
from otterreach.coordination.history import Event
from otterreach.coordination.keyspace import Entry
from otterreach.coordination.locks import Hold
from otterreach.runtime.records import Record, key_of

DATA = Path(__file__).parent.parent / "data"
LARGEST = 9007199254740991
TEXT = "\U0001f9a6 \x00\n"
RECORDS: dict[str, Record] = {
    "lock/l1f": LockRecord(Hold("a3.7", 41, 39, 3000)),
    "lock/e~2": LockRecord(Hold('K\u00f6nigin "1"', LARGEST, 1, 86_400_000)),
    "fence": FenceRecord(LARGEST),
    "number/n2": NumberRecord(5120),
    "cell/g1.2d": KeyRecord(Entry("5c0e7a21d94b36f8", 931, 907)),
    "cell/g1.first": KeyRecord(Entry("", 1, 0)),
    "cell/nodot": KeyRecord(Entry(TEXT, 4, None)),
    "event/g1./0": EventRecord(Event("g1.2d", "5c0e7a21d94b36f8", 931, 907)),
    "event/g1./16383": EventRecord(Event("g1.first", "", 1, 0)),
    "event/nodot/2": EventRecord(Event("nodot", TEXT, 4, None)),
}


def stored_items() -> Iterator[tuple[str, str]]:
    yield from json.loads((DATA / "coordination_items.json").read_text()).items()


def test_the_values_cover_every_kind_of_item() -> None:
    kinds = {key.partition("/")[0] for key, _ in stored_items()}
    assert kinds == COORDINATION_KINDS == {"lock", "fence", "number", "cell", "event"}
    assert {key for key, _ in stored_items()} == RECORDS.keys()


@pytest.mark.parametrize(("key", "value"), stored_items())
def test_an_item_is_read_as_its_record_and_written_with_the_same_bytes(key: str, value: str) -> None:
    record = RECORDS[key]
    kind = type(record)
    assert key_of(kind, key.partition("/")[2]) == key
    assert kind.decode(value.encode()) == record
    assert record.encode() == value.encode()


@pytest.mark.parametrize(
    ("name", "group", "slot"), [("g1./0", "g1.", 0), ("g1./16383", "g1.", 16383), ("nodot/2", "nodot", 2)]
)
def test_the_name_of_an_event_tells_its_group_and_slot(name: str, group: str, slot: int) -> None:
    assert split_event_name(name) == (group, slot)
    assert event_name(group, slot) == name
