"""An HTTP/1.1 client for calls with JSON bodies.

A connection belongs to one call, from the first byte of its request to the last byte of its answer. Each request
carries an id of its own, and an answer is matched by it. A connection is kept for another call only after one whole
answer that bore the call's id, with nothing after it; whatever else ends a call closes its connection.

Some servers don't give the id back. There a call has a connection of its own, on which no other answer can come. Only
calls that the caller declares interchangeable (reads of one path, where an earlier answer does as well) share one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from itertools import count

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import REQUEST_ID, Reply
from otterreach.runtime.rpc import tune
from otterreach.sidecar import http1
from otterreach.sidecar.transport import ServerConnection

MAX_IDLE_S = 60.0  # idle for longer a connection is closed; a vanished machine would never close it
IDLE_MARGIN_S = 0.4  # before the time that Keep-Alive names is over
NO_HEADERS: Mapping[str, str] = {}
ANY_PATH = ""  # of connections that may carry any call
Release = Callable[["_Connection"], None]
PoolKey = tuple[str, str]  # an address, and the path whose calls may use the connection


def keep_alive_s(headers: Mapping[bytes, bytes]) -> float | None:
    """The time that the Keep-Alive header names, in seconds."""
    for part in headers.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None


def max_idle_s(headers: Mapping[bytes, bytes], plain_s: float) -> float:
    """How long a connection may be idle after an answer with these headers."""
    named_s = keep_alive_s(headers)
    return plain_s if named_s is None else max(named_s - IDLE_MARGIN_S, named_s / 2)


class _Connection(ServerConnection):
    """One connection: idle, or used by one call."""

    def __init__(self, on_close: Release) -> None:
        super().__init__()
        self.reusable = True  # another call may be written; false from the write on
        self._on_close = on_close
        self._ident = b""
        self._interchangeable = False  # the present call
        self._used = 0  # calls begun on it
        self._proven = False  # the last answer bore its call's id
        self._parser: http1.ResponseParser | None = None
        self._answer: asyncio.Future[http1.Response | Failure] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        super().connection_made(transport)
        tune(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self._fail("closed before a complete answer")
        self.close()

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        if self._parser is None:  # idle: nobody asked
            self.close()
            return
        response = self._parser.feed(data)
        if response is not None:
            self._handle_response(response)
        elif self._parser.broken:
            self._fail("no answer of the protocol")

    def _handle_response(self, response: http1.Response) -> None:
        """A complete answer. The one place that makes the connection reusable."""
        ident = response.headers.get(REQUEST_ID)
        matched = ident == self._ident
        without_id = ident is None and (self._used == 1 or self._interchangeable and not self._proven)
        if self.unwritten:
            self._fail("an answer before the request was written")
        elif matched or without_id:
            self._proven = matched
            self.reusable = response.keep_alive and (matched or self._interchangeable)
            self._complete(response)
        else:
            # Danger: an extra answer to an earlier call may come in the place of this one's.
            self._fail("an answer to another call")

    def _fail(self, reason: str) -> None:
        # What has not left whole for the kernel never leaves: the close drops it.
        self._complete(Failure(Code.UNREACHABLE if self.unwritten else Code.CLOSED, reason))

    def _complete(self, outcome: http1.Response | Failure) -> None:
        if self._parser:
            self._parser.close()
            self._parser = None
        if self._answer and not self._answer.done():
            self._answer.set_result(outcome)

    @property
    def certain(self) -> bool:
        """Whether an answer on it can be told from one to another call: by its id, or because there was none."""
        return self._proven or not self._used

    async def exchange(
        self, ident: bytes, data: bytes, until: float, interchangeable: bool
    ) -> http1.Response | Failure:
        """Write a request and wait for its answer. Whatever ends this but a matched answer closes the connection."""
        assert self.reusable
        self.reusable = False
        self._stop_idle_timer()
        self._ident = ident
        self._interchangeable = interchangeable
        self._used += 1
        self._parser = http1.ResponseParser(must_frame=True)
        self._answer = asyncio.get_running_loop().create_future()
        answered = False
        try:
            self._write(data)
            async with asyncio.timeout_at(until):
                outcome = await self._answer
            answered = True
            return outcome
        except TimeoutError:
            return Failure(Code.UNREACHABLE if self.unwritten else Code.TIMED_OUT, "no answer in time")
        finally:
            self._parser = None
            if not answered:
                self._drop_unsent()  # an order must not arrive after the lease that it was sent under
            # Danger: a cancellation or a time-out can come in the same turn of the loop as the answer.
            if not answered or not self.reusable:
                self.close()

    def start_idle_timer(self, seconds: float) -> None:
        """No call is in progress: close after this time."""
        self._stop_idle_timer()
        self._idle_timer = asyncio.get_running_loop().call_later(seconds, self.close)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer:
            self._idle_timer.cancel()
            self._idle_timer = None

    def close(self) -> None:
        """Send no other call on it, and nothing more of this one."""
        self.reusable = False
        self._stop_idle_timer()
        self._on_close(self)
        self._abort()


class JsonClient:
    """Calls with JSON bodies. One idle connection is kept for each address: new ones are expensive."""

    def __init__(self) -> None:
        self._idle: dict[PoolKey, _Connection] = {}
        self._numbers = count(1)

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        may_write: Callable[[], bool] = lambda: True,
        headers: Mapping[str, str] = NO_HEADERS,
        interchangeable: bool = False,
    ) -> Reply | Failure:
        """The answer. TIMED_OUT and CLOSED leave open whether it was done, any other Failure says that it was not.

        :param may_write: asked right before the write: to open a connection may take its time
        :param interchangeable: an answer to an earlier call of this path does as well
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        connection = self._take_idle(address, path, interchangeable) or await self._open(address, until)
        if isinstance(connection, Failure):
            return connection
        in_time = loop.time() < until
        if not in_time or not may_write():
            self._keep(address, path, connection, MAX_IDLE_S)
            code = Code.STALE_EPOCH if in_time else Code.UNREACHABLE
            return Failure(code, f"{address}: not written")
        ident = b"call-%d" % next(self._numbers)
        data = _encode(address, method, path, body, ident, headers)
        outcome = await connection.exchange(ident, data, until, interchangeable)
        if isinstance(outcome, Failure):
            return Failure(outcome.code, f"{address}: {outcome.reason}")
        if connection.reusable:
            self._keep(address, path, connection, max_idle_s(outcome.headers, MAX_IDLE_S))
        return Reply(outcome.status, outcome.body)

    def _take_idle(self, address: str, path: str, interchangeable: bool) -> _Connection | None:
        """An idle connection that is still open and that such a call may use."""
        for key in [(address, path), (address, ANY_PATH)] if interchangeable else [(address, ANY_PATH)]:
            connection = self._idle.pop(key, None)
            if connection is None:
                continue
            if connection.reusable and connection.fresh():
                return connection
            connection.close()
        return None

    def _keep(self, address: str, path: str, connection: _Connection, seconds: float) -> None:
        key = (address, ANY_PATH if connection.certain else path)
        if key in self._idle or connection.closing:
            connection.close()
            return
        self._idle[key] = connection
        connection.start_idle_timer(seconds)

    def close(self) -> None:
        """Close the idle connections. A call under way keeps its own."""
        for connection in list(self._idle.values()):
            connection.close()

    def _closed(self, connection: _Connection) -> None:
        for key in [key for key, idle in self._idle.items() if idle is connection]:
            del self._idle[key]

    async def _open(self, address: str, until: float) -> _Connection | Failure:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(until):
                _, connection = await loop.create_connection(lambda: _Connection(self._closed), host, int(port))
        except (OSError, ValueError, TimeoutError) as error:
            return Failure(Code.UNREACHABLE, f"{address}: {type(error).__name__}")
        return connection


def _encode(address: str, method: str, path: str, body: bytes, ident: bytes, headers: Mapping[str, str]) -> bytes:
    lines = {name.encode(): value.encode("latin-1") for name, value in headers.items()}
    lines[b"Request-Id"] = ident
    if body:
        lines[b"Content-Type"] = b"application/json"
    request = http1.Request(method.encode(), path.encode(), {}, body, True)
    return http1.encode_request(request, address.encode(), lines)
