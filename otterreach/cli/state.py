"""The control state as a controller tells it on its internal port, to one who only reads; and what is shown of it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from otterreach.controller import messages  # noqa: F401  of what may come over the connection
from otterreach.jobstore.messages import ReadJob, Results
from otterreach.jobstore.placement import PARTITIONS, part_of
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.relay import Changes, Follow, StillThere
from otterreach.runtime.rpc import Endpoint, Link
from otterreach.runtime.store import Item, ReplicatedStore

NAME = "cli"
CALL_S = 2.0
ASK_S = 0.5  # between two questions whether the controller is still there
Row = tuple[str, ...]


async def fetch(endpoint: Endpoint, controllers: Sequence[str], store: ReplicatedStore) -> str | Failure:
    """Fill the store from the first controller that answers; its address."""
    last = Failure(Code.UNREACHABLE, "no controller given")
    for address in controllers:
        found = await _fetch_from(endpoint, address, store)
        if found is None:
            return address
        last = found
    return last


async def _fetch_from(endpoint: Endpoint, address: str, store: ReplicatedStore) -> Failure | None:
    """The state comes in pieces, until nothing differs or nothing new comes."""
    told: list[int] | None = None
    while True:
        reply = await endpoint.call(address, Follow(NAME, store.digests), CALL_S)
        if not isinstance(reply, Changes):
            return reply if isinstance(reply, Failure) else Failure(Code.BAD_MESSAGE, type(reply).__name__)
        store.replace_ranges(reply.ranges, reply.items, reply.collected)
        if not reply.ranges or reply.ranges == told or store.equals(reply.digest, reply.collected):
            return None
        told = reply.ranges


async def read(controllers: Sequence[str]) -> ReplicatedStore | Failure:
    """A copy of the control state, as it is now."""
    endpoint, store = Endpoint(), ReplicatedStore()
    try:
        found = await fetch(endpoint, controllers, store)
    finally:
        await endpoint.close()
    return found if isinstance(found, Failure) else store


async def watch(controllers: Sequence[str], kind: str, show: Callable[[Item], None]) -> Failure:
    """Tell each change of one kind of items (all if empty) until the controller falls silent or leaves."""
    endpoint, store = Endpoint(), ReplicatedStore()
    changed = asyncio.Event()

    async def on_changes(link: Link, changes: Changes) -> None:
        changed.set()
        for item in store.apply(changes.items):
            if not kind or item.key.partition("/")[0] == kind:
                show(item)

    endpoint.on(Changes, on_changes)
    try:
        found = await fetch(endpoint, controllers, store)
        if isinstance(found, Failure):
            return found
        while (link := endpoint.linked(found)) is not None:
            changed.clear()
            link.send(StillThere(int(asyncio.get_running_loop().time() * 1000)))
            try:
                async with asyncio.timeout(CALL_S):
                    await changed.wait()
            except TimeoutError:
                return Failure(Code.TIMED_OUT, f"{found} says nothing any more")
            await asyncio.sleep(ASK_S)
        return Failure(Code.CLOSED, f"{found} has closed the connection")
    finally:
        await endpoint.close()


async def job(controllers: Sequence[str], ident: str) -> Row | Failure:
    """A batch job by its id, asked of the job store node that owns it: id, partition, owner, listed, total."""
    endpoint, store = Endpoint(), ReplicatedStore()
    try:
        found = await fetch(endpoint, controllers, store)
        if isinstance(found, Failure):
            return found
        part = part_of(ident)
        record = store.get(f"part/{part}") or {"primary": ""}
        owner = record["primary"].partition("#")[0]
        member = store.get(f"member/{owner}")
        if member is None:
            return Failure(Code.NOT_SYNCED, f"partition {part} has no owner")
        return await _count(endpoint, member["address"], ident, part, owner)
    finally:
        await endpoint.close()


async def _count(endpoint: Endpoint, address: str, ident: str, part: int, owner: str) -> Row | Failure:
    past = total = 0
    while True:
        reply = await endpoint.call(address, ReadJob(ident, past, 0), CALL_S)
        if not isinstance(reply, Results):
            return reply if isinstance(reply, Failure) else Failure(Code.BAD_MESSAGE, type(reply).__name__)
        total = reply.total
        if reply.next_cursor <= past:
            return ident, str(part), owner, str(past), str(total)
        past = reply.next_cursor


# What is shown --------------------------------------------------------------------------------------


def servers(store: ReplicatedStore) -> Iterator[Row]:
    yield "id", "service", "address", "zone", "cap", "state", "versions", "ordered by"
    duties = store.named("duty")
    for ident, s in store.named("server").items():
        versions = ",".join(f"{m['name']}={m['gen']}" for m in s.get("models", ()))
        state = s["state"] + (" silent" if s.get("silent") else "")
        holder = duties.get(ident, {}).get("holder", "")
        yield ident, s["backend"], s["addr"], s["az"], str(s["cap"]), state, versions, holder


def members(store: ReplicatedStore) -> Iterator[Row]:
    yield "node", "role", "address", "zone", "disk", "retiring"
    retiring = store.named("retire")
    for node, m in store.named("member").items():
        yield node, m["role"], m["address"], m["zone"], m["disk"] or "-", "yes" if node in retiring else ""


def owners(store: ReplicatedStore) -> Iterator[Row]:
    yield "part", "epoch", "primary", "backups", "joining"
    for n in range(PARTITIONS):
        p = store.get(f"part/{n}")
        if p:
            yield str(n), str(p["epoch"]), p["primary"], ",".join(p["backups"]), ",".join(p["joining"])


def epochs(store: ReplicatedStore) -> Iterator[Row]:
    yield "what", "value"
    core: dict[str, Any] = store.get("core") or {}
    yield "epoch", str(core.get("number", "-"))
    yield "primary", core.get("primary", "-")
    yield "controllers", ",".join(core.get("registrars", ()))
    config = store.get("config")
    yield "configuration", str(config["gen"]) if config else "-"
    for model, version in store.named("version").items():
        yield f"version of {model}", str(version["gen"])


def columns(rows: Iterator[Row]) -> str:
    """Rows as text, the first as the head."""
    table = list(rows)
    widths = [max(len(row[n]) for row in table) for n in range(len(table[0]))]
    return "\n".join("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in table)


def item_line(item: Item) -> str:
    value = "gone" if item.gone else json.dumps(json.loads(item.value), sort_keys=True)
    return f"{item.rev >> 24}.{item.rev & 0xFFFFFF} {item.key} {value[:300]}"
