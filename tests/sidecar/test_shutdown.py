"""Graceful shutdown: all accepted requests are answered in the time that the settings allow."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from time import monotonic
from typing import Any

import pytest

from otterreach.sidecar import __main__ as program
from otterreach.sidecar import server
from tests.balancer.support import MS, SECOND, raw_settings, settings
from tests.sidecar.net import (
    OK,
    SLACK_S,
    Endpoint,
    World,
    exchange,
    limited,
    raw_call,
    read_response,
    until,
    world,
)
from tests.sidecar.test_endpoints import never_answer


def classes(deadline_ns: int) -> list[dict[str, Any]]:
    """Return classes whose answers have a value up to the deadline, so that no request ends earlier."""
    changes = {"deadline-ns": deadline_ns, "late-worth": 1.0}
    return [row | changes for row in raw_settings()["request-classes"]]


async def send_until_received(endpoint: Endpoint, setup: World, trace: str, left_ms: int) -> asyncio.Task[Any]:
    """Send a request and wait until it has reached its endpoint."""
    before = len(endpoint.requests)
    call = asyncio.create_task(exchange(setup.address, raw_call("once", trace, left_ms)))
    await until(lambda: len(endpoint.requests) > before)
    return call


@limited
async def test_what_is_open_is_answered_within_the_longest_deadline_and_the_program_ends(
    tmp_path: Path,
) -> None:
    """A request whose client allows more time than any class must be answered before the process ends."""
    changes = {"request_classes": classes(800 * MS)}
    async with Endpoint(never_answer).serve() as endpoint, world(tmp_path, endpoint, **changes) as setup:
        before = await send_until_received(endpoint, setup, "t1", 60_000)
        began = monotonic()
        setup.signals.stop.set()
        await asyncio.sleep(0)
        after = await send_until_received(endpoint, setup, "t2", 60_000)
        for call in (before, after):
            assert (await call).status in (502, 504)
        await setup.task
        assert monotonic() - began < 0.8 + SLACK_S + server.FLUSH_S


@pytest.mark.parametrize(
    ("deadline_ns", "new_s", "all_s"),
    [(6 * SECOND, 3.6, 6.0), (5 * SECOND, 3.6, 5.0), (2 * SECOND, 2.0, 2.0), (100 * MS, 0.6, 0.6)],
)
def test_the_end_follows_the_settings_and_new_requests_the_earliest_kill(
    deadline_ns: int, new_s: float, all_s: float
) -> None:
    end = program._answer_deadlines_s(settings(request_classes=classes(deadline_ns)))
    assert end[0] == pytest.approx(new_s) and end[1] == pytest.approx(all_s)


@limited
async def test_a_request_that_comes_after_sigterm_is_answered_before_the_earliest_kill(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests that arrived before SIGTERM may take longer."""
    monkeypatch.setattr(program, "MAX_KILL_DEADLINE_S", 0.1)

    async def serve_the_first_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if endpoint.requests[-1].headers[b"x-trace-id"] == b"t1":
            await answered.wait()
            writer.write(OK)
        else:
            await reader.read()

    answered = asyncio.Event()
    changes = {"request_classes": classes(2 * SECOND)}
    async with Endpoint(serve_the_first_late).serve() as endpoint, world(tmp_path, endpoint, **changes) as setup:
        before = await send_until_received(endpoint, setup, "t1", 2000)
        began = monotonic()
        setup.signals.stop.set()
        await asyncio.sleep(0)
        after = await send_until_received(endpoint, setup, "t2", 2000)
        assert (await after).status == 502
        assert monotonic() - began < 0.7 + SLACK_S
        answered.set()
        assert (await before).status == 200
        await setup.task


@limited
async def test_what_was_read_behind_an_open_request_is_answered_too(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def answer_when_released(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(OK)

    async with Endpoint(answer_when_released).serve() as endpoint, world(tmp_path, endpoint) as setup:
        reader, writer = await asyncio.open_connection(*setup.address)
        writer.write(raw_call("once", "t1") + raw_call("once", "t2"))
        await until(lambda: len(endpoint.requests) == 1)
        setup.signals.stop.set()
        await asyncio.sleep(0)
        release.set()
        reply = await reader.read()
        assert re.findall(rb"HTTP/1.1 (\d+)", reply) == [b"200", b"200"]
        assert reply.count(b"Connection: close") == 1
        writer.close()
        await setup.task


@limited
async def test_half_a_request_is_answered_before_the_program_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The rest of a partial request may be in transit: a close without an answer would lose the request."""
    monkeypatch.setattr(server, "PARTIAL_REQUEST_GRACE_S", 0.1)
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as setup:
        reader, writer = await asyncio.open_connection(*setup.address)
        writer.write(raw_call("once", body=b"abc")[:-1])
        assert (await exchange(setup.address, raw_call())).status == 200  # so the partial request has been read
        setup.signals.stop.set()
        assert (await read_response(reader)).status == 503
        writer.close()
        await setup.task


@limited
async def test_an_idle_connection_with_a_request_in_the_kernel_is_not_closed(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as setup:
        reader, writer = await asyncio.open_connection(*setup.address)
        writer.write(raw_call("once", "t1"))
        assert (await read_response(reader)).status == 200
        # In one iteration of the event loop: the server has not read the request when it is stopped.
        writer.write(raw_call("once", "t2"))
        setup.signals.stop.set()
        response = await read_response(reader)
        assert (response.status, response.headers[b"connection"]) == (200, b"close")
        writer.close()
        await setup.task


@limited
async def test_a_new_connection_may_still_ask_after_sigterm(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as setup:
        reader, writer = await asyncio.open_connection(*setup.address)
        assert (await exchange(setup.address, raw_call())).status == 200  # so the first connection has been accepted
        kept_reader, kept = await asyncio.open_connection(*setup.address)
        kept.write(raw_call("once", "t1"))
        assert (await read_response(kept_reader)).keep_alive
        setup.signals.stop.set()
        assert await kept_reader.read() == b""  # the idle connection is closed
        writer.write(raw_call("once", "t2"))
        response = await read_response(reader)
        assert (response.status, response.headers[b"connection"]) == (200, b"close")
        writer.close()
        kept.close()
        await setup.task
