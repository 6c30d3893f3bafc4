"""Pool of keep-alive connections to one server. A connection carries one exchange at a time.

Opening a connection is expensive and keeping an idle one is not. The connection that has been idle for longest is
reused first, so that none stays unused until the server closes it. A connection stays idle for at least MIN_IDLE_S
before its next exchange, so that surplus bytes of an answer are detected. A request that must not be repeated takes the
most recently used connection, which is the least likely to be stale.

A server may send a copy of an earlier answer in place of the next one. All attempts of a request have the same
Request-Id, so a connection carries each id once: an answer with the id of the current request can't be a copy then.
"""

from __future__ import annotations

import asyncio
import socket
from array import array
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum, auto
from typing import Protocol

from otterreach.sidecar.transport import ServerConnection, open_tcp

MIN_IDLE_S = 0.02  # between two requests on one connection: surplus bytes of an answer arrive within this time
CONNECT_TIMEOUT_S = 0.15
MAX_FRESH_IDLE_S = 1.0  # a connection idle for longer may be stale and gets no request that must not be repeated
DEFAULT_MAX_IDLE_S = 60.0  # where the server announces no timeout: the server closes first
MAX_REQUESTS = 500  # on one connection; bounds the ids that it remembers
# The kernel drops a connection with bytes unacknowledged for longer, so that a cancelled request never runs late.
USER_TIMEOUT_MS = 1000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

Address = tuple[str, int]
Factory = Callable[[], "Connection"]
Opener = Callable[[Address, Factory], Awaitable["Connection"]]


class ConnectionUser(Protocol):
    """An exchange that has exclusive use of a connection."""

    def on_data(self, data: bytes) -> None:
        """Process bytes received on the connection."""

    def on_connection_lost(self) -> None:
        """Handle the loss of the connection."""


class State(Enum):
    """The state of a connection."""

    NEW = auto()
    IDLE = auto()
    BUSY = auto()
    CLOSED = auto()


class Connection(ServerConnection):
    """One connection to a server."""

    def __init__(self, pool: Pool) -> None:
        super().__init__()
        self.pool = pool
        self.state = State.NEW
        self.max_idle_s = DEFAULT_MAX_IDLE_S
        self._user: ConnectionUser | None = None
        # Of the Request-Ids that the connection has carried: 8 bytes each, however long the ids are.
        self._id_hashes = array("q")

    @property
    def use_count(self) -> int:
        """Number of exchanges started on this connection."""
        return len(self._id_hashes)

    def has_carried(self, request_id: bytes) -> bool:
        """Return True if a request with this id was written to the connection.

        Another request with it needs another connection: a late copy of the first answer would be taken for its own.
        """
        return hash(request_id) in self._id_hashes

    def _change(self, state: State) -> None:
        """Change the state and update the pool's lists; nothing else may set the state."""
        if self.state is State.CLOSED or self.state is state:
            return
        if self.state is State.IDLE and self in self.pool.idle:
            self.pool.idle.remove(self)
        if state is State.IDLE:
            self.pool.idle.append(self)
            self.idle_since = self.pool.loop.time()
        elif state is State.CLOSED:
            self.pool.connections.discard(self)
        self.state = state

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and register the connection with its pool."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)
        self.pool.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from its pool and notify its user."""
        self._change(State.CLOSED)
        self._drop_body()
        user = self._user
        self._user = None
        if user:
            user.on_connection_lost()

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the user; close the connection if it has none."""
        self.pool.last_received_at = self.pool.loop.time()
        if self._user:
            self._user.on_data(data)
        else:
            self.discard()  # unsolicited data

    def is_reusable(self) -> bool:
        """Return True if the connection is open and has no unread data."""
        return self.state is not State.CLOSED and super().is_reusable()

    def start(self, user: ConnectionUser, request_id: bytes, head: bytes, body: bytes) -> None:
        """Write a request and assign the connection to a user, which receives the answer."""
        self._change(State.BUSY)
        self._user = user
        self._id_hashes.append(hash(request_id))
        self._write(head, body)

    def release(self) -> None:
        """Return the connection to the pool after a complete exchange, or close it if it can't be reused."""
        self._user = None
        if self.pool.closed or self.closing or self.has_unsent_data or self.use_count >= MAX_REQUESTS:
            self.discard()
        else:
            self._change(State.IDLE)

    def discard(self) -> None:
        """Close the connection and drop unsent data."""
        if self.state is State.BUSY:
            self._reset_on_close()
        self._user = None
        self._change(State.CLOSED)
        self._abort()


def set_socket_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and set limits for unacknowledged data and keep-alive probes.

    The limits drop data held back by a network partition, and detect a machine that has vanished.
    """
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class Pool:
    """The connections to one server. `max_connections` is this proxy's limit, updated by the fleet."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, opener: Opener = open_tcp, max_connections: int = 64
    ) -> None:
        self.loop = loop
        self.address = address
        self.max_connections = max_connections
        self.closed = False
        self.last_received_at = -1e9  # time of the last byte from the server, on any connection
        self.opened = 0  # total number of connections opened
        self.idle: list[Connection] = []  # the most recently used last
        self.connections: set[Connection] = set()
        self._opener = opener
        self._opening = 0

    @property
    def has_capacity(self) -> bool:
        """True if a connection is idle or another one may be opened."""
        return bool(self.idle) or len(self.connections) + self._opening < self.max_connections

    def _idle_connection(self, request_id: bytes, fresh_only: bool) -> Connection | None:
        now = self.loop.time()
        for connection in reversed(self.idle.copy()) if fresh_only else self.idle.copy():
            if connection.idle_since > now - MIN_IDLE_S or connection.has_carried(request_id):
                continue
            if fresh_only and connection.idle_since < now - MAX_FRESH_IDLE_S:
                return None
            if connection.is_reusable():
                return connection
            connection.discard()
        return None

    async def acquire(self, timeout_s: float, request_id: bytes, fresh_only: bool = False) -> Connection | None:
        """Return an idle connection past MIN_IDLE_S, or a new one; None if neither is available within the time-out.

        :param request_id: of the request to be written; the connection has not carried it before
        :param fresh_only: take the most recently used connection, and only if it has been idle for a short time
        """
        end = self.loop.time() + timeout_s
        while self.idle:
            connection = self._idle_connection(request_id, fresh_only)
            if connection:
                return connection
            # Also those that can't be used after the wait: a server that has just rejected the request gets it again
            # no sooner, and waiting is cheaper than a new connection.
            too_recent = [c.idle_since for c in self.idle if c.idle_since > self.loop.time() - MIN_IDLE_S]
            if not too_recent:
                break
            wait = min(too_recent) + MIN_IDLE_S - self.loop.time()
            if self.loop.time() + wait > end:
                return None
            await asyncio.sleep(max(wait, 0.001))
        if self.closed or len(self.connections) + self._opening >= self.max_connections and not self._evict():
            return None
        return await self._open(min(CONNECT_TIMEOUT_S, end - self.loop.time()))

    def _evict(self) -> bool:
        if not self.idle:
            return False
        self.idle[0].discard()
        return True

    async def _open(self, timeout_s: float) -> Connection | None:
        if timeout_s <= 0:
            return None
        self._opening += 1
        started_at = self.loop.time()
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._opener(self.address, lambda: Connection(self))
        except TimeoutError:
            if self.last_received_at < started_at:
                self.close_idle()  # a machine that has vanished leaves its connections open
            return None
        except OSError:
            return None
        finally:
            self._opening -= 1
        self.opened += 1
        if not connection.is_reusable():
            connection.discard()
            return None
        return connection

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle.copy():
            connection.discard()

    def close(self) -> None:
        """Close the pool of a server that is draining or gone: exchanges in flight may end, none is started."""
        self.closed = True
        self.close_idle()

    def sweep(self) -> None:
        """Close idle connections that the server is about to close."""
        now = self.loop.time()
        for connection in self.idle.copy():
            if now - connection.idle_since > connection.max_idle_s:
                connection.discard()
