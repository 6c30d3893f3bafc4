"""Whether the calls on the keys of a group are linearizable.

Every answer names revisions, and the puts of a group have one order: that of their revisions. So no order has to be
searched: each put gets a moment, as early as the answers allow, and no answer may need it earlier. That is exact.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from math import inf

from otterreach.simulation.coordination_history import CoordinationHistory, Put, Rule, Violation, group_of
from otterreach.simulation.keyspace_checker import Keyspace


def find_linearizability_violations(history: CoordinationHistory) -> Iterator[Violation]:
    """One violation for each group whose calls have no order that explains all answers."""
    keyspace = Keyspace(history)
    groups: defaultdict[str, list[Put]] = defaultdict(list)
    for put in keyspace.taken():
        groups[group_of(put.key)].append(put)
    for group, puts in groups.items():
        fault = _Moments(keyspace, group, puts).fault()
        if fault:
            yield Violation(Rule.LINEARIZABLE, fault)


class _Moments:
    """The moments at which the puts of one group were taken."""

    def __init__(self, keyspace: Keyspace, group: str, puts: list[Put]) -> None:
        """:param puts: those that were taken, by revision."""
        self.keyspace = keyspace
        self.group = group
        self.puts = puts
        self.revisions = [keyspace.revision_of[put.value] for put in puts]
        self.earliest = [put.sent for put in puts]
        self.latest = [put.acknowledged for put in puts]
        self.places: defaultdict[str, list[int]] = defaultdict(list)  # of the puts of each key
        for place, put in enumerate(puts):
            self.places[put.key].append(place)

    def fault(self) -> str:
        """What does not fit; empty if all does."""
        self._place_sightings()
        self._place_key_revisions()
        self._place_watches()
        moment = -inf
        for place, put in enumerate(self.puts):
            moment = max(moment, self.earliest[place])
            if moment > self.latest[place]:
                late = f"its answers say by {self.latest[place]:.3f}, others not before {moment:.3f}"
                return f"revision {self.revisions[place]}: {late}: {put}"
        return ""

    def _place_sightings(self) -> None:
        place_of = {put.value: place for place, put in enumerate(self.puts)}
        for sighting in self.keyspace.sightings:
            place = place_of.get(sighting.value)
            if place is not None:
                self.latest[place] = min(self.latest[place], sighting.call.answered)

    def _place_key_revisions(self) -> None:
        """The next put to the key was taken after the call was sent."""
        for answer in self.keyspace.key_revisions:
            places = self.places.get(answer.key, [])
            following = bisect_right([self.revisions[place] for place in places], answer.revision)
            if following < len(places):
                self._not_before(places[following], answer.call.sent)

    def _place_watches(self) -> None:
        """All puts up to the answer's revision were taken before it, the others after it can have been decided."""
        for watch in self.keyspace.history.watches:
            if watch.group != self.group or not watch.is_ok:
                continue
            following = bisect_right(self.revisions, watch.revision)
            if following < len(self.puts):
                self._not_before(following, watch.decided_after)
            if following:
                self.latest[following - 1] = min(self.latest[following - 1], watch.answered)

    def _not_before(self, place: int, moment: float) -> None:
        self.earliest[place] = max(self.earliest[place], moment)
