"""How the copies of something have to be spread so that any allowed loss leaves a whole one. Pure.

A deployment may lose `nodes` machines, or `zones` zones, or `regions` regions, each alone. Copies outlast all three if
there are more of them than `nodes`, in more zones than `zones` and in more regions than `regions`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """Where a machine stands."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Spread:
    """How many machines, zones and regions copies have to be on at least."""

    nodes: int
    zones: int = 1
    regions: int = 1

    @classmethod
    def surviving(cls, nodes: int, zones: int, regions: int) -> Spread:
        """What outlasts the loss of so many machines, or zones, or regions."""
        return cls(nodes + 1, zones + 1, regions + 1)

    @property
    def copies(self) -> int:
        """The fewest copies that can be spread so."""
        return max(self.nodes, self.zones, self.regions)

    def attainable(self, places: Mapping[str, Place]) -> Spread:
        """The most of it that these machines allow. The number of copies is never let go of."""
        found = span(places, places)
        return Spread(self.nodes, min(self.zones, found.zones), min(self.regions, found.regions))

    def lacking(self, found: Spread) -> Spread:
        """What is still missing, each 0 or more."""
        return Spread(
            max(0, self.nodes - found.nodes),
            max(0, self.zones - found.zones),
            max(0, self.regions - found.regions),
        )

    def holds(self, members: Collection[str], places: Mapping[str, Place]) -> bool:
        """Whether these members are spread so."""
        return self.lacking(span(members, places)) == NOTHING


NOTHING = Spread(0, 0, 0)


def span(members: Collection[str], places: Mapping[str, Place]) -> Spread:
    """How many machines, zones and regions these members are on; one whose place is not known counts for nothing."""
    known = [places[member] for member in members if member in places]
    return Spread(len(known), len({place.zone for place in known}), len({place.region for place in known}))
