"""Soaks that run at the same time on one machine use different addresses."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import ExitStack
from unittest import mock

import pytest

from otterreach.soak import network
from otterreach.soak.network import NoFreeNetworkError, reserved_network


@pytest.fixture(autouse=True)
def separate_reservation_port() -> Iterator[None]:
    """Use a reservation port of this process, so that soaks on the same machine do not affect the test."""
    with mock.patch.object(network, "RESERVATION_PORT", 20_000 + os.getpid() % 10_000):
        yield


def test_two_soaks_never_share_a_network() -> None:
    """Guards against two soaks on the same addresses, whose systems answered each other's callers.

    The result was values that no caller had put, and locks with two holders.
    """
    with reserved_network(3) as first, reserved_network(3) as second:
        assert first != second


def test_a_network_is_free_again_after_its_soak() -> None:
    with reserved_network(5) as first:
        pass
    with reserved_network(5) as second:
        assert first == second


def test_no_free_network_raises() -> None:
    with mock.patch.object(network, "NETWORKS", 2), ExitStack() as stack:
        stack.enter_context(reserved_network(0))
        with pytest.raises(NoFreeNetworkError):
            for _ in range(2):
                stack.enter_context(reserved_network(0))
