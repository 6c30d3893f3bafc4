"""Tests of the load test's engine model, without clock and network."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from otterreach.loadtest.engine import End, EndReason, Engine, Event, GenerationRequest, Key, KVCache, Run, Stage
from otterreach.loadtest.plan import Service

TICK_S = 0.01
MODEL = "m"
ROWS = st.tuples(st.integers(1, 60), st.integers(1, 60), st.integers(0, 3), st.integers(0, 9))


def spec(**more: Any) -> Service:
    base: dict[str, Any] = {
        "kind": "engine",
        "cap": 2,
        "queue": 2,
        "kv": 1000,
        "token_ms": 2.0,
        "busy_ms": 0.0,
        "read_per_ms": 10.0,
        "stride": 4,
        "load_s": 0.05,
        "models": [MODEL],
    }
    return Service(name="e", **base | more)


def engine(named: int = 9, **more: Any) -> Engine:
    return Engine(spec(**more), {MODEL: 1}, lambda model: named)


def request(ident: str = "a", out: int = 8, prompt: int = 100, **more: Any) -> GenerationRequest:
    return GenerationRequest(ident, MODEL, prompt, out, **more)


def order(gen: int = 2, method: str = "wait", **more: Any) -> dict[str, Any]:
    return {"op": "gen", "model": MODEL, "gen": gen, "method": method, "owner": "o", "fence": 1, **more}


class EngineTest(unittest.TestCase):
    def accepted(self, one: Engine, wanted: GenerationRequest) -> Run:
        run = one.submit(wanted)
        assert isinstance(run, Run), run
        return run

    def until_idle(self, one: Engine, most: int = 5000) -> list[Event | End]:
        outcomes: list[Event | End] = []
        for _ in range(most):
            if one.idle:
                return outcomes
            outcomes += one.tick(TICK_S)
        self.fail("never idle")

    def events(self, outcomes: list[Event | End], run: Run) -> list[int]:
        return [o.number for o in outcomes if isinstance(o, Event) and o.run is run]

    def test_a_stream_has_each_event_once_and_a_last_one(self) -> None:
        one = engine()
        run = self.accepted(one, request(out=10))
        outcomes = self.until_idle(one)
        self.assertEqual(self.events(outcomes, run), [1, 2, 3])
        self.assertEqual([o.last for o in outcomes if isinstance(o, Event)], [False, False, True])
        self.assertEqual(run.stage, Stage.ENDED)

    def test_it_resumes_after_the_last_event_of_the_client(self) -> None:
        one = engine()
        run = self.accepted(one, request(out=10, after=2))
        self.assertEqual(self.events(self.until_idle(one), run), [3])
        self.assertEqual(one.submit(request(out=10, after=3)), 400)

    def test_a_batch_of_cap_then_a_queue_then_503(self) -> None:
        one = engine()
        for ident in "ab":
            self.accepted(one, request(ident, 80))
        one.tick(TICK_S)
        for ident in "cd":
            self.accepted(one, request(ident, 80))
        self.assertEqual(one.submit(request("e", 80)), 503)
        self.assertEqual(one.report()["running"], 2)
        self.assertEqual(one.report()["queued"], 2)

    def test_tokens_come_more_slowly_as_more_run(self) -> None:
        ticks = []
        for count in (1, 4):
            one = engine(cap=4, busy_ms=1.0)
            for n in range(count):
                self.accepted(one, request(str(n), 40))
            steps = 0
            while not one.idle:
                one.tick(TICK_S)
                steps += 1
            ticks.append(steps)
        self.assertGreater(ticks[1], ticks[0] * 1.5)

    def test_more_urgent_runs_are_admitted_first(self) -> None:
        one = engine(cap=1, queue=5)
        self.accepted(one, request("first"))
        one.tick(TICK_S)
        self.accepted(one, request("later"))
        self.accepted(one, request("urgent", priority=0))
        order_of_ends = [o.run.request.id for o in self.until_idle(one) if isinstance(o, Event) and o.last]
        self.assertEqual(order_of_ends, ["first", "urgent", "later"])

    def test_a_request_larger_than_the_cache_is_503(self) -> None:
        self.assertEqual(engine().submit(request(prompt=995)), 503)

    def test_another_version_is_421_and_an_unknown_model_400(self) -> None:
        one = engine()
        self.assertEqual(one.submit(request(expect=2)), 421)
        self.assertEqual(one.submit(GenerationRequest("a", "other", 1, 1)), 400)

    def test_a_shared_prefix_is_prefilled_once(self) -> None:
        one = engine(read_per_ms=1.0)
        self.accepted(one, request("a", parts=(("p", 300), ("a", 10))))
        self.until_idle(one)
        run = self.accepted(one, request("b", parts=(("p", 300), ("b", 10))))
        one.tick(0.0)
        self.assertEqual(run.prefill_left, 10)

    def test_the_least_urgent_and_newest_is_preempted_and_loses_no_event(self) -> None:
        one = engine(kv=225, cap=2)
        old = self.accepted(one, request("old", 100, prompt=20))
        new = self.accepted(one, request("new", 200, prompt=20))
        preempted = False
        outcomes: list[Event | End] = []
        for _ in range(5000):
            if one.idle:
                break
            outcomes += one.tick(TICK_S)
            preempted = preempted or new.begun and new.stage is Stage.WAITING
        self.assertTrue(preempted)
        self.assertEqual(self.events(outcomes, old), list(range(1, 26)))
        self.assertEqual(self.events(outcomes, new), list(range(1, 51)))

    def test_a_closed_connection_frees_all(self) -> None:
        one = engine()
        run = self.accepted(one, request(out=200))
        one.tick(TICK_S)
        one.drop(run)
        one.drop(run)
        self.assertTrue(one.idle)
        self.assertEqual(one.kv_cache.pinned, 0)


class OrdersTest(unittest.TestCase):
    def begun(self, one: Engine, out: int = 40) -> Run:
        run = one.submit(request(out=out))
        assert isinstance(run, Run)
        while not run.begun:
            one.tick(TICK_S)
        return run

    def finish(self, one: Engine) -> list[Event | End]:
        outcomes: list[Event | End] = []
        while not one.idle:
            outcomes += one.tick(TICK_S)
        return outcomes

    def test_statuses(self) -> None:
        one = engine(named=3)
        self.assertEqual(one.take_order(order(gen=1)), 200)
        self.assertEqual(one.take_order(order(gen=4)), 400)  # not published
        self.assertEqual(one.take_order(order() | {"owner": ""}), 400)
        self.assertEqual(one.take_order({k: v for k, v in order().items() if k != "fence"}), 400)
        self.assertEqual(one.take_order(order(expect=5)), 409)
        self.assertEqual(one.take_order(order(expect=0)), 202)
        self.assertEqual(one.take_order(order()), 409)  # in progress
        self.assertEqual(one.calls, 1)

    def test_a_lower_fence_is_412_where_fenced(self) -> None:
        one = Engine(spec(), {MODEL: 1}, lambda model: 9, fenced=True)
        self.assertEqual(one.take_order(order(fence=5)), 202)
        self.finish(one)
        self.assertEqual(one.take_order(order(gen=3, fence=4)), 412)

    def test_wait_lets_runs_end_first(self) -> None:
        one = engine()
        run = self.begun(one)
        one.take_order(order())
        outcomes = self.finish(one)
        made = [o for o in outcomes if isinstance(o, Event)]
        self.assertTrue(made[-1].last)
        self.assertEqual({o.version for o in made if o.run is run}, {1})
        self.assertEqual(one.versions[MODEL], 2)

    def test_trim_resets_streams(self) -> None:
        one = engine()
        run = self.begun(one)
        one.take_order(order(method="trim"))
        self.assertIn(End(run, EndReason.RESET), self.finish(one))

    def test_retain_continues_under_the_new_version_and_reports_it(self) -> None:
        one = engine()
        run = self.begun(one)
        one.take_order(order(method="retain"))
        made = [o for o in self.finish(one) if isinstance(o, Event) and o.run is run]
        changed = [o for o in made if o.changed]
        self.assertEqual([o.version for o in changed], [2])
        self.assertTrue(made[-1].last)

    def test_an_order_rejects_requests_that_have_not_begun(self) -> None:
        one = engine()
        queued = one.submit(request("q"))
        one.take_order(order())
        self.assertEqual(one.submit(request("r")), 503)
        outcomes = one.tick(TICK_S)
        self.assertEqual(outcomes, [End(queued, EndReason.REFUSED)])  # type: ignore[arg-type]

    def test_an_order_empties_the_cache(self) -> None:
        one = engine(read_per_ms=1.0)
        self.begun(one, 4)
        self.finish(one)
        self.assertTrue(one.kv_cache.parts)
        one.take_order(order())
        self.finish(one)
        self.assertFalse(one.kv_cache.parts)


class KVCacheTest(unittest.TestCase):
    def test_a_part_is_a_hit_only_if_all_parts_before_it_are_cached(self) -> None:
        cache = KVCache(100)
        keys = [(("m", "a"), 10), (("m", "a", "b"), 20)]
        cache.pin(keys, 0)
        cache.mark_ready(keys)
        cache.release(keys, 0)
        self.assertEqual(cache.uncached_tokens(keys), 0)
        del cache.parts[("m", "a")]
        self.assertEqual(cache.uncached_tokens(keys), 30)

    def test_the_least_recently_used_part_is_evicted(self) -> None:
        cache = KVCache(30)
        for name in "abc":
            keys: list[tuple[Key, int]] = [(("m", name), 10)]
            cache.pin(keys, 0)
            cache.mark_ready(keys)
            cache.release(keys, 0)
        cache.pin([(("m", "a"), 10)], 0)
        self.assertTrue(cache.pin([(("m", "d"), 10)], 0))
        self.assertEqual({key[1] for key in cache.parts}, {"a", "c", "d"})
        self.assertFalse(cache.pin([(("m", "e"), 20)], 0))

    @settings(max_examples=60, deadline=None)
    @given(st.lists(ROWS, max_size=25))
    def test_the_cache_never_overflows_and_ends_unpinned(self, rows: list[tuple[int, int, int, int]]) -> None:
        one = engine(kv=150, cap=3, queue=4)
        runs: list[Run] = []
        for n, (prompt, out, prefix, then) in enumerate(rows):
            run = one.submit(request(f"r{n}", out, parts=((f"p{prefix}", prompt), (f"r{n}", 2)), priority=then))
            if isinstance(run, Run):
                runs.append(run)
            if then == 0:
                one.take_order(order(gen=one.versions[MODEL] + 1, method=("wait", "trim", "retain")[n % 3]))
            if then == 1 and runs:
                one.drop(runs[n % len(runs)])
            for _ in range(then):
                one.tick(TICK_S)
                self.assertLessEqual(one.kv_cache.used, one.spec.kv + 1e-6)
        for _ in range(20_000):
            if one.idle:
                break
            one.tick(TICK_S)
        self.assertTrue(one.idle)
        self.assertAlmostEqual(one.kv_cache.pinned, 0)
