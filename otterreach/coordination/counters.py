"""Strictly increasing counters. Values may be skipped, but no value is returned twice.

>>> next_value(None)
1
>>> next_value(5119)
5120
"""

from __future__ import annotations


def next_value(last: int | None) -> int:
    """Return the next value. It may be handed out only after it has been stored as the last one.

    :param last: the value stored last; None before the first one
    """
    return 1 if last is None else last + 1
