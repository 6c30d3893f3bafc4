"""What a primary does in its epoch: heartbeats, replication of each write to all backups, and proof before a read.

It serves only while a majority of the witnesses is in touch (docs/control-replication.md): a read asks them after it
began, a write is answered once all backups have it and a majority, asked meanwhile, said that the epoch holds. Without
that every call ends soon, without a clear answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterable
from dataclasses import dataclass
from typing import Any

from otterreach.controller import change_history
from otterreach.controller.contact import WitnessContacts
from otterreach.controller.election import CALL_S, Election
from otterreach.controller.epochs import ControllerInfo, EpochConfiguration, is_majority
from otterreach.controller.messages import Accept, AppendItems, EpochHeartbeat, EpochHeartbeatReply
from otterreach.controller.replica_state import ITEMS, Mode, ReplicaState
from otterreach.controller.tombstones import collected_rev
from otterreach.runtime.codec import encode
from otterreach.runtime.log import log
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Done, Endpoint
from otterreach.runtime.store import RANGES, Item, ReplicatedStore

HEARTBEAT_S = 0.1
HEARTBEATS_IN_FLIGHT = int(CALL_S / HEARTBEAT_S)  # to one witness: a slow link does not make them rarer
ANSWER_S = 0.35  # a call that lacks a majority's word for so long is answered
PENDING_CHECK_S = 0.005  # between two looks whether earlier writes are at all members
REPAIR_S = 0.8  # a write that waits for a backup's replacement is answered then
REVISION_BITS = 24  # of an item's rev: the count within its epoch; the epoch's number stands above


def is_private(key: str) -> bool:
    """Whether an item stays among the controllers: no other process has a use for it."""
    return key.partition("/")[0] == change_history.KIND


@dataclass(slots=True)
class PendingWrite:
    """A write that its caller waits for."""

    answer: asyncio.Future[bool]
    number: int  # one after the other
    submitted_at: float

    def settle(self, done: bool) -> None:
        """Answer the caller, once."""
        if not self.answer.done():
            self.answer.set_result(done)


class Primary:
    """The primary's side of replication. Idle while another controller leads."""

    def __init__(self, replica: ReplicaState, endpoint: Endpoint, follower: Follower, election: Election) -> None:
        self.replica, self.endpoint, self.follower, self.election = replica, endpoint, follower, election
        self.settings = replica.settings
        self.contacts = WitnessContacts(replica.loop.time)
        self._counter = 0
        self._queue: list[Item] = []
        self._waiting: list[PendingWrite] = []  # for what is in the queue
        self._unanswered: list[PendingWrite] = []  # all, oldest first
        self._replicating = False
        self.closed = False  # this controller leaves: no more writes
        self._submitted = self._completed = 0  # numbers of the last write handed in, and of the last at all members
        self._step_downs = 0
        replica.on_step_down.append(self._abandon_writes)

    def _abandon_writes(self) -> None:
        unanswered, self._unanswered = self._unanswered, []
        self._waiting, self._queue = [], []
        self._completed = self._submitted  # if this leads again, all its members begin with its whole state
        self._step_downs += 1
        for write in unanswered:
            write.settle(False)
        self.contacts.wake()

    def begin_epoch(self, installed: list[Item]) -> None:
        """The accepted configuration is in force, and all its members have `installed`."""
        replica = self.replica
        assert replica.accepted is not None
        replica.newer = None
        self.contacts.begin_epoch(replica.accepted, replica.id, replica.is_primary)
        self.follower.primary = self.settings.address
        self._counter = self._highest_revision()
        replica.become(Mode.PRIMARY, f"epoch {replica.number} in force")
        self._publish_whole(installed)  # at all members now; what was changed since is still to be appended
        self._refresh_root_time()
        if self._queue and not self._replicating:
            self.endpoint.spawn(self._replicate())

    def _highest_revision(self) -> int:
        number, mask = self.replica.number, (1 << REVISION_BITS) - 1
        revs = [item.rev for item in self.replica.store.items.values()]
        return max([rev & mask for rev in revs if rev >> REVISION_BITS == number] or [0])

    def _leads(self, configuration: EpochConfiguration) -> bool:
        """Whether this is still the primary of that epoch, which is in force, as far as is known here."""
        is_current = self.replica.accepted is configuration and self.contacts.configuration is configuration
        return self.replica.is_primary and is_current

    # Contact with witnesses ----------------------------------------------------------------------

    async def send_heartbeats(self) -> None:
        """To all witnesses, for ever; and answer the writes that have waited for too long."""
        replica = self.replica
        while replica.mode is not Mode.FAILED:
            if replica.is_primary and not self.election.in_progress:
                configuration = replica.accepted
                assert configuration is not None
                for witness in configuration.witnesses:
                    contact = self.contacts.by_id.get(witness.id)
                    if contact and contact.in_flight < HEARTBEATS_IN_FLIGHT:
                        self.endpoint.spawn(self._keep_in_touch(witness, configuration))
                self._refresh_root_time()
            self._answer_late_writes()
            await asyncio.sleep(HEARTBEAT_S)

    def _refresh_root_time(self) -> None:
        """How new the published state surely is: as of when all backups were last in this epoch."""
        configuration = self.replica.accepted
        if self.replica.is_primary and configuration:
            answered = [self.contacts.by_id[b].answered_at for b in configuration.backups]
            self.follower.root_at = min(answered, default=self.replica.loop.time())

    async def _send_heartbeat(self, witness: ControllerInfo, configuration: EpochConfiguration) -> Any:
        """The witness's reply, noted if the epoch holds there; None if it did not come from this witness."""
        contact, asked_at = self.contacts.by_id[witness.id], self.replica.loop.time()
        ask = EpochHeartbeat(configuration.number, self.replica.id, self.settings.address)
        contact.in_flight += 1
        reply = await self.endpoint.call(witness.address, ask, CALL_S)
        contact.in_flight -= 1
        if not isinstance(reply, EpochHeartbeatReply) or reply.id != witness.id:
            return None  # no answer, or another disk at that address: it will ask to join
        if reply.ok and self._leads(configuration):
            self.contacts.answered(witness.id, asked_at)
        return reply

    async def _keep_in_touch(self, witness: ControllerInfo, configuration: EpochConfiguration) -> None:
        reply = await self._send_heartbeat(witness, configuration)
        if reply is None or reply.ok or not self._leads(configuration):
            return
        if reply.promised > configuration.number:
            self.replica.highest_seen = max(self.replica.highest_seen, reply.promised)
            await self.election.run()  # above it, or not at all
        else:
            await self.endpoint.call(witness.address, Accept([configuration]), CALL_S)

    async def confirm(self) -> bool:
        """Whether this is the primary now. Before a read: every backup and a majority of the witnesses, asked after
        this call, say that the epoch holds. False within ANSWER_S."""
        deadline = self.replica.loop.time() + ANSWER_S
        while self.replica.is_primary and self.election.in_progress and self.replica.loop.time() < deadline:
            await asyncio.sleep(PENDING_CHECK_S)  # the next epoch of the same primary is about to begin
        configuration = self.replica.accepted
        if configuration is None or not self._leads(configuration) or not self.contacts.has_majority():
            return False
        return await self._ask_whether_epoch_holds(configuration, deadline) and self._leads(configuration)

    async def committed(self) -> bool:
        """Whether this is the primary now, and the whole state as it was when this was called is at all members.
        Before an answer that rests on the state: a change that is not at all members may still vanish."""
        submitted, step_downs = self._submitted, self._step_downs
        if not await self.confirm():
            return False
        while self._completed < submitted and self._step_downs == step_downs and self.contacts.has_majority():
            await asyncio.sleep(PENDING_CHECK_S)
        return self._completed >= submitted and self._step_downs == step_downs

    async def _ask_whether_epoch_holds(self, configuration: EpochConfiguration, deadline: float) -> bool:
        own = self.replica.id
        others = [w for w in configuration.witnesses if w.id != own]
        asked = {self.endpoint.spawn(self._send_heartbeat(w, configuration)): w.id for w in others}
        backups, holds, pending = set(configuration.backups), {own}, set(asked)
        while True:
            if backups <= holds and is_majority(holds, configuration):
                return True
            open_ids = holds | {asked[task] for task in pending}
            left = deadline - self.replica.loop.time()
            if left <= 0 or not backups <= open_ids or not is_majority(open_ids, configuration):
                return False
            done, pending = await asyncio.wait(pending, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            holds |= {asked[task] for task in done if (reply := task.result()) is not None and reply.ok}

    # Writes --------------------------------------------------------------------------------------

    def revise(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items (empty value: gone). True once all members have it; False: it may be in force or not.
        Not primary, or out of touch with a majority: False at once, and nothing was changed."""
        replica = self.replica
        future: asyncio.Future[bool] = replica.loop.create_future()
        if self.closed or not replica.is_primary or not self.contacts.has_majority():
            future.set_result(False)
            return future
        items = []
        for key, value in changes:
            self._counter += 1
            items.append(Item(key, replica.number << REVISION_BITS | self._counter, value))
        replica.store.apply(items)
        replica.journal.append(ITEMS, encode(AppendItems(replica.number, items)))
        self._submitted += 1
        write = PendingWrite(future, self._submitted, replica.loop.time())
        self._queue += items
        self._waiting.append(write)
        self._unanswered.append(write)
        if not self._replicating:
            self.endpoint.spawn(self._replicate())
        return future

    async def finish_writes(self) -> None:
        """Take no more writes; return when those under way are answered."""
        self.closed = True
        while any(not write.answer.done() for write in self._unanswered):
            await asyncio.sleep(PENDING_CHECK_S)

    def _answer_late_writes(self) -> None:
        """Without a clear answer: what lacks a majority's word, or a backup's, for too long."""
        now, in_touch = self.replica.loop.time(), self.contacts.has_majority()
        patience = REPAIR_S if in_touch else ANSWER_S
        self._unanswered = [write for write in self._unanswered if not write.answer.done()]
        for write in self._unanswered:
            if now - write.submitted_at >= patience:
                write.settle(False)

    async def _replicate(self) -> None:
        self._replicating = True
        try:
            while self._queue and self.replica.is_primary and not self.election.in_progress:
                await self._replicate_batch()
        finally:
            self._replicating = False
        if not self.replica.is_primary:
            self._abandon_writes()

    async def _replicate_batch(self) -> None:
        configuration = self.replica.accepted
        assert configuration is not None
        items, self._queue = self._queue, []
        waiting, self._waiting = self._waiting, []
        step_downs = self._step_downs
        asked_at = self.replica.loop.time()
        self._ask_other_witnesses(configuration)
        appended = await self._append_to_backups(configuration, items)
        if appended and await self.contacts.wait_for_majority(asked_at, lambda: self._leads(configuration)):
            self._publish(items)
            for write in waiting:
                self._completed = max(self._completed, write.number)
                write.settle(True)
            return
        if self._step_downs != step_downs:
            return  # these writes were answered then; another may have led since, without the items
        # Appended once more in the next epoch, or abandoned at the step down.
        self._queue, self._waiting = items + self._queue, waiting + self._waiting
        if self._leads(configuration) and not self.election.in_progress:
            await self.election.run()

    def _ask_other_witnesses(self, configuration: EpochConfiguration) -> None:
        """Where the backups' word is not that of a majority: ask the others beside the write."""
        if is_majority(configuration.members, configuration):
            return
        for witness in configuration.witnesses:
            if witness.id not in configuration.members:
                self.endpoint.spawn(self._send_heartbeat(witness, configuration))

    async def _append_to_backups(self, configuration: EpochConfiguration, items: list[Item]) -> bool:
        """Whether this disk and every backup's have them, in this epoch."""
        replica = self.replica
        targets = [w for w in configuration.witnesses if w.id in configuration.backups]
        ask = AppendItems(configuration.number, items)
        asked_at = replica.loop.time()
        calls: list[Awaitable[Any]] = [self.endpoint.call(w.address, ask, CALL_S) for w in targets]
        replies = await asyncio.gather(replica.sync(), *calls)
        if replies[0] is not True or not self._leads(configuration):
            return False
        for witness, reply in zip(targets, replies[1:], strict=True):
            if not isinstance(reply, Done):
                log("backup_lost", node=self.settings.node, backup=witness.node, why=str(getattr(reply, "reason", "")))
                return False
            self.contacts.answered(witness.id, asked_at)
        return True

    def _publish(self, items: list[Item]) -> None:
        taken = self.follower.store.apply(item for item in items if not is_private(item.key))
        self._tell_followers(taken)

    def _publish_whole(self, items: list[Item]) -> None:
        """All items there are: what the published copy had besides, from its time as a follower, is gone."""
        public = [item for item in items if not is_private(item.key)]
        state = ReplicatedStore()
        state.apply(items)
        taken = self.follower.store.replace_ranges(range(RANGES), public, collected_rev(state))
        self._tell_followers(taken)

    def _tell_followers(self, taken: list[Item]) -> None:
        collected = collected_rev(self.follower.store)  # all members have the change that says so
        self.follower.store.collect(collected)
        self.replica.store.collect(collected)
        self.follower.relay.publish(taken)
