"""Requests that arrive right after a proxy's start wait a limited time for the first configuration."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from otterreach.proxy.node import CONFIGURATION_WAIT_SHARE, Proxy
from otterreach.sidecar import http1
from tests.virtual import VirtualLoop


class StartTest(unittest.TestCase):
    def waited(self, deadline_ms: bytes, known_after_s: float) -> float:
        loop = VirtualLoop()
        self.addCleanup(loop.close)

        async def scene() -> float:
            proxy: Any = Proxy.__new__(Proxy)
            proxy.fleet = SimpleNamespace(config=SimpleNamespace(version=0))
            proxy._configured = asyncio.Event()

            def known() -> None:
                proxy.fleet.config.version = 1
                proxy._on_change()

            proxy._on_change()
            loop.call_later(known_after_s, known)
            client: Any = SimpleNamespace(received_at=loop.time())
            request = http1.Request(b"GET", b"/a", {b"deadline-ms": deadline_ms}, b"", True)
            await proxy._first_configuration(request, client)
            return float(loop.time() - client.received_at)

        return loop.run_until_complete(scene())

    def test_it_goes_on_as_soon_as_the_configuration_is_there(self) -> None:
        self.assertAlmostEqual(self.waited(b"1500", 0.4), 0.4, places=2)

    def test_it_keeps_time_for_an_answer_that_says_when_to_come_back(self) -> None:
        self.assertAlmostEqual(self.waited(b"1000", 9.0), CONFIGURATION_WAIT_SHARE, places=2)


if __name__ == "__main__":
    unittest.main()
