"""What a primary does in its epoch: heartbeats, replication of each write to all backups, and proof before a read."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterable
from dataclasses import dataclass
from typing import Any

from otterreach.controller import change_history
from otterreach.controller.election import CALL_S, Election
from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.messages import Accept, AppendItems, EpochHeartbeat, EpochHeartbeatReply
from otterreach.controller.replica_state import ITEMS, Mode, ReplicaState
from otterreach.controller.tombstones import collected_rev
from otterreach.runtime.codec import encode
from otterreach.runtime.log import log
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Done, Endpoint
from otterreach.runtime.store import RANGES, Item, ReplicatedStore

HEARTBEAT_S = 0.1
REVISION_BITS = 24  # of an item's rev: the count within its epoch; the epoch's number stands above


def is_private(key: str) -> bool:
    """Whether an item stays among the controllers: no other process has a use for it."""
    return key.partition("/")[0] == change_history.KIND


def _settle(writes: list[asyncio.Future[bool]], done: bool) -> None:
    for future in writes:
        if not future.done():
            future.set_result(done)


@dataclass(slots=True)
class WitnessContact:
    """What the primary knows of a witness."""

    answered_at: float  # when the last heartbeat that it answered well was sent
    in_flight: bool = False


class Primary:
    """The primary's side of replication. Idle while another controller leads."""

    def __init__(self, replica: ReplicaState, endpoint: Endpoint, follower: Follower, election: Election) -> None:
        self.replica, self.endpoint, self.follower, self.election = replica, endpoint, follower, election
        self.settings = replica.settings
        self.contacts: dict[str, WitnessContact] = {}
        self._counter = 0
        self._queue: list[Item] = []
        self._waiting: list[asyncio.Future[bool]] = []
        self._last_write: asyncio.Future[bool] | None = None  # of `revise`; all earlier ones end before it
        self._replicating = False
        self._step_downs = 0
        replica.on_step_down.append(self._abandon_writes)

    def _abandon_writes(self) -> None:
        self._step_downs += 1
        waiting, self._waiting, self._queue = self._waiting, [], []
        _settle(waiting, False)

    def begin_epoch(self, installed: list[Item]) -> None:
        """The accepted configuration is in force, and all its members have `installed`."""
        replica = self.replica
        assert replica.accepted is not None
        now = replica.loop.time()
        replica.newer = None
        self.contacts = {w.id: WitnessContact(now) for w in replica.accepted.witnesses if w.id != replica.id}
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

    # Contact with witnesses ----------------------------------------------------------------------

    async def send_heartbeats(self) -> None:
        """To all witnesses, for ever."""
        replica = self.replica
        while replica.mode is not Mode.FAILED:
            if replica.is_primary and not self.election.in_progress:
                configuration = replica.accepted
                assert configuration is not None
                for witness in configuration.witnesses:
                    if witness.id != replica.id and not self.contacts[witness.id].in_flight:
                        self.endpoint.spawn(self._send_heartbeat(witness, configuration))
                self._refresh_root_time()
            await asyncio.sleep(HEARTBEAT_S)

    def _refresh_root_time(self) -> None:
        """How new the published state surely is: as of when all backups were last in this epoch."""
        configuration = self.replica.accepted
        if self.replica.is_primary and configuration:
            answered = [self.contacts[b].answered_at for b in configuration.backups]
            self.follower.root_at = min(answered, default=self.replica.loop.time())

    def _heartbeat_message(self, configuration: EpochConfiguration) -> EpochHeartbeat:
        return EpochHeartbeat(configuration.number, self.replica.id, self.settings.address)

    async def _send_heartbeat(self, witness: ControllerInfo, configuration: EpochConfiguration) -> None:
        contact, replica = self.contacts[witness.id], self.replica
        contact.in_flight, sent = True, replica.loop.time()
        reply = await self.endpoint.call(witness.address, self._heartbeat_message(configuration), CALL_S)
        contact.in_flight = False
        if not replica.is_primary or replica.accepted is not configuration:
            return
        if not isinstance(reply, EpochHeartbeatReply) or reply.id != witness.id:
            return  # no answer, or another disk at that address: it will ask to join
        if reply.ok:
            contact.answered_at = max(contact.answered_at, sent)
        elif reply.promised > configuration.number:
            replica.highest_seen = max(replica.highest_seen, reply.promised)
            await self.election.run(set(), [])  # above it, or not at all
        else:
            await self.endpoint.call(witness.address, Accept([configuration]), CALL_S)

    async def confirm(self) -> bool:
        """Whether this is the primary now: every backup says that the epoch holds. Before a read."""
        configuration = self.replica.accepted
        if not self.replica.is_primary or configuration is None:
            return False
        ask = self._heartbeat_message(configuration)
        targets = [w for w in configuration.witnesses if w.id in configuration.backups]
        replies = await asyncio.gather(*(self.endpoint.call(w.address, ask, CALL_S) for w in targets))
        same = all(
            isinstance(r, EpochHeartbeatReply) and r.ok and r.id == w.id for w, r in zip(targets, replies, strict=True)
        )
        return same and self.replica.is_primary and self.replica.accepted is configuration

    async def committed(self) -> bool:
        """Whether this is the primary now, and the whole state as it was when this was called is at all members.
        Before an answer that rests on the state: a change that is not at all members may still vanish."""
        write = self._last_write
        if write is not None and not write.done():
            await asyncio.wait([write])
            if write.cancelled() or not write.result():
                return False
        return await self.confirm()

    # Writes --------------------------------------------------------------------------------------

    def revise(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items (empty value: gone). True once all members have it; False: it may be in force or not.
        Not primary: False at once, and nothing was changed."""
        replica = self.replica
        future: asyncio.Future[bool] = replica.loop.create_future()
        if not replica.is_primary:
            future.set_result(False)
            return future
        items = []
        for key, value in changes:
            self._counter += 1
            items.append(Item(key, replica.number << REVISION_BITS | self._counter, value))
        replica.store.apply(items)
        replica.journal.append(ITEMS, encode(AppendItems(replica.number, items)))
        self._queue += items
        self._waiting.append(future)
        self._last_write = future
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
            self._abandon_writes()

    async def _replicate_batch(self) -> None:
        configuration = self.replica.accepted
        items, self._queue = self._queue, []
        waiting, self._waiting = self._waiting, []
        step_downs = self._step_downs
        if await self._append_to_backups(items):
            self._publish(items)
            _settle(waiting, True)
            return
        if self._step_downs != step_downs:
            _settle(waiting, False)  # another may have led since, without these items
            return
        # Appended once more in the next epoch, or abandoned at the step down.
        self._queue, self._waiting = items + self._queue, waiting + self._waiting
        if self.replica.is_primary and self.replica.accepted is configuration and not self.election.in_progress:
            await self.election.run(set(), [])

    async def _append_to_backups(self, items: list[Item]) -> bool:
        """Whether this disk and every backup's have them, in this epoch."""
        replica, configuration = self.replica, self.replica.accepted
        assert configuration is not None
        targets = [w for w in configuration.witnesses if w.id in configuration.backups]
        ask = AppendItems(configuration.number, items)
        sent = replica.loop.time()
        calls: list[Awaitable[Any]] = [self.endpoint.call(w.address, ask, CALL_S) for w in targets]
        replies = await asyncio.gather(replica.sync(), *calls)
        if replies[0] is not True or replica.accepted is not configuration or not replica.is_primary:
            return False
        for witness, reply in zip(targets, replies[1:], strict=True):
            if not isinstance(reply, Done):
                log("backup_lost", node=self.settings.node, backup=witness.node, why=str(getattr(reply, "reason", "")))
                return False
            contact = self.contacts[witness.id]
            contact.answered_at = max(contact.answered_at, sent)
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
