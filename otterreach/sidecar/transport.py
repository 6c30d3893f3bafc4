"""TCP connections.

Connections to servers track whether a request has been written, whether an idle connection is still open, and can be
closed without sending buffered data. Connections of clients report unread data in the kernel. Subclasses decide how a
connection is used.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import TypeVar

PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Of a listener, inherited by its connections. The kernel's own choice grows to megabytes for a connection that is not
# read, and unread bytes count as memory of the process.
RECEIVE_BUFFER_BYTES = 64 * 1024
RECEIVE_BUFFER_FACTOR = 2  # the kernel doubles the size that it is asked for
ACCEPT_BATCH = 16  # connections that are accepted at a time
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: enabled, with a time-out of 0
WRITE_BYTES = 256 * 1024  # part of a long body that is given to a transport at once: what it can't send, it copies
P = TypeVar("P", bound=asyncio.Protocol)


class ServerConnection(asyncio.Protocol):
    """A connection to a server."""

    def __init__(self) -> None:
        self.has_unsent_data = False  # True while part of the request is buffered
        self.has_sent_data = False  # True once the kernel may have taken part of the request
        self.idle_since = 0.0  # monotonic time in seconds
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None  # None if the transport has no socket
        self._body = b""  # of the request being written
        self._written = 0  # bytes of it that the transport has been given
        self._is_paused = False  # the transport has not sent all that it has been given

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._poll = select.poll()
            self._poll.register(sock.fileno(), select.POLLIN)
        # With a limit of 0, pause_writing and resume_writing report exactly whether the buffer is empty.
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Record that the kernel's buffer is full and written bytes remain in the transport's buffer."""
        self._is_paused = True
        self.has_unsent_data = True

    def resume_writing(self) -> None:
        """Record that the kernel has accepted all written bytes, and write the next part of the body."""
        self._is_paused = False
        self._write_body()

    @property
    def closing(self) -> bool:
        """True if nothing can be sent on the connection: it is closing, closed or not yet open."""
        return self._transport is None or self._transport.is_closing()

    def is_reusable(self) -> bool:
        """Return True if the idle connection can still carry a request.

        The server may have just closed it, with the end of the stream still unread in the kernel. A request written to
        such a connection would end in a reset, which doesn't tell whether the request was executed.
        """
        return not self.closing and (self._poll is None or not self._poll.poll(0))

    def _write(self, head: bytes, body: bytes = b"") -> None:
        """Write a request; a short one in one piece, so that it is sent in a single packet."""
        assert self._transport
        if len(body) <= WRITE_BYTES:
            head += body
            body = b""
        self._body = body
        self._written = 0
        self._transport.write(head)
        # A transport that is closing sends nothing more, and a write that fails immediately closes it.
        self.has_sent_data = not self._transport.is_closing()
        self._write_body()

    def _write_body(self) -> None:
        """Write the body until the transport is full. It stays one object, shared by all attempts of a request."""
        assert self._transport
        while self._written < len(self._body) and not self._is_paused and not self._transport.is_closing():
            part = self._body[self._written : self._written + WRITE_BYTES]
            self._written += len(part)
            self._transport.write(part)
        # A write that fails immediately leaves the buffer empty; only the closing state of the transport shows it.
        self.has_unsent_data = self._is_paused or self._written < len(self._body) or self._transport.is_closing()
        if self._written == len(self._body):
            self._body = b""
            self._written = 0

    def _drop_body(self) -> None:
        """Release the body; nothing more of it will be written."""
        self._body = b""
        self._written = 0

    def _reset_on_close(self) -> None:
        """Make the following close reset the connection, so that the kernel discards unsent data.

        During a network partition, a request waits in the kernel's send buffer. After an orderly close it would be
        delivered when the network recovers, seconds after the attempt was given up.
        """
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if sock is not None:
            with suppress(OSError):  # the other side may have broken it by now
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _abort(self) -> None:
        """Close without flushing: the rest of an abandoned request must not be sent."""
        self._drop_body()
        if self._transport and not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            # The event loop closes the socket in a later iteration. Without this shutdown the attempt could be in
            # flight until then, concurrently with the next attempt of the same request.
            if sock is not None:
                with suppress(OSError):  # the other side may have broken it by now
                    sock.shutdown(socket.SHUT_WR)
            self._transport.abort()


class AcceptedConnection(asyncio.Protocol):
    """A connection accepted from a client."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None  # None if the transport has no socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._poll = select.poll()
            self._poll.register(sock.fileno(), select.POLLIN | PEER_CLOSED_EVENTS)

    @property
    def holds_descriptor(self) -> bool:
        """True until the connection is about to give its descriptor back; unsent data delays a close."""
        transport = self._transport
        return transport is not None and (not transport.is_closing() or transport.get_write_buffer_size() > 0)

    @property
    def has_unread_data(self) -> bool:
        """True if the kernel has unread data or a close from the client."""
        return bool(self._pending_events())

    @property
    def closed_by_peer(self) -> bool:
        """True if the kernel has received the client's close, possibly after data that is still unread."""
        return bool(self._pending_events() & PEER_CLOSED_EVENTS)

    def _pending_events(self) -> int:
        if self._poll is None or not self._transport or self._transport.is_closing():
            return 0
        return sum(flags for _, flags in self._poll.poll(0))


def bound_receive_buffers(listener: socket.socket, size: int = RECEIVE_BUFFER_BYTES) -> None:
    """Bound the unread bytes that the kernel keeps for each connection accepted by a listener."""
    with suppress(OSError):  # a platform that refuses keeps its own limit
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def _set_backlog(listener: socket.socket, backlog: int) -> None:
    """Set the length of the kernel's queue of new connections."""
    with suppress(OSError):  # a platform that refuses keeps the shorter queue
        same = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=listener.fileno())
        try:
            same.listen(backlog)
        finally:
            same.detach()  # the descriptor belongs to the listener


async def listen_tcp(
    factory: Callable[[], asyncio.BaseProtocol], address: tuple[str, int], backlog: int
) -> asyncio.Server:
    """Accept connections on an IPv4 address, with bounded receive buffers.

    asyncio accepts as many connections at a time as it is told that the queue is long. Those that are closed in favour
    of new ones give their descriptors back only later, so that number has to be small, whatever the queue's length.

    :raises OSError: the address can't be bound
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(factory, *address, backlog=ACCEPT_BATCH, reuse_address=True)
    for listener in server.sockets:
        bound_receive_buffers(listener)
        _set_backlog(listener, backlog)
    return server


async def open_tcp(address: tuple[str, int], factory: Callable[[], P]) -> P:
    """Open a TCP connection to an address whose host is a numeric IPv4 address.

    :raises OSError: the connection failed
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        # The socket is connected here: create_connection(host, port) resolves the address each time, at twice the cost.
        await loop.sock_connect(sock, address)
        _, connection = await loop.create_connection(factory, sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection
