"""Counters whose values rise for ever. A value may be skipped; none is given twice.

>>> next_value(None)
1
>>> next_value(5119)
5120
"""

from __future__ import annotations


def next_value(last: int | None) -> int:
    """The value to give out once it is stored as the last one.

    :param last: the value that was stored last; None before the first
    """
    return 1 if last is None else last + 1
