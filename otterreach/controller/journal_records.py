"""The records of a controller's journal, and the control state that they give. The numbers are stored data."""

from __future__ import annotations

from enum import IntEnum

from otterreach.controller.epochs import EpochConfiguration
from otterreach.controller.messages import Accept, AppendItems, InstallSnapshot, SnapshotChunk, SnapshotCommit
from otterreach.runtime.codec import decode_as
from otterreach.runtime.store import ReplicatedStore


class JournalKind(IntEnum):
    """Kinds of journal records."""

    IDENTITY = 1  # the id of the disk
    PROMISE = 2
    CONFIGURATION = 3  # accepted
    ITEMS = 4  # changes of the state
    SNAPSHOT = 5  # the state begins anew
    STAGING = 6  # a snapshot begins to be built beside the state
    CHUNK = 7  # of that snapshot
    COMMIT = 8  # that snapshot is complete and replaces the state


def decode_configuration(payload: bytes) -> EpochConfiguration:
    """The configuration in a CONFIGURATION record."""
    (configuration,) = decode_as(Accept, payload).configuration
    return configuration


class StateReplay:
    """The control state, record by record."""

    def __init__(self) -> None:
        self.store = ReplicatedStore()
        self.staged: ReplicatedStore | None = None  # a snapshot that is not complete yet

    def apply(self, kind: int, payload: bytes) -> int:
        """Apply a record. Returns the epoch number below which its writer takes part in nothing; 0 if it tells none."""
        if kind == JournalKind.ITEMS:
            self.store.apply(decode_as(AppendItems, payload).items)
        elif kind == JournalKind.SNAPSHOT:
            snapshot = decode_as(InstallSnapshot, payload)
            self.store = ReplicatedStore()
            self.store.apply(snapshot.items)
            return snapshot.number
        elif kind == JournalKind.STAGING:
            self.staged = self.store.copy()
        elif kind == JournalKind.CHUNK and self.staged is not None:
            chunk = decode_as(SnapshotChunk, payload)
            self.staged.overwrite_ranges(chunk.ranges, chunk.items)
        elif kind == JournalKind.COMMIT and self.staged is not None:
            self.store = self.staged
            self.staged = None
            return decode_as(SnapshotCommit, payload).number
        return 0
