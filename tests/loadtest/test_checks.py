"""Tests of the load test's verification, plans, figures, report, simulated servers and trainers."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import unittest
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from otterreach.cli.caller import Caller, send_request
from otterreach.loadtest import plan as plan_module
from otterreach.loadtest import report, verify
from otterreach.loadtest.callers import Tally
from otterreach.loadtest.engine_server import EngineServer, parse_generation_request
from otterreach.loadtest.ground_truth import (
    GroundTruth,
    OrderRecord,
    RunRecord,
    SealRecord,
    StreamRecord,
    event_data,
    parse_event_data,
)
from otterreach.loadtest.latency import Latencies
from otterreach.loadtest.machines import System
from otterreach.loadtest.plain_server import PlainServer
from otterreach.loadtest.plan import PLANS, Plan, configuration, load, read
from otterreach.loadtest.play import PlayResult
from otterreach.loadtest.play_context import Entry, Front, PlayContext
from otterreach.loadtest.trainer import BatchJob, TrainerRunner
from otterreach.runtime import settings as settings_module
from otterreach.runtime.codes import Code, Failure
from otterreach.sidecar import http1
from tests import virtual


def ready_plan() -> Plan:
    found = load("default")
    assert isinstance(found, Plan)
    return found


async def always(status: int, *_: Any) -> http1.Response:
    return http1.Response(status, {}, b"{}", False)


def play_context(plan: Plan | None = None, now: float = 0.0) -> PlayContext:
    plan = plan or ready_plan()
    entry = Entry([Front("f", plan.zones[0], "127.0.0.1:1", "127.0.0.1:1", 0)])
    ctl = Caller(["127.0.0.1:1"], Random(1), lambda *a: always(200, *a))
    return PlayContext(plan, plan_module.BOUNDS, entry, ctl, lambda: now, Random(7))


class BatchJobCase(unittest.TestCase):
    """A correctly executed batch job and the ground truth that matches it."""

    def setUp(self) -> None:
        self.context = play_context()
        self.plan = self.context.plan
        part = TrainerRunner(self.context, self.plan.trainer[0], 0.0)
        self.job = part._new_job()
        self.job.accepted_at = 1.0
        self.ground_truth = GroundTruth()
        for n, ident in enumerate(self.job.items):
            self.serve(ident, f"s.{n}")

    def serve(self, ident: str, run: str, version: int = 1) -> None:
        item = self.job.items[ident]
        self.ground_truth.runs[run] = StreamRecord(ident, 0, "reader", 2.0)
        self.ground_truth.ran += [RunRecord(ident, "reader", 1.5), RunRecord(item.scorer, "marker", 2.1)]
        self.ground_truth.seals[f"seal {ident}"] = SealRecord(item.scorer, b"", 2.1)
        text = "\n".join(event_data(ident, n, version, run) for n in range(1, 11))
        row = {"id": ident, "state": "done", "text": text, "versions": [version], "score": f"seal {ident}"}
        self.give(len(self.job.rows), [row])

    def give(self, past: int, rows: list[dict[str, Any]], **more: int) -> None:
        answer = {"total": len(self.job.items), "nextCursor": past + len(rows), "results": rows} | more
        self.job.add_results(past, json.dumps(answer).encode(), 3.0)

    def faults(self) -> list[str]:
        return verify.check_job(self.job, self.plan, self.ground_truth)

    def assert_fault(self, text: str) -> None:
        self.assertTrue(any(text in fault for fault in self.faults()), f"{text!r} not in {self.faults()}")


class BatchJobTest(BatchJobCase):
    def test_correct_job_has_no_faults(self) -> None:
        self.assertEqual(self.faults(), [])
        self.assertEqual(self.job.complete_groups(), len(self.job.groups))
        self.assertEqual(list(verify.check_runs([self.job], {"reader"}, self.ground_truth, 3.0)), [])

    def test_read_again_from_the_start(self) -> None:
        self.give(0, list(self.job.rows))
        self.assertEqual(self.faults(), [])

    def test_missing_event(self) -> None:
        row = self.job.rows[0]
        row["text"] = row["text"].rpartition("\n")[0]
        self.assert_fault("9 events of 10")

    def test_another_items_text(self) -> None:
        self.job.rows[0]["text"] = self.job.rows[1]["text"]
        self.assert_fault("differs from the engine's event for this item")

    def test_text_of_two_runs_needs_a_resumption(self) -> None:
        row = self.job.rows[0]
        lines = row["text"].split("\n")
        self.ground_truth.runs["other"] = StreamRecord(row["id"], 3, "reader", 2.0)
        lines[5:] = [event_data(row["id"], n, 1, "other") for n in range(6, 11)]
        row["text"] = "\n".join(lines)
        self.assert_fault("comes from a run that resumed after event 3")
        self.ground_truth.runs["other"].after = 5
        self.assertEqual(self.faults(), [])

    def test_versions(self) -> None:
        self.job.rows[0]["versions"] = [2]
        self.assert_fault("versions [2]")

    def test_too_old_a_version(self) -> None:
        self.job.min_version = 2
        self.assert_fault("version 1, but 2 is the minimum version")

    def test_another_score(self) -> None:
        self.job.rows[0]["score"] = self.job.rows[1]["score"]
        self.assert_fault("is no seal of its reward call")

    def test_score_before_the_text(self) -> None:
        ident = self.job.rows[0]["id"]
        self.ground_truth.seals[f"seal {ident}"] = SealRecord(self.job.items[ident].scorer, b"", 1.0)
        self.assert_fault("before its text was complete")

    def test_errored_without_a_reason(self) -> None:
        ident = self.job.rows[0]["id"]
        self.job.rows[0] = {"id": ident, "state": "errored", "text": ""}
        self.assert_fault("errored after 0 failures")
        self.ground_truth.failures[ident] = 3
        self.assertEqual(self.faults(), [])

    def test_a_position_changes(self) -> None:
        self.give(0, [self.job.rows[1]])
        self.assert_fault("position 0 holds another result")

    def test_duplicate_gap_and_unknown_item(self) -> None:
        count = len(self.job.rows)
        self.give(count, [self.job.rows[0]])
        self.assert_fault("is listed twice")
        self.give(count + 5, [self.job.rows[0]])
        self.assert_fault("comes after")
        self.give(len(self.job.rows), [{"id": "stranger"}])
        self.assert_fault("stranger is no item of it")

    def test_total_and_cursor(self) -> None:
        self.give(len(self.job.rows), [], total=1)
        self.assert_fault("total 1")
        self.assertIsNone(self.job.add_results(0, b"nothing", 3.0))

    def test_runs_late_refused_or_never_sent(self) -> None:
        def found() -> list[str]:
            return list(verify.check_runs([self.job], {"reader"}, self.ground_truth, 3.0))

        self.ground_truth.ran.append(RunRecord("nobody", "reader", 5.0))
        self.assertIn("but was never sent", found()[0])
        self.ground_truth.ran[-1] = RunRecord(self.job.rows[0]["id"], "reader", 9.0)
        self.job.ended_at = 5.0
        self.assertIn("refused or ended", found()[0])
        self.job.ended_at, self.job.accepted_at = 0.0, 0.0
        self.assertTrue(found())

    def test_orders_have_one_holder_and_a_fence_that_never_falls(self) -> None:
        def found(*rows: tuple[str, int, float]) -> list[str]:
            self.ground_truth.orders = [OrderRecord("i-1", owner, fence, 202, at) for owner, fence, at in rows]
            return list(verify.check_orders(self.ground_truth, 3.0))

        self.assertEqual(found(("a", 1, 1.0), ("a", 1, 1.1), ("b", 2, 5.0), ("b", 3, 5.1)), [])
        self.assertIn("under fence 1 after 2", found(("a", 2, 1.0), ("a", 1, 2.0))[0])
        self.assertIn("by a and b under fence 2", found(("a", 2, 1.0), ("b", 2, 9.0))[0])
        self.assertIn("within 1.0 s", found(("a", 2, 1.0), ("b", 3, 2.0))[0])

    def test_mutating_requests_run_once_and_not_after_a_refusal(self) -> None:
        self.ground_truth.ran += [
            RunRecord("a", "marker", 1.0),
            RunRecord("b", "marker", 1.0),
            RunRecord("b", "marker", 2.0),
        ]
        found = list(verify.check_mutating({"a": False, "b": False, "c": True}, self.ground_truth))
        self.assertEqual(found, ["b ran 2 times"])
        self.assertEqual(list(verify.check_mutating({"a": True}, self.ground_truth)), ["a was refused, but ran"])

    def test_incomplete_groups_are_submitted_again_first(self) -> None:
        part = TrainerRunner(self.context, self.plan.trainer[0], 0.0)
        first = part._new_job()
        part._incomplete_groups = [[first.items[i] for i in ids] for ids in first.groups.values()]
        again = part._new_job()
        shared = [ident for ident in again.items if ident in first.items]
        self.assertEqual(shared, list(again.items)[: len(shared)])
        self.assertEqual(len({first.items[i].group for i in shared}), first.wanted // 2)


class GroundTruthTest(unittest.TestCase):
    def test_lines(self) -> None:
        line = parse_event_data(event_data("item", 3, 7, "i-1.2"))
        assert line
        self.assertEqual((line.number, line.version, line.run), (3, 7, "i-1.2"))
        self.assertIsNone(parse_event_data("3:nothing"))


class PlanTest(unittest.TestCase):
    def test_ready_plans_can_be_read(self) -> None:
        for file in PLANS.glob("*.toml"):
            found = load(file.stem)
            self.assertIsInstance(found, Plan, found)

    def test_fault_targets_exist(self) -> None:
        for file in PLANS.glob("*.toml"):
            found = load(file.stem)
            assert isinstance(found, Plan)
            machines = {m.name for m in System(found, Path("x"), "127.1", {}).machines}
            servers = {f"{s.name}-{n}" for s in found.service for n in range(s.servers)}
            self.assertLessEqual({fault.target for fault in found.fault}, machines | servers)

    def test_error_names_the_invalid_field(self) -> None:
        for text, part in (
            ("name = 'x'\nseconds = 1\nspeed = 3", "speed"),
            ("name = 'x'", "seconds"),
            ("name = ", ""),
            ("name='x'\nseconds=1\n[[clients]]\nroute='r'", "'r' is not defined"),
            ("name='x'\nseconds=1\n[[fault]]\nat=1.0\nkind='odd'\ntarget='a'", "fault"),
        ):
            found = read(text)
            assert isinstance(found, Failure), found
            self.assertEqual(found.code, Code.SETTINGS)
            self.assertIn(part, found.reason)

    def test_the_configuration_is_valid(self) -> None:
        from otterreach.controller.config import check_put

        for file in PLANS.glob("*.toml"):
            found = load(file.stem)
            assert isinstance(found, Plan)
            checked = check_put(json.dumps(configuration(found)).encode(), None, 0)
            self.assertIsInstance(checked, dict, checked)

    def test_settings_can_be_used(self) -> None:
        system = System(ready_plan(), Path("x"), "127.1", plan_module.BOUNDS)
        for machine in system.machines:
            found = settings_module.read(machine.settings(system.plan, system.seeds, system.bounds))
            self.assertEqual(found.node, machine.name)
            self.assertTrue(found.bootstrap)
        self.assertEqual(len({m.ip for m in system.machines}), len(system.machines))


class FiguresTest(unittest.TestCase):
    def test_percentiles_with_and_without_the_library(self) -> None:
        with mock.patch("otterreach.loadtest.latency._recorder", return_value=None):
            plain = Latencies()
        for latencies in (plain, Latencies()):
            self.assertEqual(latencies.points(), {})
            for n in range(1, 1001):
                latencies.add(n / 1000)
            self.assertAlmostEqual(latencies.percentile(50), 0.5, delta=0.002)
            self.assertAlmostEqual(latencies.percentile(99), 0.99, delta=0.002)
            self.assertAlmostEqual(latencies.percentile(100), 1.0, delta=0.002)

    def test_a_tally_counts_a_late_answer_as_served(self) -> None:
        tally = Tally("r")
        tally.record(0, 0.1, 0.3, "")
        tally.record(0, 0.5, 0.3, "")
        tally.record(1, 0.5, 0.3, "503")
        self.assertEqual((tally.asked, tally.served, tally.late, tally.statuses), (3, 2, 1, {"503": 1}))
        self.assertEqual(tally.by_second, {0: [2, 1], 1: [1, 0]})

    def test_page_table_and_comparison(self) -> None:
        plan = ready_plan()
        context = play_context(plan)
        part = TrainerRunner(context, plan.trainer[0], 0.0)
        part.jobs.append(part._new_job())
        played = PlayResult(plan, 1.0, 2.0, ["<odd>"], [], [part], [], {})
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            for started in (1.0, 3.0):
                played.started_s = started
                report.write(folder, report.next_number(folder), report.result_of(played))
            self.assertEqual(report.next_number(folder), 3)
            page = (folder / "report.html").read_text()
            self.assertIn("&lt;odd&gt;", page)
            self.assertIn("FAULT: <odd>", report.table(report.result_of(played)))
            shown = report.comparison(folder, folder)
            self.assertIn("2.0 (1.0 .. 3.0)", shown)
            self.assertNotIn("*\n", shown.partition("plays")[0])


class EntryTest(unittest.TestCase):
    def test_all_zones_are_used_if_under_half_of_the_zone_is_ready(self) -> None:
        fronts = [Front(f"f{n}", "a" if n < 3 else "b", f"{n}", "", 0) for n in range(4)]
        entry = Entry(fronts)
        self.assertEqual({entry.pick("b", str(n)) for n in range(50)}, {"3"})
        fronts[0].missed_probes = fronts[1].missed_probes = 2
        self.assertEqual({entry.pick("a", str(n)) for n in range(50)}, {"2", "3"})
        fronts[2].missed_probes = fronts[3].missed_probes = 2
        self.assertEqual({entry.pick("a", str(n)) for n in range(50)}, {"0", "1", "2", "3"})


class ServersTest(unittest.TestCase):
    """Servers on real connections in real time; each request takes a few ms."""

    def net(self) -> str:
        return f"127.250.{os.getpid() % 250 + 1}"

    def test_a_stream_and_rejected_requests(self) -> None:
        async def body() -> None:
            context = play_context()
            loop = asyncio.get_running_loop()
            context.now = loop.time
            server = EngineServer(context, context.plan.service_named("reader"), 0, f"{self.net()}.1", "hall-a")
            await server.start()
            try:
                headers = {b"Request-Id": b"one", b"Model": b"m-one", b"Tokens": b"20,8", b"Prompt-Prefix": b"a:20"}
                answer = await send_request(server.address, "POST", "/samples/1", b"read", headers, 5.0)
                assert isinstance(answer, http1.Response)
                texts = [row[6:] for row in answer.body.decode().split("\n") if row.startswith("data: ")]
                self.assertEqual([parse_event_data(t).number for t in texts], [1, 2])  # type: ignore[union-attr]
                self.assertEqual(answer.headers[b"weight-versions"], b"1")
                self.assertIn(answer.headers[b"reply-seal"].decode(), context.ground_truth.seals)
                await self.refusals(server, headers)
            finally:
                server.stop()

        asyncio.run(body())

    async def refusals(self, server: EngineServer, headers: dict[bytes, bytes]) -> None:
        for more, request_body, status in (
            ({b"Expect-Server": b"other"}, b"read", 421),
            ({b"Expect-Version": b"7"}, b"read", 421),
            ({b"Model": b"none"}, b"read", 400),
            ({}, b"never", 422),
        ):
            answer = await send_request(server.address, "POST", "/samples/1", request_body, headers | more, 5.0)
            assert isinstance(answer, http1.Response)
            self.assertEqual(answer.status, status)
            self.assertEqual(b"not-run" in answer.headers, status != 422 and b"Expect-Server" not in more)

    def test_a_plain_server_tells_its_load_and_its_id(self) -> None:
        async def body() -> None:
            context = play_context()
            context.now = asyncio.get_running_loop().time
            spec = context.plan.service_named("marker")
            spec.tells_load, spec.errors, spec.work_ms = True, 0.0, 1.0
            server = PlainServer(context, spec, 0, f"{self.net()}.2", "hall-a")
            await server.start()
            try:
                answer = await send_request(server.address, "POST", "/lookup/1", b"x", {b"Request-Id": b"r"}, 5.0)
                assert isinstance(answer, http1.Response)
                self.assertEqual(answer.headers[b"server-load"], b"0,0,8")
                probe = await send_request(server.address, "GET", "/healthz")
                assert isinstance(probe, http1.Response)
                self.assertEqual(probe.headers[b"server-id"].decode(), server.ident)
                late = await send_request(
                    server.address, "POST", "/l", b"", {b"Request-Id": b"s", b"Deadline-Ms": b"0"}, 5.0
                )
                assert isinstance(late, http1.Response)
                self.assertEqual(late.status, 504)
            finally:
                server.stop()

        asyncio.run(body())

    def test_headers_that_cannot_be_read(self) -> None:
        self.assertIsNone(parse_generation_request("a", lambda name: "x"))


class TrainerTest(unittest.TestCase):
    """A trainer against a stub of the system, in virtual time."""

    def test_a_refused_batch_job_is_resubmitted_and_an_unknown_outcome_is_remembered(self) -> None:
        async def body() -> BatchJob:
            loop = asyncio.get_running_loop()
            context = play_context()
            context.now = loop.time
            part = TrainerRunner(context, context.plan.trainer[0], 0.0)
            refused, taken = http1.Response(503, {}, b"", False), http1.Response(202, {}, b"", False)
            answers = [refused, Failure(Code.CLOSED, "cut"), taken]
            with mock.patch("otterreach.loadtest.trainer.send_request", side_effect=answers):
                job = part._new_job()
                self.assertTrue(await part._submit(job))
            return job

        job = virtual.run(body)
        self.assertTrue(job.outcome_unknown)
        self.assertFalse(job.refused)

    def test_a_404_after_settling_is_a_fault(self) -> None:
        async def body() -> BatchJob:
            context = play_context()
            context.now = asyncio.get_running_loop().time
            part = TrainerRunner(context, context.plan.trainer[0], 0.0)
            job = part._new_job()
            job.accepted_at = context.now()
            answer = http1.Response(404, {}, b"", False)
            with mock.patch("otterreach.loadtest.trainer.send_request", return_value=answer):
                await part.read_once(job, 0)
                self.assertEqual(job.faults, [])
                await asyncio.sleep(5)
                await part.read_once(job, 0)
            return job

        self.assertEqual(len(virtual.run(body).faults), 1)
