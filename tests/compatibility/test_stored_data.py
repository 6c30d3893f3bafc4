"""Journals and control-state values written by an earlier version read the same, and are written the same.

The files in tests/data were made by commit e067fe3. They are never made anew: what is on disks in service looks so.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import pytest

from otterreach.controller.local_replica import LocalReplica
from otterreach.jobstore.job import Job, JobItem
from otterreach.jobstore.journal_records import RecordKind, partition_of_record
from otterreach.jobstore.partition_replica import PartitionReplica
from otterreach.jobstore.placement import PARTITIONS
from otterreach.runtime.configuration import ConfigurationRecord
from otterreach.runtime.journal import Journal
from otterreach.runtime.journal_format import Record, pack, scan
from otterreach.runtime.records import (
    AcceptedChange,
    CollectedRecord,
    CoreRecord,
    MemberRecord,
    ModelVersion,
    OrderLeaseRecord,
    PartitionRecord,
    RetirementRecord,
    ServerRecord,
    ServerState,
    VersionRecord,
    key_of,
)
from otterreach.runtime.records import Record as RecordOfItem
from otterreach.runtime.settings import Settings

DATA = Path(__file__).parent.parent / "data"


class MemoryLog:
    """A journal in memory: the bytes that a file would have."""

    def __init__(self) -> None:
        self.data = b""

    def append(self, kind: int, payload: bytes) -> None:
        self.data += pack(kind, payload, len(self.data))

    def abandon_rewrite(self) -> None:
        """No rewrite is ever under way here."""


class ControllerSettings:
    """The settings that a ReplicaState reads."""

    node, address, zone, bootstrap = "core-1", "10.0.1.1:7000", "zone-a", True


def expected(name: str) -> Any:
    return json.loads((DATA / name).read_text())


def records_of(name: str) -> list[Record]:
    data = (DATA / name).read_bytes()
    records, end = scan(data)
    assert end == len(data)
    return records


def replica_from(records: list[Record]) -> LocalReplica:
    async def load() -> LocalReplica:
        replica = LocalReplica(cast(Settings, ControllerSettings), cast(Journal, MemoryLog()))
        replica.load(records)
        return replica

    return asyncio.run(load())


def controller_state(replica: LocalReplica) -> dict[str, Any]:
    assert replica.accepted is not None
    accepted = replica.accepted
    witnesses = [[w.id, w.node, w.address, w.zone] for w in accepted.witnesses]
    return {
        "id": replica.id,
        "uninitialised": replica.uninitialised,
        "promised": replica.promised,
        "accepted": [accepted.number, accepted.primary, accepted.backups, witnesses],
        "rev": replica.store.revision,
        "digest": replica.store.digest,
        "collected": replica.store.collected_up_to,
        "tombstones": replica.store.tombstones,
        "items": {item.key: [item.revision, item.value.decode()] for item in replica.store.items.values()},
    }


def expected_controller_state(state: dict[str, Any]) -> dict[str, Any]:
    accepted = state["accepted"]["fields"]
    witnesses = [[w["fields"][name] for name in ("id", "node", "address", "zone")] for w in accepted["witnesses"]]
    return state | {"accepted": [accepted["number"], accepted["primary"], accepted["backups"], witnesses]}


@pytest.mark.parametrize(
    ("journal", "state"), [("control.journal", "state"), ("control_rewritten.journal", "rewritten_state")]
)
def test_a_control_journal_gives_the_same_state(journal: str, state: str) -> None:
    replica = replica_from(records_of(journal))
    assert controller_state(replica) == expected_controller_state(expected("control_state.json")[state])


def test_the_control_journals_hold_every_kind_of_record() -> None:
    kinds = {kind for name in ("control.journal", "control_rewritten.journal") for kind, _ in records_of(name)}
    assert sorted(kinds) == expected("control_state.json")["kinds"] == [1, 2, 3, 4, 5, 6, 7, 8]


def test_a_control_journal_is_rewritten_with_the_same_bytes() -> None:
    replica = replica_from(records_of("control.journal"))
    log = MemoryLog()
    for records in replica.live_records():
        for kind, payload in records:
            log.append(kind, payload)
    assert log.data == (DATA / "control_rewritten.journal").read_bytes()


def now() -> float:
    return float(expected("jobs_state.json")["now"])


def partitions_from(records: list[Record]) -> dict[int, PartitionReplica]:
    at = now()
    copies = {n: PartitionReplica(n, MemoryLog(), lambda: at) for n in range(PARTITIONS)}
    for kind, payload in records:
        if kind != RecordKind.DISK:
            copies[partition_of_record(kind, payload)].replay(kind, payload)
    for copy in copies.values():
        copy.finish_replay()
    return {n: copy for n, copy in copies.items() if copy.epoch}


def item_state(item: JobItem) -> dict[str, Any]:
    return {
        "path": item.path,
        "headers": item.headers,
        "body": item.body.decode(),
        "group": item.group,
        "tokens": item.tokens,
        "scorer": [item.scorer_id, item.scorer_host, item.scorer_path, item.scorer_body.decode()],
        "order": list(item.order),
        "state": item.state.value,
        "index": item.index,
    }


def job_state(job: Job) -> dict[str, Any]:
    return {
        "host": job.host,
        "route": job.route,
        "head": job.head,
        "state": job.state.value,
        "results": [result.decode() for result in job.results],
        "readable": job.readable,
        "committed": job.committed,
        "ended": job.ended,
        "at": job.received_at,
        "index": job.index,
        "end_index": job.end_index,
        "items": {item.id: item_state(item) for item in job.items.values()},
    }


def partition_state(copy: PartitionReplica) -> dict[str, Any]:
    return {
        "epoch": copy.epoch,
        "in_sync": sorted(copy.in_sync),
        "index": copy.index,
        "chain": copy.chain,
        "complete": copy.is_complete,
        "uninitialised": copy.uninitialised,
        "size": copy.jobs.size,
        "digests": copy.jobs.digests(),
        "jobs": {job.id: job_state(job) for job in copy.jobs.jobs.values()},
    }


def test_a_job_journal_gives_the_same_state() -> None:
    table = expected("jobs_state.json")
    records = records_of("jobs.journal")
    assert [payload.decode() for kind, payload in records if kind == RecordKind.DISK] == [table["disk"]]
    found = {str(n): partition_state(copy) for n, copy in partitions_from(records).items()}
    assert found == table["partitions"]


def test_the_job_journal_holds_every_kind_of_record() -> None:
    assert sorted({kind for kind, _ in records_of("jobs.journal")}) == [1, 2, 3, 4, 5, 6, 7]


def test_a_job_journal_is_rewritten_with_the_same_bytes() -> None:
    table = expected("jobs_state.json")["live"]
    for n, copy in partitions_from(records_of("jobs.journal")).items():
        assert [[kind, payload.hex()] for kind, payload in copy.live_records()] == table[str(n)]


def control_items() -> Iterator[tuple[str, str]]:
    yield from expected("control_items.json").items()


def test_the_values_cover_every_kind_of_item() -> None:
    kinds = {key.partition("/")[0] for key, _ in control_items()}
    assert kinds == {"config", "server", "member", "part", "version", "retire", "duty", "core", "change", "collected"}


SERVER = ServerRecord("svc-a", "10.1.0.1:80", "zone-a", 6, ServerState.UP, (ModelVersion("m-1", 4),), 250, 9)
RECORDS: dict[str, RecordOfItem] = {
    "config": ConfigurationRecord(
        {
            "gen": 3,
            "routes": [
                {
                    "name": "r-1",
                    "host": "h.example",
                    "prefix": "/",
                    "kind": "idem",
                    "backend": "svc-a",
                    "timeoutMs": 900,
                }
            ],
            "backends": [{"name": "svc-a", "probe": "/ok", "maxConns": 40}],
            "caps": {"headerBytes": 4096},
            "unknown": [1, {"x": None}],
        }
    ),
    "server/srv-1": SERVER,
    "server/srv-2": replace(SERVER, silent=True),
    "member/front-1": MemberRecord("front", "10.0.0.1:7000", "zone-a", "reg-1", ""),
    "member/store-1": MemberRecord("store", "10.0.0.2:7000", "zone-b", "reg-1", "d15c00000001"),
    "part/0": PartitionRecord(4, "store-1#d15c00000001", ("store-2#d2",), ("store-3#d3",)),
    "part/1": PartitionRecord(1, "store-2#d2", ("store-1#d15c00000001",), ()),
    "version/m-1": VersionRecord(5),
    "retire/store-1": RetirementRecord("d15c00000001"),
    "duty/srv-1": OrderLeaseRecord("front-1", 4800),
    "core": CoreRecord(("10.0.1.1:7000", "10.0.1.2:7000"), "10.0.1.1:7000", 3),
    "change/0": AcceptedChange(2, "1da474856049176c156fa382025d7b55"),
    "collected": CollectedRecord(17, (18, 19)),
}


@pytest.mark.parametrize(("key", "value"), control_items())
def test_an_item_is_read_as_its_record_and_written_with_the_same_bytes(key: str, value: str) -> None:
    record = RECORDS[key]
    kind = type(record)
    assert key_of(kind, key.partition("/")[2]) == key
    assert kind.decode(value.encode()) == record
    assert record.encode() == value.encode()
