"""The id of a disk: drawn at the first start and kept on it. A machine that comes back without is another one."""

from __future__ import annotations

from random import SystemRandom


def draw() -> str:
    """A new id, 12 hex digits."""
    return f"{SystemRandom().getrandbits(48):012x}"


def member(node: str, disk: str) -> str:
    """How a machine with a disk is named in records."""
    return f"{node}#{disk}"


def node_of(name: str) -> str:
    """The node of a member, whatever its disk."""
    return name.partition("#")[0]
