"""Boundary values of all numbers of a configuration: rejected with the field's name, or usable by the processes."""

from __future__ import annotations

import asyncio
import json
from math import isfinite
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings, strategies

from otterreach.controller.config_schema import read_body, validate
from otterreach.jobstore.messages import AssignItems
from otterreach.proxy.draw import Draw
from otterreach.proxy.fleet import Fleet
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Failure
from otterreach.runtime.configuration import MAX_TIME_S, ConfigurationRecord, read
from otterreach.runtime.integers import MAX_INTEGER
from otterreach.runtime.store import ReplicatedStore

NUMBERS: list[Any] = [-1e308, -1, 0, 5e-324, 0.5, 1, 1e9, 1e308, 2**63, 10**400]
INTEGERS: list[Any] = [-(2**63), -1, 0, 1, 2**31, MAX_INTEGER, 2**63, 10**400]
WEIGHTS = [0, 5e-324, 1, 90, 1e308, 1.7e308]
ROUTE: dict[str, list[Any]] = {
    "timeoutMs": NUMBERS,
    "targetMs": NUMBERS,
    "dueMs": NUMBERS,
    "maxWaitS": NUMBERS,
    "tries": INTEGERS,
    "prio": INTEGERS,
}
CAPS = dict.fromkeys(("headerBytes", "bodyBytes", "headerMs", "idleMs"), NUMBERS)


def chosen(fields: dict[str, list[Any]]) -> strategies.SearchStrategy[dict[str, Any]]:
    return strategies.fixed_dictionaries(
        {}, optional={name: strategies.sampled_from(values) for name, values in fields.items()}
    )


def document(**changes: Any) -> dict[str, Any]:
    route = {"name": "r", "host": "h", "prefix": "/p/", "kind": "rollout", "backend": "a", "timeoutMs": 1000}
    backends = [{"name": "a", "probe": "/", "maxConns": 10}, {"name": "b", "probe": "/"}]
    return {"gen": 1, "routes": [route], "backends": backends, "caps": {}} | changes


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    route=chosen(ROUTE),
    caps=chosen(CAPS),
    connections=strategies.sampled_from(INTEGERS),
    weights=strategies.lists(strategies.sampled_from(WEIGHTS), min_size=2, max_size=2),
)
def test_what_is_accepted_can_be_worked_with(
    route: dict[str, Any], caps: dict[str, Any], connections: int, weights: list[float]
) -> None:
    raw = document(caps=caps)
    split = [{"backend": name, "weight": weight} for name, weight in zip("ab", weights, strict=True)]
    raw["routes"][0] |= route | {"split": split}
    raw["backends"][0]["maxConns"] = connections
    document_read = read_body(json.dumps(raw).encode())
    if isinstance(document_read, Failure) or validate(document_read) is not None:
        return
    asyncio.run(work_with(document_read))


async def work_with(raw: dict[str, Any]) -> None:
    """Use the numbers of a configuration as proxies and job store nodes do."""
    configuration = read(ConfigurationRecord(raw))
    route = configuration.routes[0]
    times = (route.timeout_s, route.target_s, route.due_s, route.max_wait_s)
    assert all(isfinite(time) and 0 <= time <= MAX_TIME_S for time in times)
    assert configuration.caps.header_s > 0
    assert configuration.caps.idle_s > 0
    fleet = Fleet(ReplicatedStore(), Random(1))
    fleet.config = configuration
    fleet.set_runner_count(2)
    assert Draw(Random(1)).choose([weight for _, weight in route.split]) in range(len(route.split))
    left_ms, wait_ms = int(route.due_s * 1000), int(route.max_wait_s * 1000)
    encode(AssignItems(0, 1, "job", "h", "model", 1, left_ms, wait_ms, []))


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"gen": 2**63}, "gen"),
        ({"backends": [{"name": "a", "maxConns": 10**400}]}, "backends.maxConns"),
    ],
)
def test_a_whole_number_beyond_64_bits_is_refused_by_name(change: dict[str, Any], field: str) -> None:
    failure = validate(document(**change))
    assert isinstance(failure, Failure)
    assert failure.reason.startswith(field)
