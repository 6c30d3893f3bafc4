"""The choice of the proxy for the next item: the least loaded; other proxies replace those blocked for its model."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from otterreach.jobstore.assignment_blocks import BLOCK_S, AssignmentBlocks
from otterreach.jobstore.free_proxies import FreeProxies
from otterreach.jobstore.proxy_sessions import ProxySession

SERVER_SLOTS = 8  # two proxies of four slots; with RUNNER_SLOTS_SHARE three proxies are needed
NOW = 50.0


class OpenLink:
    closed = False


def session(number: int, free: int = 4) -> ProxySession:
    link: Any = OpenLink()
    return ProxySession(f"front-{number}", link, NOW, slots=4, free=free)


class FreeProxiesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sessions = [session(number) for number in range(8)]
        self.blocks = AssignmentBlocks()

    def round(self, now: float = NOW) -> FreeProxies:
        return FreeProxies(self.sessions, SERVER_SLOTS, self.blocks, Random(3), now)

    def taken(self, free: FreeProxies, model: str, count: int) -> list[str]:
        nodes = []
        for _ in range(count):
            found = free.take(model)
            if found is not None:
                nodes.append(found.node)
                found.free -= 1
                free.put_back(found)
        return nodes

    def runners(self) -> set[str]:
        return set(self.taken(self.round(), "m", 12))

    def test_the_least_loaded_first(self) -> None:
        runners = sorted(self.runners())
        for one in self.sessions:
            one.free = 1 if one.node == runners[0] else 4
        self.assertNotEqual(self.taken(self.round(), "m", 1), [runners[0]])

    def test_a_blocked_proxy_gets_none_of_that_model_and_another_joins(self) -> None:
        blocked = min(self.runners())
        self.blocks.add(blocked, "m", NOW)
        for one in self.sessions:
            one.free = 4
        taken = set(self.taken(self.round(), "m", 12))
        self.assertNotIn(blocked, taken)
        self.assertGreaterEqual(len(taken), 3)

    def test_a_blocked_proxy_gets_items_of_other_models(self) -> None:
        blocked = min(self.runners())
        self.blocks.add(blocked, "m", NOW)
        for one in self.sessions:
            one.free = 4
        self.assertIn(blocked, self.taken(self.round(), "other", 12))

    def test_a_block_ends(self) -> None:
        blocked = min(self.runners())
        self.blocks.add(blocked, "m", NOW)
        for one in self.sessions:
            one.free = 4
        self.assertIn(blocked, self.taken(self.round(NOW + BLOCK_S + 0.1), "m", 12))

    def test_if_all_proxies_are_blocked_the_blocks_are_ignored(self) -> None:
        for one in self.sessions:
            self.blocks.add(one.node, "m", NOW)
        self.assertEqual(len(self.taken(self.round(), "m", 4)), 4)

    def test_a_blocked_proxy_remains_available_for_the_next_model(self) -> None:
        blocked = min(self.runners())
        self.blocks.add(blocked, "m", NOW)
        for one in self.sessions:
            one.free = 4
        free = self.round()
        self.taken(free, "m", 6)
        self.assertIn(blocked, self.taken(free, "other", 6))


if __name__ == "__main__":
    unittest.main()
