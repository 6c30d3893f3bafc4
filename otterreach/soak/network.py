"""Addresses of a soak that no other soak on this machine uses meanwhile.

Two systems at the same addresses would answer each other's callers, and every rule would look broken.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

FIRST_NET = 216  # second part of the addresses; the load test takes those below
NETS = 35
MARK_ADDRESS = "255.1"
MARK_PORT = 7379


class NoNetworkError(Exception):
    """All networks are in use."""


@contextmanager
def reserved_network(start: int) -> Iterator[str]:
    """The first two parts of the addresses, 127.x, reserved by a listener. Raises NoNetworkError.

    :param start: where to begin to look
    """
    for offset in range(NETS):
        net = f"127.{FIRST_NET + (start + offset) % NETS}"
        with socket.socket() as mark:
            try:
                mark.bind((f"{net}.{MARK_ADDRESS}", MARK_PORT))
            except OSError:
                continue
            mark.listen(1)  # without it another one might bind too
            yield net
            return
    raise NoNetworkError(f"{NETS} soaks run on this machine")
