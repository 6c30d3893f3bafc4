"""Requests through the proxies of a soak: short soaks with real processes, and the rules on what clients received."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from otterreach.loadtest.ground_truth import GroundTruth, RunRecord, SealRecord, body_of
from otterreach.loadtest.plan import Route
from otterreach.sidecar import http1
from otterreach.soak.requests import RequestLog
from otterreach.soak.result import SoakResult
from otterreach.soak.run import run_soak
from otterreach.soak.setup import Load, SoakSetup
from otterreach.soak.wire import PersistentConnection

SEEDS = (1, 2)
SECONDS = 12.0
CLIENTS = 12
MIN_SERVED = 200
LOOKUP = Route("lookup", "/lookup/", "marker")
NOTES = Route("notes", "/notes/", "marker", kind="mutating")


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_during_disruptions_break_no_rule(seed: int, tmp_path: Path) -> None:
    """TWICE, REFUSED, MIXED: servers repeat answers late and crash, while proxies and controllers are disrupted."""
    setup = SoakSetup.draw(seed, SECONDS, proxies=3, load=Load(request_clients=CLIENTS))

    async def main() -> SoakResult:
        return await run_soak(replace(setup, mean_pause_s=1.5), tmp_path, quiet=True)

    result = asyncio.run(main())
    assert result.violations == [], result.details()
    assert result.answers["200"] > MIN_SERVED
    assert result.late_copies > 0


def log_of(*ran: str) -> RequestLog:
    """Return the log of clients of a server that has run these requests."""
    ground_truth = GroundTruth()
    ground_truth.ran += [RunRecord(ident, "marker", 1.0) for ident in ran]
    ground_truth.seals["s-1"] = SealRecord("q1", body_of("q1", b"b"), 1.0)
    return RequestLog(ground_truth)


def answer(status: int, body: bytes = b"") -> http1.Response:
    return http1.Response(status, {b"reply-seal": b"s-1"}, body, True)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refused_request_that_ran_breaks_a_rule(status: int) -> None:
    log = log_of("q1")
    log.sent("q1", NOTES)
    log.answered("q1", NOTES, b"b", answer(status))
    assert log.violations() == ["TWICE or REFUSED: q1 was refused, but ran"]


def test_a_mutating_request_that_ran_twice_breaks_a_rule() -> None:
    log = log_of("q1", "q1", "q2", "q2")
    log.sent("q1", NOTES)
    log.sent("q2", LOOKUP)
    assert log.violations() == ["TWICE or REFUSED: q1 ran 2 times"]


def test_requests_without_a_promise_may_run_once() -> None:
    log = log_of("q1", "q2")
    for ident, outcome in (("q1", answer(200, body_of("q1", b"b"))), ("q2", answer(502)), ("q3", None)):
        log.sent(ident, NOTES)
        log.answered(ident, NOTES, b"b", outcome)
    assert log.violations() == []
    assert log.answers == {"200": 1, "502": 1, "none": 1}


@pytest.mark.parametrize(("ident", "body"), [("q1", b"other"), ("q2", body_of("q1", b"b"))])
def test_a_success_that_no_server_made_breaks_a_rule(ident: str, body: bytes) -> None:
    log = log_of("q1")
    log.sent(ident, NOTES)
    log.answered(ident, NOTES, b"b", answer(200, body))
    assert [violation.partition(":")[0] for violation in log.violations()] == ["MIXED"]


def test_bytes_without_a_request_are_recorded() -> None:
    connection = PersistentConnection()
    connection.data_received(b"HTTP/1.1 200 OK\r\n")
    log = log_of()
    log.unsolicited(connection.unsolicited)
    assert log.violations() == ["MIXED: bytes without a request: b'HTTP/1.1 200 OK\\r\\n'"]
