"""A long body is written in parts, as the server reads them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from otterreach.sidecar.transport import WRITE_BYTES, ServerConnection, open_tcp
from tests.sidecar.net import limited, until

BODY = bytes(range(256)) * 4096 * 16  # 16 MiB
HEAD = b"head"


class Writer(ServerConnection):
    """A connection that gives access to its transport."""

    def start(self, head: bytes, body: bytes) -> None:
        self._write(head, body)

    def abort(self) -> None:
        self._abort()

    @property
    def buffered_bytes(self) -> int:
        assert self._transport
        return self._transport.get_write_buffer_size()


def listener() -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    sock.setblocking(False)
    return sock


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[Writer, socket.socket]]:
    """Yield a connection and the server's side of it."""
    with listener() as server:
        connection = await open_tcp(server.getsockname(), Writer)
        theirs, _ = await asyncio.get_running_loop().sock_accept(server)
        with theirs:
            yield connection, theirs


@limited
async def test_a_server_that_does_not_read_costs_no_copy_of_the_body() -> None:
    loop = asyncio.get_running_loop()
    async with connected() as (connection, theirs):
        connection.start(HEAD, BODY)
        await asyncio.sleep(0.05)
        assert connection.has_unsent_data
        assert connection.buffered_bytes <= WRITE_BYTES
        received = bytearray()
        while len(received) < len(HEAD + BODY):
            received += await loop.sock_recv(theirs, 1 << 20)
        assert received == HEAD + BODY
        await until(lambda: not connection.has_unsent_data)
        connection.abort()


@limited
async def test_an_aborted_request_is_not_completed() -> None:
    loop = asyncio.get_running_loop()
    async with connected() as (connection, theirs):
        connection.start(HEAD, BODY)
        connection.abort()
        assert connection.has_unsent_data
        received = 0
        with pytest.raises(ConnectionResetError):
            while data := await loop.sock_recv(theirs, 1 << 20):
                received += len(data)
            raise ConnectionResetError
        assert received < len(BODY)
