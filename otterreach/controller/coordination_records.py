"""Stored forms of locks, counters, keys and the histories of groups: items of the control state.

They stay among the controllers. Kinds, JSON keys and their order are stored data: they keep their form for good.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import ClassVar, Self

from otterreach.coordination.history import Event
from otterreach.coordination.keyspace import Entry
from otterreach.coordination.locks import Hold

_SEPARATORS = (",", ":")


@dataclass(frozen=True, slots=True)
class LockRecord:
    """The present hold of a lock, by the lock's name."""

    KIND: ClassVar[str] = "lock"

    hold: Hold

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        return cls(Hold(raw["owner"], raw["fence"], raw["first"], raw["hold_ms"]))

    def encode(self) -> bytes:
        """The stored form."""
        hold = self.hold
        raw = {"owner": hold.owner, "fence": hold.fence, "first": hold.first_fence, "hold_ms": hold.hold_ms}
        return json.dumps(raw, separators=_SEPARATORS).encode()


@dataclass(frozen=True, slots=True)
class _CounterRecord:
    """The last value that a counter gave."""

    last: int

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        return cls(json.loads(value)["last"])

    def encode(self) -> bytes:
        """The stored form."""
        return json.dumps({"last": self.last}, separators=_SEPARATORS).encode()


@dataclass(frozen=True, slots=True)
class FenceRecord(_CounterRecord):
    """The last fencing token that was given to any holder of any lock. There is one, and it is never deleted."""

    KIND: ClassVar[str] = "fence"


@dataclass(frozen=True, slots=True)
class NumberRecord(_CounterRecord):
    """The last value that a counter gave, by the counter's name. It is never deleted."""

    KIND: ClassVar[str] = "number"


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The present value of a key, by its name."""

    KIND: ClassVar[str] = "cell"

    entry: Entry

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        return cls(Entry(raw["value"], raw["rev"], raw["on"]))

    def encode(self) -> bytes:
        """The stored form."""
        entry = self.entry
        raw = {"value": entry.value, "rev": entry.revision, "on": entry.expected}
        return json.dumps(raw, separators=_SEPARATORS).encode()


@dataclass(frozen=True, slots=True)
class EventRecord:
    """A slot of a group's history, by `GROUP/SLOT`."""

    KIND: ClassVar[str] = "event"

    event: Event

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        return cls(Event(raw["name"], raw["value"], raw["rev"], raw["on"]))

    def encode(self) -> bytes:
        """The stored form."""
        event = self.event
        raw = {"name": event.name, "value": event.value, "rev": event.revision, "on": event.expected}
        return json.dumps(raw, separators=_SEPARATORS).encode()


COORDINATION_KINDS = frozenset(kind.KIND for kind in (LockRecord, FenceRecord, NumberRecord, KeyRecord, EventRecord))


def event_name(group: str, slot: int) -> str:
    """The name of the item that holds a slot."""
    return f"{group}/{slot}"


def split_event_name(name: str) -> tuple[str, int]:
    """The group and the slot that an event item is for."""
    group, _, slot = name.rpartition("/")
    return group, int(slot)
