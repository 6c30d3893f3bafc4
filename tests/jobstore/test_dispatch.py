"""Dispatching: items are assigned to few proxies, by due time and within capacity, and again if a proxy is lost."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections import Counter
from collections.abc import Callable, Coroutine
from math import ceil
from typing import Any

from otterreach.jobstore.dispatcher import RUNNING_REPORT_WAIT_S
from otterreach.jobstore.free_proxies import MAX_LOAD
from otterreach.jobstore.job import JobState
from otterreach.jobstore.messages import JobResults, ReturnItems, RunningItems
from otterreach.jobstore.placement import partition_of
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc_messages import Done
from tests.jobstore.jobstore_world import ROUTE, Client, Runner, World, job_json
from tests.virtual import run

MAX_WAIT_S = 30.0  # of ROUTE
Scenario = Callable[[World, Client], Coroutine[Any, Any, None]]


def run_scenario(scenario: Scenario, stores: int = 3) -> None:
    async def main() -> None:
        world = World(stores)
        client = Client(world)
        await world.serving("a")
        await asyncio.sleep(RUNNING_REPORT_WAIT_S)
        await scenario(world, client)
        world.check()

    run(main)


def states(reply: Any) -> list[tuple[str, str]]:
    assert isinstance(reply, JobResults), reply
    return [(r["id"], r["state"]) for r in json.loads(b"[" + reply.body + b"]")]


async def proxies(world: World, count: int, **values: Any) -> list[Runner]:
    runners = [Runner(world, f"front-{n}", **values) for n in range(count)]
    await asyncio.sleep(0.3)
    return runners


class AssignTest(unittest.TestCase):
    def test_items_go_evenly_to_as_many_proxies_as_fill_the_servers(self) -> None:
        for cap, shares in ((24, [0, 0, 12, 12]), (48, [6, 6, 6, 6])):
            with self.subTest(cap):
                self.check_spread(cap, shares)

    def check_spread(self, cap: int, shares: list[int]) -> None:
        async def scenario(world: World, client: Client) -> None:
            server = {"backend": "lm", "addr": "127.0.0.1:1", "az": "z", "cap": cap, "state": "up", "models": []}
            world.put("config", {"routes": [{**ROUTE, "backend": "lm", "kind": "rollout"}]})
            world.put("server/s", server)
            runners = await proxies(world, 4, slots=16, run_s=None)
            await client.submit("a", body=job_json("a", 24, 4))
            await asyncio.sleep(0.1)
            self.assertEqual(shares, sorted(len(r.running_items) for r in runners))
            assigned = Counter(item for r in runners for _, item in r.assigned)
            self.assertEqual({1}, set(assigned.values()))
            for runner in runners:
                order = [int(item.partition("-")[2]) for _, item in runner.assigned]
                self.assertEqual(sorted(order), order)

        run_scenario(scenario)

    def test_no_more_than_fits_and_in_order(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            (runner,) = await proxies(world, 1, slots=3, run_s=None)
            await client.submit("a", body=job_json("a", 40, 1))
            await asyncio.sleep(0.5)
            self.assertEqual([f"a-{n}" for n in range(ceil(3 * MAX_LOAD))], [item for _, item in runner.assigned])
            await client.finish("a", 0)
            del runner.running_items["a", "a-0"]
            await asyncio.sleep(0.1)
            self.assertEqual("a-5", runner.assigned[-1][1])

        run_scenario(scenario)

    def test_what_is_due_first_goes_first(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            late, soon = "late", next(f"soon{n}" for n in range(99) if partition_of(f"soon{n}") == partition_of("late"))
            world.put("config", {"routes": [{**ROUTE, "dueMs": 90000}, {**ROUTE, "name": "r-soon", "dueMs": 1000}]})
            await asyncio.sleep(0.1)
            await client.submit(late, body=job_json(late, 4, 1))
            store = world.primary_of(late)
            job = store.store_node.dispatcher.open_jobs[late]
            await client.submit(soon, body=job_json(soon, 4, 1))
            store.store_node.dispatcher.open_jobs[soon].route = "r-soon"
            (runner,) = await proxies(world, 1, slots=2, run_s=None)
            self.assertEqual(90.0, store.store_node.deadlines(job).due_s)
            self.assertEqual([soon] * ceil(2 * MAX_LOAD), [name for name, _ in runner.assigned])

        run_scenario(scenario)

    def test_groups_that_no_trainer_waits_for_come_last(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            other = next(f"b{n}" for n in range(99) if partition_of(f"b{n}") == partition_of("a"))
            await client.submit("a", body=job_json("a", 12, 2, step=1, desired=2))
            await client.submit(other, body=job_json(other, 4, 2, step=1, desired=2))
            (runner,) = await proxies(world, 1, slots=6, run_s=None)
            assigned = [(job, int(item.partition("-")[2])) for job, item in runner.assigned]
            wanted = {("a", n) for n in range(4)} | {(other, n) for n in range(4)}
            # 9 items fit, one of them from a surplus group.
            self.assertEqual(sorted([*wanted, ("a", 4)]), sorted(assigned))

        run_scenario(scenario)

    def test_no_item_is_assigned_before_the_job_is_at_all_replicas(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            (runner,) = await proxies(world, 1)
            world.net.disconnect(world.primary_of("a").address, world.backup_of("a").address)
            await client.submit("a", timeout_s=0.6)
            self.assertEqual([], runner.assigned)

        run_scenario(scenario)


class OutOfReachTest(unittest.TestCase):
    """Items that a proxy reached no server for are assigned to another proxy."""

    @staticmethod
    async def return_items(runner: Runner, world: World, job: str) -> list[str]:
        """Return all items of the job that the proxy has, and give their names."""
        items = [item for name, item in runner.running_items if name == job]
        for item in items:
            del runner.running_items[job, item]
        link = await runner.endpoint.link(world.primary_of(job).address)
        assert not isinstance(link, Failure)
        link.send(ReturnItems(job, items, True))
        await asyncio.sleep(0.1)
        return items

    def test_another_proxy_runs_them(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            first, second = await proxies(world, 2, slots=6, run_s=None)
            await client.submit("a", body=job_json("a", 8, 1))
            await asyncio.sleep(0.1)
            items = await self.return_items(first, world, "a")
            self.assertEqual(4, len(items))
            self.assertEqual(8, len(second.running_items))
            self.assertEqual(4, len(first.assigned))  # no item was assigned to it again

        run_scenario(scenario)

    def test_failure_counts_are_passed_on(self) -> None:
        """Servers get an item no more often than its route allows, however many proxies it is assigned to in turn."""

        async def scenario(world: World, client: Client) -> None:
            first, second = await proxies(world, 2, slots=6, run_s=None)
            await client.submit("a", body=job_json("a", 2, 1))
            await asyncio.sleep(0.1)
            ((job, item),) = first.running_items
            del first.running_items[job, item]
            link = await first.endpoint.link(world.primary_of("a").address)
            assert not isinstance(link, Failure)
            link.send(ReturnItems(job, [item], True, [2, 7]))  # more counts than items
            await asyncio.sleep(0.1)
            self.assertEqual(2, second.running_items[job, item].failures)

        run_scenario(scenario)

    def test_a_return_of_an_earlier_version_has_no_failure_counts(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            first, second = await proxies(world, 2, slots=6, run_s=None)
            await client.submit("a", body=job_json("a", 2, 1))
            await asyncio.sleep(0.1)
            ((job, item),) = first.running_items
            await self.return_items(first, world, "a")
            self.assertEqual(0, second.running_items[job, item].failures)

        run_scenario(scenario)

    def test_a_stored_number_beyond_64_bits_does_not_stop_dispatching(self) -> None:
        """An earlier version accepted such numbers, and a journal may still hold them."""

        async def scenario(world: World, client: Client) -> None:
            (runner,) = await proxies(world, 1, slots=8, run_s=None)
            await client.submit("a", body=job_json("a", 3, 1))
            other = next(f"b{n}" for n in range(99) if partition_of(f"b{n}") == partition_of("a"))
            job = world.primary_of("a").store_node.dispatcher.open_jobs["a"]
            runner.pinging = False
            await asyncio.sleep(1.5)  # the proxy is lost: all items are pending again
            runner.running_items.clear()
            job.head["minVersion"] = 2**70
            job.items["a-1"].tokens = -(2**70)
            await client.submit(other, body=job_json(other, 2, 1))
            runner.pinging = True
            await asyncio.sleep(1.0)
            self.assertEqual({"a", other}, {name for name, _ in runner.running_items})
            self.assertEqual(5, len(runner.running_items))
            self.assertEqual(-(2**63 - 1), runner.running_items["a", "a-1"].tokens)

        run_scenario(scenario)

    def test_a_job_that_has_moved_or_ended_is_not_touched(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            first, second = await proxies(world, 2, slots=6, run_s=None)
            await client.submit("a", body=job_json("a", 4, 1))
            await asyncio.sleep(0.1)
            await client.end("a")
            await asyncio.sleep(0.1)
            link = await first.endpoint.link(world.primary_of("a").address)
            assert not isinstance(link, Failure)
            link.send(ReturnItems("a", ["a-0"], True))
            await asyncio.sleep(0.5)
            self.assertEqual({}, second.running_items)

        run_scenario(scenario)

    def test_where_no_proxy_reaches_a_server_each_is_tried_in_turn(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            both = await proxies(world, 2, slots=6, run_s=None)
            await client.submit("a", body=job_json("a", 1, 1))
            for _ in range(4):
                await asyncio.sleep(0.1)
                holders = [runner for runner in both if runner.running_items]
                self.assertEqual(1, len(holders))
                await self.return_items(holders[0], world, "a")
            self.assertTrue(all(runner.assigned for runner in both))

        run_scenario(scenario)


class LossTest(unittest.TestCase):
    def test_a_silent_proxy_loses_its_items(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            first, second = await proxies(world, 2, slots=6, run_s=None)
            await client.submit("a", body=job_json("a", 8, 1))
            await asyncio.sleep(0.1)
            first.pinging = False
            await asyncio.sleep(1.3)
            self.assertEqual({f"a-{n}" for n in range(8)}, {item for _, item in second.running_items})

        run_scenario(scenario)

    def test_a_proxy_that_ends_loses_its_items_at_once(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            first, second = await proxies(world, 2, slots=6, run_s=None)
            await client.submit("a", body=job_json("a", 8, 1))
            await asyncio.sleep(0.1)
            first.endpoint.kill()
            await asyncio.sleep(0.6)
            self.assertEqual(8, len(second.running_items))

        run_scenario(scenario)

    def test_returned_items_go_to_another_proxy(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            first, second = await proxies(world, 2, slots=6, run_s=None)
            await client.submit("a", body=job_json("a", 8, 1))
            await asyncio.sleep(0.1)
            first.slots = 0
            link = first.endpoint.open_link(world.primary_of("a").address)
            assert link is not None
            link.send(ReturnItems("a", [item for _, item in first.running_items]))
            first.running_items.clear()
            await asyncio.sleep(0.1)
            self.assertEqual(8, len(second.running_items))
            self.assertEqual({}, first.running_items)

        run_scenario(scenario)

    def test_after_a_takeover_what_runs_is_left_where_it_runs(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            first, second = await proxies(world, 2, slots=4, run_s=None)
            await client.submit("a", body=job_json("a", 8, 1))
            await asyncio.sleep(0.1)
            mine = sorted(item for _, item in first.running_items)
            old = world.primary_of("a")
            old.stop()
            world.set_alive(old, alive=False)
            new = await world.serving("a")
            for runner in (first, second):
                report = RunningItems(
                    partition_of("a"), runner.name, [f"{job} {item}" for job, item in runner.running_items]
                )
                reply = await runner.endpoint.call(new.address, report, 1.0)
                self.assertEqual(Done(), reply)
                runner.assigned.clear()
            await asyncio.sleep(1.0)
            self.assertEqual([], first.assigned + second.assigned)
            self.assertEqual(mine, sorted(item for _, item in first.running_items))

        run_scenario(scenario)

    def test_a_proxy_that_reconnects_is_sent_its_items_again(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            (runner,) = await proxies(world, 1, slots=4, run_s=None)
            await client.submit("a")
            await asyncio.sleep(0.1)
            runner.running_items.clear()
            link = runner.endpoint.open_link(world.primary_of("a").address)
            assert link is not None
            link.abort()
            await asyncio.sleep(0.4)
            self.assertEqual(4, len(runner.running_items))

        run_scenario(scenario)


class EndTest(unittest.TestCase):
    def test_proxies_are_notified_of_the_end(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            runners = await proxies(world, 2, slots=4, run_s=None)
            await client.submit("a", body=job_json("a", 8, 1))
            await asyncio.sleep(0.1)
            self.assertEqual(Done(), await client.end("a"))
            await asyncio.sleep(0.05)
            self.assertEqual([{}, {}], [r.running_items for r in runners])
            await asyncio.sleep(2.0)
            self.assertEqual(8, sum(len(r.assigned) for r in runners))

        run_scenario(scenario)

    def test_items_of_an_ended_job_are_not_sent_again_after_a_reconnect(self) -> None:
        """The job's end is committed and the bodies are dropped, but the dispatcher is not yet notified."""

        async def scenario(world: World, client: Client) -> None:
            (runner,) = await proxies(world, 1, slots=4, run_s=None)
            await client.submit("a")
            await asyncio.sleep(0.1)
            store = world.primary_of("a")
            store.store_node.dispatcher.open_jobs["a"].state = JobState.ENDED
            runner.assigned.clear()
            link = runner.endpoint.open_link(store.address)
            assert link is not None
            link.abort()
            await asyncio.sleep(0.4)
            self.assertEqual([], runner.assigned)

        run_scenario(scenario)

    def test_a_proxy_that_missed_the_end_is_notified_with_its_next_ping(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            (runner,) = await proxies(world, 1, slots=8, run_s=None)
            await client.submit("a")
            await asyncio.sleep(0.1)
            kept = dict(runner.running_items)
            await client.end("a")
            await asyncio.sleep(0.05)
            runner.running_items.update(kept)
            await asyncio.sleep(0.4)
            self.assertEqual({}, runner.running_items)

        run_scenario(scenario)


class ResultCheckTest(unittest.TestCase):
    """Validation of results. The item of a rejected result runs again."""

    def test_conformance(self) -> None:
        scored = json.loads(job_json("a", 1, step=1, model="m", minVersion=5))
        scored["reqs"][0]["scorer"] = {"id": "s", "host": "h", "path": "/s", "body": ""}
        plain, sample = job_json("a", 1), job_json("a", 1, step=1, model="m", minVersion=5)
        table: list[tuple[str, bytes, dict[str, Any], Code | None]] = [
            ("plain", plain, {"versions": []}, None),
            ("a sample", sample, {"versions": [5, 6]}, None),
            ("an old version", sample, {"versions": [4, 5]}, Code.BAD_MESSAGE),
            ("no versions", sample, {"versions": []}, Code.BAD_MESSAGE),
            ("no score", json.dumps(scored).encode(), {"versions": [5]}, Code.BAD_MESSAGE),
            ("a score", json.dumps(scored).encode(), {"versions": [5], "score": "x"}, None),
            ("no such state", plain, {"state": "lost"}, Code.BAD_MESSAGE),
            ("no reason", plain, {"state": "errored"}, Code.BAD_MESSAGE),
            ("a 422", plain, {"state": "errored", "reason": "unprocessable"}, None),
            ("waited too short", plain, {"state": "errored", "reason": "waited"}, Code.BAD_MESSAGE),
            ("the route is there", plain, {"state": "errored", "reason": "route_gone"}, Code.BAD_MESSAGE),
        ]
        for name, body, changes, code in table:
            with self.subTest(name):
                self.check_result(body, changes, code)

    def check_result(self, body: bytes, changes: dict[str, Any], code: Code | None) -> None:
        async def scenario(world: World, client: Client) -> None:
            (runner,) = await proxies(world, 1, run_s=None)
            await client.submit("a", body=body)
            await asyncio.sleep(0.1)
            reply = await client.finish("a", 0, **changes)
            self.assertIs(code, getattr(reply, "code", None))
            await asyncio.sleep(0.1)
            self.assertEqual(2 if code else 1, len(runner.assigned))

        run_scenario(scenario)

    def test_one_version_on_a_single_route(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            world.put("config", {"routes": [{**ROUTE, "single": True}]})
            await asyncio.sleep(0.1)
            await client.submit("a")
            refused = await client.finish("a", 0, versions=[1, 2])
            assert isinstance(refused, Failure)
            self.assertIs(Code.BAD_MESSAGE, refused.code)
            self.assertEqual(Done(), await client.finish("a", 0, versions=[2]))

        run_scenario(scenario)

    def test_listed_and_unknown(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            self.assertEqual(Done(), await client.finish("a", 0))
            self.assertIs(Code.UNKNOWN_ITEM, (await client.finish("a", 0, "other")).code)
            self.assertIs(Code.UNKNOWN_ITEM, (await client.finish("a", 77)).code)
            self.assertIs(Code.UNKNOWN_JOB, (await client.finish("zz", 0)).code)

        run_scenario(scenario)


class ExpiryTest(unittest.TestCase):
    def test_what_waited_too_long_is_listed_as_errored_and_not_before(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a", body=job_json("a", 2))
            await asyncio.sleep(MAX_WAIT_S)
            self.assertEqual([], states(await client.read("a")))
            await asyncio.sleep(3.5)
            self.assertEqual([("a-0", "errored"), ("a-1", "errored")], states(await client.read("a")))

        run_scenario(scenario)

    def test_a_route_that_is_gone(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a", body=job_json("a", 2))
            await asyncio.sleep(3.0)
            self.assertEqual([], states(await client.read("a")))
            world.put("config", {"routes": []})
            await asyncio.sleep(3.0)
            self.assertEqual([("a-0", "errored"), ("a-1", "errored")], states(await client.read("a")))

        run_scenario(scenario)

    def test_a_reader_that_waits_gets_the_result_as_it_comes(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            start = asyncio.get_running_loop().time()
            reader = asyncio.ensure_future(client.read("a", wait_ms=1000))
            await asyncio.sleep(0.3)
            await client.finish("a", 2)
            self.assertEqual([("a-2", "done")], states(await reader))
            self.assertLess(asyncio.get_running_loop().time() - start, 0.4)
            empty = await client.read("a", 1, wait_ms=500)
            self.assertEqual((4, 1, b""), (empty.total, empty.next_cursor, empty.body))

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
