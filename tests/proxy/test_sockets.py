"""Behaviour of a proxy on real sockets that the in-memory network does not reproduce."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any
from unittest import mock

from otterreach.proxy.client_connection import Client
from otterreach.proxy.exchange import Exchange, Execution, Outcome
from otterreach.proxy.ingress import Ingress
from otterreach.proxy.outbound import Outbound
from otterreach.proxy.pools import Pool
from otterreach.runtime.configuration import Caps
from tests.late_reader import LateReader, read_to_the_end
from tests.proxy.proxy_support import SEAL

LONG_BODY_S = 60.0  # transferring 64 MB takes long on a busy machine, and the time-out is not under test


def outbound(body: bytes = b"", ident: bytes = b"q") -> Outbound:
    return Outbound(b"POST", b"/a", {b"host": b"h", b"request-id": ident}, body, ident)


def id_in(request: bytes) -> bytes:
    """Return the Request-Id in the bytes of a request."""
    return request.partition(b"request-id: ")[2].partition(b"\r\n")[0]


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Sockets(unittest.IsolatedAsyncioTestCase):
    async def start(self, handle: Handler, limit: int = 65536) -> tuple[str, int]:
        """Start a server, which ends with the test, and return its address."""
        writers: list[asyncio.StreamWriter] = []

        async def tracked(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await handle(reader, writer)

        async def stop() -> None:
            server.close()
            for writer in writers:
                writer.transport.abort()
            await asyncio.sleep(0.01)  # the handlers end

        server = await asyncio.start_server(tracked, "127.0.0.1", 0, limit=limit)
        self.addAsyncCleanup(stop)
        host, port = server.sockets[0].getsockname()
        return host, port

    async def serve(self, answer: bytes, close: bool = False) -> tuple[tuple[str, int], list[bytes]]:
        """Start a server that answers each request alike; ID in the answer stands for the id of its request."""
        got: list[bytes] = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(65536):
                got.append(data)
                if answer:
                    writer.write(answer.replace(b"ID", id_in(data)))
                if close:
                    break
            writer.close()

        return await self.start(handle), got

    def exchange(
        self,
        pool: Pool,
        request: Outbound | None = None,
        within_s: float = 5.0,
        may_write: Callable[[], bool] = lambda: True,
    ) -> Exchange:
        return Exchange(pool, "i-1", request or outbound(), pool.loop.time() + within_s, may_write)

    async def test_an_answer_and_a_kept_connection(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + SEAL
        address, got = await self.serve(head + b"Content-Length: 2\r\n\r\nhi")
        pool = Pool(asyncio.get_running_loop(), address)
        for ident in (b"q1", b"q2"):
            outcome = await self.exchange(pool, outbound(ident=ident)).run()
            self.assertEqual((outcome.execution, outcome.status, outcome.body), (Execution.ANSWERED, 200, b"hi"))
        self.assertEqual((pool.opened, len(pool.idle), len(got)), (1, 1, 2))
        pool.close()
        self.assertEqual((pool.idle, pool.connections), ([], set()))

    async def test_a_connection_carries_each_id_once(self) -> None:
        """TWICE: a late copy of the first answer would be taken for the answer to the second attempt."""
        address, _ = await self.serve(b"HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
        pool = Pool(asyncio.get_running_loop(), address)
        for ident in (b"q1", b"q1", b"q2", b"q2"):
            await self.exchange(pool, outbound(ident=ident)).run()
        self.assertEqual((pool.opened, len(pool.idle)), (2, 2))
        pool.close()

    async def test_a_connection_carries_a_bounded_number_of_requests(self) -> None:
        """The ids that a connection remembers must not grow without a bound."""
        address, _ = await self.serve(b"HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
        pool = Pool(asyncio.get_running_loop(), address)
        with mock.patch("otterreach.proxy.pools.MAX_REQUESTS", 2):
            for n in range(5):
                await self.exchange(pool, outbound(ident=b"q%d" % n)).run()
        self.assertEqual((pool.opened, [c.use_count for c in pool.idle]), (3, [1]))
        pool.close()

    async def test_a_dead_port_has_not_run_it(self) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            pool = Pool(asyncio.get_running_loop(), sock.getsockname())
            outcome = await self.exchange(pool).run()
        self.assertEqual((outcome.execution, outcome.sent), (Execution.NOT_EXECUTED, False))

    async def test_closed_without_an_answer_may_have_run(self) -> None:
        address, _ = await self.serve(b"", close=True)
        outcome = await self.exchange(Pool(asyncio.get_running_loop(), address)).run()
        self.assertEqual((outcome.execution, outcome.reason), (Execution.MAY_HAVE_EXECUTED, "closed"))

    async def test_a_body_that_only_the_end_would_end_is_no_answer(self) -> None:
        address, _ = await self.serve(b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\n" + SEAL + b"\r\nhalf", close=True)
        outcome = await self.exchange(Pool(asyncio.get_running_loop(), address)).run()
        self.assertEqual(outcome.execution, Execution.MAY_HAVE_EXECUTED)

    async def test_a_partly_sent_request_may_have_run(self) -> None:
        """TWICE: a server may begin before it has read the whole body, and go dark before it answers."""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            pool = Pool(asyncio.get_running_loop(), listener.getsockname())
            outcome = await self.exchange(pool, outbound(b"x" * 32_000_000), 0.1).run()
        self.assertEqual((outcome.execution, outcome.timed_out), (Execution.MAY_HAVE_EXECUTED, True))
        self.assertTrue(outcome.sent)

    async def test_a_request_that_breaks_off_unsent_has_not_run(self) -> None:
        """The server has reset the idle connection, so the write fails and no byte of the request leaves."""
        address, got = await self.serve(b"")
        pool = Pool(asyncio.get_running_loop(), address)
        connection = await pool.acquire(1.0, b"q")
        assert connection is not None
        connection.release()

        def reset() -> bool:
            connection.discard()
            return True

        outcome = await self.exchange(pool, may_write=reset).run()
        self.assertEqual((outcome.execution, outcome.sent, got), (Execution.NOT_EXECUTED, False, []))

    async def broken_off(self, answer: bytes, reset: bool) -> Outcome:
        """Return the outcome at a server that answers in part before it has read the body, and then ends."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1000)
            writer.write(answer)
            await asyncio.sleep(0.05)
            if reset:
                writer.transport.abort()
            writer.close()

        pool = Pool(asyncio.get_running_loop(), await self.start(handle, limit=4096))
        return await self.exchange(pool, outbound(b"x" * 64_000_000), LONG_BODY_S).run()

    async def test_an_early_answer_that_breaks_off_may_have_run(self) -> None:
        """TWICE: the server began before it had read the body, and crashed while it answered."""
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\n" + SEAL + b"Content-Length: 800\r\n\r\n"
        for answer in (b"", head[:20], head, head + b"x" * 400, b"\x16\x03\x01 junk\r\n\r\n"):
            for reset in (True, False):
                outcome = await self.broken_off(answer, reset)
                self.assertEqual((outcome.execution, outcome.sent), (Execution.MAY_HAVE_EXECUTED, True), answer)

    async def test_unsent_kernel_data_of_a_cancelled_request_never_arrives(self) -> None:
        """The server reads only after the attempt was cancelled, as after a network partition."""
        body = b"x" * 400_000
        with LateReader() as reader:
            pool = Pool(asyncio.get_running_loop(), reader.address)
            running = asyncio.ensure_future(self.exchange(pool, outbound(body)).run())
            connection = await reader.accept()
            first = await asyncio.get_running_loop().sock_recv(connection, 100)
            running.cancel()
            with suppress(asyncio.CancelledError):
                await running
            rest, reset = await read_to_the_end(connection)
        self.assertLess(len(first) + rest, len(body))
        self.assertTrue(reset)

    async def early(self, head: bytes) -> tuple[Outcome, Pool, bytes]:
        """Return the outcome at a server that answers before reading the body, and all bytes that the server reads."""
        got = bytearray()
        ended = asyncio.Event()

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            got.extend(await reader.read(1000))
            writer.write(head + b"Content-Length: 2\r\n\r\nhi")
            with suppress(ConnectionError):
                while data := await reader.read(1 << 20):
                    got.extend(data)
            writer.close()
            ended.set()

        pool = Pool(asyncio.get_running_loop(), await self.start(handle, limit=4096))
        outcome = await self.exchange(pool, outbound(b"x" * 64_000_000), LONG_BODY_S).run()
        await ended.wait()
        return outcome, pool, bytes(got)

    async def test_an_early_answer_with_the_request_s_id_is_its_answer_and_ends_the_connection(self) -> None:
        """Only Not-Run proves that the request has not run, and no other bytes may follow in place of its body."""
        outcome, pool, got = await self.early(b"HTTP/1.1 500 X\r\nRequest-Id: q\r\n")
        self.assertEqual((outcome.execution, outcome.status, outcome.body), (Execution.ANSWERED, 500, b"hi"))
        self.assertEqual((pool.idle, pool.connections), ([], set()))
        head, _, body = got.partition(b"\r\n\r\n")
        self.assertEqual((head.count(b"HTTP/1.1"), set(body)), (1, set(b"x")))
        self.assertLess(len(body), 64_000_000)

    async def test_an_early_answer_that_says_so_has_not_run(self) -> None:
        outcome, pool, _ = await self.early(b"HTTP/1.1 503 X\r\nRequest-Id: q\r\nNot-Run: 1\r\n")
        self.assertEqual((outcome.execution, outcome.status, pool.idle), (Execution.NOT_EXECUTED, 503, []))

    async def test_an_early_answer_without_an_id_does_not_tell_whether_it_ran(self) -> None:
        """TWICE, REFUSED: only Not-Run and 421 say that the request has not run."""
        for status in (408, 413, 500, 503):
            outcome, pool, _ = await self.early(b"HTTP/1.1 %d X\r\n" % status)
            self.assertEqual((outcome.execution, outcome.reason), (Execution.MAY_HAVE_EXECUTED, "early_answer"), status)
            self.assertEqual(pool.idle, [])

    async def test_an_early_rejection_without_an_id_has_not_run(self) -> None:
        outcome, pool, _ = await self.early(b"HTTP/1.1 503 X\r\nNot-Run: 1\r\n")
        self.assertEqual((outcome.execution, outcome.status, pool.idle), (Execution.NOT_EXECUTED, 503, []))

    async def test_an_idle_connection_that_the_server_has_ended_is_not_used(self) -> None:
        address, got = await self.serve(
            b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + SEAL + b"Content-Length: 0\r\n\r\n", close=True
        )
        pool = Pool(asyncio.get_running_loop(), address)
        for ident in (b"q1", b"q2", b"q3"):
            outcome = await self.exchange(pool, outbound(ident=ident)).run()
            self.assertEqual(outcome.execution, Execution.ANSWERED)
        self.assertEqual((pool.opened, len(got)), (3, 3))

    async def test_a_client_that_has_gone_is_noticed_before_its_end_is_read(self) -> None:
        seen: list[bool] = []

        async def handle(request: Any, client: Client) -> None:
            theirs.close()
            seen.extend((client.is_closed, client.has_disconnected()))
            client.respond(200)

        ingress = Ingress(handle, Caps)
        port = await ingress.listen("127.0.0.1", 0)
        theirs = socket.create_connection(("127.0.0.1", port))
        theirs.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\n\r\n")
        while not seen:
            await asyncio.sleep(0)
        self.assertEqual(seen, [False, True])
        await ingress.shut_down(0.0, 1.0)

    async def test_a_disconnect_behind_many_pipelined_requests_is_noticed(self) -> None:
        """Reading is paused because of the pipelined requests, so the end of file is not read."""
        begun, ended = asyncio.Event(), asyncio.Event()

        async def handle(request: Any, client: Client) -> None:
            begun.set()
            try:
                await asyncio.sleep(60)
            finally:
                ended.set()

        ingress = Ingress(handle, Caps)
        port = await ingress.listen("127.0.0.1", 0)
        sweeping = asyncio.ensure_future(ingress.sweep())
        theirs = socket.create_connection(("127.0.0.1", port))
        theirs.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\n\r\n" * 20)
        await begun.wait()
        theirs.close()
        async with asyncio.timeout(0.5):
            await ended.wait()
        sweeping.cancel()
        await ingress.shut_down(0.0, 1.0)

    async def test_nothing_new_from_a_closed_pool(self) -> None:
        address, got = await self.serve(b"")
        pool = Pool(asyncio.get_running_loop(), address)
        pool.close()
        outcome = await self.exchange(pool).run()
        self.assertEqual((outcome.execution, got), (Execution.NOT_EXECUTED, []))


if __name__ == "__main__":
    unittest.main()
