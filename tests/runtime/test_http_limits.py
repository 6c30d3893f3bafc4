"""What callers make an HTTP server for JSON calls hold is bounded by its budget."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from otterreach.runtime.http import JsonServer, Reply
from otterreach.runtime.json_size import decoded_size
from otterreach.sidecar import http1
from otterreach.sidecar.memory_budget import MemoryBudget
from tests import virtual
from tests.runtime.test_http_calls import HOST, PORT, RawClient
from tests.virtual import MemoryLoop, MemoryTransport, connect

MIB = 1024 * 1024


async def answer(request: http1.Request) -> Reply:
    return Reply(200, b"%d" % len(request.body))


async def client_of(server: JsonServer) -> tuple[RawClient, MemoryTransport]:
    loop: Any = asyncio.get_running_loop()
    raw = RawClient()
    transport, _ = connect(raw, loop.listeners[(HOST, PORT)]())
    return raw, transport


def post(body: bytes, length: int | None = None) -> bytes:
    return b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (length or len(body), body)


def test_stalled_bodies_are_refused_in_favour_of_others() -> None:
    async def main() -> None:
        budget = MemoryBudget(4 * MIB, asyncio.get_running_loop().time)
        server = JsonServer(answer, budget)
        await server.listen(HOST, PORT)
        stalled = [await client_of(server) for _ in range(5)]
        for _, transport in stalled:
            transport.write(post(b"x" * MIB, MIB + 1))
            await asyncio.sleep(0.1)
            assert budget.used_bytes <= budget.limit_bytes
        refused = [raw.data for raw, _ in stalled if raw.data]
        assert refused
        assert all(data.startswith(b"HTTP/1.1 503") and b"Retry-After: " in data for data in refused)
        ordinary, transport = await client_of(server)
        transport.write(post(b"x" * 100))
        await asyncio.sleep(0.1)
        assert ordinary.data.startswith(b"HTTP/1.1 200")

    virtual.run(main, MemoryLoop())


def test_what_a_call_held_is_given_back() -> None:
    async def main() -> None:
        budget = MemoryBudget(4 * MIB, asyncio.get_running_loop().time)
        server = JsonServer(answer, budget, working_size=lambda body: 2 * len(body))
        await server.listen(HOST, PORT)
        raw, transport = await client_of(server)
        for _ in range(5):
            transport.write(post(b"x" * MIB))
            await asyncio.sleep(0.1)
        assert raw.data.count(b"HTTP/1.1 200") == 5
        assert budget.used_bytes == 0
        transport.write(post(b"x" * 100, 200))
        await asyncio.sleep(0.1)
        assert budget.used_bytes > 0
        transport.abort()
        await asyncio.sleep(0.1)
        assert budget.used_bytes == 0

    virtual.run(main, MemoryLoop())


def test_a_body_whose_handling_never_fits_is_too_large() -> None:
    async def main() -> None:
        server = JsonServer(
            answer,
            MemoryBudget(4 * MIB, asyncio.get_running_loop().time, 8 * MIB),
            working_size=lambda body: 10 * len(body),
        )
        await server.listen(HOST, PORT)
        raw, transport = await client_of(server)
        transport.write(post(b"x" * MIB) + post(b"x"))
        await asyncio.sleep(0.1)
        statuses = [part.split(b" ", 1)[0] for part in raw.data.split(b"HTTP/1.1 ")[1:]]
        assert statuses == [b"413", b"200"]

    virtual.run(main, MemoryLoop())


def test_the_quietest_connection_makes_room_for_a_new_one() -> None:
    async def main() -> None:
        server = JsonServer(answer, max_connections=2)
        await server.listen(HOST, PORT)
        clients = []
        for _ in range(3):
            clients.append(await client_of(server))
            await asyncio.sleep(0.1)
        assert [raw.lost for raw, _ in clients] == [True, False, False]

    virtual.run(main, MemoryLoop())


def test_the_estimate_covers_documents_of_tiny_values() -> None:
    values: list[Any] = [[], {}, 0, [[[]]], {"a": [0]}, "x" * 100]
    for value in values:
        document = json.dumps([value] * 1000, separators=(",", ":")).encode()
        assert decoded_size(document) >= 1000 * 56 or isinstance(value, str)
        assert decoded_size(document) >= 2 * len(document)
