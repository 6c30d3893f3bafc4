"""History of the most recent puts of a key group, used to resume watches and to recognise repeated puts.

Events are stored in numbered slots. A new event overwrites the oldest one if that has passed its retention period, and
takes a new slot otherwise. Old events may also be removed, except the newest one, which stores the group's revision.

    >>> history = GroupHistory()
    >>> history.store(0, Event("g1.a", "v1", revision=1, expected=0))
    >>> history.store(1, Event("g1.b", "v2", revision=2, expected=0))
    >>> [event.name for event in history.between(1, 2)]
    ['g1.b']
    >>> history.store(0, Event("g1.a", "v3", revision=3, expected=1))
    >>> history.between(0, 3) is None  # the first event has been overwritten
    True
"""

from __future__ import annotations

from dataclasses import dataclass

EVENT_OVERHEAD_BYTES = 64  # estimated size of an event without its name and value


@dataclass(frozen=True, slots=True)
class Event:
    """An accepted put."""

    name: str
    value: str
    revision: int  # the group revision assigned to the put
    expected: int | None  # the key revision required by the put; None: any revision

    @property
    def size(self) -> int:
        """Estimated size in bytes."""
        return len(self.name) + len(self.value) + EVENT_OVERHEAD_BYTES


class GroupHistory:
    """The retained events of one group."""

    def __init__(self) -> None:
        self.revision = 0  # newest revision of the group
        self.bytes = 0
        self._slots: dict[int, Event] = {}
        self._next_slot = 0  # above every slot ever used
        self._slot_of: dict[int, int] = {}  # keyed by revision
        self._by_call: dict[tuple[str, str, int | None], Event] = {}  # keyed by name, value and expected revision

    def __len__(self) -> int:
        return len(self._slots)

    def store(self, slot: int, event: Event) -> None:
        """Store an event in a slot, replacing the event already there."""
        former = self._slots.get(slot)
        if former is not None:
            self._remove(former)
        self._slots[slot] = event
        self._next_slot = max(self._next_slot, slot + 1)
        self._slot_of[event.revision] = slot
        self._by_call[event.name, event.value, event.expected] = event
        self.bytes += event.size
        if former is not None and former.revision == self.revision:
            self.revision = max(self._slot_of)
        self.revision = max(self.revision, event.revision)

    def remove(self, slot: int) -> None:
        """Empty a slot if it is in use. The slot of the newest event must not be removed."""
        former = self._slots.pop(slot, None)
        if former is not None:
            self._remove(former)

    def _remove(self, event: Event) -> None:
        self._slot_of.pop(event.revision, None)
        self.bytes -= event.size
        call = (event.name, event.value, event.expected)
        if self._by_call.get(call) is event:
            del self._by_call[call]

    def oldest_slot(self) -> int | None:
        """Return the slot of the oldest event, or None if the history is empty."""
        return self._slot_of[min(self._slot_of)] if self._slot_of else None

    def new_slot(self) -> int:
        """Return an unused slot."""
        return self._next_slot

    def find(self, name: str, value: str, expected: int | None) -> Event | None:
        """Return the event of an accepted put with these arguments, or None if it is not retained."""
        return self._by_call.get((name, value, expected))

    def between(self, past: int, revision: int) -> list[Event] | None:
        """Return the events after `past` up to `revision` in ascending order; None if any is no longer retained."""
        events = []
        for number in range(past + 1, revision + 1):
            slot = self._slot_of.get(number)
            if slot is None:
                return None
            events.append(self._slots[slot])
        return events
