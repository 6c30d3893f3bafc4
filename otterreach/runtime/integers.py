"""Bounds for integers from external input, so that they fit into message fields and convert to floats."""

from __future__ import annotations

MAX_INTEGER = 2**63 - 1


def clamped_integer(value: int) -> int:
    """Return the nearest integer that fits into a message field. For data stored by versions without bounds."""
    return max(-MAX_INTEGER, min(MAX_INTEGER, value))


def bounded_integer(value: str | float) -> int:
    """Convert a value of a document to an integer; a fraction is truncated.

    :raises ValueError: the value is not a number, is infinite, or exceeds 64 bits
    :raises TypeError: the value is neither a number nor a string
    """
    try:
        number = int(value)
    except OverflowError:  # infinite
        raise ValueError(f"{value} is no whole number") from None
    if abs(number) > MAX_INTEGER:
        raise ValueError("a whole number is beyond 64 bits")
    return number
