"""What one controller has on its disk, the mode that it is in, and what it last heard of a primary.

The journal holds the controller's id, its highest promise, the configuration it accepted last, and the control state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.messages import Accept, AppendItems, InstallSnapshot, SnapshotCommit, SnapshotPiece
from otterreach.controller.tombstones import collected_rev
from otterreach.runtime import identity
from otterreach.runtime.codec import decode, encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal import Journal, Slice
from otterreach.runtime.journal import Record as JournalRecord
from otterreach.runtime.log import log
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import ReplicatedStore

# Kinds of journal records.
IDENTITY, PROMISE, CONFIGURATION, ITEMS, SNAPSHOT = 1, 2, 3, 4, 5
STAGING, PIECE, COMMIT = 6, 7, 8  # of a copy that is built beside the present one, and takes its place
STAGING_IDLE_S = 10.0  # a transfer that stopped for so long no longer holds up a rewrite of the journal
SLICE_BYTES = 32 * 1024  # of the state, encoded in one turn of the loop
PRIMARY_ADDRESS_VALID_S = 2.0  # how long the primary's address is taken for true after it was last heard
PRIMARY_SILENT_S = 0.5  # silent for longer: no call is passed on to it


class Mode(Enum):
    """The part that a controller takes in its epoch."""

    NEW = "new"  # in no configuration: takes no part
    FOLLOWING = "following"
    CANDIDATE = "candidate"
    PRIMARY = "primary"
    FAILED = "failed"  # the disk


class ReplicaState:
    """The state of one controller. `become` is the one function that changes its mode."""

    def __init__(self, settings: Settings, journal: Journal) -> None:
        self.settings, self.journal = settings, journal
        self.loop = asyncio.get_running_loop()
        self.mode = Mode.NEW
        self.id = ""
        self.uninitialised = False  # may take part in the very first configuration
        self.promised = 0
        self.accepted: EpochConfiguration | None = None
        self.store = ReplicatedStore()  # at the primary also what is not yet at all replicas
        self.staged: ReplicatedStore | None = None  # a copy that is not whole yet
        self.staged_session = ""
        self._staged_at = 0.0
        self.primary_heard_at = self.loop.time()
        self.primary_heard = ""  # its id
        self.highest_seen = 0  # the highest epoch number heard of
        self.newer: EpochConfiguration | None = None  # one above the accepted one, heard of
        self.on_mode_change: list[Callable[[Mode, Mode], None]] = []
        self.on_step_down: list[Callable[[], None]] = []

    # On disk -------------------------------------------------------------------------------------

    def load(self, records: Iterable[JournalRecord]) -> None:
        """The state as the journal has it; a first start draws an id, which lasts after the next `sync`."""
        for kind, payload in records:
            self._load_record(kind, payload)
        self.collect_tombstones()
        if not self.id:
            self.id, self.uninitialised = identity.draw(), self.settings.bootstrap
            self.journal.append(IDENTITY, self._identity_payload())
        self.become(Mode.FOLLOWING if self.accepted else Mode.NEW, "start")

    def _load_record(self, kind: int, payload: bytes) -> None:
        if kind == IDENTITY:
            ident, _, uninitialised = payload.decode().partition(" ")
            self.id, self.uninitialised = ident, uninitialised == "1"
        elif kind == PROMISE:
            self.promised = max(self.promised, int(payload))
        elif kind == CONFIGURATION:
            configuration: EpochConfiguration = decode(22, payload).configuration[0]
            self.accepted = configuration
            self.promised = max(self.promised, configuration.number)
        elif kind == ITEMS:
            self.store.apply(decode(25, payload).items)
        elif kind == SNAPSHOT:
            snapshot = decode(24, payload)
            self.store = ReplicatedStore()
            self.store.apply(snapshot.items)
            self.promised = max(self.promised, snapshot.number)

        elif kind == STAGING:
            self.staged = self.store.copy()
        elif kind == PIECE and self.staged is not None:
            piece = decode(38, payload)
            self.staged.overwrite_ranges(piece.ranges, piece.items)
        elif kind == COMMIT and self.staged is not None:
            self._put_staged_in_place(decode(39, payload).number)

    # A copy that is being built ------------------------------------------------------------------

    def begin_staging(self) -> None:
        """Build a new copy, from the present one. A rewrite of the journal has to wait for it: its slices would mix."""
        self.journal.abandon_rewrite()
        self.journal.append(STAGING, b"")
        self.staged, self._staged_at = self.store.copy(), self.loop.time()

    def stage(self, piece: SnapshotPiece) -> None:
        """More of it; it lasts after the next `sync`."""
        assert self.staged is not None
        self.journal.append(PIECE, encode(piece))
        self.staged.overwrite_ranges(piece.ranges, piece.items)
        self._staged_at = self.loop.time()

    def commit_staged(self, commit: SnapshotCommit) -> None:
        """It is whole: it replaces the present copy; that lasts after the next `sync`."""
        self.journal.append(COMMIT, encode(commit))
        self._put_staged_in_place(commit.number)
        self.collect_tombstones()

    def _put_staged_in_place(self, number: int) -> None:
        assert self.staged is not None
        self.store, self.staged = self.staged, None
        self.promised = max(self.promised, number)

    def may_rewrite(self) -> bool:
        """Whether the journal may be rewritten: not while a copy is being built. One that isn't is dropped."""
        if self.staged is None:
            return True
        if self.loop.time() - self._staged_at < STAGING_IDLE_S:
            return False
        self.staged = None
        return True

    def _identity_payload(self) -> bytes:
        return f"{self.id} {int(self.uninitialised)}".encode()

    def live_records(self) -> Iterator[Slice]:
        """What the journal has to hold, in slices that each tell what is so when they are asked for."""
        yield [(IDENTITY, self._identity_payload())]
        yield [(SNAPSHOT, encode(InstallSnapshot(min(self.promised, self.number), self.id, [])))]
        for keys in self.store.batches(SLICE_BYTES):
            items = [self.store.items[key] for key in keys if key in self.store.items]
            yield [(ITEMS, encode(AppendItems(self.number, items)))]
        if self.accepted:
            yield [(CONFIGURATION, encode(Accept([self.accepted])))]
        yield [(PROMISE, str(self.promised).encode())]

    def collect_tombstones(self) -> None:
        """Drop those that the state itself says are to be dropped: it is whole, so nothing else is missing."""
        self.store.collect(collected_rev(self.store))

    def live_bytes(self) -> int:
        """About how long a journal is that holds just the present state."""
        return self.store.bytes

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

    # Epochs --------------------------------------------------------------------------------------

    @property
    def number(self) -> int:
        """The number of the accepted epoch; 0 before the first."""
        return self.accepted.number if self.accepted else 0

    @property
    def is_primary(self) -> bool:
        return self.mode is Mode.PRIMARY

    @property
    def info(self) -> ControllerInfo:
        """This controller as others know it."""
        s = self.settings
        return ControllerInfo(self.id, s.node, s.address, s.zone)

    @property
    def primary_address(self) -> str:
        """Where the primary is, as far as is known here."""
        return self._primary_heard_within(PRIMARY_ADDRESS_VALID_S)

    @property
    def heard_primary_address(self) -> str:
        """Where the primary is that was heard a moment ago; empty if none was."""
        return self._primary_heard_within(PRIMARY_SILENT_S)

    def _primary_heard_within(self, seconds: float) -> str:
        if self.is_primary:
            return self.settings.address
        if self.accepted and self.loop.time() - self.primary_heard_at < seconds:
            found = self.accepted.witness(self.accepted.primary)
            return found.address if found else ""
        return ""

    def hear_primary(self, ident: str) -> None:
        """This primary, or candidate, was heard just now."""
        self.primary_heard_at, self.primary_heard = self.loop.time(), ident

    def promise(self, number: int) -> None:
        """Take no part in anything lower; it lasts after the next `sync`."""
        self.promised = number
        self.journal.append(PROMISE, str(number).encode())

    def adopt_configuration(self, configuration: EpochConfiguration) -> None:
        """Accept it; it lasts after the next `sync`."""
        self.promised, self.accepted, self.uninitialised = configuration.number, configuration, False
        if self.newer and self.newer.number <= configuration.number:
            self.newer = None
        self.journal.append(CONFIGURATION, encode(Accept([configuration])))
        if configuration.primary != self.id:
            inside = configuration.witness(self.id) is not None
            self.become(Mode.FOLLOWING if inside else Mode.NEW, f"epoch {configuration.number}")

    # Mode ----------------------------------------------------------------------------------------

    def become(self, mode: Mode, why: str) -> None:
        """The one function that changes the mode."""
        old, self.mode = self.mode, mode
        if old is mode:
            return
        log(
            "mode",
            node=self.settings.node,
            old=old.value,
            new=mode.value,
            why=why,
            number=self.number,
            promised=self.promised,
        )
        if mode is not Mode.PRIMARY:
            self.primary_heard_at = self.loop.time()
        for observer in self.on_mode_change:
            observer(old, mode)

    def step_down(self, why: str) -> None:
        """Lead no more, and stand no more; writes under way end without a clear answer."""
        if self.mode in (Mode.PRIMARY, Mode.CANDIDATE):
            self.become(Mode.FOLLOWING, why)
        for observer in self.on_step_down:
            observer()
