"""Ids of disks and members.

A disk id is generated at the first start and stored on the disk. A machine that returns without it is a new member.
"""

from __future__ import annotations

from random import SystemRandom


def generate_disk_id() -> str:
    """Generate a disk id of 12 hexadecimal digits."""
    return f"{SystemRandom().getrandbits(48):012x}"


def member_id(node: str, disk: str) -> str:
    """Return the member id of a machine with its disk, `node#disk`, by which records refer to it."""
    return f"{node}#{disk}"


def node_of(member: str) -> str:
    """Return the node name of a member id."""
    return member.partition("#")[0]


def disk_of(member: str) -> str:
    """Return the disk id of a member id."""
    return member.partition("#")[2]
