"""The write pipeline of the primary: propose, queue, append to disk and backups, confirm the epoch, commit.

1. `propose` applies the change to the primary's own state, appends it to its journal and queues it.
2. `_replicate` takes the queued changes as one batch, one batch at a time.
3. `_append_to_backups` waits until the primary's disk and every backup's disk have the batch, in this epoch.
4. `_replicate_batch` waits until a majority of the witnesses, asked concurrently, has confirmed the epoch.
5. The batch is committed: it is published to the relay tree, and its callers get True.

A failure in any step leads either to a new epoch of this primary, in which the batch is appended again, or to its
stepping down, upon which the callers get False: the outcome of their change is unknown.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass

from otterreach.controller.election import CALL_TIMEOUT_S, Election
from otterreach.controller.epoch_heartbeats import CONFIRM_TIMEOUT_S, EpochHeartbeats
from otterreach.controller.epochs import EpochConfiguration, is_majority
from otterreach.controller.journal_records import JournalKind
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.messages import AppendItems
from otterreach.controller.publisher import Publisher
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.store import Item

POLL_S = 0.005  # polling interval while waiting for earlier writes to be committed or answered
REPAIR_TIMEOUT_S = 0.8  # time-out of a write that waits for the replacement of a lost backup
REVISION_BITS = 24  # low bits of an item's revision: the count within its epoch; the epoch number is above them
MAX_COUNT = 1 << (REVISION_BITS - 1)  # no write is accepted beyond this count, so that the largest one still fits
NEW_EPOCH_COUNT = MAX_COUNT // 2  # at this count the primary begins a new epoch


@dataclass(slots=True)
class PendingWrite:
    """A write whose caller waits for the answer."""

    answer: asyncio.Future[bool]
    number: int  # sequence number
    submitted_at: float

    def complete(self, committed: bool) -> None:
        """Answer the caller, unless it was answered before."""
        if not self.answer.done():
            self.answer.set_result(committed)


class WritePipeline:
    """Replicates the writes of one controller while it is primary."""

    def __init__(
        self,
        replica: LocalReplica,
        endpoint: Endpoint,
        election: Election,
        heartbeats: EpochHeartbeats,
        publisher: Publisher,
    ) -> None:
        self.replica = replica
        self.endpoint = endpoint
        self.election = election
        self.heartbeats = heartbeats
        self.publisher = publisher
        self.closed = False  # set at graceful shutdown: no more writes are accepted
        self._count_in_epoch = 0  # the low bits of the last revision
        self._queued_items: list[Item] = []
        self._queued_writes: list[PendingWrite] = []  # writes whose items are in _queued_items
        self._unanswered: list[PendingWrite] = []  # all pending writes, oldest first
        self._replicating = False
        self._submitted = 0  # sequence number of the last proposed write
        self._committed = 0  # sequence number of the last write that all members have
        self._step_downs = 0
        replica.on_step_down.append(self._abandon)

    # Beginning and end of an epoch ---------------------------------------------------------------

    def begin_epoch(self) -> None:
        """Continue after the highest revision of the epoch. Called before the first write in it."""
        self._count_in_epoch = self._highest_count()

    def resume(self) -> None:
        """Replicate the queued writes. Called once the epoch has taken effect."""
        if self._queued_items and not self._replicating:
            self.endpoint.spawn(self._replicate())

    def _highest_count(self) -> int:
        number = self.replica.number
        mask = (1 << REVISION_BITS) - 1
        revisions = [item.revision for item in self.replica.store.items.values()]
        return max([revision & mask for revision in revisions if revision >> REVISION_BITS == number] or [0])

    def _abandon(self) -> None:
        """Answer all pending writes with False (outcome unknown). Called when this controller has stepped down."""
        unanswered = self._unanswered
        self._unanswered = []
        self._queued_writes = []
        self._queued_items = []
        self._committed = self._submitted  # if it becomes primary again, all members start with its complete state
        self._step_downs += 1
        for write in unanswered:
            write.complete(False)
        self.heartbeats.contacts.notify_waiters()

    async def close(self) -> None:
        """Accept no more writes; return once the pending ones are answered."""
        self.closed = True
        while any(not write.answer.done() for write in self._unanswered):
            await asyncio.sleep(POLL_S)

    @property
    def accepts_writes(self) -> bool:
        """True if `propose`, called now, would accept a write."""
        if self.closed or not self.replica.is_primary or self._count_in_epoch > MAX_COUNT:
            return False
        return self.heartbeats.contacts.has_majority()

    @property
    def needs_new_epoch(self) -> bool:
        """True if the revisions of this epoch are running out."""
        return self._count_in_epoch >= NEW_EPOCH_COUNT

    # Writes --------------------------------------------------------------------------------------

    def propose(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Set items to new values; an empty value deletes the item.

        :returns: True once all members have the changes; False if the outcome is unknown. Not being the primary, or
            lacking contact with a majority, gives False at once, and nothing is changed.
        """
        replica = self.replica
        future: asyncio.Future[bool] = replica.loop.create_future()
        if not self.accepts_writes:
            future.set_result(False)
            return future
        items = []
        for key, value in changes:
            self._count_in_epoch += 1
            items.append(Item(key, replica.number << REVISION_BITS | self._count_in_epoch, value))
        replica.apply_items(items)
        replica.journal.append(JournalKind.ITEMS, encode(AppendItems(replica.number, items)))
        self._submitted += 1
        write = PendingWrite(future, self._submitted, replica.loop.time())
        self._queued_items += items
        self._queued_writes.append(write)
        self._unanswered.append(write)
        if not self._replicating:
            self.endpoint.spawn(self._replicate())
        return future

    async def _replicate(self) -> None:
        self._replicating = True
        try:
            while self._queued_items and self.replica.is_primary and not self.election.in_progress:
                await self._replicate_batch()
        finally:
            self._replicating = False
        if not self.replica.is_primary:
            self._abandon()

    async def _replicate_batch(self) -> None:
        configuration = self.replica.accepted
        assert configuration is not None
        items = self._queued_items
        writes = self._queued_writes
        self._queued_items = []
        self._queued_writes = []
        step_downs = self._step_downs
        sent_at = self.replica.loop.time()
        self._contact_other_witnesses(configuration)
        appended = await self._append_to_backups(configuration, items)
        if appended and await self._wait_for_majority(configuration, sent_at):
            self.publisher.publish(items)
            for write in writes:
                self._committed = max(self._committed, write.number)
                write.complete(True)
            return
        if self._step_downs != step_downs:
            # These writes were answered at the step-down. Their items must not be queued again for a later epoch of
            # this controller, since a primary in between may not have had them.
            return
        # To be appended again in the next epoch, or abandoned when this controller steps down.
        self._queued_items = items + self._queued_items
        self._queued_writes = writes + self._queued_writes
        if self.heartbeats.is_primary_of(configuration) and not self.election.in_progress:
            await self.election.run()

    def _contact_other_witnesses(self, configuration: EpochConfiguration) -> None:
        """Send heartbeats to the other witnesses concurrently with the write, if the members alone are no majority."""
        if is_majority(configuration.members, configuration):
            return
        for witness in configuration.witnesses:
            if witness.id not in configuration.members:
                self.endpoint.spawn(self.heartbeats.send(witness, configuration))

    async def _append_to_backups(self, configuration: EpochConfiguration, items: list[Item]) -> bool:
        """Append the items to every backup and return True once they and this controller have them on disk.

        Return False if a backup fails or the epoch has ended.
        """
        replica = self.replica
        backups = [witness for witness in configuration.witnesses if witness.id in configuration.backups]
        request = AppendItems(configuration.number, items)
        sent_at = replica.loop.time()
        calls: list[Coroutine[object, object, Done | Failure]] = [
            self.endpoint.call(backup.address, request, CALL_TIMEOUT_S) for backup in backups
        ]
        synced, *replies = await asyncio.gather(replica.sync(), *calls)
        if synced is not True or not self.heartbeats.is_primary_of(configuration):
            return False
        for backup, reply in zip(backups, replies, strict=True):
            if not isinstance(reply, Done):
                reason = reply.reason if isinstance(reply, Failure) else ""
                log("backup_lost", node=replica.settings.node, backup=backup.node, reason=reason)
                return False
            self.heartbeats.contacts.record_reply(backup.id, sent_at)
        return True

    async def _wait_for_majority(self, configuration: EpochConfiguration, sent_at: float) -> bool:
        """Return True once a majority has confirmed the epoch; False once this controller no longer leads it."""
        return await self.heartbeats.contacts.wait_for_majority(
            sent_at, lambda: self.heartbeats.is_primary_of(configuration)
        )

    # Time-outs and reads -------------------------------------------------------------------------

    def time_out_writes(self) -> None:
        """Answer writes that have lacked a majority or a backup for too long with False (outcome unknown)."""
        now = self.replica.loop.time()
        timeout_s = REPAIR_TIMEOUT_S if self.heartbeats.contacts.has_majority() else CONFIRM_TIMEOUT_S
        self._unanswered = [write for write in self._unanswered if not write.answer.done()]
        for write in self._unanswered:
            if now - write.submitted_at >= timeout_s:
                write.complete(False)

    async def wait_until_committed(self) -> bool:
        """Return True if this is the primary now and all members have every change made before the call.

        Called before an answer that depends on the state: a change that not all members have may still be lost.
        """
        submitted = self._submitted
        step_downs = self._step_downs
        if not await self.heartbeats.confirm_leadership():
            return False
        contacts = self.heartbeats.contacts
        while self._committed < submitted and self._step_downs == step_downs and contacts.has_majority():
            await asyncio.sleep(POLL_S)
        return self._committed >= submitted and self._step_downs == step_downs
