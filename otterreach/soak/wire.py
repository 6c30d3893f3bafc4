"""Client with persistent connections, each of which is used until the process at the other end is gone.

A call that its caller has given up on stays on its connection: its answer, or its late effect, may come seconds later,
for instance when a frozen process is thawed. The caller uses another connection meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from otterreach.sidecar import http1
from otterreach.simulation.coordination_client import HEADERS, CoordinationClient, WireFaults, WireRequest
from otterreach.simulation.coordination_history import Call, CoordinationHistory

CALL_TIMEOUT_S = 40.0  # time-out of a call on its connection, which is then closed
MAX_CONNECTIONS = 4  # connections of one client to one address


class PersistentConnection(asyncio.Protocol):
    """Connection that carries one call at a time."""

    def __init__(self) -> None:
        self.is_open = True
        self.is_busy = False
        self.unsolicited = b""  # data that came while no call was in progress
        self._parser = http1.ResponseParser()
        self._answer: asyncio.Future[http1.Response | None] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for later calls."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received data; complete the call if its response is complete."""
        if self._answer is None or self._answer.done():
            self.unsolicited += data
            return
        response = self._parser.feed(data)
        if response is not None:
            self._answer.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the call without a response: the process is gone or has closed the connection."""
        self.is_open = False
        if self._answer and not self._answer.done():
            self._answer.set_result(None)

    def close(self) -> None:
        """Abort the connection."""
        self.is_open = False
        if self._transport:
            self._transport.abort()

    async def exchange(self, data: bytes) -> http1.Response | None:
        """Send a request and return its response; None if the connection ended or the time-out passed."""
        assert self._transport
        assert not self.is_busy
        self.is_busy = True
        self._parser = http1.ResponseParser()
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                response = await self._answer
        except TimeoutError:
            response = None
        if response is None or not response.keep_alive:
            self.close()
        self.is_busy = False
        return response


class PersistentConnectionClient(CoordinationClient):
    """Coordination client that keeps its connections open."""

    def __init__(
        self, random: Random, addresses: Callable[[], list[str]], faults: WireFaults, history: CoordinationHistory
    ) -> None:
        super().__init__(random, addresses, faults, history)
        self._connections: dict[str, list[PersistentConnection]] = {}

    def close(self) -> None:
        """Close all connections."""
        for connections in self._connections.values():
            for connection in connections:
                connection.close()

    async def _send(self, call: Call, request: WireRequest, address: str, wait_s: float) -> http1.Response | None:
        """Carry out one call to its end, and record the time of the end in `call.exchange_ended_at`.

        The exchange may end later than its caller waits.
        """
        loop = asyncio.get_running_loop()
        connection = await self._acquire_connection(address, wait_s)
        if connection is None:
            call.exchange_ended_at = loop.time()
            return None
        wire = http1.Request(request.method.encode(), request.target.encode(), {}, request.encoded_body(), True)
        response = await connection.exchange(http1.encode_request(wire, address.encode(), HEADERS))
        call.exchange_ended_at = loop.time()
        return response

    async def _acquire_connection(self, address: str, wait_s: float) -> PersistentConnection | None:
        """Return an idle connection, opening one if there is none; None if it cannot be opened.

        At `MAX_CONNECTIONS` connections, the oldest is closed first.
        """
        open_connections = [one for one in self._connections.get(address, []) if one.is_open]
        self._connections[address] = open_connections
        idle = [one for one in open_connections if not one.is_busy]
        if idle:
            return idle[0]
        if len(open_connections) >= MAX_CONNECTIONS:
            open_connections.pop(0).close()
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(wait_s):
                _, connection = await loop.create_connection(PersistentConnection, host, int(port))
        except (OSError, TimeoutError):
            return None
        open_connections.append(connection)
        return connection


def derive_random(random: Random) -> Random:
    """Return a random generator seeded from another."""
    return Random(random.getrandbits(64))
