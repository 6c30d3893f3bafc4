"""Placement of batch jobs on partitions, and the choice of the proxies that run items."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

PARTITIONS = 16
RUNNER_SLOTS_SHARE = 1.3  # total slots of the runners, per slot of the servers
MIN_RUNNERS = 2  # some items go on running when one runner is lost


def partition_of(job: str) -> int:
    """Return the partition of a batch job, by a hash of its id."""
    return zlib.crc32(job.encode()) % PARTITIONS


def choose_runners(slots: Mapping[str, int], server_slots: int) -> list[str]:
    """Choose the proxies that run items (the runners).

    They are the first proxies in an order that all job store nodes share, as many as fill the servers' slots. With few
    runners there are few connections to each server, and each runner sees more of a server's load.

    :param slots: by node, for each proxy that is alive: the number of items that it may run at once
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
