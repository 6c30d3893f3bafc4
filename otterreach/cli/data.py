"""Read-only inspection of data files: one line per record, and verification of checksums."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from otterreach.cli.codes import ExitCode
from otterreach.controller.journal_records import JournalKind, StateReplay, decode_configuration
from otterreach.controller.messages import AppendItems, InstallSnapshot, SnapshotChunk, SnapshotCommit
from otterreach.controller.tombstones import revision_to_collect
from otterreach.jobstore.job import Job
from otterreach.jobstore.job_entries import EntryKind
from otterreach.jobstore.journal_records import RecordKind, decode_entry, partition_of_record
from otterreach.jobstore.partition_replica import PartitionReplica
from otterreach.jobstore.placement import PARTITIONS
from otterreach.runtime.codec import MessageError, decode_as
from otterreach.runtime.journal_format import HEADER, MAX_RECORD_BYTES, JournalDamagedError, pack, scan
from otterreach.runtime.store import Item, ReplicatedStore

CONTROL = "control"
JOBS = "jobs"
# Display names of record kinds.
CONTROL_KINDS: dict[int, str] = {
    JournalKind.IDENTITY: "identity",
    JournalKind.PROMISE: "promise",
    JournalKind.CONFIGURATION: "epoch",
    JournalKind.ITEMS: "items",
    JournalKind.SNAPSHOT: "state",
    JournalKind.STAGING: "staging",
    JournalKind.CHUNK: "piece",
    JournalKind.COMMIT: "commit",
}
JOB_KINDS: dict[int, str] = {
    RecordKind.DISK: "disk",
    RecordKind.EPOCH: "epoch",
    RecordKind.RECORD: "record",
    RecordKind.BEGIN: "begin",
    RecordKind.LOAD: "load",
    RecordKind.END: "end",
    RecordKind.DROPPED: "dropped",
}
SHOWN_ITEMS = 8
REVISION_BITS = 24  # low bits of a revision: the counter within its epoch


@dataclass(frozen=True, slots=True)
class Entry:
    """A record and its offset in the file."""

    offset: int
    kind: int
    payload: bytes
    synced: int


def walk(data: bytes) -> Iterator[Entry]:
    """Yield the valid records from the start of the file, up to the first that is incomplete or corrupt."""
    offset = 0
    while len(data) - offset >= HEADER.size:
        length, _, synced, kind = HEADER.unpack_from(data, offset)
        end = offset + HEADER.size + length
        payload = data[offset + HEADER.size : end]
        if length > MAX_RECORD_BYTES or end > len(data) or pack(kind, payload, synced) != data[offset:end]:
            return
        yield Entry(offset, kind, payload, synced)
        offset = end


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of verifying a file. `code` is 0, DATA_TORN, DATA_DAMAGED or DATA_MISSING."""

    code: int
    text: str
    records: int = 0


def verify(path: Path) -> Verdict:
    """Verify all checksums. A torn last record, which is expected after a power loss, is distinguished from damage."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return Verdict(ExitCode.DATA_MISSING, f"{path}: {error.strerror}")
    try:
        records, end = scan(data)
    except JournalDamagedError as error:
        count = sum(1 for _ in walk(data))
        return Verdict(ExitCode.DATA_DAMAGED, f"{path}: damaged: {error}", count)
    if end < len(data):
        text = f"{path}: {len(records)} records, then a torn end of {len(data) - end} bytes at byte {end}"
        return Verdict(ExitCode.DATA_TORN, text, len(records))
    return Verdict(0, f"{path}: {len(records)} records, {end} bytes, all valid", len(records))


def kind_of_file(path: Path, data: bytes) -> str:
    """Return whose journal a file is, by its name or else by its first record.

    The first record holds an id in both cases; that of a controller contains a space, that of a job store disk doesn't.
    """
    for kind in (CONTROL, JOBS):
        if path.name.startswith(kind):
            return kind
    first = next(walk(data), None)
    return CONTROL if first and b" " in first.payload else JOBS


def record_line(file_kind: str, entry: Entry) -> str:
    """Return a one-line description of a record."""
    if file_kind == CONTROL:
        name = CONTROL_KINDS.get(entry.kind, str(entry.kind))
        content = _control_content(entry)
    else:
        name = JOB_KINDS.get(entry.kind, str(entry.kind))
        content = _job_content(entry)
    return f"at={entry.offset} kind={name} bytes={len(entry.payload)} synced={entry.synced} {content}".rstrip()


def _items(items: list[Item]) -> str:
    shown = [item_name(item) + "-" * item.is_tombstone for item in items[:SHOWN_ITEMS]]
    more = len(items) - len(shown)
    return f"items={','.join(shown)}" + (f",+{more}" if more else "")


def item_name(item: Item) -> str:
    """Return the key of an item with its revision, written as the epoch and the counter within it."""
    return f"{item.key}@{item.revision >> REVISION_BITS}.{item.revision & (1 << REVISION_BITS) - 1}"


def _control_content(entry: Entry) -> str:
    try:
        if entry.kind == JournalKind.CONFIGURATION:
            return _configuration_content(entry.payload)
        if entry.kind == JournalKind.ITEMS:
            changes = decode_as(AppendItems, entry.payload)
            return f"number={changes.number} {_items(changes.items)}"
        if entry.kind == JournalKind.SNAPSHOT:
            snapshot = decode_as(InstallSnapshot, entry.payload)
            return f"number={snapshot.number} {_items(snapshot.items)}"
        if entry.kind == JournalKind.CHUNK:
            chunk = decode_as(SnapshotChunk, entry.payload)
            return f"number={chunk.number} ranges={len(chunk.ranges)} {_items(chunk.items)}"
        if entry.kind == JournalKind.COMMIT:
            return f"number={decode_as(SnapshotCommit, entry.payload).number}"
    except (MessageError, ValueError) as error:
        return f"unreadable={error}"
    return f"value={entry.payload.decode(errors='replace')}"


def _configuration_content(payload: bytes) -> str:
    configuration = decode_configuration(payload)
    witnesses = ",".join(witness.node for witness in configuration.witnesses)
    backups = ",".join(configuration.backups)
    return f"number={configuration.number} primary={configuration.primary} backups={backups} witnesses={witnesses}"


def replay_state(data: bytes) -> ReplicatedStore:
    """Return the control state replayed from a controller's journal. It may include unacknowledged changes."""
    replay = StateReplay()
    for entry in walk(data):
        replay.apply(entry.kind, entry.payload)
    replay.store.collect(revision_to_collect(replay.store))
    return replay.store


def item_value(data: bytes, key: str) -> Any:
    """Return the latest value of an item in a controller's journal, decoded; None if it has no value."""
    item = replay_state(data).items.get(key)
    return None if item is None or item.is_tombstone else json.loads(item.value)


def _job_id(kind: int, body: bytes) -> str:
    if kind in (EntryKind.SUBMIT, EntryKind.RESULT):
        length = int.from_bytes(body[:4], "little")
        return body[4 : 4 + length].decode(errors="replace")
    return body.decode(errors="replace")


def _job_content(entry: Entry) -> str:
    if entry.kind in (RecordKind.DISK, RecordKind.EPOCH, RecordKind.BEGIN):
        return f"value={entry.payload.decode(errors='replace')}"
    content = f"part={partition_of_record(entry.kind, entry.payload)}"
    if entry.kind in (RecordKind.RECORD, RecordKind.LOAD):
        logged = decode_entry(entry.payload)
        content += f" {EntryKind(logged.kind).name.lower()}={_job_id(logged.kind, logged.body)}"
    return content


class _ReadOnlyLog:
    def append(self, kind: int, payload: bytes) -> None:
        """Raise AssertionError: the replay of a file must not write."""
        raise AssertionError("the replay of a data file tried to write a record")


@dataclass(frozen=True, slots=True)
class JobInFile:
    """A batch job found in a job store node's journal."""

    partition: int
    job: Job


def jobs_in(data: bytes) -> list[JobInFile]:
    """Return the batch jobs of all partition replicas in a job store node's journal."""
    replicas = [PartitionReplica(partition, _ReadOnlyLog(), lambda: 0.0) for partition in range(PARTITIONS)]
    for entry in walk(data):
        if entry.kind == RecordKind.DISK:
            continue
        partition = partition_of_record(entry.kind, entry.payload)
        if partition < PARTITIONS:
            replicas[partition].replay(entry.kind, entry.payload)
    return [JobInFile(replica.partition, job) for replica in replicas for job in replica.jobs.jobs.values()]


def job_line(found: JobInFile) -> str:
    """Return a one-line description of a batch job."""
    job = found.job
    head = json.dumps({key: job.head[key] for key in ("step", "model", "minVersion", "desired") if key in job.head})
    listed = f"{len(job.results)} of {len(job.items)} listed"
    return f"{job.id}  part {found.partition}  {job.state.value}  {listed}  {head}"
