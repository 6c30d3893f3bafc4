"""Membership of the configuration.

The primary replaces lost backups, adds joiners and removes unresponsive witnesses. A controller that is not in the
configuration asks to join.
"""

from __future__ import annotations

from dataclasses import dataclass

from otterreach.controller.election import CALL_TIMEOUT_S, Election
from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.formation import Formation, MembershipChange
from otterreach.controller.local_replica import LocalReplica, Mode
from otterreach.controller.messages import JoinRequest
from otterreach.controller.primary import Primary
from otterreach.controller.snapshot import SnapshotPreparation
from otterreach.controller.survival import choose_replicas, choose_voters, may_remove_voter
from otterreach.runtime.codes import Failure
from otterreach.runtime.log import log
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done

BACKUP_TIMEOUT_S = 0.5  # an unresponsive backup is replaced after this time
WITNESS_TIMEOUT_S = 3.0  # an unresponsive witness may be removed after this time; half of it if there are joiners
SHUTDOWN_VALID_S = 10.0  # a controller is made a backup only as a last resort for this long after announcing shutdown
IMPROVE_INTERVAL_S = 2.0  # minimum between attempts to find backups that survive every allowed loss
JOIN_INTERVAL_S = 0.3  # between join requests, and without contact with a primary before the first
JOINER_VALID_S = 1.0  # a join request is kept for this long, as some joiners are useful only in combination
SUSPECT_AFTER_S = 1.0  # candidates without contact for longer are the last choice for voters


@dataclass(frozen=True, slots=True)
class Joiner:
    """A controller that asked to join."""

    controller: ControllerInfo
    asked_at: float


class Membership:
    """Reconciles the configuration with the live controllers; asks to join if this controller is not in it."""

    def __init__(
        self,
        replica: LocalReplica,
        endpoint: Endpoint,
        follower: Follower,
        election: Election,
        formation: Formation,
        primary: Primary,
    ) -> None:
        self.replica = replica
        self.endpoint = endpoint
        self.follower = follower
        self.election = election
        self.formation = formation
        self.primary = primary
        self.settings = replica.settings
        self.preparation = SnapshotPreparation(replica, formation.snapshots)
        self.joiners: dict[str, Joiner] = {}  # by node, so that a node with a new disk replaces its former entry
        self._shutdown_at: dict[str, float] = {}  # by id: time of a controller's shutdown announcement
        self._improved_at = -IMPROVE_INTERVAL_S
        self.asked_to_join_at = replica.loop.time()
        endpoint.on(JoinRequest, self.handle_join)

    # At the primary ------------------------------------------------------------------------------

    async def handle_join(self, link: Link, request: JoinRequest) -> Done | Failure:
        """Note the controller as a joiner; the next reconciliation may add it."""
        configuration = self.replica.accepted
        if not self.replica.is_primary or configuration is None:
            return self.replica.not_primary()
        (controller,) = request.controller
        if configuration.witness(controller.id) is None:
            self.joiners[controller.node] = Joiner(controller, self.replica.loop.time())
        return Done()

    def record_shutdown(self, ident: str) -> None:
        """Record that this controller is shutting down; it is made a backup only as a last resort for a while."""
        self._shutdown_at[ident] = self.replica.loop.time()

    @property
    def shutting_down(self) -> frozenset[str]:
        """The ids of the controllers that announced their shutdown within SHUTDOWN_VALID_S."""
        now = self.replica.loop.time()
        return frozenset(ident for ident, at in self._shutdown_at.items() if now - at < SHUTDOWN_VALID_S)

    async def reconcile_members(self) -> None:
        """Replace lost backups, add joiners and remove unresponsive witnesses."""
        configuration = self.replica.accepted
        assert configuration is not None
        since_contact_s = self.primary.contacts.since_contact_s()
        lost = [backup for backup in configuration.backups if since_contact_s.get(backup, 0.0) > BACKUP_TIMEOUT_S]
        if not lost and not self.primary.contacts.has_majority():
            return  # all members are responsive, so no other can lead; without a majority no change can take effect
        change = self._wanted_change(configuration, since_contact_s)
        better = self._additional_backups(configuration, since_contact_s)
        if not (change.add or change.drop or lost or better):
            return
        if self.preparation.is_ready([*change.add, *self._live_non_members(configuration, since_contact_s)]):
            log(
                "membership_change",
                node=self.settings.node,
                add=len(change.add),
                drop=len(change.drop),
                lost=len(lost),
                better=len(better),
            )
            await self.election.run(change)

    def _live_non_members(
        self, configuration: EpochConfiguration, since_contact_s: dict[str, float]
    ) -> list[ControllerInfo]:
        """Return the responsive witnesses that could become backups."""
        shutting_down = self.shutting_down
        return [
            witness
            for witness in configuration.witnesses
            if witness.id not in configuration.members
            and since_contact_s.get(witness.id, 0.0) <= BACKUP_TIMEOUT_S
            and witness.id not in shutting_down
        ]

    def _wanted_change(self, configuration: EpochConfiguration, since_contact_s: dict[str, float]) -> MembershipChange:
        """Return the change of witnesses to make.

        Joiners are added. A witness is removed if a joiner replaces it (same address or node), if keeping it would
        unbalance the voters among zones, or if it has long been unresponsive and the others still survive each allowed
        loss.
        """
        joiners = self._joiners_outside(configuration)
        replaced = {joiner.address for joiner in joiners} | {joiner.node for joiner in joiners}
        kept = [w for w in configuration.witnesses if w.address not in replaced and w.node not in replaced]
        domains = self.formation.domains([*configuration.witnesses, *joiners])
        candidates = sorted(
            [*kept, *joiners],
            key=lambda w: (w.id not in configuration.members, since_contact_s.get(w.id, 0.0) > SUSPECT_AFTER_S),
        )
        voters = choose_voters([candidate.id for candidate in candidates], domains, self.formation.limits)
        timeout_s = WITNESS_TIMEOUT_S / 2 if joiners else WITNESS_TIMEOUT_S
        unresponsive = [voter for voter in voters if since_contact_s.get(voter, 0.0) > timeout_s]
        for ident in sorted(unresponsive, key=lambda voter: -since_contact_s[voter]):
            if may_remove_voter(ident, voters, domains, self.formation.limits):
                voters.remove(ident)
        return MembershipChange(
            drop=frozenset(w.id for w in configuration.witnesses if w.id not in voters),
            add=tuple(joiner for joiner in joiners if joiner.id in voters),
            avoid=self.shutting_down,
        )

    def _joiners_outside(self, configuration: EpochConfiguration) -> list[ControllerInfo]:
        """Return the recent joiners that are not in the configuration, and forget the others."""
        asked_since = self.replica.loop.time() - JOINER_VALID_S
        self.joiners = {
            node: joiner
            for node, joiner in self.joiners.items()
            if joiner.asked_at > asked_since and configuration.witness(joiner.controller.id) is None
        }
        return [joiner.controller for joiner in self.joiners.values()]

    def _additional_backups(self, configuration: EpochConfiguration, since_contact_s: dict[str, float]) -> list[str]:
        """Return witnesses to make backups because the present ones do not survive every allowed loss.

        Searches at most once per IMPROVE_INTERVAL_S; returns an empty list in between.
        """
        now = self.replica.loop.time()
        if now - self._improved_at < IMPROVE_INTERVAL_S:
            return []
        self._improved_at = now
        domains = self.formation.domains(configuration.witnesses)
        shutting_down = self.shutting_down
        live = [
            ident for ident, age in since_contact_s.items() if age <= BACKUP_TIMEOUT_S and ident not in shutting_down
        ]
        return choose_replicas(configuration.members, live, domains, self.formation.limits)

    # At a controller outside the configuration ---------------------------------------------------

    def is_outside(self) -> bool:
        """Return True if this controller should ask to join.

        It is in no configuration, or it has lost contact with the primary and is not a member, so that it cannot lead.
        """
        replica = self.replica
        if replica.mode is Mode.NEW:
            return True
        since_contact_s = replica.loop.time() - replica.last_primary_contact_at
        return replica.mode is Mode.FOLLOWING and since_contact_s > JOIN_INTERVAL_S and not self.election.is_eligible()

    def ask_to_join_when_due(self, now: float) -> None:
        """Ask to join, in the background, at most once per JOIN_INTERVAL_S."""
        if self.is_outside() and now - self.asked_to_join_at > JOIN_INTERVAL_S:
            self.asked_to_join_at = now
            self.endpoint.spawn(self._ask_to_join())

    async def _ask_to_join(self) -> None:
        addresses = dict.fromkeys([self.follower.primary, *self.follower.controllers, *self.settings.seeds])
        request = JoinRequest([self.replica.controller_info])
        for address in addresses:
            if address and address != self.settings.address:
                reply = await self.endpoint.call(address, request, CALL_TIMEOUT_S)
                if not isinstance(reply, Failure):
                    return
