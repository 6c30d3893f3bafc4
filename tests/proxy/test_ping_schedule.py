"""The ping schedule: each condition for the short interval, and the long interval without any of them."""

from __future__ import annotations

import unittest
from random import Random

from otterreach.proxy.ping_schedule import (
    LONG_INTERVAL_S,
    LONG_INTERVAL_SPREAD,
    SHORT_INTERVAL_S,
    ItemLoad,
    PingSchedule,
)

IDLE = ItemLoad(16, 16)
FIRST, SECOND = "10.0.0.1:7000", "10.0.0.2:7000"


class PingScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = PingSchedule(Random(7))

    def due(self, now: float, load: ItemLoad = IDLE, urgent: set[str] | None = None) -> list[str]:
        return self.schedule.due([FIRST, SECOND], urgent or set(), load, now)

    def ping(self, address: str, now: float, load: ItemLoad = IDLE, *, answered: bool = True) -> None:
        self.schedule.sent(address, load, now)
        if answered:
            self.schedule.answered(address)

    def test_a_node_that_is_new_is_pinged_at_once(self) -> None:
        self.ping(FIRST, 5.0)
        self.assertEqual(self.due(5.0), [SECOND])

    def test_one_that_has_answered_waits_for_the_long_interval(self) -> None:
        for address in (FIRST, SECOND):
            self.ping(address, 0.0)
        self.assertEqual(self.due(LONG_INTERVAL_S * (1 - LONG_INTERVAL_SPREAD) - SHORT_INTERVAL_S), [])
        self.assertEqual(self.due(LONG_INTERVAL_S), [FIRST, SECOND])

    def test_the_long_interval_is_never_longer_than_what_pings_promise(self) -> None:
        for number in range(200):
            self.ping(FIRST, float(number))
            self.assertIn(FIRST, self.due(number + LONG_INTERVAL_S))

    def test_reasons_for_the_short_interval(self) -> None:
        table: list[tuple[str, ItemLoad, set[str], bool]] = [
            ("serves a batch job with items here", IDLE, {FIRST}, True),
            ("has not answered", IDLE, set(), False),
            ("slots are gone", ItemLoad(0, 0), set(), True),
            ("was told far too many free slots", ItemLoad(16, 11), set(), True),
        ]
        for name, load, urgent, answered in table:
            with self.subTest(name):
                self.ping(FIRST, 0.0, answered=answered)
                self.ping(SECOND, 0.0, load)
                self.assertEqual(self.due(SHORT_INTERVAL_S, load, urgent), [FIRST])
                self.assertEqual(self.due(SHORT_INTERVAL_S / 4, load, urgent), [])

    def test_a_small_change_of_the_load_is_no_reason(self) -> None:
        for address in (FIRST, SECOND):
            self.ping(address, 0.0)
        self.assertEqual(self.due(SHORT_INTERVAL_S, ItemLoad(16, 12)), [])

    def test_one_that_left_and_came_back_is_new(self) -> None:
        self.ping(FIRST, 0.0)
        self.schedule.due([SECOND], set(), IDLE, 0.1)
        self.assertIn(FIRST, self.due(0.2))


if __name__ == "__main__":
    unittest.main()
