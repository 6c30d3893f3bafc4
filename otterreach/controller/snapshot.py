"""Transfers the complete control state to another controller, in chunks (docs/control-state.md, "Snapshots").

The receiver builds the new state beside the one that it has, and on its disk; only a commit, which names the digests of
the complete state, puts it in place. A transfer that stopped is resumed: the receiver tells the digests of what it has
built, and gets the ranges of keys that differ. Each chunk is waited for by itself, so that a thin link or a slow
machine takes longer and does not fail; heartbeats and writes go between the chunks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from otterreach.controller.epochs import ControllerInfo
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.messages import SnapshotChunk, SnapshotCommit, SnapshotOffer, SnapshotStatus
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Done, Endpoint, Link
from otterreach.runtime.store import ReplicatedStore

CHUNK_BYTES = 64 * 1024  # of items in one message, about: 20 ms of a link of 30 Mbit/s
CHUNK_TIMEOUT_S = 1.0  # a chunk is waited for so long, and longer by its size
SLOWEST_BYTES_PER_S = 100_000
OFFER_TIMEOUT_S = 0.4
SMALL_STATE_BYTES = 256 * 1024  # a state of so much goes over within an election
PREPARE_TIMEOUT_S = 30.0  # an election waits no longer for those that it is to make backups
PREPARED_VALID_S = 5.0  # so long they count as prepared: what changes meanwhile is little
MAX_ROUNDS = 3  # offers in one transfer: what was lost on its way is sent again
NEVER_S = -1e9


class SnapshotReceiver:
    """The answering side. Nothing that is built here counts before its commit is on the disk."""

    def __init__(self, replica: LocalReplica, endpoint: Endpoint) -> None:
        self.replica = replica
        endpoint.on(SnapshotOffer, self.handle_offer)
        endpoint.on(SnapshotChunk, self.handle_chunk)
        endpoint.on(SnapshotCommit, self.handle_commit)

    def _rejection(self, request: SnapshotOffer | SnapshotChunk | SnapshotCommit) -> Failure | None:
        replica = self.replica
        if request.target != replica.id or request.number < replica.promised or replica.is_primary:
            return Failure(Code.STALE_EPOCH, f"promised {replica.promised}")
        if isinstance(request, SnapshotOffer):
            return None
        if replica.staged is None or request.session != replica.staged_session:
            return Failure(Code.NOT_SYNCED, "another transfer")
        return None

    async def handle_offer(self, link: Link, offer: SnapshotOffer) -> SnapshotStatus | Failure:
        """Begin a transfer, or resume one: tell what is here."""
        if (rejection := self._rejection(offer)) is not None:
            return rejection
        replica = self.replica
        if replica.staged is None:
            replica.begin_staging()
        replica.staged_session = offer.session
        assert replica.staged is not None
        return SnapshotStatus(list(replica.staged.digests))

    async def handle_chunk(self, link: Link, chunk: SnapshotChunk) -> Done | Failure:
        """Some complete ranges of keys. Done once they are on the disk."""
        if (rejection := self._rejection(chunk)) is not None:
            return rejection
        self.replica.stage(chunk)
        return Done() if await self.replica.sync() else self.replica.disk_failure

    async def handle_commit(self, link: Link, commit: SnapshotCommit) -> Done | Failure:
        """The new state is complete and replaces the present one. Done once that is on the disk."""
        if (rejection := self._rejection(commit)) is not None:
            return rejection
        replica = self.replica
        assert replica.staged is not None
        if replica.staged.digests != commit.digests:
            return Failure(Code.NOT_SYNCED, "not complete")
        replica.step_down("installed")
        replica.commit_staged(commit)
        return Done() if await replica.sync() else replica.disk_failure


class SnapshotSender:
    """The asking side: brings other controllers up to a state."""

    def __init__(self, replica: LocalReplica, endpoint: Endpoint) -> None:
        self.replica = replica
        self.endpoint = endpoint
        self._sessions = 0

    async def install(self, target: ControllerInfo, number: int, state: ReplicatedStore) -> bool:
        """Whether the target has exactly this state in place, on its disk. `state` must not change meanwhile."""
        session = self._new_session()
        if not await self._send_differing(target, number, session, state):
            return False
        commit = SnapshotCommit(number, target.id, session, list(state.digests))
        reply = await self.endpoint.call(target.address, commit, CHUNK_TIMEOUT_S)
        return isinstance(reply, Done)

    async def prepare(self, target: ControllerInfo, number: int, state: ReplicatedStore) -> bool:
        """Have nearly all of a state that goes on changing at the target, so that a later `install` is short."""
        return await self._send_differing(target, number, self._new_session(), state)

    def _new_session(self) -> str:
        self._sessions += 1
        return f"{self.replica.id}-{self.replica.loop.time():.6f}-{self._sessions}"

    async def _send_differing(self, target: ControllerInfo, number: int, session: str, state: ReplicatedStore) -> bool:
        for _ in range(MAX_ROUNDS):
            status = await self._offer(target, number, session)
            if status is None:
                return False
            ranges = state.differing_ranges(status.digests)
            if not ranges:
                return True
            await self._send_ranges(target, number, session, state, ranges)
        status = await self._offer(target, number, session)
        return status is not None and not state.differing_ranges(status.digests)

    async def _offer(self, target: ControllerInfo, number: int, session: str) -> SnapshotStatus | None:
        offer = SnapshotOffer(number, target.id, session)
        reply = await self.endpoint.call(target.address, offer, OFFER_TIMEOUT_S)
        return None if isinstance(reply, Failure) else reply

    async def _send_ranges(
        self, target: ControllerInfo, number: int, session: str, state: ReplicatedStore, ranges: list[int]
    ) -> None:
        """The ranges, chunk after chunk, until one is not accepted."""
        sent = 0
        for chunk_ranges in state.chunks(ranges, CHUNK_BYTES):
            items = state.in_ranges(chunk_ranges)
            chunk = SnapshotChunk(number, target.id, session, chunk_ranges, items)
            size = sum(len(item.value) + len(item.key) for item in items)
            timeout_s = CHUNK_TIMEOUT_S + size / SLOWEST_BYTES_PER_S
            reply = await self.endpoint.call(target.address, chunk, timeout_s)
            if isinstance(reply, Failure):
                log("snapshot_stopped", target=target.node, number=number, bytes=sent, reason=reply.reason)
                return
            sent += size


async def install_all(
    sender: SnapshotSender, targets: list[ControllerInfo], number: int, state: ReplicatedStore
) -> list[str]:
    """The ids of those that have the complete state on their disks now."""
    installed = await asyncio.gather(*(sender.install(target, number, state) for target in targets))
    return [target.id for target, done in zip(targets, installed, strict=True) if done]


class Preparation:
    """Sends a large state to those that are to become backups before the primary begins an election for it.

    No write is answered during an election; a small state goes over in the election itself.
    """

    def __init__(self, replica: LocalReplica, sender: SnapshotSender) -> None:
        self.replica = replica
        self.sender = sender
        self._running: dict[str, asyncio.Task[None]] = {}
        self._prepared_at: dict[str, float] = {}

    def is_ready(self, targets: Iterable[ControllerInfo]) -> bool:
        """Whether the election may begin. If not, what is missing is being sent: ask again."""
        if self.replica.store.bytes <= SMALL_STATE_BYTES:
            return True
        now = self.replica.loop.time()
        for target in targets:
            is_stale = now - self._prepared_at.get(target.id, NEVER_S) > PREPARED_VALID_S
            if target.id not in self._running and is_stale:
                self._running[target.id] = asyncio.ensure_future(self._prepare(target))
        return not self._running

    async def _prepare(self, target: ControllerInfo) -> None:
        """Also where it fails the election may begin: it finds out who has the state."""
        try:
            async with asyncio.timeout(PREPARE_TIMEOUT_S):
                await self.sender.prepare(target, self.replica.number, self.replica.store)
        except TimeoutError:
            log("snapshot_stopped", target=target.node, number=self.replica.number, reason="slow")
        finally:
            del self._running[target.id]
            self._prepared_at[target.id] = self.replica.loop.time()
