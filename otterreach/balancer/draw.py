"""Weighted random selection, and a hash that gives every sidecar the same order of endpoints for a key."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random


def weighted_choice(random: Random, odds: Sequence[float]) -> int:
    """Return an index drawn at random in proportion to its odds.

    This is the weighted randomizing rule of Billard and Pasquale, "Agents with local and global servers under
    uncertainty": with odds inverse to the expected response times, it spreads the requests of many agents
    that do not communicate with each other. One number is taken from `random`.

    :param odds: relative probabilities, none below 0
    :raises ValueError: the sum of the odds is not above 0
    """
    return random.choices(range(len(odds)), odds)[0]


def rendezvous_score(key: int, endpoint: int) -> int:
    """Return the 64-bit hash of a key and an endpoint, which is the same in every sidecar."""
    mixed = (key ^ endpoint * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return mixed ^ mixed >> 29
