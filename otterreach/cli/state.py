"""Read-only access to the control state over a controller's internal port, and its presentation as tables."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterator, Sequence

from otterreach.controller import messages  # noqa: F401  registers messages that may arrive on the connection
from otterreach.jobstore.messages import ReadJob
from otterreach.jobstore.placement import PARTITIONS, partition_of
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.configuration import ConfigurationRecord
from otterreach.runtime.identity import node_of
from otterreach.runtime.records import (
    CoreRecord,
    MemberRecord,
    OrderLeaseRecord,
    PartitionRecord,
    RetirementRecord,
    ServerRecord,
    VersionRecord,
)
from otterreach.runtime.relay import Changes, Follow, FreshnessProbe
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.store import Item, ReplicatedStore

NAME = "cli"
CALL_TIMEOUT_S = 2.0
PROBE_INTERVAL_S = 0.5  # interval of freshness probes to the controller
Row = tuple[str, ...]


async def fetch(endpoint: Endpoint, controllers: Sequence[str], store: ReplicatedStore) -> str | Failure:
    """Fill the store from the first controller that answers; return its address."""
    last = Failure(Code.UNREACHABLE, "no controller given")
    for address in controllers:
        found = await _fetch_from(endpoint, address, store)
        if found is None:
            return address
        last = found
    return last


async def _fetch_from(endpoint: Endpoint, address: str, store: ReplicatedStore) -> Failure | None:
    """Fetch the state in chunks until the digests match or a reply names the same ranges as the previous one."""
    previous_ranges: list[int] | None = None
    while True:
        reply = await endpoint.call(address, Follow(NAME, store.digests), CALL_TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply
        store.replace_ranges(reply.ranges, reply.items, reply.collected_up_to)
        complete = not reply.ranges or store.matches(reply.digest, reply.collected_up_to)
        if complete or reply.ranges == previous_ranges:
            return None
        previous_ranges = reply.ranges


async def read(controllers: Sequence[str]) -> ReplicatedStore | Failure:
    """Return a copy of the current control state."""
    endpoint = Endpoint()
    store = ReplicatedStore()
    try:
        found = await fetch(endpoint, controllers, store)
    finally:
        await endpoint.close()
    return found if isinstance(found, Failure) else store


async def watch(controllers: Sequence[str], kind: str, show: Callable[[Item], None]) -> Failure:
    """Report each change of items of one kind (all if empty) until the controller disconnects or stops answering."""
    endpoint = Endpoint()
    store = ReplicatedStore()
    changed = asyncio.Event()

    async def on_changes(link: Link, changes: Changes) -> None:
        """Show the changed items of the kind."""
        changed.set()
        for item in store.apply(changes.items):
            if not kind or item.key.partition("/")[0] == kind:
                show(item)

    endpoint.on(Changes, on_changes)
    try:
        found = await fetch(endpoint, controllers, store)
        if isinstance(found, Failure):
            return found
        while (link := endpoint.open_link(found)) is not None:
            changed.clear()
            link.send(FreshnessProbe(int(asyncio.get_running_loop().time() * 1000)))
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    await changed.wait()
            except TimeoutError:
                return Failure(Code.TIMED_OUT, f"{found} stopped answering")
            await asyncio.sleep(PROBE_INTERVAL_S)
        return Failure(Code.CLOSED, f"{found} has closed the connection")
    finally:
        await endpoint.close()


async def job(controllers: Sequence[str], job_id: str) -> Row | Failure:
    """Return a batch job's id, partition, owner, listed and total items, read from the node that owns it."""
    endpoint = Endpoint()
    store = ReplicatedStore()
    try:
        found = await fetch(endpoint, controllers, store)
        if isinstance(found, Failure):
            return found
        partition = partition_of(job_id)
        record = store.record(PartitionRecord, str(partition))
        owner = node_of(record.primary) if record else ""
        member = store.record(MemberRecord, owner)
        if member is None:
            return Failure(Code.NOT_SYNCED, f"partition {partition} has no owner")
        return await _read_progress(endpoint, member.address, job_id, partition, owner)
    finally:
        await endpoint.close()


async def _read_progress(endpoint: Endpoint, address: str, job_id: str, partition: int, owner: str) -> Row | Failure:
    offset = 0
    while True:
        reply = await endpoint.call(address, ReadJob(job_id, offset, 0), CALL_TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply
        if reply.next_cursor <= offset:
            return job_id, str(partition), owner, str(offset), str(reply.total)
        offset = reply.next_cursor


# Tables ---------------------------------------------------------------------------------------------


def servers(store: ReplicatedStore) -> Iterator[Row]:
    """Yield the rows of the table of model servers: a header row, then one row per server."""
    yield "id", "service", "address", "zone", "cap", "state", "versions", "ordered by"
    leases = store.records(OrderLeaseRecord)
    for server_id, server in store.records(ServerRecord).items():
        versions = ",".join(f"{model.name}={model.version}" for model in server.models)
        state = server.state + (" silent" if server.silent else "")
        lease = leases.get(server_id)
        holder = lease.holder if lease else ""
        yield server_id, server.service, server.address, server.zone, str(server.capacity), state, versions, holder


def members(store: ReplicatedStore) -> Iterator[Row]:
    """Yield the table of the system's machines."""
    yield "node", "role", "address", "zone", "disk", "retiring"
    retiring = store.records(RetirementRecord)
    for node, member in store.records(MemberRecord).items():
        is_retiring = "yes" if node in retiring else ""
        yield node, member.role, member.address, member.zone, member.disk or "-", is_retiring


def owners(store: ReplicatedStore) -> Iterator[Row]:
    """Yield the table of partition owners."""
    yield "part", "epoch", "primary", "backups", "joining"
    for number in range(PARTITIONS):
        record = store.record(PartitionRecord, str(number))
        if record:
            backups = ",".join(record.backups)
            learners = ",".join(record.learners)
            yield str(number), str(record.epoch), record.primary, backups, learners


def epochs(store: ReplicatedStore) -> Iterator[Row]:
    """Yield the table of the controllers' epoch, the configuration version and the model versions."""
    yield "what", "value"
    core = store.record(CoreRecord)
    yield "epoch", str(core.epoch) if core else "-"
    yield "primary", core.primary if core else "-"
    yield "controllers", ",".join(core.controllers) if core else ""
    configuration = store.record(ConfigurationRecord)
    yield "configuration", str(configuration.version) if configuration else "-"
    for model, named in store.records(VersionRecord).items():
        yield f"version of {model}", str(named.version)


def columns(rows: Iterator[Row]) -> str:
    """Format rows as aligned columns; the first row is the header."""
    table = list(rows)
    widths = [max(len(row[n]) for row in table) for n in range(len(table[0]))]
    return "\n".join("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in table)


def item_line(item: Item) -> str:
    """Return the output line of `watch` for an item: revision, key, value."""
    value = "gone" if item.is_tombstone else json.dumps(json.loads(item.value), sort_keys=True)
    return f"{item.revision >> 24}.{item.revision & 0xFFFFFF} {item.key} {value[:300]}"
