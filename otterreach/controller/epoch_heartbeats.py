"""The primary's contact with the witnesses of its epoch: heartbeats, and confirmation that the epoch is still current.

A primary serves only while a majority of the witnesses answers its heartbeats (docs/control-replication.md). A read
requires more: replies to heartbeats that were sent after the read began.
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
MAX_HEARTBEATS_IN_FLIGHT = int(CALL_TIMEOUT_S / HEARTBEAT_INTERVAL_S)  # so that a slow link does not lower their rate
CONFIRM_TIMEOUT_S = 0.35  # a call without a majority's confirmation within this time fails
ELECTION_POLL_S = 0.005
MAX_SHARED_WAIT_S = 0.03  # maximum wait for the confirmation in progress before the next one starts


class EpochHeartbeats:
    """Sends heartbeats to all witnesses and confirms leadership from their replies."""

    def __init__(self, replica: LocalReplica, endpoint: Endpoint, election: Election) -> None:
        self.replica = replica
        self.endpoint = endpoint
        self.election = election
        self.contacts = WitnessContacts(replica.loop.time)
        self._confirmations_running = 0
        self._no_confirmation_running = asyncio.Event()
        self._next_confirmation: asyncio.Task[bool] | None = None

    def is_primary_of(self, configuration: EpochConfiguration) -> bool:
        """Return True if, to its own knowledge, this controller is still the primary of that epoch."""
        is_current = self.replica.accepted is configuration and self.contacts.configuration is configuration
        return self.replica.is_primary and is_current

    # Heartbeats ----------------------------------------------------------------------------------

    def send_to_all(self) -> None:
        """Send a heartbeat to each witness that has fewer than MAX_HEARTBEATS_IN_FLIGHT unanswered ones."""
        configuration = self.replica.accepted
        assert configuration is not None
        for witness in configuration.witnesses:
            contact = self.contacts.by_id.get(witness.id)
            if contact and contact.in_flight < MAX_HEARTBEATS_IN_FLIGHT:
                self.endpoint.spawn(self._send_heartbeat(witness, configuration))

    async def send(self, witness: ControllerInfo, configuration: EpochConfiguration) -> EpochHeartbeatReply | None:
        """Send a heartbeat and record the contact if the epoch is current at the witness.

        :returns: the reply; None if there was none, or if another controller answered at the witness's address
        """
        contact = self.contacts.by_id[witness.id]
        sent_at = self.replica.loop.time()
        heartbeat = EpochHeartbeat(configuration.number, self.replica.id, self.replica.settings.address)
        contact.in_flight += 1
        reply = await self.endpoint.call(witness.address, heartbeat, CALL_TIMEOUT_S)
        contact.in_flight -= 1
        if isinstance(reply, Failure) or reply.id != witness.id:
            return None  # no reply, or a controller with another disk at that address; that one will ask to join
        if reply.ok and self.is_primary_of(configuration):
            self.contacts.record_reply(witness.id, sent_at)
        return reply

    async def _send_heartbeat(self, witness: ControllerInfo, configuration: EpochConfiguration) -> None:
        reply = await self.send(witness, configuration)
        if reply is None or reply.ok or not self.is_primary_of(configuration):
            return
        if reply.promised > configuration.number:
            self.replica.highest_known_number = max(self.replica.highest_known_number, reply.promised)
            await self.election.run()  # either wins a higher epoch or steps down
        else:
            await self.endpoint.call(witness.address, Accept([configuration]), CALL_TIMEOUT_S)

    # Confirmation of leadership ------------------------------------------------------------------

    async def confirm_leadership(self) -> bool:
        """Return True if this controller is the primary now. Called before a read is answered.

        Every backup and a majority of the witnesses, asked after this call began, must confirm that the epoch is
        current. Calls that arrive while a confirmation is in progress share the next one.
        """
        if self._next_confirmation is None:
            if not self._confirmations_running:
                return await self._run_confirmation()
            self._next_confirmation = self.endpoint.spawn(self._run_next_confirmation())
        return await asyncio.shield(self._next_confirmation)

    async def _run_confirmation(self) -> bool:
        self._confirmations_running += 1
        self._no_confirmation_running.clear()
        try:
            return await self._confirm_with_witnesses()
        finally:
            self._confirmations_running -= 1
            if not self._confirmations_running:
                self._no_confirmation_running.set()

    async def _run_next_confirmation(self) -> bool:
        """Start once the confirmations in progress have ended, or after MAX_SHARED_WAIT_S."""
        try:
            async with asyncio.timeout(MAX_SHARED_WAIT_S):
                await self._no_confirmation_running.wait()
        except TimeoutError:
            pass
        self._next_confirmation = None
        return await self._run_confirmation()

    async def _confirm_with_witnesses(self) -> bool:
        """Return True if the epoch was confirmed; return False after CONFIRM_TIMEOUT_S at the latest."""
        deadline = self.replica.loop.time() + CONFIRM_TIMEOUT_S
        while self.replica.is_primary and self.election.in_progress and self.replica.loop.time() < deadline:
            await asyncio.sleep(ELECTION_POLL_S)  # this primary is about to begin its next epoch
        configuration = self.replica.accepted
        if configuration is None or not self.is_primary_of(configuration) or not self.contacts.has_majority():
            return False
        return await self._collect_confirmations(configuration, deadline) and self.is_primary_of(configuration)

    async def _collect_confirmations(self, configuration: EpochConfiguration, deadline: float) -> bool:
        own_id = self.replica.id
        others = [witness for witness in configuration.witnesses if witness.id != own_id]
        tasks = {self.endpoint.spawn(self.send(witness, configuration)): witness.id for witness in others}
        backups = set(configuration.backups)
        confirmed = {own_id}
        pending = set(tasks)
        while True:
            if backups <= confirmed and is_majority(confirmed, configuration):
                return True
            possible = confirmed | {tasks[task] for task in pending}
            remaining_s = deadline - self.replica.loop.time()
            if remaining_s <= 0 or not backups <= possible or not is_majority(possible, configuration):
                return False
            done, pending = await asyncio.wait(pending, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED)
            confirmed |= {tasks[task] for task in done if (reply := task.result()) is not None and reply.ok}
