"""Linearizability checker for the calls on the keys of a group.

Every answer contains revisions, and the puts of a group are ordered by their revisions, so no search over orders is
needed. Each put gets the earliest linearization point that the answers allow; the history is linearizable if and only
if no answer requires an earlier one.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from math import inf

from otterreach.simulation.coordination_history import CoordinationHistory, Put, Rule, Violation, group_of
from otterreach.simulation.keyspace_checker import Keyspace


def find_linearizability_violations(history: CoordinationHistory) -> Iterator[Violation]:
    """Yield one violation for each group whose calls are not linearizable."""
    keyspace = Keyspace(history)
    groups: defaultdict[str, list[Put]] = defaultdict(list)
    for put in keyspace.applied_puts():
        groups[group_of(put.key)].append(put)
    for group, puts in groups.items():
        violation = _LinearizationPoints(keyspace, group, puts).violation()
        if violation:
            yield Violation(Rule.LINEARIZABLE, violation)


class _LinearizationPoints:
    """The linearization points of the puts of one group."""

    def __init__(self, keyspace: Keyspace, group: str, puts: list[Put]) -> None:
        """:param puts: the applied puts, ordered by revision."""
        self.keyspace = keyspace
        self.group = group
        self.puts = puts
        self.revisions = [keyspace.revision_of[put.value] for put in puts]
        self.earliest = [put.sent for put in puts]
        self.latest = [put.acknowledged for put in puts]
        self.positions: defaultdict[str, list[int]] = defaultdict(list)  # positions of the puts, by key
        for position, put in enumerate(puts):
            self.positions[put.key].append(position)

    def violation(self) -> str:
        """Return a description of the violation; empty if the calls are linearizable."""
        self._constrain_by_observations()
        self._constrain_by_key_revisions()
        self._constrain_by_watches()
        point = -inf
        for position, put in enumerate(self.puts):
            point = max(point, self.earliest[position])
            if point > self.latest[position]:
                late = f"answers require it by {self.latest[position]:.3f}, others not before {point:.3f}"
                return f"revision {self.revisions[position]}: {late}: {put}"
        return ""

    def _constrain_by_observations(self) -> None:
        position_of = {put.value: position for position, put in enumerate(self.puts)}
        for observation in self.keyspace.observations:
            position = position_of.get(observation.value)
            if position is not None:
                self.latest[position] = min(self.latest[position], observation.call.answered)

    def _constrain_by_key_revisions(self) -> None:
        """Require that the put after the answered revision of the key was applied after the call was sent."""
        for answer in self.keyspace.key_revisions:
            positions = self.positions.get(answer.key, [])
            following = bisect_right([self.revisions[position] for position in positions], answer.revision)
            if following < len(positions):
                self._require_not_before(positions[following], answer.call.sent)

    def _constrain_by_watches(self) -> None:
        """Require that puts up to an answer's revision precede it, and that later ones follow its earliest decision."""
        for watch in self.keyspace.history.watches:
            if watch.group != self.group or not watch.is_ok:
                continue
            following = bisect_right(self.revisions, watch.revision)
            if following < len(self.puts):
                self._require_not_before(following, watch.earliest_decision)
            if following:
                self.latest[following - 1] = min(self.latest[following - 1], watch.answered)

    def _require_not_before(self, position: int, time: float) -> None:
        self.earliest[position] = max(self.earliest[position], time)
