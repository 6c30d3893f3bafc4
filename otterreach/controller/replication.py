"""Replication of the control state among controllers.

Each epoch has a primary, backups that store every write before it is acknowledged, and witnesses that store only epoch
configurations (docs/system.md, "Epochs of the controllers").

Safety does not depend on clocks: every write waits for every backup, and a single member's promise to a higher epoch
ends the present one.
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
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import Item, ReplicatedStore

TICK_S = 0.05
MAX_PUBLISHED_AGE_S = 1.0  # a primary counts as live if the published state that names it is at most this old
REWRITE_LIMITS = Limits(4 * 1024 * 1024, 4.0)


class ControlReplication:
    """The facade of one controller's replication: constructs its components and delegates to them.

    It offers only the methods that its users need.
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
        """:param leadership_changed: called with True on becoming primary and with False on ceasing to be primary."""
        self.settings = settings
        self.endpoint = endpoint
        self.follower = follower
        self.leadership_changed = leadership_changed
        self.replica = LocalReplica(settings, journal)
        # Observers of mode changes are called in the order of their registration.
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

    # Interface -----------------------------------------------------------------------------------

    @property
    def id(self) -> str:
        """The id stored on this controller's disk."""
        return self.replica.id

    @property
    def mode(self) -> Mode:
        """The role of this controller in its epoch."""
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
        """The control state of this replica; at the primary it includes changes that are not committed yet."""
        return self.replica.store

    @property
    def is_primary(self) -> bool:
        """True if this controller is the primary, to its own knowledge."""
        return self.replica.is_primary

    @property
    def primary_address(self) -> str:
        """The last known address of the primary; empty if it has not been heard from for PRIMARY_ADDRESS_VALID_S."""
        return self.replica.primary_address

    @property
    def live_primary_address(self) -> str:
        """The address of a primary that was heard from recently; empty if there is none.

        A primary sends heartbeats only to its witnesses; other controllers learn of it through the relay tree.
        """
        return self.replica.live_primary_address or self._published_primary_address()

    def _published_primary_address(self) -> str:
        """Return the address of the primary named by the published state, for a controller that is not a witness."""
        if self.replica.is_witness or self.follower.age_s() > MAX_PUBLISHED_AGE_S:
            return ""
        record = self.follower.store.record(CoreRecord)
        return record.primary if record and record.primary != self.settings.address else ""

    def not_primary(self) -> Failure:
        """Return the failure for a call that only the primary serves."""
        return self.replica.not_primary()

    async def confirm_leadership(self) -> bool:
        """Return True if this controller is confirmed as the primary now. Called before a read is answered."""
        return await self.primary.confirm_leadership()

    async def wait_until_committed(self) -> bool:
        """Return True if this is the primary now and all members have every change made before the call."""
        return await self.primary.wait_until_committed()

    async def done_when_committed(self) -> Done | Failure:
        """Return the reply to a call whose change is in the state already: Done once that state cannot be lost."""
        return Done() if await self.wait_until_committed() else Failure(Code.NOT_SYNCED, "not at all replicas")

    @property
    def accepts_writes(self) -> bool:
        """True if `propose`, called now, would accept a write."""
        return self.primary.writes.accepts_writes

    def on_items(self, observer: Callable[[Iterable[Item]], None]) -> None:
        """Register an observer of items that enter the state: written, received, loaded or installed."""
        self.replica.on_items.append(observer)

    def on_committed(self, observer: Callable[[list[Item]], None]) -> None:
        """Register an observer of committed items, which all members now have. It is called at the primary only."""
        self.primary.publisher.on_committed.append(observer)

    def propose(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Set items to new values; an empty value deletes the item. See WritePipeline.propose."""
        return self.primary.propose(changes)

    # Operation -----------------------------------------------------------------------------------

    def load(self, records: Iterable[Record]) -> None:
        """Load the state from the journal's records. What a first start appends is durable once `start` has synced."""
        self.replica.load(records)

    def become_primary(self, installed: list[Item]) -> None:
        """Begin the epoch of the accepted configuration, of which this controller is primary."""
        self.primary.begin_epoch(installed)

    def _set_root(self, old: Mode, new: Mode) -> None:
        self.follower.is_root = new is Mode.PRIMARY

    def _mode_changed(self, old: Mode, new: Mode) -> None:
        if new is Mode.PRIMARY:
            self.tombstone_clock.begin_period(self.replica.loop.time())
        if old is Mode.PRIMARY or new is Mode.PRIMARY:
            self.leadership_changed(new is Mode.PRIMARY)

    async def start(self) -> None:
        """Sync the journal, then run the decision loop and the primary's loop until the disk fails."""
        if await self.replica.sync():
            await asyncio.gather(self._run(), self.primary.run())

    async def leave(self) -> None:
        """Hand over leadership and replica before the process exits, within a bounded time."""
        await self.shutdown.run()

    async def _run(self) -> None:
        """Run the decision loop: bootstrap, reconcile members, stand for election, ask to join, compact the journal."""
        loop = self.replica.loop
        self.membership.asked_to_join_at = loop.time()
        while self.mode is not Mode.FAILED:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            if self.election.may_bootstrap():
                await self.election.bootstrap()
            if self.is_primary and not self.election.in_progress:
                if self.primary.writes.needs_new_epoch:
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
        """Return True if the election time-out has expired and this controller may stand for election."""
        waits = self.mode is Mode.FOLLOWING and not self.election.disabled
        return waits and self.election_timer.has_expired() and self.election.is_eligible()

    def _collect_tombstones(self, now: float) -> None:
        changes = self.tombstone_clock.due_change(now)
        if changes:
            self.propose(changes)
