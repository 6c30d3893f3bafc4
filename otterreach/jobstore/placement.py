"""Which partition a batch job belongs to, and who keeps a partition."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

PARTITIONS = 16


def part_of(job: str) -> int:
    """The partition of a batch job, by its id."""
    return zlib.crc32(job.encode()) % PARTITIONS


@dataclass(frozen=True, slots=True)
class Placement:
    """The record of a partition as the control state has it; members are named node#disk."""

    epoch: int
    primary: str
    backups: tuple[str, ...]
    learners: tuple[str, ...]

    @property
    def members(self) -> tuple[str, ...]:
        """Those that hold all acknowledged writes."""
        return (self.primary, *self.backups)


def read_placement(value: Any) -> Placement | None:
    """The record from an item `part/<n>`; None if there is none or it can't be read."""
    if not isinstance(value, dict) or not isinstance(value.get("epoch"), int):
        return None
    backups, learners = value.get("backups") or [], value.get("joining") or []
    return Placement(value["epoch"], str(value.get("primary") or ""), tuple(backups), tuple(learners))


RUNNER_ROOM = 1.3  # slots of the proxies that run items, for each slot of the servers
FEWEST_RUNNERS = 2  # so that the loss of one is not the loss of all


def runners(slots: Mapping[str, int], wanted: int) -> list[str]:
    """The proxies that run items, of those that live (node -> items it may run at once): the first ones of an order
    that all job store nodes share, as many as fill the servers' slots. Few proxies need few connections to a server,
    and each sees more of its load."""
    chosen: list[str] = []
    room = 0
    for node in sorted(slots, key=lambda node: (zlib.crc32(node.encode()), node)):
        if room >= wanted * RUNNER_ROOM and len(chosen) >= FEWEST_RUNNERS:
            break
        if slots[node] > 0:
            chosen.append(node)
            room += slots[node]
    return chosen
