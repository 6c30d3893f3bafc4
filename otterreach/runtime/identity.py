"""The id of a disk: drawn at the first start and kept on it. A machine that comes back without it is another one."""

from __future__ import annotations

from random import SystemRandom


def draw_disk_id() -> str:
    """A new id, 12 hex digits."""
    return f"{SystemRandom().getrandbits(48):012x}"


def member_id(node: str, disk: str) -> str:
    """How a machine with its disk is named in records: `node#disk`."""
    return f"{node}#{disk}"


def node_of(member: str) -> str:
    """The node name of a member id."""
    return member.partition("#")[0]


def disk_of(member: str) -> str:
    """The disk's id in a member id."""
    return member.partition("#")[2]
