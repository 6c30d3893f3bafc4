"""Remote procedure calls between the processes of the system over TCP.

A pair of processes shares one connection, which multiplexes calls in both directions; a long message has its own. A
call gets one reply or a Failure; a one-way message gets no reply.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from otterreach.runtime.codec import NUMBERS, ReplyT, Request
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.frame_admission import FrameAdmission
from otterreach.runtime.log import log
from otterreach.runtime.rpc_link import Handler, Link

LONG_BODY_BYTES = 1024 * 1024  # of a caller; a message that passes on a longer one has a connection of its own
CONNECT_TIMEOUT_S = 0.5
MIN_CALL_S = 0.001  # lower bound of the time left for a call after connecting
LISTEN_BACKLOG = 256

T = TypeVar("T")
MessageT = TypeVar("MessageT")


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
