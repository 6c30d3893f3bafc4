"""Processor time of single steps that grow with the size, at several sizes: slopes without the noise of a busy machine.

Each figure is the least of a few rounds of `time.process_time`, in ms for one step.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from otterreach.controller.api.servers import read_heartbeat
from otterreach.jobstore.placement import PARTITIONS
from otterreach.proxy.orders import WeightOrders
from otterreach.runtime.codec import decode, encode
from otterreach.runtime.http_client import JsonClient
from otterreach.runtime.node import Node
from otterreach.runtime.records import (
    ItemChange,
    MemberRecord,
    MemberRole,
    OrderLeaseRecord,
    PartitionRecord,
    Record,
    RetirementRecord,
    ServerRecord,
    VersionRecord,
    put,
)
from otterreach.runtime.relay import Changes
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.scaletest.size import registration, server_id

ROUNDS = 5
# What the primary controller looks through in each plan.
SCANNED_IN_A_PLAN: tuple[type[Record], ...] = (
    MemberRecord,
    RetirementRecord,
    PartitionRecord,
    ServerRecord,
    MemberRecord,
    MemberRecord,
    ServerRecord,
    OrderLeaseRecord,
    MemberRecord,
)


def store_of(servers: int, fronts: int, versions: int = 1) -> ReplicatedStore:
    """A copy of the control state of that size, as it is at rest."""
    changes: list[ItemChange] = []
    for number in range(servers):
        ident = server_id(number)
        heartbeat = read_heartbeat(json.dumps(registration(number, 1)).encode())
        assert isinstance(heartbeat, ServerRecord)
        changes.append(put(replace(heartbeat, warmup_left_ms=0, calls=1), ident))
        changes.append(put(OrderLeaseRecord(f"front-{number % max(1, fronts)}"), ident))
    for number in range(fronts):
        address = f"10.1.{number // 250}.{number % 250}:7380"
        member = MemberRecord(MemberRole.PROXY, address, f"hall-{number % 12}", "here")
        changes.append(put(member, f"front-{number}"))
    changes += [put(PartitionRecord(1, "store-0#1", ("store-1#1",)), str(number)) for number in range(PARTITIONS)]
    changes += [put(VersionRecord(1), f"m-{number}") for number in range(versions)]
    store = ReplicatedStore()
    store.apply([Item(change.key, number, change.value) for number, change in enumerate(changes, 1)])
    return store


def cost_ms(step: Callable[[], Any], times: int) -> float:
    """The least processor time of a step, over a few rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        begun = time.process_time()
        for _ in range(times):
            step()
        best = min(best, (time.process_time() - begun) / times)
    return round(best * 1000, 4)


def orders_of(store: ReplicatedStore, node: str) -> WeightOrders:
    """The duties of a proxy over that state. Needs a running loop."""
    follower = SimpleNamespace(age_s=lambda: 0.0)
    fake = SimpleNamespace(store=store, settings=SimpleNamespace(node=node), follower=follower)
    return WeightOrders(cast(Node, fake), JsonClient())


async def costs(servers: int, fronts: int) -> dict[str, float]:
    """Ms for one step at a size."""
    store = store_of(servers, fronts)
    kinds: tuple[type[Record], ...] = (ServerRecord, OrderLeaseRecord, MemberRecord)
    for kind in kinds:
        store.records(kind)  # decoded once
    items = list(store.items.values())
    one = next(i for i in items if i.key.startswith("server/"))
    beat = Changes(5, store.revision, [], store.digest, 1)
    change = Changes(5, store.revision, [one], store.digest, 0)
    whole = Changes(5, store.revision, items, store.digest, 0)
    body = encode(beat)
    whole_body = encode(whole)
    orders = orders_of(store, "front-1")
    random = Random(1)
    other = [0] * 16

    def scan() -> None:
        """What the primary controller looks through each 0.2 s."""
        for kind in SCANNED_IN_A_PLAN:
            store.records(kind)

    return {
        "ReplicatedStore.records(ServerRecord)": cost_ms(lambda: store.records(ServerRecord), 10),
        "WeightOrders.step (every proxy, 10/s)": cost_ms(orders.step, 10),
        "a primary's _plan (5/s), its scans": cost_ms(scan, 5),
        "encode a beat of Changes": cost_ms(lambda: encode(beat), 200),
        "decode it": cost_ms(lambda: decode(11, body), 200),
        "encode one changed server": cost_ms(lambda: encode(change), 200),
        "encode the whole state": cost_ms(lambda: encode(whole), 1),
        "decode the whole state": cost_ms(lambda: decode(11, whole_body), 1),
        "find what differs": cost_ms(lambda: store.differing(other), 3),
        "bytes of a beat": float(len(body)),
        "bytes of one changed server": float(len(encode(change))),
        "bytes of the whole state": float(len(whole_body)),
        "a draw of one in a list (for scale)": cost_ms(lambda: random.choice(items), 1000),
    }


def table(sizes: list[tuple[int, int]]) -> dict[str, dict[str, float]]:
    """By size, "servers x fronts"."""
    return {f"{servers} x {fronts}": asyncio.run(costs(servers, fronts)) for servers, fronts in sizes}
