"""One copy of a partition: its state, the epoch it is in, its records and where they stand in the journal.

The position (index, chain) is the count of records and a hash over all of them, so that two copies at the same
position hold the same, whoever wrote it. No network in here.
"""

from __future__ import annotations

import hashlib
import json
import struct
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from otterreach.jobstore.jobs import Change, Job, Jobs
from otterreach.jobstore.messages import Entry
from otterreach.jobstore.placement import Placement
from otterreach.runtime.log import log

SMALL_TAIL = 128 * 1024  # bytes of records kept for a copy that is a little behind
BIG_TAIL = 8 * 1024 * 1024  # while another copy still needs them
_RECORD = struct.Struct("<HB")
Position = tuple[int, int]  # index, chain
NOWHERE: Position = (-1, 0)


class RecordLog(Protocol):
    """The part of the journal that a copy uses."""

    def append(self, kind: int, payload: bytes) -> None: ...


class Mark:
    """Kinds of journal records."""

    DISK = 1  # the id of the disk
    EPOCH = 2  # of a partition, with the learners that its writes wait for
    RECORD = 3  # one more record of a partition
    BEGIN = 4  # a whole copy follows, which is in force from its END on
    LOAD = 5
    END = 6
    DROPPED = 7  # nothing of the partition is here any more


class CopyState(Enum):
    ABSENT = "absent"
    LEARNER = "learner"  # to be filled by the primary
    BACKUP = "backup"
    SYNCING = "primary-syncing"  # answers nothing until all backups stand where it stands
    SERVING = "primary-serving"
    FENCED = "fenced"  # has taken part, and another epoch goes on without it


MOVES: dict[CopyState, set[CopyState]] = {
    CopyState.ABSENT: {CopyState.LEARNER, CopyState.BACKUP, CopyState.SYNCING, CopyState.FENCED},
    CopyState.LEARNER: {CopyState.BACKUP, CopyState.SYNCING, CopyState.FENCED},
    CopyState.BACKUP: {CopyState.LEARNER, CopyState.SYNCING, CopyState.FENCED},
    CopyState.SYNCING: {CopyState.SERVING, CopyState.FENCED},
    CopyState.SERVING: {CopyState.SYNCING, CopyState.FENCED},
    CopyState.FENCED: {CopyState.ABSENT, CopyState.LEARNER, CopyState.BACKUP, CopyState.SYNCING},
}


def chain_of(chain: int, entry: Entry) -> int:
    """The hash over all records with this one."""
    digest = hashlib.blake2b(entry.body, digest_size=7, key=struct.pack("<QB", chain, entry.kind))
    return int.from_bytes(digest.digest(), "little")


@dataclass(slots=True)
class Staged:
    """A whole copy on its way; it replaces the present one at its end."""

    token: int
    position: Position
    jobs: Jobs
    entries: list[Entry]  # for a rewrite of the journal meanwhile
    next: int = 0  # piece


class Copy:
    """A partition at this machine."""

    def __init__(self, part: int, journal: RecordLog, now: Callable[[], float]) -> None:
        self.part, self.journal, self.now = part, journal, now
        self.state = CopyState.ABSENT
        self.epoch = 0  # nothing lower is taken part in
        self.placement: Placement | None = None  # of this epoch, once known
        self.in_sync: set[str] = set()  # learners of this epoch that writes wait for
        self.uninitialised = True  # never had a copy
        self.whole = False  # has a copy
        self.index, self.chain = 0, 0
        self.jobs = Jobs()
        self.session = 0  # of the primary whose records are taken
        self.staged: Staged | None = None
        self.lineage = 0  # rises when records are replaced: what was waited for may be gone
        self.floor = 0  # records from here on are still needed by another copy
        self.fenced_at = 0.0
        self._tail: deque[tuple[int, int, Entry]] = deque()  # position before each record
        self._tail_bytes = 0
        self._unsettled: deque[tuple[int, Change]] = deque()

    # State ---------------------------------------------------------------------------------------

    def become(self, state: CopyState, why: str) -> None:
        """The one function that changes the state."""
        old = self.state
        if old is state:
            return
        if state not in MOVES[old]:  # a primary or a member under an older epoch: that ends first
            if state not in MOVES[CopyState.FENCED]:
                raise ValueError(f"a copy never goes from {old} to {state}")
            self.become(CopyState.FENCED, why)
        self.state = state
        if state is CopyState.FENCED:
            self.fenced_at = self.now()
        if state not in (CopyState.SYNCING, CopyState.SERVING):
            self._settle_all()
        log("copy", part=self.part, old=old.value, new=state.value, epoch=self.epoch, index=self.index, why=why)

    @property
    def is_primary(self) -> bool:
        return self.state in (CopyState.SYNCING, CopyState.SERVING)

    @property
    def position(self) -> Position:
        return (self.index, self.chain) if self.whole else NOWHERE

    def promise(self, epoch: int) -> None:
        """Nothing lower from here on; on disk with the next sync, before anything is done under it."""
        if epoch > self.epoch:
            self.epoch, self.placement, self.session = epoch, None, 0
            self.in_sync = set()
            self._record_epoch()

    def add_in_sync(self, member: str) -> None:
        """Writes wait for this learner from now on; on disk with the next sync."""
        self.in_sync.add(member)
        self._record_epoch()

    def _record_epoch(self) -> None:
        self.journal.append(Mark.EPOCH, self._epoch_payload())

    def _epoch_payload(self) -> bytes:
        return json.dumps([self.part, self.epoch, sorted(self.in_sync)]).encode()

    def start_empty(self) -> None:
        """A member of the record without a trace of a copy: nothing was ever acknowledged, for it waits for members."""
        self._append_begin((0, 0))
        self.journal.append(Mark.END, _RECORD.pack(self.part, 0))
        self._replace(Jobs(), (0, 0))

    # Records -------------------------------------------------------------------------------------

    def append(self, entry: Entry, parsed: Job | None = None) -> int:
        """Take one more record; it is on disk with the next sync. Returns the index behind it."""
        self.journal.append(Mark.RECORD, _RECORD.pack(self.part, entry.kind) + entry.body)
        self._advance(entry, parsed)
        return self.index

    def _advance(self, entry: Entry, parsed: Job | None = None) -> None:
        self._tail.append((self.index, self.chain, entry))
        self._tail_bytes += len(entry.body)
        self.chain = chain_of(self.chain, entry)
        self.index += 1
        change = self.jobs.apply(entry, self.index, self.now(), parsed)
        if change:
            self._unsettled.append((self.index, change))
        if not self.is_primary:
            self._settle_all()
            self.floor = self.index
        self._trim()

    def _trim(self) -> None:
        while self._tail and (
            self._tail_bytes > BIG_TAIL or self._tail_bytes > SMALL_TAIL and self._tail[0][0] < self.floor
        ):
            self._tail_bytes -= len(self._tail.popleft()[2].body)

    def settle(self, index: int) -> list[Change]:
        """All copies have the records up to here: readers may see them. Returns what they did."""
        changes = []
        while self._unsettled and self._unsettled[0][0] <= index:
            change = self._unsettled.popleft()[1]
            self.jobs.settle(change)
            changes.append(change)
        return changes

    def _settle_all(self) -> None:
        self.settle(self.index)

    def knows(self, position: Position) -> bool:
        """Whether a copy at this position lacks only records that are still here."""
        if position == self.position:
            return self.whole
        if not self._tail:
            return False
        offset = position[0] - self._tail[0][0]
        return 0 <= offset < len(self._tail) and self._tail[offset][1] == position[1]

    def after(self, position: Position, limit: int) -> list[Entry]:
        """The records behind a position that it `knows`: about `limit` bytes of them, and one at least."""
        entries: list[Entry] = []
        if position == self.position or not self._tail:
            return entries
        size = 0
        for n in range(position[0] - self._tail[0][0], len(self._tail)):
            entry = self._tail[n][2]
            size += len(entry.body)
            if entries and size > limit:
                break
            entries.append(entry)
        return entries

    # Whole copies --------------------------------------------------------------------------------

    def _append_begin(self, position: Position) -> None:
        self.journal.append(Mark.BEGIN, json.dumps([self.part, *position]).encode())

    def stage(self, token: int, position: Position) -> Staged:
        """A whole copy begins; what was on its way is dropped."""
        self._append_begin(position)
        self.staged = Staged(token, position, Jobs(), [])
        return self.staged

    def load(self, entries: Iterable[Entry]) -> None:
        """More of the copy on its way."""
        staged = self.staged
        assert staged is not None
        for entry in entries:
            self.journal.append(Mark.LOAD, _RECORD.pack(self.part, entry.kind) + entry.body)
            self._take_load(staged, entry)

    def _take_load(self, staged: Staged, entry: Entry) -> None:
        staged.entries.append(entry)
        change = staged.jobs.apply(entry, len(staged.entries), self.now())
        if change:
            staged.jobs.settle(change)

    def swap(self) -> None:
        """The copy on its way is whole and replaces the present one."""
        staged = self.staged
        assert staged is not None
        self.journal.append(Mark.END, _RECORD.pack(self.part, 0))
        self._replace(staged.jobs, staged.position)

    def _replace(self, jobs: Jobs, position: Position) -> None:
        self._unsettled.clear()
        self._tail.clear()
        self._tail_bytes = 0
        self.jobs, self.staged = jobs, None
        self.index, self.chain = position
        self.floor = self.index
        self.whole, self.uninitialised = True, False
        self.lineage += 1

    def drop(self) -> None:
        """Other members hold everything: free what is here."""
        self.journal.append(Mark.DROPPED, _RECORD.pack(self.part, 0))
        self._forget()
        self.become(CopyState.ABSENT, "dropped")

    def _forget(self) -> None:
        self._replace(Jobs(), (0, 0))
        self.whole = False

    # Journal -------------------------------------------------------------------------------------

    def live(self) -> Iterator[tuple[int, bytes]]:
        """The records that give this copy again."""
        if not self.epoch:
            return
        yield Mark.EPOCH, self._epoch_payload()
        if self.whole:
            yield Mark.BEGIN, json.dumps([self.part, self.index, self.chain]).encode()
            for entry in self.jobs.snapshot(self.now()):
                yield Mark.LOAD, _RECORD.pack(self.part, entry.kind) + entry.body
            yield Mark.END, _RECORD.pack(self.part, 0)
        elif not self.uninitialised:
            yield Mark.DROPPED, _RECORD.pack(self.part, 0)
        if self.staged:
            yield Mark.BEGIN, json.dumps([self.part, *self.staged.position]).encode()
            for entry in self.staged.entries:
                yield Mark.LOAD, _RECORD.pack(self.part, entry.kind) + entry.body

    def replay(self, mark: int, payload: bytes) -> None:
        """Take a journal record of this partition at the start. Ages are counted from now."""
        if mark == Mark.EPOCH:
            _, epoch, in_sync = json.loads(payload)
            self.epoch, self.in_sync = epoch, set(in_sync)
        elif mark == Mark.BEGIN:
            _, index, chain = json.loads(payload)
            self.staged = Staged(0, (index, chain), Jobs(), [])
        elif mark == Mark.END and self.staged:
            self._replace(self.staged.jobs, self.staged.position)
        elif mark == Mark.DROPPED:
            self._forget()
        elif mark in (Mark.RECORD, Mark.LOAD):
            entry = Entry(payload[2], payload[3:])
            if mark == Mark.RECORD:
                self._advance(entry)
            elif self.staged:
                self._take_load(self.staged, entry)

    def replayed(self) -> None:
        """The journal has been read: what was on its way never came whole."""
        self.staged = None
        for job in self.jobs.jobs.values():
            job.at = max(job.at, self.now())


def part_in(mark: int, payload: bytes) -> int:
    """The partition that a journal record is about."""
    if mark in (Mark.EPOCH, Mark.BEGIN):
        return int(json.loads(payload)[0])
    return int(_RECORD.unpack_from(payload)[0])
