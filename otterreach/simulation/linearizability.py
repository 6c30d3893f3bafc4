"""Whether a history of operators' calls is linearizable.

Each call takes effect at one moment between its sending and its answer, and all answers fit one register whose changes
are compare-and-set on its version.

A change names the version that it builds on, so the changes that took effect form a chain of versions. The checker
finds the chain, then places its moments as early as the answers allow; both steps are exact.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import inf

Marks = tuple[str, ...]  # the content of a version, as the marks of the changes that it is made of


class Outcome(Enum):
    """What a caller knows of its change."""

    UNCLEAR = "unclear"  # no answer, or one that tells nothing: may take effect at any later time, or never
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # another version was current: it never takes effect


@dataclass(slots=True, eq=False)
class Change:
    """One operator's change, with all its resends. `base` and `gen` are version numbers, 0 before the first."""

    base: int
    gen: int
    mark: str
    whole: bool  # replaces the content; else adds to it
    called: float
    answered: float = inf  # when the first clear answer came
    outcome: Outcome = Outcome.UNCLEAR

    def __str__(self) -> str:
        span = f"{self.called:.3f} to {self.answered:.3f}"
        return f"{self.mark} ({self.base} to {self.gen}, {self.outcome.value}, {span})"


@dataclass(frozen=True, slots=True)
class Read:
    """One answered read. Before the first version: 0 and no marks."""

    gen: int
    marks: Marks
    called: float
    answered: float

    def __str__(self) -> str:
        return f"read of {self.gen} {self.marks[-1:]} ({self.called:.3f} to {self.answered:.3f})"


def find_violation(changes: Sequence[Change], reads: Sequence[Read]) -> str:
    """What does not fit; empty if the history is linearizable."""
    search = _Search(changes, reads)
    if search.fault:
        return search.fault
    first = ""
    for chain in search.chains():
        fault = _Placement(chain, reads, search.refused).fault()
        if not fault:
            return ""
        first = first or fault
    return first or search.fault or "no order of the changes explains all answers"


class _Search:
    """The chains of changes that hold all that was acknowledged or read."""

    def __init__(self, changes: Sequence[Change], reads: Sequence[Read]) -> None:
        self.fault = ""
        self.refused = [c for c in changes if c.outcome is Outcome.REFUSED]
        self._by_base: dict[int, list[Change]] = {}
        for change in changes:
            if change.outcome is not Outcome.REFUSED:
                self._by_base.setdefault(change.base, []).append(change)
        known = {change.mark: change for change in changes}
        self._needed = {c.mark for c in changes if c.outcome is Outcome.ACKNOWLEDGED}
        for read in reads:
            if not read.gen:
                continue
            source = known.get(read.marks[-1]) if read.marks else None
            if source is None or source.gen != read.gen:
                self.fault = f"{read}: nobody sent that"
            elif source.outcome is Outcome.REFUSED:
                self.fault = f"{read}: {source} was refused"
            else:
                self._needed.add(source.mark)

    def chains(self) -> Iterator[list[Change]]:
        """Every chain, the one without unneeded changes first. Sets `fault` where two answers exclude each other."""
        open_chains: list[list[Change]] = [[]]
        while open_chains:
            chain = open_chains.pop()
            found = self._by_base.get(chain[-1].gen if chain else 0, [])
            needed = [change for change in found if change.mark in self._needed]
            if len(needed) > 1:
                self.fault = f"two on one version: {needed[0]} and {needed[1]}"
                continue
            if needed:
                open_chains.append([*chain, needed[0]])
                continue
            open_chains += [[*chain, change] for change in found]
            missing = self._needed - {change.mark for change in chain}
            if not missing:
                yield chain
            elif not self.fault:
                self.fault = f"no chain of versions leads to {sorted(missing)[0]}"


@dataclass
class _Placement:
    """The moments at which the versions of one chain came into force, each as early as it can be."""

    chain: list[Change]
    reads: Sequence[Read]
    refused: Sequence[Change]
    index: dict[int, int] = field(init=False)  # place in the chain, by version; 0 is the empty start
    earliest: list[float] = field(init=False)
    latest: list[float] = field(init=False)

    def fault(self) -> str:
        """What does not fit into this order of changes; empty if all fits."""
        self.index = {0: 0} | {change.gen: n + 1 for n, change in enumerate(self.chain)}
        self.earliest = [-inf, *(change.called for change in self.chain)]
        self.latest = [inf, *(change.answered for change in self.chain)]
        return self._place_reads() or self._place_refusals() or self._late()

    def _place_reads(self) -> str:
        contents = self._contents()
        for read in self.reads:
            place = self.index[read.gen]
            if contents[place] != read.marks:
                return f"{read}: holds {read.marks}, and {contents[place]} belong to that version"
            self.latest[place] = min(self.latest[place], read.answered)
            if place + 1 < len(self.earliest):
                self.earliest[place + 1] = max(self.earliest[place + 1], read.called)
        return ""

    def _contents(self) -> list[Marks]:
        contents: list[Marks] = [()]
        for change in self.chain:
            contents.append((change.mark,) if change.whole else (*contents[-1], change.mark))
        return contents

    def _place_refusals(self) -> str:
        """A refusal needs a moment at which another version than its base was in force."""
        settled = False
        while not settled:
            settled = True
            moments = self._moments()
            for change in self.refused:
                place = self.index.get(change.base)
                if place is None or moments[place + 1] <= change.answered or moments[place] >= change.called:
                    continue
                if place == 0:
                    return f"{change}: no other version was in force"
                self.earliest[place] = change.called
                settled = False
        return ""

    def _moments(self) -> list[float]:
        """When each version came into force, and after the last one: never."""
        moments = [-inf]
        for earliest in self.earliest[1:]:
            moments.append(max(moments[-1], earliest))
        return [*moments, inf]

    def _late(self) -> str:
        moments = self._moments()
        for place, latest in enumerate(self.latest):
            if moments[place] > latest:
                change = self.chain[place - 1]
                return f"{change} was not in force before {moments[place]:.3f}, its answers say by {latest:.3f}"
        return ""
