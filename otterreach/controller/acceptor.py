"""What a witness promises and accepts, and what a backup stores: the answering side of epochs and replication."""

from __future__ import annotations

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
from otterreach.controller.replica_state import ITEMS, ReplicaState
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Done, Endpoint, Link

PRIMARY_HEARD_S = 0.35  # heard of a primary within this: no promise to another candidate


class Acceptor:
    """Answers candidates and primaries. Everything it promises is on its disk before it answers."""

    def __init__(self, replica: ReplicaState, endpoint: Endpoint, follower: Follower) -> None:
        self.replica, self.follower = replica, follower
        endpoint.on(Prepare, self.prepare)
        endpoint.on(Accept, self.accept)
        endpoint.on(AppendItems, self.append_items)
        endpoint.on(EpochHeartbeat, self.heartbeat)
        endpoint.on(IdentityRequest, self.identify)

    def _refuses(self, ask: Prepare) -> bool:
        replica = self.replica
        if not replica.accepted or ask.number <= replica.promised:
            return True
        if ask.transfer:
            return False
        if replica.is_primary:
            return ask.candidate != replica.id
        silence = replica.loop.time() - replica.primary_heard_at
        heard = silence < PRIMARY_HEARD_S and bool(replica.primary_heard)
        return heard and ask.candidate != replica.primary_heard

    async def prepare(self, link: Link, ask: Prepare) -> Promise | Failure:
        """Promise a candidate to take no part in anything lower, unless a primary was heard a moment ago."""
        replica = self.replica
        accepted = [replica.accepted] if replica.accepted else []
        replica.highest_seen = max(replica.highest_seen, ask.number if not ask.probe else 0)
        refused = self._refuses(ask)
        if refused or ask.probe:
            return Promise(not refused, replica.promised, replica.id, accepted)
        replica.promise(ask.number)
        if ask.candidate != replica.id:
            replica.step_down("promised to another")
            replica.hear_primary(ask.candidate)
        if not await replica.sync():
            return replica.disk_failure
        return Promise(replica.promised == ask.number, replica.promised, replica.id, accepted)

    async def accept(self, link: Link, ask: Accept) -> Accepted | Failure:
        """Take a configuration that is not below the promise."""
        replica, configuration = self.replica, ask.configuration[0]
        if configuration.number < replica.promised:
            return Accepted(False, replica.promised, replica.id)
        if configuration.primary != replica.id:
            replica.step_down("another is primary")
        replica.adopt_configuration(configuration)
        if not await replica.sync():
            return replica.disk_failure
        replica.hear_primary(configuration.primary)
        return Accepted(replica.promised == configuration.number, replica.promised, replica.id)

    async def append_items(self, link: Link, ask: AppendItems) -> Done | Failure:
        """Store the primary's changes, as a backup of its epoch."""
        replica, configuration = self.replica, self.replica.accepted
        if ask.number < replica.promised:
            return self._stale()
        if configuration is None or configuration.number != ask.number or replica.id not in configuration.backups:
            return Failure(Code.NOT_SYNCED, "not a backup of this epoch")
        replica.store.apply(ask.items)
        replica.collect_tombstones()
        replica.journal.append(ITEMS, encode(ask))
        if not await replica.sync():
            return replica.disk_failure
        return Done() if replica.promised == ask.number else self._stale()

    def _stale(self) -> Failure:
        return Failure(Code.STALE_EPOCH, f"promised {self.replica.promised}")

    async def heartbeat(self, link: Link, ask: EpochHeartbeat) -> EpochHeartbeatReply:
        """Whether the primary's epoch still holds here."""
        replica = self.replica
        ok = replica.number == ask.number == replica.promised
        if ok:
            replica.hear_primary(ask.primary)
            self.follower.primary = ask.address
        return EpochHeartbeatReply(ok, replica.promised, replica.id)

    async def identify(self, link: Link, ask: IdentityRequest) -> IdentityReply:
        """Who this is, and whether it may take part in the very first configuration."""
        replica = self.replica
        return IdentityReply([replica.info], replica.uninitialised and replica.accepted is None)
