"""Server selection, event parsing, configuration, batch job calls and the listener of a proxy."""

from __future__ import annotations

import asyncio
import json
import unittest
from random import Random
from typing import Any

from otterreach.jobstore.messages import EndJob, ItemBody, JobResults, ReadItem, ReadJob, SubmitJob
from otterreach.proxy.batch_jobs import BatchJobs, is_batch_job_call
from otterreach.proxy.client_connection import Client
from otterreach.proxy.directory import JobStoreDirectory, NoItems
from otterreach.proxy.draw import HALF_LIFE_S, MAX_SAMPLE, Draw, Estimate
from otterreach.proxy.events import EventReader, Transcript, versions_of
from otterreach.proxy.ingress import Ingress
from otterreach.proxy.node import Proxy
from otterreach.runtime import configuration as config
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.configuration import Caps, ConfigurationRecord, host_key
from otterreach.runtime.rpc_messages import Done
from tests import virtual
from tests.proxy.proxy_support import (
    FakeClient,
    FakeEndpoint,
    World,
    in_virtual_time,
    list_job_store_node,
    route,
    serve,
    settings,
)


def known(x: float, in_flight: int = 0, at: float = 0.0) -> Estimate:
    estimate = Estimate()
    estimate.slowness, estimate.updated_at, estimate.in_flight = x, at, in_flight
    return estimate


class DrawTest(unittest.TestCase):
    def shares(self, draw: Draw, estimates: list[Estimate], now: float = 0.0, count: int = 20_000) -> list[float]:
        hits = [0] * len(estimates)
        for _ in range(count):
            hits[draw.pick(estimates, now)] += 1
        return [hit / count for hit in hits]

    def test_odds_are_inverse_to_load_and_response_time(self) -> None:
        draw = Draw(Random(1))
        for estimates, expected in (
            ([known(1.0), known(1.0)], [1 / 2, 1 / 2]),
            ([known(1.0), known(3.0)], [3 / 4, 1 / 4]),
            ([known(1.0), known(1.0, 2)], [3 / 4, 1 / 4]),
            ([known(1.0, 1), known(2.0, 2)], [3 / 4, 1 / 4]),
            ([Estimate(), Estimate()], [1 / 2, 1 / 2]),
            ([known(1.0, 0), Estimate(), known(3.0)], [6 / 11, 3 / 11, 2 / 11]),
        ):
            for share, wanted in zip(self.shares(draw, estimates), expected, strict=True):
                self.assertAlmostEqual(share, wanted, delta=0.02)

    def test_a_server_without_samples_takes_the_mean_of_the_others(self) -> None:
        busy = Estimate()
        busy.record_sent()
        self.assertEqual(Draw(Random(1)).expected_times([known(1.0), known(3.0), Estimate(), busy], 0.0), [1, 3, 2, 4])

    def test_servers_without_an_idle_connection_are_drawn_less(self) -> None:
        draw = Draw(Random(1))
        for count, with_one, expected in ((10, 2, 0.1 / 1.1), (2, 1, 0.1 / 1.1), (4, 3, 1 / 10)):
            without_idle = [n >= with_one for n in range(count)]
            hits = sum(
                without_idle[draw.pick([known(1.0) for _ in without_idle], 0.0, without_idle)] for _ in range(10_000)
            )
            self.assertAlmostEqual(hits / 10_000, expected, delta=0.015)
        slow = [known(9.0), known(1.0)]
        hits = sum(draw.pick(slow, 0.0, [False, True]) for _ in range(10_000))
        self.assertAlmostEqual(hits / 10_000, 0.9 / 1.9, delta=0.02)

    def test_a_reported_load_counts_until_it_is_old(self) -> None:
        estimate = known(1.0)
        estimate.record_reported_load(b"3,2,8", 10.0)
        estimate.record_sent()
        self.assertEqual(estimate.load_now(10.1, 5), 6)
        estimate.record_ended()
        self.assertEqual(estimate.load_now(10.1, 5), 5)
        self.assertEqual(estimate.load_now(20.0, 5), 0)
        for value in (b"", b"x", b"1", b"a,b,c", None):
            estimate.record_reported_load(value, 30.0)
            self.assertEqual(estimate.load_now(30.0, 5), 0)

    def test_without_a_report_own_requests_are_multiplied_by_the_proxies(self) -> None:
        self.assertEqual(known(1.0, 2).load_now(0.0, 8), 16)

    def test_failures_count_as_the_time_out_and_fade(self) -> None:
        draw, bad, good = Draw(Random(1)), Estimate(), Estimate()
        for estimate in (bad, good):
            for _ in range(5):
                draw.record_response(estimate, "r", 0.05, 0.0)
        draw.record_failure(bad, "r", 1.5, 0.0)
        self.assertGreater(bad.slowness, 10.0)
        self.assertLessEqual(bad.slowness, MAX_SAMPLE)
        self.assertLess(self.shares(draw, [bad, good])[0], 0.1)
        self.assertGreater(self.shares(draw, [bad, good], HALF_LIFE_S * 8)[0], 0.4)

    def test_requests_of_two_sizes_are_measured_by_their_own_usual_time(self) -> None:
        draw, estimate = Draw(Random(1)), Estimate()
        for _ in range(30):
            draw.record_response(estimate, "short", 0.01, 0.0)
            draw.record_response(estimate, "long", 1.0, 0.0)
        self.assertAlmostEqual(estimate.slowness, 1.0, delta=0.05)


class Events(unittest.TestCase):
    def test_the_same_events_however_the_bytes_come(self) -> None:
        data = b"id: 1\ndata: a\ndata: b\n\nweight-versions: 7\nid: 2\ndata:c\n\n\nid: 3\r\ndata: d\r\n\r\nid: 4\n"
        for size in (1, 2, 3, 7, len(data)):
            reader, events = EventReader(), []
            for n in range(0, len(data), size):
                events += reader.feed(data[n : n + size])
            self.assertEqual(
                [(e.ident, e.data, e.version) for e in events], [(1, b"a\nb", None), (2, b"c", 7), (3, b"d", None)]
            )
            self.assertTrue(reader.partial)

    def test_a_transcript_takes_the_next_event_and_no_other(self) -> None:
        def event(n: int) -> Any:
            return EventReader().feed(b"id: %d\ndata: d%d\n\n" % (n, n))[0]

        for numbers, taken in (((5, 6, 7), 3), ((5, 6, 6, 7), 2), ((5, 6, 5), 2), ((0, 2), 1), ((3,), 1)):
            transcript = Transcript()
            self.assertEqual([transcript.append(event(n)) for n in numbers].count(True), taken)
            self.assertEqual(transcript.broken, taken < len(numbers))
            self.assertEqual(transcript.text, b"\n".join(b"d%d" % n for n in numbers[:taken]))

    def test_versions(self) -> None:
        for value, version in ((None, None), (b"", None), (b"3", 3), (b"3, 4", 4), (b"x", None)):
            self.assertEqual(versions_of(value), version)


class Configurations(unittest.TestCase):
    def test_hosts(self) -> None:
        for host, key in (("A.example", "a.example"), ("a.example:8080", "a.example"), (" a ", "a"), ("", "")):
            self.assertEqual(host_key(host), key)

    def test_a_split_without_the_weights_of_0(self) -> None:
        split = [{"backend": "one", "weight": 0}, {"backend": "two", "weight": 5}]
        document = {"gen": 1, "routes": [route(backend=None, split=split)], "backends": []}
        read = config.read(ConfigurationRecord(document))
        self.assertEqual(read.routes[0].split, (("two", 5.0),))
        self.assertFalse(read.routes[0].allows("one"))

    @in_virtual_time
    async def test_a_split_is_drawn_by_weight(self: Any) -> None:
        split = [{"backend": "one", "weight": 90}, {"backend": "two", "weight": 10}]
        world = World([route(backend=None, split=split)])
        world.server("i-1", serve, "one")
        world.server("i-2", serve, "two")
        found = world.fleet.config.routes[0]
        picks = [world.fleet.pick(found) for _ in range(4000)]
        self.assertAlmostEqual(sum(p is not None and p.id == "i-2" for p in picks) / 4000, 0.1, delta=0.02)
        world.put("server/i-1", None)
        picked = world.fleet.pick(found)
        assert picked
        self.assertEqual(picked.id, "i-2")


class Calls:
    """Batch job calls from a client to a job store node with scripted answers."""

    def __init__(self) -> None:
        self.world = World([route("l", "/l/", "rollout", targetMs=400)])
        list_job_store_node(self.world)
        self.endpoint = FakeEndpoint()
        directory = JobStoreDirectory(self.world.fleet, self.endpoint, settings(), NoItems())
        batch_jobs = BatchJobs(directory)

        async def handle(request: Any, client: Client) -> None:
            if is_batch_job_call(request):
                await batch_jobs.handle(request, client)
            else:
                await batch_jobs.submit(request, client, self.world.fleet.config.routes[0])

        self.ingress = Ingress(handle, Caps)

    def set_answers(self, kind: type, *answers: Any) -> None:
        self.endpoint.answers[kind] = list(answers)

    async def ask(self, method: str, path: str, **more: Any) -> tuple[int, bytes]:
        answer = await FakeClient(self.ingress).ask(method=method, path=path, ident="j1", **more)
        return answer.status, answer.body


class BatchJobCalls(unittest.TestCase):
    def test_503_only_if_the_submission_was_never_accepted(self) -> None:
        moved, timed_out = Failure(Code.NOT_PRIMARY, ""), Failure(Code.TIMED_OUT, "")
        gone, unread = Failure(Code.UNREACHABLE, ""), Failure(Code.BAD_JOB, "")
        for answers, status in (
            ([Done()], 202),
            ([moved, Failure(Code.NOT_SYNCED, ""), gone, Done()], 202),
            ([timed_out, Done()], 202),
            ([moved] * 100, 503),
            ([gone] * 100, 503),
            ([timed_out] + [moved] * 100, 502),
            ([moved, Failure(Code.CLOSED, "")] + [gone] * 100, 502),
            ([Failure(Code.INTERNAL, "")] * 100, 502),
            ([unread], 400),
            ([timed_out, unread], 502),
        ):

            async def main(answers: list[Any] = answers) -> int:
                calls = Calls()
                calls.set_answers(SubmitJob, *answers)
                status, _ = await calls.ask("POST", "/l/7", body=b'{"reqs":[]}')
                return status

            with self.subTest(answers=answers[:2]):
                self.assertEqual(virtual.run(main), status)

    @in_virtual_time
    async def test_a_submission_is_held_no_longer_than_its_route_allows(self: Any) -> None:
        calls = Calls()
        record = calls.world.store.record(ConfigurationRecord)
        assert record is not None
        raw = dict(record.document["routes"][0])
        calls.world.configure([raw | {"timeoutMs": 200}])
        calls.set_answers(SubmitJob, *[Failure(Code.NOT_PRIMARY, "")] * 100)
        started = calls.world.loop.time()
        status, _ = await calls.ask("POST", "/l/7", body=b'{"reqs":[]}')
        self.assertEqual(status, 503)
        self.assertLess(calls.world.loop.time() - started, 0.2 + 0.25)

    @in_virtual_time
    async def test_submitted_as_it_came(self: Any) -> None:
        calls = Calls()
        await calls.ask("POST", "/l/7", body=b'{"reqs":[]}')
        ask = calls.endpoint.calls[0]
        self.assertEqual((ask.job, ask.host, ask.route, ask.body), ("j1", "shop.example", "l", b'{"reqs":[]}'))

    @in_virtual_time
    async def test_results(self: Any) -> None:
        calls = Calls()
        calls.set_answers(ReadJob, JobResults(9, 3, b'{"id":"a"},{"id":"b"}'))
        status, body = await calls.ask("GET", "/lots/j1?past=1", head="Wait-Ms: 1000\r\n")
        self.assertEqual(
            (status, json.loads(body)), (200, {"total": 9, "nextCursor": 3, "results": [{"id": "a"}, {"id": "b"}]})
        )
        ask = calls.endpoint.calls[0]
        self.assertEqual((ask.job, ask.offset, ask.wait_ms), ("j1", 1, 1000))

    def test_404_only_if_reported_by_the_serving_node(self) -> None:
        for kind, method, path in (
            (ReadJob, "GET", "/lots/j1?past=0"),
            (ReadItem, "GET", "/items/j1?id=i"),
            (EndJob, "DELETE", "/lots/j1"),
        ):
            for code, status in (
                (Code.UNKNOWN_JOB, 404),
                (Code.NOT_PRIMARY, 503),
                (Code.TIMED_OUT, 503),
                (Code.UNREACHABLE, 503),
                (Code.NOT_SYNCED, 503),
            ):

                async def main(kind: type = kind, method: str = method, path: str = path, code: Code = code) -> int:
                    calls = Calls()
                    calls.set_answers(kind, *[Failure(code, "")] * 100)
                    return (await calls.ask(method, path))[0]

                with self.subTest(kind=kind.__name__, code=code.name):
                    self.assertEqual(virtual.run(main), status)

    @in_virtual_time
    async def test_bodies_and_ends(self: Any) -> None:
        calls = Calls()
        calls.set_answers(ReadItem, ItemBody(b"\x00bytes"))
        self.assertEqual(await calls.ask("GET", "/items/j1?id=i%201"), (200, b"\x00bytes"))
        self.assertEqual(calls.endpoint.calls[0].item, "i 1")
        self.assertEqual((await calls.ask("DELETE", "/lots/j1"))[0], 200)
        calls.set_answers(EndJob, Failure(Code.JOB_ENDED, ""))
        self.assertEqual((await calls.ask("DELETE", "/lots/j1"))[0], 200)


class Listener(unittest.TestCase):
    def ingress(self, seconds: float = 0.0) -> Ingress:
        async def handle(request: Any, client: Client) -> None:
            await asyncio.sleep(seconds)
            client.respond(200, {}, request.target + request.body)

        return Ingress(handle, lambda: Caps(1000, 2000, 1.0, 5.0))

    def test_bounds(self) -> None:
        for data, status in (
            (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000 + b"\r\n\r\n", 431),
            (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2001\r\n\r\n", 413),
            (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d1\r\n" + b"x" * 2001, 413),
            (b"nonsense\r\n\r\n", 400),
            (b"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400),
            (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
            (b"GET /a HTTP/1.1\r\nHos", 408),
        ):

            async def main(data: bytes = data) -> int:
                ingress = self.ingress()
                sweeping = asyncio.ensure_future(ingress.sweep())
                caller = FakeClient(ingress)
                caller.transport.write(data)
                answer = await caller.answer()
                sweeping.cancel()
                return answer.status if answer else 0

            with self.subTest(data=data[:30]):
                self.assertEqual(virtual.run(main), status)

    @in_virtual_time
    async def test_answers_in_order_on_one_connection(self: Any) -> None:
        caller = FakeClient(self.ingress(0.01))
        for n in range(5):
            caller.send(f"/{n}", body=b"b")
        got = [(await caller.next()).body for _ in range(5)]
        self.assertEqual(got, [b"/%db" % n for n in range(5)])

    @in_virtual_time
    async def test_a_body_is_asked_for_after_the_answers_before_it(self: Any) -> None:
        caller = FakeClient(self.ingress(0.1))
        caller.transport.write(b"GET /0 HTTP/1.1\r\nHost: h\r\n\r\n")
        caller.transport.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPUT /2 HTTP/1.1\r\nHost: h\r\n")
        caller.transport.write(b"Content-Length: 4\r\nExpect: 100-continue\r\n\r\n")
        await asyncio.sleep(0.5)
        self.assertEqual(caller.data.count(b"HTTP/1.1 200"), 2)
        self.assertTrue(caller.data.endswith(b"HTTP/1.1 100 Continue\r\n\r\n"))
        caller.transport.write(b"body")
        await asyncio.sleep(0.5)
        self.assertTrue(caller.data.endswith(b"/2body"))

    @in_virtual_time
    async def test_a_body_is_not_asked_for_in_the_middle_of_what_came_with_it(self: Any) -> None:
        caller = FakeClient(self.ingress(0.1))
        head = b"PUT /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
        caller.transport.write(b"GET /0 HTTP/1.1\r\nHost: h\r\n\r\n" + head)
        await asyncio.sleep(0.5)
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 200"))
        self.assertTrue(caller.data.endswith(b"HTTP/1.1 100 Continue\r\n\r\n"))

    @in_virtual_time
    async def test_a_head_that_comes_byte_by_byte_has_its_time_as_a_whole(self: Any) -> None:
        """The limits are headerMs = 1 s and idleMs = 5 s."""
        ingress = self.ingress()
        sweeping = asyncio.ensure_future(ingress.sweep())
        caller = FakeClient(ingress)
        for byte in b"GET /a HTTP/1.1\r\nHost: h\r\n":
            caller.transport.write(bytes([byte]))
            await asyncio.sleep(0.1)
        self.assertEqual([answer.status for answer in caller.answers], [408])
        sweeping.cancel()

    @in_virtual_time
    async def test_a_body_may_take_long_as_long_as_it_comes(self: Any) -> None:
        ingress = self.ingress()
        sweeping = asyncio.ensure_future(ingress.sweep())
        caller = FakeClient(ingress)
        caller.transport.write(b"PUT /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
        for _ in range(10):
            await asyncio.sleep(2.0)
            caller.transport.write(b"b")
        self.assertEqual((await caller.next()).status, 200)
        sweeping.cancel()

    @in_virtual_time
    async def test_a_connection_that_rested_four_fifths_of_idle_ms_takes_a_request(self: Any) -> None:
        ingress = self.ingress()
        sweeping = asyncio.ensure_future(ingress.sweep())
        caller = FakeClient(ingress)
        for n in range(3):
            caller.send(f"/{n}")
            self.assertEqual((await caller.next()).status, 200)
            await asyncio.sleep(4.0)
        self.assertFalse(caller.lost)
        sweeping.cancel()

    @in_virtual_time
    async def test_chunked_bodies(self: Any) -> None:
        caller = FakeClient(self.ingress())
        caller.transport.write(b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n")
        self.assertEqual((await caller.next()).body, b"/axy")

    @in_virtual_time
    async def test_idle_connections_end(self: Any) -> None:
        ingress = self.ingress()
        sweeping = asyncio.ensure_future(ingress.sweep())
        caller = FakeClient(ingress)
        await caller.ask()
        await asyncio.sleep(4.0)
        self.assertFalse(caller.lost)
        await asyncio.sleep(2.0)
        sweeping.cancel()
        self.assertTrue(caller.lost)

    @in_virtual_time
    async def test_shutdown_answers_accepted_requests(self: Any) -> None:
        ingress = self.ingress(0.5)
        idle, busy = FakeClient(ingress), FakeClient(ingress)
        busy.send()
        await asyncio.sleep(0.01)
        leaving = asyncio.ensure_future(ingress.shut_down(0.2, 5.0))
        await asyncio.sleep(0.1)
        late = FakeClient(ingress)
        late.send("/late")
        answer = await busy.next()
        self.assertEqual((answer.status, answer.keep_alive), (200, False))
        self.assertEqual((await late.next()).body, b"/late")
        await leaving
        self.assertTrue(idle.lost and busy.lost and late.lost)

    @in_virtual_time
    async def test_a_fault_in_a_handler_promises_nothing(self: Any) -> None:
        async def handle(request: Any, client: Client) -> None:
            raise ValueError("boom")

        answer = await FakeClient(Ingress(handle, Caps)).ask()
        self.assertEqual(answer.status, 502)


class Readiness(unittest.TestCase):
    @in_virtual_time
    async def test_ready_once_it_is_as_new_as_the_core(self: Any) -> None:
        world = World([route()])
        proxy = Proxy.__new__(Proxy)
        age = 5.0

        class Follower:
            def age_s(self) -> float:
                return age

        class Node:
            follower = Follower()

        proxy.node, proxy.fleet = Node(), world.fleet  # type: ignore[assignment]
        proxy.shutting_down = proxy._been_ready = False
        self.assertFalse(proxy.ready)
        world.server("i-1", serve)
        self.assertFalse(proxy.ready)
        age = 0.5
        self.assertTrue(proxy.ready)
        age = 30.0
        self.assertTrue(proxy.ready)
        proxy.shutting_down = True
        self.assertFalse(proxy.ready)


if __name__ == "__main__":
    unittest.main()
