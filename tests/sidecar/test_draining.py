"""Requests whose client leaves, or whose time ends, just before they are forwarded: they must not be sent."""

from __future__ import annotations

import asyncio
import gc
import socket
from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import Any

import pytest

from otterreach.balancer import interface as api
from otterreach.balancer.interface import Status
from otterreach.sidecar.client_connection import ClientConnection
from otterreach.sidecar.endpoints import QUIET_PERIOD_S, Attempt
from tests.balancer.support import MS
from tests.sidecar.net import Endpoint, World, exchange, limited, raw_call, until, world
from tests.sidecar.test_endpoints import Driver, never_answer
from tests.sidecar.test_sidecar import NEVER_RAN, driven


async def connected(setup: World) -> socket.socket:
    """Connect a client whose connection the sidecar has started to read."""
    sock = socket.create_connection(setup.address)
    sock.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
    sock.setblocking(False)
    assert await asyncio.get_running_loop().sock_recv(sock, 1000)
    return sock


def call_on_connect(monkeypatch: pytest.MonkeyPatch, happens: Callable[[], None]) -> None:
    """Call a function when a connection to an endpoint is open, before anything is written to it."""
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def come_up(*args: Any, **names: Any) -> Any:
        result = await connect(*args, **names)
        happens()
        return result

    monkeypatch.setattr(loop, "create_connection", come_up)


@limited
async def test_a_request_whose_end_came_with_it_is_not_sent_on(tmp_path: Path) -> None:
    """After a stall, the request and the client's close both wait in the kernel, and the request is read first."""
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as setup:
        client = await connected(setup)
        await exchange(setup.address, raw_call("once"))
        await asyncio.sleep(QUIET_PERIOD_S)  # the connection to the endpoint can be reused now
        client.sendall(raw_call("once", "gone"))
        client.close()
        assert (await exchange(setup.address, raw_call("once", "t2"))).status == 200
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"t1", b"t2"]


@limited
async def test_a_client_that_leaves_as_the_connection_comes_up_is_not_sent_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as setup:
        client = await connected(setup)
        call_on_connect(monkeypatch, client.close)
        client.sendall(raw_call("once", "gone"))
        await until(lambda: len(endpoint.connections) == 1)
        monkeypatch.undo()
        assert (await exchange(setup.address, raw_call("once", "t2"))).status == 200
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"t2"]
        assert len(endpoint.connections) <= 2


@limited
async def test_a_client_that_leaves_before_a_further_attempt_gets_none(tmp_path: Path) -> None:
    client_left = False

    def decide(event: api.Event) -> list[api.Action]:
        nonlocal client_left
        if isinstance(event, api.Outcome):
            client_left = True  # the kernel has the client's close, which the event loop has not read
            return [] if event.finished else [api.Send(event.request, 1)]
        return [api.Send(event.request, 1)] if isinstance(event, api.Request) else []

    async with Endpoint(NEVER_RAN).serve() as endpoint, driven(tmp_path, endpoint, decide) as setup:
        setup.submit(client_left=lambda: client_left)
        await until(lambda: len(setup.balancer.outcomes()) == 2)
        assert [(o.status, o.finished) for o in setup.balancer.outcomes()] == [
            (Status.FULL, False),
            (Status.MOOT, True),
        ]
        assert len(endpoint.requests) == 1 and not setup.answers and not setup.sidecar._exchanges


@limited
async def test_a_client_is_seen_to_leave_while_reading_pauses(tmp_path: Path) -> None:
    """With many pipelined requests, reading is paused, and the client's close waits behind them."""
    async with Endpoint(never_answer).serve() as endpoint, world(tmp_path, endpoint) as setup:
        client = await connected(setup)
        client.sendall(b"".join(raw_call("once", f"t{n}") for n in range(40)))
        await until(lambda: len(endpoint.requests) == 1)
        left_at = monotonic()
        client.close()
        await until(lambda: endpoint.ended == 1)
        assert monotonic() - left_at < 0.3
        assert (await exchange(setup.address, b"GET /healthz HTTP/1.1\r\n\r\n")).status == 200
        assert len(endpoint.requests) == 1


@limited
async def test_what_is_out_of_time_when_its_connection_is_up_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In a delayed event loop, the deadline has passed before the timer that ends the attempt has run."""
    async with Endpoint().serve() as endpoint:
        driver = Driver(endpoint.address)
        late = driver.send(timeout_ns=500 * MS)

        def time_passes() -> None:
            late.deadline_ns = 0

        call_on_connect(monkeypatch, time_passes)
        await until(lambda: late.status is not None)
        assert late.status is Status.MOOT
        monkeypatch.undo()
        assert (await driver.result()).status is Status.OK
        assert len(endpoint.requests) == 1


@limited
async def test_the_memory_of_a_request_is_freed_without_garbage_collection(tmp_path: Path) -> None:
    """Garbage collection is rare, so that reference cycles would fill the memory."""
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as setup:
        gc.collect()
        gc.disable()
        try:
            for n in range(20):
                assert (await exchange(setup.address, raw_call("once", f"t{n}"))).status == 200
            kept = [o for o in gc.get_objects() if isinstance(o, Attempt | ClientConnection)]
        finally:
            gc.enable()
        assert len(kept) <= 2
