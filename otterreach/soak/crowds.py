"""Crowds of clients that don't behave: many large bodies at once, which stop short of their end and stay open.

They reach the listeners of controllers and proxies while processes are disrupted. A process that holds more memory than
its settings allow breaks a rule of the soak.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import suppress
from enum import Enum
from random import Random

from otterreach.loadtest.machines import CTL_PORT, FRONT_PORT, READYZ_PORT, Machine
from otterreach.soak.fleet import Fleet

MEAN_PAUSE_S = 2.0  # between two crowds
HOLDS_S = (0.0, 1.0, 4.0)  # time for which a crowd stays open after its last byte
SEND_TIMEOUT_S = 4.0  # clients that are not read stop sending after this time
BODY_BYTES = 16 * 1024 * 1024
UNSENT_BYTES = 10
PIECE_BYTES = 64 * 1024
SMALL_CHUNK = b"2\r\nxx\r\n"
SMALL_CHUNKS = 200_000
DATA = b"x" * PIECE_BYTES
LISTENERS = {
    "core": ((CTL_PORT, "PUT /config"), (CTL_PORT, "PUT /servers/crowd")),
    "front": ((FRONT_PORT, "POST /lookup/crowd"), (READYZ_PORT, "GET /readyz")),
}


class Framing(Enum):
    """How the clients of a crowd send their bodies."""

    LENGTH = "length"
    CHUNKS = "chunks"
    SMALL_CHUNKS = "small_chunks"


def parts(request: str, framing: Framing) -> Iterator[bytes]:
    """Yield what one client sends: all but the end of a request."""
    head = f"{request} HTTP/1.1\r\nHost: crowd\r\nRequest-Id: crowd\r\n"
    if framing is Framing.LENGTH:
        yield f"{head}Content-Length: {BODY_BYTES}\r\n\r\n".encode()
    else:
        yield f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
    if framing is Framing.SMALL_CHUNKS:
        per_part = PIECE_BYTES // len(SMALL_CHUNK)
        for _ in range(SMALL_CHUNKS // per_part):
            yield SMALL_CHUNK * per_part
        return
    if framing is Framing.CHUNKS:
        yield b"%x\r\n" % BODY_BYTES
    for offset in range(0, BODY_BYTES - UNSENT_BYTES, PIECE_BYTES):
        yield DATA[: BODY_BYTES - UNSENT_BYTES - offset]


class Crowds:
    """Sends one crowd after the other to random listeners of a fleet."""

    def __init__(self, fleet: Fleet, clients: int, random: Random) -> None:
        """:param clients: number of clients of a crowd"""
        self.fleet = fleet
        self.clients = clients
        self.random = random
        self.sent = 0

    async def run(self) -> None:
        """Send crowds until cancelled."""
        while True:
            await asyncio.sleep(self.random.expovariate(1.0 / MEAN_PAUSE_S))
            machines = [machine for machine in self.fleet.system.machines if machine.kind in LISTENERS]
            await self._send(self.random.choice(machines), self.random.choice(list(Framing)))

    async def _send(self, machine: Machine, framing: Framing) -> None:
        port, request = self.random.choice(LISTENERS[machine.kind])
        hold_s = self.random.choice(HOLDS_S)
        sockets = [socket.socket() for _ in range(self.clients)]
        self.sent += 1
        self.fleet.open_crowds += 1
        try:
            await asyncio.gather(
                *(self._send_one(client, (machine.ip, port), parts(request, framing)) for client in sockets)
            )
            await asyncio.sleep(hold_s)
        finally:
            self.fleet.open_crowds -= 1
            for client in sockets:
                client.close()

    async def _send_one(self, client: socket.socket, address: tuple[str, int], data: Iterator[bytes]) -> None:
        loop = asyncio.get_running_loop()
        client.setblocking(False)
        with suppress(OSError, TimeoutError):  # refused, or the process is down, frozen or busy
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await loop.sock_connect(client, address)
                for part in data:
                    await loop.sock_sendall(client, part)
