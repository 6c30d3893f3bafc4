"""Crowds that submit batch jobs: what a job store node holds of them."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.crowds.deployments import ACCEPTED, BODY_BYTES, NOFILE, RAM_MIB, SERVED, batch_job, deployment, plan

pytestmark = pytest.mark.crowd
SUBMISSIONS = 48  # each one complete and legal


@pytest.mark.parametrize("waves", [1, 3])
def test_submissions(waves: int, tmp_path: Path) -> None:
    """All at once, and in waves, each of which finds what is stored of the earlier ones."""

    async def main() -> None:
        async with deployment(tmp_path, plan()) as system:
            body = batch_job(BODY_BYTES)
            async with system.observe("store") as store, system.observe("front") as front:
                for wave in range(waves):
                    calls = [system.call(f"/samples/{n}", body, f"job-{wave}-{n}") for n in range(SUBMISSIONS // waves)]
                    statuses = await asyncio.gather(*calls)
                    assert set(statuses) <= {0, ACCEPTED, 429, 502, 503, 504}, statuses
                await system.call_until("/lookup/a", b"ordinary", SERVED)
            print(f"store: {store}; front: {front}")
            store.check(RAM_MIB, NOFILE)
            front.check(RAM_MIB, NOFILE)

    asyncio.run(main())


@pytest.mark.parametrize("fronts", [3])
def test_submissions_by_several_proxies(fronts: int, tmp_path: Path) -> None:
    async def main() -> None:
        async with deployment(tmp_path, plan(front=fronts)) as system:
            body = batch_job(BODY_BYTES)
            async with system.observe("store") as store:
                calls = [system.call(f"/samples/{n}", body, f"job-{n}", n % fronts) for n in range(SUBMISSIONS)]
                statuses = await asyncio.gather(*calls)
                assert set(statuses) <= {0, ACCEPTED, 429, 502, 503, 504}, statuses
                await system.call_until("/lookup/a", b"ordinary", SERVED)
            print(f"store: {store}")
            store.check(RAM_MIB, NOFILE)

    asyncio.run(main())
