"""Whole numbers that come from outside: bounded, so that messages hold them and they can be divided as floats."""

from __future__ import annotations

MAX_INTEGER = 2**63 - 1


def clamped_integer(value: int) -> int:
    """The nearest whole number that messages hold. For what was stored before its numbers were bounded."""
    return max(-MAX_INTEGER, min(MAX_INTEGER, value))


def bounded_integer(value: str | float) -> int:
    """A whole number from what a document holds; a fraction is cut off.

    :raises ValueError: if it is none, or beyond 64 bits
    :raises TypeError: if the value is no number and no text
    """
    try:
        number = int(value)
    except OverflowError:  # infinite
        raise ValueError(f"{value} is no whole number") from None
    if abs(number) > MAX_INTEGER:
        raise ValueError("a whole number is beyond 64 bits")
    return number
