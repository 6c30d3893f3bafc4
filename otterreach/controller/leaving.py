"""How a controller leaves in order: its leadership and its copy go on first. The end waits for it only so long."""

from __future__ import annotations

import asyncio

from otterreach.controller.election import Election, MembershipChange
from otterreach.controller.membership import Membership
from otterreach.controller.messages import Leave, TransferLeadership
from otterreach.controller.primary import Primary
from otterreach.controller.replica_state import ReplicaState
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Done, Endpoint, Link

LEAVE_S = 1.0  # the end is put off for no longer
TRANSFER_S = 0.8
RETRY_S = 0.05


class Leaving:
    """The leaving side, and the answers of those that go on."""

    def __init__(
        self, replica: ReplicaState, endpoint: Endpoint, election: Election, primary: Primary, membership: Membership
    ) -> None:
        self.replica, self.endpoint, self.election = replica, endpoint, election
        self.primary, self.membership = primary, membership
        endpoint.on(TransferLeadership, self.take_over)
        endpoint.on(Leave, self.replace_backup)

    # At the one that leaves ----------------------------------------------------------------------

    async def leave(self) -> None:
        """Give leadership and copy on, within LEAVE_S."""
        self.election.barred = True
        began = self.replica.loop.time()
        done = False
        try:
            async with asyncio.timeout(LEAVE_S):
                while not (done := not self._is_member()) and not await self._hand_on():
                    await asyncio.sleep(RETRY_S)
                done = True
        except TimeoutError:
            pass
        seconds = round(self.replica.loop.time() - began, 3)
        log("controller_leaves", node=self.replica.settings.node, done=done, seconds=seconds)

    def _is_member(self) -> bool:
        configuration = self.replica.accepted
        return configuration is not None and self.replica.id in configuration.members

    async def _hand_on(self) -> bool:
        return await self._transfer_leadership() if self.replica.is_primary else await self._be_replaced()

    async def _transfer_leadership(self) -> bool:
        """To the first backup that takes it, once all writes are answered."""
        await self.primary.finish_writes()
        configuration = self.replica.accepted
        assert configuration is not None
        ask = TransferLeadership(configuration.number, self.replica.id)
        for ident in configuration.backups:
            backup = configuration.witness(ident)
            reply = await self.endpoint.call(backup.address, ask, TRANSFER_S) if backup else None
            if isinstance(reply, Done):
                return True
        return False

    async def _be_replaced(self) -> bool:
        """The primary makes another a backup in this one's place."""
        address = self.replica.heard_primary_address
        if not address:
            return False
        reply = await self.endpoint.call(address, Leave(self.replica.number, self.replica.id), TRANSFER_S)
        return isinstance(reply, Done)

    # At those that go on -------------------------------------------------------------------------

    async def take_over(self, link: Link, ask: TransferLeadership) -> Done | Failure:
        """Lead the next epoch in place of the primary that asks."""
        if self.replica.number != ask.number or self.election.barred or not self.election.may_stand():
            return Failure(Code.STALE_EPOCH, f"at {self.replica.number}")
        self.membership.note_leaving(ask.leaving)
        change = MembershipChange(avoid=self.membership.leaving, transfer=True)
        return Done() if await self.election.run(change) else Failure(Code.NOT_SYNCED, "not elected")

    async def replace_backup(self, link: Link, ask: Leave) -> Done | Failure:
        """Form a configuration that needs no copy at the backup that asks."""
        if not self.replica.is_primary:
            return Failure(Code.NOT_PRIMARY, self.replica.primary_address)
        self.membership.note_leaving(ask.leaving)
        configuration = self.replica.accepted
        if configuration and ask.leaving in configuration.backups:
            await self.election.run(MembershipChange(avoid=self.membership.leaving))
        configuration = self.replica.accepted
        replaced = self.replica.is_primary and configuration and ask.leaving not in configuration.members
        return Done() if replaced else Failure(Code.NOT_SYNCED, "nobody else to hold the copy")
