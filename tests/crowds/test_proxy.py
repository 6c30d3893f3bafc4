"""Crowds at the two listeners of a proxy."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from otterreach.loadtest.plan import HOST
from otterreach.runtime.metrics_listener import METRICS_PORT
from tests.crowds.clients import BODIES, Crowd, Kind
from tests.crowds.deployments import (
    ACCEPTED,
    BODY_BYTES,
    CLIENTS,
    CONNECTIONS,
    FEW_DESCRIPTORS,
    MIB,
    NOFILE,
    RAM_MIB,
    SERVED,
    batch_job,
    deployment,
    plan,
)

pytestmark = pytest.mark.crowd
READYZ_BODY_BYTES = 36 * MIB  # largest body that this listener takes
READYZ_CLIENTS = 12
UNREAD_HOLD_S = 3.0


def head(prefix: str) -> str:
    """Return the head of a client's request."""
    return f"POST {prefix}{{n}} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: crowd-{{n}}\r\n"


@pytest.mark.parametrize("kind", BODIES)
def test_clients_of_a_route(kind: Kind, tmp_path: Path) -> None:
    async def main() -> None:
        async with deployment(tmp_path, plan()) as system:
            crowd = Crowd(kind, CLIENTS, BODY_BYTES, head("/lookup/"))
            await system.crowd(crowd, system.front, "front")

    asyncio.run(main())


@pytest.mark.parametrize("kind", [Kind.WHOLE, Kind.SMALL_CHUNKS])
def test_clients_that_submit_batch_jobs(kind: Kind, tmp_path: Path) -> None:
    async def main() -> None:
        async with deployment(tmp_path, plan()) as system:
            crowd = Crowd(kind, CLIENTS, BODY_BYTES, head("/samples/"))
            await system.crowd(crowd, system.front, "front")

    asyncio.run(main())


@pytest.mark.parametrize("kind", BODIES)
def test_readiness(kind: Kind, tmp_path: Path) -> None:
    async def main() -> None:
        async with deployment(tmp_path, plan()) as system:
            crowd = Crowd(kind, READYZ_CLIENTS, READYZ_BODY_BYTES, f"POST /readyz HTTP/1.1\r\nHost: {HOST}\r\n")
            await system.crowd(crowd, system.readyz, "front")

    asyncio.run(main())


@pytest.mark.parametrize("listener", ["front", "readyz"])
def test_many_connections(listener: str, tmp_path: Path) -> None:
    async def main() -> None:
        async with deployment(tmp_path, plan(nofile=FEW_DESCRIPTORS)) as system:
            crowd = Crowd(Kind.UNFINISHED_HEAD, CONNECTIONS, BODY_BYTES, head("/lookup/"))
            address = system.front if listener == "front" else system.readyz
            await system.crowd(crowd, address, "front", FEW_DESCRIPTORS)

    asyncio.run(main())


@pytest.mark.parametrize("role", ["front", "core", "store"])
@pytest.mark.parametrize("kind", [Kind.WHOLE, Kind.SMALL_CHUNKS])
def test_figures(kind: Kind, role: str, tmp_path: Path) -> None:
    """Every role has a listener for figures."""

    async def main() -> None:
        async with deployment(tmp_path, plan()) as system:
            crowd = Crowd(kind, READYZ_CLIENTS, READYZ_BODY_BYTES, f"GET /metrics HTTP/1.1\r\nHost: {HOST}\r\n")
            await system.crowd(crowd, (system.machine(role).ip, METRICS_PORT), role)

    asyncio.run(main())


@pytest.mark.parametrize("connection", ["close", "keep-alive"])
def test_answers_that_are_not_read(connection: str, tmp_path: Path) -> None:
    """Clients ask for a body of some megabytes and don't read it."""

    async def main() -> None:
        async with deployment(tmp_path, plan()) as system:
            job = batch_job(BODY_BYTES, model="no server has it")
            await system.call_until("/samples/a", job, ACCEPTED)
            request = f"GET /items/ordinary-0?id=item HTTP/1.1\r\nHost: {HOST}\r\nConnection: {connection}\r\n\r\n"
            sockets = [socket.create_connection(system.front) for _ in range(CLIENTS)]
            try:
                async with system.observe("front") as front:
                    for client in sockets:
                        client.sendall(request.encode())
                    await asyncio.sleep(UNREAD_HOLD_S)
                    await system.call_until("/lookup/a", b"ordinary", SERVED)
            finally:
                for client in sockets:
                    client.close()
            print(f"front: {front}")
            front.check(RAM_MIB, NOFILE)

    asyncio.run(main())
