"""Connection pools of endpoints, and attempts on their connections.

An attempt ends with exactly one status. A status that means "not executed" is never used for a request that the server
may have executed. Nothing is retried here.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from otterreach.balancer.interface import Status
from otterreach.sidecar import http1
from otterreach.sidecar.config import Address
from otterreach.sidecar.transport import ServerConnection, open_tcp

FORWARDED = {b"x-trace-id": b"X-Trace-Id", b"idempotency-key": b"Idempotency-Key", b"content-type": b"Content-Type"}
# Part of the endpoints' keepalive time after which idle connections are closed. Once the endpoint closes a connection,
# a request written to it ends in a reset.
KEEPALIVE_SHARE = 0.75
QUIET_PERIOD_S = 0.02  # between two requests on a connection: surplus data of a response arrives within this time
MAX_IDLE_CONNECTIONS = 48  # per endpoint
SWEEP_INTERVAL_S = 1.0


class Attempt:
    """An attempt of a request at an endpoint, from the Send action until its final status."""

    __slots__ = (
        "_timer",
        "connection",
        "deadline_ns",
        "endpoint",
        "load",
        "number",
        "on_end",
        "request",
        "request_id",
        "response",
        "started_ns",
        "status",
        "is_wanted",
    )

    def __init__(
        self,
        request_id: int,
        number: int,
        endpoint: int,
        request: http1.Request,
        deadline_ns: int,
        on_end: Callable[[Attempt], None],
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self.request_id = request_id
        self.number = number
        self.endpoint = endpoint
        self.request = request
        self.deadline_ns = deadline_ns
        self.on_end = on_end
        self.is_wanted = is_wanted
        self.started_ns = time.monotonic_ns()
        self.status: Status | None = None
        self.response: http1.Response | None = None
        self.load: tuple[float, ...] = ()
        self.connection: Connection | None = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(deadline_ns / 1e9, self.give_up, Status.TIMEOUT)

    def end(self, status: Status, response: http1.Response | None = None) -> None:
        """Set the final status; later calls have no effect."""
        if self.status is None:
            self.status = status
            self.response = response
            self._timer.cancel()
            self.on_end(self)

    def give_up(self, status: Status) -> None:
        """End the attempt early.

        A timed-out attempt that was not completely written ends as CONNECT_FAILED, since it can't have been executed.
        """
        if self.status is not None:
            return
        connection = self.connection
        self.connection = None
        if connection and status is Status.TIMEOUT:
            connection.close_idle_if_silent(self.started_ns)
        unsent = connection is None or connection.has_unsent_data
        if connection:
            connection.discard()
        self.end(Status.CONNECT_FAILED if unsent and status is Status.TIMEOUT else status)


class Pool:
    """The connections to one endpoint."""

    def __init__(self, address: Address, started_ns: int, accepts_requests: bool) -> None:
        self.address = address
        self.started_ns = started_ns
        self.accepts_requests = accepts_requests
        self.host = f"{address.host}:{address.port}".encode()
        self.last_received_ns = 0  # when data was last received from the endpoint
        self.idle: list[Connection] = []  # the most recently used last
        self.waiting: set[Attempt] = set()  # attempts whose connection is being opened

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle = self.idle
        self.idle = []
        for connection in idle:
            connection.discard()

    def retire(self) -> None:
        """Stop accepting requests: the endpoint is draining, gone or replaced.

        Attempts that wait for a connection would reach the endpoint after that change. They end as not sent, so that
        the balancer can choose another endpoint.
        """
        self.accepts_requests = False
        self.close_idle()
        for attempt in list(self.waiting):
            attempt.end(Status.CONNECT_FAILED)


class Connection(ServerConnection):
    """A connection that carries one attempt at a time."""

    def __init__(self, owner: Endpoints, pool: Pool) -> None:
        super().__init__()
        self._owner = owner
        self._pool = pool
        self._attempt: Attempt | None = None
        self._parser: http1.ResponseParser | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the open connection with its owner."""
        super().connection_made(transport)
        self._owner.connections.add(self)

    def start(self, attempt: Attempt, data: bytes) -> None:
        """Write the request of an attempt."""
        self._attempt = attempt
        attempt.connection = self
        self._parser = http1.ResponseParser()
        self._write(data)

    def close_idle_if_silent(self, since_ns: int) -> None:
        """Close the endpoint's idle connections if nothing has been received from it since this time.

        A machine that fails leaves its connections open. A request written to one of them would end in a time-out, or
        in a reset when the machine is back, and a non-idempotent request could not be retried. A new connection that
        can't be opened proves that nothing was executed.
        """
        if self._pool.last_received_ns < since_ns:
            self._pool.close_idle()

    def data_received(self, data: bytes) -> None:
        """Parse the response; unexpected data closes the connection."""
        self._pool.last_received_ns = time.monotonic_ns()
        if self._attempt is None or self._parser is None:
            self.discard()  # no request is open
            return
        response = self._parser.feed(data)
        if response:
            self._on_response(response)
        elif self._parser.broken:
            self._end_attempt(Status.CONNECT_FAILED if self.has_unsent_data else Status.RESET)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt: as complete, as not executed, or as reset."""
        self._owner.connections.discard(self)
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        if self._attempt is None or self._parser is None:
            return
        response = self._parser.end() if exc is None else None
        if response:
            self._on_response(response)
        else:
            self._end_attempt(Status.CONNECT_FAILED if self.has_unsent_data else Status.RESET)

    def _on_response(self, response: http1.Response) -> None:
        status = Status.ERROR
        if response.status == 200:
            status = Status.OK
        elif response.status in (503, 504) and response.headers.get(b"x-never-ran", b"").strip() == b"1":
            status = Status.FULL
        if self.has_unsent_data and status is not Status.FULL:
            # A server executes a request after its last byte, so an earlier response belongs to something else.
            status = Status.CONNECT_FAILED
        reusable = response.keep_alive and not self.has_unsent_data
        self._end_attempt(status, response, reusable)

    def _end_attempt(self, status: Status, response: http1.Response | None = None, reusable: bool = False) -> None:
        attempt = self._attempt
        self._attempt = None
        assert attempt
        attempt.connection = None
        self._drop_parser()
        if response:
            attempt.load = http1.parse_load(response.headers.get(b"endpoint-load-metrics"), self._owner.columns)
        if reusable:
            self._owner.release(self, self._pool)
        else:
            self.discard()
        attempt.end(status, response)

    def discard(self) -> None:
        """Detach the attempt and close the connection."""
        self._attempt = None
        self._drop_parser()
        self._owner.connections.discard(self)
        self._abort()

    def _drop_parser(self) -> None:
        if self._parser:
            self._parser.close()
            self._parser = None


class Endpoints:
    """Connection pools of all endpoints, by the number that the sidecar gave them."""

    def __init__(
        self,
        columns: tuple[str, ...],
        connect_timeout_ns: int,
        keepalive_ns: int,
        max_connections: int,
        quiet_period_s: float = QUIET_PERIOD_S,
    ) -> None:
        self.columns = columns
        self._connect_timeout_s = connect_timeout_ns / 1e9 or 1.0
        self._idle_s = keepalive_ns / 1e9 * KEEPALIVE_SHARE
        self._max_connections = max_connections
        self._quiet_period_s = quiet_period_s
        self._opening_count = 0
        self._pools: dict[int, Pool] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections: set[Connection] = set()

    def update(self, number: int, address: Address, started_ns: int, accepts_requests: bool) -> None:
        """Apply an endpoint's address and state. With another start time it is another process, with a new pool."""
        pool = self._pools.get(number)
        if pool and (pool.address, pool.started_ns) == (address, started_ns):
            if accepts_requests:
                pool.accepts_requests = True
            elif pool.accepts_requests:
                pool.retire()
            return
        # Requests on connections to a terminated process would end in resets.
        if pool:
            pool.retire()
        self._pools[number] = Pool(address, started_ns, accepts_requests)

    def remove(self, number: int) -> None:
        """Remove an endpoint and retire its pool."""
        if pool := self._pools.pop(number, None):
            pool.retire()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, which may end before this returns."""
        pool = self._pools.get(attempt.endpoint)
        # Nothing is sent to draining or removed endpoints, whatever the balancer decided.
        if pool is None or not pool.accepts_requests:
            attempt.end(Status.MOOT)
            return
        if connection := self._take_idle(pool):
            self._start(connection, pool, attempt)
            return
        if len(self.connections) + self._opening_count >= self._max_connections and not self._evict():
            attempt.end(Status.CONNECT_FAILED)
            return
        self._opening_count += 1
        pool.waiting.add(attempt)
        task = asyncio.get_running_loop().create_task(self._open(pool, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take_idle(self, pool: Pool) -> Connection | None:
        """Take the most recently used idle connection whose quiet period is over.

        Some responses are followed by a duplicate or by other surplus data. Such data would be read as the response to
        the next request and be served to the wrong client, so a connection is reused only after a time without data.
        """
        latest = time.monotonic() - self._quiet_period_s
        for n in reversed(range(len(pool.idle))):
            if pool.idle[n].idle_since <= latest:
                connection = pool.idle.pop(n)
                if connection.is_reusable():
                    return connection
                connection.discard()
        return None

    async def _open(self, pool: Pool, attempt: Attempt) -> None:
        connection: Connection | None = None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                connection = await open_tcp(pool.address, lambda: Connection(self, pool))
        except TimeoutError:
            if pool.last_received_ns < attempt.started_ns:
                pool.close_idle()  # for the reason given at Connection.close_idle_if_silent
        except OSError:
            pass
        finally:
            self._opening_count -= 1
            pool.waiting.discard(attempt)
        # The connection may have been lost while it was opened. connection_lost was called before the attempt was
        # attached and would not end it.
        if connection is None or not connection.is_reusable():
            if connection:
                connection.discard()
            attempt.end(Status.CONNECT_FAILED)
        elif attempt.status is not None:  # the attempt has ended meanwhile; the open connection is kept
            self.release(connection, pool)
        else:
            self._start(connection, pool, attempt)

    def _start(self, connection: Connection, pool: Pool, attempt: Attempt) -> None:
        """Write the request of an attempt, unless its answer is no longer needed.

        In a delayed event loop, the deadline may have passed before its timer runs, and the client may have closed its
        connection before the sidecar has read the close.
        """
        left_ns = attempt.deadline_ns - time.monotonic_ns()
        if left_ns <= 0 or not attempt.is_wanted():
            self.release(connection, pool)
            attempt.end(Status.MOOT)
            return
        left_ms = max(1, left_ns // 1_000_000)
        received_headers = attempt.request.headers
        headers = {name: received_headers[key] for key, name in FORWARDED.items() if key in received_headers}
        headers[b"X-Expires-In-Ms"] = b"%d" % left_ms
        connection.start(attempt, http1.encode_request(attempt.request, pool.host, headers))

    def release(self, connection: Connection, pool: Pool) -> None:
        """Return a connection to the pool, or close it."""
        if pool.accepts_requests and len(pool.idle) < MAX_IDLE_CONNECTIONS and not connection.closing:
            connection.idle_since = time.monotonic()
            pool.idle.append(connection)
        else:
            connection.discard()

    def close_idle(self, number: int) -> None:
        """Close the idle connections to an endpoint."""
        if pool := self._pools.get(number):
            pool.close_idle()

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        pools = [p for p in self._pools.values() if p.idle]
        if not pools:
            return False
        min(pools, key=lambda p: p.idle[0].idle_since).idle.pop(0).discard()
        return True

    async def sweep(self) -> None:
        """Close idle connections before the endpoints do, in an endless loop."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            oldest = time.monotonic() - self._idle_s
            for pool in self._pools.values():
                while pool.idle and pool.idle[0].idle_since < oldest:
                    pool.idle.pop(0).discard()
