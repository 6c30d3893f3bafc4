"""Processor time of single steps that grow with the size, at several sizes: slopes without the noise of a busy machine.

Each figure is the least of a few rounds of `time.process_time`, in ms for one step.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from otterreach.proxy.orders import Orders
from otterreach.runtime.codec import decode, encode
from otterreach.runtime.http_client import JsonClient
from otterreach.runtime.node import Node
from otterreach.runtime.relay import Changes
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.scaletest.size import registration, server_id

ROUNDS = 5


def store_of(servers: int, fronts: int, versions: int = 1) -> ReplicatedStore:
    """A copy of the control state of that size, as it is at rest."""
    store, rows = ReplicatedStore(), list[tuple[str, Any]]()
    for n in range(servers):
        raw = registration(n, 1)
        kept = {k: raw[k] for k in ("backend", "addr", "az", "cap", "state", "models")} | {"warm_ms": 0, "calls": 1}
        rows.append((f"server/{server_id(n)}", kept))
        rows.append((f"duty/{server_id(n)}", {"holder": f"front-{n % max(1, fronts)}", "wait_ms": 0}))
    for n in range(fronts):
        rows.append(
            (
                f"member/front-{n}",
                {
                    "role": "front",
                    "address": f"10.1.{n // 250}.{n % 250}:7380",
                    "zone": f"hall-{n % 12}",
                    "region": "here",
                    "disk": "",
                },
            )
        )
    rows += [
        (f"part/{n}", {"epoch": 1, "primary": "store-0#1", "backups": ["store-1#1"], "joining": []}) for n in range(16)
    ]
    rows += [(f"version/m-{n}", {"gen": 1}) for n in range(versions)]
    store.apply([Item(key, n + 1, json.dumps(value).encode()) for n, (key, value) in enumerate(rows)])
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


def orders_of(store: ReplicatedStore, node: str) -> Orders:
    """The duties of a proxy over that state. Needs a running loop."""
    follower = SimpleNamespace(age_s=lambda: 0.0)
    fake = SimpleNamespace(store=store, settings=SimpleNamespace(node=node), follower=follower)
    return Orders(cast(Node, fake), JsonClient())


async def costs(servers: int, fronts: int) -> dict[str, float]:
    """ms for one step at a size."""
    store = store_of(servers, fronts)
    for kind in ("server", "duty", "member"):
        store.named(kind)  # decoded once
    items = list(store.items.values())
    one = next(i for i in items if i.key.startswith("server/"))
    beat, change = Changes(5, store.rev, [], store.digest, 1), Changes(5, store.rev, [one], store.digest, 0)
    whole = Changes(5, store.rev, items, store.digest, 0)
    body, whole_body, orders = encode(beat), encode(whole), orders_of(store, "front-1")
    random, other = Random(1), [0] * 16

    def scan() -> None:
        """What the primary controller looks through each 0.2 s."""
        for kind in ("member", "retire", "part", "server", "member", "member", "server", "duty", "member"):
            store.named(kind)

    return {
        "ReplicatedStore.named('server')": cost_ms(lambda: store.named("server"), 10),
        "Orders.step (every proxy, 10/s)": cost_ms(orders.step, 10),
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
