"""Limits on what callers make a process hold, directly or by messages of its peers, from the process's settings."""

from __future__ import annotations

from collections.abc import Callable

from otterreach.runtime.frame_admission import FrameAdmission
from otterreach.runtime.settings import Settings
from otterreach.sidecar.memory_budget import MemoryBudget

MEMORY_SHARE = 0.35  # of `ramMb`; the rest is for the program, its state, and copies of a body that is passed on
SINGLE_MEMORY_SHARE = 0.6  # of `ramMb`, for a single request with all its copies while hardly any other is there
PROXY_DESCRIPTOR_SHARE = 0.5  # of the free descriptors, for clients; the rest is for model servers and peers
CONTROLLER_DESCRIPTOR_SHARE = 0.75  # for model servers, applications and the operator; the rest is for peers
MESSAGE_MEMORY_SHARE = 0.3  # of `ramMb`, for long messages of peers that pass on what callers sent
RESERVED_DESCRIPTORS = 200
MIN_CONNECTIONS = 16
BYTES_PER_MB = 1024 * 1024


def memory_budget(settings: Settings, clock: Callable[[], float]) -> MemoryBudget:
    """Return the budget that all listeners of a process share."""
    ram_bytes = settings.ram_mb * BYTES_PER_MB
    return MemoryBudget(int(ram_bytes * MEMORY_SHARE), clock, int(ram_bytes * SINGLE_MEMORY_SHARE))


def max_connections(settings: Settings, share: float) -> int:
    """Return the number of connections that one listener keeps open.

    :param share: of the descriptors that are not set aside
    """
    return max(MIN_CONNECTIONS, int((settings.nofile - RESERVED_DESCRIPTORS) * share))


def frame_admission(settings: Settings, copies: int) -> FrameAdmission:
    """Return the limit for long messages that pass on what callers sent.

    :param copies: how many times the length of a message its handling takes
    """
    return FrameAdmission(int(settings.ram_mb * BYTES_PER_MB * MESSAGE_MEMORY_SHARE), copies)
