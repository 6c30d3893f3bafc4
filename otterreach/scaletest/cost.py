"""Processor time of single steps that grow with the size, at several sizes.

Each value is the minimum over a few rounds of `time.process_time`, in ms for one step, so that other
load on the machine has little effect on the values and their growth.
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
# Record types that the primary controller scans in each planning pass, in order and with repetitions.
SCANNED_PER_PLAN: tuple[type[Record], ...] = (
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


def build_store(servers: int, fronts: int, versions: int = 1) -> ReplicatedStore:
    """Return a replica of the control state of that size, in its steady state."""
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


def measure_ms(step: Callable[[], Any], times: int) -> float:
    """Return the minimum processor time of a step, in ms, over `ROUNDS` rounds of `times` repetitions."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(times):
            step()
        best = min(best, (time.process_time() - started) / times)
    return round(best * 1000, 4)


def build_weight_orders(store: ReplicatedStore, node: str) -> WeightOrders:
    """Return the weight orders of a proxy over that state. Requires a running event loop."""
    follower = SimpleNamespace(age_s=lambda: 0.0)
    fake = SimpleNamespace(store=store, settings=SimpleNamespace(node=node), follower=follower)
    return WeightOrders(cast(Node, fake), JsonClient())


async def measure_steps(servers: int, fronts: int) -> dict[str, float]:
    """Return the processor time of each step in ms, and the sizes of messages in bytes, for a fleet of this size."""
    store = build_store(servers, fronts)
    kinds: tuple[type[Record], ...] = (ServerRecord, OrderLeaseRecord, MemberRecord)
    for kind in kinds:
        store.records(kind)  # fills the cache of decoded records
    items = list(store.items.values())
    one = next(i for i in items if i.key.startswith("server/"))
    heartbeat = Changes(5, store.revision, [], store.digest, 1)
    change = Changes(5, store.revision, [one], store.digest, 0)
    full_state = Changes(5, store.revision, items, store.digest, 0)
    body = encode(heartbeat)
    full_body = encode(full_state)
    orders = build_weight_orders(store, "front-1")
    random = Random(1)
    other_digest = [0] * 16

    def scan() -> None:
        """Scan the records that the primary controller scans every 0.2 s."""
        for kind in SCANNED_PER_PLAN:
            store.records(kind)

    return {
        "ReplicatedStore.records(ServerRecord)": measure_ms(lambda: store.records(ServerRecord), 10),
        "WeightOrders.step (every proxy, 10/s)": measure_ms(orders.step, 10),
        "a primary's _plan (5/s), its scans": measure_ms(scan, 5),
        "encode a beat of Changes": measure_ms(lambda: encode(heartbeat), 200),
        "decode it": measure_ms(lambda: decode(11, body), 200),
        "encode one changed server": measure_ms(lambda: encode(change), 200),
        "encode the whole state": measure_ms(lambda: encode(full_state), 1),
        "decode the whole state": measure_ms(lambda: decode(11, full_body), 1),
        "find what differs": measure_ms(lambda: store.differing(other_digest), 3),
        "bytes of a beat": float(len(body)),
        "bytes of one changed server": float(len(encode(change))),
        "bytes of the whole state": float(len(full_body)),
        "a draw of one in a list (for scale)": measure_ms(lambda: random.choice(items), 1000),
    }


def measure_sizes(sizes: list[tuple[int, int]]) -> dict[str, dict[str, float]]:
    """Return the costs by size, with keys "servers x fronts"."""
    return {f"{servers} x {fronts}": asyncio.run(measure_steps(servers, fronts)) for servers, fronts in sizes}
