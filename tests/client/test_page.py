"""Runs the examples of docs/coordination-client.md against the fake service, in virtual time."""

from __future__ import annotations

import asyncio
import inspect
import re
from pathlib import Path
from typing import Any

import pytest

import otterreach.client
from otterreach.client import CoordinationClient, CoordinationError
from tests.client.fake_service import FakeService, play

PAGE = (Path(__file__).parent.parent.parent / "docs" / "coordination-client.md").read_text()
BLOCKS = re.findall(r"```python\n(.*?)```", PAGE, re.DOTALL)


def examples() -> dict[str, Any]:
    """Return a namespace with the functions of all code blocks and stubs of the application functions they call."""
    calls: list[tuple[Any, ...]] = []

    async def send_alerts() -> None:
        await asyncio.sleep(20.0)
        calls.append(("alerts",))

    namespace: dict[str, Any] = {
        "write_reading": lambda *given: calls.append(given),
        "use_list": lambda *given: calls.append(given),
        "save_revision": lambda *given: calls.append(given),
        "send_alerts": send_alerts,
        "calls": calls,
    }
    for block in BLOCKS:
        exec(compile(block, "docs/coordination-client.md", "exec"), namespace)
    return namespace


NAMES = [name for name in examples() if name.startswith("example_")]


@pytest.mark.parametrize("name", NAMES)
def test_the_example_runs(name: str) -> None:
    namespace = examples()

    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.put("apiaries.north", "list-1")
        asyncio.get_running_loop().call_later(3.0, service.put, "apiaries.north", "list-2")
        arguments = [client] if inspect.signature(namespace[name]).parameters else []
        async with asyncio.timeout(60.0):
            await namespace[name](*arguments)

    play(body)


def test_every_block_is_an_example() -> None:
    assert len(NAMES) == len(BLOCKS) == 6


def test_the_table_of_errors_is_complete() -> None:
    exported = [getattr(otterreach.client, name) for name in otterreach.client.__all__]
    errors = {kind.__name__ for kind in exported if isinstance(kind, type) and issubclass(kind, CoordinationError)}
    assert set(re.findall(r"^\| `(\w+Error)`", PAGE, re.MULTILINE)) == errors - {"CoordinationError"}
