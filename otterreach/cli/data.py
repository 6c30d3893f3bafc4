"""Data files as they lie on disk: their records, told in a line each, and whether they are whole. Read only."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from otterreach.cli.codes import ExitCode
from otterreach.controller import messages as controller_messages  # noqa: F401  registers what the records hold
from otterreach.controller import replica_state
from otterreach.controller.tombstones import collected_rev
from otterreach.jobstore.jobs import Job, Kind
from otterreach.jobstore.partition import Copy, Mark, part_in
from otterreach.jobstore.placement import PARTITIONS
from otterreach.runtime.codec import MessageError, decode
from otterreach.runtime.journal import HEADER, MAX_RECORD, JournalDamaged, pack, scan
from otterreach.runtime.store import Item, ReplicatedStore

CONTROL, JOBS = "control", "jobs"
CONTROL_KINDS = {
    replica_state.IDENTITY: "identity",
    replica_state.PROMISE: "promise",
    replica_state.CONFIGURATION: "epoch",
    replica_state.ITEMS: "items",
    replica_state.SNAPSHOT: "state",
    replica_state.STAGING: "staging",
    replica_state.PIECE: "piece",
    replica_state.COMMIT: "commit",
}
JOB_KINDS = {
    Mark.DISK: "disk",
    Mark.EPOCH: "epoch",
    Mark.RECORD: "record",
    Mark.BEGIN: "begin",
    Mark.LOAD: "load",
    Mark.END: "end",
    Mark.DROPPED: "dropped",
}
SHOWN_ITEMS = 8


@dataclass(frozen=True, slots=True)
class Entry:
    """A record, and where it begins in the file."""

    at: int
    kind: int
    payload: bytes
    synced: int


def walk(data: bytes) -> Iterator[Entry]:
    """The whole records from the start, up to the first that is not."""
    at = 0
    while len(data) - at >= HEADER.size:
        length, _, synced, kind = HEADER.unpack_from(data, at)
        end = at + HEADER.size + length
        payload = data[at + HEADER.size : end]
        if length > MAX_RECORD or end > len(data) or pack(kind, payload, synced) != data[at:end]:
            return
        yield Entry(at, kind, payload, synced)
        at = end


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a file is whole. `code`: 0, DATA_TORN, DATA_DAMAGED or DATA_MISSING."""

    code: int
    text: str
    records: int = 0


def verify(path: Path) -> Verdict:
    """Checks every checksum; tells a torn end, which is normal, from damage."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return Verdict(ExitCode.DATA_MISSING, f"{path}: {error.strerror}")
    try:
        records, end = scan(data)
    except JournalDamaged as error:
        count = sum(1 for _ in walk(data))
        return Verdict(ExitCode.DATA_DAMAGED, f"{path}: damaged: {error}", count)
    if end < len(data):
        text = f"{path}: {len(records)} records, then a torn end of {len(data) - end} bytes at byte {end}"
        return Verdict(ExitCode.DATA_TORN, text, len(records))
    return Verdict(0, f"{path}: {len(records)} records, {end} bytes, all whole", len(records))


def kind_of_file(path: Path, data: bytes) -> str:
    """Whose journal it is: by its name, else by its first record, which both kinds of machines begin with their id."""
    for kind in (CONTROL, JOBS):
        if path.name.startswith(kind):
            return kind
    first = next(walk(data), None)
    return CONTROL if first and b" " in first.payload else JOBS


def line(of: str, entry: Entry) -> str:
    """A record in words."""
    name, told = _control(entry) if of == CONTROL else _jobs(entry)
    return f"at={entry.at} kind={name} bytes={len(entry.payload)} synced={entry.synced} {told}".rstrip()


def _items(items: list[Item]) -> str:
    shown = [f"{item.key}@{item.rev >> 24}.{item.rev & 0xFFFFFF}" + "-" * item.gone for item in items[:SHOWN_ITEMS]]
    more = len(items) - len(shown)
    return f"items={','.join(shown)}" + (f",+{more}" if more else "")


def _control(entry: Entry) -> tuple[str, str]:
    name = CONTROL_KINDS.get(entry.kind, str(entry.kind))
    try:
        if entry.kind == replica_state.CONFIGURATION:
            configuration = decode(22, entry.payload).configuration[0]
            witnesses = ",".join(w.node for w in configuration.witnesses)
            return (
                name,
                f"number={configuration.number} primary={configuration.primary} "
                f"backups={','.join(configuration.backups)} "
                f"witnesses={witnesses}",
            )
        if entry.kind in (replica_state.ITEMS, replica_state.SNAPSHOT):
            told = decode(25 if entry.kind == replica_state.ITEMS else 24, entry.payload)
            return name, f"number={told.number} {_items(told.items)}"
        if entry.kind == replica_state.PIECE:
            piece = decode(38, entry.payload)
            return name, f"number={piece.number} ranges={len(piece.ranges)} {_items(piece.items)}"
        if entry.kind == replica_state.COMMIT:
            return name, f"number={decode(39, entry.payload).number}"
    except (MessageError, IndexError) as error:
        return name, f"unreadable={error}"
    return name, f"value={entry.payload.decode(errors='replace')}"


def state_in(data: bytes) -> ReplicatedStore:
    """The control state as a controller's journal has it. What was not acknowledged may be in it, too."""
    store, staged = ReplicatedStore(), ReplicatedStore()
    for entry in walk(data):
        if entry.kind == replica_state.SNAPSHOT:
            store = ReplicatedStore()
            store.apply(decode(24, entry.payload).items)
        elif entry.kind == replica_state.ITEMS:
            store.apply(decode(25, entry.payload).items)
        elif entry.kind == replica_state.STAGING:
            staged = store.copy()
        elif entry.kind == replica_state.PIECE:
            piece = decode(38, entry.payload)
            staged.overwrite_ranges(piece.ranges, piece.items)
        elif entry.kind == replica_state.COMMIT:
            store, staged = staged, ReplicatedStore()
    store.collect(collected_rev(store))
    return store


def _job_of(kind: int, body: bytes) -> str:
    if kind in (Kind.SUBMIT, Kind.RESULT):
        length = int.from_bytes(body[:4], "little")
        return body[4 : 4 + length].decode(errors="replace")
    return body.decode(errors="replace")


def _jobs(entry: Entry) -> tuple[str, str]:
    name = JOB_KINDS.get(entry.kind, str(entry.kind))
    if entry.kind in (Mark.DISK, Mark.EPOCH, Mark.BEGIN):
        return name, f"value={entry.payload.decode(errors='replace')}"
    told = f"part={part_in(entry.kind, entry.payload)}"
    if entry.kind in (Mark.RECORD, Mark.LOAD):
        kind, body = entry.payload[2], entry.payload[3:]
        told += f" {Kind(kind).name.lower()}={_job_of(kind, body)}"
    return name, told


class _NoJournal:
    def append(self, kind: int, payload: bytes) -> None:
        raise AssertionError("a file that is read is not written")


def jobs_in(data: bytes) -> list[tuple[int, Job]]:
    """(partition, batch job) of all copies in a job store node's journal."""
    copies = [Copy(part, _NoJournal(), lambda: 0.0) for part in range(PARTITIONS)]
    for entry in walk(data):
        if entry.kind != Mark.DISK and (part := part_in(entry.kind, entry.payload)) < PARTITIONS:
            copies[part].replay(entry.kind, entry.payload)
    return [(copy.part, job) for copy in copies for job in copy.jobs.jobs.values()]


def job_line(part: int, job: Job) -> str:
    head = json.dumps({k: job.head[k] for k in ("step", "model", "minVersion", "desired") if k in job.head})
    return f"{job.id}  part {part}  {job.state.value}  {len(job.results)} of {len(job.items)} listed  {head}"
