"""Loopback server that reads its connections late, as after a network partition between sender and receiver."""

from __future__ import annotations

import asyncio
import socket

# Iterations of the event loop before reading. The loop closes an aborted socket one iteration later, and reads that
# find data may never yield to it.
LOOP_ITERATIONS = 5
BUFFER_BYTES = 4096  # small, so that most of the data waits in the sender's kernel


class LateReader:
    """Context manager that listens from its construction until its exit."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.address: tuple[str, int] = self._listener.getsockname()

    def __enter__(self) -> LateReader:
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.close()

    async def accept(self) -> socket.socket:
        """Accept and return a connection."""
        connection, _ = await asyncio.get_running_loop().sock_accept(self._listener)
        return connection


async def read_to_the_end(connection: socket.socket) -> tuple[int, bool]:
    """Read to the end; return the number of bytes, and True if the connection ended with a reset."""
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
    loop = asyncio.get_running_loop()
    received = 0
    with connection:
        try:
            while data := await loop.sock_recv(connection, 1 << 20):
                received += len(data)
        except ConnectionResetError:
            return received, True
    return received, False
