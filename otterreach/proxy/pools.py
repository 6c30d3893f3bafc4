"""Kept connections to one server. A connection carries one exchange at a time and rests between two.

New connections are dear and idle ones cost nothing, so the one idle for the longest is taken again, and none of them
grows too old; what an answer brings too much shows while it rests. What may not be repeated takes the one used last.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum, auto
from typing import Protocol

from otterreach.sidecar.transport import ServerConnection, open_tcp

MIN_IDLE_S = 0.02  # between two requests on one connection: bytes that belong to no request follow within this
CONNECT_S = 0.15
FRESH_IDLE_S = 1.0  # idle for longer, a connection may have been forgotten: nothing unrepeatable is sent on it
IDLE_MARGIN_S = 0.4  # before the time that Keep-Alive tells is over
DEFAULT_MAX_IDLE_S = 60.0  # where it tells none: the server closes first
USER_TIMEOUT_MS = 1000  # bytes unacknowledged for so long never arrive later: no late run of something cancelled
PROBE_IDLE_S = 1
PROBE_GAP_S = 1
PROBES = 2

Address = tuple[str, int]
Factory = Callable[[], "Connection"]
Opener = Callable[[Address, Factory], Awaitable["Connection"]]


class ConnectionUser(Protocol):
    """What has a connection for itself for a while: an exchange."""

    def received(self, data: bytes) -> None:
        """Bytes have come."""

    def lost(self, unwritten: bool) -> None:
        """The connection is gone. `unwritten`: part of the request has not left this machine."""


class State(Enum):
    """What a connection is used for."""

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
        self.used = 0  # exchanges begun on it
        self._user: ConnectionUser | None = None

    def _change(self, state: State) -> None:
        """The one place that changes the state, and keeps the pool's books."""
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
        """The connection is open."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            tune(sock)
        self.pool.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self._change(State.CLOSED)
        user = self._user
        self._user = None
        if user:
            user.lost(self.unwritten)

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        self.pool.last_received_at = self.pool.loop.time()
        if self._user:
            self._user.received(data)
        else:
            self.discard()  # nobody asked

    def fresh(self) -> bool:
        """Whether it is open, with nothing unread on it."""
        return self.state is not State.CLOSED and super().fresh()

    def start(self, user: ConnectionUser, data: bytes) -> None:
        """Write a request; the bearer gets what comes back."""
        self._change(State.BUSY)
        self._user = user
        self.used += 1
        self._write(data)

    def release(self) -> None:
        """The exchange is over and the connection may carry another."""
        self._user = None
        if self.pool.closed or self.closing or self.unwritten:
            self.discard()
        else:
            self._change(State.IDLE)

    def discard(self) -> None:
        """Give up what is on it, and close."""
        if self.state is State.BUSY:
            self._drop_unsent()
        self._user = None
        self._change(State.CLOSED)
        self._abort()


def tune(sock: socket.socket) -> None:
    """Requests leave at once, nothing lingers in a cut, a dark machine is noticed."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_GAP_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


class Pool:
    """The connections to one server. `most`: how many there may be, set by who knows the shares."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, opener: Opener = open_tcp, most: int = 64
    ) -> None:
        self.loop = loop
        self.address = address
        self.most = most
        self.closed = False
        self.last_received_at = -1e9  # when anything last came from the server
        self.opened = 0  # in all, for the log
        self.idle: list[Connection] = []  # the latest used last
        self.connections: set[Connection] = set()
        self._opener = opener
        self._opening = 0

    @property
    def room(self) -> bool:
        """Whether one more exchange finds a connection."""
        return bool(self.idle) or len(self.connections) + self._opening < self.most

    def _idle_connection(self, fresh_only: bool) -> Connection | None:
        now = self.loop.time()
        for connection in reversed(self.idle.copy()) if fresh_only else self.idle.copy():
            if connection.idle_since > now - MIN_IDLE_S:
                continue
            if fresh_only and connection.idle_since < now - FRESH_IDLE_S:
                return None
            if connection.fresh():
                return connection
            connection.discard()
        return None

    async def take(self, timeout_s: float, fresh_only: bool = False) -> Connection | None:
        """A connection that has rested, or a new one; None if there is none to be had in time."""
        end = self.loop.time() + timeout_s
        while self.idle:
            connection = self._idle_connection(fresh_only)
            if connection:
                return connection
            resting = [c.idle_since for c in self.idle if c.idle_since > self.loop.time() - MIN_IDLE_S]
            if not resting:
                break
            wait = min(resting) + MIN_IDLE_S - self.loop.time()
            if self.loop.time() + wait > end:
                return None
            await asyncio.sleep(max(wait, 0.001))
        if self.closed or len(self.connections) + self._opening >= self.most and not self._evict():
            return None
        return await self._open(min(CONNECT_S, end - self.loop.time()))

    def _evict(self) -> bool:
        if not self.idle:
            return False
        self.idle[0].discard()
        return True

    async def _open(self, timeout_s: float) -> Connection | None:
        if timeout_s <= 0:
            return None
        self._opening += 1
        asked_at = self.loop.time()
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._opener(self.address, lambda: Connection(self))
        except TimeoutError:
            if self.last_received_at < asked_at:
                self.close_idle()  # Danger: a machine that vanished leaves its connections open
            return None
        except OSError:
            return None
        finally:
            self._opening -= 1
        self.opened += 1
        if not connection.fresh():
            connection.discard()
            return None
        return connection

    def close_idle(self) -> None:
        """Close the connections that carry nothing."""
        for connection in self.idle.copy():
            connection.discard()

    def close(self) -> None:
        """The server leaves or is gone: what runs may end, nothing new begins."""
        self.closed = True
        self.close_idle()

    def sweep(self) -> None:
        """Close what the server would close soon."""
        now = self.loop.time()
        for connection in self.idle.copy():
            if now - connection.idle_since > connection.max_idle_s:
                connection.discard()
