"""Which partition a batch job belongs to, and which proxies run items."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

PARTITIONS = 16
RUNNER_SLOTS_SHARE = 1.3  # slots of the proxies that run items, for each slot of the servers
MIN_RUNNERS = 2  # so that the loss of one is not the loss of all


def partition_of(job: str) -> int:
    """The partition of a batch job, by its id."""
    return zlib.crc32(job.encode()) % PARTITIONS


def choose_runners(slots: Mapping[str, int], server_slots: int) -> list[str]:
    """The proxies that run items.

    The first ones of an order that all job store nodes share, as many as fill the servers' slots. Few proxies need few
    connections to a server, and each sees more of its load.

    :param slots: of the proxies that are alive, by node: the items that each may run at once
    """
    chosen: list[str] = []
    chosen_slots = 0
    for node in sorted(slots, key=lambda node: (zlib.crc32(node.encode()), node)):
        if chosen_slots >= server_slots * RUNNER_SLOTS_SHARE and len(chosen) >= MIN_RUNNERS:
            break
        if slots[node] > 0:
            chosen.append(node)
            chosen_slots += slots[node]
    return chosen
