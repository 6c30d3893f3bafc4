"""The watch: lists are applied in time, whatever discovery does."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from otterreach.sidecar import __main__ as program
from otterreach.sidecar import discovery
from otterreach.sidecar.config import Address, load
from otterreach.sidecar.discovery import ObjectSplitter, Watch
from tests.balancer.support import MS
from tests.balancer.support import settings as module_settings
from tests.sidecar.net import (
    Discovery,
    Endpoint,
    exchange,
    limited,
    member,
    member_list,
    raw_call,
    read_request,
    unconnectable_address,
    until,
    world,
    write_config,
)
from tests.sidecar.test_reload import write_discovery_address

HEALTH = b"GET /healthz HTTP/1.1\r\n\r\n"
ADDRESS = Address("127.0.0.1", 9)
UPDATES = [
    member_list(1, []),
    member_list(2, [member("s-1", ADDRESS), member('odd "{[}\\', ADDRESS, "draining")], complete=False),
    member_list(3, [member(f"s-{n}", ADDRESS, cell=n) for n in range(5)]),
]
INDENTS: list[Any] = [None, 0, 1, 4, "\t"]


def format_update(update: dict[str, Any], indent: Any) -> bytes:
    return json.dumps(update, indent=indent).encode() + b"\n"


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(UPDATES), st.sampled_from(INDENTS), st.integers(0, 2)), max_size=6),
    st.integers(1, 200),
)
def test_objects_come_on_a_line_or_laid_out_over_many(parts: list[tuple[dict[str, Any], Any, int]], size: int) -> None:
    data = b"".join(format_update(update, indent) + b"\n" * empty for update, indent, empty in parts)
    objects, found = ObjectSplitter(), []
    for at in range(0, len(data), size):
        found += objects.feed(data[at : at + size])
    assert [json.loads(text) for text in found] == [update for update, _, _ in parts]


def format_entry_per_line(update: dict[str, Any]) -> bytes:
    """Format a list with one entry per line, without indentation."""
    head = json.dumps(update | {"members": 0})[:-2].encode()
    return head + b"[\n" + b",\n".join(json.dumps(m).encode() for m in update["members"]) + b"\n]}\n"


@pytest.mark.parametrize("next_indent", INDENTS)
@pytest.mark.parametrize("indent", INDENTS)
@pytest.mark.parametrize("heartbeat", [b"", b"\n"])
def test_a_truncated_list_does_not_hide_the_next_one(indent: Any, next_indent: Any, heartbeat: bytes) -> None:
    complete_list = format_update(UPDATES[2], indent)
    for length in range(1, len(complete_list) - 2, 3):
        found = ObjectSplitter().feed(
            complete_list[:length] + b"\n" + heartbeat + format_update(UPDATES[1], next_indent)
        )
        assert json.loads(found[-1]) == UPDATES[1]


def test_an_entry_a_line_is_one_list() -> None:
    data = format_entry_per_line(UPDATES[2])
    assert [json.loads(text) for text in ObjectSplitter().feed(data)] == [UPDATES[2]]


@pytest.mark.parametrize("line", [b"}", b"]]", b"null", b"7", b"[1]", b"{nonsense", b"\xff\xfe", b"{]"])
def test_a_line_that_is_no_object_is_returned_once_and_hides_no_list(line: bytes) -> None:
    found = ObjectSplitter().feed(line + b"\n" + format_update(UPDATES[2], None))
    assert found == [line, format_update(UPDATES[2], None).strip()]


def test_an_endless_object_is_rejected() -> None:
    objects = ObjectSplitter()
    objects.feed(b'{"members":[\n')
    with pytest.raises(OSError):
        for _ in range(8):
            objects.feed(b" [[[\n" * 200_000)


@limited
async def test_an_indented_list_is_in_force(tmp_path: Path) -> None:
    old, new = Endpoint(), Endpoint()
    async with old.serve(), new.serve(), world(tmp_path, old) as setup:
        await until(lambda: bool(setup.discovery.connections))
        changes = [member("s-0", old.address, "draining"), member("s-9", new.address)]
        setup.discovery.send_line(json.dumps(member_list(2, changes, complete=False), indent=2).encode())
        while (await exchange(setup.address, raw_call("once"))).status != 200 or not new.requests:
            pass
        before = len(old.requests)
        for n in range(8):
            assert (await exchange(setup.address, raw_call("once", f"t{n}"))).status == 200
        assert len(old.requests) == before


def test_a_silent_watch_is_reopened_before_missed_updates_count() -> None:
    """The time-outs and backoffs fit the limits for missed updates.

    Empty lines are due every 2 s. Missed updates count as received 6 s after the last data, or 4 s after a change of
    the address. A call may be rejected once, after a second.
    """
    again_s = discovery.ANSWER_TIMEOUT_S + discovery.INITIAL_BACKOFF_S + 1.0
    assert discovery.ANSWER_TIMEOUT_S > 2.5
    assert again_s + discovery.CONNECT_TIMEOUT_S + 2 * discovery.INITIAL_BACKOFF_S < 6.0
    assert discovery.ANSWER_TIMEOUT_S + discovery.INITIAL_BACKOFF_S < 4.0


class Silent(Discovery):
    """A discovery service that accepts calls and sends nothing until told to."""

    async def _connected(self, *streams: Any) -> None:
        self.targets.append((await read_request(streams[0])).target)
        self.connections.append(streams)

    def answer(self) -> None:
        self.connections[-1][1].write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")


@limited
async def test_a_move_to_a_silent_address_is_tried_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.1)
    silent = Silent()
    async with Endpoint().serve() as endpoint, silent.serve(), world(tmp_path, endpoint) as setup:
        await until(lambda: bool(setup.discovery.connections))
        write_discovery_address(tmp_path / "config.json", silent.address)
        setup.signals.reload.set()
        await until(lambda: len(silent.connections) == 2)
        silent.answer()  # its revision is lower, and its list is still valid
        silent.send_line(member_list(0, [member("s-0", endpoint.address, "draining")]))
        while (await exchange(setup.address, HEALTH)).status == 200:
            pass
        silent.connections[-1][1].transport.abort()
        await until(lambda: len(silent.connections) == 3)
        assert silent.targets == [b"/v1/servers?stream=1&index=1"] * 2 + [b"/v1/servers?stream=1&index=0"]


@limited
async def test_a_discovery_that_answers_slowly_is_given_more_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An open watch doesn't get more time, however slow the calls before it were."""
    timeouts, timeout = [], asyncio.timeout

    def short_timeout(seconds: float) -> asyncio.Timeout:
        timeouts.append(seconds)
        return timeout(0.001)

    monkeypatch.setattr(asyncio, "timeout", short_timeout)
    watch = Watch(ADDRESS, load(write_config(tmp_path, ADDRESS, [])).names, 1, lambda update: None)
    for answered in (False, False, False, False, True):
        with pytest.raises(TimeoutError):
            await watch._read(asyncio.StreamReader(), answered)
    assert timeouts == [3.0, 4.5, 6.0, 6.0, 3.0]
    monkeypatch.undo()
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.02)
    async with Silent().serve() as peer:
        watch.set_address(peer.address)
        running = asyncio.create_task(watch.run())
        await until(lambda: len(peer.connections) == 2)
        assert watch._answer_timeout_s > 0
        peer.answer()
        await until(lambda: watch._answer_timeout_s == 0)
        running.cancel()


@limited
async def test_a_connection_to_discovery_that_does_not_come_up_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """The connection time-out is shorter than the time-out for data."""
    monkeypatch.setattr(discovery, "CONNECT_TIMEOUT_S", 0.05)
    with unconnectable_address() as address:
        names = load(write_config(tmp_path, ADDRESS, [])).names
        running = asyncio.create_task(Watch(address, names, 1, lambda update: None).run())
        log, began = "", asyncio.get_running_loop().time()
        while log.count("discovery: no data within the time-out") < 2:
            await asyncio.sleep(0.01)
            log += capfd.readouterr().err
        assert asyncio.get_running_loop().time() - began < discovery.ANSWER_TIMEOUT_S
        running.cancel()


@pytest.mark.parametrize(
    ("changes", "most_s"),
    [
        ({"discovery": "push", "guarantees__drain_grace_ns": 600 * MS}, 0.3),
        ({"discovery": "push", "guarantees__drain_grace_ns": 0}, discovery.INITIAL_BACKOFF_S),
        ({"discovery": "ask", "guarantees__ask_within_ns": 2000 * MS}, 1.0),
    ],
)
def test_the_longest_backoff_follows_the_settings(changes: dict[str, Any], most_s: float) -> None:
    assert program._max_backoff_s(module_settings(**changes)) == most_s


@limited
async def test_the_backoff_does_not_exceed_its_limit(tmp_path: Path) -> None:
    """After many failures, discovery is called within the longest backoff once it is available again."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        names = load(write_config(tmp_path, ADDRESS, [])).names
        watch = Watch(Address(*listener.getsockname()), names, 1, lambda update: None, max_backoff_s=0.06)
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(0.5)  # all calls are refused; without the limit, the backoff would be longer by now
        listener.listen()
        listener.settimeout(0.0)
        loop = asyncio.get_running_loop()
        began = loop.time()
        peer, _ = await loop.sock_accept(listener)
        assert loop.time() - began < 0.2
        peer.close()
        running.cancel()


@asynccontextmanager
async def started(env: dict[str, str]) -> AsyncIterator[Address]:
    signals, listening = program.Signals(), asyncio.get_running_loop().create_future()
    task = asyncio.create_task(program.run(load(env), signals, listening.set_result))
    yield await listening
    signals.stop.set()
    await task


@pytest.mark.parametrize(("mode", "status"), [("push", 503), ("ask", 200)])
@limited
async def test_the_start_waits_for_pushed_lists_and_not_for_requested_ones(
    tmp_path: Path, mode: str, status: int
) -> None:
    async with Silent().serve() as silent, Endpoint().serve() as endpoint:
        env = write_config(tmp_path, silent.address, [member("s-0", endpoint.address)])
        file = Path(env["LB_CONFIG"])
        raw = json.loads(file.read_text())
        raw["settings"]["discovery"] = mode
        file.write_text(json.dumps(raw))
        async with started(env) as address:
            await until(lambda: bool(silent.connections))
            assert (await exchange(address, HEALTH)).status == status
            silent.answer()
            silent.send_line(member_list(1, [], complete=False))
            while (await exchange(address, HEALTH)).status != 200:
                pass


@limited
async def test_the_known_list_is_used_if_discovery_refuses_connections(tmp_path: Path) -> None:
    with socket.socket() as refusing:
        refusing.bind(("127.0.0.1", 0))
        async with Endpoint().serve() as endpoint:
            where = Address(*refusing.getsockname())
            async with started(write_config(tmp_path, where, [member("s-0", endpoint.address)])) as address:
                while (await exchange(address, HEALTH)).status != 200:
                    pass


@limited
async def test_a_list_that_could_not_be_applied_is_requested_again(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """After an exception while a list is applied, the watch is reopened and requests the same list again."""
    revisions: list[int] = []

    def take(update: Any) -> None:
        revisions.append(update.revision)
        if len(revisions) == 1:
            raise RuntimeError("no idea")

    names = load(write_config(tmp_path, ADDRESS, [])).names
    async with Discovery().serve() as peer:
        running = asyncio.create_task(Watch(peer.address, names, 1, take).run())
        for n in (1, 2):
            await until(lambda n=n: len(peer.connections) == n)  # type: ignore[misc]
            peer.send_line(member_list(2, [], complete=False))
            await until(lambda n=n: len(revisions) == n)  # type: ignore[misc]
        assert peer.targets == [b"/v1/servers?stream=1&index=1"] * 2
        running.cancel()
    assert "no idea" in capfd.readouterr().err
