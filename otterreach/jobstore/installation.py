"""Installation: the transfer of a complete replica to a member whose replica lacks entries, in chunks.

The jobs are a copy as of one position. They are encoded one by one, and the event loop runs other work in between. Only
a chunk without an answer is sent again, over whatever connection there is then; chunks that have arrived are not
repeated. The time-out applies to one chunk. The replica is complete at the receiver once its END record is on disk.
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

CHUNK_BYTES = 256 * 1024  # approximate limit per message; pings share the connection and wait behind it
MIN_BYTES_PER_S = 64 * 1024  # below this throughput of the link or the receiver, chunks time out
RETRY_S = 0.1
NO_ANSWER = (Code.TIMED_OUT, Code.CLOSED, Code.UNREACHABLE)


def transfer_timeout_s(size: int) -> float:
    """Return the time-out of a call that carries `size` bytes at the lowest supported throughput."""
    return CALL_TIMEOUT_S + size / MIN_BYTES_PER_S


def size_of(entries: list[Entry]) -> int:
    """Return the approximate size of entries in a message, in bytes."""
    return sum(len(entry.body) for entry in entries)


def chunks_of(entries: Iterator[Entry]) -> Iterator[list[Entry]]:
    """Split entries into chunks of about CHUNK_BYTES. A larger entry forms a chunk by itself."""
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
    """The member that is filled, and the leadership under which this happens."""

    partition: int
    epoch: int
    session: int
    member: str


class Installation:
    """The transfer of one complete replica to one member."""

    def __init__(
        self, context: ReplicationContext, target: InstallationTarget, position: LogPosition, jobs: list[Job]
    ) -> None:
        """:param jobs: the jobs as of `position`; they must not change any more."""
        self.context = context
        self.target = target
        self.position = position
        self.jobs = jobs
        self.token = context.random.getrandbits(48) | 1
        self.sent_at = 0.0  # when the last chunk was sent

    async def run(self) -> ReplicaPosition | Failure:
        """Transfer the replica. Return the member's position once all of it is on disk there, or the Failure."""
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
        """Send a chunk, and retry until it is answered."""
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
