"""Persistent connections: reuse, abandoned calls that occupy them, and loss of the peer process."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random

from otterreach.runtime.http import JsonServer, Reply
from otterreach.sidecar import http1
from otterreach.simulation.coordination_client import WireFaults, WireRequest
from otterreach.simulation.coordination_history import NO_STATUS, CoordinationHistory, NumberRequest
from otterreach.soak.wire import MAX_CONNECTIONS, PersistentConnectionClient
from tests import virtual

ADDRESS = ("10.0.0.1", 8144)
REQUEST = WireRequest("POST", "/numbers/n0", {})


class Server:
    """Server that answers with increasing numbers, each after the next of `delays`."""

    def __init__(self) -> None:
        self.delays: deque[float] = deque()
        self.value = 0
        self.json_server = JsonServer(self._handle)

    async def _handle(self, request: http1.Request) -> Reply:
        self.value += 1
        value = self.value
        await asyncio.sleep(self.delays.popleft() if self.delays else 0.0)
        return Reply(200, json.dumps({"value": value}).encode())


Body = Callable[[virtual.MemoryLoop, Server, PersistentConnectionClient], Awaitable[None]]


def run_with_server(body: Body) -> None:
    loop = virtual.MemoryLoop()

    async def main() -> None:
        server = Server()
        await server.json_server.listen(*ADDRESS)
        addresses = [f"{ADDRESS[0]}:{ADDRESS[1]}"]
        client = PersistentConnectionClient(Random(1), lambda: addresses, WireFaults(), CoordinationHistory())
        await body(loop, server, client)
        client.close()

    virtual.run(main, loop)


def new_call(loop: virtual.MemoryLoop) -> NumberRequest:
    return NumberRequest(sent=loop.time(), name="n0")


def test_one_connection_serves_all_calls() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: PersistentConnectionClient) -> None:
        for value in range(1, 11):
            assert await client.exchange(new_call(loop), REQUEST) == {"value": value}
        assert loop.opened == 1

    run_with_server(body)


def test_a_late_answer_is_not_taken_for_that_of_another_call() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: PersistentConnectionClient) -> None:
        server.delays.append(3.0)
        abandoned = new_call(loop)
        assert await client.exchange(abandoned, REQUEST) == {}
        assert abandoned.status == NO_STATUS
        assert await client.exchange(new_call(loop), REQUEST) == {"value": 2}
        assert loop.opened == 2
        assert abandoned.exchange_ended_at > loop.time(), "the call may still take effect"
        await asyncio.sleep(3.0)
        assert abandoned.exchange_ended_at < loop.time()
        assert await client.exchange(new_call(loop), REQUEST) == {"value": 3}
        assert loop.opened == 2, "the connection of the abandoned call is reused"

    run_with_server(body)


def test_connections_to_a_silent_process_are_bounded() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: PersistentConnectionClient) -> None:
        server.delays.extend([30.0] * 20)
        for _ in range(3 * MAX_CONNECTIONS):
            await client.exchange(new_call(loop), REQUEST)
        assert sum(not one._transport.is_closing() for one in server.json_server.callers) <= MAX_CONNECTIONS  # type: ignore[union-attr]

    run_with_server(body)


def test_the_end_of_the_process_ends_the_call() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: PersistentConnectionClient) -> None:
        server.delays.append(30.0)
        call = new_call(loop)
        started = loop.time()
        exchange = asyncio.ensure_future(client.exchange(call, REQUEST))
        await asyncio.sleep(0.2)
        for connection in list(server.json_server.callers):
            connection.abort()
        assert await exchange == {}
        assert loop.time() - started < 0.3
        assert call.exchange_ended_at < loop.time() + 0.01

    run_with_server(body)


def test_a_call_without_a_listener_gets_no_answer() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: PersistentConnectionClient) -> None:
        del loop.listeners[ADDRESS]
        call = new_call(loop)
        assert await client.exchange(call, REQUEST) == {}
        assert call.status == NO_STATUS
        assert call.exchange_ended_at <= loop.time()

    run_with_server(body)
