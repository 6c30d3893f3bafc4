"""Who is in the configuration: the primary replaces lost backups, takes joiners in and drops silent witnesses; a
controller outside asks to be taken in."""

from __future__ import annotations

from otterreach.controller.election import CALL_S, Election
from otterreach.controller.epochs import ControllerInfo
from otterreach.controller.messages import JoinRequest
from otterreach.controller.primary import Primary
from otterreach.controller.replica_state import Mode, ReplicaState
from otterreach.controller.snapshot import Preparation
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Done, Endpoint, Link

BACKUP_LOST_S = 0.5  # a backup silent for so long is replaced
WITNESS_LOST_S = 3.0  # a witness silent for so long may make room
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

    async def reconcile_members(self) -> None:
        """Replace backups that are lost, take joiners in, let go of what is silent."""
        configuration, now = self.replica.accepted, self.replica.loop.time()
        assert configuration is not None
        silent = {i: now - contact.answered_at for i, contact in self.primary.contacts.items()}
        lost = [b for b in configuration.backups if silent.get(b, 0.0) > BACKUP_LOST_S]
        add = [j for j in self.joiners.values() if configuration.witness(j.id) is None]
        self.joiners.clear()
        drop = self._to_drop(silent, add)
        if (add or drop or lost) and self.preparation.is_ready([*add, *self._living_learners(silent)]):
            log("reform", node=self.settings.node, add=len(add), drop=len(drop), lost=len(lost))
            await self.election.run(drop, add)

    def _living_learners(self, silent: dict[str, float]) -> list[ControllerInfo]:
        """Witnesses that could become backups."""
        configuration = self.replica.accepted
        assert configuration is not None
        outside = [w for w in configuration.witnesses if w.id not in configuration.members]
        return [w for w in outside if silent.get(w.id, 0.0) <= BACKUP_LOST_S]

    def _to_drop(self, silent: dict[str, float], add: list[ControllerInfo]) -> set[str]:
        """Witnesses that a joiner takes the place of, and those that were silent for long while enough others stay."""
        configuration = self.replica.accepted
        assert configuration is not None
        taken = {a.address for a in add} | {a.node for a in add}
        drop = {w.id for w in configuration.witnesses if w.address in taken or w.node in taken}
        patience = WITNESS_LOST_S / 2 if add else WITNESS_LOST_S
        gone = sorted((i for i, age in silent.items() if age > patience and i not in drop), key=lambda i: -silent[i])
        least = 2 * self.settings.survive_nodes + 1
        for ident in gone:
            if len(configuration.witnesses) - len(drop) + len(add) > least:
                drop.add(ident)
        return drop

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
