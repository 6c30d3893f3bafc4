"""Servers of the load test that repeat answers late."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from types import SimpleNamespace
from typing import Any

from otterreach.loadtest.connection import Connection
from otterreach.loadtest.plan import Service
from otterreach.sidecar import http1
from tests.virtual import MemoryLoop, connect, run


class Handler:
    """A server that answers each request at once with its own id."""

    def __init__(self, repeat_share: float) -> None:
        self.context: Any = SimpleNamespace(counts=Counter(), random=Random(1))
        self.spec = Service("s")
        self.dark = False
        self.repeat_share = repeat_share
        self.connections: set[Connection] = set()

    def on_request(self, connection: Connection, request: http1.Request) -> None:
        if request.target == b"/stream":
            connection.begin_stream((("Reply-Seal", "s"),))
            connection.send_event("id: 1\ndata: x\n\n")
            connection.end_stream()
        else:
            connection.respond(200, (("Reply-Seal", "s"),), b"ok")

    def load(self) -> tuple[tuple[str, str], ...]:
        return ()


class Received(asyncio.Protocol):
    """The client's end of a connection."""

    def __init__(self) -> None:
        self.data = b""

    def data_received(self, data: bytes) -> None:
        self.data += data


def answers_to(repeat_share: float, paths: list[str]) -> list[bytes]:
    """Return the ids of the answers that come on one connection, in order."""

    async def main() -> list[bytes]:
        client = Received()
        transport, _ = connect(client, Connection(Handler(repeat_share)))
        for n, path in enumerate(paths):
            transport.write(f"POST {path} HTTP/1.1\r\nRequest-Id: q{n}\r\nContent-Length: 0\r\n\r\n".encode())
            await asyncio.sleep(0.01)
        return [part.partition(b"\r\n")[0] for part in client.data.split(b"Request-Id: ")[1:]]

    return run(main, MemoryLoop())


def test_a_copy_comes_in_the_place_of_the_next_answer() -> None:
    assert answers_to(1.0, ["/a", "/stream", "/a"]) == [b"q0", b"q0", b"q1", b"q1", b"q2"]


def test_without_the_trouble_each_answer_comes_once() -> None:
    assert answers_to(0.0, ["/a", "/stream", "/a"]) == [b"q0", b"q1", b"q2"]


def test_an_answer_that_began_before_the_trouble_is_not_repeated() -> None:
    """A copy of its second half would be bytes of no answer."""

    async def main() -> bytes:
        handler = Handler(0.0)
        client = Received()
        connection = Connection(handler)
        transport, _ = connect(client, connection)
        handler.on_request = lambda *_: connection.begin_stream(())  # type: ignore[method-assign]
        transport.write(b"POST /stream HTTP/1.1\r\nRequest-Id: q0\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(0.01)
        handler.repeat_share = 1.0
        connection.end_stream()
        client.data = b""
        transport.write(b"POST /stream HTTP/1.1\r\nRequest-Id: q1\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(0.01)
        return client.data

    assert b"q0" not in run(main, MemoryLoop())
    assert run(main, MemoryLoop()).startswith(b"0\r\n\r\nHTTP/1.1 200")
