"""The primary's contact with the witnesses of its epoch: heartbeats, and the proof that the epoch still holds.

A primary serves only while a majority of the witnesses is in touch (docs/control-replication.md). A read goes further:
it asks them after it began.
"""

from __future__ import annotations

import asyncio

from otterreach.controller.election import CALL_TIMEOUT_S, Election
from otterreach.controller.epochs import ControllerInfo, EpochConfiguration, is_majority
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.messages import Accept, EpochHeartbeat, EpochHeartbeatReply
from otterreach.controller.witness_contacts import WitnessContacts
from otterreach.runtime.codes import Failure
from otterreach.runtime.rpc import Endpoint

HEARTBEAT_INTERVAL_S = 0.1
MAX_HEARTBEATS_IN_FLIGHT = int(CALL_TIMEOUT_S / HEARTBEAT_INTERVAL_S)  # a slow link doesn't make them rarer
CONFIRM_TIMEOUT_S = 0.35  # a call that lacks a majority's confirmation for so long is answered without
ELECTION_POLL_S = 0.005
MAX_SHARED_WAIT_S = 0.03  # how long a read waits for the round of questions before its own


class EpochHeartbeats:
    """Heartbeats to all witnesses, and what their answers prove."""

    def __init__(self, replica: LocalReplica, endpoint: Endpoint, election: Election) -> None:
        self.replica = replica
        self.endpoint = endpoint
        self.election = election
        self.contacts = WitnessContacts(replica.loop.time)
        self._rounds = 0  # of questions whether the epoch holds, under way
        self._no_round = asyncio.Event()
        self._next_round: asyncio.Task[bool] | None = None

    def leads(self, configuration: EpochConfiguration) -> bool:
        """Whether this is still the primary of that epoch, to its knowledge."""
        is_current = self.replica.accepted is configuration and self.contacts.configuration is configuration
        return self.replica.is_primary and is_current

    # Heartbeats ----------------------------------------------------------------------------------

    def send_to_all(self) -> None:
        """Send each witness a heartbeat, unless too many to it are unanswered."""
        configuration = self.replica.accepted
        assert configuration is not None
        for witness in configuration.witnesses:
            contact = self.contacts.by_id.get(witness.id)
            if contact and contact.in_flight < MAX_HEARTBEATS_IN_FLIGHT:
                self.endpoint.spawn(self._keep_in_touch(witness, configuration))

    async def send(self, witness: ControllerInfo, configuration: EpochConfiguration) -> EpochHeartbeatReply | None:
        """The witness's reply, noted if the epoch holds there; None if it did not come from this witness."""
        contact = self.contacts.by_id[witness.id]
        asked_at = self.replica.loop.time()
        heartbeat = EpochHeartbeat(configuration.number, self.replica.id, self.replica.settings.address)
        contact.in_flight += 1
        reply = await self.endpoint.call(witness.address, heartbeat, CALL_TIMEOUT_S)
        contact.in_flight -= 1
        if isinstance(reply, Failure) or reply.id != witness.id:
            return None  # no answer, or another disk at that address: that one will ask to join
        if reply.ok and self.leads(configuration):
            self.contacts.record_answer(witness.id, asked_at)
        return reply

    async def _keep_in_touch(self, witness: ControllerInfo, configuration: EpochConfiguration) -> None:
        reply = await self.send(witness, configuration)
        if reply is None or reply.ok or not self.leads(configuration):
            return
        if reply.promised > configuration.number:
            self.replica.highest_known_number = max(self.replica.highest_known_number, reply.promised)
            await self.election.run()  # lead a higher epoch, or none
        else:
            await self.endpoint.call(witness.address, Accept([configuration]), CALL_TIMEOUT_S)

    # Proof ---------------------------------------------------------------------------------------

    async def confirm(self) -> bool:
        """Whether this is the primary now. For a read.

        Every backup and a majority of the witnesses, asked after this call began, have to say that the epoch holds.
        Calls that come while a round of questions is under way share the next round.
        """
        if self._next_round is None:
            if not self._rounds:
                return await self._run_round()
            self._next_round = self.endpoint.spawn(self._run_next_round())
        return await asyncio.shield(self._next_round)

    async def _run_round(self) -> bool:
        self._rounds += 1
        self._no_round.clear()
        try:
            return await self._confirm_by_asking()
        finally:
            self._rounds -= 1
            if not self._rounds:
                self._no_round.set()

    async def _run_next_round(self) -> bool:
        """Begin once the round under way has ended, or takes long."""
        try:
            async with asyncio.timeout(MAX_SHARED_WAIT_S):
                await self._no_round.wait()
        except TimeoutError:
            pass
        self._next_round = None
        return await self._run_round()

    async def _confirm_by_asking(self) -> bool:
        """False within CONFIRM_TIMEOUT_S."""
        deadline = self.replica.loop.time() + CONFIRM_TIMEOUT_S
        while self.replica.is_primary and self.election.in_progress and self.replica.loop.time() < deadline:
            await asyncio.sleep(ELECTION_POLL_S)  # the next epoch of the same primary is about to begin
        configuration = self.replica.accepted
        if configuration is None or not self.leads(configuration) or not self.contacts.has_majority():
            return False
        return await self._ask_whether_epoch_holds(configuration, deadline) and self.leads(configuration)

    async def _ask_whether_epoch_holds(self, configuration: EpochConfiguration, deadline: float) -> bool:
        own_id = self.replica.id
        others = [witness for witness in configuration.witnesses if witness.id != own_id]
        asked = {self.endpoint.spawn(self.send(witness, configuration)): witness.id for witness in others}
        backups = set(configuration.backups)
        confirmed = {own_id}
        pending = set(asked)
        while True:
            if backups <= confirmed and is_majority(confirmed, configuration):
                return True
            possible = confirmed | {asked[task] for task in pending}
            left = deadline - self.replica.loop.time()
            if left <= 0 or not backups <= possible or not is_majority(possible, configuration):
                return False
            done, pending = await asyncio.wait(pending, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            confirmed |= {asked[task] for task in done if (reply := task.result()) is not None and reply.ok}
