"""Heartbeats of servers with boundary numbers: rejected, or usable by the proxies that share the server's slots."""

from __future__ import annotations

import json
import unittest
from math import ceil
from typing import Any

from otterreach.controller.api.servers import read_heartbeat
from otterreach.controller.messages import ApiCall
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.integers import MAX_INTEGER
from otterreach.runtime.records import ServerRecord

HEARTBEAT = {"backend": "b", "addr": "127.0.0.1:1", "az": "z", "cap": 4, "state": "up", "warmLeftMs": 0, "calls": 1}
OUT_OF_RANGE = [MAX_INTEGER + 1, 10**400, float("inf")]
NUMBERS: list[Any] = [-MAX_INTEGER, -1, 0, 0.5, 1, MAX_INTEGER, *OUT_OF_RANGE, float("nan"), "x"]


def heartbeat(**changes: Any) -> ServerRecord | Failure:
    return read_heartbeat(json.dumps(HEARTBEAT | changes).encode())


class HeartbeatTest(unittest.TestCase):
    def test_each_number_is_rejected_or_usable(self) -> None:
        for number in NUMBERS:
            for change in ({"cap": number}, {"calls": number}, {"warmLeftMs": number}, {"models": [model(number)]}):
                with self.subTest(change=change):
                    read = heartbeat(**change)
                    if isinstance(read, Failure):
                        self.assertEqual(read.code, Code.CONFIG_FIELD)
                        continue
                    ceil(read.capacity * 1.1 / 3)
                    self.assertEqual(ServerRecord.decode(read.encode()).capacity, read.capacity)
                    encode(ApiCall("PUT", "/servers/i", "", read.encode()))

    def test_out_of_range_numbers_are_rejected(self) -> None:
        for number in OUT_OF_RANGE:
            self.assertIsInstance(heartbeat(cap=number), Failure)

    def test_a_deeply_nested_body_is_rejected(self) -> None:
        self.assertIsInstance(read_heartbeat(b"[" * 100_000), Failure)


def model(version: Any) -> dict[str, Any]:
    return {"name": "m", "gen": version}


if __name__ == "__main__":
    unittest.main()
