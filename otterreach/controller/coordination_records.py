"""Serialised records of locks, counters, keys and group histories: items of the control state.

The records are not sent to processes other than controllers. Kinds, JSON keys and their order are a persistent
format and must not change.
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
    """The current hold of a lock, keyed by the lock's name."""

    KIND: ClassVar[str] = "lock"

    hold: Hold

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its serialised form."""
        raw = json.loads(value)
        return cls(Hold(raw["owner"], raw["fence"], raw["first"], raw["hold_ms"]))

    def encode(self) -> bytes:
        """Return the serialised form."""
        hold = self.hold
        raw = {"owner": hold.owner, "fence": hold.fence, "first": hold.first_fence, "hold_ms": hold.hold_ms}
        return json.dumps(raw, separators=_SEPARATORS).encode()


@dataclass(frozen=True, slots=True)
class _CounterRecord:
    """The last value returned by a counter."""

    last: int

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its serialised form."""
        return cls(json.loads(value)["last"])

    def encode(self) -> bytes:
        """Return the serialised form."""
        return json.dumps({"last": self.last}, separators=_SEPARATORS).encode()


@dataclass(frozen=True, slots=True)
class FenceRecord(_CounterRecord):
    """The last fencing token issued for any lock. There is a single record, which is never deleted."""

    KIND: ClassVar[str] = "fence"


@dataclass(frozen=True, slots=True)
class NumberRecord(_CounterRecord):
    """The last value returned by a counter, keyed by the counter's name. It is never deleted."""

    KIND: ClassVar[str] = "number"


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The current value of a key, keyed by its name."""

    KIND: ClassVar[str] = "cell"

    entry: Entry

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its serialised form."""
        raw = json.loads(value)
        return cls(Entry(raw["value"], raw["rev"], raw["on"]))

    def encode(self) -> bytes:
        """Return the serialised form."""
        entry = self.entry
        raw = {"value": entry.value, "rev": entry.revision, "on": entry.expected}
        return json.dumps(raw, separators=_SEPARATORS).encode()


@dataclass(frozen=True, slots=True)
class EventRecord:
    """A slot of a group's history, keyed by `GROUP/SLOT`."""

    KIND: ClassVar[str] = "event"

    event: Event

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its serialised form."""
        raw = json.loads(value)
        return cls(Event(raw["name"], raw["value"], raw["rev"], raw["on"]))

    def encode(self) -> bytes:
        """Return the serialised form."""
        event = self.event
        raw = {"name": event.name, "value": event.value, "rev": event.revision, "on": event.expected}
        return json.dumps(raw, separators=_SEPARATORS).encode()


COORDINATION_KINDS = frozenset(kind.KIND for kind in (LockRecord, FenceRecord, NumberRecord, KeyRecord, EventRecord))


def event_name(group: str, slot: int) -> str:
    """Return the name of the item that stores a slot."""
    return f"{group}/{slot}"


def split_event_name(name: str) -> tuple[str, int]:
    """Return the group and the slot of an event item."""
    group, _, slot = name.rpartition("/")
    return group, int(slot)
