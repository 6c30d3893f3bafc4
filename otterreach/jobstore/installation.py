"""Transfers a complete replica of a partition to a member that lacks something: in chunks, beside all else.

The jobs are held as they were at one position, and encoded one by one with turns of the loop between. A chunk without
an answer is sent again, over whatever connection there is, so that what has arrived is not sent twice; its time-out is
for this chunk alone. The replica is complete at the other end once its END is on disk there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from otterreach.jobstore.job import Job
from otterreach.jobstore.job_entries import entries_of
from otterreach.jobstore.journal_records import LogPosition
from otterreach.jobstore.messages import Entry, PartitionInstall, ReplicaPosition
from otterreach.jobstore.replication_context import CALL_TIMEOUT_S, ReplicationContext
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log

CHUNK_BYTES = 256 * 1024  # of entries in one message, about: pings share the connection and wait behind it
SLOWEST_BYTES_PER_S = 64 * 1024  # a link or machine that is slower than this makes no progress
RETRY_S = 0.1
NO_ANSWER = (Code.TIMED_OUT, Code.CLOSED, Code.UNREACHABLE)


def transfer_timeout_s(size: int) -> float:
    """How long a call with so many bytes may take, on the slowest link that counts."""
    return CALL_TIMEOUT_S + size / SLOWEST_BYTES_PER_S


def size_of(entries: list[Entry]) -> int:
    """Bytes of entries in a message, about."""
    return sum(len(entry.body) for entry in entries)


def chunks_of(entries: Iterator[Entry]) -> Iterator[list[Entry]]:
    """Chunks of about CHUNK_BYTES; an entry that is larger is one by itself."""
    chunk: list[Entry] = []
    size = 0
    for entry in entries:
        if chunk and size + len(entry.body) > CHUNK_BYTES:
            yield chunk
            chunk = []
            size = 0
        chunk.append(entry)
        size += len(entry.body)
    yield chunk


@dataclass(frozen=True, slots=True)
class InstallationTarget:
    """Who is filled, under which leadership."""

    partition: int
    epoch: int
    session: int
    member: str


class Installation:
    """One complete replica to one member."""

    def __init__(
        self, context: ReplicationContext, target: InstallationTarget, position: LogPosition, jobs: list[Job]
    ) -> None:
        """:param jobs: as they are at `position`; they must not change any more."""
        self.context = context
        self.target = target
        self.position = position
        self.jobs = jobs
        self.token = context.random.getrandbits(48) | 1
        self.sent_at = 0.0  # when the last chunk was sent

    async def run(self) -> ReplicaPosition | Failure:
        """The member's position once all of it is on disk there, or the Failure that ended it."""
        target = self.target
        log(
            "install",
            partition=target.partition,
            member=target.member,
            index=self.position.index,
            jobs=len(self.jobs),
        )
        began = self.context.now()
        chunks = chunks_of(entry for job in self.jobs for entry in entries_of(job, began))
        chunk = next(chunks)
        number = 0
        while True:
            following = next(chunks, None)
            reply = await self._deliver(number, chunk, following is None)
            if isinstance(reply, Failure):
                return reply
            await asyncio.sleep(0)
            if following is None:
                return reply
            chunk = following
            number += 1

    async def _deliver(self, number: int, chunk: list[Entry], last: bool) -> ReplicaPosition | Failure:
        """Send a chunk until there is an answer to it."""
        target = self.target
        request = PartitionInstall(
            partition=target.partition,
            epoch=target.epoch,
            member=target.member,
            session=target.session,
            install=self.token,
            chunk=number,
            last=last,
            index=self.position.index,
            chain=self.position.chain,
            records=chunk,
        )
        while True:
            address = self.context.address_of(target.member)
            if address:
                self.sent_at = self.context.now()
                reply = await self.context.call(address, request, transfer_timeout_s(size_of(chunk)))
                if not isinstance(reply, Failure) or reply.code not in NO_ANSWER:
                    return reply
            await asyncio.sleep(RETRY_S)
