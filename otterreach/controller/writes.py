"""The way of a write at the primary, from top to bottom: propose, queue, disk and backups, witnesses, answer.

1. `propose` applies the change to the primary's own state, appends it to its journal and queues it.
2. `_replicate` takes what is queued as one batch, one batch at a time.
3. `_append_to_backups` waits until this disk and every backup's have the batch, in this epoch.
4. `_replicate_batch` waits until a majority of the witnesses, asked meanwhile, has said that the epoch holds.
5. The batch is published to the relay tree, and its callers are answered with True.

Whatever fails on the way leads to a new epoch of this primary, in which the batch is appended again, or to a step
down, at which the callers are answered with False: their change may be in force or not.
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
from otterreach.runtime.rpc import Done, Endpoint
from otterreach.runtime.store import Item

POLL_S = 0.005  # between two looks whether earlier writes are committed
REPAIR_TIMEOUT_S = 0.8  # a write that waits for a backup's replacement is answered then
REVISION_BITS = 24  # of an item's revision: the count within its epoch; the epoch's number stands above
LAST_COUNT = 1 << (REVISION_BITS - 1)  # no write begins behind this count: the largest one still has room
NEW_EPOCH_COUNT = LAST_COUNT // 2  # from here on the primary begins a new epoch


@dataclass(slots=True)
class PendingWrite:
    """A write that its caller waits for."""

    answer: asyncio.Future[bool]
    number: int  # counts up from write to write
    submitted_at: float

    def complete(self, committed: bool) -> None:
        """Answer the caller, once."""
        if not self.answer.done():
            self.answer.set_result(committed)


class WritePipeline:
    """The writes of one controller while it is primary."""

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
        self.closed = False  # this controller shuts down: it accepts no more writes
        self._count_in_epoch = 0  # the low bits of the last revision
        self._queue: list[Item] = []
        self._queued: list[PendingWrite] = []  # whose items are in the queue
        self._unanswered: list[PendingWrite] = []  # all, oldest first
        self._replicating = False
        self._submitted = 0  # the number of the last write
        self._committed = 0  # the number of the last write that all members have
        self._step_downs = 0
        replica.on_step_down.append(self._abandon)

    # An epoch begins and ends --------------------------------------------------------------------

    def begin_epoch(self) -> None:
        """Go on behind the highest revision of the epoch, before the first write in it."""
        self._count_in_epoch = self._highest_count()

    def resume(self) -> None:
        """The epoch is in force: replicate what is still queued."""
        if self._queue and not self._replicating:
            self.endpoint.spawn(self._replicate())

    def _highest_count(self) -> int:
        number = self.replica.number
        mask = (1 << REVISION_BITS) - 1
        revisions = [item.revision for item in self.replica.store.items.values()]
        return max([revision & mask for revision in revisions if revision >> REVISION_BITS == number] or [0])

    def _abandon(self) -> None:
        """This controller stepped down: the writes in progress end without a clear answer."""
        unanswered = self._unanswered
        self._unanswered = []
        self._queued = []
        self._queue = []
        self._committed = self._submitted  # if this leads again, all its members begin with its complete state
        self._step_downs += 1
        for write in unanswered:
            write.complete(False)
        self.heartbeats.contacts.wake()

    async def close(self) -> None:
        """Accept no more writes; return once those in progress are answered."""
        self.closed = True
        while any(not write.answer.done() for write in self._unanswered):
            await asyncio.sleep(POLL_S)

    @property
    def accepts_writes(self) -> bool:
        """Whether `propose`, called now, changes anything."""
        if self.closed or not self.replica.is_primary or self._count_in_epoch > LAST_COUNT:
            return False
        return self.heartbeats.contacts.has_majority()

    @property
    def needs_epoch(self) -> bool:
        """Whether the revisions of this epoch come to their end."""
        return self._count_in_epoch >= NEW_EPOCH_COUNT

    # The way of a write --------------------------------------------------------------------------

    def propose(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items; an empty value deletes one.

        :returns: True once all members have the changes; False if they may be in force or not. Where this is not the
            primary, or no majority is in touch, False at once, and nothing was changed.
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
        self._queue += items
        self._queued.append(write)
        self._unanswered.append(write)
        if not self._replicating:
            self.endpoint.spawn(self._replicate())
        return future

    async def _replicate(self) -> None:
        self._replicating = True
        try:
            while self._queue and self.replica.is_primary and not self.election.in_progress:
                await self._replicate_batch()
        finally:
            self._replicating = False
        if not self.replica.is_primary:
            self._abandon()

    async def _replicate_batch(self) -> None:
        configuration = self.replica.accepted
        assert configuration is not None
        items = self._queue
        writes = self._queued
        self._queue = []
        self._queued = []
        step_downs = self._step_downs
        asked_at = self.replica.loop.time()
        self._ask_other_witnesses(configuration)
        appended = await self._append_to_backups(configuration, items)
        if appended and await self._wait_for_majority(configuration, asked_at):
            self.publisher.publish(items)
            for write in writes:
                self._committed = max(self._committed, write.number)
                write.complete(True)
            return
        if self._step_downs != step_downs:
            return  # these writes were answered then; another may have led since, without the items
        # Appended once more in the next epoch, or abandoned at the step down.
        self._queue = items + self._queue
        self._queued = writes + self._queued
        if self.heartbeats.leads(configuration) and not self.election.in_progress:
            await self.election.run()

    def _ask_other_witnesses(self, configuration: EpochConfiguration) -> None:
        """Where the members alone are no majority: ask the other witnesses beside the write."""
        if is_majority(configuration.members, configuration):
            return
        for witness in configuration.witnesses:
            if witness.id not in configuration.members:
                self.endpoint.spawn(self.heartbeats.send(witness, configuration))

    async def _append_to_backups(self, configuration: EpochConfiguration, items: list[Item]) -> bool:
        """Whether this disk and every backup's have the items, in this epoch."""
        replica = self.replica
        backups = [witness for witness in configuration.witnesses if witness.id in configuration.backups]
        request = AppendItems(configuration.number, items)
        asked_at = replica.loop.time()
        calls: list[Coroutine[object, object, Done | Failure]] = [
            self.endpoint.call(backup.address, request, CALL_TIMEOUT_S) for backup in backups
        ]
        synced, *replies = await asyncio.gather(replica.sync(), *calls)
        if synced is not True or not self.heartbeats.leads(configuration):
            return False
        for backup, reply in zip(backups, replies, strict=True):
            if not isinstance(reply, Done):
                reason = reply.reason if isinstance(reply, Failure) else ""
                log("backup_lost", node=replica.settings.node, backup=backup.node, reason=reason)
                return False
            self.heartbeats.contacts.record_answer(backup.id, asked_at)
        return True

    async def _wait_for_majority(self, configuration: EpochConfiguration, asked_at: float) -> bool:
        """Whether a majority has said that the epoch holds; False once this leads it no more."""
        return await self.heartbeats.contacts.wait_for_majority(asked_at, lambda: self.heartbeats.leads(configuration))

    # Beside it -----------------------------------------------------------------------------------

    def answer_late_writes(self) -> None:
        """Answer, without a clear result, the writes that lack a majority, or a backup, for too long."""
        now = self.replica.loop.time()
        patience_s = REPAIR_TIMEOUT_S if self.heartbeats.contacts.has_majority() else CONFIRM_TIMEOUT_S
        self._unanswered = [write for write in self._unanswered if not write.answer.done()]
        for write in self._unanswered:
            if now - write.submitted_at >= patience_s:
                write.complete(False)

    async def committed(self) -> bool:
        """Whether this is the primary now, and all members have the complete state as it was at the call.

        For an answer that rests on the state: a change that not all members have may still vanish.
        """
        submitted = self._submitted
        step_downs = self._step_downs
        if not await self.heartbeats.confirm():
            return False
        contacts = self.heartbeats.contacts
        while self._committed < submitted and self._step_downs == step_downs and contacts.has_majority():
            await asyncio.sleep(POLL_S)
        return self._committed >= submitted and self._step_downs == step_downs
