"""Which job store nodes keep which partition. Pure: records and what is known of members in, new records out.

The members of a partition are spread so that any allowed loss leaves one of them (survival.py), as far as the machines
that live allow it; the number of copies follows from that. Repairs, moves and retiring keep it.

A dead primary changes places with a living backup at once. Who is dead stays in the record until a learner has all that
it had, for it may be the only other copy; writes wait meanwhile.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from otterreach.controller.survival import Place, SurviveLimits, choose_replicas, unmet_by_replicas

MOVES = 2  # partitions that may be moved for balance at a time
UNEVEN = 2  # memberships more than another before one is moved


@dataclass(frozen=True, slots=True)
class Part:
    """The record of a partition. Members are node#disk."""

    epoch: int
    primary: str
    backups: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        return (self.primary, *self.backups)

    @classmethod
    def read(cls, raw: dict[str, Any]) -> Part:
        return cls(raw["epoch"], raw["primary"], tuple(raw["backups"]), tuple(raw["joining"]))

    def json(self) -> dict[str, Any]:
        return {
            "epoch": self.epoch,
            "primary": self.primary,
            "backups": list(self.backups),
            "joining": list(self.learners),
        }


@dataclass(frozen=True, slots=True)
class Stores:
    """What is known of the job store nodes: place of each that lives, and who is to be emptied."""

    places: dict[str, Place]
    retiring: frozenset[str] = field(default=frozenset())

    @property
    def usable(self) -> list[str]:
        return [m for m in self.places if m not in self.retiring]

    def attainable(self, limits: SurviveLimits) -> SurviveLimits:
        """The most of the limits that copies on the usable ones can outlast. Their number is never let go of."""
        return attainable([self.places[m] for m in self.usable], limits)

    def outlast(self, members: Collection[str], limits: SurviveLimits) -> bool:
        """Whether of those of the members that live and stay any allowed loss leaves one."""
        return not unmet_by_replicas([self.places[m] for m in self.sound(members)], limits)

    def sound(self, members: Collection[str]) -> list[str]:
        """Those of the members that live and stay."""
        return [m for m in members if m in self.places and m not in self.retiring]

    def without(self, lost: Collection[str]) -> Stores:
        """The same without those that a partition's primary can't reach."""
        return Stores({m: p for m, p in self.places.items() if m not in lost}, self.retiring) if lost else self


def _rank(part: int, member: str) -> int:
    return zlib.crc32(f"{part} {member}".encode())


def attainable(places: Collection[Place], limits: SurviveLimits) -> SurviveLimits:
    """The limits as far as there are zones and regions enough; machines that may be lost are never let go of."""
    zones, regions = len({p.zone for p in places}), len({p.region for p in places})
    return SurviveLimits(limits.nodes, min(limits.zones, max(0, zones - 1)), min(limits.regions, max(0, regions - 1)))


def _choose(
    part: int,
    limits: SurviveLimits,
    having: Collection[str],
    named: Collection[str],
    stores: Stores,
    load: Counter[str],
) -> list[str]:
    """The fewest further members with which any allowed loss leaves one: other zones first, then those with least.

    `having` count already; `named` are in the record, whether they count or not.
    """
    chosen: list[str] = []
    while True:
        there = [*having, *chosen]
        candidates = _preferred(part, there, {*named, *chosen}, stores, load)
        best = choose_replicas(there, candidates, stores.places, limits)
        if not best:
            return chosen
        chosen.append(best[0])
        load[best[0]] += 1


def _preferred(part: int, there: list[str], named: set[str], stores: Stores, load: Counter[str]) -> list[str]:
    zones = {stores.places[m].zone for m in there}

    def order(member: str) -> tuple[bool, int, int]:
        return stores.places[member].zone in zones, load[member], _rank(part, member)

    return sorted((m for m in stores.usable if m not in named), key=order)


def initial_records(parts: int, limits: SurviveLimits, stores: Stores) -> dict[int, Part]:
    """The very first records, spread evenly; none while too few job store nodes live."""
    if len(stores.usable) <= limits.nodes:
        return {}
    target = stores.attainable(limits)
    load: Counter[str] = Counter()
    heads: Counter[str] = Counter()
    records = {}
    for n in range(parts):
        members = _choose(n, target, (), (), stores, load)
        members.sort(key=lambda m: (heads[m], _rank(n, m)))
        heads[members[0]] += 1
        records[n] = Part(1, members[0], tuple(members[1:]))
    return records


def plan(
    records: dict[int, Part], limits: SurviveLimits, stores: Stores, lost: Mapping[int, Collection[str]] = {}
) -> dict[int, Part]:
    """The records that change now, each under its next epoch. `lost`: by partition, whom its primary can't reach."""
    load = Counter(m for r in records.values() for m in (*r.members, *r.learners))
    changes = {}
    for n, record in records.items():
        new = _repair(n, record, limits, stores.without(set(lost.get(n, ())) - {record.primary}), load)
        if new != record:
            changes[n] = replace(new, epoch=record.epoch + 1)
    moving = sum(len(r.learners) > 0 for r in (records | changes).values())
    if not changes and moving < MOVES:
        changes = _balance(records, limits, stores, MOVES - moving)
    return changes


def _repair(n: int, record: Part, limits: SurviveLimits, stores: Stores, load: Counter[str]) -> Part:
    living = [m for m in record.members if m in stores.places]
    if not living:
        return record  # nobody who has it all is there: wait
    primary, backups = record.primary, list(record.backups)
    if primary not in stores.places:
        primary = next((m for m in living if m not in stores.retiring), living[0])
        # Danger: the dead one may be the only other that has all, if this one is lost too before another joins.
        backups = [m for m in record.members if m != primary]
    learners = stores.sound(record.learners)
    having = [*stores.sound((primary, *backups)), *learners]
    named = (primary, *backups, *learners)
    learners += _choose(n, stores.attainable(limits), having, named, stores, load)
    return Part(record.epoch, primary, tuple(backups), tuple(learners))


def synced(record: Part, member: str, limits: SurviveLimits, stores: Stores) -> Part:
    """A learner has all: it is a backup now, and who is dead or retiring leaves once the others are enough."""
    backups = [*record.backups, member]
    learners = tuple(j for j in record.learners if j != member)
    members = [record.primary, *backups]
    sound = stores.sound(members)
    if stores.outlast(sound, stores.attainable(limits)):
        members = sound
    return Part(record.epoch + 1, members[0], tuple(members[1:]), learners)


def trim(record: Part, limits: SurviveLimits, stores: Stores, load: Counter[str]) -> Part:
    """One member more than the spread needs: the dead and retiring leave first, then who has most to do."""
    if record.learners:
        return record
    target = stores.attainable(limits)
    surplus = [m for m in record.members if stores.outlast(_others(record.members, m), target)]
    if not surplus:
        return record
    sound = stores.sound(surplus)
    leaving = max(surplus, key=lambda m: (m not in sound, load[m], m))
    members = _others(record.members, leaving)
    return Part(record.epoch + 1, members[0], tuple(members[1:]))


def _others(members: Collection[str], member: str) -> list[str]:
    return [m for m in members if m != member]


def _balance(records: dict[int, Part], limits: SurviveLimits, stores: Stores, moves: int) -> dict[int, Part]:
    load = Counter({m: 0 for m in stores.usable})
    load.update(m for r in records.values() for m in (*r.members, *r.learners))
    changes: dict[int, Part] = {}
    for n, record in sorted(records.items()):
        trimmed = trim(record, limits, stores, load)
        if trimmed != record:
            load.subtract(set(record.members) - set(trimmed.members))
            changes[n] = trimmed
    if changes or not stores.usable:
        return changes
    for _ in range(moves):
        move = _move(records, changes, limits, stores, load)
        if move is None:
            break
        n, giver, taker = move
        changes[n] = replace(records[n], epoch=records[n].epoch + 1, learners=(taker,))
        load[taker] += 1
        load[giver] -= 1
    return changes or _even_heads(records, stores)


def _move(
    records: dict[int, Part], changes: Mapping[int, Part], limits: SurviveLimits, stores: Stores, load: Counter[str]
) -> tuple[int, str, str] | None:
    """A partition whose copy at a machine with more goes to the one with least: (partition, from, to)."""
    target = stores.attainable(limits)
    taker = min(stores.usable, key=lambda m: load[m])
    for giver in sorted(stores.usable, key=lambda m: -load[m]):
        if load[giver] - load[taker] <= UNEVEN:
            return None
        for n, record in sorted(records.items()):
            if n in changes or record.learners or giver not in record.members or taker in record.members:
                continue
            if stores.outlast([*_others(record.members, giver), taker], target):
                return n, giver, taker
    return None


def _even_heads(records: dict[int, Part], stores: Stores) -> dict[int, Part]:
    """Primaries do most of the work: at most one changes place with a backup at a time."""
    heads = Counter({m: 0 for m in stores.usable})
    heads.update(r.primary for r in records.values())
    for n, record in sorted(records.items()):
        for backup in record.backups:
            if backup in heads and not record.learners and heads[record.primary] - heads[backup] > UNEVEN:
                others = tuple(m for m in record.members if m != backup)
                return {n: Part(record.epoch + 1, backup, others)}
    return {}
