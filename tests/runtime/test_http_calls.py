"""HTTP calls between processes: a response reaches its own call or none (runtime/http_client.py, runtime/http.py)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import pytest

from otterreach.runtime import http
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import JsonServer, Reply
from otterreach.runtime.http_client import MAX_IDLE_S, JsonClient
from otterreach.sidecar import http1
from otterreach.sidecar.keep_alive import IDLE_MARGIN_S
from tests import virtual
from tests.late_reader import LateReader, read_to_the_end
from tests.virtual import MemoryLoop, MemoryTransport, connect

HOST, PORT = "10.0.0.1", 80
ADDRESS = f"{HOST}:{PORT}"
LONG_BODY_S = 60.0  # transferring it takes long on a busy machine, and the time-out is not under test
CLOSE_S = MAX_IDLE_S / 3  # a connection that is kept in error is closed later
Script = Callable[["ServerConnection", http1.Request], None]
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """The server's end of one connection, which handles each request by the script."""

    def __init__(self, script: Script, ends: list[ServerConnection]) -> None:
        self._script, self._parser = script, http1.RequestParser()
        self.transport: Any = None
        self.requests: list[http1.Request] = []
        self.lost = False
        ends.append(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True

    def data_received(self, data: bytes) -> None:
        for request in self._parser.feed(data):
            self.requests.append(request)
            self._script(self, request)

    def write(self, data: bytes) -> None:
        self.transport.write(data)


def answer(request: http1.Request, body: bytes = b"", status: int = 200, head: bytes = b"") -> bytes:
    """Return the response of a server that returns the id; by default its body is the path."""
    body = body or request.target
    ident = request.headers.get(b"request-id")
    line = b"Request-Id: " + ident + b"\r\n" if ident else b""
    return b"HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s" % (status, line, head, len(body), body)


def without_id(request: http1.Request) -> bytes:
    return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(request.target), request.target)


class World:
    """A client and a scripted server at one address."""

    def __init__(self, loop: MemoryLoop, script: Script) -> None:
        self.loop, self.client = loop, JsonClient()
        self.ends: list[ServerConnection] = []
        loop.listeners[(HOST, PORT)] = lambda: ServerConnection(script, self.ends)

    async def ask(self, path: str, timeout_s: float = 1.0, **more: Any) -> Reply | Failure:
        return await self.client.call(ADDRESS, "GET", path, b"", timeout_s, **more)

    async def settle(self) -> None:
        await asyncio.sleep(0.05)


def run_world(script: Script, main: Callable[[World], Awaitable[None]]) -> None:
    loop = MemoryLoop()

    async def body() -> None:
        await main(World(loop, script))

    virtual.run(body, loop)


def plain(end: ServerConnection, request: http1.Request) -> None:
    end.write(answer(request))


def late(seconds: float) -> Script:
    """Return a script that answers /slow after `seconds` and all other requests immediately."""

    def script(end: ServerConnection, request: http1.Request) -> None:
        wait = seconds if request.target == b"/slow" else 0.0
        asyncio.get_running_loop().call_later(wait, end.write, answer(request))

    return script


def test_one_connection_serves_call_after_call() -> None:
    async def main(world: World) -> None:
        for path in ("/a", "/b", "/c"):
            assert await world.ask(path) == Reply(200, path.encode())
        assert world.loop.opened == 1

    run_world(plain, main)


def test_a_cancelled_call_closes_its_connection() -> None:
    """The next call, to another path, must not get the response to the cancelled one."""

    async def main(world: World) -> None:
        call = asyncio.ensure_future(world.ask("/slow"))
        await asyncio.sleep(0.1)
        call.cancel()
        await world.settle()
        assert world.ends[0].lost
        assert await world.ask("/other") == Reply(200, b"/other")

    run_world(late(0.2), main)


def test_a_call_cancelled_with_its_response_closes_its_connection() -> None:
    async def main(world: World) -> None:
        def script(end: ServerConnection, request: http1.Request) -> None:
            end.write(answer(request))
            # The response arrives after LATENCY_S, and the cancellation in the same iteration of the event loop.
            asyncio.get_running_loop().call_later(virtual.LATENCY_S, call.cancel)

        world.loop.listeners[(HOST, PORT)] = lambda: ServerConnection(script, world.ends)
        call = asyncio.ensure_future(world.ask("/x"))
        with pytest.raises(asyncio.CancelledError):
            await call
        await world.settle()
        assert world.ends[0].lost

    run_world(plain, main)


def test_a_timed_out_call_closes_its_connection() -> None:
    async def main(world: World) -> None:
        reply = await world.ask("/slow", 0.1)
        assert isinstance(reply, Failure) and reply.code is Code.TIMED_OUT
        assert await world.ask("/other") == Reply(200, b"/other")
        await world.settle()
        assert world.ends[0].lost and not world.ends[1].lost

    run_world(late(0.11), main)


def call_with_long_body(handle: Handler) -> Reply | Failure:
    """Return the outcome of a call whose body is longer than the buffers of the connection."""

    async def work() -> Reply | Failure:
        ended = asyncio.Event()

        async def handle_and_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await handle(reader, writer)
            writer.transport.abort()
            ended.set()

        server = await asyncio.start_server(handle_and_end, "127.0.0.1", 0, limit=4096)
        port = server.sockets[0].getsockname()[1]
        reply = await JsonClient().call(f"127.0.0.1:{port}", "POST", "/order", b"x" * 32_000_000, LONG_BODY_S)
        async with asyncio.timeout(CLOSE_S):
            await ended.wait()
        server.close()
        await asyncio.sleep(0.01)  # the event loop closes the sockets
        return reply

    return asyncio.run(work())


def test_a_call_that_is_reset_half_written_may_have_been_executed() -> None:
    """TWICE: the server may begin before it has read the whole body."""

    async def handle(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read(1000)

    reply = call_with_long_body(handle)
    assert isinstance(reply, Failure) and reply.code is Code.CLOSED


@pytest.mark.parametrize("status", [202, 413, 503])
def test_an_early_response_with_the_call_s_id_is_its_response(status: int) -> None:
    """A call that was accepted before its body was read was reported as not executed."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        ident = head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
        writer.write(b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok" % (status, ident))
        with suppress(ConnectionError):
            while await reader.read(1 << 20):
                pass

    assert call_with_long_body(handle) == Reply(status, b"ok")


def test_a_call_that_times_out_half_written_may_have_been_executed() -> None:
    """TWICE: an order whose server went dark while it read it was reported as never sent."""

    async def work() -> Reply | Failure:
        with LateReader() as reader:
            host, port = reader.address
            return await JsonClient().call(f"{host}:{port}", "POST", "/order", b"x" * 32_000_000, 0.1)

    reply = asyncio.run(work())
    assert isinstance(reply, Failure) and reply.code is Code.TIMED_OUT


def test_unsent_bytes_of_a_timed_out_call_are_dropped() -> None:
    """The server reads only after the time-out, as after a network partition: an order must not arrive that late."""
    body = b"x" * 400_000

    async def work() -> tuple[Reply | Failure, int, bool]:
        with LateReader() as reader:
            host, port = reader.address
            reply = await JsonClient().call(f"{host}:{port}", "POST", "/order", body, 0.1)
            return reply, *await read_to_the_end(await reader.accept())

    reply, received, reset = asyncio.run(work())
    assert isinstance(reply, Failure) and reply.code is Code.TIMED_OUT
    assert received < len(body)
    assert reset


def test_an_extra_response_on_an_idle_connection_closes_it() -> None:
    def script(end: ServerConnection, request: http1.Request) -> None:
        end.write(answer(request))
        asyncio.get_running_loop().call_later(0.02, end.write, answer(request))

    async def main(world: World) -> None:
        await world.ask("/first")
        await world.settle()
        assert world.ends[0].lost
        assert await world.ask("/second") == Reply(200, b"/second")

    run_world(script, main)


def test_a_repeated_response_is_not_taken_for_the_next_one() -> None:
    def script(end: ServerConnection, request: http1.Request) -> None:
        end.write(answer(end.requests[0]))  # the second request gets the response to the first one

    async def main(world: World) -> None:
        await world.ask("/first")
        reply = await world.ask("/second")
        assert isinstance(reply, Failure) and reply.code is Code.CLOSED
        await world.settle()
        assert world.ends[0].lost

    run_world(script, main)


@pytest.mark.parametrize(
    "extra", [answer(http1.Request(b"GET", b"/z", {}, b"", True)), b"x", b"HTTP/1.1 100 C\r\n\r\n"]
)
def test_bytes_after_a_response_close_the_connection(extra: bytes) -> None:
    async def main(world: World) -> None:
        assert await world.ask("/first") == Reply(200, b"/first")
        assert await world.ask("/second") == Reply(200, b"/second")
        assert world.ends[0].lost and world.loop.opened == 2

    run_world(lambda end, request: end.write(answer(request) + extra), main)


def test_a_server_without_ids_gets_one_call_per_connection() -> None:
    async def main(world: World) -> None:
        assert await world.ask("/first") == Reply(200, b"/first")
        assert await world.ask("/second") == Reply(200, b"/second")
        assert world.loop.opened == 2 and world.ends[0].lost

    run_world(lambda end, request: end.write(without_id(request)), main)


def test_without_ids_only_interchangeable_calls_of_one_path_share_a_connection() -> None:
    async def main(world: World) -> None:
        for _ in range(3):
            assert await world.ask("/report", interchangeable=True) == Reply(200, b"/report")
        assert world.loop.opened == 1
        assert await world.ask("/order") == Reply(200, b"/order")
        assert await world.ask("/other", interchangeable=True) == Reply(200, b"/other")
        assert await world.ask("/report", interchangeable=True) == Reply(200, b"/report")
        assert [{r.target for r in end.requests} for end in world.ends] == [{b"/report"}, {b"/order"}, {b"/other"}]

    run_world(lambda end, request: end.write(without_id(request)), main)


def test_a_response_without_an_id_after_one_with_an_id_is_rejected() -> None:
    def script(end: ServerConnection, request: http1.Request) -> None:
        end.write(answer(request) if len(end.requests) == 1 else without_id(end.requests[0]))

    async def main(world: World) -> None:
        await world.ask("/first")
        reply = await world.ask("/second")
        assert isinstance(reply, Failure) and reply.maybe_done

    run_world(script, main)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 X\r\n\r\nunframed",
        b"HTTP/1.1 409 X\r\n\r\n",
        b"HTTP/1.1 101 X\r\nUpgrade: y\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 X\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"junk",
        b"",
    ],
)
def test_an_incomplete_or_invalid_response_fails_the_call(data: bytes) -> None:
    def script(end: ServerConnection, request: http1.Request) -> None:
        end.write(data)
        end.transport.close()

    async def main(world: World) -> None:
        reply = await world.ask("/first")
        assert isinstance(reply, Failure) and reply.code is Code.CLOSED

    run_world(script, main)


def test_informational_responses_are_skipped() -> None:
    async def main(world: World) -> None:
        for path in ("/a", "/b"):
            assert await world.ask(path) == Reply(200, path.encode())
        assert world.loop.opened == 1

    run_world(
        lambda end, request: end.write(b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: x\r\n\r\n" + answer(request)),
        main,
    )


def test_a_response_before_the_request_is_written_fails_the_call() -> None:
    """A response without the call's id doesn't tell whether the server has begun; the rest is dropped."""

    class FullTransport(MemoryTransport):
        """A transport that accepts no bytes, as with a full kernel buffer."""

        def write(self, data: Any) -> None:
            self.protocol.pause_writing()

    async def main(world: World) -> None:
        def accept() -> Any:
            return ServerConnection(plain, world.ends)

        async def open_full(protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
            here, there = protocol_factory(), accept()
            a, b = FullTransport(here), MemoryTransport(there)
            a.other, b.other = b, a
            there.connection_made(b)
            here.connection_made(a)
            world.loop.call_later(0.05, there.write, b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            return a, here

        world.loop.create_connection = open_full  # type: ignore[method-assign]
        reply = await world.ask("/first")
        assert isinstance(reply, Failure) and reply.code is Code.CLOSED
        await world.settle()
        assert world.ends[0].lost and not world.ends[0].requests

    run_world(plain, main)


def test_concurrent_calls_use_separate_connections() -> None:
    async def main(world: World) -> None:
        replies = await asyncio.gather(*(world.ask(f"/{n}") for n in range(5)))
        assert replies == [Reply(200, b"/%d" % n) for n in range(5)]
        await world.settle()
        assert sum(not end.lost for end in world.ends) == 1  # one connection is kept

    run_world(plain, main)


def test_a_call_that_may_not_be_written_leaves_the_connection_usable() -> None:
    async def main(world: World) -> None:
        reply = await world.ask("/first", may_write=lambda: False)
        assert isinstance(reply, Failure) and not reply.maybe_done
        assert await world.ask("/second") == Reply(200, b"/second")
        assert [r.target for end in world.ends for r in end.requests] == [b"/second"] and world.loop.opened == 1

    run_world(plain, main)


def test_a_connect_timeout_means_that_nothing_was_done() -> None:
    async def main(world: World) -> None:
        world.loop.dark.add((HOST, PORT))
        reply = await world.ask("/first", 0.3)
        assert isinstance(reply, Failure) and not reply.maybe_done

    run_world(plain, main)


@pytest.mark.parametrize(("head", "idle_s"), [(b"", MAX_IDLE_S), (b"Keep-Alive: timeout=5\r\n", 5 - IDLE_MARGIN_S)])
def test_an_idle_connection_is_closed(head: bytes, idle_s: float) -> None:
    async def main(world: World) -> None:
        await world.ask("/first")
        await asyncio.sleep(idle_s - 0.1)
        assert not world.ends[0].lost
        await asyncio.sleep(0.2)
        assert world.ends[0].lost

    run_world(lambda end, request: end.write(answer(request, head=head)), main)


# The server ---------------------------------------------------------------------------------------


class RawClient(asyncio.Protocol):
    """A client that writes raw bytes."""

    def __init__(self) -> None:
        self.data, self.lost = b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        pass

    def data_received(self, data: bytes) -> None:
        self.data += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


async def serve(handle: http.Handle) -> tuple[RawClient, MemoryTransport, JsonServer]:
    server = JsonServer(handle)
    await server.listen(HOST, PORT)
    loop: Any = asyncio.get_running_loop()
    raw = RawClient()
    transport, _ = connect(raw, loop.listeners[(HOST, PORT)]())
    return raw, transport, server


GET = b"GET /%d HTTP/1.1\r\nRequest-Id: q%d\r\n\r\n"


def test_responses_are_in_order_with_the_id_of_their_request() -> None:
    async def handle(request: http1.Request) -> Reply:
        await asyncio.sleep(0.1 if request.target == b"/0" else 0.0)
        return Reply(200, request.target)

    async def main() -> None:
        raw, transport, _ = await serve(handle)
        transport.write(GET % (0, 0) + GET % (1, 1))
        await asyncio.sleep(0.5)
        first, second = raw.data.split(b"HTTP/1.1 200 OK")[1:]
        assert b"Request-Id: q0" in first and first.endswith(b"/0")
        assert b"Request-Id: q1" in second and second.endswith(b"/1")

    virtual.run(main, MemoryLoop())


def test_queued_requests_of_a_disconnected_client_are_dropped() -> None:
    handled = []

    async def handle(request: http1.Request) -> Reply:
        handled.append(request.target)
        await asyncio.sleep(0.1)
        return Reply(200)

    async def main() -> None:
        _, transport, _ = await serve(handle)
        transport.write(GET % (0, 0) + GET % (1, 1))
        await asyncio.sleep(0.05)
        transport.abort()
        await asyncio.sleep(0.5)
        assert handled == [b"/0"]

    virtual.run(main, MemoryLoop())


def test_the_idle_timeout_does_not_interrupt_a_long_call() -> None:
    async def handle(request: http1.Request) -> Reply:
        await asyncio.sleep(2.0)
        return Reply(200, b"done")

    async def main() -> None:
        raw, transport, _ = await serve(handle)
        await asyncio.sleep(http.IDLE_TIMEOUT_S - 1.0)
        transport.write(GET % (0, 0))
        await asyncio.sleep(3.0)
        assert raw.data.endswith(b"done") and not raw.lost

    virtual.run(main, MemoryLoop())


def test_100_continue_follows_the_responses_before_it() -> None:
    async def handle(request: http1.Request) -> Reply:
        await asyncio.sleep(0.1)
        return Reply(200, request.body or b"none")

    async def main() -> None:
        raw, transport, _ = await serve(handle)
        transport.write(GET % (0, 0) + b"PUT /1 HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
        await asyncio.sleep(0.3)
        assert raw.data.startswith(b"HTTP/1.1 200") and raw.data.endswith(b"HTTP/1.1 100 Continue\r\n\r\n")
        transport.write(b"body")
        await asyncio.sleep(0.3)
        assert raw.data.endswith(b"body")

    virtual.run(main, MemoryLoop())


def test_no_request_is_handled_after_a_closing_response() -> None:
    handled = []

    async def handle(request: http1.Request) -> Reply:
        handled.append(request.target)
        return Reply(200)

    async def main() -> None:
        raw, transport, server = await serve(handle)
        server.stopping = True
        transport.write(GET % (0, 0) + GET % (1, 1))
        await asyncio.sleep(0.3)
        assert handled == [b"/0"] and raw.lost and raw.data.count(b"HTTP/1.1") == 1

    virtual.run(main, MemoryLoop())
