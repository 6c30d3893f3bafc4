"""Keys with compare-and-put. Keys with the same prefix up to the first dot form a group and share a revision counter.

>>> history = GroupHistory()
>>> put(Put("g1.a", "v1", expected=0), None, history)
Written(entry=Entry(value='v1', revision=1, expected=0))
>>> put(Put("g1.a", "v2", expected=7), Entry("v1", 1, 0), history)
Conflict(revision=1)
"""

from __future__ import annotations

from dataclasses import dataclass

from otterreach.coordination.history import GroupHistory

SEPARATOR = "."


@dataclass(frozen=True, slots=True)
class Entry:
    """The current value of a key."""

    value: str
    revision: int
    expected: int | None  # the key revision required by the put that wrote it; None: any revision


@dataclass(frozen=True, slots=True)
class Put:
    """Request to set a key if its revision is `expected`; 0 requires that the key doesn't exist, None allows any."""

    name: str
    value: str
    expected: int | None


@dataclass(frozen=True, slots=True)
class Written:
    """Result of a put that is accepted once `entry` and its history event have been stored."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Repeated:
    """Result of a put that has already been accepted with this revision. Nothing changes."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a put whose expected revision differs from the key's, which is given. Nothing changes."""

    revision: int


def group_of(name: str) -> str:
    """Return the group of a key, including the dot; a key without a dot is its own group."""
    group, dot, _ = name.partition(SEPARATOR)
    return group + dot


def put(call: Put, entry: Entry | None, history: GroupHistory) -> Written | Repeated | Conflict:
    """Decide on a put.

    A put with the same value and expected revision as an accepted one is a retry of it, however many puts have been
    accepted since. With an expected revision this is exact, since at most one put per key is accepted for each
    revision; without one, callers have to put different values within the period that the history covers.

    :param history: history of the key's group; it has to retain events for as long as puts may be retried
    """
    earlier = history.find(call.name, call.value, call.expected)
    if earlier is not None:
        return Repeated(earlier.revision)
    if entry is not None and (entry.value, entry.expected) == (call.value, call.expected):
        return Repeated(entry.revision)
    current = entry.revision if entry else 0
    if call.expected is not None and call.expected != current:
        return Conflict(current)
    return Written(Entry(call.value, history.revision + 1, call.expected))
