"""Which job store nodes keep which partition. Pure: records and what is known of members in, new records out.

The members of a partition are spread so that any allowed loss leaves one of them (otterreach/controller/spread.py), as
far as the machines that live allow it; the number of copies follows from that. Repairs, moves and retiring keep it.

A dead primary changes places with a living backup at once. Who is dead stays in the record until a learner has all that
it had, for it may be the only other copy; writes wait meanwhile.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from otterreach.controller.spread import NOTHING, Place, Spread, span

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

    def attainable(self, wanted: Spread) -> Spread:
        """The most of the wanted spread that the usable ones allow."""
        return wanted.attainable({m: self.places[m] for m in self.usable})

    def sound(self, members: Collection[str]) -> list[str]:
        """Those of the members that live and stay."""
        return [m for m in members if m in self.places and m not in self.retiring]

    def without(self, lost: Collection[str]) -> Stores:
        """The same without those that a partition's primary can't reach."""
        return Stores({m: p for m, p in self.places.items() if m not in lost}, self.retiring) if lost else self


def _rank(part: int, member: str) -> int:
    return zlib.crc32(f"{part} {member}".encode())


def _choose(
    part: int, wanted: Spread, having: Collection[str], named: Collection[str], stores: Stores, load: Counter[str]
) -> list[str]:
    """Further members until the wanted spread is there, or nobody is left who brings it nearer.

    `having` count already; `named` are in the record, whether they count or not. A member of a new region brings a new
    zone and a copy too, one of a new zone a copy, so what is rarest is looked for first: none is chosen in vain.
    """
    chosen: list[str] = []
    while (lacking := wanted.lacking(span([*having, *chosen], stores.places))) != NOTHING:
        best = _next_member(part, lacking, [*having, *chosen], {*named, *chosen}, stores, load)
        if best is None:
            break
        chosen.append(best)
        load[best] += 1
    return chosen


def _next_member(
    part: int, lacking: Spread, having: list[str], named: set[str], stores: Stores, load: Counter[str]
) -> str | None:
    """Who brings a new region if one is lacking, else a new zone, else the one with least."""
    zones = {stores.places[m].zone for m in having if m in stores.places}
    regions = {stores.places[m].region for m in having if m in stores.places}

    def order(member: str) -> tuple[bool, bool, int, int]:
        place = stores.places[member]
        known_region = lacking.regions > 0 and place.region in regions
        return known_region, place.zone in zones, load[member], _rank(part, member)

    free = [m for m in stores.usable if m not in named]
    if not lacking.nodes:
        free = [m for m in free if _brings(stores.places[m], lacking, zones, regions)]
    return min(free, key=order, default=None)


def _brings(place: Place, lacking: Spread, zones: set[str], regions: set[str]) -> bool:
    """Whether a copy there brings a zone or a region that is lacking."""
    return lacking.zones > 0 and place.zone not in zones or lacking.regions > 0 and place.region not in regions


def initial_records(parts: int, wanted: Spread, stores: Stores) -> dict[int, Part]:
    """The very first records, spread evenly; none while too few job store nodes live."""
    if len(stores.usable) < wanted.nodes:
        return {}
    target = stores.attainable(wanted)
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
    records: dict[int, Part], wanted: Spread, stores: Stores, lost: Mapping[int, Collection[str]] = {}
) -> dict[int, Part]:
    """The records that change now, each under its next epoch. `lost`: by partition, whom its primary can't reach."""
    load = Counter(m for r in records.values() for m in (*r.members, *r.learners))
    changes = {}
    for n, record in records.items():
        new = _repair(n, record, wanted, stores.without(set(lost.get(n, ())) - {record.primary}), load)
        if new != record:
            changes[n] = replace(new, epoch=record.epoch + 1)
    moving = sum(len(r.learners) > 0 for r in (records | changes).values())
    if not changes and moving < MOVES:
        changes = _balance(records, wanted, stores, MOVES - moving)
    return changes


def _repair(n: int, record: Part, wanted: Spread, stores: Stores, load: Counter[str]) -> Part:
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
    learners += _choose(n, stores.attainable(wanted), having, named, stores, load)
    return Part(record.epoch, primary, tuple(backups), tuple(learners))


def synced(record: Part, member: str, wanted: Spread, stores: Stores) -> Part:
    """A learner has all: it is a backup now, and who is dead or retiring leaves once the others are enough."""
    backups = [*record.backups, member]
    learners = tuple(j for j in record.learners if j != member)
    members = [record.primary, *backups]
    sound = stores.sound(members)
    if stores.attainable(wanted).holds(sound, stores.places):
        members = sound
    return Part(record.epoch + 1, members[0], tuple(members[1:]), learners)


def trim(record: Part, wanted: Spread, stores: Stores, load: Counter[str]) -> Part:
    """One member more than the spread needs: the dead and retiring leave first, then who has most to do."""
    if record.learners:
        return record
    target = stores.attainable(wanted)
    surplus = [m for m in record.members if target.holds(_others(stores.sound(record.members), m), stores.places)]
    if not surplus:
        return record
    sound = stores.sound(surplus)
    leaving = max(surplus, key=lambda m: (m not in sound, load[m], m))
    members = _others(record.members, leaving)
    return Part(record.epoch + 1, members[0], tuple(members[1:]))


def _others(members: Collection[str], member: str) -> list[str]:
    return [m for m in members if m != member]


def _balance(records: dict[int, Part], wanted: Spread, stores: Stores, moves: int) -> dict[int, Part]:
    load = Counter({m: 0 for m in stores.usable})
    load.update(m for r in records.values() for m in (*r.members, *r.learners))
    changes: dict[int, Part] = {}
    for n, record in sorted(records.items()):
        trimmed = trim(record, wanted, stores, load)
        if trimmed != record:
            load.subtract(set(record.members) - set(trimmed.members))
            changes[n] = trimmed
    if changes or not stores.usable:
        return changes
    for _ in range(moves):
        move = _move(records, changes, wanted, stores, load)
        if move is None:
            break
        n, giver, taker = move
        changes[n] = replace(records[n], epoch=records[n].epoch + 1, learners=(taker,))
        load[taker] += 1
        load[giver] -= 1
    return changes or _even_heads(records, stores)


def _move(
    records: dict[int, Part], changes: Mapping[int, Part], wanted: Spread, stores: Stores, load: Counter[str]
) -> tuple[int, str, str] | None:
    """A partition whose copy at a machine with more goes to the one with least: (partition, from, to)."""
    target = stores.attainable(wanted)
    taker = min(stores.usable, key=lambda m: load[m])
    for giver in sorted(stores.usable, key=lambda m: -load[m]):
        if load[giver] - load[taker] <= UNEVEN:
            return None
        for n, record in sorted(records.items()):
            if n in changes or record.learners or giver not in record.members or taker in record.members:
                continue
            if target.holds([*_others(stores.sound(record.members), giver), taker], stores.places):
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
