"""The state of one controller: its journal and control state, its mode, and its last contact with a primary.

The journal holds the controller's id, its highest promise, the last accepted configuration, and the control state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.journal_records import JournalKind, StateReplay, decode_configuration
from otterreach.controller.messages import Accept, AppendItems, InstallSnapshot, SnapshotChunk, SnapshotCommit
from otterreach.controller.tombstones import revision_to_collect
from otterreach.runtime import identity
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal import Journal, Slice
from otterreach.runtime.journal_format import Record
from otterreach.runtime.log import log
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import Item, ReplicatedStore

STAGING_IDLE_S = 10.0  # a snapshot transfer without progress for longer no longer delays a rewrite of the journal
SLICE_BYTES = 32 * 1024  # amount of state encoded in one iteration of the event loop
PRIMARY_ADDRESS_VALID_S = 2.0  # the primary's address is given out for this long after the last contact
PRIMARY_TIMEOUT_S = 0.5  # calls are forwarded to the primary for this long after the last contact


class Mode(Enum):
    """The role of a controller in its epoch."""

    NEW = "new"  # not in any configuration
    FOLLOWING = "following"
    CANDIDATE = "candidate"
    PRIMARY = "primary"
    FAILED = "failed"  # disk failed


class LocalReplica:
    """The state of one controller, in memory and in the journal. Only `set_mode` changes its mode.

    The class has more than 20 methods because all journal records are written and replayed here, so that disk and
    memory cannot diverge.
    """

    def __init__(self, settings: Settings, journal: Journal) -> None:
        self.settings = settings
        self.journal = journal
        self.loop = asyncio.get_running_loop()
        self.mode = Mode.NEW
        self.id = ""
        self.uninitialised = False  # may be part of the initial configuration
        self.promised = 0
        self.accepted: EpochConfiguration | None = None
        self.store = ReplicatedStore()  # at the primary it includes changes that are not committed yet
        self.staged: ReplicatedStore | None = None  # an incomplete snapshot
        self.staged_session = ""
        self._staged_at = 0.0
        self.last_primary_contact_at = self.loop.time()
        self.last_primary = ""  # id of the primary or candidate of the last contact
        self.highest_known_number = 0  # highest epoch number seen in messages of others, except in probes
        # A configuration above the accepted one, reported by a witness.
        self.newer_configuration: EpochConfiguration | None = None
        self.on_mode_change: list[Callable[[Mode, Mode], None]] = []
        self.on_step_down: list[Callable[[], None]] = []
        self.on_items: list[Callable[[Iterable[Item]], None]] = []  # called with items that enter the state

    # The journal ---------------------------------------------------------------------------------

    def load(self, records: Iterable[Record]) -> None:
        """Load the state from the journal's records.

        A first start generates the controller's id, which is durable after the next `sync`.
        """
        replay = StateReplay()
        for kind, payload in records:
            self._load_record(kind, payload, replay)
        self.store = replay.store
        self.staged = replay.staged
        self.collect_tombstones()
        self._notify_items(self.store.items.values())
        if not self.id:
            self.id = identity.generate_disk_id()
            self.uninitialised = self.settings.bootstrap
            self.journal.append(JournalKind.IDENTITY, self._identity_payload())
        self.set_mode(Mode.FOLLOWING if self.accepted else Mode.NEW, "start")

    def _load_record(self, kind: int, payload: bytes, replay: StateReplay) -> None:
        if kind == JournalKind.IDENTITY:
            ident, _, uninitialised = payload.decode().partition(" ")
            self.id = ident
            self.uninitialised = uninitialised == "1"
        elif kind == JournalKind.PROMISE:
            self.promised = max(self.promised, int(payload))
        elif kind == JournalKind.CONFIGURATION:
            self.accepted = decode_configuration(payload)
            self.promised = max(self.promised, self.accepted.number)
        else:
            self.promised = max(self.promised, replay.apply(kind, payload))

    def _identity_payload(self) -> bytes:
        return f"{self.id} {int(self.uninitialised)}".encode()

    def live_records(self) -> Iterator[Slice]:
        """Yield the records of a rewritten journal in slices; each slice has the state at the time of its iteration."""
        yield [(JournalKind.IDENTITY, self._identity_payload())]
        yield [(JournalKind.SNAPSHOT, encode(InstallSnapshot(min(self.promised, self.number), self.id, [])))]
        for keys in self.store.key_batches(SLICE_BYTES):
            items = [self.store.items[key] for key in keys if key in self.store.items]
            yield [(JournalKind.ITEMS, encode(AppendItems(self.number, items)))]
        if self.accepted:
            yield [(JournalKind.CONFIGURATION, encode(Accept([self.accepted])))]
        yield [(JournalKind.PROMISE, str(self.promised).encode())]

    def live_bytes(self) -> int:
        """Return the approximate size of a journal that holds only the present state."""
        return self.store.bytes

    def may_rewrite(self) -> bool:
        """Return True if the journal may be rewritten, which is not the case while a snapshot is being staged.

        Drops a staged snapshot that has made no progress for STAGING_IDLE_S.
        """
        if self.staged is None:
            return True
        if self.loop.time() - self._staged_at < STAGING_IDLE_S:
            return False
        self.staged = None
        return True

    def apply_items(self, items: Iterable[Item]) -> None:
        """Apply newer items to the state in memory. The caller appends them to the journal."""
        self._notify_items(self.store.apply(items))

    def _notify_items(self, items: Iterable[Item]) -> None:
        for observer in self.on_items:
            observer(items)

    def collect_tombstones(self) -> None:
        """Drop the tombstones up to the revision that the state itself names.

        This is safe because the state is complete up to that revision.
        """
        self.store.collect(revision_to_collect(self.store))

    async def sync(self) -> bool:
        """Wait until all appended records are on disk and return True; on a disk failure go to Mode.FAILED."""
        if await self.journal.sync():
            return True
        self.fail_disk()
        return False

    def fail_disk(self) -> None:
        """Step down and go to Mode.FAILED because the disk has failed."""
        self.step_down("disk failed")
        self.set_mode(Mode.FAILED, "disk failed")

    @property
    def disk_failure(self) -> Failure:
        """The failure to reply with after `sync` returned False."""
        return self.journal.failed or Failure(Code.DISK_FAILED, "disk")

    # Snapshot staging ----------------------------------------------------------------------------

    def begin_staging(self) -> None:
        """Start staging a snapshot from a copy of the present state.

        A journal rewrite in progress is abandoned, since the staging records would be interleaved with its slices.
        """
        self.journal.abandon_rewrite()
        self.journal.append(JournalKind.STAGING, b"")
        self.staged = self.store.copy()
        self._staged_at = self.loop.time()

    def stage(self, chunk: SnapshotChunk) -> None:
        """Add a chunk to the staged snapshot; it is durable after the next `sync`."""
        assert self.staged is not None
        self.journal.append(JournalKind.CHUNK, encode(chunk))
        self.staged.overwrite_ranges(chunk.ranges, chunk.items)
        self._staged_at = self.loop.time()

    def commit_staged(self, commit: SnapshotCommit) -> None:
        """Replace the present state by the staged snapshot, which is complete; durable after the next `sync`."""
        self.journal.append(JournalKind.COMMIT, encode(commit))
        self._install_staged(commit.number)
        self.collect_tombstones()

    def _install_staged(self, number: int) -> None:
        assert self.staged is not None
        self.store = self.staged
        self.staged = None
        self.promised = max(self.promised, number)
        self._notify_items(self.store.items.values())

    # Epochs --------------------------------------------------------------------------------------

    @property
    def number(self) -> int:
        """The number of the accepted epoch; 0 before the first."""
        return self.accepted.number if self.accepted else 0

    @property
    def is_primary(self) -> bool:
        """True if this controller is the primary of its epoch, to its own knowledge."""
        return self.mode is Mode.PRIMARY

    @property
    def is_member(self) -> bool:
        """True if the accepted configuration names this controller as primary or backup."""
        return self.accepted is not None and self.id in self.accepted.members

    @property
    def is_witness(self) -> bool:
        """True if the accepted configuration names this controller as a witness."""
        return self.accepted is not None and self.accepted.witness(self.id) is not None

    @property
    def controller_info(self) -> ControllerInfo:
        """This controller's identity and address, as sent to others."""
        return ControllerInfo(self.id, self.settings.node, self.settings.address, self.settings.zone)

    @property
    def primary_address(self) -> str:
        """The last known address of the primary; empty if it has not been heard from for PRIMARY_ADDRESS_VALID_S."""
        return self._primary_address_within(PRIMARY_ADDRESS_VALID_S)

    @property
    def live_primary_address(self) -> str:
        """The address of a primary that was heard from within PRIMARY_TIMEOUT_S; empty if there is none."""
        return self._primary_address_within(PRIMARY_TIMEOUT_S)

    def _primary_address_within(self, seconds: float) -> str:
        if self.is_primary:
            return self.settings.address
        if self.accepted and self.loop.time() - self.last_primary_contact_at < seconds:
            primary = self.accepted.witness(self.accepted.primary)
            return primary.address if primary else ""
        return ""

    def not_primary(self) -> Failure:
        """Return the failure for a call that only the primary serves; its reason is the primary's address, if known."""
        return Failure(Code.NOT_PRIMARY, self.primary_address)

    def record_primary_contact(self, ident: str) -> None:
        """Record a message from this primary or candidate at the current time."""
        self.last_primary_contact_at = self.loop.time()
        self.last_primary = ident

    def promise(self, number: int) -> None:
        """Promise to reject all lower epochs; durable after the next `sync`."""
        self.promised = number
        self.journal.append(JournalKind.PROMISE, str(number).encode())

    def adopt_configuration(self, configuration: EpochConfiguration) -> None:
        """Accept the configuration; durable after the next `sync`."""
        self.promised = configuration.number
        self.accepted = configuration
        self.uninitialised = False
        if self.newer_configuration and self.newer_configuration.number <= configuration.number:
            self.newer_configuration = None
        self.journal.append(JournalKind.CONFIGURATION, encode(Accept([configuration])))
        if configuration.primary != self.id:
            is_witness = configuration.witness(self.id) is not None
            self.set_mode(Mode.FOLLOWING if is_witness else Mode.NEW, f"epoch {configuration.number}")

    # Mode ----------------------------------------------------------------------------------------

    def set_mode(self, mode: Mode, reason: str) -> None:
        """Change the mode, log the change and notify observers. Nothing else changes the mode."""
        old = self.mode
        self.mode = mode
        if old is mode:
            return
        log(
            "mode",
            node=self.settings.node,
            old=old.value,
            new=mode.value,
            reason=reason,
            number=self.number,
            promised=self.promised,
        )
        if mode is not Mode.PRIMARY:
            self.last_primary_contact_at = self.loop.time()
        for observer in self.on_mode_change:
            observer(old, mode)

    def step_down(self, reason: str) -> None:
        """Stop being primary or candidate; observers answer the writes in progress (outcome unknown)."""
        if self.mode in (Mode.PRIMARY, Mode.CANDIDATE):
            self.set_mode(Mode.FOLLOWING, reason)
        for observer in self.on_step_down:
            observer()
