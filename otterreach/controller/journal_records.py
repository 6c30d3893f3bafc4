"""The records of a controller's journal, and their replay to the control state.

The numbers of the record kinds are stored data and must not change.
"""

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
    CONFIGURATION = 3  # an accepted configuration
    ITEMS = 4  # changes of the state
    SNAPSHOT = 5  # replaces the state by the items in the record
    STAGING = 6  # starts a staged snapshot from a copy of the state
    CHUNK = 7  # a chunk of the staged snapshot
    COMMIT = 8  # replaces the state by the staged snapshot, which is complete


def decode_configuration(payload: bytes) -> EpochConfiguration:
    """Return the configuration in a CONFIGURATION record."""
    (configuration,) = decode_as(Accept, payload).configuration
    return configuration


class StateReplay:
    """Rebuilds the control state record by record."""

    def __init__(self) -> None:
        self.store = ReplicatedStore()
        self.staged: ReplicatedStore | None = None  # an incomplete snapshot

    def apply(self, kind: int, payload: bytes) -> int:
        """Apply a record and return the epoch number that it implies a promise of; 0 if none."""
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
