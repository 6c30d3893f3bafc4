"""Replication of the control state among controllers.

Epochs, a primary, backups that have every write before it is answered, and witnesses that keep only epochs
(docs/system.md, "Epochs of the controllers").

No clock is trusted for safety: every write waits for every backup, and one promise by one member ends an epoch.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from otterreach.controller.acceptor import Acceptor
from otterreach.controller.election import Election
from otterreach.controller.election_timer import ElectionTimer
from otterreach.controller.epochs import EpochConfiguration
from otterreach.controller.formation import Formation
from otterreach.controller.graceful_shutdown import GracefulShutdown
from otterreach.controller.local_replica import LocalReplica, Mode
from otterreach.controller.membership import Membership
from otterreach.controller.primary import Primary
from otterreach.controller.snapshot import SnapshotReceiver
from otterreach.controller.tombstones import TombstoneClock
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.compaction import Compaction, Limits
from otterreach.runtime.journal import Journal
from otterreach.runtime.journal_format import Record
from otterreach.runtime.records import CoreRecord
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Done, Endpoint
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import Item, ReplicatedStore

TICK_S = 0.05
MAX_PUBLISHED_AGE_S = 1.0  # of the published state, for the primary that it names to count as heard
REWRITE_LIMITS = Limits(4 * 1024 * 1024, 4.0)


class ControlReplication:
    """One controller's part in the replication.

    It has no more methods than its users need of it: each is a line that names the part that does the work.
    """

    def __init__(
        self,
        settings: Settings,
        endpoint: Endpoint,
        journal: Journal,
        follower: Follower,
        random: Random,
        leadership_changed: Callable[[bool], None] = lambda _: None,
    ) -> None:
        """:param leadership_changed: called when this controller becomes primary (True) and when it no longer is."""
        self.settings = settings
        self.endpoint = endpoint
        self.follower = follower
        self.leadership_changed = leadership_changed
        self.replica = LocalReplica(settings, journal)
        # The order of the observers is the order in which they are called.
        self.replica.on_mode_change.append(self._set_root)
        self.acceptor = Acceptor(self.replica, endpoint, follower)
        self.snapshots = SnapshotReceiver(self.replica, endpoint)
        self.formation = Formation(self.replica, endpoint)
        self.election = Election(self.replica, endpoint, self.formation, self.become_primary)
        self.election_timer = ElectionTimer(self.replica, random)
        self.primary = Primary(self.replica, endpoint, follower, self.election)
        self.membership = Membership(self.replica, endpoint, follower, self.election, self.formation, self.primary)
        self.shutdown = GracefulShutdown(self.replica, endpoint, self.election, self.primary, self.membership)
        self.replica.on_mode_change.append(self._mode_changed)
        self.tombstone_clock = TombstoneClock(lambda: self.replica.store)
        self.compaction = Compaction(journal, self.replica.live_records, self.replica.live_bytes, REWRITE_LIMITS)

    # What others see of it -----------------------------------------------------------------------

    @property
    def id(self) -> str:
        """The id on this controller's disk."""
        return self.replica.id

    @property
    def mode(self) -> Mode:
        """The part that this controller takes in its epoch."""
        return self.replica.mode

    @property
    def promised(self) -> int:
        """The lowest epoch number that this controller may take part in."""
        return self.replica.promised

    @property
    def accepted(self) -> EpochConfiguration | None:
        """The configuration that this controller accepted last."""
        return self.replica.accepted

    @property
    def number(self) -> int:
        """The number of the accepted epoch; 0 before the first."""
        return self.replica.number

    @property
    def state(self) -> ReplicatedStore:
        """The control state as it is on this disk; at the primary also what not all members have yet."""
        return self.replica.store

    @property
    def is_primary(self) -> bool:
        """Whether this controller leads, to its knowledge."""
        return self.replica.is_primary

    @property
    def primary_address(self) -> str:
        """The primary's address, to this controller's knowledge; empty if it hasn't been heard for long."""
        return self.replica.primary_address

    @property
    def live_primary_address(self) -> str:
        """The address of a primary that was heard a moment ago; empty if none was.

        A primary sends heartbeats to its witnesses alone; other controllers hear of it by the relay tree.
        """
        return self.replica.live_primary_address or self._published_primary_address()

    def _published_primary_address(self) -> str:
        """The primary as the published state names it, for a controller that is no witness."""
        if self.replica.is_witness or self.follower.age_s() > MAX_PUBLISHED_AGE_S:
            return ""
        record = self.follower.store.record(CoreRecord)
        return record.primary if record and record.primary != self.settings.address else ""

    def not_primary(self) -> Failure:
        """The answer to a call that only the primary takes."""
        return self.replica.not_primary()

    async def confirm(self) -> bool:
        """Whether this is the primary now. Before a read."""
        return await self.primary.confirm()

    async def committed(self) -> bool:
        """Whether this is the primary now, and all members have the state as it was at the call."""
        return await self.primary.committed()

    async def done_when_committed(self) -> Done | Failure:
        """The answer to a call that has nothing left to change, once what it rests on can't be lost any more."""
        return Done() if await self.committed() else Failure(Code.NOT_SYNCED, "not at all replicas")

    @property
    def accepts_writes(self) -> bool:
        """Whether `propose`, called now, changes anything."""
        return self.primary.writes.accepts_writes

    def on_items(self, observer: Callable[[Iterable[Item]], None]) -> None:
        """Call `observer` with items that have just come into the state: written, received, loaded or installed."""
        self.replica.on_items.append(observer)

    def on_committed(self, observer: Callable[[list[Item]], None]) -> None:
        """Call `observer`, at the primary, with items that all members have from now on."""
        self.primary.publisher.on_committed.append(observer)

    def propose(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items; an empty value deletes one. True once all members have the changes; False: perhaps not."""
        return self.primary.propose(changes)

    # Its work ------------------------------------------------------------------------------------

    def load(self, records: Iterable[Record]) -> None:
        """The state as the journal has it. `start` makes it last."""
        self.replica.load(records)

    def become_primary(self, installed: list[Item]) -> None:
        """The configuration of which this controller is primary is in force."""
        self.primary.begin_epoch(installed)

    def _set_root(self, old: Mode, new: Mode) -> None:
        self.follower.is_root = new is Mode.PRIMARY

    def _mode_changed(self, old: Mode, new: Mode) -> None:
        if new is Mode.PRIMARY:
            self.tombstone_clock.begin_period(self.replica.loop.time())
        if old is Mode.PRIMARY or new is Mode.PRIMARY:
            self.leadership_changed(new is Mode.PRIMARY)

    async def start(self) -> None:
        """Make the start last, then take part, for ever."""
        if await self.replica.sync():
            await asyncio.gather(self._run(), self.primary.run())

    async def leave(self) -> None:
        """Transfer leadership and replica before the end, within a bounded time."""
        await self.shutdown.run()

    async def _run(self) -> None:
        """The decision loop: bootstrap, reconcile members as primary, stand for election, ask to join, compact."""
        loop = self.replica.loop
        self.membership.asked_to_join_at = loop.time()
        while self.mode is not Mode.FAILED:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            if self.election.may_bootstrap():
                await self.election.bootstrap()
            if self.is_primary and not self.election.in_progress:
                if self.primary.writes.needs_epoch:
                    await self.election.run()
                await self.membership.reconcile_members()
                self._collect_tombstones(now)
            elif self._election_is_due():
                elected = await self.election.run()
                self.election_timer.restart(elected)
            self.membership.ask_to_join_when_due(now)
            if self.compaction.due and self.replica.may_rewrite():
                self.compaction.start_if_due()
            if self.replica.journal.failed is not None:
                self.replica.fail_disk()

    def _election_is_due(self) -> bool:
        """Whether the primary has been silent for so long that this controller stands."""
        waits = self.mode is Mode.FOLLOWING and not self.election.barred
        return waits and self.election_timer.has_expired() and self.election.may_stand()

    def _collect_tombstones(self, now: float) -> None:
        changes = self.tombstone_clock.due_change(now)
        if changes:
            self.propose(changes)
