"""Clients that leave and times that end between two lines: nothing is sent on that nobody waits for."""

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
from otterreach.sidecar.endpoints import QUIET_PERIOD_S, Attempt
from otterreach.sidecar.server import ClientConnection
from tests.balancer.support import MS
from tests.sidecar.net import Endpoint, World, exchange, limited, raw_call, until, world
from tests.sidecar.test_endpoints import Driver, say_nothing
from tests.sidecar.test_sidecar import NEVER_RAN, driven


async def connected(it: World) -> socket.socket:
    """A client whose connection the sidecar reads from."""
    sock = socket.create_connection(it.address)
    sock.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
    sock.setblocking(False)
    assert await asyncio.get_running_loop().sock_recv(sock, 1000)
    return sock


def as_it_comes_up(monkeypatch: pytest.MonkeyPatch, happens: Callable[[], None]) -> None:
    """When a connection to an endpoint is up, before anything is written, with no turn of the loop."""
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def come_up(*args: Any, **names: Any) -> Any:
        result = await connect(*args, **names)
        happens()
        return result

    monkeypatch.setattr(loop, "create_connection", come_up)


@limited
async def test_a_request_whose_end_came_with_it_is_not_sent_on(tmp_path: Path) -> None:
    """As after a stall: both wait in the kernel, and the request is read first."""
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        client = await connected(it)
        await exchange(it.address, raw_call("once"))
        await asyncio.sleep(QUIET_PERIOD_S)  # a connection to the endpoint is at hand
        client.sendall(raw_call("once", "gone"))
        client.close()
        assert (await exchange(it.address, raw_call("once", "t2"))).status == 200
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"t1", b"t2"]


@limited
async def test_a_client_that_leaves_as_the_connection_comes_up_is_not_sent_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        client = await connected(it)
        as_it_comes_up(monkeypatch, client.close)
        client.sendall(raw_call("once", "gone"))
        await until(lambda: len(endpoint.connections) == 1)
        monkeypatch.undo()
        assert (await exchange(it.address, raw_call("once", "t2"))).status == 200
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"t2"]
        assert len(endpoint.connections) <= 2


@limited
async def test_a_client_that_leaves_before_a_further_attempt_gets_none(tmp_path: Path) -> None:
    left = False

    def decide(event: api.Event) -> list[api.Action]:
        nonlocal left
        if isinstance(event, api.Outcome):
            left = True  # its end is in the kernel, and the loop has not come to it
            return [] if event.finished else [api.Send(event.request, 1)]
        return [api.Send(event.request, 1)] if isinstance(event, api.Request) else []

    async with Endpoint(NEVER_RAN).serve() as endpoint, driven(tmp_path, endpoint, decide) as it:
        it.take(left=lambda: left)
        await until(lambda: len(it.module.outcomes()) == 2)
        assert [(o.status, o.finished) for o in it.module.outcomes()] == [
            (Status.FULL, False),
            (Status.MOOT, True),
        ]
        assert len(endpoint.requests) == 1 and not it.answers and not it.sidecar._exchanges


@limited
async def test_a_client_is_seen_to_leave_while_reading_pauses(tmp_path: Path) -> None:
    """So many requests ahead that no more are read: its end waits behind them."""
    async with Endpoint(say_nothing).serve() as endpoint, world(tmp_path, endpoint) as it:
        client = await connected(it)
        client.sendall(b"".join(raw_call("once", f"t{n}") for n in range(40)))
        await until(lambda: len(endpoint.requests) == 1)
        left = monotonic()
        client.close()
        await until(lambda: endpoint.ended == 1)
        assert monotonic() - left < 0.3
        assert (await exchange(it.address, b"GET /healthz HTTP/1.1\r\n\r\n")).status == 200
        assert len(endpoint.requests) == 1


@limited
async def test_what_is_out_of_time_when_its_connection_is_up_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop is behind: the timer that ends the attempt is still to come."""
    async with Endpoint().serve() as endpoint:
        driver = Driver(endpoint.address)
        late = driver.send(timeout_ns=500 * MS)

        def time_passes() -> None:
            late.deadline_ns = 0

        as_it_comes_up(monkeypatch, time_passes)
        await until(lambda: late.status is not None)
        assert late.status is Status.MOOT
        monkeypatch.undo()
        assert (await driver.result()).status is Status.OK
        assert len(endpoint.requests) == 1


@limited
async def test_what_a_request_needed_goes_with_it(tmp_path: Path) -> None:
    """Not with the collector, which comes seldom: until then a long day would fill the memory."""
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        gc.collect()
        gc.disable()
        try:
            for n in range(20):
                assert (await exchange(it.address, raw_call("once", f"t{n}"))).status == 200
            kept = [o for o in gc.get_objects() if isinstance(o, Attempt | ClientConnection)]
        finally:
            gc.enable()
        assert len(kept) <= 2
