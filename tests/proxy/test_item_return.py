"""The complete decision table of should_return: which items are returned to their job store node, and which wait."""

from __future__ import annotations

import unittest
from itertools import product

from otterreach.proxy.item_return import (
    MAX_STATE_AGE_S,
    MIN_UNREACHABLE_ATTEMPTS,
    RETURN_AFTER_S,
    RETURN_TEXT_AFTER_S,
    Obstacle,
    should_return,
)

LONG_S = RETURN_TEXT_AFTER_S + 1
OBSTACLES = (*Obstacle, None)


class ShouldReturnTest(unittest.TestCase):
    def test_table(self) -> None:
        """Expected results by obstacle: with recent state, with old state, and with servers that do not answer."""
        table: dict[Obstacle | None, tuple[bool, bool, bool]] = {
            Obstacle.NOT_CONFIRMED: (False, False, False),
            Obstacle.NO_ROUTE: (False, False, False),
            Obstacle.SERVERS_FULL: (False, False, False),
            Obstacle.NO_SERVER: (False, True, False),
            Obstacle.NO_CONNECTION: (True, True, True),
            None: (False, False, True),
        }
        self.assertEqual(set(table), set(OBSTACLES))
        for obstacle, expected in table.items():
            with self.subTest(obstacle=obstacle):
                found = (
                    should_return(obstacle, LONG_S, 0, 0.0, False),
                    should_return(obstacle, LONG_S, 0, MAX_STATE_AGE_S + 0.1, False),
                    should_return(obstacle, LONG_S, MIN_UNREACHABLE_ATTEMPTS, 0.0, False),
                )
                self.assertEqual(found, expected)

    def test_nothing_goes_back_at_once(self) -> None:
        for obstacle, has_text in product(OBSTACLES, (False, True)):
            limit = RETURN_TEXT_AFTER_S if has_text else RETURN_AFTER_S
            self.assertFalse(should_return(obstacle, limit - 0.01, 100, 100.0, has_text))

    def test_one_lost_connection_is_no_reason(self) -> None:
        self.assertFalse(should_return(None, LONG_S, MIN_UNREACHABLE_ATTEMPTS - 1, 0.0, False))

    def test_two_proxies_that_fail_leave_time_for_a_third(self) -> None:
        """No item may be without a server for 5 s while servers have free capacity."""
        self.assertLess(2 * RETURN_AFTER_S + 1.0, 5.0)


if __name__ == "__main__":
    unittest.main()
