"""One other copy of a partition as its primary sees it: find out where it stands, fill it, send it what comes."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, Any

from otterreach.jobstore.installation import PIECE, Installation, size_of, within_s
from otterreach.jobstore.messages import CopyPosition, JobAppend
from otterreach.jobstore.partition import NOWHERE, Position
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log

if TYPE_CHECKING:
    from otterreach.jobstore.leadership import PartitionLeader

RETRY_S, MOST_RETRY_S = 0.06, 0.3  # between calls to a member that doesn't answer


class StreamState(Enum):
    ASKING = "asking"  # where its copy stands
    INSTALLING = "installing"
    STREAMING = "streaming"


class ReplicaStream:
    """Another copy, as its primary sees it."""

    def __init__(self, leader: PartitionLeader, member: str) -> None:
        self.leader, self.member = leader, member
        self.state = StreamState.ASKING
        self.acked = -1  # records that it has on disk
        self.heard = -1e9  # when the last call that it answered under this epoch was sent
        self.told_lost = -1e9
        self.reporting = False
        self.wake = asyncio.Event()
        self._next: Position = NOWHERE
        self._pinned: int | None = None

    def become(self, state: StreamState, why: str = "") -> None:
        """The one function that changes the state."""
        if state is not self.state:
            if why:
                log(
                    "replica",
                    part=self.leader.copy.part,
                    member=self.member,
                    old=self.state.value,
                    new=state.value,
                    why=why,
                )
            self.state = state

    @property
    def needed(self) -> int:
        """Records from here on are still to be sent to it."""
        if self._pinned is not None:
            return self._pinned
        return self.acked if self.state is StreamState.STREAMING else 1 << 60

    def differs(self) -> None:
        """Its copy is not the same at the same place: fill it anew, and count on nothing until then."""
        self.acked = -1
        self.become(StreamState.INSTALLING, "differs")
        self.wake.set()

    async def run(self) -> None:
        """Ask where it stands, fill it if it has to be, send what comes; for as long as the leadership lasts."""
        leader, copy = self.leader, self.leader.copy
        pause = RETRY_S
        while True:
            if self.state is StreamState.STREAMING and self.acked >= copy.index:
                self.wake.clear()
                await self.wake.wait()
                continue
            address = leader.replication.address_of(self.member)
            done = bool(address) and await (
                self._install(address) if self.state is StreamState.INSTALLING else self._push(address)
            )
            if not done:
                await asyncio.sleep(pause)
            pause = RETRY_S if done else min(MOST_RETRY_S, pause * 1.6)

    async def _push(self, address: str) -> bool:
        leader, copy = self.leader, self.leader.copy
        streaming = self.state is StreamState.STREAMING
        position = self._next if streaming else copy.position
        if streaming and not copy.knows(position):
            self.become(StreamState.ASKING, "too far behind")
            return True
        records = copy.after(position, PIECE) if streaming else []
        ask = JobAppend(copy.part, leader.epoch, self.member, leader.session, *position, records)
        sent = leader.now()
        return self._take_position(await leader.replication.call(address, ask, within_s(size_of(records))), sent)

    def _take_position(self, reply: Any, sent: float) -> bool:
        """Take what it says of where its copy stands. False: it said nothing, try again later."""
        leader, copy = self.leader, self.leader.copy
        if not isinstance(reply, CopyPosition):
            if isinstance(reply, Failure) and reply.code is Code.STALE_EPOCH:
                leader.superseded(reply.reason)
            self.become(StreamState.ASKING)
            return False
        self.heard = max(self.heard, sent)
        position = (reply.index, reply.chain)
        if not copy.knows(position):
            self.become(StreamState.INSTALLING, f"at {reply.index} of {copy.index}")
            return True
        self._next, self.acked = position, reply.index
        self.become(StreamState.STREAMING)
        leader.replica_advanced(self)
        return True

    async def _install(self, address: str) -> bool:
        leader, copy = self.leader, self.leader.copy
        async with leader.replication.installing(self.member):
            if self.state is not StreamState.INSTALLING:
                return True
            position, lineage = copy.position, copy.lineage
            installation = Installation(self, position, copy.jobs.image())
            self._pinned = position[0]
            try:
                reply = await installation.run()
            finally:
                self._pinned = None
            if copy.lineage != lineage:
                return True
            return self._take_position(reply, installation.sent_at)
