"""Watches: each put is reported once and in order across failures; the watch restarts if the history is discarded."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from otterreach.client import Cell, Changed, CoordinationClient, Restarted
from otterreach.client.watches import LONG_POLL_S, Report
from tests.client.fake_service import ANSWER_LOST, SILENT, FakeService, Fault, play


async def next_report(reports: AsyncIterator[Report], within_s: float = 10.0) -> Report:
    async with asyncio.timeout(within_s):
        return await anext(reports)


def test_a_new_watch_starts_with_a_read_and_then_reports_every_put() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.put("g1.a", "v1")
        reports = client.watches.watch("g1.", keys=("g1.a", "g1.b"))
        assert await next_report(reports) == Restarted(1, (Cell("g1.a", "v1", 1),))
        service.put("g1.b", "v2")
        service.put("g1.a", "v3")
        assert await next_report(reports) == Changed(3, (Cell("g1.b", "v2", 2), Cell("g1.a", "v3", 3)))

    play(body)


def test_a_put_is_reported_as_soon_as_it_is_there() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.put("g1.a", "v1")
        reports = client.watches.watch("g1.", past=1)
        asyncio.get_running_loop().call_later(5.5, service.put, "g1.a", "v2")
        begun = service.loop.time()
        assert await next_report(reports) == Changed(2, (Cell("g1.a", "v2", 2),))
        assert service.loop.time() - begun < 5.6
        assert len(service.calls) == 1 + 5.5 // LONG_POLL_S, "the watch uses long polls"

    play(body)


def test_a_watch_resumes_from_the_last_revision_after_failures() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.put("g1.a", "v1")
        reports = client.watches.watch("g1.", past=1)
        service.faults += [SILENT, Fault(status=503), ANSWER_LOST, Fault(status=500), SILENT, SILENT]
        service.put("g1.a", "v2")
        assert await next_report(reports, 60.0) == Changed(2, (Cell("g1.a", "v2", 2),))
        service.put("g1.a", "v3")
        assert await next_report(reports) == Changed(3, (Cell("g1.a", "v3", 3),))
        assert len({call.address for call in service.calls}) == 3

    play(body)


def test_a_watch_restarts_with_a_read_if_the_history_was_discarded() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        for value in ("v1", "v2", "v3"):
            service.put("g1.a", value)
        service.forgotten["g1."] = 2
        reports = client.watches.watch("g1.", keys=("g1.a",), past=1)
        assert await next_report(reports) == Restarted(3, (Cell("g1.a", "v3", 3),))
        service.put("g1.a", "v4")
        assert await next_report(reports) == Changed(4, (Cell("g1.a", "v4", 4),))

    play(body)


def test_the_first_put_of_an_empty_group_is_not_missed() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        reports = client.watches.watch("g1.", keys=("g1.a",))
        asyncio.get_running_loop().call_later(3.0, service.put, "g1.a", "v1")
        assert await next_report(reports) == Restarted(1, (Cell("g1.a", "v1", 1),))
        assert len(service.calls) < 12

    play(body)


def test_the_read_of_a_restart_is_retried_until_it_is_answered() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.put("g1.a", "v1")
        service.faults.append(Fault())
        service.faults.extend([SILENT] * 12)
        reports = client.watches.watch("g1.", keys=("g1.a",))
        assert await next_report(reports, 60.0) == Restarted(1, (Cell("g1.a", "v1", 1),))

    play(body)
