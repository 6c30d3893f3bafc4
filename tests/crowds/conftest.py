"""Crowds run one at a time on a machine, also where tests run in several processes."""

from __future__ import annotations

import fcntl
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

LOCK = Path(tempfile.gettempdir()) / "otterreach-crowds.lock"


@pytest.fixture(autouse=True)
def one_crowd_at_a_time() -> Iterator[None]:
    """Hold a lock of the machine during a test."""
    with LOCK.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield
