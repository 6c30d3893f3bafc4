"""What one controller has on its disk, the mode that it is in, and what it last heard of a primary.

The journal holds the controller's id, its highest promise, the configuration it accepted last, and the control state.
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

STAGING_IDLE_S = 10.0  # a transfer that stopped for so long no longer delays a rewrite of the journal
SLICE_BYTES = 32 * 1024  # of the state, encoded in one turn of the loop
PRIMARY_ADDRESS_VALID_S = 2.0  # how long the primary's address is taken to be true after it was last heard
PRIMARY_TIMEOUT_S = 0.5  # silent for longer: no call is forwarded to it


class Mode(Enum):
    """The part that a controller takes in its epoch."""

    NEW = "new"  # in no configuration: takes no part
    FOLLOWING = "following"
    CANDIDATE = "candidate"
    PRIMARY = "primary"
    FAILED = "failed"  # the disk


class LocalReplica:
    """The state of one controller. `become` is the one function that changes its mode.

    More than 20 methods: all that is journalled is written and replayed here, so that disk and memory can't differ.
    """

    def __init__(self, settings: Settings, journal: Journal) -> None:
        self.settings = settings
        self.journal = journal
        self.loop = asyncio.get_running_loop()
        self.mode = Mode.NEW
        self.id = ""
        self.uninitialised = False  # may take part in the very first configuration
        self.promised = 0
        self.accepted: EpochConfiguration | None = None
        self.store = ReplicatedStore()  # at the primary also what not all replicas have yet
        self.staged: ReplicatedStore | None = None  # a snapshot that is not complete yet
        self.staged_session = ""
        self._staged_at = 0.0
        self.last_primary_contact_at = self.loop.time()
        self.last_primary = ""  # its id
        self.highest_known_number = 0  # the highest epoch number heard of
        self.newer: EpochConfiguration | None = None  # one above the accepted one, heard of
        self.on_mode_change: list[Callable[[Mode, Mode], None]] = []
        self.on_step_down: list[Callable[[], None]] = []
        self.on_items: list[
            Callable[[Iterable[Item]], None]
        ] = []  # called with items that have just come into the state

    # The journal ---------------------------------------------------------------------------------

    def load(self, records: Iterable[Record]) -> None:
        """The state as the journal has it; a first start draws an id, which lasts after the next `sync`."""
        replay = StateReplay()
        for kind, payload in records:
            self._load_record(kind, payload, replay)
        self.store = replay.store
        self.staged = replay.staged
        self.collect_tombstones()
        self._notify_items(self.store.items.values())
        if not self.id:
            self.id = identity.draw_disk_id()
            self.uninitialised = self.settings.bootstrap
            self.journal.append(JournalKind.IDENTITY, self._identity_payload())
        self.become(Mode.FOLLOWING if self.accepted else Mode.NEW, "start")

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
        """What the journal has to hold, in slices that each give the state at the time when they are asked for."""
        yield [(JournalKind.IDENTITY, self._identity_payload())]
        yield [(JournalKind.SNAPSHOT, encode(InstallSnapshot(min(self.promised, self.number), self.id, [])))]
        for keys in self.store.key_batches(SLICE_BYTES):
            items = [self.store.items[key] for key in keys if key in self.store.items]
            yield [(JournalKind.ITEMS, encode(AppendItems(self.number, items)))]
        if self.accepted:
            yield [(JournalKind.CONFIGURATION, encode(Accept([self.accepted])))]
        yield [(JournalKind.PROMISE, str(self.promised).encode())]

    def live_bytes(self) -> int:
        """About how long a journal is that holds just the present state."""
        return self.store.bytes

    def may_rewrite(self) -> bool:
        """Whether the journal may be rewritten: not while a snapshot is being built. An abandoned one is dropped."""
        if self.staged is None:
            return True
        if self.loop.time() - self._staged_at < STAGING_IDLE_S:
            return False
        self.staged = None
        return True

    def apply_items(self, items: Iterable[Item]) -> None:
        """Apply what is newer to the state in memory. The journal is the caller's."""
        self._notify_items(self.store.apply(items))

    def _notify_items(self, items: Iterable[Item]) -> None:
        for observer in self.on_items:
            observer(items)

    def collect_tombstones(self) -> None:
        """Drop those that the state itself says are to be dropped: it is complete, so nothing else is missing."""
        self.store.collect(revision_to_collect(self.store))

    async def sync(self) -> bool:
        """Whether all that was appended is on disk. A disk that fails ends this controller's part."""
        if await self.journal.sync():
            return True
        self.fail_disk()
        return False

    def fail_disk(self) -> None:
        """The disk has failed: take no part any more."""
        self.step_down("disk")
        self.become(Mode.FAILED, "disk")

    @property
    def disk_failure(self) -> Failure:
        """What callers are answered after `sync` returned False."""
        return self.journal.failed or Failure(Code.DISK_FAILED, "disk")

    # A snapshot that is being built --------------------------------------------------------------

    def begin_staging(self) -> None:
        """Build a new state from the present one. A rewrite of the journal has to wait for it: its slices would mix."""
        self.journal.abandon_rewrite()
        self.journal.append(JournalKind.STAGING, b"")
        self.staged = self.store.copy()
        self._staged_at = self.loop.time()

    def stage(self, chunk: SnapshotChunk) -> None:
        """More of it; it lasts after the next `sync`."""
        assert self.staged is not None
        self.journal.append(JournalKind.CHUNK, encode(chunk))
        self.staged.overwrite_ranges(chunk.ranges, chunk.items)
        self._staged_at = self.loop.time()

    def commit_staged(self, commit: SnapshotCommit) -> None:
        """It is complete and replaces the present state; that lasts after the next `sync`."""
        self.journal.append(JournalKind.COMMIT, encode(commit))
        self._replace_by_staged(commit.number)
        self.collect_tombstones()

    def _replace_by_staged(self, number: int) -> None:
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
        """Whether this controller leads its epoch, to its knowledge."""
        return self.mode is Mode.PRIMARY

    @property
    def is_member(self) -> bool:
        """Whether the accepted configuration names this controller as primary or backup."""
        return self.accepted is not None and self.id in self.accepted.members

    @property
    def is_witness(self) -> bool:
        """Whether the accepted configuration names this controller at all."""
        return self.accepted is not None and self.accepted.witness(self.id) is not None

    @property
    def info(self) -> ControllerInfo:
        """This controller as others know it."""
        return ControllerInfo(self.id, self.settings.node, self.settings.address, self.settings.zone)

    @property
    def primary_address(self) -> str:
        """The primary's address, to this controller's knowledge; empty if it hasn't been heard for long."""
        return self._primary_in_contact_within(PRIMARY_ADDRESS_VALID_S)

    @property
    def live_primary_address(self) -> str:
        """The address of a primary that was heard a moment ago; empty if none was."""
        return self._primary_in_contact_within(PRIMARY_TIMEOUT_S)

    def _primary_in_contact_within(self, seconds: float) -> str:
        if self.is_primary:
            return self.settings.address
        if self.accepted and self.loop.time() - self.last_primary_contact_at < seconds:
            primary = self.accepted.witness(self.accepted.primary)
            return primary.address if primary else ""
        return ""

    def not_primary(self) -> Failure:
        """The answer to a call that only the primary takes: where the primary is, to this controller's knowledge."""
        return Failure(Code.NOT_PRIMARY, self.primary_address)

    def record_primary_contact(self, ident: str) -> None:
        """This primary, or candidate, was heard just now."""
        self.last_primary_contact_at = self.loop.time()
        self.last_primary = ident

    def promise(self, number: int) -> None:
        """Take no part in anything lower; it lasts after the next `sync`."""
        self.promised = number
        self.journal.append(JournalKind.PROMISE, str(number).encode())

    def adopt_configuration(self, configuration: EpochConfiguration) -> None:
        """Accept it; it lasts after the next `sync`."""
        self.promised = configuration.number
        self.accepted = configuration
        self.uninitialised = False
        if self.newer and self.newer.number <= configuration.number:
            self.newer = None
        self.journal.append(JournalKind.CONFIGURATION, encode(Accept([configuration])))
        if configuration.primary != self.id:
            is_witness = configuration.witness(self.id) is not None
            self.become(Mode.FOLLOWING if is_witness else Mode.NEW, f"epoch {configuration.number}")

    # Mode ----------------------------------------------------------------------------------------

    def become(self, mode: Mode, reason: str) -> None:
        """The one function that changes the mode."""
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
        """Lead no more, and stand for election no more; writes in progress end without a clear answer."""
        if self.mode in (Mode.PRIMARY, Mode.CANDIDATE):
            self.become(Mode.FOLLOWING, reason)
        for observer in self.on_step_down:
            observer()
