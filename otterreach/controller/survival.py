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
class FailureDomain:
    """What a machine fails together with."""

    zone: str
    region: str


def limits_of(settings: Settings) -> SurviveLimits:
    """The limits that a settings file states."""
    return SurviveLimits(settings.survive_nodes, settings.survive_zones, settings.survive_regions)


def failure_domain_of(zone: str, regions: Mapping[str, str]) -> FailureDomain:
    """The failure domain of a machine by its zone; `regions` is the settings' table of the zones' regions."""
    return FailureDomain(zone, regions.get(zone, ""))


# Replicas ----------------------------------------------------------------------------------------


def unmet_by_replicas(domains: Collection[FailureDomain], limits: SurviveLimits) -> list[str]:
    """The kinds of allowed losses (nodes, zones, regions) of which one may take every replica."""
    counts = {
        "nodes": (len(domains), limits.nodes),
        "zones": (len({domain.zone for domain in domains}), limits.zones),
        "regions": (len({domain.region for domain in domains}), limits.regions),
    }
    return [kind for kind, (present, lost) in counts.items() if present <= lost]


def choose_replicas(
    present: Sequence[str], candidates: Sequence[str], domains: Mapping[str, FailureDomain], limits: SurviveLimits
) -> list[str]:
    """The fewest candidates to add to `present` so that the replicas survive every allowed loss.

    Where that is out of reach, the best that there is: `unmet_by_replicas` tells what is missing.

    :param candidates: in the order of preference
    """
    chosen: list[str] = []
    while True:
        replicas = [*present, *chosen]
        unmet = unmet_by_replicas([domains[member] for member in replicas], limits)
        free = [candidate for candidate in candidates if candidate not in replicas]
        best = _most_useful(free, [domains[member] for member in replicas], domains, unmet)
        if best is None:
            return chosen
        chosen.append(best)


def _most_useful(
    free: Sequence[str],
    present: Sequence[FailureDomain],
    domains: Mapping[str, FailureDomain],
    unmet: Collection[str],
) -> str | None:
    """The candidate that helps against the widest unmet kind of loss; None if nothing is unmet, or nobody helps."""
    regions = {domain.region for domain in present}
    zones = {domain.zone for domain in present}
    useful = {
        "regions": [candidate for candidate in free if domains[candidate].region not in regions],
        "zones": [candidate for candidate in free if domains[candidate].zone not in zones],
        "nodes": list(free),
    }
    for kind, helpers in useful.items():
        if kind in unmet and helpers:
            return helpers[0]
    return None


# Voters ------------------------------------------------------------------------------------------


def unmet_by_voters(domains: Collection[FailureDomain], limits: SurviveLimits) -> list[str]:
    """The kinds of allowed losses of which one may take the majority."""
    lost = {
        "nodes": limits.nodes,
        "zones": _largest(Counter(domain.zone for domain in domains), limits.zones),
        "regions": _largest(Counter(domain.region for domain in domains), limits.regions),
    }
    return [kind for kind, count in lost.items() if (len(domains) - count) * 2 <= len(domains)]


def _largest(counts: Counter[str], groups: int) -> int:
    """How many voters stand in the `groups` groups that have most of them."""
    return sum(count for _, count in counts.most_common(groups))


def choose_voters(candidates: Sequence[str], domains: Mapping[str, FailureDomain], limits: SurviveLimits) -> list[str]:
    """The most candidates that keep a majority after every allowed loss, in the order of preference.

    Zones or regions with more machines than others get at most as many voters as keeps the balance. Where no choice
    keeps a majority after each loss, the one with which it does after most kinds of losses.
    """
    unmet = unmet_by_voters([domains[candidate] for candidate in candidates], limits)
    if not limits.zones and not limits.regions or not unmet:
        return list(candidates)
    options: list[list[str]] = []
    for zone_cap in range(1, len(candidates) + 1):
        options.extend(
            _capped(candidates, domains, zone_cap, region_cap) for region_cap in range(zone_cap, len(candidates) + 1)
        )

    def preference(option: list[str]) -> tuple[int, int]:
        """The sort key: the fewest losses that are not survived, then the most voters."""
        return -len(unmet_by_voters([domains[voter] for voter in option], limits)), len(option)

    return max(options, key=preference, default=[])


def _capped(
    candidates: Iterable[str], domains: Mapping[str, FailureDomain], zone_cap: int, region_cap: int
) -> list[str]:
    """The first candidates, no more than so many in a zone and in a region."""
    zones: Counter[str] = Counter()
    regions: Counter[str] = Counter()
    chosen = []
    for candidate in candidates:
        domain = domains[candidate]
        if zones[domain.zone] < zone_cap and regions[domain.region] < region_cap:
            zones[domain.zone] += 1
            regions[domain.region] += 1
            chosen.append(candidate)
    return chosen


def may_remove_voter(
    removed: str, voters: Sequence[str], domains: Mapping[str, FailureDomain], limits: SurviveLimits
) -> bool:
    """Whether the others keep a majority after each loss after which all do now, and after the loss of `nodes`."""
    before = unmet_by_voters([domains[voter] for voter in voters], limits)
    after = unmet_by_voters([domains[voter] for voter in voters if voter != removed], limits)
    return "nodes" not in after and set(after) <= set(before)
