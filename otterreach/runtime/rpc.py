"""Calls between own processes over TCP: one connection for each pair, both ways, many calls at once.

A frame is <length, call, kind, flags> and a flatbuffer. A call gets one reply or a Failure; `send` gets none.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from otterreach.runtime.codec import NUMBERS, MessageError, decode, encode, message
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log

HEADER = struct.Struct("<IIHB")  # bytes that follow the header, call, kind, flags
REPLY = 1
MAX_FRAME = 96 * 1024 * 1024
MAX_BACKLOG = 64 * 1024 * 1024  # unread by the other end: it is stuck, and memory is bounded
CONNECT_S = 0.5
USER_TIMEOUT_MS = 1500  # unacknowledged for so long: the other machine is gone or cut off
KEEPALIVE_IDLE_S = 15  # at rest for so long, the kernel asks whether the other machine is still there
RETIRED_LEAST_S = 1.0  # a retired connection stays: what was sent one way may still be on its way
RETIRED_MOST_S = 10.0  # then it is closed, whatever is under way on it
RETIRED_LOOK_S = 0.25

Handler = Callable[["Link", Any], Awaitable[Any]]


@message(1)
@dataclass(slots=True)
class Refused:
    """A Failure as a reply."""

    code: int
    reason: str


@message(2)
@dataclass(slots=True)
class Done:
    """An empty reply."""

    ok: bool = True


class Link(asyncio.Protocol):
    """One connection. Whoever opened it, both ends call over it."""

    def __init__(self, endpoint: Endpoint, address: str = "") -> None:
        self.endpoint, self.address = endpoint, address
        self.peer = ""  # the node at the other end, once a handler has learned it
        self.closed = False
        self.on_close: list[Callable[[Link], None]] = []
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._serving = 0  # calls of the other end that are worked on here
        self._next = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune(transport.get_extra_info("socket"))
        self.endpoint.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.endpoint.links.discard(self)
        for future in self._calls.values():
            if not future.done():
                future.set_result(Failure(Code.CLOSED, "connection closed"))
        self._calls.clear()
        for listener in self.on_close:
            listener(self)
        self.on_close.clear()

    def data_received(self, data: bytes) -> None:
        buffer = self._buffer
        buffer += data
        at = 0
        while len(buffer) - at >= HEADER.size:
            size, call, kind, flags = HEADER.unpack_from(buffer, at)
            if size > MAX_FRAME:
                self.abort()
                return
            end = at + HEADER.size + size
            if len(buffer) < end:
                break
            body = bytes(buffer[at + HEADER.size : end])
            at = end
            self._take(call, kind, flags, body)
        if at:
            del buffer[:at]

    def _take(self, call: int, kind: int, flags: int, body: bytes) -> None:
        try:
            value = decode(kind, body)
        except MessageError as error:
            log("bad_message", peer=self.peer or self.address, error=str(error))
            self.abort()
            return
        if flags & REPLY:
            future = self._calls.pop(call, None)
            if future and not future.done():
                future.set_result(_failure(value) if isinstance(value, Refused) else value)
            return
        handler = self.endpoint.handlers.get(type(value))
        if handler is None:
            if call:
                self._write(call, Refused(Code.NO_HANDLER, type(value).__name__), REPLY)
            return
        self.endpoint.spawn(self._serve(handler, call, value))

    async def _serve(self, handler: Handler, call: int, value: Any) -> None:
        self._serving += 1
        try:
            reply = await self._handle(handler, value)
        finally:
            self._serving -= 1
        if not call:
            return
        if isinstance(reply, Failure):
            reply = Refused(int(reply.code), reply.reason)
        self._write(call, Done() if reply is None else reply, REPLY)

    async def _handle(self, handler: Handler, value: Any) -> Any:
        try:
            return await handler(self, value)
        except Exception as error:  # a fault in one handler ends one call, not the process
            log("handler_failed", level="ERROR", message=type(value).__name__, error=repr(error))
            return Failure(Code.INTERNAL, type(error).__name__)

    def _write(self, call: int, value: Any, flags: int) -> None:
        if self.closed or self._transport is None:
            return
        body = encode(value)
        self._transport.write(HEADER.pack(len(body), call, NUMBERS[type(value)], flags) + body)
        if self._transport.get_write_buffer_size() > MAX_BACKLOG:
            self.abort()

    def send(self, value: Any) -> None:
        """One way: nobody hears whether it came."""
        self._write(0, value, 0)

    async def call(self, value: Any, timeout_s: float) -> Any:
        """The reply, or a Failure: TIMED_OUT and CLOSED leave open whether it was done."""
        if self.closed:
            return Failure(Code.UNREACHABLE, "connection closed")
        self._next = self._next % 0xFFFFFFF0 + 1
        number = self._next
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        self._write(number, value, 0)
        timer = asyncio.get_running_loop().call_later(timeout_s, self._expire, number)
        try:
            return await future
        finally:
            timer.cancel()
            self._calls.pop(number, None)

    def _expire(self, number: int) -> None:
        future = self._calls.pop(number, None)
        if future and not future.done():
            future.set_result(Failure(Code.TIMED_OUT, "no answer in time"))

    def retire(self) -> None:
        """Nothing new goes out from here. It is closed once nothing is under way on it, and in bounded time anyway."""
        loop = asyncio.get_running_loop()
        loop.call_later(RETIRED_LEAST_S, self._close_retired, loop.time() + RETIRED_MOST_S)

    def _close_retired(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        if self.closed or self._transport is None:
            return
        if (self._calls or self._serving) and loop.time() < end:
            loop.call_later(RETIRED_LOOK_S, self._close_retired, end)
        elif self._transport.get_write_buffer_size():
            self.abort()  # the other end does not read: what waits here would keep the connection open
        else:
            self._transport.close()

    def abort(self) -> None:
        if self._transport:
            self._transport.abort()


def _failure(refused: Refused) -> Failure:
    """Danger: a newer process may send a code that is not known here. Whether it was done is then not known either."""
    try:
        return Failure(Code(refused.code), refused.reason)
    except ValueError:
        return Failure(Code.INTERNAL, f"code {refused.code}: {refused.reason}")


def tune(sock: socket.socket | None) -> None:
    """Small messages leave at once; a peer that is dark is noticed. A connection in memory has no socket."""
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)


class Endpoint:
    """A process' end of all its connections: its handlers, its listener and the links it opened, by address."""

    def __init__(self) -> None:
        self.handlers: dict[type, Handler] = {}
        self.links: set[Link] = set()
        self._opened: dict[str, Link] = {}
        self._opening: dict[str, asyncio.Task[Link | Failure]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._server: asyncio.Server | None = None

    def on(self, kind: type, handler: Handler) -> None:
        """Take messages of this kind; the handler gives the reply, a Failure or None."""
        self.handlers[kind] = handler

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run beside all else, held until it ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log("task_failed", level="ERROR", error=repr(error))

    async def listen(self, host: str, port: int) -> int:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Link(self), host, port, backlog=256, reuse_address=True)
        return int(self._server.sockets[0].getsockname()[1])

    def linked(self, address: str) -> Link | None:
        """The connection to host:port that is open now, if there is one."""
        link = self._opened.get(address)
        return link if link and not link.closed else None

    async def link(self, address: str) -> Link | Failure:
        """The open connection to host:port, or a new one."""
        link = self._opened.get(address)
        if link and not link.closed:
            return link
        opening = self._opening.get(address)
        if opening is None:
            opening = self._opening[address] = asyncio.ensure_future(self._open(address))
            opening.add_done_callback(lambda _: self._opening.pop(address, None))
        return await asyncio.shield(opening)

    async def _open(self, address: str) -> Link | Failure:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_S):
                _, link = await loop.create_connection(lambda: Link(self, address), host, int(port))
        except (OSError, ValueError, TimeoutError) as error:
            return Failure(Code.UNREACHABLE, f"{address}: {type(error).__name__}")
        self._opened[address] = link
        return link

    async def call(self, address: str, value: Any, timeout_s: float) -> Any:
        """A call to whoever listens at host:port; the time counts from now, the connecting included."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        link: Link | Failure | None = self.linked(address)
        if link is None:
            try:
                async with asyncio.timeout(timeout_s):
                    link = await self.link(address)
            except TimeoutError:
                return Failure(Code.UNREACHABLE, f"{address}: no connection in time")
        if isinstance(link, Failure):
            return link
        reply = await link.call(value, max(0.001, end - loop.time()))
        if isinstance(reply, Failure) and reply.code is Code.TIMED_OUT and self._opened.get(address) is link:
            del self._opened[address]  # frozen or dark: the next call tries anew, others may still end on this one
            link.retire()
        return reply

    async def close(self) -> None:
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for link in list(self.links):
            link.abort()
