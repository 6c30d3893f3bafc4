"""What a primary does in its epoch: heartbeats, writes that every backup has, and reads that prove it leads."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from otterreach.controller.election import Election
from otterreach.controller.epoch_heartbeats import HEARTBEAT_INTERVAL_S, EpochHeartbeats
from otterreach.controller.local_replica import LocalReplica, Mode
from otterreach.controller.publisher import Publisher
from otterreach.controller.witness_contacts import WitnessContacts
from otterreach.controller.writes import WritePipeline
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.store import Item


class Primary:
    """The primary's side of replication. Idle while another controller leads."""

    def __init__(self, replica: LocalReplica, endpoint: Endpoint, follower: Follower, election: Election) -> None:
        self.replica = replica
        self.follower = follower
        self.election = election
        self.heartbeats = EpochHeartbeats(replica, endpoint, election)
        self.publisher = Publisher(replica, follower)
        self.writes = WritePipeline(replica, endpoint, election, self.heartbeats, self.publisher)

    @property
    def contacts(self) -> WitnessContacts:
        """When each witness of the epoch last answered."""
        return self.heartbeats.contacts

    def begin_epoch(self, installed: list[Item]) -> None:
        """The accepted configuration is in force, and all its members have `installed`, the complete state."""
        replica = self.replica
        assert replica.accepted is not None
        replica.newer = None
        self.contacts.begin_epoch(replica.accepted, replica.id, replica.is_primary)
        self.follower.primary = replica.settings.address
        self.writes.begin_epoch()
        replica.become(Mode.PRIMARY, f"epoch {replica.number} in force")
        self.publisher.publish_all(installed)  # what was changed since is still to be appended
        self._refresh_state_age()
        self.writes.resume()

    async def run(self) -> None:
        """Send heartbeats and answer writes that have waited for too long; until the disk fails."""
        replica = self.replica
        while replica.mode is not Mode.FAILED:
            if replica.is_primary and not self.election.in_progress:
                self.heartbeats.send_to_all()
                self._refresh_state_age()
            self.writes.answer_late_writes()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _refresh_state_age(self) -> None:
        """The published state is surely as new as when all backups were last in this epoch."""
        configuration = self.replica.accepted
        if self.replica.is_primary and configuration:
            answered = [self.contacts.by_id[backup].answered_at for backup in configuration.backups]
            self.follower.fresh_at = min(answered, default=self.replica.loop.time())

    async def confirm(self) -> bool:
        """Whether this is the primary now. Before a read."""
        return await self.heartbeats.confirm()

    async def committed(self) -> bool:
        """Whether this is the primary now, and all members have the state as it was at the call."""
        return await self.writes.committed()

    def propose(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items: see WritePipeline.propose."""
        return self.writes.propose(changes)

    async def finish_writes(self) -> None:
        """Accept no more writes; return once those in progress are answered."""
        await self.writes.close()
