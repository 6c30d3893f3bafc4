"""Elections: a candidate collects promises, forms a configuration, and has it accepted by majorities.

The primary takes the same steps to change its own configuration (docs/system.md, "Epochs of the controllers").
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
STRAGGLER_WAIT_S = 0.03  # wait for further replies after the required ones have arrived


class Election:
    """Runs at most one election at a time.

    `become_primary` is called with the state that all members of the new epoch have at its start.
    """

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
        self.disabled = False  # set at graceful shutdown: this controller starts no more elections

    def is_eligible(self) -> bool:
        """Return True if this controller is a member of the highest configuration known to it.

        Only members hold all acknowledged writes, so only they may become primary.
        """
        configuration = self.replica.newer_configuration or self.replica.accepted
        return configuration is not None and self.replica.id in configuration.members

    # Bootstrap -----------------------------------------------------------------------------------

    def may_bootstrap(self) -> bool:
        """Return True if this controller is the seed that proposes the initial configuration."""
        settings = self.replica.settings
        is_first_seed = bool(settings.seeds) and settings.address == min(settings.seeds)
        return self.replica.mode is Mode.NEW and self.replica.uninitialised and is_first_seed

    async def bootstrap(self) -> None:
        """Propose the initial configuration and have it accepted by all seeds.

        Does nothing unless every seed answers and every seed's disk is empty.
        """
        replica = self.replica
        settings = replica.settings
        others = [seed for seed in settings.seeds if seed != settings.address]
        request = IdentityRequest(settings.node)
        replies = await asyncio.gather(*(self.endpoint.call(seed, request, CALL_TIMEOUT_S) for seed in others))
        identities = [reply for reply in replies if isinstance(reply, IdentityReply) and reply.uninitialised]
        if len(identities) < len(others):
            return
        witnesses = [replica.controller_info, *(identity.controller[0] for identity in identities)]
        configuration = self.formation.initial_configuration(witnesses)
        self.in_progress = True
        try:
            replica.adopt_configuration(configuration)
            all_ids = {witness.id for witness in witnesses}
            synced = await replica.sync()
            if synced and await self._accept_configuration(configuration, configuration, all_ids):
                self.formation.log_unmet(configuration)
                self.become_primary([])
            else:
                replica.set_mode(Mode.FOLLOWING, "initial configuration not accepted by all seeds")
        finally:
            self.in_progress = False

    # Election ------------------------------------------------------------------------------------

    async def run(self, change: MembershipChange = NO_CHANGE) -> bool:
        """Become primary of a new epoch: run by the primary to change its configuration, by a backup to take over.

        :returns: True if the new epoch took effect; False also if an election is already in progress here or this
            controller is shutting down
        """
        if self.in_progress or self.disabled:
            return False
        self.in_progress = True
        try:
            return await self._run(change)
        finally:
            self.in_progress = False

    async def _run(self, change: MembershipChange) -> bool:
        replica = self.replica
        base = replica.newer_configuration or replica.accepted
        assert base is not None
        self.attempts.record(replica.id, base.number)
        number = max(replica.promised, replica.highest_known_number, base.number) + 1
        promised = await self._collect_promises(base, number, change.transfer)
        if promised is None:
            return False
        items = list(replica.store.items.values())
        configuration = await self.formation.form(base, number, items, promised, change)
        if configuration is None or replica.promised != number:
            replica.step_down("too few backups, or promised to another candidate")
            return False
        replica.adopt_configuration(configuration)
        if not await replica.sync():
            return False
        took_effect = await self._accept_configuration(base, configuration, {replica.id})
        if not took_effect or replica.promised != number:
            replica.step_down("new epoch not accepted")
            return False
        self.formation.log_unmet(configuration)
        self.become_primary(items)
        return True

    # Promises ------------------------------------------------------------------------------------

    async def _collect_promises(
        self, base: EpochConfiguration, number: int, transfer: bool
    ) -> dict[str, ControllerInfo] | None:
        """Probe the witnesses, record this controller's own promise, then request promises.

        The probe comes first so that a candidate that cannot win raises nobody's promised number.

        :returns: the witnesses that promised, by id; None if the probe or the requests found no majority
        """
        replica = self.replica
        was_primary = replica.is_primary
        probe = Prepare(number, replica.id, probe=True, transfer=transfer)
        if await self._request_promises(base, probe) is None:
            if was_primary:
                replica.step_down("probe found no majority of witnesses")
            return None
        if replica.promised >= number:
            # The number was promised to another candidate during the probe. A number is promised only once, and the
            # candidate's own promise counts.
            replica.step_down("promised to another candidate")
            return None
        replica.promise(number)
        if not was_primary:
            replica.set_mode(Mode.CANDIDATE, f"candidate for epoch {number}")
        if not await replica.sync() or replica.promised != number:
            replica.step_down("promised to another candidate, or disk failed")
            return None
        promised = await self._request_promises(base, Prepare(number, replica.id, transfer=transfer))
        if promised is None or replica.promised != number:
            replica.step_down("no majority of witnesses promised")
            return None
        return promised

    async def _request_promises(self, base: EpochConfiguration, request: Prepare) -> dict[str, ControllerInfo] | None:
        """Return the witnesses that promise, including this controller, by id; None if they are no majority."""
        replica = self.replica
        others = [witness for witness in base.witnesses if witness.id != replica.id]
        granted = {witness.id: witness for witness in base.witnesses if witness.id == replica.id}

        def is_sufficient(replies: dict[str, Promise]) -> bool:
            """Return True if a majority of the witnesses, and enough candidates for backups, have promised."""
            promised = [ident for ident, reply in replies.items() if reply.ok and reply.id == ident]
            return is_majority([*promised, *granted], base) and len(promised) >= self.formation.limits.replicas - 1

        replies = await self._call_all(others, request, is_sufficient)
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
            # The next attempt uses its witnesses, if this controller is a member of it.
            replica.newer_configuration = highest
            return None
        return granted if is_majority(granted, base) else None

    async def _call_all(
        self,
        targets: list[ControllerInfo],
        request: Request[ReplyT],
        is_sufficient: Callable[[dict[str, ReplyT]], bool],
    ) -> dict[str, ReplyT]:
        """Call all targets concurrently and return the replies by id.

        Once `is_sufficient` returns True for the replies so far, stop when no further reply arrives within
        STRAGGLER_WAIT_S.
        """
        tasks = {
            asyncio.ensure_future(self.endpoint.call(target.address, request, CALL_TIMEOUT_S)): target.id
            for target in targets
        }
        replies: dict[str, ReplyT] = {}
        pending = set(tasks)
        while pending:
            timeout_s = STRAGGLER_WAIT_S if is_sufficient(replies) else None
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
        """Send the configuration to the old and new witnesses and return True if it has taken effect.

        It takes effect once a majority of the old witnesses, a majority of the new ones, and all required controllers
        have it on disk.

        :param required: ids of controllers that must accept it in addition to the configuration's backups
        """
        own_id = self.replica.id
        targets = {w.id: w for w in [*base.witnesses, *configuration.witnesses] if w.id != own_id}
        needed = (set(configuration.backups) | required) - {own_id}

        def is_sufficient(replies: dict[str, Accepted]) -> bool:
            """Return True if all required controllers and both majorities have the configuration on disk."""
            accepted = {ident for ident, reply in replies.items() if reply.ok and reply.id == ident} | {own_id}
            return needed <= accepted and is_majority(accepted, base) and is_majority(accepted, configuration)

        return is_sufficient(await self._call_all(list(targets.values()), Accept([configuration]), is_sufficient))
