"""Calls over connections that stay open: a caller uses one until the process at its other end is gone.

A call that its caller has given up stays on its connection. Its answer, or its late effect, may come seconds later,
for instance when a frozen process goes on. Meanwhile the caller uses another connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from otterreach.sidecar import http1
from otterreach.simulation.coordination_client import HEADERS, CoordinationClient, WireFaults, WireRequest
from otterreach.simulation.coordination_history import Call, CoordinationHistory

ABANDONED_S = 40.0  # a call without an answer for so long ends its connection
MAX_OPEN = 4  # connections of one caller to one address


class OpenConnection(asyncio.Protocol):
    """One connection, with one call at a time."""

    def __init__(self) -> None:
        self.is_open = True
        self.is_busy = False
        self._parser = http1.ResponseParser()
        self._answer: asyncio.Future[http1.Response | None] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what has come of the answer."""
        response = self._parser.feed(data)
        if response is not None and self._answer and not self._answer.done():
            self._answer.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """The process is gone, or has closed the connection."""
        self.is_open = False
        if self._answer and not self._answer.done():
            self._answer.set_result(None)

    def close(self) -> None:
        """Close at once."""
        self.is_open = False
        if self._transport:
            self._transport.abort()

    async def exchange(self, data: bytes) -> http1.Response | None:
        """Send a call and wait for its answer, or for the end of the connection."""
        assert self._transport
        assert not self.is_busy
        self.is_busy = True
        self._parser = http1.ResponseParser()
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            async with asyncio.timeout(ABANDONED_S):
                response = await self._answer
        except TimeoutError:
            response = None
        if response is None or not response.keep_alive:
            self.close()
        self.is_busy = False
        return response


class OpenConnectionClient(CoordinationClient):
    """A caller that keeps its connections open."""

    def __init__(
        self, random: Random, addresses: Callable[[], list[str]], faults: WireFaults, history: CoordinationHistory
    ) -> None:
        super().__init__(random, addresses, faults, history)
        self._connections: dict[str, list[OpenConnection]] = {}

    def close(self) -> None:
        """Close all connections."""
        for connections in self._connections.values():
            for connection in connections:
                connection.close()

    async def _send(self, call: Call, request: WireRequest, address: str, wait_s: float) -> http1.Response | None:
        """The whole life of one call, which may be longer than its caller waits."""
        loop = asyncio.get_running_loop()
        connection = await self._take(address, wait_s)
        if connection is None:
            call.over = loop.time()
            return None
        wire = http1.Request(request.method.encode(), request.target.encode(), {}, request.encoded_body(), True)
        response = await connection.exchange(http1.encode_request(wire, address.encode(), HEADERS))
        call.over = loop.time()
        return response

    async def _take(self, address: str, wait_s: float) -> OpenConnection | None:
        """A connection that no call uses, opened if there is none; None if it can't be opened."""
        known = [one for one in self._connections.get(address, []) if one.is_open]
        self._connections[address] = known
        idle = [one for one in known if not one.is_busy]
        if idle:
            return idle[0]
        if len(known) >= MAX_OPEN:
            known.pop(0).close()
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(wait_s):
                _, connection = await loop.create_connection(OpenConnection, host, int(port))
        except (OSError, TimeoutError):
            return None
        known.append(connection)
        return connection


def random_of(random: Random) -> Random:
    """A source of chance of its own, drawn from another."""
    return Random(random.getrandbits(64))
