"""Requests of clients: routing, retries by kind of route, meaning of error answers, matching of answers, streams."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from otterreach.proxy.ingress import Ingress
from otterreach.proxy.pools import MIN_IDLE_S
from otterreach.proxy.requests import Requests, decode_latin1, path_of
from otterreach.proxy.streams import Streams
from otterreach.runtime.configuration import Caps
from tests import virtual
from tests.proxy.proxy_support import (
    HOST,
    SEAL,
    Call,
    FakeClient,
    Script,
    World,
    after,
    disconnect,
    fail,
    in_virtual_time,
    reject,
    route,
    serve,
    silence,
)

HEAD = b"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: q1\r\n"


def ingress(world: World, age_s: float = 0.0) -> Ingress:
    requests = Requests(world.fleet, lambda: age_s)
    streams = Streams(requests)

    async def handle(request: Any, client: Any) -> None:
        found = world.fleet.config.route(decode_latin1(request.headers.get(b"host")), path_of(request))
        if found is None:
            requests.answer_without_route(client)
        elif found.kind == "stream":
            await streams.handle(request, client, found)
        else:
            await requests.handle(request, client, found)

    return Ingress(handle, Caps)


class Routing(unittest.TestCase):
    @in_virtual_time
    async def test_longest_prefix_of_the_host(self) -> None:
        world = World([route("r", "/a/", backend="one"), route("s", "/a/b/", backend="two")])
        world.server("i-1", serve, "one")
        world.server("i-2", serve, "two")
        caller = FakeClient(ingress(world))
        for path, ident in (("/a/x", b"i-1"), ("/a/b/x?q=/", b"i-2"), ("/a/bx", b"i-1")):
            answer = await caller.ask(path=path)
            self.assertEqual((answer.status, answer.body), (200, ident))
        self.assertEqual((await caller.ask(path="/b/x")).status, 404)

    @in_virtual_time
    async def test_404_only_with_a_recent_replica(self) -> None:
        answer = await FakeClient(ingress(World([route()]), age_s=5.0)).ask(path="/b/x")
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.headers)

    @in_virtual_time
    async def test_request_as_sent_to_a_server(self) -> None:
        world = World([route()])
        server = world.server("i-1", serve)
        head = "X-Mine: 1\r\nConnection: x-hop\r\nX-Hop: 2\r\n"
        await FakeClient(ingress(world)).ask(path="/a/x?y=1", body=b"hello", head=head)
        call = server.calls[0]
        request = call.request
        self.assertEqual((request.method, request.target, request.body), (b"POST", b"/a/x?y=1", b"hello"))
        self.assertEqual((call.id, call.header(b"expect-server"), call.header(b"host")), ("q1", "i-1", HOST))
        self.assertEqual((call.header(b"x-mine"), call.header(b"x-hop")), ("1", None))
        self.assertTrue(1400 < int(call.header(b"deadline-ms") or 0) <= 1500)

    @in_virtual_time
    async def test_receiving_a_body_counts_against_deadline_ms(self) -> None:
        """A server must not be given more time than is left."""
        world = World([route()])
        server = world.server("i-1", serve)
        caller = FakeClient(ingress(world))
        whole = HEAD + b"Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody"
        caller.transport.write(whole[:-2])
        await asyncio.sleep(0.9)
        caller.transport.write(whole[-2:])
        self.assertEqual((await caller.next()).status, 200)
        self.assertLessEqual(int(server.calls[0].header(b"deadline-ms") or 0), 600)

    @in_virtual_time
    async def test_the_route_s_time_counts_from_the_whole_request(self) -> None:
        world = World([route(timeoutMs=300)])
        world.server("i-1", silence)
        caller = FakeClient(ingress(world))
        whole = HEAD + b"Content-Length: 4\r\n\r\nbody"
        caller.transport.write(whole[:-2])
        await asyncio.sleep(0.9)
        caller.transport.write(whole[-2:])
        started = world.loop.time()
        self.assertEqual((await caller.next()).status, 504)
        self.assertAlmostEqual(world.loop.time() - started, 0.3, delta=0.05)

    @in_virtual_time
    async def test_a_retry_goes_by_the_newest_configuration(self) -> None:
        world = World([route(backend="one")])

        async def move(call: Call) -> None:
            world.configure([route(backend="two")])
            call.reject()

        old, new = world.server("i-1", move, "one"), world.server("i-2", serve, "two")
        world.server("i-3", serve, "one")
        answer = await FakeClient(ingress(world)).ask()
        self.assertEqual((answer.status, len(old.calls) + len(new.calls)), (200, 2))
        self.assertEqual(answer.body, b"i-2")

    @in_virtual_time
    async def test_nothing_new_at_a_draining_server(self) -> None:
        world = World([route()])
        server = world.server("i-1", serve)
        caller = FakeClient(ingress(world))
        await caller.ask()
        world.list(server, state="draining")
        self.assertEqual((await caller.ask(ident="q2")).status, 503)
        self.assertEqual(len(server.calls), 1)

    @in_virtual_time
    async def test_drained_while_connecting(self) -> None:
        world = World([route()])
        server = world.server("i-1", serve)
        caller = FakeClient(ingress(world))
        caller.send()
        await asyncio.sleep(1.5 * virtual.LATENCY_S)
        world.list(server, state="draining")
        self.assertEqual((await caller.next()).status, 503)
        self.assertEqual(server.calls, [])


class Retries(unittest.TestCase):
    def outcome(self, kind: str, script: Any, tries: int = 3, others: Any = serve, **more: Any) -> tuple[int, int]:
        """Return the status and the number of requests that reached servers."""

        async def main() -> tuple[int, int]:
            world = World([route(kind=kind, tries=tries, **more)])
            first = world.server("i-1", script)
            caller = FakeClient(ingress(world))
            caller.send()
            await asyncio.sleep(1.5 * virtual.LATENCY_S)
            second = world.server("i-2", others)
            answer = await caller.answer()
            return answer.status if answer else 0, len(first.calls) + len(second.calls)

        return virtual.run(main)

    def test_table(self) -> None:
        lost, garbled = disconnect, broken_answer
        for kind, script, expected in (
            ("idem", reject, (200, 2)),
            ("idem", fail, (200, 2)),
            ("idem", lost, (200, 2)),
            ("idem", garbled, (200, 2)),
            ("idem", no_seal, (200, 2)),
            ("idem", mismatched_id, (200, 2)),
            ("mutating", reject, (200, 2)),
            ("mutating", fail, (500, 1)),
            ("mutating", lost, (502, 1)),
            ("mutating", garbled, (502, 1)),
            ("mutating", no_seal, (502, 1)),
            ("mutating", mismatched_id, (502, 1)),
            ("mutating", bare(408), (502, 1)),
            ("mutating", bare(429), (502, 1)),
            ("mutating", bare(503), (502, 1)),
            ("mutating", bare(421), (200, 2)),  # says by itself that the request has not run
            ("mutating", silence, (504, 1)),
        ):
            with self.subTest(kind=kind, script=script.__name__):
                self.assertEqual(self.outcome(kind, script), expected)

    def test_never_more_than_tries_servers(self) -> None:
        self.assertEqual(self.outcome("idem", reject, 2, reject), (503, 2))
        self.assertEqual(self.outcome("idem", disconnect, 2, disconnect), (502, 2))
        self.assertEqual(self.outcome("idem", fail, 2, fail), (500, 2))

    @in_virtual_time
    async def test_503_only_if_the_request_has_not_run(self) -> None:
        world = World([route(tries=2)])
        scripts = [disconnect, reject]

        async def script(call: Call) -> None:
            await scripts.pop(0)(call)

        world.server("i-1", script)
        self.assertEqual((await FakeClient(ingress(world)).ask()).status, 502)

    @in_virtual_time
    async def test_a_connection_that_does_not_come_up_has_not_run(self) -> None:
        world = World([route(kind="mutating")])
        world.server("i-1", serve).refuses = True
        world.server("i-2", serve)
        for n in range(8):
            self.assertEqual((await FakeClient(ingress(world)).ask(ident=f"q{n}")).status, 200)

    @in_virtual_time
    async def test_503_soon_without_any_server(self) -> None:
        world = World([route()])
        started = world.loop.time()
        answer = await FakeClient(ingress(world)).ask()
        self.assertEqual(answer.status, 503)
        self.assertLess(world.loop.time() - started, 0.06)
        self.assertTrue(float(answer.headers[b"retry-after"]) > 0)

    @in_virtual_time
    async def test_time_left_for_another_server(self) -> None:
        world = World([route(tries=2)])
        world.server("i-1", silence)
        caller = FakeClient(ingress(world))
        caller.send(deadline_ms=1000)
        await asyncio.sleep(0.002)
        world.server("i-2", serve)
        # There is an answer within the deadline, whichever server is drawn first.
        answer = await caller.next()
        self.assertIn(answer.status, (200, 504))

    @in_virtual_time
    async def test_a_client_that_leaves_cancels(self) -> None:
        world = World([route()])
        server = world.server("i-1", silence)
        caller = FakeClient(ingress(world))
        caller.send()
        await asyncio.sleep(0.1)
        caller.transport.abort()
        await asyncio.sleep(0.1)
        self.assertEqual(server.dropped, ["q1"])
        self.assertEqual(world.fleet.servers["i-1"].estimate.in_flight, 0)

    @in_virtual_time
    async def test_a_client_that_leaves_a_stream_cancels_it(self) -> None:
        """Cancellation before the first event, within the stream, and during a retry at another server."""

        async def begin(call: Call) -> None:
            call.begin()
            call.event(1, "x")
            await asyncio.sleep(3600)

        for resume, script in ((False, silence), (False, begin), (True, begin), (True, silence)):
            world = World([route(kind="stream", resume=resume, tries=2)])
            servers = [world.server("i-1", script), world.server("i-2", script)]
            caller = FakeClient(ingress(world))
            caller.send(deadline_ms=1900)
            await asyncio.sleep(0.5)
            caller.transport.abort()
            await asyncio.sleep(0.4)
            with self.subTest(resume=resume, script=script.__name__):
                self.assertEqual([end for s in servers for end in s.dropped], ["q1"])
                self.assertEqual([s.pool.connections for s in world.fleet.servers.values()], [set(), set()])

    @in_virtual_time
    async def test_another_server_at_the_address(self) -> None:
        world = World([route(kind="mutating")])
        server = world.server("i-1", serve)
        server.id = "i-9"
        other = world.server("i-2", serve)
        for n in range(6):
            self.assertEqual((await FakeClient(ingress(world)).ask(ident=f"q{n}")).body, b"i-2")
        self.assertEqual((server.calls, len(other.calls)), ([], 6))


class AnswerMatching(unittest.TestCase):
    @in_virtual_time
    async def test_an_extra_answer_closes_the_connection(self) -> None:
        world = World([route()])

        async def twice(call: Call) -> None:
            call.answer(body=b"mine")
            call.answer(body=b"extra")

        server = world.server("i-1", twice)
        caller = FakeClient(ingress(world))
        for n in range(3):
            self.assertEqual((await caller.ask(ident=f"q{n}")).body, b"mine")
        self.assertEqual(server.opened, 3)

    @in_virtual_time
    async def test_an_extra_answer_in_the_same_bytes_is_not_part_of_the_body(self) -> None:
        world = World([route()])

        async def twice(call: Call) -> None:
            seal = SEAL.decode()
            extra = f"HTTP/1.1 200 OK\r\n{seal}Content-Length: 2\r\n\r\nok".encode()
            call.write(b"HTTP/1.1 200 X\r\nRequest-Id: %s\r\nContent-Length: 4\r\n" % call.id.encode())
            call.write(SEAL + b"\r\nmine" + extra)

        server = world.server("i-1", twice)
        caller = FakeClient(ingress(world))
        for n in range(3):
            self.assertEqual((await caller.ask(ident=f"q{n}")).body, b"mine")
        self.assertEqual(server.opened, 3)

    @in_virtual_time
    async def test_a_late_extra_answer_on_an_idle_connection(self) -> None:
        world = World([route()])

        async def late(call: Call) -> None:
            call.answer(body=b"mine")
            await asyncio.sleep(0.01)
            call.answer(body=b"late")

        server = world.server("i-1", late)
        caller = FakeClient(ingress(world))
        for n in range(3):
            self.assertEqual((await caller.ask(ident=f"q{n}")).body, b"mine")
        self.assertEqual(server.opened, 3)

    @in_virtual_time
    async def test_an_idle_connection_is_reused(self) -> None:
        world = World([route()])
        server = world.server("i-1", serve)
        caller = FakeClient(ingress(world))
        for n in range(4):
            await caller.ask(ident=f"q{n}")
            await asyncio.sleep(0.03)
        self.assertEqual(server.opened, 1)

    @in_virtual_time
    async def test_a_connection_is_reused_after_a_failure_of_the_server(self) -> None:
        """Connections are expensive, and a copy of the failure would carry the id of the request that failed."""
        world = World([route(kind="mutating")])
        server = world.server("i-1", fail)
        caller = FakeClient(ingress(world))
        for n in range(4):
            self.assertEqual((await caller.ask(ident=f"q{n}")).status, 500)
            await asyncio.sleep(0.03)
        self.assertEqual(server.opened, 1)

    @in_virtual_time
    async def test_waits_for_the_minimum_idle_time_rather_than_connect(self) -> None:
        world = World([route()])
        server = world.server("i-1", serve)
        caller = FakeClient(ingress(world))
        await caller.ask(ident="q1")
        await caller.ask(ident="q2")
        self.assertEqual(server.opened, 1)

    @in_virtual_time
    async def test_a_rejected_request_waits_the_minimum_idle_time_before_it_connects(self) -> None:
        """Without the wait, a full server is asked again at once, on a new connection each time."""
        world = World([route()])
        times: list[float] = []

        async def reject_once(call: Call) -> None:
            times.append(world.loop.time())
            await (reject(call) if len(times) == 1 else serve(call))

        server = world.server("i-1", reject_once)
        self.assertEqual((await FakeClient(ingress(world)).ask()).status, 200)
        self.assertGreaterEqual(times[1] - times[0], MIN_IDLE_S)
        self.assertEqual(server.opened, 2)

    @in_virtual_time
    async def test_keep_alive_is_obeyed(self) -> None:
        world = World([route()])

        async def two_seconds(call: Call) -> None:
            call.answer(head=SEAL + b"Keep-Alive: timeout=2\r\n")

        server = world.server("i-1", two_seconds)
        caller = FakeClient(ingress(world))
        sweeping = asyncio.ensure_future(world.fleet.sweep())
        await caller.ask(ident="q1")
        await asyncio.sleep(2.1)
        await caller.ask(ident="q2")
        sweeping.cancel()
        self.assertEqual(server.opened, 2)

    @in_virtual_time
    async def test_connection_close_is_obeyed(self) -> None:
        world = World([route()])

        async def closing(call: Call) -> None:
            call.answer(head=SEAL + b"Connection: close\r\n")

        server = world.server("i-1", closing)
        caller = FakeClient(ingress(world))
        await caller.ask(ident="q1")
        await asyncio.sleep(0.1)
        await caller.ask(ident="q2")
        self.assertEqual(server.opened, 2)

    @in_virtual_time
    async def test_a_mutating_request_avoids_a_long_idle_connection(self) -> None:
        world = World([route(kind="mutating")])
        server = world.server("i-1", serve)
        caller = FakeClient(ingress(world))
        for ident, pause in (("q1", 0.5), ("q2", 3.0), ("q3", 0.0)):
            await caller.ask(ident=ident)
            await asyncio.sleep(pause)
        self.assertEqual(server.opened, 2)

    @in_virtual_time
    async def test_proxies_share_the_connection_limit(self) -> None:
        world = World([route()])
        world.add_proxies(10)
        server = world.server("i-1", after(1.0), cap=50)
        await asyncio.sleep(0)
        callers = [FakeClient(ingress(world)) for _ in range(20)]
        answers = await asyncio.gather(*(c.ask(ident=f"q{n}", deadline_ms=5000) for n, c in enumerate(callers)))
        self.assertEqual(server.opened, 9)  # 100 * 0.9 / 10
        self.assertEqual(sorted(a.status for a in answers), [200] * 9 + [503] * 11)


class StreamsTest(unittest.TestCase):
    @in_virtual_time
    async def test_events_pass_as_they_come(self) -> None:
        world = World([route(kind="stream")])

        async def script(call: Call) -> None:
            call.begin()
            for n in range(3):
                call.event(n, f"d{n}")
                await asyncio.sleep(0.1)
            call.end_stream()

        world.server("i-1", script)
        caller = FakeClient(ingress(world))
        caller.send()
        await asyncio.sleep(0.15)
        self.assertIn(b"data: d1", caller.data)
        self.assertNotIn(b"data: d2", caller.data)
        answer = await caller.next()
        self.assertEqual(answer.body.count(b"data:"), 3)
        self.assertEqual(answer.headers[b"reply-seal"], b"s-1")

    @in_virtual_time
    async def test_a_cut_stream_does_not_look_complete(self) -> None:
        world = World([route(kind="stream")])

        async def script(call: Call) -> None:
            call.begin()
            call.event(0, "d0")
            call.disconnect()

        server = world.server("i-1", script)
        world.server("i-2", script)
        caller = FakeClient(ingress(world))
        caller.send()
        self.assertIsNone(await caller.answer())
        self.assertIn(b"data: d0", caller.data)
        self.assertLessEqual(len(server.calls), 1)

    @in_virtual_time
    async def test_a_broken_stream_is_resumed_at_another_server(self) -> None:
        world = World([route(kind="stream", resume=True)])
        asked: list[str | None] = []

        async def script(call: Call) -> None:
            asked.append(call.header(b"last-event-id"))
            start = int(asked[-1] or -1) + 1
            call.begin(b"Reply-Seal: s-%d\r\n" % len(asked))
            for n in range(start, 5):
                call.event(n, f"d{n}")
                if len(asked) == 1 and n == 2:
                    call.disconnect()
                    return
            call.end_stream()

        world.server("i-1", script)
        world.server("i-2", script)
        answer = await FakeClient(ingress(world)).ask()
        lines = [line for line in answer.body.split(b"\n") if line.startswith(b"data")]
        self.assertEqual(lines, [b"data: d%d" % n for n in range(5)])
        self.assertEqual((asked, answer.headers[b"reply-seal"]), ([None, "2"], b"s-1"))

    @in_virtual_time
    async def test_a_gap_after_a_resume_is_not_forwarded(self) -> None:
        world = World([route(kind="stream", resume=True)])
        calls: list[Call] = []

        async def script(call: Call) -> None:
            calls.append(call)
            call.begin()
            call.event(len(calls) * 2, "x")
            call.disconnect()

        world.server("i-1", script)
        caller = FakeClient(ingress(world))
        caller.send()
        self.assertIsNone(await caller.answer())
        self.assertEqual(caller.data.count(b"data:"), 1)


async def broken_answer(call: Call) -> None:
    call.write(b"no answer at all\r\n\r\n")


async def no_seal(call: Call) -> None:
    call.answer(head=b"")


async def mismatched_id(call: Call) -> None:
    call.answer(ident="another")


def bare(status: int) -> Script:
    """Return a script that answers this status without Not-Run."""

    async def script(call: Call) -> None:
        call.answer(status, b"", b"")

    script.__name__ = f"bare_{status}"
    return script


if __name__ == "__main__":
    unittest.main()
