"""Invalid calls are rejected with the name of the field and change nothing."""

from __future__ import annotations

import json
import unittest
from typing import Any

from otterreach.controller.coordination_records import LockRecord
from otterreach.controller.replication import ControlReplication
from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Coordination

FIELD = 80  # Code.COORDINATION_FIELD, as callers see it
DAY_MS = 24 * 3600 * 1000
UNSAFE = 1 << 53  # above the integers that every JSON parser reads exactly
NO_NUMBERS: list[Any] = [None, "", "5", True, False, 1.0, 1.5, -1, -0.0, 1e300, UNSAFE, 10**400, [], {}, [1]]
NO_TEXTS: list[Any] = [None, 5, True, 1.5, [], {}, ["a"]]
NO_BODIES = [
    b"",
    b"{",
    b'{"owner":"a1","holdMs":30',
    b"nonsense",
    b"\xff\xfe\xfd",
    b'{"owner":"\xff"}',
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"null",
    b"5",
    b'"text"',
    b"[]",
    b'[{"owner":"a1","holdMs":1000}]',
    b'{"owner":NaN,"holdMs":1000}',
    b" " * 600_000 + b"{}",
    b'{"owner":"' + b"a" * 600_000 + b'","holdMs":1000}',
]
NAMES = ["", "a/b", "a/", "/a", "x" * 257]
NO_TARGETS = ["a b", "a\tb", "é", "a\x7f"]  # invalid in a request line, so the rejection can't name a field
ACQUIRE: dict[str, Any] = {"owner": "a1", "holdMs": 1000}
RENEW: dict[str, Any] = {"owner": "a1", "fence": 1, "holdMs": 1000}
RELEASE: dict[str, Any] = {"owner": "a1", "fence": 1}
PUT: dict[str, Any] = {"value": "v2", "expect": 1}
CALLS = [
    ("POST", "/locks/l1", ACQUIRE),
    ("PUT", "/locks/l1", RENEW),
    ("DELETE", "/locks/l1", RELEASE),
    ("POST", "/numbers/n1", {}),
    ("PUT", "/cells/g1.a", PUT),
]
QUERIES = [
    ("", "past"),
    ("past=", "past"),
    ("past=-1", "past"),
    ("past=%2B1", "past"),
    ("past=+1", "past"),
    ("past=1.0", "past"),
    ("past=1e3", "past"),
    ("past=0x1", "past"),
    ("past=%D9%A1", "past"),  # a non-ASCII digit
    ("past=abc", "past"),
    (f"past={UNSAFE}", "past"),
    ("past=" + "9" * 5000, "past"),
    ("waitMs=5", "past"),
    ("past=1&waitMs=", "waitMs"),
    ("past=1&waitMs=-5", "waitMs"),
    ("past=1&waitMs=1.5", "waitMs"),
    ("past=1&waitMs=600000", "waitMs"),
    ("past=1&waitMs=true", "waitMs"),
    ("past=1&past=1", "query"),
    ("past=1&waitMs=1&waitMs=2", "query"),
    ("past=1&unknown=2", "unknown"),
    ("past=1&Past=2", "Past"),
    ("past=1&x", "x"),
]


def content(control: ControlReplication) -> dict[str, Any]:
    """Return a controller's items; of a hold all but its remaining time, which is checkpointed periodically."""
    items = {key: item.value for key, item in control.state.items.items() if item.kind != LockRecord.KIND}
    holds = {name: record.hold for name, record in control.state.records(LockRecord).items()}
    return items | {name: (hold.owner, hold.fence, hold.first_fence) for name, hold in holds.items()}


class BadInputTest(unittest.TestCase):
    def _assert_rejected(self, invalid_calls: list[tuple[str, str, Any, str | None]]) -> None:
        """Send invalid calls and check that they are rejected and change nothing. The names that they use exist.

        :param invalid_calls: method, path, body, and the field that the rejection has to name
        """

        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            box = cluster.boxes[0]
            fence = (await calls.acquire(box, "l1", "a1", 600_000)).body["fence"]
            self.assertEqual(1, fence)
            self.assertEqual({"rev": 1}, (await calls.put(box, "g1.a", "v1", 0)).body)
            self.assertEqual({"value": 1}, (await calls.number(box, "n1")).body)
            before = [content(each) for each in map(cluster.control, cluster.boxes)]
            for number, (method, path, body, field) in enumerate(invalid_calls):
                answer = await calls.send(cluster.boxes[number % 5], method, path, body)
                seen = f"{method} {path[:80]} {str(body)[:80]}: {answer.status} {answer.raw[:200]!r}"
                self.assertEqual(400, answer.status, seen)
                self.assertEqual(FIELD, answer.body["code"], seen)
                if field is not None:
                    self.assertTrue(answer.body["reason"].startswith(f"{field}: "), seen)
            self.assertEqual(before, [content(each) for each in map(cluster.control, cluster.boxes)])
            self.assertEqual({"value": "v1", "rev": 1}, (await calls.read(box, "g1.a")).body)
            self.assertEqual({"value": 2}, (await calls.number(box, "n1")).body)
            self.assertEqual(200, (await calls.renew(box, "l1", "a1", fence)).status)
            self.assertEqual(409, (await calls.acquire(box, "l1", "a2")).status)

        Cluster().run(scenario)

    def test_numbers_that_are_none_are_refused(self) -> None:
        wrong: list[tuple[str, str, Any, str | None]] = []
        for method, path, body in CALLS:
            for field in body.keys() & {"holdMs", "fence", "expect"}:
                wrong += [(method, path, body | {field: value}, field) for value in NO_NUMBERS if value != 10**400]
                if field != "expect":
                    wrong.append((method, path, body | {field: 0}, field))
                    wrong.append((method, path, {k: v for k, v in body.items() if k != field}, field))
        wrong += [(m, p, b | {"holdMs": DAY_MS + 1}, "holdMs") for m, p, b in CALLS if "holdMs" in b]
        self._assert_rejected(wrong)

    def test_numbers_of_hundreds_of_digits_are_refused(self) -> None:
        wrong: list[tuple[str, str, Any, str | None]] = []
        for method, path, body in CALLS:
            for field in body.keys() & {"holdMs", "fence", "expect"}:
                for digits in (400, 10_000):
                    text = json.dumps(body | {field: "X"}).replace('"X"', "9" * digits)
                    wrong.append((method, path, text.encode(), field if digits < 4300 else None))
        self._assert_rejected(wrong)

    def test_owners_and_values_that_are_no_text_or_of_odd_length_are_refused(self) -> None:
        wrong: list[tuple[str, str, Any, str | None]] = []
        for method, path, body in CALLS:
            for field in body.keys() & {"owner", "value"}:
                wrong += [(method, path, body | {field: value}, field) for value in [*NO_TEXTS, "\ud800"]]
                wrong.append((method, path, {k: v for k, v in body.items() if k != field}, field))
            if "owner" in body:
                wrong += [(method, path, body | {"owner": value}, "owner") for value in ("", "x" * 257, "é" * 200)]
            if "value" in body:
                wrong.append((method, path, body | {"value": "x" * 65_537}, "value"))
        self._assert_rejected(wrong)

    def test_unknown_fields_are_refused(self) -> None:
        wrong: list[tuple[str, str, Any, str | None]] = []
        for method, path, body in CALLS:
            wrong += [(method, path, body | {field: 1}, field) for field in ("x", "OWNER", "", "é", "rev")]
        self._assert_rejected(wrong)

    def test_bodies_that_are_no_objects_are_refused(self) -> None:
        wrong: list[tuple[str, str, Any, str | None]] = []
        for method, path, _ in CALLS:
            unusable = [body for body in NO_BODIES if body or path != "/numbers/n1"]
            wrong += [(method, path, body, None) for body in unusable]
        self._assert_rejected(wrong)

    def test_names_of_odd_length_or_bytes_are_refused(self) -> None:
        wrong: list[tuple[str, str, Any, str | None]] = []
        for method, path, body in CALLS:
            kind = path.split("/")[1]
            wrong += [(method, f"/{kind}/{name}", body, "ID") for name in NAMES]
            wrong.append((method, f"/{kind}", body, "ID"))
        wrong += [("GET", f"/cells/{name}", None, "ID") for name in NAMES]
        wrong += [("GET", f"/watch/{name}?past=0", None, "ID") for name in [*NAMES, "g1.a", "g1.."]]
        self._assert_rejected(wrong)

    def test_names_that_no_request_line_can_have_are_refused(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for method, path, body in CALLS:
                for name in NO_TARGETS:
                    kind = path.split("/")[1]
                    answer = await calls.send(cluster.boxes[0], method, f"/{kind}/{name}", body)
                    self.assertEqual(400, answer.status, f"{method} {kind} {name!r}")
            self.assertEqual(404, (await calls.read(cluster.boxes[0], "a")).status)

        Cluster().run(scenario)

    def test_odd_queries_are_refused(self) -> None:
        self._assert_rejected([("GET", f"/watch/g1.?{query}", None, field) for query, field in QUERIES])

    # Guards against ambiguity: the caller may have meant either of the two values.
    def test_a_field_that_stands_twice_is_refused(self) -> None:
        self._assert_rejected(
            [
                ("POST", "/locks/l1", b'{"owner":"a2","owner":"a1","holdMs":1000}', "owner"),
                ("PUT", "/locks/l1", b'{"owner":"a1","fence":9,"fence":1,"holdMs":1000}', "fence"),
                ("DELETE", "/locks/l1", b'{"owner":"a1","fence":9,"fence":1}', "fence"),
                ("PUT", "/cells/g1.a", b'{"value":"v2","expect":7,"expect":1}', "expect"),
            ]
        )

    def test_other_methods_get_405(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            await calls.put(cluster.boxes[0], "g1.a", "v1", 0)
            allowed = {"locks": "POST PUT DELETE", "numbers": "POST", "cells": "GET PUT", "watch": "GET"}
            for kind, methods in allowed.items():
                for method in ("GET", "PUT", "POST", "DELETE", "PATCH", "OPTIONS", "HEAD"):
                    if method not in methods.split():
                        answer = await calls.send(cluster.boxes[1], method, f"/{kind}/g1.", {})
                        self.assertEqual(405, answer.status, f"{method} {kind}")
            self.assertEqual(1, (await calls.watch(cluster.boxes[0], "g1", 0)).body["rev"])

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
