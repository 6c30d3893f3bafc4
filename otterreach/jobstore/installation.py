"""A whole copy of a partition on its way to a member that lacks something: in pieces, beside all else.

The state is held as it was at one position, and encoded a job at a time with turns of the loop between. A piece without
an answer is sent again, over whatever connection there is, so that what has arrived is not sent twice; its time-out is
for this piece alone. The copy is whole at the other end once its END is on disk there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from otterreach.jobstore.jobs import Job, entries_of
from otterreach.jobstore.messages import Entry, PartInstall
from otterreach.jobstore.partition import Position
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log

if TYPE_CHECKING:
    from otterreach.jobstore.replica_stream import ReplicaStream

PIECE = 256 * 1024  # bytes of records in one message, about: pings share the connection and wait behind it
CALL_S = 0.8
SLOW_BYTES_PER_S = 64 * 1024  # a link or machine that is slower than this makes no progress
AGAIN_S = 0.1
NO_ANSWER = (Code.TIMED_OUT, Code.CLOSED, Code.UNREACHABLE)


def within_s(size: int) -> float:
    """How long a call with so many bytes may take, on the slowest link that counts."""
    return CALL_S + size / SLOW_BYTES_PER_S


def size_of(entries: list[Entry]) -> int:
    return sum(len(entry.body) for entry in entries)


def pieces_of(entries: Iterator[Entry]) -> Iterator[list[Entry]]:
    """Pieces of about PIECE bytes; an entry that is larger is one by itself."""
    piece: list[Entry] = []
    size = 0
    for entry in entries:
        if piece and size + len(entry.body) > PIECE:
            yield piece
            piece, size = [], 0
        piece.append(entry)
        size += len(entry.body)
    yield piece


class Installation:
    """One whole copy to one member."""

    def __init__(self, stream: ReplicaStream, position: Position, jobs: list[Job]) -> None:
        self.stream, self.position, self.jobs = stream, position, jobs
        self.replication = stream.leader.replication
        self.token = self.replication.random.getrandbits(48) | 1
        self.sent_at = 0.0  # of the last piece

    async def run(self) -> Any:
        """CopyPosition once all of it is on disk there, or the Failure that ended it."""
        part = self.stream.leader.copy.part
        log("install", part=part, member=self.stream.member, index=self.position[0], jobs=len(self.jobs))
        began = self.stream.leader.now()
        entries = (entry for job in self.jobs for entry in entries_of(job, began))
        pieces = pieces_of(entries)
        piece: list[Entry] | None = next(pieces)
        number = 0
        reply: Any = None
        while piece is not None:
            following = next(pieces, None)
            reply = await self._deliver(number, piece, following is None)
            if isinstance(reply, Failure):
                return reply
            piece, number = following, number + 1
            await asyncio.sleep(0)
        return reply

    async def _deliver(self, number: int, piece: list[Entry], last: bool) -> Any:
        """Send a piece until there is an answer to it."""
        leader, member = self.stream.leader, self.stream.member
        part, epoch, session = leader.copy.part, leader.epoch, leader.session
        ask = PartInstall(part, epoch, member, session, self.token, number, last, *self.position, piece)
        while True:
            address = self.replication.address_of(member)
            if address:
                self.sent_at = leader.now()
                reply = await self.replication.call(address, ask, within_s(size_of(piece)))
                if not isinstance(reply, Failure) or reply.code not in NO_ANSWER:
                    return reply
            await asyncio.sleep(AGAIN_S)
