"""Checker of keys: revisions increase, reads are not stale, and each value is that of a put that was not rejected."""

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
class Observation:
    """An answer that contains a value of a key and its revision."""

    call: Call
    key: str
    value: str
    revision: int

    def __str__(self) -> str:
        return f"{self.value} of {self.key} at {self.revision} ({self.call.span})"


@dataclass(frozen=True, slots=True)
class KeyRevision:
    """An answer that contains the revision of a key: a read, or the rejection of a put."""

    call: Call
    key: str
    revision: int

    def __str__(self) -> str:
        return f"{self.key} answered at revision {self.revision} ({self.call.span})"


class Keyspace:
    """State of the keys as far as the answers of a history reveal it."""

    def __init__(self, history: CoordinationHistory) -> None:
        self.history = history
        self.puts = {put.value: put for put in history.puts}
        self.observations = list(_observations(history))
        self.key_revisions = list(_key_revisions(history))
        self.revision_of: dict[str, int] = {}  # by value: the revision with which the value was first observed
        self.value_at: dict[tuple[str, int], str] = {}  # first observed value, by group and revision
        for observation in self.observations:
            self.revision_of.setdefault(observation.value, observation.revision)
            self.value_at.setdefault((group_of(observation.key), observation.revision), observation.value)

    def applied_puts(self) -> list[Put]:
        """Return the puts that are known to have been applied, of all groups together, ordered by revision."""
        known = [self.puts[value] for value in self.revision_of if value in self.puts]
        return sorted(known, key=lambda put: self.revision_of[put.value])


def _observations(history: CoordinationHistory) -> Iterator[Observation]:
    for put in history.puts:
        for copy in put.copies:
            if copy.is_ok:
                yield Observation(copy, put.key, put.value, copy.revision)
    for read in history.reads:
        if read.is_ok:
            yield Observation(read, read.key, read.value, read.revision)
    for watch in history.watches:
        for event in watch.events:
            yield Observation(watch, event.key, event.value, event.revision)


def _key_revisions(history: CoordinationHistory) -> Iterator[KeyRevision]:
    for put in history.puts:
        for copy in put.copies:
            if copy.status == REJECTED:
                yield KeyRevision(copy, put.key, copy.revision)
    for read in history.reads:
        if read.is_ok or read.status == HTTPStatus.NOT_FOUND:
            yield KeyRevision(read, read.key, read.revision)


def find_key_violations(history: CoordinationHistory) -> Iterator[Violation]:
    """Yield the violations of the rules of keys."""
    keyspace = Keyspace(history)
    yield from _find_unexplained_values(keyspace)
    yield from _find_wrong_rejections(keyspace)
    yield from _find_non_increasing_revisions(keyspace)
    yield from _find_unmet_expectations(keyspace)
    yield from _find_stale_answers(keyspace)


def _find_unexplained_values(keyspace: Keyspace) -> Iterator[Violation]:
    for observation in keyspace.observations:
        put = keyspace.puts.get(observation.value)
        first_revision = keyspace.revision_of[observation.value]
        first_value = keyspace.value_at[group_of(observation.key), observation.revision]
        if put is None or put.key != observation.key:
            yield Violation(Rule.MIXED, f"no put of this value to this key: {observation}")
        elif put.is_rejected:
            yield Violation(Rule.REFUSED, f"observed {observation}, although the put was rejected: {put}")
        elif first_revision != observation.revision:
            yield Violation(Rule.MIXED, f"{observation} was also observed at revision {first_revision}")
        elif first_value != observation.value:
            yield Violation(Rule.ORDER, f"{observation}: that revision also belongs to {first_value}")


def _find_wrong_rejections(keyspace: Keyspace) -> Iterator[Violation]:
    """Yield rejections whose revision is not one of the key, or is the one that the put expected."""
    unobserved = {put.key for put in keyspace.history.puts if _may_be_applied_unobserved(keyspace, put)}
    for put in keyspace.history.puts:
        for copy in put.copies:
            if copy.status != REJECTED:
                continue
            value = keyspace.value_at.get((group_of(put.key), copy.revision), "")
            source = keyspace.puts.get(value)
            named = source is not None and source.key == put.key
            possible = copy.revision == 0 or named or (not value and put.key in unobserved)
            if copy.revision == put.expect or not possible:
                yield Violation(
                    Rule.MIXED,
                    f"rejected with revision {copy.revision}, which the key never had or the put expected: {put}",
                )


def _may_be_applied_unobserved(keyspace: Keyspace, put: Put) -> bool:
    return put.value not in keyspace.revision_of and not put.is_rejected


def _find_non_increasing_revisions(keyspace: Keyspace) -> Iterator[Violation]:
    """Yield puts whose revision is not above all of the group that answers contained before the first copy was sent."""
    named: defaultdict[str, list[tuple[float, int]]] = defaultdict(list)  # (time, revision) by group
    for observation in keyspace.observations:
        named[group_of(observation.key)].append((observation.call.answered, observation.revision))
    for answer in keyspace.key_revisions:
        named[group_of(answer.key)].append((answer.call.answered, answer.revision))
    for watch in keyspace.history.watches:
        if watch.is_ok:
            named[watch.group].append((watch.answered, watch.revision))
    highest_named = {group: HighestBefore(answers) for group, answers in named.items()}
    for put in keyspace.applied_puts():
        revision = keyspace.revision_of[put.value]
        highest = highest_named[group_of(put.key)].at(put.sent)
        if revision <= highest:
            rule = Rule.LOST if any(copy.final for copy in put.copies) else Rule.ORDER
            yield Violation(
                rule, f"revision {revision} is not above {highest}, which an earlier answer contained: {put}"
            )


def _find_unmet_expectations(keyspace: Keyspace) -> Iterator[Violation]:
    latest: dict[str, Put] = {}  # last applied put so far, by key
    for put in keyspace.applied_puts():
        revision = keyspace.revision_of[put.value]
        earlier = latest.get(put.key)
        floor = keyspace.revision_of[earlier.value] if earlier else 0
        if put.expect < floor or put.expect >= revision:
            yield Violation(
                Rule.ORDER, f"applied at revision {revision} over revision {floor}, not over the expected one: {put}"
            )
        latest[put.key] = put


def _find_stale_answers(keyspace: Keyspace) -> Iterator[Violation]:
    """Yield reads, rejections and watches with a revision below one that was acknowledged before they were sent.

    A watch without events must also show what was acknowledged before the end of its wait.
    """
    of_key: defaultdict[str, list[tuple[float, int]]] = defaultdict(list)  # (time, revision)
    of_group: defaultdict[str, list[tuple[float, int]]] = defaultdict(list)
    for put in keyspace.applied_puts():
        if put.acknowledged < inf:
            known = (put.acknowledged, keyspace.revision_of[put.value])
            of_key[put.key].append(known)
            of_group[group_of(put.key)].append(known)
    key_floors = {key: HighestBefore(known) for key, known in of_key.items()}
    group_floors = {group: HighestBefore(known) for group, known in of_group.items()}
    for answer in keyspace.key_revisions:
        floor = key_floors[answer.key].at(answer.call.sent) if answer.key in key_floors else 0
        if answer.revision < floor:
            yield Violation(rule_of(answer.call, Rule.STALE), f"{answer}, but revision {floor} was acknowledged before")
    for watch in keyspace.history.watches:
        floor = group_floors[watch.group].at(watch.earliest_decision) if watch.group in group_floors else 0
        if watch.is_ok and watch.revision < floor:
            yield Violation(rule_of(watch, Rule.STALE), f"{watch}, but revision {floor} was acknowledged before")


class HighestBefore:
    """The highest revision that was known before a given time."""

    def __init__(self, known: Sequence[tuple[float, int]]) -> None:
        """:param known: (time, revision)."""
        ordered = sorted(known)
        self._times = [time for time, _ in ordered]
        self._highest: list[int] = []
        for _, revision in ordered:
            self._highest.append(max(revision, self._highest[-1] if self._highest else 0))

    def at(self, time: float) -> int:
        """Return the highest revision known before this time; 0 if there was none."""
        index = bisect_left(self._times, time)
        return self._highest[index - 1] if index else 0
