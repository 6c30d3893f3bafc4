"""Batch jobs as a state machine: parsing of submissions, effects of log entries, and results as readers get them."""

from __future__ import annotations

import base64
import json
import unittest
from typing import Any

from otterreach.jobstore.job import MAX_READ_BYTES, ItemState, Job, JobState
from otterreach.jobstore.job_entries import drop_entry, end_entry, result_entry, submit_entry
from otterreach.jobstore.job_json import encode_result, read_job
from otterreach.jobstore.job_table import JobTable
from otterreach.jobstore.messages import ItemFinished
from otterreach.runtime.codes import Code, Failure
from tests.jobstore.jobstore_world import body_of, job_json


def job_of(body: bytes, job: str = "a") -> Job:
    found = read_job(job, "h", "r", body, 0.0)
    assert isinstance(found, Job), found
    return found


def jobs_with(*entries: Any) -> JobTable:
    jobs = JobTable()
    for index, entry in enumerate(entries, 1):
        change = jobs.apply(entry, index, 0.0)
        if change:
            jobs.commit(change)
    return jobs


def result(job: str, n: int, text: bytes = b"{}") -> Any:
    return result_entry(job, f"{job}-{n}", text)


class ReadTest(unittest.TestCase):
    def test_invalid_submissions(self) -> None:
        item = {"id": "i", "path": "/p", "headers": {}, "body": "aGk=", "tokens": 3}
        table: list[tuple[str, bytes]] = [
            ("no JSON", b"{"),
            ("no object", b"[]"),
            ("no items", b"{}"),
            ("items are no list", b'{"reqs":7}'),
            ("no item", b'{"reqs":[]}'),
            ("an item without id", json.dumps({"reqs": [{**item, "id": ""}]}).encode()),
            ("an id twice", json.dumps({"reqs": [item, item]}).encode()),
            ("a body that is no base64", json.dumps({"reqs": [{**item, "body": "a?b="}]}).encode()),
            ("tokens that are no number", json.dumps({"reqs": [{**item, "tokens": "x"}]}).encode()),
            ("a version that is no number", json.dumps({"minVersion": "x", "reqs": [item]}).encode()),
            ("a scorer without path", json.dumps({"reqs": [{**item, "scorer": {"id": "s", "host": "h"}}]}).encode()),
            ("no text", b"\xff\xfe"),
        ]
        for name, body in table:
            with self.subTest(name):
                found = read_job("a", "h", "r", body, 0.0)
                assert isinstance(found, Failure)
                self.assertIs(Code.BAD_JOB, found.code)

    def test_plain_items_need_no_group_scorer_or_model(self) -> None:
        job = job_of(json.dumps({"reqs": [{"id": "i", "path": "/p", "body": "aGk="}]}).encode())
        self.assertEqual(b"hi", job.items["i"].body)
        self.assertFalse(job.has_versions)
        self.assertEqual(("", 0), (job.model, job.min_version))

    def test_items_of_a_group_are_adjacent(self) -> None:
        rows = [{"id": f"i{n}", "path": "/", "group": g} for n, g in enumerate(("a", "b", "a", "", "b"))]
        job = job_of(json.dumps({"reqs": rows}).encode())
        order = sorted(job.items.values(), key=lambda i: i.order)
        self.assertEqual(["i0", "i2", "i1", "i4", "i3"], [i.id for i in order])


class EntriesTest(unittest.TestCase):
    def test_each_item_is_listed_once(self) -> None:
        jobs = jobs_with(
            submit_entry("a", "h", "r", job_json("a")),
            result("a", 1, b'"x"'),
            result("a", 1, b'"y"'),
            result("a", 9, b'"z"'),
            result("a", 0, b'"w"'),
        )
        job = jobs.jobs["a"]
        self.assertEqual((2, b'"x","w"'), job.read(0))
        self.assertEqual((2, b'"w"'), job.read(1))
        self.assertEqual((2, b""), job.read(2))

    def test_a_result_is_not_readable_before_it_is_committed(self) -> None:
        jobs = jobs_with(submit_entry("a", "h", "r", job_json("a")))
        change = jobs.apply(result("a", 2), 2, 0.0)
        assert change is not None
        job = jobs.jobs["a"]
        self.assertEqual((0, b""), job.read(0))
        self.assertEqual(body_of("a", 2), job.items["a-2"].body)
        jobs.commit(change)
        self.assertEqual((1, b"{}"), job.read(0))
        self.assertEqual(b"", job.items["a-2"].body)

    def test_a_read_is_bounded_and_returns_at_least_one_result(self) -> None:
        big = b'"' + b"x" * (MAX_READ_BYTES + 10) + b'"'
        jobs = jobs_with(
            submit_entry("a", "h", "r", job_json("a")), result("a", 0, big), result("a", 1), result("a", 2)
        )
        job = jobs.jobs["a"]
        self.assertEqual((1, big), job.read(0))
        self.assertEqual((3, b"{},{}"), job.read(1))

    def test_end_and_drop(self) -> None:
        jobs = jobs_with(submit_entry("a", "h", "r", job_json("a")), result("a", 0), end_entry("a"), end_entry("a"))
        job = jobs.jobs["a"]
        self.assertIs(JobState.ENDED, job.state)
        self.assertEqual(b"", job.items["a-1"].body)
        self.assertEqual((1, b"{}"), job.read(0))
        jobs.apply(drop_entry("a"), 5, 0.0)
        self.assertEqual(({}, 0), (jobs.jobs, jobs.size))

    def test_a_snapshot_restores_the_same_state(self) -> None:
        entries = [submit_entry(name, "h", "r", job_json(name, 6, step=2, model="m", minVersion=3)) for name in "abc"]
        jobs = jobs_with(*entries, result("a", 5, b"5"), result("a", 0, b"0"), result("b", 1, b"1"), end_entry("b"))
        again = jobs_with(*jobs.snapshot(7.0))
        self.assertEqual(jobs.digests(), again.digests())
        self.assertEqual(jobs.size, again.size)
        for name, job in jobs.jobs.items():
            other = again.jobs[name]
            self.assertEqual((job.results, job.state, job.head), (other.results, other.state, other.head))
            for item in job.items.values():
                twin = other.items[item.id]
                self.assertEqual((item.state, item.order, item.group), (twin.state, twin.order, twin.group))
                if item.state is not ItemState.LISTED and job.state is JobState.OPEN:
                    self.assertEqual((item.body, item.headers), (twin.body, twin.headers))
        self.assertEqual(list(jobs.snapshot(7.0)), list(again.snapshot(7.0 - 7.0)))

    def test_digests_of_different_states_differ(self) -> None:
        one = jobs_with(submit_entry("a", "h", "r", job_json("a")), result("a", 0, b"1"))
        for other in (result("a", 0, b"2"), result("a", 1, b"1"), end_entry("a")):
            changed = jobs_with(submit_entry("a", "h", "r", job_json("a")), other)
            self.assertNotEqual(one.digests(), changed.digests())


class ResultTest(unittest.TestCase):
    def finished(self, **changes: Any) -> ItemFinished:
        values: dict[str, Any] = {
            "state": "done",
            "reason": "",
            "text": 'é\n"x',
            "versions": [6, 7],
            "score": "s.1",
            **changes,
        }
        return ItemFinished("a", "a-0", **values)

    def test_what_readers_get(self) -> None:
        plain, sample = job_of(job_json("a")), job_of(job_json("a", step=0, model="m", minVersion=6))
        table: list[tuple[str, Job, dict[str, Any], dict[str, Any]]] = [
            ("plain", plain, {"score": ""}, {"id": "a-0", "state": "done", "text": 'é\n"x'}),
            (
                "a sample",
                sample,
                {},
                {"id": "a-0", "state": "done", "text": 'é\n"x', "versions": [6, 7], "score": "s.1"},
            ),
            (
                "a sample that failed",
                sample,
                {"state": "errored", "text": "", "versions": [], "score": ""},
                {"id": "a-0", "state": "errored", "text": "", "versions": []},
            ),
        ]
        for name, job, changes, expected in table:
            with self.subTest(name):
                self.assertEqual(expected, json.loads(encode_result(job, self.finished(**changes))))

    def test_bodies_come_back_as_they_came(self) -> None:
        data = bytes(range(256))
        rows = [{"id": "i", "path": "/p", "body": base64.b64encode(data).decode(), "headers": {"A": "b"}}]
        jobs = jobs_with(submit_entry("a", "h", "r", json.dumps({"reqs": rows}).encode()))
        again = jobs_with(*jobs.snapshot(0.0))
        self.assertEqual(data, again.jobs["a"].items["i"].body)
        self.assertEqual({"A": "b"}, json.loads(again.jobs["a"].items["i"].headers))


if __name__ == "__main__":
    unittest.main()
