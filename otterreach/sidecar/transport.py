"""The TCP side of connections.

To servers: what of a request has left, whether one at rest still stands, and a close that lets nothing more out. Of
clients: what waits in the kernel. What is done with a connection, and when, is for who derives from these.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import TypeVar

GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time
P = TypeVar("P", bound=asyncio.Protocol)


class ServerConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self) -> None:
        self.unwritten = False  # part of the request has not left for the kernel: it can't have run
        self.idle_since = 0.0  # in seconds
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None  # none where the transport has no socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._poll = select.poll()
            self._poll.register(sock.fileno(), select.POLLIN)
        # With no room in the buffer, pause and resume tell exactly whether anything is left in it.
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Bytes stay in the buffer: the kernel takes no more."""
        self.unwritten = True

    def resume_writing(self) -> None:
        """The kernel has all that was written."""
        self.unwritten = False

    @property
    def closing(self) -> bool:
        """Nothing can be sent on it (any more)."""
        return self._transport is None or self._transport.is_closing()

    def fresh(self) -> bool:
        """Whether the idle connection can still take a request.

        The server may have closed it a moment ago, with that still unread in the kernel; a request written to
        it would end as a reset, which proves nothing.
        """
        return not self.closing and (self._poll is None or not self._poll.poll(0))

    def _write(self, data: bytes) -> None:
        assert self._transport
        self._transport.write(data)
        # A write that fails at once leaves nothing in the buffer: the closing transport is what tells.
        self.unwritten = self.unwritten or self._transport.is_closing()

    def _drop_unsent(self) -> None:
        """Have the close that follows reset the connection: the kernel sends nothing more.

        Danger: on a path that is cut, a request waits in the kernel. An orderly close would deliver it once the path is
        back, seconds after it was given up.
        """
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if sock is not None:
            with suppress(OSError):  # the other side may have broken it by now
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _abort(self) -> None:
        """Close without flushing: the rest of a given-up request must not leave."""
        if self._transport and not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            # Danger: the loop closes it a turn later. Until then the attempt would still be out, maybe beside
            # the next one of its request.
            if sock is not None:
                with suppress(OSError):  # the other side may have broken it by now
                    sock.shutdown(socket.SHUT_WR)
            self._transport.abort()


class AcceptedConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None  # none where the transport has no socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._poll = select.poll()
            self._poll.register(sock.fileno(), select.POLLIN | GONE)

    @property
    def unread(self) -> bool:
        """Something waits in the kernel to be read."""
        return bool(self._state())

    @property
    def ended(self) -> bool:
        """The client's end is in the kernel, maybe behind what is yet unread."""
        return bool(self._state() & GONE)

    def _state(self) -> int:
        if self._poll is None or not self._transport or self._transport.is_closing():
            return 0
        return sum(flags for _, flags in self._poll.poll(0))


async def open_tcp(address: tuple[str, int], factory: Callable[[], P]) -> P:
    """A new connection to an address with a number for its host. Raises OSError."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        # By hand: the loop's own way looks the address up each time, at twice the cost.
        await loop.sock_connect(sock, address)
        _, connection = await loop.create_connection(factory, sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection
