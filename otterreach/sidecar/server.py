"""HTTP listener for the application: accepts connections, evicts idle ones, shuts down gracefully."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from itertools import chain, islice

from otterreach.balancer import Settings
from otterreach.sidecar.client_connection import RECEIVE_BUFFER_BYTES, ClientConnection
from otterreach.sidecar.config import Address, Names
from otterreach.sidecar.memory_budget import MemoryBudget
from otterreach.sidecar.sidecar import Sidecar
from otterreach.sidecar.transport import bound_receive_buffers

BACKLOG = 512
PARTIAL_REQUEST_GRACE_S = 1.0  # at shutdown: time for the rest of a request after the listener has closed
STOP_POLL_S = 0.01  # at shutdown: interval of checks for open connections
FLUSH_S = 0.05  # at shutdown: time to send the last answers
ACCEPT_RETRY_S = 0.05  # pause after running out of file descriptors
SWEEP_INTERVAL_S = 0.1
FIRST_REQUEST_GRACE_S = 0.2  # of a new connection, before it may be evicted; clients normally send at once
EVICTION_SCAN = 16  # connections of each kind that are checked for eviction
ACCEPT_BATCH = 8  # connections accepted per iteration of the event loop
NEVER_NS = 2**63


class Server:
    """Listener and its connections.

    It accepts connections itself, not through asyncio, so that none in the backlog is reset at shutdown.
    """

    def __init__(
        self, sidecar: Sidecar, names: Names, settings: Settings, max_connections: int, budget: MemoryBudget
    ) -> None:
        """:param budget: of the memory for clients' requests"""
        self.sidecar = sidecar
        self.budget = budget
        self.names = names
        self.settings = settings
        self.stopping = False
        self.answer_deadline_ns = NEVER_NS  # monotonic time by which every request has to be answered
        self.open_ids: set[bytes] = set()  # trace ids of the open requests
        self._active: set[ClientConnection] = set()
        # Connections without an open request, in the order in which they became idle: before and after their first one.
        self._new: dict[ClientConnection, None] = {}
        self._kept_alive: dict[ClientConnection, None] = {}
        self._setting_up = 0  # accepted sockets whose connection is being set up
        self._max_connections = max_connections
        self._listener: socket.socket | None = None
        self._accepting: set[asyncio.Task[None]] = set()

    @property
    def connections(self) -> list[ClientConnection]:
        """All connections of clients, idle or busy."""
        return [*self._new, *self._kept_alive, *self._active]

    @property
    def _count(self) -> int:
        return len(self._new) + len(self._kept_alive) + len(self._active) + self._setting_up

    @property
    def over_limit(self) -> bool:
        """True if busy connections exceed their limit: further requests are rejected to keep descriptors available.

        Idle connections are evicted when needed. If they counted here, all requests would be rejected.
        """
        return len(self._active) > self._max_connections

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that has been set up."""
        self._setting_up -= 1
        self.mark_idle(connection)

    def mark_busy(self, connection: ClientConnection) -> None:
        """Mark a connection as busy; busy connections are not evicted."""
        self._new.pop(connection, None)
        self._kept_alive.pop(connection, None)
        self._active.add(connection)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Mark a connection as idle."""
        self.remove(connection)
        connection.idle_since = time.monotonic()
        (self._kept_alive if connection.served else self._new)[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        self._new.pop(connection, None)
        self._kept_alive.pop(connection, None)
        self._active.discard(connection)

    def listen(self, address: Address) -> Address:
        """Listen at an address, with a free port for port 0, and return the address in use."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_receive_buffers(listener, RECEIVE_BUFFER_BYTES)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(BACKLOG)
        self._listener = listener
        self._resume_accepting()
        return Address(*listener.getsockname())

    def _accept(self) -> None:
        """Accept a few connections.

        Each may require an eviction, whose descriptor is freed only in a later iteration of the event loop.
        """
        for _ in range(ACCEPT_BATCH):
            if not self._accept_one():
                return

    def _accept_all(self) -> None:
        while self._accept_one():
            pass

    def _accept_one(self) -> bool:
        loop = asyncio.get_running_loop()
        if not self._listener:
            return False
        try:
            client_socket, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionError):
            return False
        except OSError as error:
            # Without free descriptors the listener stays readable: the event loop would spin without a pause.
            print(f"server: accept failed: {error}", file=sys.stderr)
            loop.remove_reader(self._listener)
            loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)
            return False
        if self._count >= self._max_connections:
            self._evict_connection()
        client_socket.setblocking(False)
        self._setting_up += 1
        task = loop.create_task(self._serve(client_socket))
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)
        return True

    def _evict_connection(self) -> None:
        """Close an idle connection without unread data.

        Otherwise, hundreds of silent connections would displace active clients. Clients normally send their request at
        once, so the oldest connections without one are closed first, then the longest idle, and new ones last.
        """
        latest = time.monotonic() - FIRST_REQUEST_GRACE_S
        silent = (c for c in self._new if c.idle_since < latest)
        for connection in chain(
            islice(silent, EVICTION_SCAN), islice(self._kept_alive, EVICTION_SCAN), islice(self._new, EVICTION_SCAN)
        ):
            if not connection.has_unread_data:
                self.remove(connection)
                connection.abort()
                return

    def _resume_accepting(self) -> None:
        if self._listener:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    async def _serve(self, client_socket: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ClientConnection(self), client_socket)
        except OSError:  # the client may have reset the connection
            self._setting_up -= 1

    async def sweep(self) -> None:
        """Apply the time-outs of all connections periodically, which is cheaper than a timer for each."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for connection in [*self._new, *self._kept_alive]:
                connection.expire(now)
            for connection in list(self._active):
                connection.check_client()

    async def stop(self, accept_s: float, new_s: float, within_s: float) -> None:
        """Shut down gracefully.

        :param accept_s: how long to accept further connections
        :param new_s: time in which requests that arrive from now on are answered
        :param within_s: time in which all requests are answered
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        loop.call_at(end, self.sidecar.answer_open_requests)
        self.stopping = True
        self.answer_deadline_ns = time.monotonic_ns() + int(new_s * 1e9)
        # Idle connections are closed while the listener is still open, so that their clients can reconnect.
        for connection in self.connections:
            connection.shut_down(late=False)
        await asyncio.sleep(accept_s)
        if self._listener:
            loop.remove_reader(self._listener)
            self._accept_all()  # closing the listener resets connections in its backlog
            self._listener.close()
            self._listener = None
        if self._accepting:
            await asyncio.wait(self._accepting)
        # A request may still arrive on any open connection.
        partial_deadline = min(loop.time() + PARTIAL_REQUEST_GRACE_S, end - FLUSH_S)
        while self.connections and loop.time() < end + FLUSH_S:
            for connection in self.connections:
                connection.shut_down(late=loop.time() >= partial_deadline)
            await asyncio.sleep(STOP_POLL_S)
