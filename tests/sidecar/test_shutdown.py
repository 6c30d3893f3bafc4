"""A planned restart: everything taken gets its answer, in the time that the settings give."""

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
from tests.sidecar.test_endpoints import say_nothing


def classes(deadline_ns: int) -> list[dict[str, Any]]:
    """Worth something up to the deadline, so that nothing is given up before."""
    changes = {"deadline-ns": deadline_ns, "late-worth": 1.0}
    return [row | changes for row in raw_settings()["request-classes"]]


async def held_by(endpoint: Endpoint, it: World, trace: str, left_ms: int) -> asyncio.Task[Any]:
    """A request that has reached its endpoint."""
    before = len(endpoint.requests)
    call = asyncio.create_task(exchange(it.address, raw_call("once", trace, left_ms)))
    await until(lambda: len(endpoint.requests) > before)
    return call


@limited
async def test_what_is_open_is_answered_within_the_longest_deadline_and_the_program_ends(
    tmp_path: Path,
) -> None:
    """A client may give more time than any class: its request would be lost when the program ends."""
    changes = {"request_classes": classes(800 * MS)}
    async with Endpoint(say_nothing).serve() as endpoint, world(tmp_path, endpoint, **changes) as it:
        before = await held_by(endpoint, it, "t1", 60_000)
        began = monotonic()
        it.signals.stop.set()
        await asyncio.sleep(0)
        after = await held_by(endpoint, it, "t2", 60_000)
        for call in (before, after):
            assert (await call).status in (502, 504)
        await it.task
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
    """One that was there before may have longer than that."""
    monkeypatch.setattr(program, "MAX_KILL_DEADLINE_S", 0.1)

    async def serve_the_first_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if endpoint.requests[-1].headers[b"x-trace-id"] == b"t1":
            await answered.wait()
            writer.write(OK)
        else:
            await reader.read()

    answered = asyncio.Event()
    changes = {"request_classes": classes(2 * SECOND)}
    async with Endpoint(serve_the_first_late).serve() as endpoint, world(tmp_path, endpoint, **changes) as it:
        before = await held_by(endpoint, it, "t1", 2000)
        began = monotonic()
        it.signals.stop.set()
        await asyncio.sleep(0)
        after = await held_by(endpoint, it, "t2", 2000)
        assert (await after).status == 502
        assert monotonic() - began < 0.7 + SLACK_S
        answered.set()
        assert (await before).status == 200
        await it.task


@limited
async def test_what_was_read_behind_an_open_request_is_answered_too(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def held(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(OK)

    async with Endpoint(held).serve() as endpoint, world(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call("once", "t1") + raw_call("once", "t2"))
        await until(lambda: len(endpoint.requests) == 1)
        it.signals.stop.set()
        await asyncio.sleep(0)
        release.set()
        reply = await reader.read()
        assert re.findall(rb"HTTP/1.1 (\d+)", reply) == [b"200", b"200"]
        assert reply.count(b"Connection: close") == 1
        writer.close()
        await it.task


@limited
async def test_half_a_request_is_answered_before_the_program_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its last byte may be on its way: closed without a word, it would be lost."""
    monkeypatch.setattr(server, "PARTIAL_REQUEST_GRACE_S", 0.1)
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call("once", body=b"abc")[:-1])
        assert (await exchange(it.address, raw_call())).status == 200  # so it has been read
        it.signals.stop.set()
        assert (await read_response(reader)).status == 503
        writer.close()
        await it.task


@limited
async def test_an_idle_connection_with_a_request_in_the_kernel_is_not_closed(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call("once", "t1"))
        assert (await read_response(reader)).status == 200
        # Both in one turn of the loop: the server has not read the request when it is told to stop.
        writer.write(raw_call("once", "t2"))
        it.signals.stop.set()
        response = await read_response(reader)
        assert (response.status, response.headers[b"connection"]) == (200, b"close")
        writer.close()
        await it.task


@limited
async def test_a_new_connection_may_still_ask_after_sigterm(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        assert (await exchange(it.address, raw_call())).status == 200  # so it has been accepted
        kept_reader, kept = await asyncio.open_connection(*it.address)
        kept.write(raw_call("once", "t1"))
        assert (await read_response(kept_reader)).keep_alive
        it.signals.stop.set()
        assert await kept_reader.read() == b""  # it has been told to leave
        writer.write(raw_call("once", "t2"))
        response = await read_response(reader)
        assert (response.status, response.headers[b"connection"]) == (200, b"close")
        writer.close()
        kept.close()
        await it.task
