"""Watches: every put of the group in the span of an answer, once and rising, and no 410 for a young revision."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator
from http import HTTPStatus
from itertools import pairwise

from otterreach.simulation.coordination_history import CoordinationHistory, Rule, Violation, Watch, group_of
from otterreach.simulation.keyspace_checker import Keyspace


def find_watch_violations(history: CoordinationHistory, history_s: float) -> Iterator[Violation]:
    """What breaks a rule of watches. `history_s`: how long a revision that was given can be resumed from."""
    keyspace = Keyspace(history)
    revisions: defaultdict[str, list[int]] = defaultdict(list)  # of the puts that were taken, by group
    for put in keyspace.taken():
        revisions[group_of(put.key)].append(keyspace.revision_of[put.value])
    for watch in history.watches:
        if watch.status == HTTPStatus.GONE:
            yield from _gone_too_early(watch, history_s)
        elif watch.is_ok:
            yield from _events_out_of_order(watch)
            yield from _events_skipped(watch, revisions[watch.group])


def _gone_too_early(watch: Watch, history_s: float) -> Iterator[Violation]:
    age_s = watch.answered - watch.past_given
    if watch.past == 0:
        yield Violation(Rule.LOST, f"410 for the present revision: {watch}")
    elif age_s < history_s:
        yield Violation(Rule.LOST, f"410 for a revision given {age_s:.2f} s before: {watch}")


def _events_out_of_order(watch: Watch) -> Iterator[Violation]:
    """A `past` of 0 asks for the present revision alone, or for all events of a group that had none yet."""
    told = [event.revision for event in watch.events]
    if watch.past == 0 and told and told[0] != 1:
        yield Violation(Rule.ORDER, f"events though only the revision was asked for: {watch}")
    if any(after <= before for before, after in pairwise([watch.past, *told])):
        yield Violation(Rule.ORDER, f"events do not rise: {watch}")
    if any(revision > watch.revision for revision in told) or watch.revision < watch.past:
        yield Violation(Rule.ORDER, f"the revision is below what it covers: {watch}")
    if any(group_of(event.key) != watch.group for event in watch.events):
        yield Violation(Rule.MIXED, f"an event of another group: {watch}")


def _events_skipped(watch: Watch, taken: list[int]) -> Iterator[Violation]:
    """:param taken: the revisions of all puts of the group that are known to have been taken, rising."""
    if watch.past == 0 and not watch.events:
        return
    due = taken[bisect_right(taken, watch.past) : bisect_left(taken, watch.revision + 1)]
    skipped = set(due) - {event.revision for event in watch.events}
    if skipped:
        yield Violation(Rule.ORDER, f"skips {sorted(skipped)}: {watch}")
