"""Who is in the configuration.

The primary replaces lost backups, adds joiners and removes silent witnesses; a controller outside asks to join.
"""

from __future__ import annotations

from dataclasses import dataclass

from otterreach.controller.election import CALL_TIMEOUT_S, Election
from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.formation import Formation, MembershipChange
from otterreach.controller.local_replica import LocalReplica, Mode
from otterreach.controller.messages import JoinRequest
from otterreach.controller.primary import Primary
from otterreach.controller.snapshot import Preparation
from otterreach.controller.survival import choose_replicas, choose_voters, may_remove_voter
from otterreach.runtime.codes import Failure
from otterreach.runtime.log import log
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Done, Endpoint, Link

BACKUP_TIMEOUT_S = 0.5  # a backup silent for so long is replaced
WITNESS_TIMEOUT_S = 3.0  # a witness silent for so long may be removed; for a joiner after half of it
SHUTDOWN_VALID_S = 10.0  # a controller that announced its shutdown gets no replica for so long
IMPROVE_INTERVAL_S = 2.0  # between two attempts to make the backups survive every allowed loss
JOIN_INTERVAL_S = 0.3  # between two requests to join, and of silence before the first
JOINER_VALID_S = 1.0  # a request to join counts for so long: some controllers are of use only together
SUSPECT_AFTER_S = 1.0  # silent for longer: last in the order of preference for voters


@dataclass(frozen=True, slots=True)
class Joiner:
    """A controller that asked to join."""

    controller: ControllerInfo
    asked_at: float


class Membership:
    """Reconciles the configuration with who is there; asks to join where this controller is outside."""

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
        self.preparation = Preparation(replica, formation.snapshots)
        self.joiners: dict[str, Joiner] = {}  # by node: a machine with another disk takes the place of the former
        self._shutdown_at: dict[str, float] = {}  # by id: when a controller announced its shutdown
        self._improved_at = -IMPROVE_INTERVAL_S
        self.asked_to_join_at = replica.loop.time()
        endpoint.on(JoinRequest, self.handle_join)

    # At the primary ------------------------------------------------------------------------------

    async def handle_join(self, link: Link, request: JoinRequest) -> Done | Failure:
        """Add the controller at the next reconciliation."""
        configuration = self.replica.accepted
        if not self.replica.is_primary or configuration is None:
            return self.replica.not_primary()
        (controller,) = request.controller
        if configuration.witness(controller.id) is None:
            self.joiners[controller.node] = Joiner(controller, self.replica.loop.time())
        return Done()

    def record_shutdown(self, ident: str) -> None:
        """This controller is about to end: it gets no replica for a while."""
        self._shutdown_at[ident] = self.replica.loop.time()

    @property
    def shutting_down(self) -> frozenset[str]:
        """The ids of those that announced their shutdown a moment ago."""
        now = self.replica.loop.time()
        return frozenset(ident for ident, at in self._shutdown_at.items() if now - at < SHUTDOWN_VALID_S)

    async def reconcile_members(self) -> None:
        """Replace backups that are lost, add joiners, remove silent witnesses."""
        configuration = self.replica.accepted
        assert configuration is not None
        since_contact_s = self.primary.contacts.since_contact_s()
        lost = [backup for backup in configuration.backups if since_contact_s.get(backup, 0.0) > BACKUP_TIMEOUT_S]
        if not lost and not self.primary.contacts.has_majority():
            return  # all members are here: nobody else may lead, and no change can come into force
        change = self._wanted_change(configuration, since_contact_s)
        better = self._better_backups(configuration, since_contact_s)
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
        """Witnesses that could become backups."""
        shutting_down = self.shutting_down
        return [
            witness
            for witness in configuration.witnesses
            if witness.id not in configuration.members
            and since_contact_s.get(witness.id, 0.0) <= BACKUP_TIMEOUT_S
            and witness.id not in shutting_down
        ]

    def _wanted_change(self, configuration: EpochConfiguration, since_contact_s: dict[str, float]) -> MembershipChange:
        """Joiners are added.

        Removed are those that a joiner replaces, who upset the balance of zones, or who were silent for long while the
        others still survive each allowed loss.
        """
        joiners = self._joiners_outside(configuration)
        replaced = {joiner.address for joiner in joiners} | {joiner.node for joiner in joiners}
        stay = [w for w in configuration.witnesses if w.address not in replaced and w.node not in replaced]
        domains = self.formation.domains([*configuration.witnesses, *joiners])
        candidates = sorted(
            [*stay, *joiners],
            key=lambda w: (w.id not in configuration.members, since_contact_s.get(w.id, 0.0) > SUSPECT_AFTER_S),
        )
        voters = choose_voters([candidate.id for candidate in candidates], domains, self.formation.limits)
        patience_s = WITNESS_TIMEOUT_S / 2 if joiners else WITNESS_TIMEOUT_S
        unresponsive = [voter for voter in voters if since_contact_s.get(voter, 0.0) > patience_s]
        for ident in sorted(unresponsive, key=lambda voter: -since_contact_s[voter]):
            if may_remove_voter(ident, voters, domains, self.formation.limits):
                voters.remove(ident)
        return MembershipChange(
            drop=frozenset(w.id for w in configuration.witnesses if w.id not in voters),
            add=tuple(joiner for joiner in joiners if joiner.id in voters),
            avoid=self.shutting_down,
        )

    def _joiners_outside(self, configuration: EpochConfiguration) -> list[ControllerInfo]:
        """Who asked to join a moment ago and isn't in the configuration; the others are forgotten."""
        asked_since = self.replica.loop.time() - JOINER_VALID_S
        self.joiners = {
            node: joiner
            for node, joiner in self.joiners.items()
            if joiner.asked_at > asked_since and configuration.witness(joiner.controller.id) is None
        }
        return [joiner.controller for joiner in self.joiners.values()]

    def _better_backups(self, configuration: EpochConfiguration, since_contact_s: dict[str, float]) -> list[str]:
        """Whom to make backups because the present ones don't survive every allowed loss; looked for now and then."""
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

    # Outside -------------------------------------------------------------------------------------

    def is_outside(self) -> bool:
        """In no configuration, or in one of which nothing is heard and whose writes are not here."""
        replica = self.replica
        if replica.mode is Mode.NEW:
            return True
        since_contact_s = replica.loop.time() - replica.last_primary_contact_at
        return replica.mode is Mode.FOLLOWING and since_contact_s > JOIN_INTERVAL_S and not self.election.may_stand()

    def ask_to_join_when_due(self, now: float) -> None:
        """Ask in the background, not more often than each JOIN_INTERVAL_S."""
        if self.is_outside() and now - self.asked_to_join_at > JOIN_INTERVAL_S:
            self.asked_to_join_at = now
            self.endpoint.spawn(self._ask_to_join())

    async def _ask_to_join(self) -> None:
        addresses = dict.fromkeys([self.follower.primary, *self.follower.controllers, *self.settings.seeds])
        request = JoinRequest([self.replica.info])
        for address in addresses:
            if address and address != self.settings.address:
                reply = await self.endpoint.call(address, request, CALL_TIMEOUT_S)
                if not isinstance(reply, Failure):
                    return
