"""Connections that stay open: used again and again, left busy by a call that was given up, gone with their process."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random

from otterreach.runtime.http import JsonServer, Reply
from otterreach.sidecar import http1
from otterreach.simulation.coordination_client import WireFaults, WireRequest
from otterreach.simulation.coordination_history import SILENCE, CoordinationHistory, NumberRequest
from otterreach.soak.wire import MAX_OPEN, OpenConnectionClient
from tests import virtual

ADDRESS = ("10.0.0.1", 8144)
REQUEST = WireRequest("POST", "/numbers/n0", {})


class Server:
    """Answers with rising numbers, each after the next of the delays."""

    def __init__(self) -> None:
        self.delays: deque[float] = deque()
        self.value = 0
        self.json_server = JsonServer(self._handle)

    async def _handle(self, request: http1.Request) -> Reply:
        self.value += 1
        value = self.value
        await asyncio.sleep(self.delays.popleft() if self.delays else 0.0)
        return Reply(200, json.dumps({"value": value}).encode())


Body = Callable[[virtual.MemoryLoop, Server, OpenConnectionClient], Awaitable[None]]


def play(body: Body) -> None:
    loop = virtual.MemoryLoop()

    async def main() -> None:
        server = Server()
        await server.json_server.listen(*ADDRESS)
        addresses = [f"{ADDRESS[0]}:{ADDRESS[1]}"]
        client = OpenConnectionClient(Random(1), lambda: addresses, WireFaults(), CoordinationHistory())
        await body(loop, server, client)
        client.close()

    virtual.run(main, loop)


def a_call(loop: virtual.MemoryLoop) -> NumberRequest:
    return NumberRequest(sent=loop.time(), name="n0")


def test_one_connection_serves_all_calls() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: OpenConnectionClient) -> None:
        for value in range(1, 11):
            assert await client.exchange(a_call(loop), REQUEST) == {"value": value}
        assert loop.opened == 1

    play(body)


def test_the_late_answer_to_a_call_that_was_given_up_is_taken_for_no_other() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: OpenConnectionClient) -> None:
        server.delays.append(3.0)
        given_up = a_call(loop)
        assert await client.exchange(given_up, REQUEST) == {}
        assert given_up.status == SILENCE
        assert await client.exchange(a_call(loop), REQUEST) == {"value": 2}
        assert loop.opened == 2
        assert given_up.over > loop.time(), "it may still be done"
        await asyncio.sleep(3.0)
        assert given_up.over < loop.time()
        assert await client.exchange(a_call(loop), REQUEST) == {"value": 3}
        assert loop.opened == 2, "its connection is used again"

    play(body)


def test_connections_to_a_silent_process_are_bounded() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: OpenConnectionClient) -> None:
        server.delays.extend([30.0] * 20)
        for _ in range(3 * MAX_OPEN):
            await client.exchange(a_call(loop), REQUEST)
        assert sum(not connection._transport.is_closing() for connection in server.json_server.callers) <= MAX_OPEN  # type: ignore[union-attr]

    play(body)


def test_the_end_of_the_process_ends_the_call() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: OpenConnectionClient) -> None:
        server.delays.append(30.0)
        call = a_call(loop)
        begun = loop.time()
        exchange = asyncio.ensure_future(client.exchange(call, REQUEST))
        await asyncio.sleep(0.2)
        for connection in list(server.json_server.callers):
            connection.abort()
        assert await exchange == {}
        assert loop.time() - begun < 0.3
        assert call.over < loop.time() + 0.01

    play(body)


def test_nobody_listens() -> None:
    async def body(loop: virtual.MemoryLoop, server: Server, client: OpenConnectionClient) -> None:
        del loop.listeners[ADDRESS]
        call = a_call(loop)
        assert await client.exchange(call, REQUEST) == {}
        assert call.status == SILENCE
        assert call.over <= loop.time()

    play(body)
