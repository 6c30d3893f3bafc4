"""Remote procedure calls between the processes of the system over TCP.

A pair of processes shares one connection, which multiplexes calls in both directions; a long message has its own. A
frame is <length, call number, message number, flags> and a flatbuffer. A call gets one reply or a Failure; a one-way
message gets no reply.
"""

from __future__ import annotations

import asyncio
import struct
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from otterreach.runtime.codec import NUMBERS, MessageError, ReplyT, Request, checked_reply, decode, encode, message
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.frame_admission import SMALL_FRAME_BYTES, FrameAdmission
from otterreach.runtime.log import log
from otterreach.runtime.socket_options import set_socket_options

HEADER = struct.Struct("<IIHB")  # length of the body, call number, message number, flags
REPLY_FLAG = 1
ONE_WAY = 0  # call number of a one-way message
MAX_CALL_NUMBER = 0xFFFFFFF0
MAX_FRAME_BYTES = 96 * 1024 * 1024
LONG_BODY_BYTES = 1024 * 1024  # of a caller; a message that passes on a longer one has a connection of its own
MAX_UNREAD_BYTES = 64 * 1024 * 1024  # limit of the write buffer, which bounds memory; a stuck peer is disconnected
CONNECT_TIMEOUT_S = 0.5
RETIRED_MIN_S = 1.0  # a retired connection stays open for this long: one-way messages may be in flight
RETIRED_MAX_S = 10.0  # a retired connection is closed after this time even with calls in flight
RETIRED_CHECK_S = 0.25
MIN_CALL_S = 0.001  # lower bound of the time left for a call after connecting
LISTEN_BACKLOG = 256

T = TypeVar("T")
MessageT = TypeVar("MessageT")
Handler = Callable[["Link", Any], Awaitable[Any]]


@message(1)
@dataclass(slots=True)
class FailureReply:
    """The wire form of a Failure."""

    code: int
    reason: str


@message(2)
@dataclass(slots=True)
class Done:
    """The reply to a request that has no other result."""

    ok: bool = True


class Link(asyncio.Protocol):
    """One connection. Both ends send calls over it, regardless of which end opened it."""

    def __init__(self, endpoint: Endpoint, address: str = "") -> None:
        self.endpoint = endpoint
        self.address = address  # host:port if this end opened the connection, else empty
        self.peer = ""  # node name of the peer, once a handler has set it
        self.closed = False
        self.on_close: list[Callable[[Link], None]] = []
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._calls: dict[int, asyncio.Future[Any]] = {}  # calls in flight by call number
        self._calls_in_progress = 0  # calls of the peer that are being handled here
        self._last_call_number = 0
        self._admission: FrameAdmission | None = None  # of the message being received
        self._is_waiting = False  # for admission of that message
        self.last_received_at = 0.0

    # asyncio.Protocol ----------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the open connection and set its socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport.get_extra_info("socket"))
        self.endpoint.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete all calls in flight with a Failure, and notify the listeners."""
        self.closed = True
        self.endpoint.links.discard(self)
        self._buffer.clear()
        if self._admission:
            self._admission.closed(self)
            self._admission = None
        for future in self._calls.values():
            if not future.done():
                future.set_result(Failure(Code.CLOSED, "connection closed"))
        self._calls.clear()
        for listener in self.on_close:
            listener(self)
        self.on_close.clear()

    def data_received(self, data: bytes) -> None:
        """Buffer the received bytes and handle each complete frame."""
        self.last_received_at = asyncio.get_running_loop().time()
        self._buffer += data
        self._handle_frames()

    def _handle_frames(self) -> None:
        buffer = self._buffer
        start = 0
        while len(buffer) - start >= HEADER.size:
            length, call_number, message_number, flags = HEADER.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                self.abort()
                return
            end = start + HEADER.size + length
            if not self._is_admitted(message_number, length) or len(buffer) < end:
                break
            body = bytes(memoryview(buffer)[start + HEADER.size : end])
            start = end
            self._handle_frame(call_number, message_number, flags, body)
        if start:
            del buffer[:start]

    # Admission of long messages ------------------------------------------------------------------

    def _is_admitted(self, message_number: int, length: int) -> bool:
        """Return True if the message may be read; else stop reading until there is room for it."""
        if self._admission is not None:
            return not self._is_waiting
        admission = self.endpoint.admissions.get(message_number)
        if admission is None or length <= SMALL_FRAME_BYTES:
            return True
        self._admission = admission
        self._is_waiting = not admission.request(self, length)
        if self._is_waiting and self._transport:
            self._transport.pause_reading()
        return not self._is_waiting

    def admitted(self) -> None:
        """Resume reading: there is room for the message now."""
        self._is_waiting = False
        self.last_received_at = asyncio.get_running_loop().time()
        if self._transport and not self.closed:
            self._transport.resume_reading()
            asyncio.get_running_loop().call_soon(self._handle_frames)

    def _leave_admission(self, task: asyncio.Task[None] | None) -> None:
        """Give the room of a complete message back, at the end of the task that handles it."""
        admission = self._admission
        if admission is None:
            return
        self._admission = None
        length = admission.received(self)
        if task is None:
            admission.release(length)
        else:
            task.add_done_callback(lambda _: admission.release(length))

    # Received messages ---------------------------------------------------------------------------

    def _handle_frame(self, call_number: int, message_number: int, flags: int, body: bytes) -> None:
        try:
            value = decode(message_number, body)
        except MessageError as error:
            log("bad_message", peer=self.peer or self.address, error=str(error))
            self.abort()
            return
        self.endpoint.received[type(value)] += 1
        if flags & REPLY_FLAG:
            self._leave_admission(None)
            self._handle_reply(call_number, value)
            return
        handler = self.endpoint.handlers.get(type(value))
        task = self.endpoint.spawn(self._answer(handler, call_number, value)) if handler is not None else None
        self._leave_admission(task)
        if task is None and call_number != ONE_WAY:
            self._write(call_number, FailureReply(Code.NO_HANDLER, type(value).__name__), REPLY_FLAG)

    def _handle_reply(self, call_number: int, value: Any) -> None:
        future = self._calls.pop(call_number, None)
        if future and not future.done():
            future.set_result(_to_failure(value) if isinstance(value, FailureReply) else value)

    async def _answer(self, handler: Handler, call_number: int, value: Any) -> None:
        self._calls_in_progress += 1
        try:
            reply = await self._run_handler(handler, value)
        finally:
            self._calls_in_progress -= 1
        if call_number == ONE_WAY:
            return
        if isinstance(reply, Failure):
            reply = FailureReply(int(reply.code), reply.reason)
        self._write(call_number, Done() if reply is None else reply, REPLY_FLAG)

    async def _run_handler(self, handler: Handler, value: Any) -> Any:
        try:
            return await handler(self, value)
        except Exception as error:  # an error in one handler fails that call, not the process
            log("handler_failed", level="ERROR", message=type(value).__name__, error=repr(error))
            return Failure(Code.INTERNAL, type(error).__name__)

    # Sent messages -------------------------------------------------------------------------------

    def _write(self, call_number: int, value: Any, flags: int) -> None:
        if self.closed or self._transport is None:
            return
        body = encode(value)
        self.endpoint.sent[type(value)] += 1
        header = HEADER.pack(len(body), call_number, NUMBERS[type(value)], flags)
        if len(body) <= SMALL_FRAME_BYTES:
            self._transport.write(header + body)
        else:
            self._transport.write(header)
            self._transport.write(memoryview(body))  # asyncio copies what it can't send, and slices bytes before that
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.abort()

    def send(self, value: object) -> None:
        """Send a one-way message. There is no confirmation that it arrives."""
        self._write(ONE_WAY, value, 0)

    async def call(self, request: Request[ReplyT], timeout_s: float) -> ReplyT | Failure:
        """Send a request and return its reply or a Failure. After TIMED_OUT and CLOSED it may have been handled."""
        if self.closed:
            return Failure(Code.UNREACHABLE, "connection closed")
        self._last_call_number = self._last_call_number % MAX_CALL_NUMBER + 1
        call_number = self._last_call_number
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()
        self._calls[call_number] = future
        self._write(call_number, request, 0)
        timer = loop.call_later(timeout_s, self._expire, call_number)
        try:
            reply = await future
        finally:
            timer.cancel()
            self._calls.pop(call_number, None)
        return checked_reply(request, reply)

    def _expire(self, call_number: int) -> None:
        future = self._calls.pop(call_number, None)
        if future and not future.done():
            future.set_result(Failure(Code.TIMED_OUT, "no answer in time"))

    # Closing -------------------------------------------------------------------------------------

    def retire(self) -> None:
        """Close the connection once nothing is in flight on it, and after RETIRED_MAX_S in any case.

        The caller starts no new calls on it.
        """
        loop = asyncio.get_running_loop()
        loop.call_later(RETIRED_MIN_S, self._close_retired, loop.time() + RETIRED_MAX_S)

    def _close_retired(self, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        if self.closed or self._transport is None:
            return
        if (self._calls or self._calls_in_progress) and loop.time() < deadline:
            loop.call_later(RETIRED_CHECK_S, self._close_retired, deadline)
        elif self._transport.get_write_buffer_size():
            self.abort()  # the peer does not read, and close() would wait for the unsent bytes
        else:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately and drop unsent bytes."""
        if self._transport:
            self._transport.abort()


def _to_failure(reply: FailureReply) -> Failure:
    """Convert a received failure.

    A newer version may send a code that is unknown here. It becomes INTERNAL, since the request may have been handled.
    """
    try:
        return Failure(Code(reply.code), reply.reason)
    except ValueError:
        return Failure(Code.INTERNAL, f"code {reply.code}: {reply.reason}")


class Endpoint:
    """The RPC end point of a process: its handlers, its listener and all its connections."""

    def __init__(self) -> None:
        self.handlers: dict[type, Handler] = {}
        self.admissions: dict[int, FrameAdmission] = {}  # by message number
        self.links: set[Link] = set()
        self.sent: Counter[type] = Counter()  # messages by type
        self.received: Counter[type] = Counter()
        self._opened: dict[str, Link] = {}  # links opened by this end, by host:port
        self._opening: dict[str, asyncio.Task[Link | Failure]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._server: asyncio.Server | None = None

    def on(self, kind: type[MessageT], handler: Callable[[Link, MessageT], Awaitable[Any]]) -> None:
        """Register the handler of a message type. It returns the reply, a Failure, or None for Done."""
        self.handlers[kind] = handler

    def limit_memory(self, kind: type, admission: FrameAdmission) -> None:
        """Limit the memory that long messages of a type take."""
        self.admissions[NUMBERS[kind]] = admission

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine in the background and keep a reference to its task until it ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log("task_failed", level="ERROR", error=repr(error))

    async def listen(self, host: str, port: int) -> int:
        """Accept connections and return the port. Raise OSError if the port can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link(self), host, port, backlog=LISTEN_BACKLOG, reuse_address=True
        )
        return int(self._server.sockets[0].getsockname()[1])

    def open_link(self, address: str) -> Link | None:
        """Return the open connection to host:port, or None."""
        link = self._opened.get(address)
        return link if link and not link.closed else None

    async def link(self, address: str) -> Link | Failure:
        """Return the open connection to host:port, or open one. Concurrent callers share one attempt."""
        link = self._opened.get(address)
        if link and not link.closed:
            return link
        opening = self._opening.get(address)
        if opening is None:
            opening = self._opening[address] = asyncio.ensure_future(self._open(address))
            opening.add_done_callback(lambda _: self._opening.pop(address, None))
        return await asyncio.shield(opening)

    async def _open(self, address: str) -> Link | Failure:
        link = await self._connect(address)
        if isinstance(link, Link):
            self._opened[address] = link
        return link

    async def _connect(self, address: str) -> Link | Failure:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(lambda: Link(self, address), host, int(port))
        except (OSError, ValueError, TimeoutError) as error:
            return Failure(Code.UNREACHABLE, f"{address}: {type(error).__name__}")
        return link

    async def call(self, address: str, request: Request[ReplyT], timeout_s: float) -> ReplyT | Failure:
        """Send a request to host:port and return its reply or a Failure. The time-out includes connecting."""
        if request.passed_on_size() > LONG_BODY_BYTES:
            return await self._call_separately(address, request, timeout_s)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        link: Link | Failure | None = self.open_link(address)
        if link is None:
            try:
                async with asyncio.timeout(timeout_s):
                    link = await self.link(address)
            except TimeoutError:
                return Failure(Code.UNREACHABLE, f"{address}: no connection in time")
        if isinstance(link, Failure):
            return link
        reply = await link.call(request, max(MIN_CALL_S, deadline - loop.time()))
        if isinstance(reply, Failure) and reply.code is Code.TIMED_OUT and self._opened.get(address) is link:
            # The peer may be frozen or disconnected: the next call opens a new connection, while calls in flight may
            # still complete on this one.
            del self._opened[address]
            link.retire()
        return reply

    async def _call_separately(self, address: str, request: Request[ReplyT], timeout_s: float) -> ReplyT | Failure:
        """Call over a connection of its own.

        The receiver may stop reading until it has room for a long message, and heartbeats must not wait behind it.
        After a time-out, what is unsent is dropped at once.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        link = await self._connect(address)
        if isinstance(link, Failure):
            return link
        try:
            return await link.call(request, max(MIN_CALL_S, deadline - loop.time()))
        finally:
            link.abort()

    async def close(self) -> None:
        """Stop listening, cancel all tasks and abort all connections."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for link in list(self.links):
            link.abort()
