"""The primary's side of replication: heartbeats, writes to all backups, and reads that confirm leadership."""

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
    """The primary's side of replication. Idle while another controller is primary."""

    def __init__(self, replica: LocalReplica, endpoint: Endpoint, follower: Follower, election: Election) -> None:
        self.replica = replica
        self.follower = follower
        self.election = election
        self.heartbeats = EpochHeartbeats(replica, endpoint, election)
        self.publisher = Publisher(replica, follower)
        self.writes = WritePipeline(replica, endpoint, election, self.heartbeats, self.publisher)

    @property
    def contacts(self) -> WitnessContacts:
        """The contacts with the witnesses of the epoch."""
        return self.heartbeats.contacts

    def begin_epoch(self, installed: list[Item]) -> None:
        """Become primary: the accepted configuration has taken effect.

        :param installed: the complete state, which all members of the configuration have
        """
        replica = self.replica
        assert replica.accepted is not None
        replica.newer_configuration = None
        self.contacts.begin_epoch(replica.accepted, replica.id, replica.is_primary)
        self.follower.primary = replica.settings.address
        self.writes.begin_epoch()
        replica.set_mode(Mode.PRIMARY, f"epoch {replica.number} took effect")
        # Changes made since `installed` was collected are not published yet: `resume` appends them to the backups.
        self.publisher.publish_all(installed)
        self._refresh_state_age()
        self.writes.resume()

    async def run(self) -> None:
        """Send heartbeats and time out writes until the disk fails."""
        replica = self.replica
        while replica.mode is not Mode.FAILED:
            if replica.is_primary and not self.election.in_progress:
                self.heartbeats.send_to_all()
                self._refresh_state_age()
            self.writes.time_out_writes()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _refresh_state_age(self) -> None:
        """Date the published state by the oldest of the backups' last contacts.

        While all backups are in this epoch no other controller can commit changes, since only a member can become the
        next primary.
        """
        configuration = self.replica.accepted
        if self.replica.is_primary and configuration:
            answered = [self.contacts.by_id[backup].answered_at for backup in configuration.backups]
            self.follower.fresh_at = min(answered, default=self.replica.loop.time())

    async def confirm_leadership(self) -> bool:
        """Return True if this controller is confirmed as the primary now. Called before a read is answered."""
        return await self.heartbeats.confirm_leadership()

    async def wait_until_committed(self) -> bool:
        """Return True if this is the primary now and all members have every change made before the call."""
        return await self.writes.wait_until_committed()

    def propose(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Set items to new values: see WritePipeline.propose."""
        return self.writes.propose(changes)

    async def finish_writes(self) -> None:
        """Accept no more writes; return once the pending ones are answered."""
        await self.writes.close()
