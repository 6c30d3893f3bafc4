"""Reservation of loopback addresses, so that no two soaks on a machine use the same ones at the same time.

Two systems at the same addresses would answer each other's clients, and every rule would seem to be broken.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

FIRST_NETWORK = 216  # second octet of the addresses; the load test uses lower ones
NETWORKS = 35
RESERVATION_HOST = "255.1"
RESERVATION_PORT = 7379


class NoFreeNetworkError(Exception):
    """Every network for soaks is in use."""


@contextmanager
def reserved_network(start: int) -> Iterator[str]:
    """Reserve a network with a listener and yield the first two octets of its addresses, 127.x.

    Raise NoFreeNetworkError if all are in use.

    :param start: offset of the network that is tried first
    """
    for offset in range(NETWORKS):
        network_prefix = f"127.{FIRST_NETWORK + (start + offset) % NETWORKS}"
        with socket.socket() as listener:
            try:
                listener.bind((f"{network_prefix}.{RESERVATION_HOST}", RESERVATION_PORT))
            except OSError:
                continue
            listener.listen(1)  # without listening, another soak could bind the same address
            yield network_prefix
            return
    raise NoFreeNetworkError(f"{NETWORKS} networks for soaks are all in use on this machine")
