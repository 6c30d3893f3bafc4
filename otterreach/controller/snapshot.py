"""Transfers the complete control state to another controller, in chunks (docs/control-state.md, "Snapshots").

The receiver stages the new state separately from its present one, also on disk. Only a commit, which carries the
digests of the complete state, replaces the present state. An interrupted transfer can be resumed: the receiver reports
the digests of its staged state and is sent the key ranges that differ. Each chunk has its own time-out, so that a slow
link or machine makes the transfer longer and does not fail it; heartbeats and writes are sent between the chunks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from otterreach.controller.epochs import ControllerInfo
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.messages import SnapshotChunk, SnapshotCommit, SnapshotOffer, SnapshotStatus
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.store import ReplicatedStore

CHUNK_BYTES = 64 * 1024  # approximate size of the items in one message; 20 ms on a 30 Mbit/s link
CHUNK_TIMEOUT_S = 1.0  # time-out of a chunk, to which its size divided by MIN_BYTES_PER_S is added
MIN_BYTES_PER_S = 100_000
OFFER_TIMEOUT_S = 0.4
SMALL_STATE_BYTES = 256 * 1024  # a state up to this size is transferred within the election
PREPARE_TIMEOUT_S = 30.0  # maximum delay of an election for the preparation of its future backups
PREPARED_VALID_S = 5.0  # prepared backups count as such for this long, since few changes accumulate meanwhile
MAX_PASSES = 3  # passes of one transfer; later passes resend chunks that were lost
NEVER_S = -1e9


class SnapshotReceiver:
    """The receiving side of a transfer. A staged state has no effect before its commit is on disk."""

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
        """Begin or resume a transfer: reply with the digests of the staged state."""
        if (rejection := self._rejection(offer)) is not None:
            return rejection
        replica = self.replica
        if replica.staged is None:
            replica.begin_staging()
        replica.staged_session = offer.session
        assert replica.staged is not None
        return SnapshotStatus(list(replica.staged.digests))

    async def handle_chunk(self, link: Link, chunk: SnapshotChunk) -> Done | Failure:
        """Stage the complete key ranges of a chunk and reply Done once they are on disk."""
        if (rejection := self._rejection(chunk)) is not None:
            return rejection
        self.replica.stage(chunk)
        return Done() if await self.replica.sync() else self.replica.disk_failure

    async def handle_commit(self, link: Link, commit: SnapshotCommit) -> Done | Failure:
        """Replace the present state by the staged one if its digests match; reply Done once that is on disk."""
        if (rejection := self._rejection(commit)) is not None:
            return rejection
        replica = self.replica
        assert replica.staged is not None
        if replica.staged.digests != commit.digests:
            return Failure(Code.NOT_SYNCED, "not complete")
        replica.step_down("snapshot installed")
        replica.commit_staged(commit)
        return Done() if await replica.sync() else replica.disk_failure


class SnapshotSender:
    """The sending side of transfers."""

    def __init__(self, replica: LocalReplica, endpoint: Endpoint) -> None:
        self.replica = replica
        self.endpoint = endpoint
        self._sessions = 0

    async def install(self, target: ControllerInfo, number: int, state: ReplicatedStore) -> bool:
        """Transfer and commit `state`, which must not change meanwhile.

        :returns: True if the target has exactly this state, on disk
        """
        session = self._new_session()
        if not await self._send_differing_ranges(target, number, session, state):
            return False
        commit = SnapshotCommit(number, target.id, session, list(state.digests))
        reply = await self.endpoint.call(target.address, commit, CHUNK_TIMEOUT_S)
        return isinstance(reply, Done)

    async def prepare(self, target: ControllerInfo, number: int, state: ReplicatedStore) -> bool:
        """Stage at the target nearly all of a state that keeps changing, so that a later `install` is short."""
        return await self._send_differing_ranges(target, number, self._new_session(), state)

    def _new_session(self) -> str:
        self._sessions += 1
        return f"{self.replica.id}-{self.replica.loop.time():.6f}-{self._sessions}"

    async def _send_differing_ranges(
        self, target: ControllerInfo, number: int, session: str, state: ReplicatedStore
    ) -> bool:
        for _ in range(MAX_PASSES):
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
        """Send the ranges, one chunk after another, until all are sent or one is not accepted."""
        sent = 0
        for chunk_ranges in state.chunks(ranges, CHUNK_BYTES):
            items = state.in_ranges(chunk_ranges)
            chunk = SnapshotChunk(number, target.id, session, chunk_ranges, items)
            size = sum(len(item.value) + len(item.key) for item in items)
            timeout_s = CHUNK_TIMEOUT_S + size / MIN_BYTES_PER_S
            reply = await self.endpoint.call(target.address, chunk, timeout_s)
            if isinstance(reply, Failure):
                log("snapshot_stopped", target=target.node, number=number, bytes=sent, reason=reply.reason)
                return
            sent += size


async def install_all(
    sender: SnapshotSender, targets: list[ControllerInfo], number: int, state: ReplicatedStore
) -> list[str]:
    """Transfer the complete state to all targets and return the ids of those that now have it on disk."""
    installed = await asyncio.gather(*(sender.install(target, number, state) for target in targets))
    return [target.id for target, done in zip(targets, installed, strict=True) if done]


class SnapshotPreparation:
    """Transfers a large state to future backups before the primary starts the election that makes them backups.

    Writes are not answered during an election, so only a small state is transferred within the election itself.
    """

    def __init__(self, replica: LocalReplica, sender: SnapshotSender) -> None:
        self.replica = replica
        self.sender = sender
        self._running: dict[str, asyncio.Task[None]] = {}
        self._prepared_at: dict[str, float] = {}

    def is_ready(self, targets: Iterable[ControllerInfo]) -> bool:
        """Return True if the election may begin; otherwise start or continue the transfers, to be polled again."""
        if self.replica.store.bytes <= SMALL_STATE_BYTES:
            return True
        now = self.replica.loop.time()
        for target in targets:
            is_stale = now - self._prepared_at.get(target.id, NEVER_S) > PREPARED_VALID_S
            if target.id not in self._running and is_stale:
                self._running[target.id] = asyncio.ensure_future(self._prepare(target))
        return not self._running

    async def _prepare(self, target: ControllerInfo) -> None:
        """Transfer the state to one target.

        The election may begin even if the transfer fails, since the election determines who has the state.
        """
        try:
            async with asyncio.timeout(PREPARE_TIMEOUT_S):
                await self.sender.prepare(target, self.replica.number, self.replica.store)
        except TimeoutError:
            log("snapshot_stopped", target=target.node, number=self.replica.number, reason="preparation timed out")
        finally:
            del self._running[target.id]
            self._prepared_at[target.id] = self.replica.loop.time()
