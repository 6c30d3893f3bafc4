"""Keys with compare-and-put. Keys that begin alike up to the first dot are a group and share one count of revisions.

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
    """The present value of a key."""

    value: str
    revision: int
    expected: int | None  # the revision that the key had to have; None: any


@dataclass(frozen=True, slots=True)
class Put:
    """Sets a key that has the revision `expected`, or doesn't exist if that is 0; whatever it has if that is None."""

    name: str
    value: str
    expected: int | None


@dataclass(frozen=True, slots=True)
class Written:
    """The put is accepted once `entry`, and its event in the history, are stored."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Repeated:
    """Exactly this put was accepted before, with this revision. Nothing changes."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key has another revision than expected: this one. Nothing changes."""

    revision: int


def group_of(name: str) -> str:
    """The group that a key belongs to, its dot included; a key without a dot is a group of its own."""
    group, dot, _ = name.partition(SEPARATOR)
    return group + dot


def put(call: Put, entry: Entry | None, history: GroupHistory) -> Written | Repeated | Conflict:
    """Decide a put.

    A put with the value and the expected revision of an accepted one is that one, sent again, however many came since.
    With an expected revision that is sure, for a key has one accepted put at most on each; without one, values that
    are put within the time that the history spans have to differ.

    :param history: of the key's group; it has to keep events for as long as puts may be sent again
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
