"""Boundary values of all numeric settings: no decision raises an exception, and the four rules hold."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings, strategies

from otterreach.balancer import interface as api
from otterreach.balancer.settings_reader import MAX_FACTOR, SettingsError
from tests.balancer.support import MS, SECOND, Sidecar, listed, raw_settings
from tests.balancer.test_rules import World

HUGE = 10**18  # nanoseconds: some 30 years
TIMES_NS = [0, 1, MS, SECOND, HUGE]
POSITIVE_TIMES_NS = TIMES_NS[1:]
FACTORS = [0.0, 1e-300, 0.5, 1.0, 2.5, MAX_FACTOR]
SHARES = [0.0, 1e-300, 0.5, 1.0]
NUMBERS: dict[str, list[Any]] = {
    "allowed__attempts_cap": [1, 2, 1000],
    "allowed__connect_timeout_ns": TIMES_NS,
    "fleet_size": [-1, 0, 1, 10**9],
    "guarantees__answer_slack_ns": TIMES_NS,
    "guarantees__ask_within_ns": TIMES_NS,
    "guarantees__cold_ns": POSITIVE_TIMES_NS,
    "guarantees__drain_grace_ns": TIMES_NS,
    "guarantees__fall_multiple": FACTORS,
    "guarantees__fall_ns": POSITIVE_TIMES_NS,
    "guarantees__order_settle_ns": TIMES_NS,
    "guarantees__start_capacity": SHARES,
    "prices__cross_zone": FACTORS,
    "resolution_ns": TIMES_NS,
    "self_index": [-1, 0, 10**9],
    "zone": [-1, 0, 10**9],
}
CLASS_NUMBERS: dict[str, list[Any]] = {
    "target-ns": POSITIVE_TIMES_NS,
    "deadline-ns": POSITIVE_TIMES_NS,
    "worth": FACTORS,
    "late-worth": FACTORS,
    "aim-stretch": FACTORS,
}


def test_an_endpoint_that_started_this_moment_and_has_no_capacity_yet() -> None:
    changes = {"guarantees__start_capacity": 0, "guarantees__cold_ns": HUGE}
    sidecar = Sidecar([listed(1, started_ns=100 * SECOND)], **changes)
    sidecar.request()  # may be held or refused, but must not raise an exception
    sidecar.roster([listed(2)])
    assert set(sidecar.serve(20)) == {2}


@settings(max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    seed=strategies.integers(0, 2**32),
    numbers=strategies.fixed_dictionaries({}, optional={k: strategies.sampled_from(v) for k, v in NUMBERS.items()}),
    in_classes=strategies.fixed_dictionaries(
        {}, optional={k: strategies.sampled_from(v) for k, v in CLASS_NUMBERS.items()}
    ),
)
def test_no_accepted_number_makes_a_decision_raise(
    seed: int, numbers: dict[str, Any], in_classes: dict[str, Any]
) -> None:
    raw = raw_settings(**numbers)
    for request_class in raw["request-classes"]:
        request_class.update(in_classes)
    World(seed, api.Settings.from_dict(raw), 3 * SECOND).run()


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("guarantees__start_capacity", 1.01),
        ("guarantees__start_capacity", -0.01),
        ("guarantees__fall_multiple", -1.0),
        ("prices__cross_zone", 1e300),
    ],
)
def test_a_factor_out_of_its_range_is_refused_by_name(path: str, value: float) -> None:
    name = path.replace("__", ".").replace("_", "-")
    with pytest.raises(SettingsError, match=f"{name}: .* is not between 0 and"):
        api.Settings.from_dict(raw_settings(**{path: value}))


@pytest.mark.parametrize("key", ["drain_grace_ns", "answer_slack_ns", "order_settle_ns", "ask_within_ns"])
def test_a_duration_below_zero_is_refused_by_name(key: str) -> None:
    with pytest.raises(SettingsError, match=f"guarantees.{key.replace('_', '-')}: -1 is below 0"):
        api.Settings.from_dict(raw_settings(**{f"guarantees__{key}": -1}))
