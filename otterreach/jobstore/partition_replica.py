"""One replica of a partition: its state, the epoch it is in, its log and the batch jobs that the log gives.

The position (index, chain) is the count of entries and a hash over all of them, so that two replicas at the same
position hold the same, whoever wrote it. No network in here.
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

CHAIN_BYTES = 7  # fits a message's signed number


class RecordLog(Protocol):
    """The part of the journal that a replica uses."""

    def append(self, kind: int, payload: bytes) -> None:
        """Queue a record; it is on disk with the next sync."""


class ReplicaState(Enum):
    """The part that a replica takes in its epoch."""

    ABSENT = "absent"
    LEARNER = "learner"  # to be filled by the primary
    BACKUP = "backup"
    SYNCING = "primary-syncing"  # answers nothing until all backups are where it is
    SERVING = "primary-serving"
    FENCED = "fenced"  # has taken part, and another epoch goes on without it


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
    """The hash over all entries, this one included."""
    digest = hashlib.blake2b(entry.body, digest_size=CHAIN_BYTES, key=struct.pack("<QB", chain, entry.kind))
    return int.from_bytes(digest.digest(), "little")


@dataclass(slots=True)
class StagedReplica:
    """A complete replica that is being transferred; it replaces the present one at its end."""

    token: int  # of the installation
    position: LogPosition
    jobs: JobTable = field(default_factory=JobTable)
    entries: list[Entry] = field(default_factory=list)  # for a rewrite of the journal meanwhile
    next_chunk: int = 0

    def load(self, entry: Entry, now: float) -> None:
        """One more entry of it."""
        self.entries.append(entry)
        change = self.jobs.apply(entry, len(self.entries), now)
        if change:
            self.jobs.commit(change)


class PartitionReplica:
    """A partition at this machine.

    More than 20 methods: all that is journalled of a partition is written and replayed here, so that disk and memory
    can't differ.
    """

    def __init__(self, partition: int, journal: RecordLog, now: Callable[[], float]) -> None:
        self.partition = partition
        self.journal = journal
        self.now = now
        self.state = ReplicaState.ABSENT
        self.epoch = 0  # it takes part in nothing lower
        self.placement: PartitionRecord | None = None  # of this epoch, once known
        self.in_sync: set[str] = set()  # learners of this epoch that writes wait for
        self.uninitialised = True  # it was never complete
        self.is_complete = False
        self.index = 0
        self.chain = 0
        self.jobs = JobTable()
        self.session = 0  # of the primary whose entries are accepted
        self.staged: StagedReplica | None = None
        self.history_generation = 0  # rises when the log is replaced: what was waited for may be gone
        self.retained_from = 0  # entries from this index on are still needed by another replica
        self.fenced_at = 0.0
        self._recent = RecentEntries()
        self._uncommitted: deque[tuple[int, JobChange]] = deque()  # with the index behind the entry

    # State ---------------------------------------------------------------------------------------

    def become(self, state: ReplicaState, reason: str) -> None:
        """The one function that changes the state."""
        old = self.state
        if old is state:
            return
        if state not in TRANSITIONS[old]:  # a primary or a member under an older epoch: that ends first
            if state not in TRANSITIONS[ReplicaState.FENCED]:
                raise ValueError(f"a replica never goes from {old} to {state}")
            self.become(ReplicaState.FENCED, reason)
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
        """Whether this replica leads its partition."""
        return self.state in (ReplicaState.SYNCING, ReplicaState.SERVING)

    @property
    def position(self) -> LogPosition:
        """How far the log is; NO_POSITION if this replica is not complete."""
        return LogPosition(self.index, self.chain) if self.is_complete else NO_POSITION

    def promise(self, epoch: int) -> None:
        """Take part in nothing lower; on disk with the next sync, before anything is done under it."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.placement = None
            self.session = 0
            self.in_sync = set()
            self._record_epoch()

    def add_in_sync(self, member: str) -> None:
        """Writes wait for this learner from now on; on disk with the next sync."""
        self.in_sync.add(member)
        self._record_epoch()

    def _record_epoch(self) -> None:
        self.journal.append(*self._epoch_record())

    def _epoch_record(self) -> Record:
        return EpochRecord(self.partition, self.epoch, frozenset(self.in_sync)).encode()

    def start_empty(self) -> None:
        """Begin with nothing, as a member that never had a replica: an acknowledged write would have waited for it."""
        self.journal.append(*begin_record(self.partition, START))
        self.journal.append(*boundary_record(RecordKind.END, self.partition))
        self._replace(JobTable(), START)

    # The log -------------------------------------------------------------------------------------

    def append(self, entry: Entry, parsed: Job | None = None) -> int:
        """Append an entry; it is on disk with the next sync. Returns the index behind it."""
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
        self._recent.trim(self.retained_from)

    def commit(self, index: int) -> list[JobChange]:
        """All replicas have the entries up to here: readers may see them. Returns what they did."""
        changes = []
        while self._uncommitted and self._uncommitted[0][0] <= index:
            _, change = self._uncommitted.popleft()
            self.jobs.commit(change)
            changes.append(change)
        return changes

    def _commit_all(self) -> None:
        self.commit(self.index)

    def contains(self, position: LogPosition) -> bool:
        """Whether a replica at this position lacks only entries that are still here."""
        if position == self.position:
            return self.is_complete
        return self._recent.contains(position)

    def entries_after(self, position: LogPosition, limit: int) -> list[Entry]:
        """The entries behind a position that is contained: about `limit` bytes of them, and one at least."""
        if position == self.position:
            return []
        return self._recent.after(position, limit)

    # Installation --------------------------------------------------------------------------------

    def stage(self, token: int, position: LogPosition) -> StagedReplica:
        """A complete replica begins to arrive; one that was on its way is dropped."""
        self.journal.append(*begin_record(self.partition, position))
        self.staged = StagedReplica(token, position)
        return self.staged

    def load(self, entries: Iterable[Entry]) -> None:
        """More of the replica that is arriving."""
        staged = self.staged
        assert staged is not None
        for entry in entries:
            self.journal.append(*entry_record(RecordKind.LOAD, self.partition, entry))
            staged.load(entry, self.now())

    def install_staged(self) -> None:
        """The replica that was arriving is complete, and replaces the present one."""
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
        """Other members hold everything: free what is here."""
        self.journal.append(*boundary_record(RecordKind.DROPPED, self.partition))
        self._forget()
        self.become(ReplicaState.ABSENT, "dropped")

    def _forget(self) -> None:
        self._replace(JobTable(), START)
        self.is_complete = False

    # The journal ---------------------------------------------------------------------------------

    def live_records(self) -> Iterator[Record]:
        """The records that give this replica again."""
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
        """Apply a journal record of this partition at the start. Ages are counted from now."""
        if kind == RecordKind.EPOCH:
            record = EpochRecord.decode(payload)
            self.epoch = record.epoch
            self.in_sync = set(record.in_sync)
        elif kind == RecordKind.BEGIN:
            self.staged = StagedReplica(0, decode_begin(payload))
        elif kind == RecordKind.END and self.staged:
            self._replace(self.staged.jobs, self.staged.position)
        elif kind == RecordKind.DROPPED:
            self._forget()
        elif kind == RecordKind.RECORD:
            self._advance(decode_entry(payload))
        elif kind == RecordKind.LOAD and self.staged:
            self.staged.load(decode_entry(payload), self.now())

    def finish_replay(self) -> None:
        """The journal has been read: a replica that was arriving never became complete."""
        self.staged = None
        for job in self.jobs.jobs.values():
            job.received_at = max(job.received_at, self.now())
