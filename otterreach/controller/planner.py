"""Planning of the replica placement: the assignment of partitions to job store nodes.

The functions are pure: they take the current records and the known members, and return the changed records.

The members of a partition are spread over failure domains such that at least one of them survives every tolerated
failure (survival.py), as far as the live machines allow it; the number of replicas follows from that. Repairs, moves
and retirements preserve the spread.

A dead primary and a live backup swap roles immediately. A dead member stays in the record until a learner is in sync,
because it may hold the only other replica; writes wait in the meantime.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from otterreach.controller.survival import FailureDomain, SurviveLimits, choose_replicas, unmet_by_replicas
from otterreach.runtime.records import PartitionRecord

MAX_CONCURRENT_MOVES = 2  # partitions being rebalanced at a time
MAX_IMBALANCE = 2  # difference in replicas between two machines above which one is moved

Records = dict[int, PartitionRecord]  # keyed by partition number


@dataclass(frozen=True, slots=True)
class StoreMembers:
    """The live job store nodes: the failure domain of each by member id, and those that are to be emptied."""

    domains: dict[str, FailureDomain]
    leaving: frozenset[str] = field(default=frozenset())  # retiring, or about to shut down

    @property
    def usable(self) -> list[str]:
        """Members that may be assigned replicas."""
        return [member for member in self.domains if member not in self.leaving]

    def attainable(self, limits: SurviveLimits) -> SurviveLimits:
        """Return the strictest limits, up to the configured ones, that replicas on the usable members can satisfy."""
        return attainable([self.domains[member] for member in self.usable], limits)

    def survive(self, members: Collection[str], limits: SurviveLimits) -> bool:
        """Return True if any tolerated failure leaves at least one of the members that are alive and not leaving."""
        return not unmet_by_replicas([self.domains[member] for member in self.staying(members)], limits)

    def staying(self, members: Collection[str]) -> list[str]:
        """Return those of the members that are alive and not leaving."""
        return [member for member in members if member in self.domains and member not in self.leaving]

    def without(self, unreachable: Collection[str]) -> StoreMembers:
        """Return a copy without the members that a partition's primary can't reach."""
        if not unreachable:
            return self
        domains = {member: domain for member, domain in self.domains.items() if member not in unreachable}
        return StoreMembers(domains, self.leaving)


def _rank(partition: int, member: str) -> int:
    return zlib.crc32(f"{partition} {member}".encode())


def attainable(domains: Collection[FailureDomain], limits: SurviveLimits) -> SurviveLimits:
    """Return the limits, reduced to the available zones and regions. Tolerated node failures are never reduced."""
    zones = len({domain.zone for domain in domains})
    regions = len({domain.region for domain in domains})
    return SurviveLimits(
        limits.nodes,
        min(limits.zones, max(0, zones - 1)),
        min(limits.regions, max(0, regions - 1)),
    )


def _choose_additional(
    partition: int,
    limits: SurviveLimits,
    counted: Collection[str],
    named: Collection[str],
    stores: StoreMembers,
    load: Counter[str],
) -> list[str]:
    """Return the fewest additional members such that one replica survives any tolerated failure.

    Members in other zones are preferred, then the least loaded ones.

    :param counted: the members that already count towards the limits
    :param named: all members in the record, whether they count or not
    :param load: number of replicas per member; incremented for the chosen members
    """
    chosen: list[str] = []
    while True:
        replicas = [*counted, *chosen]
        candidates = _candidates_by_preference(partition, replicas, {*named, *chosen}, stores, load)
        best = choose_replicas(replicas, candidates, stores.domains, limits)
        if not best:
            return chosen
        chosen.append(best[0])
        load[best[0]] += 1


def _candidates_by_preference(
    partition: int, replicas: list[str], named: set[str], stores: StoreMembers, load: Counter[str]
) -> list[str]:
    zones = {stores.domains[member].zone for member in replicas}

    def order(member: str) -> tuple[bool, int, int]:
        """Return the sort key: other zones first, then the least loaded, then by the rank of member and partition."""
        return stores.domains[member].zone in zones, load[member], _rank(partition, member)

    return sorted((member for member in stores.usable if member not in named), key=order)


def initial_records(partitions: int, limits: SurviveLimits, stores: StoreMembers) -> Records:
    """Return the initial records, evenly spread; empty while too few job store nodes are alive."""
    if len(stores.usable) <= limits.nodes:
        return {}
    target = stores.attainable(limits)
    load: Counter[str] = Counter()
    primaries: Counter[str] = Counter()
    records = {}
    for number in range(partitions):
        members = _choose_additional(number, target, (), (), stores, load)
        members.sort(key=lambda member: (primaries[member], _rank(number, member)))
        primaries[members[0]] += 1
        records[number] = PartitionRecord(1, members[0], tuple(members[1:]))
    return records


def plan(
    records: Records, limits: SurviveLimits, stores: StoreMembers, unreachable: Mapping[int, Collection[str]] = {}
) -> Records:
    """Return the records to change now, each with its next epoch. Rebalancing happens only if no repairs are needed.

    :param unreachable: for each partition, the members that its primary can't reach
    """
    load = Counter(member for record in records.values() for member in record.replicas)
    changes = {}
    for number, record in records.items():
        reachable = stores.without(set(unreachable.get(number, ())) - {record.primary})
        repaired = _repair(number, record, limits, reachable, load)
        if repaired != record:
            changes[number] = replace(repaired, epoch=record.epoch + 1)
    moving = sum(bool(record.learners) for record in (records | changes).values())
    if not changes and moving < MAX_CONCURRENT_MOVES:
        changes = _balance(records, limits, stores, MAX_CONCURRENT_MOVES - moving)
    return changes


def _repair(
    number: int, record: PartitionRecord, limits: SurviveLimits, stores: StoreMembers, load: Counter[str]
) -> PartitionRecord:
    alive = [member for member in record.members if member in stores.domains]
    if not alive:
        return record  # no member with a complete replica is alive: wait
    primary = record.primary
    backups = list(record.backups)
    if primary not in stores.domains:
        primary = next((member for member in alive if member not in stores.leaving), alive[0])
        # The dead member has to stay in the record: if the new primary is lost before a learner is in sync, the dead
        # member may hold the only other complete replica.
        backups = [member for member in record.members if member != primary]
    learners = stores.staying(record.learners)
    counted = [*stores.staying((primary, *backups)), *learners]
    named = (primary, *backups, *learners)
    learners += _choose_additional(number, stores.attainable(limits), counted, named, stores, load)
    return PartitionRecord(record.epoch, primary, tuple(backups), tuple(learners))


def promote_learner(
    record: PartitionRecord, member: str, limits: SurviveLimits, stores: StoreMembers
) -> PartitionRecord:
    """Turn an in-sync learner into a backup, and remove dead or leaving members if the others suffice."""
    backups = [*record.backups, member]
    learners = tuple(learner for learner in record.learners if learner != member)
    members = [record.primary, *backups]
    staying = stores.staying(members)
    if stores.survive(staying, stores.attainable(limits)):
        members = staying
    return PartitionRecord(record.epoch + 1, members[0], tuple(members[1:]), learners)


def remove_surplus(
    record: PartitionRecord, limits: SurviveLimits, stores: StoreMembers, load: Counter[str]
) -> PartitionRecord:
    """Remove one surplus member if there is one; dead and leaving members first, then the most loaded."""
    if record.learners:
        return record
    target = stores.attainable(limits)
    surplus = [member for member in record.members if stores.survive(_others(record.members, member), target)]
    if not surplus:
        return record
    staying = stores.staying(surplus)
    removed = max(surplus, key=lambda member: (member not in staying, load[member], member))
    members = _others(record.members, removed)
    return PartitionRecord(record.epoch + 1, members[0], tuple(members[1:]))


def _others(members: Collection[str], member: str) -> list[str]:
    return [other for other in members if other != member]


def _balance(records: Records, limits: SurviveLimits, stores: StoreMembers, moves: int) -> Records:
    load = Counter(dict.fromkeys(stores.usable, 0))
    load.update(member for record in records.values() for member in record.replicas)
    changes: Records = {}
    for number, record in sorted(records.items()):
        smaller = remove_surplus(record, limits, stores, load)
        if smaller != record:
            load.subtract(set(record.members) - set(smaller.members))
            changes[number] = smaller
    if changes or not stores.usable:
        return changes
    for _ in range(moves):
        move = _find_move(records, changes, limits, stores, load)
        if move is None:
            break
        record = records[move.partition]
        changes[move.partition] = replace(record, epoch=record.epoch + 1, learners=(move.target,))
        load[move.target] += 1
        load[move.source] -= 1
    return changes or _balance_primaries(records, stores)


@dataclass(frozen=True, slots=True)
class Move:
    """Move of a partition's replica from one member to another."""

    partition: int
    source: str
    target: str


def _find_move(
    records: Records, changes: Records, limits: SurviveLimits, stores: StoreMembers, load: Counter[str]
) -> Move | None:
    """Return a move to the least loaded member from one with over MAX_IMBALANCE replicas more, or None."""
    required = stores.attainable(limits)
    target = min(stores.usable, key=lambda member: load[member])
    for source in sorted(stores.usable, key=lambda member: -load[member]):
        if load[source] - load[target] <= MAX_IMBALANCE:
            return None
        for number, record in sorted(records.items()):
            if number in changes or record.learners or source not in record.members or target in record.members:
                continue
            if stores.survive([*_others(record.members, source), target], required):
                return Move(number, source, target)
    return None


def _balance_primaries(records: Records, stores: StoreMembers) -> Records:
    """Swap at most one primary with a backup, to balance the primaries, which do most of the work."""
    primaries = Counter(dict.fromkeys(stores.usable, 0))
    primaries.update(record.primary for record in records.values())
    for number, record in sorted(records.items()):
        for backup in record.backups:
            excess = primaries[record.primary] - primaries[backup]
            if backup in primaries and not record.learners and excess > MAX_IMBALANCE:
                others = tuple(_others(record.members, backup))
                return {number: PartitionRecord(record.epoch + 1, backup, others)}
    return {}
