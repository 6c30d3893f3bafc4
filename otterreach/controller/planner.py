"""Which job store nodes keep which partition. Pure: records and what is known of members in, new records out.

A dead primary changes places with a living backup at once. Who is dead stays in the record until a learner has all that
it had, for it may be the only other copy; writes wait meanwhile.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

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
    """What is known of the job store nodes: zone of each that lives, and who is to be emptied."""

    zones: dict[str, str]
    retiring: frozenset[str] = field(default=frozenset())

    @property
    def usable(self) -> list[str]:
        return [m for m in self.zones if m not in self.retiring]

    def without(self, lost: Collection[str]) -> Stores:
        """The same without those that a partition's primary can't reach."""
        return Stores({m: z for m, z in self.zones.items() if m not in lost}, self.retiring) if lost else self


def _rank(part: int, member: str) -> int:
    return zlib.crc32(f"{part} {member}".encode())


def _choose(part: int, count: int, having: tuple[str, ...], stores: Stores, load: Counter[str]) -> list[str]:
    """The best further members: other zones first, then those with least, then by lot."""
    chosen: list[str] = []
    while len(chosen) < count:
        zones = {stores.zones.get(m, "") for m in (*having, *chosen)}
        free = [m for m in stores.usable if m not in having and m not in chosen]
        if not free:
            break
        best = min(free, key=lambda m: (stores.zones[m] in zones, load[m], _rank(part, m)))
        chosen.append(best)
        load[best] += 1
    return chosen


def found(parts: int, copies: int, stores: Stores) -> dict[int, Part]:
    """The very first records, spread evenly; none while too few job store nodes live."""
    if len(stores.usable) < copies:
        return {}
    load: Counter[str] = Counter()
    heads: Counter[str] = Counter()
    records = {}
    for n in range(parts):
        members = _choose(n, copies, (), stores, load)
        members.sort(key=lambda m: (heads[m], _rank(n, m)))
        heads[members[0]] += 1
        records[n] = Part(1, members[0], tuple(members[1:]))
    return records


def plan(
    records: dict[int, Part], copies: int, stores: Stores, lost: Mapping[int, Collection[str]] = {}
) -> dict[int, Part]:
    """The records that change now, each under its next epoch. `lost`: by partition, whom its primary can't reach."""
    load = Counter(m for r in records.values() for m in (*r.members, *r.learners))
    changes = {}
    for n, record in records.items():
        new = _repair(n, record, copies, stores.without(set(lost.get(n, ())) - {record.primary}), load)
        if new != record:
            changes[n] = replace(new, epoch=record.epoch + 1)
    moving = sum(len(r.learners) > 0 for r in (records | changes).values())
    if not changes and moving < MOVES:
        changes = _balance(records, copies, stores, MOVES - moving)
    return changes


def _repair(n: int, record: Part, copies: int, stores: Stores, load: Counter[str]) -> Part:
    living = [m for m in record.members if m in stores.zones]
    if not living:
        return record  # nobody who has it all is there: wait
    primary, backups = record.primary, list(record.backups)
    if primary not in stores.zones:
        primary = next((m for m in living if m not in stores.retiring), living[0])
        # Danger: the dead one may be the only other that has all, if this one is lost too before another joins.
        backups = [m for m in record.members if m != primary]
    learners = [j for j in record.learners if j in stores.zones and j not in stores.retiring]
    sound = [m for m in (primary, *backups) if m in stores.zones and m not in stores.retiring]
    lacking = copies - len(sound) - len(learners)
    if lacking > 0:
        learners += _choose(n, lacking, (primary, *backups, *learners), stores, load)
    return Part(record.epoch, primary, tuple(backups), tuple(learners))


def synced(record: Part, member: str, copies: int, stores: Stores) -> Part:
    """A learner has all: it is a backup now, and who is not needed any more leaves."""
    backups = [*record.backups, member]
    learners = tuple(j for j in record.learners if j != member)
    members = [record.primary, *backups]
    sound = [m for m in members if m in stores.zones and m not in stores.retiring]
    if len(sound) >= copies:
        members = [m for m in members if m in sound]
    return Part(record.epoch + 1, members[0], tuple(members[1:]), learners)


def trim(record: Part, copies: int, load: Counter[str]) -> Part:
    """One copy more than needed, after a move: the member with most to do leaves."""
    if len(record.members) <= copies or record.learners:
        return record
    leaving = max(record.members, key=lambda m: (load[m], m))
    members = [m for m in record.members if m != leaving]
    return Part(record.epoch + 1, members[0], tuple(members[1:]))


def _balance(records: dict[int, Part], copies: int, stores: Stores, moves: int) -> dict[int, Part]:
    load = Counter({m: 0 for m in stores.usable})
    load.update(m for r in records.values() for m in (*r.members, *r.learners))
    changes: dict[int, Part] = {}
    for n, record in sorted(records.items()):
        trimmed = trim(record, copies, load)
        if trimmed != record:
            load.subtract(set(record.members) - set(trimmed.members))
            changes[n] = trimmed
    if changes or not stores.usable:
        return changes
    for _ in range(moves):
        most, least = max(stores.usable, key=lambda m: load[m]), min(stores.usable, key=lambda m: load[m])
        if load[most] - load[least] <= UNEVEN:
            break
        movable = [
            n
            for n, r in sorted(records.items())
            if most in r.members and least not in r.members and not r.learners and n not in changes
        ]
        if not movable:
            break
        n = movable[0]
        changes[n] = replace(records[n], epoch=records[n].epoch + 1, learners=(least,))
        load[least] += 1
        load[most] -= 1
    return changes or _even_heads(records, stores)


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
