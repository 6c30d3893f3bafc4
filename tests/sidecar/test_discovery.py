"""The watch: whatever discovery does, the list that it has told is in force in time."""

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
    no_room,
    raw_call,
    read_request,
    until,
    world,
    write_config,
)
from tests.sidecar.test_reload import name_discovery

HEALTH = b"GET /healthz HTTP/1.1\r\n\r\n"
PLACE = Address("127.0.0.1", 9)
UPDATES = [
    member_list(1, []),
    member_list(2, [member("s-1", PLACE), member('odd "{[}\\', PLACE, "draining")], complete=False),
    member_list(3, [member(f"s-{n}", PLACE, cell=n) for n in range(5)]),
]
INDENTS: list[Any] = [None, 0, 1, 4, "\t"]


def laid_out(update: dict[str, Any], indent: Any) -> bytes:
    return json.dumps(update, indent=indent).encode() + b"\n"


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(UPDATES), st.sampled_from(INDENTS), st.integers(0, 2)), max_size=6),
    st.integers(1, 200),
)
def test_objects_come_on_a_line_or_laid_out_over_many(parts: list[tuple[dict[str, Any], Any, int]], size: int) -> None:
    data = b"".join(laid_out(update, indent) + b"\n" * empty for update, indent, empty in parts)
    objects, found = ObjectSplitter(), []
    for at in range(0, len(data), size):
        found += objects.feed(data[at : at + size])
    assert [json.loads(text) for text in found] == [update for update, _, _ in parts]


def by_entry(update: dict[str, Any]) -> bytes:
    """An entry a line, each at the margin."""
    head = json.dumps(update | {"members": 0})[:-2].encode()
    return head + b"[\n" + b",\n".join(json.dumps(m).encode() for m in update["members"]) + b"\n]}\n"


@pytest.mark.parametrize("behind", INDENTS)
@pytest.mark.parametrize("indent", INDENTS)
@pytest.mark.parametrize("heard", [b"", b"\n"])
def test_a_list_that_was_cut_hides_none_behind_it(indent: Any, behind: Any, heard: bytes) -> None:
    whole = laid_out(UPDATES[2], indent)
    for cut in range(1, len(whole) - 2, 3):
        found = ObjectSplitter().feed(whole[:cut] + b"\n" + heard + laid_out(UPDATES[1], behind))
        assert json.loads(found[-1]) == UPDATES[1]


def test_an_entry_a_line_is_one_list() -> None:
    data = by_entry(UPDATES[2])
    assert [json.loads(text) for text in ObjectSplitter().feed(data)] == [UPDATES[2]]


@pytest.mark.parametrize("line", [b"}", b"]]", b"null", b"7", b"[1]", b"{nonsense", b"\xff\xfe", b"{]"])
def test_a_line_that_is_no_object_is_told_once_and_hides_none(line: bytes) -> None:
    found = ObjectSplitter().feed(line + b"\n" + laid_out(UPDATES[2], None))
    assert found == [line, laid_out(UPDATES[2], None).strip()]


def test_an_object_without_end_is_not_gathered_for_ever() -> None:
    objects = ObjectSplitter()
    objects.feed(b'{"members":[\n')
    with pytest.raises(OSError):
        for _ in range(8):
            objects.feed(b" [[[\n" * 200_000)


@limited
async def test_an_indented_list_is_in_force(tmp_path: Path) -> None:
    old, new = Endpoint(), Endpoint()
    async with old.serve(), new.serve(), world(tmp_path, old) as it:
        await until(lambda: bool(it.discovery.connections))
        changes = [member("s-0", old.address, "draining"), member("s-9", new.address)]
        it.discovery.say(json.dumps(member_list(2, changes, complete=False), indent=2).encode())
        while (await exchange(it.address, raw_call("once"))).status != 200 or not new.requests:
            pass
        before = len(old.requests)
        for n in range(8):
            assert (await exchange(it.address, raw_call("once", f"t{n}"))).status == 200
        assert len(old.requests) == before


def test_silence_is_noticed_in_the_time_that_the_pages_give() -> None:
    """Empty lines are due each 2 s.

    What is missed counts 6 s after the last word, 4 s after a move; the call may be turned away once, after a second.
    """
    again_s = discovery.ANSWER_TIMEOUT_S + discovery.INITIAL_BACKOFF_S + 1.0
    assert discovery.ANSWER_TIMEOUT_S > 2.5
    assert again_s + discovery.CONNECT_TIMEOUT_S + 2 * discovery.INITIAL_BACKOFF_S < 6.0
    assert discovery.ANSWER_TIMEOUT_S + discovery.INITIAL_BACKOFF_S < 4.0


class Silent(Discovery):
    """Takes calls, and says nothing."""

    async def _connected(self, *streams: Any) -> None:
        self.targets.append((await read_request(streams[0])).target)
        self.connections.append(streams)

    def answer(self) -> None:
        self.connections[-1][1].write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")


@limited
async def test_a_move_to_a_silent_address_is_tried_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.1)
    silent = Silent()
    async with Endpoint().serve() as endpoint, silent.serve(), world(tmp_path, endpoint) as it:
        await until(lambda: bool(it.discovery.connections))
        name_discovery(tmp_path / "config.json", silent.address)
        it.signals.reload.set()
        await until(lambda: len(silent.connections) == 2)
        silent.answer()  # it knows a lower revision, and what it tells is the list
        silent.say(member_list(0, [member("s-0", endpoint.address, "draining")]))
        while (await exchange(it.address, HEALTH)).status == 200:
            pass
        silent.connections[-1][1].transport.abort()
        await until(lambda: len(silent.connections) == 3)
        assert silent.targets == [b"/v1/servers?stream=1&index=1"] * 2 + [b"/v1/servers?stream=1&index=0"]


@limited
async def test_a_discovery_that_answers_slowly_is_given_more_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """And an open watch none, however slow the calls before it were."""
    given, timeout = [], asyncio.timeout

    def soon(seconds: float) -> asyncio.Timeout:
        given.append(seconds)
        return timeout(0.001)

    monkeypatch.setattr(asyncio, "timeout", soon)
    watch = Watch(PLACE, load(write_config(tmp_path, PLACE, [])).names, 1, lambda update: None)
    for answered in (False, False, False, False, True):
        with pytest.raises(TimeoutError):
            await watch._read(asyncio.StreamReader(), answered)
    assert given == [3.0, 4.5, 6.0, 6.0, 3.0]
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
    """Before the silence of an open one would have been noticed."""
    monkeypatch.setattr(discovery, "CONNECT_TIMEOUT_S", 0.05)
    with no_room() as address:
        names = load(write_config(tmp_path, PLACE, [])).names
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
def test_calls_to_a_lost_discovery_come_as_often_as_its_news_count(changes: dict[str, Any], most_s: float) -> None:
    assert program._max_backoff_s(module_settings(**changes)) == most_s


@limited
async def test_between_two_calls_no_more_time_passes_than_it_is_given(tmp_path: Path) -> None:
    """Back after many failures, discovery is asked as soon as that."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        names = load(write_config(tmp_path, PLACE, [])).names
        watch = Watch(Address(*listener.getsockname()), names, 1, lambda update: None, max_backoff_s=0.06)
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(0.5)  # refused all the while: unbounded, the wait has grown to more than that
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
async def test_pushed_lists_are_waited_for_at_the_start_and_asked_ones_are_not(
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
            silent.say(member_list(1, [], complete=False))
            while (await exchange(address, HEALTH)).status != 200:
                pass


@limited
async def test_with_nobody_to_push_lists_the_known_one_serves(tmp_path: Path) -> None:
    with socket.socket() as refusing:
        refusing.bind(("127.0.0.1", 0))
        async with Endpoint().serve() as endpoint:
            where = Address(*refusing.getsockname())
            async with started(write_config(tmp_path, where, [member("s-0", endpoint.address)])) as address:
                while (await exchange(address, HEALTH)).status != 200:
                    pass


@limited
async def test_what_could_not_be_taken_in_is_asked_for_again(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    """A fault of the program in taking a list costs a traceback and a new watch, not the list."""
    taken: list[int] = []

    def take(update: Any) -> None:
        taken.append(update.revision)
        if len(taken) == 1:
            raise RuntimeError("no idea")

    names = load(write_config(tmp_path, PLACE, [])).names
    async with Discovery().serve() as peer:
        running = asyncio.create_task(Watch(peer.address, names, 1, take).run())
        for n in (1, 2):
            await until(lambda n=n: len(peer.connections) == n)  # type: ignore[misc]
            peer.say(member_list(2, [], complete=False))
            await until(lambda n=n: len(taken) == n)  # type: ignore[misc]
        assert peer.targets == [b"/v1/servers?stream=1&index=1"] * 2
        running.cancel()
    assert "no idea" in capfd.readouterr().err
