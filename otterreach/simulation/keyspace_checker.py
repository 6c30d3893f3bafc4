"""Keys: revisions that rise, reads that are not stale, and no value that nobody put, or whose put was rejected."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from otterreach.simulation.coordination_history import (
    Call,
    CoordinationHistory,
    Put,
    Rule,
    Violation,
    group_of,
    rule_of,
)

REJECTED = HTTPStatus.PRECONDITION_FAILED


@dataclass(frozen=True, slots=True)
class Sighting:
    """An answer that shows a value of a key at a revision."""

    call: Call
    key: str
    value: str
    revision: int

    def __str__(self) -> str:
        return f"{self.value} of {self.key} at {self.revision} ({self.call.span})"


@dataclass(frozen=True, slots=True)
class KeyRevision:
    """An answer that names the revision of a key: a read, or the rejection of a put."""

    call: Call
    key: str
    revision: int

    def __str__(self) -> str:
        return f"{self.key} answered at revision {self.revision} ({self.call.span})"


class Keyspace:
    """What the answers of a history show of the keys."""

    def __init__(self, history: CoordinationHistory) -> None:
        self.history = history
        self.puts = {put.value: put for put in history.puts}
        self.sightings = list(_sightings(history))
        self.key_revisions = list(_key_revisions(history))
        self.revision_of: dict[str, int] = {}  # of each value that was shown, as it was first
        self.value_at: dict[tuple[str, int], str] = {}  # by group and revision
        for sighting in self.sightings:
            self.revision_of.setdefault(sighting.value, sighting.revision)
            self.value_at.setdefault((group_of(sighting.key), sighting.revision), sighting.value)

    def taken(self) -> list[Put]:
        """The puts that are known to have been taken, by revision; groups are not told apart."""
        known = [self.puts[value] for value in self.revision_of if value in self.puts]
        return sorted(known, key=lambda put: self.revision_of[put.value])


def _sightings(history: CoordinationHistory) -> Iterator[Sighting]:
    for put in history.puts:
        for copy in put.copies:
            if copy.is_ok:
                yield Sighting(copy, put.key, put.value, copy.revision)
    for read in history.reads:
        if read.is_ok:
            yield Sighting(read, read.key, read.value, read.revision)
    for watch in history.watches:
        for event in watch.events:
            yield Sighting(watch, event.key, event.value, event.revision)


def _key_revisions(history: CoordinationHistory) -> Iterator[KeyRevision]:
    for put in history.puts:
        for copy in put.copies:
            if copy.status == REJECTED:
                yield KeyRevision(copy, put.key, copy.revision)
    for read in history.reads:
        if read.is_ok or read.status == HTTPStatus.NOT_FOUND:
            yield KeyRevision(read, read.key, read.revision)


def find_key_violations(history: CoordinationHistory) -> Iterator[Violation]:
    """What breaks a rule of keys."""
    keyspace = Keyspace(history)
    yield from _shown_values(keyspace)
    yield from _rejections(keyspace)
    yield from _revisions_that_do_not_rise(keyspace)
    yield from _puts_over_later_revisions(keyspace)
    yield from _stale_answers(keyspace)


def _shown_values(keyspace: Keyspace) -> Iterator[Violation]:
    for sighting in keyspace.sightings:
        put = keyspace.puts.get(sighting.value)
        first_revision = keyspace.revision_of[sighting.value]
        first_value = keyspace.value_at[group_of(sighting.key), sighting.revision]
        if put is None or put.key != sighting.key:
            yield Violation(Rule.MIXED, f"nobody put {sighting}")
        elif put.is_rejected:
            yield Violation(Rule.REFUSED, f"{sighting}, but the {put}")
        elif first_revision != sighting.revision:
            yield Violation(Rule.MIXED, f"{sighting} was also shown at {first_revision}")
        elif first_value != sighting.value:
            yield Violation(Rule.ORDER, f"{sighting}: that revision was also given to {first_value}")


def _rejections(keyspace: Keyspace) -> Iterator[Violation]:
    """A rejection names a revision that the key was given, and another than the one that the put expected."""
    unshown = {put.key for put in keyspace.history.puts if _may_be_taken_unshown(keyspace, put)}
    for put in keyspace.history.puts:
        for copy in put.copies:
            if copy.status != REJECTED:
                continue
            value = keyspace.value_at.get((group_of(put.key), copy.revision), "")
            source = keyspace.puts.get(value)
            named = source is not None and source.key == put.key
            possible = copy.revision == 0 or named or (not value and put.key in unshown)
            if copy.revision == put.expect or not possible:
                yield Violation(Rule.MIXED, f"a rejection that names {copy.revision}: {put}")


def _may_be_taken_unshown(keyspace: Keyspace, put: Put) -> bool:
    return put.value not in keyspace.revision_of and not put.is_rejected


def _revisions_that_do_not_rise(keyspace: Keyspace) -> Iterator[Violation]:
    """The revision of a put is above all of its group that were named before its first copy was sent."""
    named: defaultdict[str, list[tuple[float, int]]] = defaultdict(list)  # (when, revision) by group
    for sighting in keyspace.sightings:
        named[group_of(sighting.key)].append((sighting.call.answered, sighting.revision))
    for answer in keyspace.key_revisions:
        named[group_of(answer.key)].append((answer.call.answered, answer.revision))
    for watch in keyspace.history.watches:
        if watch.is_ok:
            named[watch.group].append((watch.answered, watch.revision))
    ceilings = {group: HighestBefore(answers) for group, answers in named.items()}
    for put in keyspace.taken():
        revision = keyspace.revision_of[put.value]
        highest = ceilings[group_of(put.key)].at(put.sent)
        if revision <= highest:
            rule = Rule.LOST if any(copy.final for copy in put.copies) else Rule.ORDER
            yield Violation(rule, f"revision {revision} is not above {highest}, named before: {put}")


def _puts_over_later_revisions(keyspace: Keyspace) -> Iterator[Violation]:
    latest: dict[str, Put] = {}  # by key
    for put in keyspace.taken():
        revision = keyspace.revision_of[put.value]
        earlier = latest.get(put.key)
        floor = keyspace.revision_of[earlier.value] if earlier else 0
        if put.expect < floor or put.expect >= revision:
            yield Violation(Rule.ORDER, f"taken at {revision} over {floor}: {put}")
        latest[put.key] = put


def _stale_answers(keyspace: Keyspace) -> Iterator[Violation]:
    """No read, rejection or watch shows less than what was acknowledged before it was sent."""
    of_key: defaultdict[str, list[tuple[float, int]]] = defaultdict(list)  # (when, revision)
    of_group: defaultdict[str, list[tuple[float, int]]] = defaultdict(list)
    for put in keyspace.taken():
        if put.acknowledged < inf:
            known = (put.acknowledged, keyspace.revision_of[put.value])
            of_key[put.key].append(known)
            of_group[group_of(put.key)].append(known)
    key_floors = {key: HighestBefore(known) for key, known in of_key.items()}
    group_floors = {group: HighestBefore(known) for group, known in of_group.items()}
    for answer in keyspace.key_revisions:
        floor = key_floors[answer.key].at(answer.call.sent) if answer.key in key_floors else 0
        if answer.revision < floor:
            yield Violation(rule_of(answer.call, Rule.STALE), f"{answer}, acknowledged was {floor}")
    for watch in keyspace.history.watches:
        floor = group_floors[watch.group].at(watch.decided_after) if watch.group in group_floors else 0
        if watch.is_ok and watch.revision < floor:
            yield Violation(rule_of(watch, Rule.STALE), f"{watch}, acknowledged was {floor}")


class HighestBefore:
    """The highest revision that was known before a moment."""

    def __init__(self, known: Sequence[tuple[float, int]]) -> None:
        """:param known: (when, revision)."""
        ordered = sorted(known)
        self._moments = [moment for moment, _ in ordered]
        self._highest: list[int] = []
        for _, revision in ordered:
            self._highest.append(max(revision, self._highest[-1] if self._highest else 0))

    def at(self, moment: float) -> int:
        """The highest revision known before this moment; 0 if none was."""
        place = bisect_left(self._moments, moment)
        return self._highest[place - 1] if place else 0
