"""Graceful shutdown of a controller: it hands over leadership and replica first, within a bounded time."""

from __future__ import annotations

import asyncio

from otterreach.controller.election import Election
from otterreach.controller.formation import MembershipChange
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.membership import Membership
from otterreach.controller.messages import BackupShutdown, TransferLeadership
from otterreach.controller.primary import Primary
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done

SHUTDOWN_TIMEOUT_S = 1.0  # maximum delay of the process exit
CALL_TIMEOUT_S = 0.8
RETRY_S = 0.05


class GracefulShutdown:
    """The handover by the controller that shuts down, and the handlers of the others."""

    def __init__(
        self, replica: LocalReplica, endpoint: Endpoint, election: Election, primary: Primary, membership: Membership
    ) -> None:
        self.replica = replica
        self.endpoint = endpoint
        self.election = election
        self.primary = primary
        self.membership = membership
        endpoint.on(TransferLeadership, self.handle_transfer_leadership)
        endpoint.on(BackupShutdown, self.handle_backup_shutdown)

    # At the controller that shuts down -----------------------------------------------------------

    async def run(self) -> None:
        """Hand over leadership and replica within SHUTDOWN_TIMEOUT_S, retrying until then."""
        self.election.disabled = True
        began = self.replica.loop.time()
        done = False
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                while not (done := not self.replica.is_member) and not await self._transfer():
                    await asyncio.sleep(RETRY_S)
                done = True
        except TimeoutError:
            pass
        seconds = round(self.replica.loop.time() - began, 3)
        log("controller_shutdown", node=self.replica.settings.node, done=done, seconds=seconds)

    async def _transfer(self) -> bool:
        if self.replica.is_primary:
            return await self._transfer_leadership()
        return await self._request_replacement()

    async def _transfer_leadership(self) -> bool:
        """Answer all pending writes, then transfer leadership to the first backup that accepts it."""
        await self.primary.finish_writes()
        configuration = self.replica.accepted
        assert configuration is not None
        request = TransferLeadership(configuration.number, self.replica.id)
        for ident in configuration.backups:
            backup = configuration.witness(ident)
            if backup is None:
                continue
            reply = await self.endpoint.call(backup.address, request, CALL_TIMEOUT_S)
            if isinstance(reply, Done):
                return True
        return False

    async def _request_replacement(self) -> bool:
        """Ask the primary to replace this backup by another controller."""
        address = self.replica.live_primary_address
        if not address:
            return False
        request = BackupShutdown(self.replica.number, self.replica.id)
        return isinstance(await self.endpoint.call(address, request, CALL_TIMEOUT_S), Done)

    # At the other controllers --------------------------------------------------------------------

    async def handle_transfer_leadership(self, link: Link, request: TransferLeadership) -> Done | Failure:
        """Run an election to lead the next epoch in place of the requesting primary."""
        if self.replica.number != request.number or self.election.disabled or not self.election.is_eligible():
            return Failure(Code.STALE_EPOCH, f"at {self.replica.number}")
        self.membership.record_shutdown(request.leaving)
        change = MembershipChange(avoid=self.membership.shutting_down, transfer=True)
        return Done() if await self.election.run(change) else Failure(Code.NOT_SYNCED, "not elected")

    async def handle_backup_shutdown(self, link: Link, request: BackupShutdown) -> Done | Failure:
        """Change to a configuration of which the requesting backup is not a member."""
        if not self.replica.is_primary:
            return self.replica.not_primary()
        self.membership.record_shutdown(request.leaving)
        configuration = self.replica.accepted
        if configuration and request.leaving in configuration.backups:
            await self.election.run(MembershipChange(avoid=self.membership.shutting_down))
        configuration = self.replica.accepted
        replaced = self.replica.is_primary and configuration and request.leaving not in configuration.members
        return Done() if replaced else Failure(Code.NOT_SYNCED, "nobody else to hold the replica")
