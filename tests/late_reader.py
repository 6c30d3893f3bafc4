"""A server on loopback that reads what was sent to it late, as behind a path that was cut meanwhile."""

from __future__ import annotations

import asyncio
import socket

LOOP_TURNS = 5  # the loop closes a socket that was given up a turn later, and reading might never give it that turn
BUFFER_BYTES = 4096  # the less fits here, the more waits in the sender's kernel


class LateReader:
    """Listens from the start on; a context manager."""

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
        """The connection that has been opened."""
        connection, _ = await asyncio.get_running_loop().sock_accept(self._listener)
        return connection


async def read_to_the_end(connection: socket.socket) -> tuple[int, bool]:
    """How many bytes still come, and whether a reset ends them."""
    for _ in range(LOOP_TURNS):
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
