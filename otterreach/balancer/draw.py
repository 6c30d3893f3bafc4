"""Weighted draws, and the order by a key that is the same everywhere."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random


def draw(random: Random, odds: Sequence[float]) -> int:
    """The place of one, drawn with these odds: none below 0, their sum above 0; else ValueError.

    It takes one number from `random`.

    The weighted randomizing rule of Billard and Pasquale, "Agents with local and global servers under
    uncertainty": with the inverse of the expected response times as odds it spreads what many agents send
    that know nothing of each other.
    """
    return random.choices(range(len(odds)), odds)[0]


def mix(key: int, endpoint: int) -> int:
    """A number that is the same at every sidecar and looks random."""
    mixed = (key ^ endpoint * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return mixed ^ mixed >> 29
