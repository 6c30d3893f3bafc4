"""Items of batch jobs: generation, resumption, failures, reward calls, confirmation, cancellation, return."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from math import ceil
from typing import Any

from otterreach.jobstore.messages import AssignItems, CancelJob, ItemFinished, ProxyPing, ReturnItems, RunningItems
from otterreach.jobstore.placement import RUNNER_SLOTS_SHARE, partition_of
from otterreach.proxy.item_placement import ROUTE_MISSING_TIMEOUT_S
from otterreach.proxy.item_queue import ITEMS_PER_CORE
from otterreach.proxy.item_return import RETURN_AFTER_S, RETURN_TEXT_AFTER_S
from otterreach.proxy.item_run import Phase
from otterreach.proxy.ping_schedule import LONG_INTERVAL_S, SHORT_INTERVAL_S
from otterreach.proxy.runner import Runner
from otterreach.proxy.send_permission import MAX_ENDED_JOBS, SendPermission
from otterreach.proxy.text_generation import FIRST_EVENT_TIMEOUT_S
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from tests import virtual
from tests.proxy.proxy_support import (
    JOB_STORE_NODE,
    Call,
    FakeEndpoint,
    FakeServer,
    Script,
    World,
    after,
    assign,
    disconnect,
    fail,
    list_job_store_node,
    reject,
    route,
    serve,
    settings,
    silence,
    work,
)

CANCEL_S = 3.0


class Stage:
    """A runner with its model servers and its job store node."""

    def __init__(self, **item_route: Any) -> None:
        items = route("l", "/l/", "rollout", backend="lm", maxWaitS=40, dueMs=5000) | item_route
        self.world = World([items, route("score", "/a/", backend="svc", tries=2)])
        list_job_store_node(self.world)
        self.world.add_proxies(1)
        self.endpoint = FakeEndpoint()
        self.state_age_s = 0.0
        self.runner = Runner(self.world.fleet, self.endpoint, settings(), lambda: self.state_age_s)
        self.loop = self.world.loop
        self.tasks = [asyncio.ensure_future(w) for w in (self.runner.directory.run(), self.runner.watch())]

    def server(self, ident: str, script: Script, version: int = 1, cap: int = 4) -> FakeServer:
        return self.world.server(ident, script, "lm", cap=cap, models=[{"name": "m", "gen": version}])

    async def begin(self) -> None:
        await asyncio.sleep(0.01)

    async def result(self, within_s: float = 20.0) -> ItemFinished:
        end = self.loop.time() + within_s
        while not self.endpoint.finished and self.loop.time() < end:
            await asyncio.sleep(0.01)
        return self.endpoint.finished[0]


def text_of(count: int) -> str:
    return "\n".join(f"d{n}" for n in range(count))


def writes(count: int, version: int = 1, until: int | None = None, gap_s: float = 0.01) -> Script:
    """Return a script that sends events from the resume position and disconnects before event `until`."""

    async def script(call: Call) -> None:
        last = call.header(b"last-event-id")
        start = 0 if last is None else int(last) + 1
        call.begin(b"Reply-Seal: s\r\nWeight-Versions: %d\r\n" % version)
        for n in range(start, count):
            if n == until:
                call.disconnect()
                return
            await asyncio.sleep(gap_s)
            call.event(n, f"d{n}")
        call.end_stream()

    return script


def staged(**item_route: Any) -> Callable[[Callable[[Any, Stage], Awaitable[None]]], Callable[[Any], None]]:
    def wrap(main: Callable[[Any, Stage], Awaitable[None]]) -> Callable[[Any], None]:
        def test(self: Any) -> None:
            async def body() -> None:
                stage = Stage(**item_route)
                await stage.begin()
                await main(self, stage)

            virtual.run(body)

        return test

    return wrap


class Texts(unittest.TestCase):
    @staged()
    async def test_a_whole_text(self, stage: Stage) -> None:
        server = stage.server("i-1", writes(5, 3))
        stage.runner.assign(assign([work()]))
        done = await stage.result()
        self.assertEqual((done.job, done.item, done.state, done.text), ("j1", "i1", "done", text_of(5)))
        self.assertEqual((done.versions, done.score), ([3], ""))
        call = server.calls[0]
        self.assertEqual((call.id, call.header(b"model"), call.request.body), ("i1", "m", b"prompt"))
        self.assertEqual((call.header(b"expect-server"), call.header(b"host")), ("i-1", "shop.example"))
        self.assertGreater(int(call.header(b"deadline-ms") or 0), 30_000)

    @staged()
    async def test_a_broken_text_is_resumed_at_another_server(self, stage: Stage) -> None:
        servers = [stage.server(f"i-{n}", writes(6, 1, 3)) for n in (1, 2)]

        async def once(call: Call) -> None:
            calls = sum(len(s.calls) for s in servers)
            await writes(6, 1, 3 if calls == 1 else None)(call)

        for server in servers:
            server.script = once
        stage.runner.assign(assign([work()]))
        self.assertEqual((await stage.result()).text, text_of(6))
        asked = [c.header(b"last-event-id") for s in servers for c in s.calls]
        self.assertEqual(sorted(asked, key=str), ["2", None])
        self.assertEqual([len(s.calls) for s in servers], [1, 1])

    @staged()
    async def test_result_names_every_version_that_generated_an_event(self, stage: Stage) -> None:
        async def script(call: Call) -> None:
            call.begin(b"Reply-Seal: s\r\nWeight-Versions: 3\r\n")
            call.event(0, "a")
            call.event(1, "b", 4)
            call.end_stream()

        stage.server("i-1", script)
        stage.runner.assign(assign([work()], min_version=0))
        self.assertEqual((await stage.result()).versions, [3, 4])

    @staged()
    async def test_result_omits_a_version_that_generated_no_event(self, stage: Stage) -> None:
        async def script(call: Call) -> None:
            call.begin(b"Reply-Seal: s\r\nWeight-Versions: 3\r\n")
            call.event(0, "b", 4)
            call.end_stream()

        stage.server("i-1", script)
        stage.runner.assign(assign([work()]))
        self.assertEqual((await stage.result()).versions, [4])

    @staged()
    async def test_a_text_without_seal_or_end_is_not_accepted(self, stage: Stage) -> None:
        scripts: list[Script] = []

        async def without_seal(call: Call) -> None:
            call.begin(b"Weight-Versions: 1\r\n")
            call.event(0, "bad")
            call.end_stream()

        async def next_one(call: Call) -> None:
            await scripts.pop(0)(call)

        scripts += [without_seal, disconnect, reject, writes(4)]
        stage.server("i-1", next_one)
        stage.runner.assign(assign([work()]))
        done = await stage.result()
        self.assertEqual((done.state, done.text, scripts), ("done", text_of(4), []))

    @staged()
    async def test_a_resumed_run_with_a_gap_begins_anew(self, stage: Stage) -> None:
        asked: list[str | None] = []

        async def script(call: Call) -> None:
            asked.append(call.header(b"last-event-id"))
            if len(asked) == 1:
                await writes(5, 1, 2)(call)
            elif len(asked) == 2:
                call.begin(b"Reply-Seal: s\r\nWeight-Versions: 1\r\n")
                call.event(3, "d3")
                call.end_stream()
            else:
                await writes(5)(call)

        stage.server("i-1", script)
        stage.runner.assign(assign([work()]))
        self.assertEqual((await stage.result()).text, text_of(5))
        self.assertEqual(asked, [None, "1", None])

    @staged()
    async def test_a_stalled_attempt_is_ended(self, stage: Stage) -> None:
        async def stalls(call: Call) -> None:
            call.begin(b"Reply-Seal: s\r\nWeight-Versions: 1\r\n")
            call.event(0, "d0")
            await silence(call)

        first = stage.server("i-1", stalls)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(0.1)
        stage.server("i-2", writes(3))
        started = stage.loop.time()
        self.assertEqual((await stage.result()).text, text_of(3))
        self.assertLess(stage.loop.time() - started, 2.0)
        self.assertEqual(first.dropped, ["i1"])


class Versions(unittest.TestCase):
    @staged()
    async def test_only_servers_with_weights_new_enough(self, stage: Stage) -> None:
        old, new = stage.server("i-1", writes(3, 4), 4), stage.server("i-2", writes(3, 5), 5)
        stage.runner.assign(assign([work(f"i{n}") for n in range(8)], min_version=5))
        while len(stage.endpoint.finished) < 8:
            await asyncio.sleep(0.01)
        self.assertEqual((len(old.calls), len(new.calls)), (0, 8))

    @staged()
    async def test_text_of_an_older_version_is_rejected(self, stage: Stage) -> None:
        wrong = stage.server("i-1", writes(3, 4), 5)
        stage.runner.assign(assign([work()], min_version=5))
        await asyncio.sleep(0.5)
        self.assertEqual(stage.endpoint.finished, [])
        wrong.script = writes(3, 5)
        done = await stage.result()
        self.assertEqual((done.versions, done.text), ([5], text_of(3)))

    @staged(single=True)
    async def test_a_single_version_text_is_resumed_only_under_its_version(self, stage: Stage) -> None:
        """Text of version 1 is resumed only under version 1; without such a server it restarts under version 2."""
        first = stage.server("i-1", writes(5, 1, 2), 1)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(0.012)
        other = stage.server("i-2", writes(5, 2), 2)
        while not first.dropped and len(first.calls) < 2:
            await asyncio.sleep(0.01)
        self.assertEqual((other.calls, first.calls[1].header(b"last-event-id")), ([], "1"))
        self.assertEqual(first.calls[1].header(b"expect-version"), "1")
        stage.world.put("server/i-1", None)
        done = await stage.result()
        self.assertEqual((done.versions, done.text), ([2], text_of(5)))
        self.assertIsNone(other.calls[0].header(b"last-event-id"))

    @staged(single=True)
    async def test_a_version_change_restarts_a_single_version_text(self, stage: Stage) -> None:
        count = 0

        async def script(call: Call) -> None:
            nonlocal count
            count += 1
            if count > 1:
                await writes(4, 2)(call)
                return
            call.begin(b"Reply-Seal: s\r\nWeight-Versions: 1\r\n")
            call.event(0, "d0")
            call.event(1, "d1", 2)
            call.end_stream()

        stage.server("i-1", script)
        stage.runner.assign(assign([work()]))
        done = await stage.result()
        self.assertEqual((done.versions, done.text, count), ([2], text_of(4), 2))


class PermanentFailures(unittest.TestCase):
    @staged(tries=3)
    async def test_failed_after_so_many_500s(self, stage: Stage) -> None:
        server = stage.server("i-1", fail)
        stage.runner.assign(assign([work()]))
        done = await stage.result()
        self.assertEqual((done.state, done.reason, len(server.calls)), ("errored", "failed", 3))

    @staged(tries=2)
    async def test_other_failures_do_not_count(self, stage: Stage) -> None:
        scripts: list[Script] = [fail, disconnect, reject, disconnect, disconnect, writes(2)]

        async def next_one(call: Call) -> None:
            await scripts.pop(0)(call)

        stage.server("i-1", next_one)
        stage.runner.assign(assign([work()]))
        self.assertEqual((await stage.result()).state, "done")

    @staged()
    async def test_unprocessable(self, stage: Stage) -> None:
        async def never(call: Call) -> None:
            call.answer(422, b"", b"")

        server = stage.server("i-1", never)
        stage.runner.assign(assign([work()]))
        done = await stage.result()
        self.assertEqual((done.state, done.reason, len(server.calls)), ("errored", "unprocessable", 1))

    @staged()
    async def test_given_up_only_after_its_time(self, stage: Stage) -> None:
        stage.server("i-1", reject)
        stage.runner.assign(assign([work()], wait_ms=3000))
        started = stage.loop.time()
        done = await stage.result()
        self.assertEqual((done.state, done.reason), ("errored", "waited"))
        self.assertGreater(stage.loop.time() - started, 3.0)

    @staged()
    async def test_given_up_only_once_its_route_has_long_been_gone(self, stage: Stage) -> None:
        server = stage.server("i-1", writes(2))
        scorer_route = route("score", "/a/", backend="svc", tries=2)
        stage.world.configure([scorer_route])
        stage.runner.assign(assign([work("i1")]))
        await asyncio.sleep(ROUTE_MISSING_TIMEOUT_S - 0.2)
        self.assertEqual(stage.endpoint.finished, [])
        done = await stage.result()
        self.assertEqual((done.state, done.reason, server.calls), ("errored", "route_gone", []))

    @staged()
    async def test_a_route_that_comes_back_in_time(self, stage: Stage) -> None:
        stage.server("i-1", writes(2))
        scorer_route = route("score", "/a/", backend="svc", tries=2)
        item_route = route("l", "/l/", "rollout", backend="lm", maxWaitS=40, dueMs=5000)
        stage.world.configure([scorer_route])
        stage.runner.assign(assign([work("i1")]))
        await asyncio.sleep(ROUTE_MISSING_TIMEOUT_S - 0.5)
        stage.world.configure([item_route, scorer_route])
        self.assertEqual((await stage.result()).state, "done")

    @staged()
    async def test_result_is_reported_until_acknowledged(self, stage: Stage) -> None:
        stage.endpoint.answers[ItemFinished] = [
            Failure(Code.NOT_PRIMARY, ""),
            Failure(Code.TIMED_OUT, ""),
            Failure(Code.CLOSED, ""),
        ]
        stage.server("i-1", writes(2))
        stage.runner.assign(assign([work()]))
        self.assertEqual((await stage.result()).text, text_of(2))

    @staged()
    async def test_reporting_stops_after_a_final_rejection(self, stage: Stage) -> None:
        stage.endpoint.answers[ItemFinished] = [Failure(Code.JOB_ENDED, "")]
        stage.server("i-1", writes(2))
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(2.0)
        self.assertEqual((stage.endpoint.finished, stage.runner.runs), ([], {}))


class Rewards(unittest.TestCase):
    @staged()
    async def test_reward_call_follows_the_last_event(self, stage: Stage) -> None:
        lm = stage.server("i-1", writes(3, gap_s=0.1))
        scorer = stage.world.server("s-1", serve)
        stage.runner.assign(assign([work(scorer="r1")]))
        await asyncio.sleep(0.25)
        self.assertEqual(scorer.calls, [])
        done = await stage.result()
        self.assertEqual((done.state, done.score, len(lm.calls)), ("done", "s-1", 1))
        call = scorer.calls[0]
        self.assertEqual((call.id, call.request.body, call.request.target), ("r1", b"sc", b"/a/score"))

    @staged(tries=2)
    async def test_failed_after_so_many_500s(self, stage: Stage) -> None:
        stage.server("i-1", writes(1))
        scripts: list[Script] = [disconnect, reject, fail, fail]

        async def next_one(call: Call) -> None:
            await scripts.pop(0)(call)

        stage.world.server("s-1", next_one)
        stage.runner.assign(assign([work(scorer="r1")]))
        done = await stage.result()
        self.assertEqual((done.state, done.reason, scripts), ("errored", "reward_failed", []))

    @staged()
    async def test_no_score_without_a_2xx(self, stage: Stage) -> None:
        stage.server("i-1", writes(1))
        scripts: list[Script] = [disconnect, fail, serve]

        async def next_one(call: Call) -> None:
            await scripts.pop(0)(call)

        stage.world.server("s-1", next_one)
        stage.runner.assign(assign([work(scorer="r1")]))
        self.assertEqual((await stage.result()).score, "s-1")


class Confirmation(unittest.TestCase):
    @staged()
    async def test_no_item_is_sent_without_confirmation(self, stage: Stage) -> None:
        server = stage.server("i-1", writes(2))
        stage.endpoint.reachable = False
        await asyncio.sleep(CANCEL_S)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(2.0)
        self.assertEqual(server.calls, [])
        stage.endpoint.reachable = True
        self.assertEqual((await stage.result()).state, "done")

    @staged()
    async def test_an_old_confirmation_does_not_count(self, stage: Stage) -> None:
        server = stage.server("i-1", writes(2))
        stage.endpoint.age_ms = 1300
        await asyncio.sleep(1.5)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(1.0)
        self.assertEqual(server.calls, [])

    @staged()
    async def test_confirmation_is_checked_again_before_the_write(self, stage: Stage) -> None:
        """The process is paused while the connection is established."""
        server = stage.server("i-1", writes(2))
        stage.endpoint.reachable = False
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(0)
        assert isinstance(stage.loop, virtual.VirtualLoop)
        stage.loop.freeze(2.0)
        await asyncio.sleep(1.0)
        self.assertEqual(server.calls, [])

    @staged()
    async def test_a_reward_call_needs_confirmation_too(self, stage: Stage) -> None:
        async def final_answer(call: Call) -> None:
            await writes(1)(call)
            stage.endpoint.reachable = False
            stage.loop.freeze(2.0)  # type: ignore[attr-defined]

        stage.server("i-1", final_answer)
        scorer = stage.world.server("s-1", serve)
        stage.runner.assign(assign([work(scorer="r1")]))
        await asyncio.sleep(2.0)
        self.assertEqual(scorer.calls, [])

    @staged()
    async def test_an_older_epoch_assigns_nothing(self, stage: Stage) -> None:
        stage.endpoint.epoch = 4
        await asyncio.sleep(LONG_INTERVAL_S + 0.1)  # by then a proxy without items has received the new epoch
        stage.runner.assign(assign([work()], epoch=3))
        self.assertEqual(stage.runner.runs, {})

    @staged()
    async def test_an_epoch_older_than_the_control_state_assigns_nothing(self, stage: Stage) -> None:
        job = "j1"
        record = {"epoch": 4, "primary": "store-0#d", "backups": [], "joining": []}
        stage.world.put(f"part/{partition_of(job)}", record)
        stage.runner.assign(assign([work()], job, epoch=3))
        self.assertEqual(stage.runner.runs, {})
        stage.runner.assign(assign([work()], job, epoch=4))
        self.assertEqual(list(stage.runner.runs), [(job, "i1")])

    @staged()
    async def test_running_items_are_reported_to_a_new_epoch(self, stage: Stage) -> None:
        stage.server("i-1", silence)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(0.3)
        stage.endpoint.epoch = 2
        await asyncio.sleep(0.3)
        reports = [m for m in stage.endpoint.to.sent if isinstance(m, RunningItems) and m.items]
        self.assertEqual([(m.node, m.items) for m in reports], [("front-0", ["j1 i1"])])


class CancellationAndShutdown(unittest.TestCase):
    @staged()
    async def test_cancel_breaks_off_and_drops(self, stage: Stage) -> None:
        server = stage.server("i-1", silence, cap=1)
        stage.runner.assign(assign([work(f"i{n}") for n in range(5)]))
        await asyncio.sleep(0.2)
        await stage.endpoint.handlers[CancelJob](None, CancelJob("j1"))
        await asyncio.sleep(0.2)
        self.assertEqual((server.dropped, stage.runner.runs), (["i0"], {}))
        stage.runner.assign(assign([work("i9")]))
        self.assertEqual(stage.runner.runs, {})
        self.assertEqual(stage.world.fleet.servers["i-1"].estimate.in_flight, 0)

    @staged()
    async def test_a_lost_cancel_is_made_up_by_the_next_pong(self, stage: Stage) -> None:
        stage.server("i-1", silence)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(0.1)
        stage.endpoint.ended = ["j1"]
        await asyncio.sleep(0.3)
        self.assertEqual(stage.runner.runs, {})

    @staged()
    async def test_shutdown_completes_running_items_and_returns_queued_ones(self, stage: Stage) -> None:
        stage.server("i-1", after(0.5, writes(2)), cap=2)
        stage.runner.assign(assign([work(f"i{n}") for n in range(4)]))
        await asyncio.sleep(0.1)
        await stage.runner.shut_down(4.0)
        self.assertEqual(sorted(f.item for f in stage.endpoint.finished), ["i0", "i1"])
        returned_messages = [m for m in stage.endpoint.to.sent if isinstance(m, ReturnItems)]
        self.assertEqual([(m.job, m.items) for m in returned_messages], [("j1", ["i2", "i3"])])

    @staged()
    async def test_shutdown_returns_items_that_do_not_complete(self, stage: Stage) -> None:
        stage.server("i-1", silence, cap=2)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(0.1)
        await stage.runner.shut_down(1.0)
        returned_messages = [m for m in stage.endpoint.to.sent if isinstance(m, ReturnItems)]
        self.assertEqual([(m.job, m.items) for m in returned_messages], [("j1", ["i1"])])
        self.assertEqual(stage.runner.runs, {})


class Pings(unittest.TestCase):
    """Pings of a proxy: frequent with items, rare without, immediate on assignment and shutdown."""

    @staticmethod
    def pings(stage: Stage) -> list[ProxyPing]:
        return [call for call in stage.endpoint.calls if isinstance(call, ProxyPing)]

    @staged()
    async def test_without_items_the_long_interval(self, stage: Stage) -> None:
        before = len(self.pings(stage))
        await asyncio.sleep(20.0)
        count = len(self.pings(stage)) - before
        self.assertGreaterEqual(count, 20 / LONG_INTERVAL_S - 1)
        self.assertLess(count, 20 / LONG_INTERVAL_S * 1.5)

    @staged()
    async def test_with_items_the_short_interval(self, stage: Stage) -> None:
        stage.server("i-1", silence)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(0.1)
        before = len(self.pings(stage))
        await asyncio.sleep(2.0)
        self.assertGreaterEqual(len(self.pings(stage)) - before, 2.0 / SHORT_INTERVAL_S - 1)

    @staged()
    async def test_an_unanswered_ping_is_followed_by_the_next_at_the_short_interval(self, stage: Stage) -> None:
        await asyncio.sleep(3.0)
        stage.endpoint.answers[ProxyPing] = [Failure(Code.UNREACHABLE, "")] * 8
        before = len(self.pings(stage))
        await asyncio.sleep(LONG_INTERVAL_S + 6 * SHORT_INTERVAL_S)
        self.assertGreaterEqual(len(self.pings(stage)) - before, 5)

    @staged()
    async def test_an_item_goes_out_once_the_node_that_assigned_it_has_answered(self, stage: Stage) -> None:
        """At the assignment, the last pong may be older than the confirmation lease."""
        server = stage.server("i-1", writes(1))
        await asyncio.sleep(3.0)
        for owner in stage.runner.directory.owners.values():
            owner.as_of -= 1.0
        stage.runner.directory.lease_s = 0.0001  # no earlier pong counts any more
        link: Any = Link(Endpoint(), JOB_STORE_NODE)
        before = len(self.pings(stage))
        await stage.endpoint.handlers[AssignItems](link, assign([work()]))
        self.assertEqual(server.calls, [])
        stage.runner.directory.lease_s = 1.0
        await asyncio.sleep(0.02)
        self.assertEqual(len(self.pings(stage)) - before, 1)
        self.assertEqual(len(server.calls), 1)

    @staged()
    async def test_a_shutdown_is_told_at_once(self, stage: Stage) -> None:
        await asyncio.sleep(3.0)
        ending = stage.endpoint.spawn(stage.runner.shut_down(1.0))
        await asyncio.sleep(0.02)
        self.assertEqual(self.pings(stage)[-1].slots, 0)
        await ending


class ReturnedItems(unittest.TestCase):
    """An item whose servers are unreachable is returned so that another proxy may run it; all others wait."""

    @staticmethod
    def returned(stage: Stage) -> list[tuple[str, bool]]:
        messages = [m for m in stage.endpoint.to.sent if isinstance(m, ReturnItems)]
        return [(item, message.out_of_reach) for message in messages for item in message.items]

    @staged()
    async def test_unreachable_servers(self, stage: Stage) -> None:
        stage.world.add_proxies(3)
        for n in range(3):
            stage.server(f"i-{n}", serve).refuses = True
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(RETURN_AFTER_S - 0.1)
        self.assertEqual(self.returned(stage), [])
        await asyncio.sleep(0.5)
        self.assertEqual(self.returned(stage), [("i1", True)])
        self.assertEqual(stage.runner.runs, {})

    @staged()
    async def test_servers_that_take_connections_and_say_nothing(self, stage: Stage) -> None:
        """As in a silent network partition: an attempt ends late, so the second one has to be the last here."""
        stage.world.add_proxies(3)
        for n in range(3):
            stage.server(f"i-{n}", silence)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(2 * FIRST_EVENT_TIMEOUT_S + 1.5)
        self.assertEqual(self.returned(stage), [("i1", True)])

    @staged()
    async def test_the_only_proxy_keeps_it(self, stage: Stage) -> None:
        server = stage.server("i-1", writes(1))
        server.refuses = True
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(4.0)
        self.assertEqual(self.returned(stage), [])
        server.refuses = False
        self.assertEqual((await stage.result()).state, "done")

    @staged()
    async def test_full_servers_are_waited_for(self, stage: Stage) -> None:
        stage.world.add_proxies(3)
        stage.server("i-1", reject)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(6.0)
        self.assertEqual(self.returned(stage), [])

    @staged()
    async def test_a_version_that_no_server_has_is_waited_for(self, stage: Stage) -> None:
        stage.world.add_proxies(3)
        stage.server("i-1", writes(1), version=1)
        stage.runner.assign(assign([work()], min_version=2))
        await asyncio.sleep(6.0)
        self.assertEqual(self.returned(stage), [])

    @staged()
    async def test_a_missing_version_with_an_old_replica_returns_the_item(self, stage: Stage) -> None:
        stage.world.add_proxies(3)
        stage.server("i-1", writes(1), version=1)
        stage.state_age_s = 5.0
        stage.runner.assign(assign([work()], min_version=2))
        await asyncio.sleep(RETURN_AFTER_S + 0.2)
        self.assertEqual(self.returned(stage), [("i1", True)])

    @staged()
    async def test_a_stuck_item_does_not_block_items_with_other_requirements(self, stage: Stage) -> None:
        stage.world.add_proxies(3)
        server = stage.server("i-1", writes(1), version=1)
        stage.runner.assign(assign([work("new")], "j1", min_version=2, left_ms=100))
        stage.runner.assign(assign([work("old")], "j2", min_version=1, left_ms=9000))
        await stage.result()
        self.assertEqual([call.id for call in server.calls], ["old"])

    @staged(single=True)
    async def test_a_text_goes_back_later_and_only_if_its_servers_are_gone(self, stage: Stage) -> None:
        stage.world.add_proxies(3)
        server = stage.server("i-1", writes(5, until=2))
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(0.05)
        server.refuses = True
        await asyncio.sleep(RETURN_AFTER_S + 0.3)
        self.assertEqual(self.returned(stage), [])
        await asyncio.sleep(RETURN_TEXT_AFTER_S - RETURN_AFTER_S + 0.3)
        self.assertEqual(self.returned(stage), [("i1", True)])

    @staged()
    async def test_after_a_while_an_item_is_not_bound_by_the_share(self, stage: Stage) -> None:
        """Several proxies may run items, but only this one does: its share must not leave the server mostly idle."""
        server = stage.server("i-1", silence, cap=32)
        stage.world.add_proxies(4)
        await asyncio.sleep(0)
        stage.runner.fleet.set_runner_count(8)
        stage.runner.assign(assign([work(f"i{n}") for n in range(10)]))
        await asyncio.sleep(1.0)
        self.assertEqual(len(server.calls), 5)
        await asyncio.sleep(1.4)
        self.assertEqual(len(server.calls), 10)


class Failures(unittest.TestCase):
    @staged(tries=3)
    async def test_those_at_earlier_proxies_count(self, stage: Stage) -> None:
        server = stage.server("i-1", fail)
        stage.runner.assign(assign([replace(work(), failures=2)]))
        result = await stage.result()
        self.assertEqual((result.state, result.reason), ("errored", "failed"))
        self.assertEqual(len(server.calls), 1)

    @staged(tries=3)
    async def test_a_returned_item_takes_its_count_along(self, stage: Stage) -> None:
        stage.world.add_proxies(2)

        async def fail_once(call: Call) -> None:
            call.server.refuses = True
            await fail(call)

        stage.server("i-1", fail_once)
        stage.runner.assign(assign([work()]))
        await asyncio.sleep(RETURN_AFTER_S + 1.0)
        (message,) = [m for m in stage.endpoint.to.sent if isinstance(m, ReturnItems)]
        self.assertEqual((message.items, message.failures), (["i1"], [1]))


class Permission(unittest.TestCase):
    @staged()
    async def test_ended_batch_jobs_are_remembered_up_to_a_bound(self, stage: Stage) -> None:
        permission = SendPermission(stage.runner.directory)
        for number in range(MAX_ENDED_JOBS + 1):
            permission.end_job(f"j{number}")
        self.assertFalse(permission.has_ended("j0"))
        self.assertTrue(permission.has_ended("j1"))
        self.assertTrue(permission.has_ended(f"j{MAX_ENDED_JOBS}"))


class Slots(unittest.TestCase):
    @staged()
    async def test_a_share_of_all_slots_and_no_more(self, stage: Stage) -> None:
        for n in range(5):
            stage.server(f"i-{n}", silence, cap=12)
        stage.world.add_proxies(1)
        await asyncio.sleep(0)
        self.assertEqual(stage.runner.slots, int(stage.runner.settings.cores * ITEMS_PER_CORE))
        self.assertEqual(stage.runner.fleet.runners, 1)
        stage.runner.assign(assign([work(f"i{n}") for n in range(60)]))
        await asyncio.sleep(0.5)
        running = [r for r in stage.runner.runs.values() if r.phase is Phase.RUNNING]
        self.assertEqual(len(running), stage.runner.slots)
        pings = [c for c in stage.endpoint.calls if isinstance(c, ProxyPing)]
        self.assertEqual((pings[-1].slots, pings[-1].free, pings[-1].jobs), (stage.runner.slots, 0, ["j1"]))
        stage.world.add_proxies(4)
        await asyncio.sleep(0)
        self.assertEqual(stage.runner.fleet.runners, ceil(60 * RUNNER_SLOTS_SHARE / stage.runner.slots))

    @staged()
    async def test_what_is_due_first_goes_first(self, stage: Stage) -> None:
        server = stage.server("i-1", after(0.1, writes(1)), cap=1)
        stage.runner.assign(assign([work("late1"), work("late2"), work("late3")], "j1", left_ms=9000))
        stage.runner.assign(assign([work("soon")], "j2", left_ms=1000))
        while len(stage.endpoint.finished) < 4:
            await asyncio.sleep(0.01)
        order = [call.id for call in server.calls]
        self.assertLess(order.index("soon"), order.index("late3"))

    @staged()
    async def test_an_item_without_an_eligible_server_uses_no_slot(self, stage: Stage) -> None:
        server = stage.server("i-1", writes(2, 1), 1, cap=2)
        stage.runner.assign(assign([work(f"n{n}") for n in range(6)], "j1", 2, left_ms=1000))
        stage.runner.assign(assign([work(f"o{n}") for n in range(6)], "j2", 1, left_ms=9000))
        while len(stage.endpoint.finished) < 6:
            await asyncio.sleep(0.01)
        self.assertEqual({call.id[0] for call in server.calls}, {"o"})
        server.script = writes(2, 2)
        stage.world.list(server, "lm", cap=2, models=[{"name": "m", "gen": 2}])
        while len(stage.endpoint.finished) < 12:
            await asyncio.sleep(0.01)
        self.assertEqual({tuple(f.versions) for f in stage.endpoint.finished if f.item[0] == "n"}, {(2,)})

    @staged()
    async def test_a_share_of_one_server(self, stage: Stage) -> None:
        """After a version change one server may be the only eligible one, and other proxies send to it as well."""
        new = stage.server("i-0", silence, 2, cap=12)
        for n in range(1, 5):
            stage.server(f"i-{n}", silence, 1, cap=12)
        stage.world.add_proxies(4)
        await asyncio.sleep(0)
        stage.runner.assign(assign([work(f"i{n}") for n in range(30)], min_version=2))
        await asyncio.sleep(1.0)
        self.assertEqual(stage.runner.fleet.runners, 2)
        self.assertEqual(len(new.calls), 7)  # 12 slots / 2 proxies that run items * 1.1, rounded up

    @staged()
    async def test_rewards_leave_room_for_clients(self, stage: Stage) -> None:
        stage.server("i-1", writes(1), cap=12)
        scorer = stage.world.server("s-1", silence, cap=10)
        stage.runner.assign(assign([work(f"i{n}", f"r{n}") for n in range(12)]))
        await asyncio.sleep(0.9)
        self.assertEqual(len(scorer.calls), 8)

    @staged()
    async def test_the_same_item_twice_is_one_run(self, stage: Stage) -> None:
        server = stage.server("i-1", writes(2))
        for _ in range(2):
            stage.runner.assign(assign([work()]))
        await stage.result()
        await asyncio.sleep(0.5)
        self.assertEqual((len(server.calls), len(stage.endpoint.finished)), (1, 1))
        self.assertEqual(stage.runner.directory.address_of("j1"), JOB_STORE_NODE)


if __name__ == "__main__":
    unittest.main()
