"""Detection of lost proxies: by the announced ping interval, and sooner while the proxy has items."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from typing import Any

from otterreach.jobstore.job import Job, JobItem
from otterreach.jobstore.messages import ProxyPing
from otterreach.jobstore.proxy_sessions import (
    IDLE_MARGIN_S,
    MAX_INTERVAL_S,
    PING_TIMEOUT_S,
    AssignedItem,
    ProxySession,
    ProxySessions,
    SessionState,
)

TICK_S = 0.1
NODE = "front-1"


class FakeLink:
    def __init__(self) -> None:
        self.closed = False
        self.on_close: list[Any] = []


class FakeKey:
    """A fake of a job or an item, with an id only."""

    def __init__(self, ident: str) -> None:
        self.id = ident


class ProxySessionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.time = 100.0
        self.returned: list[AssignedItem] = []
        self.sessions = ProxySessions(lambda: self.time, self._take)
        self.link: Any = FakeLink()

    def _take(self, items: Iterable[AssignedItem]) -> None:
        self.returned += items

    def ping(self, interval_ms: int) -> ProxySession:
        session, _ = self.sessions.handle_ping(self.link, ProxyPing(NODE, "a", 0, 4, 4, [], 1, interval_ms))
        self.sessions.become(session, SessionState.LIVE)
        return session

    def assign(self, session: ProxySession, item: str) -> None:
        job, key = FakeKey("job"), FakeKey(item)
        session.add(AssignedItem(self._as_job(job), self._as_item(key)), self.time)

    @staticmethod
    def _as_job(value: Any) -> Job:
        job: Job = value
        return job

    @staticmethod
    def _as_item(value: Any) -> JobItem:
        item: JobItem = value
        return item

    def lost_after(self, session: ProxySession, within_s: float = 20.0) -> float:
        """Return the seconds until a proxy that sends no pings is detected as lost."""
        began = self.time
        while session.state is SessionState.LIVE and self.time < began + within_s:
            self.time += TICK_S
            self.sessions.tick()
        return self.time - began

    def test_a_proxy_of_an_earlier_version_is_lost_as_before(self) -> None:
        self.assertAlmostEqual(self.lost_after(self.ping(0)), PING_TIMEOUT_S, delta=2 * TICK_S)

    def test_a_proxy_without_items_is_lost_after_its_announced_interval(self) -> None:
        self.assertAlmostEqual(self.lost_after(self.ping(1000)), 1.0 + IDLE_MARGIN_S, delta=2 * TICK_S)

    def test_no_interval_hides_a_lost_proxy_for_long(self) -> None:
        for interval_ms in (2**62, -(2**62)):
            with self.subTest(interval_ms):
                self.assertLess(self.lost_after(self.ping(interval_ms)), MAX_INTERVAL_S + IDLE_MARGIN_S + 2 * TICK_S)

    def test_a_proxy_that_gets_items_has_to_ping_from_then_on(self) -> None:
        session = self.ping(1000)
        self.time += 0.9
        self.sessions.tick()
        self.assign(session, "i1")
        self.assertAlmostEqual(self.lost_after(session), PING_TIMEOUT_S, delta=2 * TICK_S)
        self.assertEqual([assigned.key for assigned in self.returned], [("job", "i1")])

    def test_a_further_item_gives_a_silent_proxy_no_more_time(self) -> None:
        session = self.ping(1000)
        self.assign(session, "i1")
        for _ in range(5):
            self.time += TICK_S
            self.sessions.tick()
        self.assign(session, "i2")
        self.assertAlmostEqual(self.lost_after(session), PING_TIMEOUT_S - 0.5, delta=2 * TICK_S)
        self.assertEqual(len(self.returned), 2)


if __name__ == "__main__":
    unittest.main()
