"""Survival of losses: which replicas and voters remain after the loss of machines, zones or regions. Pure functions.

The allowed losses are separate, not combined: `nodes` machines, or all machines of `zones` zones, or all machines of
`regions` regions. Replicas survive if at least one remains after each such loss; voters if a majority remains.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from otterreach.runtime.settings import Settings


@dataclass(frozen=True, slots=True)
class SurviveLimits:
    """The numbers of machines, zones, or regions that may be lost at once."""

    nodes: int
    zones: int = 0
    regions: int = 0

    @property
    def replicas(self) -> int:
        """The fewest replicas that can survive every allowed loss."""
        return max(self.nodes, self.zones, self.regions) + 1


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """The zone and region of a machine, which it may fail together with."""

    zone: str
    region: str


def limits_of(settings: Settings) -> SurviveLimits:
    """Return the limits given by the settings."""
    return SurviveLimits(settings.survive_nodes, settings.survive_zones, settings.survive_regions)


def failure_domain_of(zone: str, regions: Mapping[str, str]) -> FailureDomain:
    """Return the failure domain of a machine in `zone`.

    :param regions: the settings' table of the region of each zone
    """
    return FailureDomain(zone, regions.get(zone, ""))


# Replicas ----------------------------------------------------------------------------------------


def unmet_by_replicas(domains: Collection[FailureDomain], limits: SurviveLimits) -> list[str]:
    """Return the kinds of allowed losses ("nodes", "zones", "regions") that may remove every replica."""
    counts = {
        "nodes": (len(domains), limits.nodes),
        "zones": (len({domain.zone for domain in domains}), limits.zones),
        "regions": (len({domain.region for domain in domains}), limits.regions),
    }
    return [kind for kind, (present, lost) in counts.items() if present <= lost]


def choose_replicas(
    present: Sequence[str], candidates: Sequence[str], domains: Mapping[str, FailureDomain], limits: SurviveLimits
) -> list[str]:
    """Return the fewest candidates to add to `present` so that the replicas survive every allowed loss.

    If no choice achieves that, return the best possible one; `unmet_by_replicas` names the losses it does not survive.

    :param candidates: in order of preference
    """
    chosen: list[str] = []
    while True:
        replicas = [*present, *chosen]
        unmet = unmet_by_replicas([domains[member] for member in replicas], limits)
        free = [candidate for candidate in candidates if candidate not in replicas]
        best = _best_candidate(free, [domains[member] for member in replicas], domains, unmet)
        if best is None:
            return chosen
        chosen.append(best)


def _best_candidate(
    free: Sequence[str],
    present: Sequence[FailureDomain],
    domains: Mapping[str, FailureDomain],
    unmet: Collection[str],
) -> str | None:
    """Return the first candidate that helps against the widest unmet kind of loss.

    :returns: None if nothing is unmet or no candidate helps
    """
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
    """Return the kinds of allowed losses ("nodes", "zones", "regions") that may remove the majority."""
    lost = {
        "nodes": limits.nodes,
        "zones": _count_in_largest(Counter(domain.zone for domain in domains), limits.zones),
        "regions": _count_in_largest(Counter(domain.region for domain in domains), limits.regions),
    }
    return [kind for kind, count in lost.items() if (len(domains) - count) * 2 <= len(domains)]


def _count_in_largest(counts: Counter[str], groups: int) -> int:
    """Return the number of voters in the `groups` largest groups."""
    return sum(count for _, count in counts.most_common(groups))


def choose_voters(candidates: Sequence[str], domains: Mapping[str, FailureDomain], limits: SurviveLimits) -> list[str]:
    """Return the largest set of candidates that keeps a majority after every allowed loss.

    The number of voters per zone and region is capped, so that zones or regions with more machines than others do not
    hold the majority. If no choice keeps a majority after every allowed loss, return the one that does so after the
    most kinds of losses.

    :param candidates: in order of preference
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
        """Return the sort key: fewest kinds of losses that are not survived, then most voters."""
        return -len(unmet_by_voters([domains[voter] for voter in option], limits)), len(option)

    return max(options, key=preference, default=[])


def _capped(
    candidates: Iterable[str], domains: Mapping[str, FailureDomain], zone_cap: int, region_cap: int
) -> list[str]:
    """Return the first candidates, at most `zone_cap` of a zone and `region_cap` of a region."""
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
    """Return True if a voter may be removed.

    The others must keep a majority after the loss of `nodes` machines, and after each other allowed loss that the
    present voters survive.
    """
    before = unmet_by_voters([domains[voter] for voter in voters], limits)
    after = unmet_by_voters([domains[voter] for voter in voters if voter != removed], limits)
    return "nodes" not in after and set(after) <= set(before)
