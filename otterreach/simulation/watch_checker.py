"""Checker of watches: every put in the range of an answer, once and in order, and no 410 for a recent revision."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator
from http import HTTPStatus
from itertools import pairwise

from otterreach.simulation.coordination_history import CoordinationHistory, Rule, Violation, Watch, group_of
from otterreach.simulation.keyspace_checker import Keyspace


def find_watch_violations(history: CoordinationHistory, history_s: float) -> Iterator[Violation]:
    """Yield the violations of the rules of watches. `history_s`: how long a received revision can be resumed from."""
    keyspace = Keyspace(history)
    revisions: defaultdict[str, list[int]] = defaultdict(list)  # of the applied puts, by group
    for put in keyspace.applied_puts():
        revisions[group_of(put.key)].append(keyspace.revision_of[put.value])
    for watch in history.watches:
        if watch.status == HTTPStatus.GONE:
            yield from _find_early_gone(watch, history_s)
        elif watch.is_ok:
            yield from _find_misordered_events(watch)
            yield from _find_skipped_events(watch, revisions[watch.group])


def _find_early_gone(watch: Watch, history_s: float) -> Iterator[Violation]:
    age_s = watch.answered - watch.past_received_at
    if watch.past == 0:
        yield Violation(Rule.LOST, f"410 for the current revision: {watch}")
    elif age_s < history_s:
        yield Violation(Rule.LOST, f"410 for a revision received only {age_s:.2f} s before: {watch}")


def _find_misordered_events(watch: Watch) -> Iterator[Violation]:
    """Yield wrong events. With `past` 0, only the current revision is due, or all events of a group without any yet."""
    revisions = [event.revision for event in watch.events]
    if watch.past == 0 and revisions and revisions[0] != 1:
        yield Violation(Rule.ORDER, f"events although only the revision was requested: {watch}")
    if any(after <= before for before, after in pairwise([watch.past, *revisions])):
        yield Violation(Rule.ORDER, f"event revisions do not increase: {watch}")
    if any(revision > watch.revision for revision in revisions) or watch.revision < watch.past:
        yield Violation(Rule.ORDER, f"the revision is below that of an event or below `past`: {watch}")
    if any(group_of(event.key) != watch.group for event in watch.events):
        yield Violation(Rule.MIXED, f"event of another group: {watch}")


def _find_skipped_events(watch: Watch, applied_revisions: list[int]) -> Iterator[Violation]:
    """:param applied_revisions: revisions of the puts of the group that are known to have been applied, ascending."""
    if watch.past == 0 and not watch.events:
        return
    due = applied_revisions[
        bisect_right(applied_revisions, watch.past) : bisect_left(applied_revisions, watch.revision + 1)
    ]
    skipped = set(due) - {event.revision for event in watch.events}
    if skipped:
        yield Violation(Rule.ORDER, f"events of revisions {sorted(skipped)} are missing: {watch}")
