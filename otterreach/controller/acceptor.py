"""Handlers of a witness and backup: promises, accepted configurations, appended items and epoch heartbeats."""

from __future__ import annotations

from otterreach.controller.journal_records import JournalKind
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.messages import (
    Accept,
    Accepted,
    AppendItems,
    EpochHeartbeat,
    EpochHeartbeatReply,
    IdentityReply,
    IdentityRequest,
    Prepare,
    Promise,
)
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done

PRIMARY_CONTACT_VALID_S = 0.35  # for this long after contact with a primary, other candidates are rejected


class Acceptor:
    """Answers candidates and primaries. Every promise, configuration and item is on disk before the reply is sent."""

    def __init__(self, replica: LocalReplica, endpoint: Endpoint, follower: Follower) -> None:
        self.replica = replica
        self.follower = follower
        endpoint.on(Prepare, self.handle_prepare)
        endpoint.on(Accept, self.handle_accept)
        endpoint.on(AppendItems, self.handle_append_items)
        endpoint.on(EpochHeartbeat, self.handle_epoch_heartbeat)
        endpoint.on(IdentityRequest, self.handle_identity_request)

    def _rejects(self, request: Prepare) -> bool:
        replica = self.replica
        if not replica.accepted or request.number <= replica.promised:
            return True
        if request.transfer:
            return False
        if replica.is_primary:
            return request.candidate != replica.id
        since_contact_s = replica.loop.time() - replica.last_primary_contact_at
        primary_alive = since_contact_s < PRIMARY_CONTACT_VALID_S and bool(replica.last_primary)
        return primary_alive and request.candidate != replica.last_primary

    async def handle_prepare(self, link: Link, request: Prepare) -> Promise | Failure:
        """Promise a candidate to reject all lower epochs, unless a primary was heard from recently."""
        replica = self.replica
        accepted = [replica.accepted] if replica.accepted else []
        replica.highest_known_number = max(replica.highest_known_number, request.number if not request.probe else 0)
        rejected = self._rejects(request)
        if rejected or request.probe:
            return Promise(not rejected, replica.promised, replica.id, accepted)
        replica.promise(request.number)
        if request.candidate != replica.id:
            replica.step_down("promised to another candidate")
            replica.record_primary_contact(request.candidate)
        if not await replica.sync():
            return replica.disk_failure
        return Promise(replica.promised == request.number, replica.promised, replica.id, accepted)

    async def handle_accept(self, link: Link, request: Accept) -> Accepted | Failure:
        """Accept a configuration whose number is not below the promised one."""
        replica = self.replica
        (configuration,) = request.configuration
        if configuration.number < replica.promised:
            return Accepted(False, replica.promised, replica.id)
        if configuration.primary != replica.id:
            replica.step_down("another controller is primary")
        replica.adopt_configuration(configuration)
        if not await replica.sync():
            return replica.disk_failure
        replica.record_primary_contact(configuration.primary)
        return Accepted(replica.promised == configuration.number, replica.promised, replica.id)

    async def handle_append_items(self, link: Link, request: AppendItems) -> Done | Failure:
        """Store the primary's changes if this controller is a backup of its epoch."""
        replica = self.replica
        configuration = replica.accepted
        if request.number < replica.promised:
            return self._stale_epoch()
        if configuration is None or configuration.number != request.number or replica.id not in configuration.backups:
            return Failure(Code.NOT_SYNCED, "not a backup of this epoch")
        replica.apply_items(request.items)
        replica.collect_tombstones()
        replica.journal.append(JournalKind.ITEMS, encode(request))
        if not await replica.sync():
            return replica.disk_failure
        return Done() if replica.promised == request.number else self._stale_epoch()

    def _stale_epoch(self) -> Failure:
        return Failure(Code.STALE_EPOCH, f"promised {self.replica.promised}")

    async def handle_epoch_heartbeat(self, link: Link, heartbeat: EpochHeartbeat) -> EpochHeartbeatReply:
        """Reply whether the sender's epoch is still the current one here."""
        replica = self.replica
        holds = replica.number == heartbeat.number == replica.promised
        if holds:
            replica.record_primary_contact(heartbeat.primary)
            self.follower.primary = heartbeat.address
        return EpochHeartbeatReply(holds, replica.promised, replica.id)

    async def handle_identity_request(self, link: Link, request: IdentityRequest) -> IdentityReply:
        """Reply with this controller's identity, and whether it may be part of the initial configuration."""
        replica = self.replica
        return IdentityReply([replica.controller_info], replica.uninitialised and replica.accepted is None)
