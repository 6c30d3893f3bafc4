"""The Keep-Alive header: how long a server keeps an idle connection."""

from __future__ import annotations

from collections.abc import Mapping

IDLE_MARGIN_S = 0.4  # a connection is closed this long before the server would close it


def announced_idle_s(headers: Mapping[bytes, bytes]) -> float | None:
    """Return the time-out of the Keep-Alive header in seconds, or None."""
    for part in headers.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None


def max_idle_s(headers: Mapping[bytes, bytes], default_s: float) -> float:
    """Return how long a connection may be idle after a response with these headers."""
    announced_s = announced_idle_s(headers)
    return default_s if announced_s is None else max(announced_s - IDLE_MARGIN_S, announced_s / 2)
