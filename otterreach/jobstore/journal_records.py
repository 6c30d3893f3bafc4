"""The records of a job store journal. Kinds and layouts are stored data: they keep their form for good."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from otterreach.jobstore.messages import Entry
from otterreach.runtime.journal_format import Record

_ENTRY_HEAD = struct.Struct("<HB")  # partition, kind of entry
_NO_ENTRY = 0  # in the place of the kind, where only the partition matters


class RecordKind(IntEnum):
    """Kinds of journal records."""

    DISK = 1  # the id of the disk
    EPOCH = 2  # of a partition, with the learners that its writes wait for
    RECORD = 3  # one more entry of a partition's log
    BEGIN = 4  # a complete replica follows, which is in force from its END on
    LOAD = 5
    END = 6
    DROPPED = 7  # nothing of the partition is here any more


@dataclass(frozen=True, slots=True)
class LogPosition:
    """How far a replica's log is: two replicas at the same position hold the same, whoever wrote it."""

    index: int  # the count of entries
    chain: int  # a hash over all of them


NO_POSITION = LogPosition(-1, 0)  # of a replica that is not complete
START = LogPosition(0, 0)


@dataclass(frozen=True, slots=True)
class EpochRecord:
    """The epoch that a replica is in."""

    partition: int
    epoch: int
    in_sync: frozenset[str]  # learners that writes wait for

    def encode(self) -> Record:
        """The journal record."""
        return RecordKind.EPOCH, json.dumps([self.partition, self.epoch, sorted(self.in_sync)]).encode()

    @classmethod
    def decode(cls, payload: bytes) -> EpochRecord:
        """From the payload of a journal record."""
        partition, epoch, in_sync = json.loads(payload)
        return cls(partition, epoch, frozenset(in_sync))


def begin_record(partition: int, position: LogPosition) -> Record:
    """A complete replica follows, which is at this position."""
    return RecordKind.BEGIN, json.dumps([partition, position.index, position.chain]).encode()


def decode_begin(payload: bytes) -> LogPosition:
    """The position in a BEGIN record."""
    _, index, chain = json.loads(payload)
    return LogPosition(index, chain)


def entry_record(kind: RecordKind, partition: int, entry: Entry) -> Record:
    """A RECORD or LOAD."""
    return kind, _ENTRY_HEAD.pack(partition, entry.kind) + entry.body


def decode_entry(payload: bytes) -> Entry:
    """The entry in a RECORD or LOAD."""
    _, kind = _ENTRY_HEAD.unpack_from(payload)
    return Entry(kind, payload[_ENTRY_HEAD.size :])


def boundary_record(kind: RecordKind, partition: int) -> Record:
    """An END or DROPPED."""
    return kind, _ENTRY_HEAD.pack(partition, _NO_ENTRY)


def partition_of_record(kind: int, payload: bytes) -> int:
    """The partition that a journal record is about. Not for DISK."""
    if kind in (RecordKind.EPOCH, RecordKind.BEGIN):
        return int(json.loads(payload)[0])
    return int(_ENTRY_HEAD.unpack_from(payload)[0])


def complete_replica(partition: int, position: LogPosition, entries: Iterable[Entry]) -> Iterable[Record]:
    """The records that give a complete replica."""
    yield begin_record(partition, position)
    yield from staged_replica_tail(partition, entries)
    yield boundary_record(RecordKind.END, partition)


def staged_replica_tail(partition: int, entries: Iterable[Entry]) -> Iterable[Record]:
    """The LOAD records behind a BEGIN."""
    for entry in entries:
        yield entry_record(RecordKind.LOAD, partition, entry)
