"""Soaks on one machine have addresses of their own."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import ExitStack
from unittest import mock

import pytest

from otterreach.soak import network
from otterreach.soak.network import NoNetworkError, reserved_network


@pytest.fixture(autouse=True)
def port_of_its_own() -> Iterator[None]:
    """Soaks that run on this machine meanwhile are out of it."""
    with mock.patch.object(network, "MARK_PORT", 20_000 + os.getpid() % 10_000):
        yield


def test_two_soaks_never_share_a_network() -> None:
    """Two once did, each at the other's callers: values that nobody had put, and locks with two holders."""
    with reserved_network(3) as first, reserved_network(3) as second:
        assert first != second


def test_a_network_is_free_again_after_its_soak() -> None:
    with reserved_network(5) as first:
        pass
    with reserved_network(5) as second:
        assert first == second


def test_none_is_left() -> None:
    with mock.patch.object(network, "NETS", 2), ExitStack() as stack:
        stack.enter_context(reserved_network(0))
        with pytest.raises(NoNetworkError):
            for _ in range(2):
                stack.enter_context(reserved_network(0))
