"""What any allowed loss leaves: arithmetic of replicas and majorities over machines, zones and regions. Pure.

The allowed losses are each by itself: `nodes` machines, or all machines of `zones` zones, or all of `regions` regions.
A set of replicas survives if each of them leaves one at least; a set of voters if each leaves a majority.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from otterreach.runtime.settings import Settings


@dataclass(frozen=True, slots=True)
class SurviveLimits:
    """How many machines, or zones, or regions may be lost at once."""

    nodes: int
    zones: int = 0
    regions: int = 0

    @property
    def replicas(self) -> int:
        """The fewest replicas that can survive every allowed loss."""
        return max(self.nodes, self.zones, self.regions) + 1


@dataclass(frozen=True, slots=True)
class Place:
    """Where a machine stands."""

    zone: str
    region: str


def limits_of(settings: Settings) -> SurviveLimits:
    """The limits that a settings file states."""
    return SurviveLimits(settings.survive_nodes, settings.survive_zones, settings.survive_regions)


def place_of(zone: str, regions: Mapping[str, str]) -> Place:
    """The place of a machine by its zone; `regions` is the settings' table of the zones' regions."""
    return Place(zone, regions.get(zone, ""))


# Replicas ----------------------------------------------------------------------------------------


def unmet_by_replicas(places: Collection[Place], limits: SurviveLimits) -> list[str]:
    """The kinds of allowed losses (nodes, zones, regions) of which one may take every replica."""
    counts = {
        "nodes": (len(places), limits.nodes),
        "zones": (len({p.zone for p in places}), limits.zones),
        "regions": (len({p.region for p in places}), limits.regions),
    }
    return [kind for kind, (there, lost) in counts.items() if there <= lost]


def choose_replicas(
    having: Sequence[str], candidates: Sequence[str], places: Mapping[str, Place], limits: SurviveLimits
) -> list[str]:
    """The fewest candidates to add to `having` so that the replicas survive every allowed loss.

    Candidates stand in the order of preference. Where they can't give it, the best that they can give:
    `unmet_by_replicas` tells what is missing."""
    chosen: list[str] = []
    while True:
        replicas = [*having, *chosen]
        unmet = unmet_by_replicas([places[m] for m in replicas], limits)
        free = [c for c in candidates if c not in replicas]
        best = _most_useful(free, [places[m] for m in replicas], places, unmet)
        if best is None:
            return chosen
        chosen.append(best)


def _most_useful(
    free: Sequence[str], there: Sequence[Place], places: Mapping[str, Place], unmet: Collection[str]
) -> str | None:
    """The candidate that mends the widest unmet kind of loss; None if nothing is unmet, or nobody helps."""
    regions, zones = {p.region for p in there}, {p.zone for p in there}
    useful = {
        "regions": [c for c in free if places[c].region not in regions],
        "zones": [c for c in free if places[c].zone not in zones],
        "nodes": list(free),
    }
    for kind, helpers in useful.items():
        if kind in unmet and helpers:
            return helpers[0]
    return None


# Voters ------------------------------------------------------------------------------------------


def unmet_by_voters(places: Collection[Place], limits: SurviveLimits) -> list[str]:
    """The kinds of allowed losses of which one may take the majority."""
    lost = {
        "nodes": limits.nodes,
        "zones": _largest(Counter(p.zone for p in places), limits.zones),
        "regions": _largest(Counter(p.region for p in places), limits.regions),
    }
    return [kind for kind, count in lost.items() if (len(places) - count) * 2 <= len(places)]


def _largest(counts: Counter[str], groups: int) -> int:
    """How many voters stand in the `groups` groups that have most of them."""
    return sum(count for _, count in counts.most_common(groups))


def choose_voters(candidates: Sequence[str], places: Mapping[str, Place], limits: SurviveLimits) -> list[str]:
    """The most candidates that keep a majority after every allowed loss, in the order of preference.

    Zones or regions with more machines than others get at most as many voters as keeps the balance. Where no choice
    keeps a majority after each loss, the one with which most kinds of losses do."""
    if not limits.zones and not limits.regions or not unmet_by_voters([places[c] for c in candidates], limits):
        return list(candidates)
    options: list[list[str]] = []
    for zone_cap in range(1, len(candidates) + 1):
        for region_cap in range(zone_cap, len(candidates) + 1):
            options.append(_capped(candidates, places, zone_cap, region_cap))

    def worth(option: list[str]) -> tuple[int, int]:
        return -len(unmet_by_voters([places[c] for c in option], limits)), len(option)

    return max(options, key=worth, default=[])


def _capped(candidates: Iterable[str], places: Mapping[str, Place], zone_cap: int, region_cap: int) -> list[str]:
    """The first candidates, no more than so many in a zone and in a region."""
    zones: Counter[str] = Counter()
    regions: Counter[str] = Counter()
    chosen = []
    for candidate in candidates:
        place = places[candidate]
        if zones[place.zone] < zone_cap and regions[place.region] < region_cap:
            zones[place.zone] += 1
            regions[place.region] += 1
            chosen.append(candidate)
    return chosen


def may_remove_voter(leaving: str, voters: Sequence[str], places: Mapping[str, Place], limits: SurviveLimits) -> bool:
    """Whether the others keep a majority after each loss after which all do now, and after the loss of `nodes`."""
    before = unmet_by_voters([places[v] for v in voters], limits)
    after = unmet_by_voters([places[v] for v in voters if v != leaving], limits)
    return "nodes" not in after and set(after) <= set(before)
