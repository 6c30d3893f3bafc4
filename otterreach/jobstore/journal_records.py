"""The records of a job store journal. Kinds and layouts are stored data and must not change."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from otterreach.jobstore.messages import Entry
from otterreach.runtime.journal_format import Record

_ENTRY_HEAD = struct.Struct("<HB")  # partition, kind of entry
_NO_ENTRY = 0  # kind of entry in records that only carry the partition


class RecordKind(IntEnum):
    """Kinds of journal records."""

    DISK = 1  # the id of the disk
    EPOCH = 2  # the epoch of a partition, with the learners that its writes wait for
    RECORD = 3  # an entry appended to a partition's log
    BEGIN = 4  # a complete replica follows; it replaces the current one at its END
    LOAD = 5  # an entry of that replica
    END = 6
    DROPPED = 7  # the replica of the partition has been dropped


@dataclass(frozen=True, slots=True)
class LogPosition:
    """A position in a log. Two replicas at the same position hold the same entries, whichever primary wrote them."""

    index: int  # the number of entries before the position
    chain: int  # a hash over all of them


NO_POSITION = LogPosition(-1, 0)  # the position of a replica that is not complete
START = LogPosition(0, 0)


@dataclass(frozen=True, slots=True)
class EpochRecord:
    """The epoch that a replica is in."""

    partition: int
    epoch: int
    in_sync: frozenset[str]  # learners that writes wait for

    def encode(self) -> Record:
        """Return the journal record."""
        return RecordKind.EPOCH, json.dumps([self.partition, self.epoch, sorted(self.in_sync)]).encode()

    @classmethod
    def decode(cls, payload: bytes) -> EpochRecord:
        """Decode the payload of a journal record."""
        partition, epoch, in_sync = json.loads(payload)
        return cls(partition, epoch, frozenset(in_sync))


def begin_record(partition: int, position: LogPosition) -> Record:
    """Return the BEGIN record of a complete replica at this position."""
    return RecordKind.BEGIN, json.dumps([partition, position.index, position.chain]).encode()


def decode_begin(payload: bytes) -> LogPosition:
    """Return the position in a BEGIN record."""
    _, index, chain = json.loads(payload)
    return LogPosition(index, chain)


def entry_record(kind: RecordKind, partition: int, entry: Entry) -> Record:
    """Return a RECORD or LOAD record."""
    return kind, _ENTRY_HEAD.pack(partition, entry.kind) + entry.body


def decode_entry(payload: bytes) -> Entry:
    """Return the entry in a RECORD or LOAD record."""
    _, kind = _ENTRY_HEAD.unpack_from(payload)
    return Entry(kind, payload[_ENTRY_HEAD.size :])


def boundary_record(kind: RecordKind, partition: int) -> Record:
    """Return an END or DROPPED record."""
    return kind, _ENTRY_HEAD.pack(partition, _NO_ENTRY)


def partition_of_record(kind: int, payload: bytes) -> int:
    """Return the partition of a journal record. Not for DISK, which has none."""
    if kind in (RecordKind.EPOCH, RecordKind.BEGIN):
        return int(json.loads(payload)[0])
    return int(_ENTRY_HEAD.unpack_from(payload)[0])


def complete_replica(partition: int, position: LogPosition, entries: Iterable[Entry]) -> Iterable[Record]:
    """Yield the records of a complete replica."""
    yield begin_record(partition, position)
    yield from staged_replica_tail(partition, entries)
    yield boundary_record(RecordKind.END, partition)


def staged_replica_tail(partition: int, entries: Iterable[Entry]) -> Iterable[Record]:
    """Yield the LOAD records that follow a BEGIN."""
    for entry in entries:
        yield entry_record(RecordKind.LOAD, partition, entry)
