"""Batch jobs with extreme numbers: either rejected, or encodable in the messages that assign their items."""

from __future__ import annotations

import json
import unittest
from typing import Any

from otterreach.controller.api.versions import read_version
from otterreach.jobstore.job import Job
from otterreach.jobstore.job_json import check_numbers, read_job
from otterreach.jobstore.messages import AssignItems, WorkItem
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.integers import MAX_INTEGER, bounded_integer

BEYOND: list[Any] = [MAX_INTEGER + 1, -(10**400), 10**400, float("inf")]
NUMBERS: list[Any] = [-MAX_INTEGER, -1, 0, 0.5, 1, MAX_INTEGER, *BEYOND, float("nan"), "x", None]


def job(head: dict[str, Any], item: dict[str, Any]) -> Job | Failure:
    row = {"id": "i", "path": "/p", "headers": {}, "body": ""} | item
    body = json.dumps({"step": 1, "model": "m", "minVersion": 1, "desired": 1, "reqs": [row]} | head).encode()
    read = read_job("j", "h", "r", body, 0.0)
    if isinstance(read, Failure):
        return read
    failure = check_numbers(read)
    return read if failure is None else failure


class ExtremeNumbersTest(unittest.TestCase):
    def test_each_number_is_refused_or_can_be_sent_to_a_proxy(self) -> None:
        for number in NUMBERS:
            for head, item in (({"minVersion": number}, {}), ({}, {"tokens": number})):
                with self.subTest(head=head, item=item):
                    read = job(head, item)
                    if isinstance(read, Failure):
                        self.assertEqual(read.code, Code.BAD_JOB)
                        continue
                    tokens = read.items["i"].tokens
                    work = WorkItem("i", "/p", "{}", b"", "", tokens, "", "", "", b"")
                    encode(AssignItems(0, 1, "j", "h", "m", read.min_version, 1, 1, [work]))

    def test_what_is_out_of_range_is_refused(self) -> None:
        for number in BEYOND:
            with self.subTest(number=number):
                self.assertIsInstance(job({"minVersion": number}, {}), Failure)
                self.assertIsInstance(job({}, {"tokens": number}), Failure)
                named = json.dumps({"model": "m", "gen": number}).encode()
                self.assertIsInstance(read_version(named), Failure)

    def test_a_journal_may_hold_numbers_that_are_not_accepted_any_more(self) -> None:
        body = json.dumps({"minVersion": 10**400, "reqs": [{"id": "i", "tokens": 10**400}]}).encode()
        self.assertIsInstance(read_job("j", "h", "r", body, 0.0), Job)

    def test_bounded_integers(self) -> None:
        self.assertEqual([bounded_integer(value) for value in (3, "4", 5.9, -MAX_INTEGER)], [3, 4, 5, -MAX_INTEGER])
        for value in [*BEYOND, "x", float("nan")]:
            with self.subTest(value=value), self.assertRaises(ValueError):
                bounded_integer(value)


if __name__ == "__main__":
    unittest.main()
