"""An HTTP/1.1 client for calls with JSON bodies.

A connection serves one call at a time, from the first byte of the request to the last byte of the response. Each
request carries a unique id, by which the response is matched. A connection is reused only after one complete response
with the id of the call and no bytes after it; any other end of a call closes the connection.

Some servers don't return the id. A call to such a server uses a connection of its own, on which no response to another
call can arrive. Only calls that the caller declares interchangeable (reads of one path, for which the response to an
earlier call is equally valid) share a connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from itertools import count

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import REQUEST_ID, Reply
from otterreach.runtime.socket_options import set_socket_options
from otterreach.sidecar import http1
from otterreach.sidecar.keep_alive import max_idle_s
from otterreach.sidecar.transport import ServerConnection

MAX_IDLE_S = 60.0  # limit of the idle time of a connection, since a peer that has vanished would never close it
NO_HEADERS: Mapping[str, str] = {}
ANY_PATH = ""  # path in the pool key of connections that may be used for any call
RemoveFromPool = Callable[["_Connection"], None]
PoolKey = tuple[str, str]  # address, and path of the calls that may use the connection


class _Connection(ServerConnection):
    """A connection that is idle or used by one call."""

    def __init__(self, remove_from_pool: RemoveFromPool) -> None:
        super().__init__()
        self.reusable = True  # true while the next call may be written; false from the write on
        self._remove_from_pool = remove_from_pool
        self._ident = b""  # id of the current call
        self._interchangeable = False  # true if the current call is interchangeable with others of its path
        self._call_count = 0  # number of calls started on the connection
        self._id_matched = False  # true if the last response had the id of its call
        self._parser: http1.ResponseParser | None = None
        self._answer: asyncio.Future[http1.Response | Failure] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options of the open connection."""
        super().connection_made(transport)
        set_socket_options(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current call and remove the connection from the pool."""
        self._fail("closed before a complete answer")
        self.close()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes as the response to the current call."""
        if self._parser is None:  # idle: unsolicited bytes
            self.close()
            return
        response = self._parser.feed(data)
        if response is not None:
            self._handle_response(response)
        elif self._parser.broken:
            self._fail("no answer of the protocol")

    def _handle_response(self, response: http1.Response) -> None:
        """Complete the call with a response if it matches. Only this method makes the connection reusable."""
        ident = response.headers.get(REQUEST_ID)
        matched = ident == self._ident
        accepted_without_id = ident is None and (
            self._call_count == 1 or self._interchangeable and not self._id_matched
        )
        if self.has_unsent_data and not matched:
            self._fail("an answer without the call's id before the request was written")
        elif matched or accepted_without_id:
            self._id_matched = matched
            may_share = matched or self._interchangeable
            self.reusable = response.keep_alive and may_share and not self.has_unsent_data
            self._complete(response)
        else:
            # A server may repeat the response to an earlier call in place of the response to this one.
            self._fail("an answer to another call")

    def _fail(self, reason: str) -> None:
        # A server may begin before it has read the whole request, so unsent data proves nothing.
        self._complete(Failure(Code.CLOSED if self.has_sent_data else Code.UNREACHABLE, reason))

    def _complete(self, outcome: http1.Response | Failure) -> None:
        if self._parser:
            self._parser.close()
            self._parser = None
        if self._answer and not self._answer.done():
            self._answer.set_result(outcome)

    @property
    def attributable(self) -> bool:
        """True if a response can be attributed to its call: by its id, or because there was no earlier call."""
        return self._id_matched or not self._call_count

    async def exchange(
        self, ident: bytes, data: bytes, until: float, interchangeable: bool
    ) -> http1.Response | Failure:
        """Write a request and wait for the response. Any end other than a matched response closes the connection."""
        assert self.reusable
        self.reusable = False
        self._stop_idle_timer()
        self._ident = ident
        self._interchangeable = interchangeable
        self._call_count += 1
        self._parser = http1.ResponseParser(require_framing=True)
        self._answer = asyncio.get_running_loop().create_future()
        answered = False
        try:
            self._write(data)
            async with asyncio.timeout_at(until):
                outcome = await self._answer
            answered = True
            return outcome
        except TimeoutError:
            return Failure(Code.TIMED_OUT if self.has_sent_data else Code.UNREACHABLE, "no answer in time")
        finally:
            self._parser = None
            if not answered:
                self._reset_on_close()  # an order must not arrive after the lease has expired under which it was sent
            # A cancellation or time-out can occur in the same iteration of the event loop as the response; the
            # connection would stay open unused.
            if not answered or not self.reusable:
                self.close()

    def start_idle_timer(self, seconds: float) -> None:
        """Close the idle connection after this time unless a call starts on it."""
        self._stop_idle_timer()
        self._idle_timer = asyncio.get_running_loop().call_later(seconds, self.close)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer:
            self._idle_timer.cancel()
            self._idle_timer = None

    def close(self) -> None:
        """Remove the connection from the pool and abort it; nothing more is sent on it."""
        self.reusable = False
        self._stop_idle_timer()
        self._remove_from_pool(self)
        self._abort()


class JsonClient:
    """A client for calls with JSON bodies. It keeps one idle connection for each pool key: new ones are expensive."""

    def __init__(self) -> None:
        self._idle: dict[PoolKey, _Connection] = {}
        self._call_numbers = count(1)

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
        """Send a request and return the response or a Failure.

        After TIMED_OUT and CLOSED the request may have been executed; after any other Failure no byte of it was sent.

        :param may_write: checked immediately before the write, since opening a connection takes time
        :param interchangeable: the response to an earlier call of this path is equally valid
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        connection = self._take_idle(address, path, interchangeable) or await self._open(address, until)
        if isinstance(connection, Failure):
            return connection
        in_time = loop.time() < until
        if not in_time or not may_write():
            self._release(address, path, connection, MAX_IDLE_S)
            code = Code.STALE_EPOCH if in_time else Code.UNREACHABLE
            return Failure(code, f"{address}: not written")
        ident = b"call-%d" % next(self._call_numbers)
        data = _encode(address, method, path, body, ident, headers)
        outcome = await connection.exchange(ident, data, until, interchangeable)
        if isinstance(outcome, Failure):
            return Failure(outcome.code, f"{address}: {outcome.reason}")
        if connection.reusable:
            self._release(address, path, connection, max_idle_s(outcome.headers, MAX_IDLE_S))
        return Reply(outcome.status, outcome.body)

    def _take_idle(self, address: str, path: str, interchangeable: bool) -> _Connection | None:
        """Remove and return an open idle connection that the call may use, or None."""
        for key in [(address, path), (address, ANY_PATH)] if interchangeable else [(address, ANY_PATH)]:
            connection = self._idle.pop(key, None)
            if connection is None:
                continue
            if connection.reusable and connection.is_reusable():
                return connection
            connection.close()
        return None

    def _release(self, address: str, path: str, connection: _Connection, seconds: float) -> None:
        key = (address, ANY_PATH if connection.attributable else path)
        if key in self._idle or connection.closing:
            connection.close()
            return
        self._idle[key] = connection
        connection.start_idle_timer(seconds)

    def close(self) -> None:
        """Close the idle connections. Calls in flight are not affected."""
        for connection in list(self._idle.values()):
            connection.close()

    def _remove_idle(self, connection: _Connection) -> None:
        for key in [key for key, idle in self._idle.items() if idle is connection]:
            del self._idle[key]

    async def _open(self, address: str, until: float) -> _Connection | Failure:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(until):
                _, connection = await loop.create_connection(lambda: _Connection(self._remove_idle), host, int(port))
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
