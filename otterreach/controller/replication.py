"""Replication of the control state among controllers: epochs, a primary, backups that have every write before it is
answered, and witnesses that keep only epochs (docs/system.md, "Epochs of the controllers").

No clock is trusted for safety: every write waits for every backup, and one promise by one member ends an epoch.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from otterreach.controller.acceptor import Acceptor
from otterreach.controller.election import Election
from otterreach.controller.epochs import EpochConfiguration
from otterreach.controller.leaving import Leaving
from otterreach.controller.membership import Membership
from otterreach.controller.primary import Primary
from otterreach.controller.replica_state import Mode, ReplicaState
from otterreach.controller.snapshot import SnapshotReceiver
from otterreach.controller.tombstones import TombstoneClock
from otterreach.runtime.compaction import Compaction, Limits
from otterreach.runtime.journal import Journal
from otterreach.runtime.journal import Record as JournalRecord
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import Item, ReplicatedStore

TICK_S = 0.05
REWRITE = Limits(4 * 1024 * 1024, 4.0)


class Control:
    """One controller's part in it. `changed` is told when it becomes primary (True) and when it no longer is."""

    def __init__(
        self,
        settings: Settings,
        endpoint: Endpoint,
        journal: Journal,
        follower: Follower,
        random: Random,
        changed: Callable[[bool], None] = lambda primary: None,
    ) -> None:
        self.settings, self.endpoint, self.follower, self.changed = settings, endpoint, follower, changed
        self.replica = ReplicaState(settings, journal)
        self.replica.on_mode_change.append(self._set_root)
        self.acceptor = Acceptor(self.replica, endpoint, follower)
        self.snapshots = SnapshotReceiver(self.replica, endpoint)
        self.election = Election(self.replica, endpoint, random, self.become_primary)
        self.primary = Primary(self.replica, endpoint, follower, self.election)
        self.membership = Membership(self.replica, endpoint, follower, self.election, self.primary)
        self.leaving = Leaving(self.replica, endpoint, self.election, self.primary, self.membership)
        self.replica.on_mode_change.append(self._tell_changed)
        self.tombstone_clock = TombstoneClock(lambda: self.replica.store)
        self.compaction = Compaction(journal, self.replica.live_records, self.replica.live_bytes, REWRITE)

    # What others see of it -----------------------------------------------------------------------

    @property
    def id(self) -> str:
        """The id on this controller's disk."""
        return self.replica.id

    @property
    def mode(self) -> Mode:
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
        """The control state as it is on this disk; at the primary also what is not yet at all members."""
        return self.replica.store

    @property
    def is_primary(self) -> bool:
        return self.replica.is_primary

    @property
    def primary_address(self) -> str:
        """Where the primary is, as far as is known here."""
        return self.replica.primary_address

    @property
    def heard_primary_address(self) -> str:
        """Where the primary is that was heard a moment ago; empty if none was."""
        return self.replica.heard_primary_address

    async def confirm(self) -> bool:
        """Whether this is the primary now. Before a read."""
        return await self.primary.confirm()

    async def committed(self) -> bool:
        """Whether this is the primary now, and all of `state` as it was at the call is at all members."""
        return await self.primary.committed()

    def revise(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items (empty value: gone). True once all members have it; False: it may be in force or not."""
        return self.primary.revise(changes)

    # Its work ------------------------------------------------------------------------------------

    def load(self, records: Iterable[JournalRecord]) -> None:
        """The state as the journal has it. `start` makes it last."""
        self.replica.load(records)

    def become_primary(self, installed: list[Item]) -> None:
        """The configuration of which this controller is primary is in force."""
        self.primary.begin_epoch(installed)

    def _set_root(self, old: Mode, new: Mode) -> None:
        self.follower.is_root = new is Mode.PRIMARY

    def _tell_changed(self, old: Mode, new: Mode) -> None:
        if new is Mode.PRIMARY:
            self.tombstone_clock.begin_period(self.replica.loop.time())
        if old is Mode.PRIMARY or new is Mode.PRIMARY:
            self.changed(new is Mode.PRIMARY)

    async def start(self) -> None:
        """Make the start last, then take part, for ever."""
        if await self.replica.sync():
            await asyncio.gather(self._watch(), self.primary.send_heartbeats())

    async def leave(self) -> None:
        """Give leadership and copy on before the end, within a bounded time."""
        await self.leaving.leave()

    def _collect_tombstones(self, now: float) -> None:
        changes = self.tombstone_clock.due_change(now)
        if changes:
            self.revise(changes)

    async def _watch(self) -> None:
        loop = self.replica.loop
        self.membership.asked_to_join_at = loop.time()
        while self.mode is not Mode.FAILED:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            if self.election.may_bootstrap():
                await self.election.bootstrap()
            if self.is_primary and not self.election.in_progress:
                await self.membership.reconcile_members()
                self._collect_tombstones(now)
            elif self.election.is_due():
                await self.election.stand()
            self.membership.ask_to_join_when_due(now)
            if self.compaction.due and self.replica.may_rewrite():
                self.compaction.start_if_due()
            if self.replica.journal.failed is not None:
                self.replica.fail_disk()
