"""The newest puts of a group of keys, by which watches resume and repeated puts are recognised.

Events live in numbered slots. A new event takes the slot of the oldest one, once that has been kept for long enough,
or a new slot. Old events may be removed besides, but for the newest one, which holds the group's revision.

    >>> history = GroupHistory()
    >>> history.store(0, Event("g1.a", "v1", revision=1, expected=0))
    >>> history.store(1, Event("g1.b", "v2", revision=2, expected=0))
    >>> [event.name for event in history.between(1, 2)]
    ['g1.b']
    >>> history.store(0, Event("g1.a", "v3", revision=3, expected=1))
    >>> history.between(0, 3) is None  # the first event is gone
    True
"""

from __future__ import annotations

from dataclasses import dataclass

EVENT_OVERHEAD_BYTES = 64  # of an event, besides its name and value, about


@dataclass(frozen=True, slots=True)
class Event:
    """One accepted put."""

    name: str
    value: str
    revision: int  # in the group
    expected: int | None  # the revision that the key had to have; None: any

    @property
    def size(self) -> int:
        """About how many bytes it takes."""
        return len(self.name) + len(self.value) + EVENT_OVERHEAD_BYTES


class GroupHistory:
    """The events of one group that are kept."""

    def __init__(self) -> None:
        self.revision = 0  # the group's newest
        self.bytes = 0
        self._slots: dict[int, Event] = {}
        self._next_slot = 0  # above all that were ever in use
        self._slot_of: dict[int, int] = {}  # by revision
        self._by_call: dict[tuple[str, str, int | None], Event] = {}  # by name, value and expected revision

    def __len__(self) -> int:
        return len(self._slots)

    def store(self, slot: int, event: Event) -> None:
        """Put an event into a slot, in place of the one there."""
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
        """Empty a slot, if it is in use. Not that of the newest event."""
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
        """The slot of the oldest event; None if there is none."""
        return self._slot_of[min(self._slot_of)] if self._slot_of else None

    def new_slot(self) -> int:
        """A slot that is not in use."""
        return self._next_slot

    def find(self, name: str, value: str, expected: int | None) -> Event | None:
        """The accepted put of this value, if its event is still kept."""
        return self._by_call.get((name, value, expected))

    def between(self, past: int, revision: int) -> list[Event] | None:
        """All events above `past` up to `revision`, rising; None if some of them aren't kept any more."""
        events = []
        for number in range(past + 1, revision + 1):
            slot = self._slot_of.get(number)
            if slot is None:
                return None
            events.append(self._slots[slot])
        return events
