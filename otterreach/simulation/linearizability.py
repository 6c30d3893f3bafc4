"""Linearizability checker for the history of operators' calls.

A history is linearizable if each call can take effect at one point between its sending and its answer such that all
answers are those of a single register whose changes are compare-and-set on its version.

A change names the version that it is based on, so the changes that took effect form a chain of versions. The checker
searches for the chain, then chooses the linearization points as early as the answers allow; both steps are exact.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import inf

Marks = tuple[str, ...]  # content of a version: the marks of the changes that it consists of


class Outcome(Enum):
    """Outcome of a change, as far as its caller knows."""

    INDETERMINATE = "unclear"  # indeterminate: may take effect at any time after its sending, or never
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # another version was current: the change never takes effect


@dataclass(slots=True, eq=False)
class Change:
    """One operator's change, including all its copies. `base` and `gen` are versions; 0 stands for the empty start."""

    base: int
    gen: int
    mark: str
    replaces_content: bool  # replaces the whole content; otherwise adds to it
    called: float
    answered: float = inf  # time of the first definite answer
    outcome: Outcome = Outcome.INDETERMINATE

    def __str__(self) -> str:
        span = f"{self.called:.3f} to {self.answered:.3f}"
        return f"{self.mark} ({self.base} to {self.gen}, {self.outcome.value}, {span})"


@dataclass(frozen=True, slots=True)
class Read:
    """One answered read; version 0 without marks before the first version."""

    gen: int
    marks: Marks
    called: float
    answered: float

    def __str__(self) -> str:
        return f"read of {self.gen} {self.marks[-1:]} ({self.called:.3f} to {self.answered:.3f})"


def find_violation(changes: Sequence[Change], reads: Sequence[Read]) -> str:
    """Return a description of the violation; empty if the history is linearizable."""
    search = _Search(changes, reads)
    if search.violation:
        return search.violation
    first = ""
    for chain in search.chains():
        violation = _Placement(chain, reads, search.refused).violation()
        if not violation:
            return ""
        first = first or violation
    return first or search.violation or "no order of the changes explains all answers"


class _Search:
    """The search for chains of changes that contain all acknowledged and all read versions."""

    def __init__(self, changes: Sequence[Change], reads: Sequence[Read]) -> None:
        self.violation = ""
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
                self.violation = f"{read}: no such change was sent"
            elif source.outcome is Outcome.REFUSED:
                self.violation = f"{read}: {source} was refused"
            else:
                self._needed.add(source.mark)

    def chains(self) -> Iterator[list[Change]]:
        """Yield every chain, that without unneeded changes first. Set `violation` if answers contradict each other."""
        open_chains: list[list[Change]] = [[]]
        while open_chains:
            chain = open_chains.pop()
            found = self._by_base.get(chain[-1].gen if chain else 0, [])
            needed = [change for change in found if change.mark in self._needed]
            if len(needed) > 1:
                self.violation = f"two changes on one version: {needed[0]} and {needed[1]}"
                continue
            if needed:
                open_chains.append([*chain, needed[0]])
                continue
            open_chains += [[*chain, change] for change in found]
            missing = self._needed - {change.mark for change in chain}
            if not missing:
                yield chain
            elif not self.violation:
                self.violation = f"no chain of versions leads to {sorted(missing)[0]}"


@dataclass
class _Placement:
    """The linearization points of the changes of one chain, each as early as the answers allow."""

    chain: list[Change]
    reads: Sequence[Read]
    refused: Sequence[Change]
    index: dict[int, int] = field(init=False)  # position in the chain, by version; position 0 is the empty start
    earliest: list[float] = field(init=False)  # by position: the version did not become current before this time
    latest: list[float] = field(init=False)  # by position: the version was current by this time at the latest

    def violation(self) -> str:
        """Return a description of the answer that contradicts this order of changes; empty if there is none."""
        self.index = {0: 0} | {change.gen: n + 1 for n, change in enumerate(self.chain)}
        self.earliest = [-inf, *(change.called for change in self.chain)]
        self.latest = [inf, *(change.answered for change in self.chain)]
        return self._constrain_by_reads() or self._constrain_by_refusals() or self._find_late_version()

    def _constrain_by_reads(self) -> str:
        """Require that the version of each read was current at some time during the read, with the content read.

        So the version became current before the read was answered, and the next one after the read was called.
        """
        contents = self._contents()
        for read in self.reads:
            position = self.index[read.gen]
            if contents[position] != read.marks:
                return f"{read}: read {read.marks}, but version {read.gen} consists of {contents[position]}"
            self.latest[position] = min(self.latest[position], read.answered)
            if position + 1 < len(self.earliest):
                self.earliest[position + 1] = max(self.earliest[position + 1], read.called)
        return ""

    def _contents(self) -> list[Marks]:
        contents: list[Marks] = [()]
        for change in self.chain:
            contents.append((change.mark,) if change.replaces_content else (*contents[-1], change.mark))
        return contents

    def _constrain_by_refusals(self) -> str:
        """Require that at some time during each refused call, a version other than its base was current."""
        stable = False
        while not stable:
            stable = True
            points = self._linearization_points()
            for change in self.refused:
                position = self.index.get(change.base)
                if position is None or points[position + 1] <= change.answered or points[position] >= change.called:
                    continue
                if position == 0:
                    return f"{change}: refused although no other version was current"
                self.earliest[position] = change.called
                stable = False
        return ""

    def _linearization_points(self) -> list[float]:
        """Return the times at which the versions became current, followed by inf."""
        points = [-inf]
        for earliest in self.earliest[1:]:
            points.append(max(points[-1], earliest))
        return [*points, inf]

    def _find_late_version(self) -> str:
        points = self._linearization_points()
        for position, latest in enumerate(self.latest):
            if points[position] > latest:
                change = self.chain[position - 1]
                return f"{change} was not current before {points[position]:.3f}, but answers require it by {latest:.3f}"
        return ""
