"""Estimate of the memory that a JSON document takes once it is decoded, before it is decoded.

A short document can take many times its length: each pair of brackets becomes an object of its own.
"""

from __future__ import annotations

VALUE_BYTES = 64  # of an empty list, a small dict's share or a number, with its place in the container
VALUE_MARKS = (b"[", b"{", b",", b":")  # each begins at most one value
TEXT_COPIES = 2  # the decoded text of the document, and the strings in it


def decoded_size(document: bytes) -> int:
    """Return an upper estimate in bytes of what decoding needs in addition to the document."""
    values = sum(document.count(mark) for mark in VALUE_MARKS)
    return TEXT_COPIES * len(document) + VALUE_BYTES * values
