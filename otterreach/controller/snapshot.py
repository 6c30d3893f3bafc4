"""The whole control state to another controller, in pieces (docs/control-state.md, "Snapshots").

The receiver builds the copy beside the one that it has, and on its disk; only a commit, which names the digests of the
whole, puts it in place. A transfer that stopped is taken up where it stopped: the receiver tells the digests of what it
has built, and gets the ranges of keys that differ. Each piece is waited for by itself, so that a thin link or a slow
machine takes longer and does not fail; heartbeats and writes go between the pieces.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from otterreach.controller.epochs import ControllerInfo
from otterreach.controller.messages import SnapshotCommit, SnapshotOffer, SnapshotPiece, SnapshotStatus
from otterreach.controller.replica_state import ReplicaState
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Done, Endpoint, Link
from otterreach.runtime.store import ReplicatedStore

PIECE_BYTES = 64 * 1024  # of items in one message, about: 20 ms of a link of 30 Mbit/s
PIECE_S, BYTES_PER_S = 1.0, 100_000  # a piece is waited for so long, and longer by its size
OFFER_S = 0.4
NEAR_BYTES = 256 * 1024  # a state of so much goes over within an election
PREPARE_S = 30.0  # an election waits no longer for those that it is to make backups
PREPARED_S = 5.0  # so long they count as prepared: what changes meanwhile is little
ROUNDS = 3  # offers in one transfer: what was lost on its way is sent again


class SnapshotReceiver:
    """The answering side. Nothing that is built here counts before its commit is on the disk."""

    def __init__(self, replica: ReplicaState, endpoint: Endpoint) -> None:
        self.replica = replica
        endpoint.on(SnapshotOffer, self.offer)
        endpoint.on(SnapshotPiece, self.piece)
        endpoint.on(SnapshotCommit, self.commit)

    def _refusal(self, ask: SnapshotOffer | SnapshotPiece | SnapshotCommit) -> Failure | None:
        replica = self.replica
        if ask.target != replica.id or ask.number < replica.promised or replica.is_primary:
            return Failure(Code.STALE_EPOCH, f"promised {replica.promised}")
        if not isinstance(ask, SnapshotOffer) and (replica.staged is None or ask.session != replica.staged_session):
            return Failure(Code.NOT_SYNCED, "another transfer")
        return None

    async def offer(self, link: Link, ask: SnapshotOffer) -> SnapshotStatus | Failure:
        """Begin a transfer, or take one up: what is here is told."""
        if (refusal := self._refusal(ask)) is not None:
            return refusal
        replica = self.replica
        if replica.staged is None:
            replica.begin_staging()
        replica.staged_session = ask.session
        assert replica.staged is not None
        return SnapshotStatus(list(replica.staged.digests))

    async def piece(self, link: Link, ask: SnapshotPiece) -> Done | Failure:
        """Some ranges of keys, whole. Done once they are on the disk."""
        if (refusal := self._refusal(ask)) is not None:
            return refusal
        self.replica.stage(ask)
        return Done() if await self.replica.sync() else self.replica.disk_failure

    async def commit(self, link: Link, ask: SnapshotCommit) -> Done | Failure:
        """The copy is whole: it replaces the present one. Done once that is on the disk."""
        if (refusal := self._refusal(ask)) is not None:
            return refusal
        replica = self.replica
        assert replica.staged is not None
        if replica.staged.digests != ask.digests:
            return Failure(Code.NOT_SYNCED, "not whole")
        replica.step_down("installed")
        replica.commit_staged(ask)
        return Done() if await replica.sync() else replica.disk_failure


class SnapshotSender:
    """The asking side: brings other controllers' copies up to a state."""

    def __init__(self, replica: ReplicaState, endpoint: Endpoint) -> None:
        self.replica, self.endpoint = replica, endpoint
        self._sessions = 0

    async def install(self, target: ControllerInfo, number: int, state: ReplicatedStore) -> bool:
        """Whether the target has exactly this state in place, on its disk. `state` must not change meanwhile."""
        session = self._new_session()
        if not await self._send_differing(target, number, session, state):
            return False
        commit = SnapshotCommit(number, target.id, session, list(state.digests))
        reply = await self.endpoint.call(target.address, commit, PIECE_S)
        return isinstance(reply, Done)

    async def prepare(self, target: ControllerInfo, number: int, state: ReplicatedStore) -> bool:
        """Have nearly all of a state that goes on changing at the target, so that a later `install` is short."""
        return await self._send_differing(target, number, self._new_session(), state)

    def _new_session(self) -> str:
        self._sessions += 1
        return f"{self.replica.id}-{self.replica.loop.time():.6f}-{self._sessions}"

    async def _send_differing(self, target: ControllerInfo, number: int, session: str, state: ReplicatedStore) -> bool:
        for _ in range(ROUNDS):
            status = await self._offer(target, number, session)
            if status is None:
                return False
            ranges = state.differing_ranges(status.digests)
            if not ranges:
                return True
            await self._send(target, number, session, state, ranges)
        status = await self._offer(target, number, session)
        return status is not None and not state.differing_ranges(status.digests)

    async def _offer(self, target: ControllerInfo, number: int, session: str) -> SnapshotStatus | None:
        reply = await self.endpoint.call(target.address, SnapshotOffer(number, target.id, session), OFFER_S)
        return reply if isinstance(reply, SnapshotStatus) else None

    async def _send(
        self, target: ControllerInfo, number: int, session: str, state: ReplicatedStore, ranges: list[int]
    ) -> None:
        """The ranges, piece after piece, until one is not taken."""
        sent = 0
        for some in state.pieces(ranges, PIECE_BYTES):
            piece = SnapshotPiece(number, target.id, session, some, state.in_ranges(some))
            size = sum(len(item.value) + len(item.key) for item in piece.items)
            reply = await self.endpoint.call(target.address, piece, PIECE_S + size / BYTES_PER_S)
            if not isinstance(reply, Done):
                reason = str(getattr(reply, "reason", ""))
                log("snapshot_stopped", target=target.node, number=number, bytes=sent, reason=reason)
                return
            sent += size


async def install_all(
    sender: SnapshotSender, targets: list[ControllerInfo], number: int, state: ReplicatedStore
) -> list[str]:
    """The ids of those that have the whole state on their disks now."""
    installed = await asyncio.gather(*(sender.install(target, number, state) for target in targets))
    return [target.id for target, done in zip(targets, installed, strict=True) if done]


class Preparation:
    """Has a large state at those that are to become backups before the primary begins an election for it, in which no
    write is answered. A small state goes over in the election itself."""

    def __init__(self, replica: ReplicaState, sender: SnapshotSender) -> None:
        self.replica, self.sender = replica, sender
        self._running: dict[str, asyncio.Task[None]] = {}
        self._prepared_at: dict[str, float] = {}

    def is_ready(self, targets: Iterable[ControllerInfo]) -> bool:
        """Whether the election may begin. If not, what is missing is under way: ask again."""
        if self.replica.store.bytes <= NEAR_BYTES:
            return True
        now = self.replica.loop.time()
        for target in targets:
            if target.id not in self._running and now - self._prepared_at.get(target.id, -1e9) > PREPARED_S:
                self._running[target.id] = asyncio.ensure_future(self._prepare(target))
        return not self._running

    async def _prepare(self, target: ControllerInfo) -> None:
        """Also where it fails the election may begin: it finds out who takes the state."""
        try:
            async with asyncio.timeout(PREPARE_S):
                await self.sender.prepare(target, self.replica.number, self.replica.store)
        except TimeoutError:
            log("snapshot_stopped", target=target.node, number=self.replica.number, reason="slow")
        finally:
            del self._running[target.id]
            self._prepared_at[target.id] = self.replica.loop.time()
