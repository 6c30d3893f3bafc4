"""Who is in the configuration: the primary replaces lost backups, takes joiners in and drops silent witnesses; a
controller outside asks to be taken in."""

from __future__ import annotations

from otterreach.controller.election import CALL_S, Election, MembershipChange
from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.messages import JoinRequest
from otterreach.controller.primary import Primary
from otterreach.controller.replica_state import Mode, ReplicaState
from otterreach.controller.snapshot import Preparation
from otterreach.controller.survival import choose_replicas, choose_voters, may_remove_voter
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Done, Endpoint, Link

BACKUP_LOST_S = 0.5  # a backup silent for so long is replaced
WITNESS_LOST_S = 3.0  # a witness silent for so long may make room
LEAVING_S = 10.0  # one that said that it ends gets no copy for so long
IMPROVE_S = 2.0  # between two tries to make the backups bear every allowed loss
JOIN_S = 0.3  # between two requests to join, and of silence before the first


class Membership:
    """Reconciles the configuration with who is there; asks to join where this controller is outside."""

    def __init__(
        self, replica: ReplicaState, endpoint: Endpoint, follower: Follower, election: Election, primary: Primary
    ) -> None:
        self.replica, self.endpoint, self.follower = replica, endpoint, follower
        self.election, self.primary = election, primary
        self.settings = replica.settings
        self.preparation = Preparation(replica, election.snapshots)
        self.joiners: dict[str, ControllerInfo] = {}
        self._leaving: dict[str, float] = {}  # who said that it ends, and when
        self._improved_at = -IMPROVE_S
        self.asked_to_join_at = replica.loop.time()
        endpoint.on(JoinRequest, self.join)

    # At the primary ------------------------------------------------------------------------------

    async def join(self, link: Link, ask: JoinRequest) -> Done | Failure:
        """Take the controller in at the next reconciliation."""
        configuration = self.replica.accepted
        if not self.replica.is_primary or configuration is None:
            return Failure(Code.NOT_PRIMARY, self.replica.primary_address)
        controller = ask.controller[0]
        if configuration.witness(controller.id) is None:
            self.joiners[controller.id] = controller
        return Done()

    def note_leaving(self, ident: str) -> None:
        """This controller is about to end: no copy goes to it for a while."""
        self._leaving[ident] = self.replica.loop.time()

    @property
    def leaving(self) -> frozenset[str]:
        """Those that said a moment ago that they end."""
        now = self.replica.loop.time()
        return frozenset(ident for ident, at in self._leaving.items() if now - at < LEAVING_S)

    async def reconcile_members(self) -> None:
        """Replace backups that are lost, take joiners in, let go of what is silent."""
        configuration = self.replica.accepted
        assert configuration is not None
        silence = self.primary.contacts.silence()
        lost = [b for b in configuration.backups if silence.get(b, 0.0) > BACKUP_LOST_S]
        if not lost and not self.primary.contacts.has_majority():
            return  # all members are here: nobody else may lead, and no change can come into force
        change = self._wanted_change(configuration, silence)
        better = self._better_backups(configuration, silence)
        if not (change.add or change.drop or lost or better):
            return
        if self.preparation.is_ready([*change.add, *self._living_learners(configuration, silence)]):
            drop = len(change.drop)
            log("reform", node=self.settings.node, add=len(change.add), drop=drop, lost=len(lost), better=len(better))
            await self.election.run(change)

    def _living_learners(self, configuration: EpochConfiguration, silence: dict[str, float]) -> list[ControllerInfo]:
        """Witnesses that could become backups."""
        outside = [w for w in configuration.witnesses if w.id not in configuration.members]
        return [w for w in outside if silence.get(w.id, 0.0) <= BACKUP_LOST_S and w.id not in self.leaving]

    def _wanted_change(self, configuration: EpochConfiguration, silence: dict[str, float]) -> MembershipChange:
        """Joiners in; out those whose place a joiner takes, who upset the balance of zones, or who were silent for
        long while the others still bear each allowed loss."""
        joiners = [j for j in self.joiners.values() if configuration.witness(j.id) is None]
        self.joiners.clear()
        taken = {j.address for j in joiners} | {j.node for j in joiners}
        stay = [w for w in configuration.witnesses if w.address not in taken and w.node not in taken]
        places = self.election.places([*configuration.witnesses, *joiners])
        order = sorted([*stay, *joiners], key=lambda w: (w.id not in configuration.members, silence.get(w.id, 0.0) > 1))
        voters = choose_voters([w.id for w in order], places, self.election.limits)
        patience = WITNESS_LOST_S / 2 if joiners else WITNESS_LOST_S
        gone = sorted((v for v in voters if silence.get(v, 0.0) > patience), key=lambda v: -silence[v])
        for ident in gone:
            if may_remove_voter(ident, voters, places, self.election.limits):
                voters.remove(ident)
        add = tuple(j for j in joiners if j.id in voters)
        drop = frozenset(w.id for w in configuration.witnesses if w.id not in voters)
        return MembershipChange(drop, add, self.leaving)

    def _better_backups(self, configuration: EpochConfiguration, silence: dict[str, float]) -> list[str]:
        """Whom to make backups because the present ones do not bear every allowed loss; looked for now and then."""
        now = self.replica.loop.time()
        if now - self._improved_at < IMPROVE_S:
            return []
        self._improved_at = now
        places = self.election.places(configuration.witnesses)
        living = [i for i, age in silence.items() if age <= BACKUP_LOST_S and i not in self.leaving]
        return choose_replicas(configuration.members, living, places, self.election.limits)

    # Outside -------------------------------------------------------------------------------------

    def is_outside(self) -> bool:
        """In no configuration, or in one of which nothing is heard and whose writes are not here."""
        replica = self.replica
        if replica.mode is Mode.NEW:
            return True
        silence = replica.loop.time() - replica.primary_heard_at
        return replica.mode is Mode.FOLLOWING and silence > JOIN_S and not self.election.may_stand()

    def ask_to_join_when_due(self, now: float) -> None:
        """Ask in the background, not more often than each JOIN_S."""
        if self.is_outside() and now - self.asked_to_join_at > JOIN_S:
            self.asked_to_join_at = now
            self.endpoint.spawn(self._ask_to_join())

    async def _ask_to_join(self) -> None:
        known = dict.fromkeys([self.follower.primary, *self.follower.controllers, *self.settings.seeds])
        for address in known:
            if address and address != self.settings.address:
                reply = await self.endpoint.call(address, JoinRequest([self.replica.info]), CALL_S)
                if not isinstance(reply, Failure):
                    return
