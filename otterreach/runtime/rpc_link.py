"""One RPC connection between two processes: frames, calls in flight, and the admission of long messages.

A frame is <length, call number, message number, flags> and a flatbuffer.
"""

from __future__ import annotations

import asyncio
import struct
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeVar

from otterreach.runtime.codec import NUMBERS, MessageError, ReplyT, Request, checked_reply, decode, encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.frame_admission import SMALL_FRAME_BYTES, FrameAdmission
from otterreach.runtime.log import log
from otterreach.runtime.rpc_messages import Done, FailureReply, to_failure
from otterreach.runtime.socket_options import set_socket_options

HEADER = struct.Struct("<IIHB")  # length of the body, call number, message number, flags
REPLY_FLAG = 1
ONE_WAY = 0  # call number of a one-way message
MAX_CALL_NUMBER = 0xFFFFFFF0
MAX_FRAME_BYTES = 96 * 1024 * 1024
MAX_UNREAD_BYTES = 64 * 1024 * 1024  # limit of the write buffer, which bounds memory; a stuck peer is disconnected
RETIRED_MIN_S = 1.0  # a retired connection stays open for this long: one-way messages may be in flight
RETIRED_MAX_S = 10.0  # a retired connection is closed after this time even with calls in flight
RETIRED_CHECK_S = 0.25

T = TypeVar("T")
Handler = Callable[["Link", Any], Awaitable[Any]]


class LinkOwner(Protocol):
    """What a link needs of the RPC end point that it belongs to."""

    handlers: dict[type, Handler]
    admissions: dict[int, FrameAdmission]  # by message number
    links: set[Link]
    sent: Counter[type]
    received: Counter[type]

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine in the background."""


class Link(asyncio.Protocol):
    """One connection. Both ends send calls over it, regardless of which end opened it."""

    def __init__(self, endpoint: LinkOwner, address: str = "") -> None:
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
            future.set_result(to_failure(value) if isinstance(value, FailureReply) else value)

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
