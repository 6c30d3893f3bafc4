"""A small HTTP/1.1 server for calls with JSON bodies, one handler object for each resource."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc import tune
from otterreach.sidecar import http1

MAX_BODY = 36 * 1024 * 1024
IDLE_S = 75.0
LINGER_S = 2.0  # after an error: so long the client may go on sending before it is cut off


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handle = Callable[[http1.Request], Awaitable[Reply]]


def encode_reply(reply: Reply, close: bool) -> bytes:
    head = [
        f"HTTP/1.1 {reply.status} ".encode() + http1.PHRASES.get(reply.status, b"Status"),
        b"Content-Length: %d" % len(reply.body),
    ]
    if reply.body:
        head.append(b"Content-Type: " + reply.content_type.encode())
    head += [f"{name}: {value}".encode() for name, value in reply.headers]
    if close:
        head.append(b"Connection: close")
    return b"\r\n".join(head) + b"\r\n\r\n" + reply.body


class _Caller(asyncio.Protocol):
    """One connection: its requests are answered in order."""

    def __init__(self, server: JsonServer) -> None:
        self.server = server
        self._parser = http1.RequestParser(MAX_BODY)
        self._queue: deque[http1.Request] = deque()
        self._transport: asyncio.Transport | None = None
        self._working: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.server.callers.add(self)
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.callers.discard(self)
        self._parser.close()
        if self._timer:
            self._timer.cancel()

    def _rest(self, seconds: float = IDLE_S) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, self.abort)

    def abort(self) -> None:
        if self._transport:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._queue.extend(self._parser.feed(data))
        if self._parser.wants_continue and self._transport and not self._working:
            self._parser.wants_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not self._working and (self._queue or self._parser.error):
            self._working = asyncio.ensure_future(self._work())

    async def _work(self) -> None:
        while self._queue:
            request = self._queue.popleft()
            try:
                reply = await self.server.handle(request)
            except Exception as error:  # a fault in one call ends that call, not the process
                log("call_failed", level="ERROR", target=request.target.decode("latin-1"), error=repr(error))
                reply = Reply(500)
            close = not request.keep_alive or self.server.stopping
            if self._transport and not self._transport.is_closing():
                self._transport.write(encode_reply(reply, close))
                if close:
                    self._transport.close()
        self._working = None
        if self._parser.error and self._transport and not self._transport.is_closing():
            self._transport.write(encode_reply(Reply(int(self._parser.error)), True))
            self._transport.write_eof()
            self._rest(LINGER_S)
        else:
            self._rest()

    def leave(self) -> None:
        if not self._working and not self._queue and self._transport:
            self._transport.close()


class JsonServer:
    """Listens, and gives each whole request to `handle`."""

    def __init__(self, handle: Handle) -> None:
        self.handle = handle
        self.callers: set[_Caller] = set()
        self.stopping = False
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Caller(self), host, port, backlog=256, reuse_address=True)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """No new connections; those at rest close, the others after their answer."""
        self.stopping = True
        if self._server:
            self._server.close()
        for caller in list(self.callers):
            caller.leave()


class _Exchange(asyncio.Protocol):
    """One kept connection of the client: one call at a time."""

    def __init__(self) -> None:
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._parser: http1.ResponseParser | None = None
        self._answer: asyncio.Future[http1.Response | None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._settle(None)

    def data_received(self, data: bytes) -> None:
        if self._parser is None or self._answer is None:
            self.abort()  # nothing was asked
            return
        response = self._parser.feed(data)
        if response is not None:
            if not response.keep_alive:
                self.abort()
            self._settle(response)
        elif self._parser.broken:
            self.abort()
            self._settle(None)

    def _settle(self, response: http1.Response | None) -> None:
        answer, self._answer = self._answer, None
        if self._parser:
            self._parser.close()
            self._parser = None
        if answer and not answer.done():
            answer.set_result(response)

    def ask(self, data: bytes) -> asyncio.Future[http1.Response | None]:
        self._answer = asyncio.get_running_loop().create_future()
        self._parser = http1.ResponseParser()
        if self._transport:
            self._transport.write(data)
        return self._answer

    def abort(self) -> None:
        self.closed = True
        if self._transport:
            self._transport.abort()


class JsonClient:
    """Calls with JSON bodies, one kept connection for each address: new ones are dear."""

    def __init__(self) -> None:
        self._kept: dict[str, _Exchange] = {}
        self._busy: dict[str, asyncio.Lock] = {}

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        may: Callable[[], bool] = lambda: True,
    ) -> Reply | Failure:
        """The answer; TIMED_OUT and CLOSED leave open whether it was done. `may` is asked right before it is written:
        a connection may take its time."""
        lock = self._busy.setdefault(address, asyncio.Lock())
        async with lock:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self._call(address, method, path, body, may)
            except TimeoutError:
                self.forget(address)
                return Failure(Code.TIMED_OUT, f"{address}: no answer in time")
            except OSError as error:
                return Failure(Code.UNREACHABLE, f"{address}: {type(error).__name__}")

    async def _call(
        self, address: str, method: str, path: str, body: bytes, may: Callable[[], bool]
    ) -> Reply | Failure:
        exchange = self._kept.get(address)
        if exchange is None or exchange.closed:
            host, _, port = address.rpartition(":")
            loop = asyncio.get_running_loop()
            _, exchange = await loop.create_connection(_Exchange, host, int(port))
            self._kept[address] = exchange
        request = http1.Request(method.encode(), path.encode(), {}, body, True)
        headers = {b"Content-Type": b"application/json"} if body else {}
        if not may():
            return Failure(Code.STALE_EPOCH, "no longer wanted")
        response = await exchange.ask(http1.encode_request(request, address.encode(), headers))
        if response is None:
            self._kept.pop(address, None)
            return Failure(Code.CLOSED, f"{address}: no whole answer")
        return Reply(response.status, response.body)

    def forget(self, address: str) -> None:
        """Close what is kept to an address."""
        if (exchange := self._kept.pop(address, None)) is not None:
            exchange.abort()
