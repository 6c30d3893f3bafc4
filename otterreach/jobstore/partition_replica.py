"""A replica of one partition: its state, its epoch, its log, and the table of batch jobs that results from the log.

A position (index, chain) is the number of entries and a hash over all of them: two replicas at the same position hold
the same entries, whichever primary wrote them. This module does no network I/O.
"""

from __future__ import annotations

import hashlib
import struct
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from otterreach.jobstore.job import Job
from otterreach.jobstore.job_table import JobChange, JobTable
from otterreach.jobstore.journal_records import (
    NO_POSITION,
    START,
    EpochRecord,
    LogPosition,
    RecordKind,
    begin_record,
    boundary_record,
    complete_replica,
    decode_begin,
    decode_entry,
    entry_record,
    staged_replica_tail,
)
from otterreach.jobstore.messages import Entry
from otterreach.jobstore.recent_entries import RecentEntries
from otterreach.runtime.journal_format import Record
from otterreach.runtime.log import log
from otterreach.runtime.records import PartitionRecord

CHAIN_BYTES = 7  # fits into a signed 64-bit integer of a message


class RecordLog(Protocol):
    """The part of the journal's interface that a replica uses."""

    def append(self, kind: int, payload: bytes) -> None:
        """Queue a record; it is on disk after the next sync."""


class ReplicaState(Enum):
    """The role of a replica in its epoch."""

    ABSENT = "absent"
    LEARNER = "learner"  # is being filled by the primary
    BACKUP = "backup"
    SYNCING = "primary-syncing"  # answers nothing until all backups have its entries
    SERVING = "primary-serving"
    FENCED = "fenced"  # took part in an epoch; a later epoch continues without it


TRANSITIONS: dict[ReplicaState, set[ReplicaState]] = {
    ReplicaState.ABSENT: {
        ReplicaState.LEARNER,
        ReplicaState.BACKUP,
        ReplicaState.SYNCING,
        ReplicaState.FENCED,
    },
    ReplicaState.LEARNER: {ReplicaState.BACKUP, ReplicaState.SYNCING, ReplicaState.FENCED},
    ReplicaState.BACKUP: {ReplicaState.LEARNER, ReplicaState.SYNCING, ReplicaState.FENCED},
    ReplicaState.SYNCING: {ReplicaState.SERVING, ReplicaState.FENCED},
    ReplicaState.SERVING: {ReplicaState.SYNCING, ReplicaState.FENCED},
    ReplicaState.FENCED: {
        ReplicaState.ABSENT,
        ReplicaState.LEARNER,
        ReplicaState.BACKUP,
        ReplicaState.SYNCING,
    },
}


def next_chain(chain: int, entry: Entry) -> int:
    """Return the hash over all entries up to and including this one."""
    digest = hashlib.blake2b(entry.body, digest_size=CHAIN_BYTES, key=struct.pack("<QB", chain, entry.kind))
    return int.from_bytes(digest.digest(), "little")


@dataclass(slots=True)
class StagedReplica:
    """A complete replica that is being received. Once it is complete it replaces the current one."""

    token: int  # of the installation
    position: LogPosition
    jobs: JobTable = field(default_factory=JobTable)
    entries: list[Entry] = field(default_factory=list)  # for a rewrite of the journal during the transfer
    next_chunk: int = 0

    def load(self, entry: Entry, now: float) -> None:
        """Apply one more entry of the replica."""
        self.entries.append(entry)
        change = self.jobs.apply(entry, len(self.entries), now)
        if change:
            self.jobs.commit(change)


class PartitionReplica:
    """The replica of one partition on this machine.

    The class has more than 20 methods because all journal records of a partition are written and replayed here, so that
    the states on disk and in memory can't diverge.
    """

    def __init__(self, partition: int, journal: RecordLog, now: Callable[[], float]) -> None:
        self.partition = partition
        self.journal = journal
        self.now = now
        self.state = ReplicaState.ABSENT
        self.epoch = 0  # the replica takes part in no lower epoch
        self.placement: PartitionRecord | None = None  # the record of this epoch, once known
        self.in_sync: set[str] = set()  # learners of this epoch that writes wait for
        self.uninitialised = True  # no replica on this disk was ever complete
        self.is_complete = False
        self.index = 0
        self.chain = 0
        self.jobs = JobTable()
        self.session = 0  # session of the primary whose entries are accepted
        self.staged: StagedReplica | None = None
        self.history_generation = 0  # incremented when the log is replaced: entries that writers wait for may be gone
        self.retained_from = 0  # another replica still needs the entries from this index on
        self.fenced_at = 0.0
        self._recent = RecentEntries()
        self._uncommitted: deque[tuple[int, JobChange]] = deque()  # changes, with the index after their entry

    # State ---------------------------------------------------------------------------------------

    def transition_to(self, state: ReplicaState, reason: str) -> None:
        """Change the state. No other function does."""
        old = self.state
        if old is state:
            return
        if state not in TRANSITIONS[old]:  # the role in an older epoch has to end first
            if state not in TRANSITIONS[ReplicaState.FENCED]:
                raise ValueError(f"invalid transition of a partition replica from {old} to {state}")
            self.transition_to(ReplicaState.FENCED, reason)
        self.state = state
        if state is ReplicaState.FENCED:
            self.fenced_at = self.now()
        if not self.is_primary:
            self._commit_all()
        log(
            "replica_state",
            partition=self.partition,
            old=old.value,
            new=state.value,
            epoch=self.epoch,
            index=self.index,
            reason=reason,
        )

    @property
    def is_primary(self) -> bool:
        """True if this replica leads its partition."""
        return self.state in (ReplicaState.SYNCING, ReplicaState.SERVING)

    @property
    def position(self) -> LogPosition:
        """The position at the end of the log; NO_POSITION if this replica is not complete."""
        return LogPosition(self.index, self.chain) if self.is_complete else NO_POSITION

    def promise(self, epoch: int) -> None:
        """Promise to take part in no epoch lower than this one.

        The promise is on disk after the next sync, before anything is done in this epoch.
        """
        if epoch > self.epoch:
            self.epoch = epoch
            self.placement = None
            self.session = 0
            self.in_sync = set()
            self._record_epoch()

    def add_in_sync(self, member: str) -> None:
        """Make writes wait for this learner from now on; on disk after the next sync."""
        self.in_sync.add(member)
        self._record_epoch()

    def _record_epoch(self) -> None:
        self.journal.append(*self._epoch_record())

    def _epoch_record(self) -> Record:
        return EpochRecord(self.partition, self.epoch, frozenset(self.in_sync)).encode()

    def start_empty(self) -> None:
        """Start as a complete, empty replica, on a member that never had one.

        No write can have been acknowledged, since it would have waited for this member.
        """
        self.journal.append(*begin_record(self.partition, START))
        self.journal.append(*boundary_record(RecordKind.END, self.partition))
        self._replace(JobTable(), START)

    # The log -------------------------------------------------------------------------------------

    def append(self, entry: Entry, parsed: Job | None = None) -> int:
        """Append an entry; it is on disk after the next sync. Return the index after it."""
        self.journal.append(*entry_record(RecordKind.RECORD, self.partition, entry))
        self._advance(entry, parsed)
        return self.index

    def _advance(self, entry: Entry, parsed: Job | None = None) -> None:
        self._recent.append(LogPosition(self.index, self.chain), entry)
        self.chain = next_chain(self.chain, entry)
        self.index += 1
        change = self.jobs.apply(entry, self.index, self.now(), parsed)
        if change:
            self._uncommitted.append((self.index, change))
        if not self.is_primary:
            self._commit_all()
            self.retained_from = self.index
        self.retain_from(self.retained_from)

    def retain_from(self, index: int) -> None:
        """Drop recent entries that no other replica needs; those from `index` on are still needed."""
        self.retained_from = index
        self._recent.trim(index)

    def commit(self, index: int) -> list[JobChange]:
        """Make the entries before this index visible to readers: all replicas have them. Return their changes."""
        changes = []
        while self._uncommitted and self._uncommitted[0][0] <= index:
            _, change = self._uncommitted.popleft()
            self.jobs.commit(change)
            changes.append(change)
        return changes

    def _commit_all(self) -> None:
        self.commit(self.index)

    def contains(self, position: LogPosition) -> bool:
        """Return True if all entries that a replica at this position lacks are still in memory."""
        if position == self.position:
            return self.is_complete
        return self._recent.contains(position)

    def entries_after(self, position: LogPosition, limit: int) -> list[Entry]:
        """Return the entries after a contained position: about `limit` bytes, at least one entry if there is any."""
        if position == self.position:
            return []
        return self._recent.after(position, limit)

    # Installation --------------------------------------------------------------------------------

    def stage(self, token: int, position: LogPosition) -> StagedReplica:
        """Begin to receive a complete replica; one that was being received is dropped."""
        self.journal.append(*begin_record(self.partition, position))
        self.staged = StagedReplica(token, position)
        return self.staged

    def load(self, entries: Iterable[Entry]) -> None:
        """Add entries to the replica that is being received."""
        staged = self.staged
        assert staged is not None
        for entry in entries:
            self.journal.append(*entry_record(RecordKind.LOAD, self.partition, entry))
            staged.load(entry, self.now())

    def install_staged(self) -> None:
        """Replace the current replica with the received one, which is complete."""
        staged = self.staged
        assert staged is not None
        self.journal.append(*boundary_record(RecordKind.END, self.partition))
        self._replace(staged.jobs, staged.position)

    def _replace(self, jobs: JobTable, position: LogPosition) -> None:
        self._uncommitted.clear()
        self._recent.clear()
        self.jobs = jobs
        self.staged = None
        self.index = position.index
        self.chain = position.chain
        self.retained_from = self.index
        self.is_complete = True
        self.uninitialised = False
        self.history_generation += 1

    def drop(self) -> None:
        """Drop the contents of this replica; other members hold everything."""
        self.journal.append(*boundary_record(RecordKind.DROPPED, self.partition))
        self._clear()
        self.transition_to(ReplicaState.ABSENT, "dropped")

    def _clear(self) -> None:
        self._replace(JobTable(), START)
        self.is_complete = False

    # The journal ---------------------------------------------------------------------------------

    def live_records(self) -> Iterator[Record]:
        """Yield the journal records that restore this replica."""
        if not self.epoch:
            return
        yield self._epoch_record()
        if self.is_complete:
            yield from complete_replica(self.partition, self.position, self.jobs.snapshot(self.now()))
        elif not self.uninitialised:
            yield boundary_record(RecordKind.DROPPED, self.partition)
        if self.staged:
            yield begin_record(self.partition, self.staged.position)
            yield from staged_replica_tail(self.partition, self.staged.entries)

    def replay(self, kind: int, payload: bytes) -> None:
        """Apply a journal record of this partition at start-up. The ages of jobs count from now on."""
        if kind == RecordKind.EPOCH:
            record = EpochRecord.decode(payload)
            self.epoch = record.epoch
            self.in_sync = set(record.in_sync)
        elif kind == RecordKind.BEGIN:
            self.staged = StagedReplica(0, decode_begin(payload))
        elif kind == RecordKind.END and self.staged:
            self._replace(self.staged.jobs, self.staged.position)
        elif kind == RecordKind.DROPPED:
            self._clear()
        elif kind == RecordKind.RECORD:
            self._advance(decode_entry(payload))
        elif kind == RecordKind.LOAD and self.staged:
            self.staged.load(decode_entry(payload), self.now())

    def finish_replay(self) -> None:
        """Finish the replay of the journal. A replica that was being received is incomplete and is dropped."""
        self.staged = None
        for job in self.jobs.jobs.values():
            job.received_at = max(job.received_at, self.now())
