"""Options of connections between processes of the system, and to model servers."""

from __future__ import annotations

import socket

USER_TIMEOUT_MS = 1500  # a connection with data unacknowledged for this long is closed: the peer is unreachable
KEEPALIVE_IDLE_S = 15  # idle time after which the kernel sends keep-alive probes
KEEPALIVE_INTERVAL_S = 1


def set_socket_options(sock: socket.socket | None) -> None:
    """Send small messages without delay, and detect a peer that has vanished.

    :param sock: None for a connection in memory, which has no socket
    """
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
