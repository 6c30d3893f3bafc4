"""A short soak with crowds: processes are disrupted while clients that don't behave hold their connections."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from otterreach.sidecar.http1 import RequestParser
from otterreach.soak.crowds import BODY_BYTES, UNSENT_BYTES, Framing, parts
from otterreach.soak.result import SoakResult
from otterreach.soak.run import run_soak
from otterreach.soak.setup import Load, SoakSetup

pytestmark = pytest.mark.crowd
SEEDS = (1, 2)
SECONDS = 12.0
CLIENTS = 24
MIN_SERVED_CALLS = 50


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_and_no_process_holds_too_much(seed: int, tmp_path: Path) -> None:
    setup = SoakSetup.draw(seed, SECONDS, jobstores=1, proxies=2, load=Load(crowd_clients=CLIENTS))

    async def main() -> SoakResult:
        return await run_soak(setup, tmp_path, quiet=True)

    result = asyncio.run(main())
    assert result.violations == [], result.details()
    assert sum(counts.get("200", 0) for counts in result.calls.values()) > MIN_SERVED_CALLS


@pytest.mark.parametrize("framing", Framing)
def test_a_client_of_a_crowd_sends_a_legal_request_without_its_end(framing: Framing) -> None:
    parser = RequestParser(max_body=BODY_BYTES)
    for part in parts("PUT /config", framing):
        assert parser.feed(part) == []
    assert not parser.error
    assert parser.has_partial_request
    if framing is not Framing.SMALL_CHUNKS:
        assert parser.buffered_bytes >= BODY_BYTES - UNSENT_BYTES
