"""The clients of a crowd: what each sends, and that it stays open afterwards."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

Address = tuple[str, int]
MIB = 1024 * 1024
SHORT_BYTES = 10  # a stopping client leaves out the last bytes of its body
COMPLETE_EVERY = 4  # one client of so many sends its whole body
SEGMENT_BYTES = 1400
LARGE_CHUNK_BYTES = MIB
SMALL_CHUNK = b"2\r\nxx\r\n"
SMALL_CHUNK_DATA_BYTES = 2
LAST_CHUNK = b"0\r\n\r\n"
WRITE_BYTES = 256 * 1024  # of a body that goes out as a whole, or in chunks
FAR_OVER_LIMIT = 4  # times the limit, of a body that is just sent
PIPELINED = 8
SEND_TIMEOUT_S = 10.0  # after it a client that is not read stops sending, and stays open
DATA = b"x" * (2 * MIB)


class Kind(Enum):
    """What the clients of a crowd send."""

    WHOLE = "whole"
    PIECES = "pieces"
    LARGE_CHUNKS = "large_chunks"
    SMALL_CHUNKS = "small_chunks"
    ANNOUNCED_OVER_LIMIT = "announced_over_limit"
    SENT_OVER_LIMIT = "sent_over_limit"
    PIPELINED = "pipelined"
    UNFINISHED_HEAD = "unfinished_head"


BODIES = [kind for kind in Kind if kind is not Kind.UNFINISHED_HEAD]


@dataclass(frozen=True, slots=True)
class Crowd:
    """A number of clients, all of one kind. `limit` is the largest legal body in bytes."""

    kind: Kind
    clients: int
    limit: int
    head: str  # request line and headers without those of the framing; "{n}" stands for the number of the client

    def parts(self, number: int) -> Iterator[bytes]:
        """Yield what one client sends, in order."""
        head = self.head.replace("{n}", str(number))
        completes = number % COMPLETE_EVERY == 0
        size = self.limit if completes else self.limit - SHORT_BYTES
        if self.kind is Kind.WHOLE:
            yield with_length(head, self.limit)
            yield from cut(size, WRITE_BYTES)
        elif self.kind is Kind.PIECES:
            yield with_length(head, self.limit)
            yield from cut(size, SEGMENT_BYTES)
        elif self.kind is Kind.LARGE_CHUNKS:
            yield from large_chunks(head, size, completes)
        elif self.kind is Kind.SMALL_CHUNKS:
            yield from small_chunks(head, size, completes)
        elif self.kind is Kind.ANNOUNCED_OVER_LIMIT:
            yield with_length(head, FAR_OVER_LIMIT * self.limit)
            yield from cut(self.limit, WRITE_BYTES)
        elif self.kind is Kind.SENT_OVER_LIMIT:
            yield from large_chunks(head, FAR_OVER_LIMIT * self.limit, completes=False)
        elif self.kind is Kind.UNFINISHED_HEAD:
            yield head.encode()
        else:
            for request in range(PIPELINED):
                yield with_length(self.head.replace("{n}", f"{number}-{request}"), self.limit)
                yield from cut(self.limit, WRITE_BYTES)


def with_length(head: str, length: int) -> bytes:
    """Return a head that announces the length of its body."""
    return f"{head}Content-Length: {length}\r\n\r\n".encode()


def chunked(head: str) -> bytes:
    """Return a head that announces a chunked body."""
    return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()


def cut(size: int, piece: int) -> Iterator[bytes]:
    """Yield `size` bytes in pieces."""
    for offset in range(0, size, piece):
        yield DATA[: min(piece, size - offset)]


def large_chunks(head: str, size: int, completes: bool) -> Iterator[bytes]:
    """Yield a body in large chunks; without `completes` its last chunk has no end."""
    yield chunked(head)
    for offset in range(0, size, LARGE_CHUNK_BYTES):
        length = min(LARGE_CHUNK_BYTES, size - offset)
        yield b"%x\r\n" % length
        yield from cut(length, WRITE_BYTES)
        if offset + length < size or completes:
            yield b"\r\n"
    if completes:
        yield LAST_CHUNK


def small_chunks(head: str, size: int, completes: bool) -> Iterator[bytes]:
    """Yield a body in chunks of two bytes; without `completes` the last chunk of the body is missing."""
    yield chunked(head)
    chunks = size // SMALL_CHUNK_DATA_BYTES
    per_write = WRITE_BYTES // len(SMALL_CHUNK)
    for first in range(0, chunks, per_write):
        yield SMALL_CHUNK * min(per_write, chunks - first)
    if completes:
        yield LAST_CHUNK


class OpenCrowd:
    """The connections of a crowd, which stay open until `close`."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    async def send(self, crowd: Crowd, address: Address) -> None:
        """Connect all clients and let each send what it has to, all at once. Refused clients stop sending."""
        await asyncio.gather(*(self._send_one(crowd, number, address) for number in range(crowd.clients)))

    async def _send_one(self, crowd: Crowd, number: int, address: Address) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        self._sockets.append(sock)
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await loop.sock_connect(sock, address)
                for part in crowd.parts(number):
                    await loop.sock_sendall(sock, part)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()
