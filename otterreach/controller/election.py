"""How a configuration comes into force: a candidate collects promises, forms a configuration, and has it accepted.

The primary uses the same steps to change its own configuration (docs/system.md, "Epochs of the controllers").
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration, is_majority
from otterreach.controller.formation import NO_CHANGE, Formation, MembershipChange
from otterreach.controller.local_replica import LocalReplica, Mode
from otterreach.controller.messages import Accept, Accepted, IdentityReply, IdentityRequest, Prepare, Promise
from otterreach.runtime.codec import ReplyT, Request
from otterreach.runtime.codes import Failure
from otterreach.runtime.repeated_work import RepeatedWork
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.store import Item

CALL_TIMEOUT_S = 0.4
STRAGGLER_WAIT_S = 0.03  # how long those that may still answer are waited for, once enough have


class Election:
    """Runs one election at a time. `become_primary` is given the state that all members have from the epoch's start."""

    def __init__(
        self,
        replica: LocalReplica,
        endpoint: Endpoint,
        formation: Formation,
        become_primary: Callable[[list[Item]], None],
    ) -> None:
        self.replica = replica
        self.endpoint = endpoint
        self.formation = formation
        self.become_primary = become_primary
        self.attempts = RepeatedWork("election")
        self.in_progress = False
        self.barred = False  # this controller shuts down: it stands no more

    def may_stand(self) -> bool:
        """Whether this is a member of the highest configuration known: it holds all acknowledged writes."""
        configuration = self.replica.newer or self.replica.accepted
        return configuration is not None and self.replica.id in configuration.members

    # The very first configuration ----------------------------------------------------------------

    def may_bootstrap(self) -> bool:
        """Whether this is the seed that proposes the very first configuration."""
        settings = self.replica.settings
        is_first_seed = bool(settings.seeds) and settings.address == min(settings.seeds)
        return self.replica.mode is Mode.NEW and self.replica.uninitialised and is_first_seed

    async def bootstrap(self) -> None:
        """Bring the very first configuration into force: all seeds have to be there, all with empty disks."""
        replica = self.replica
        settings = replica.settings
        others = [seed for seed in settings.seeds if seed != settings.address]
        request = IdentityRequest(settings.node)
        replies = await asyncio.gather(*(self.endpoint.call(seed, request, CALL_TIMEOUT_S) for seed in others))
        identities = [reply for reply in replies if isinstance(reply, IdentityReply) and reply.uninitialised]
        if len(identities) < len(others):
            return
        witnesses = [replica.info, *(identity.controller[0] for identity in identities)]
        configuration = self.formation.first(witnesses)
        self.in_progress = True
        try:
            replica.adopt_configuration(configuration)
            everyone = {witness.id for witness in witnesses}
            synced = await replica.sync()
            if synced and await self._accept_configuration(configuration, configuration, everyone):
                self.formation.log_unmet(configuration)
                self.become_primary([])
            else:
                replica.become(Mode.FOLLOWING, "first epoch not in force")
        finally:
            self.in_progress = False

    # An election ---------------------------------------------------------------------------------

    async def run(self, change: MembershipChange = NO_CHANGE) -> bool:
        """Become primary of a new epoch: run by the primary to change its configuration, by a member to take over.

        :returns: False also if an election is in progress here already, or this controller shuts down
        """
        if self.in_progress or self.barred:
            return False
        self.in_progress = True
        try:
            return await self._run(change)
        finally:
            self.in_progress = False

    async def _run(self, change: MembershipChange) -> bool:
        replica = self.replica
        base = replica.newer or replica.accepted
        assert base is not None
        self.attempts.note(replica.id, base.number)
        number = max(replica.promised, replica.highest_known_number, base.number) + 1
        promised = await self._collect_promises(base, number, change.transfer)
        if promised is None:
            return False
        items = list(replica.store.items.values())
        configuration = await self.formation.form(base, number, items, promised, change)
        if configuration is None or replica.promised != number:
            replica.step_down("too few replicas")
            return False
        replica.adopt_configuration(configuration)
        if not await replica.sync():
            return False
        in_force = await self._accept_configuration(base, configuration, {replica.id})
        if not in_force or replica.promised != number:
            replica.step_down("epoch not in force")
            return False
        self.formation.log_unmet(configuration)
        self.become_primary(items)
        return True

    # Promises ------------------------------------------------------------------------------------

    async def _collect_promises(
        self, base: EpochConfiguration, number: int, transfer: bool
    ) -> dict[str, ControllerInfo] | None:
        """Probe, promise oneself, then ask for promises: who promised, or None if too few would or did."""
        replica = self.replica
        was_primary = replica.is_primary
        probe = Prepare(number, replica.id, probe=True, transfer=transfer)
        if await self._ask_for_promises(base, probe) is None:
            if was_primary:
                replica.step_down("no majority would promise")
            return None
        if replica.promised >= number:
            # Nobody promises one number twice, not to itself either: it was promised to another during the probe.
            replica.step_down("promised to another")
            return None
        replica.promise(number)
        if not was_primary:
            replica.become(Mode.CANDIDATE, f"stands for {number}")
        if not await replica.sync() or replica.promised != number:
            replica.step_down("promised to another")
            return None
        promised = await self._ask_for_promises(base, Prepare(number, replica.id, transfer=transfer))
        if promised is None or replica.promised != number:
            replica.step_down("no majority promised")
            return None
        return promised

    async def _ask_for_promises(self, base: EpochConfiguration, request: Prepare) -> dict[str, ControllerInfo] | None:
        """The witnesses that promise, oneself among them, if they are a majority; else None."""
        replica = self.replica
        others = [witness for witness in base.witnesses if witness.id != replica.id]
        granted = {witness.id: witness for witness in base.witnesses if witness.id == replica.id}

        def enough(replies: dict[str, Promise]) -> bool:
            """Whether a majority of the witnesses and enough future backups have promised."""
            promised = [ident for ident, reply in replies.items() if reply.ok and reply.id == ident]
            return is_majority([*promised, *granted], base) and len(promised) >= self.formation.limits.replicas - 1

        replies = await self._ask_all(others, request, enough)
        highest = base
        for witness in others:
            reply = replies.get(witness.id)
            if reply is None or reply.id != witness.id:
                continue
            replica.highest_known_number = max(replica.highest_known_number, reply.promised)
            if reply.ok:
                granted[witness.id] = witness
            if reply.accepted and reply.accepted[0].number > highest.number:
                highest = reply.accepted[0]
        if highest.number > base.number:
            replica.newer = highest  # the next attempt asks its witnesses, if this one is a member at all
            return None
        return granted if is_majority(granted, base) else None

    async def _ask_all(
        self,
        targets: list[ControllerInfo],
        request: Request[ReplyT],
        enough: Callable[[dict[str, ReplyT]], bool],
    ) -> dict[str, ReplyT]:
        """Replies by id; once `enough` says so, the others are waited for only a moment longer."""
        tasks = {
            asyncio.ensure_future(self.endpoint.call(target.address, request, CALL_TIMEOUT_S)): target.id
            for target in targets
        }
        replies: dict[str, ReplyT] = {}
        pending = set(tasks)
        while pending:
            timeout_s = STRAGGLER_WAIT_S if enough(replies) else None
            done, pending = await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            for task in done:
                reply = task.result()
                if not isinstance(reply, Failure):
                    replies[tasks[task]] = reply
        return replies

    # Acceptance ----------------------------------------------------------------------------------

    async def _accept_configuration(
        self, base: EpochConfiguration, configuration: EpochConfiguration, required: set[str]
    ) -> bool:
        """Whether it is in force: a majority of the old and of the new witnesses, and all needed, have it on disk.

        :param required: ids that are needed besides the configuration's backups
        """
        own_id = self.replica.id
        targets = {w.id: w for w in [*base.witnesses, *configuration.witnesses] if w.id != own_id}
        needed = (set(configuration.backups) | required) - {own_id}

        def enough(replies: dict[str, Accepted]) -> bool:
            """Whether all that are needed and both majorities have it on disk."""
            accepted = {ident for ident, reply in replies.items() if reply.ok and reply.id == ident} | {own_id}
            return needed <= accepted and is_majority(accepted, base) and is_majority(accepted, configuration)

        return enough(await self._ask_all(list(targets.values()), Accept([configuration]), enough))
