"""A simulated network and simulated disks in one process: fakes of Endpoint and Journal of otterreach.runtime.

The network has links with delays, network partitions and frozen machines. On a power failure a journal loses what was
not synced.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from otterreach.runtime.codec import NUMBERS, decode, encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal import LiveSlices
from otterreach.runtime.journal_format import pack, scan
from otterreach.runtime.rpc_messages import Done

DELAY_S = 0.001
CONNECT_S = 0.5


class Net:
    """All machines, by address. Disconnected pairs can't reach each other; frozen machines can't reach any other."""

    def __init__(self, random: Random | None = None) -> None:
        self.random = random or Random(1)
        self.endpoints: dict[str, VirtualEndpoint] = {}
        self.disconnected: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.bandwidth: dict[str, float] = {}  # by address: bytes per second of a machine's link, if limited
        self.sent: dict[str, int] = {}  # by address: bytes sent to the machine
        self._held: list[tuple[VirtualLink, Callable[[], None]]] = []

    def blocked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.disconnected or one in self.frozen or other in self.frozen

    def later(self, link: VirtualLink, act: Callable[[], None], size: int = 0) -> None:
        """Run `act` at the other end of the link after its delay, in order, once the two ends are connected."""
        loop = asyncio.get_running_loop()
        due = max(loop.time() + DELAY_S * self.random.uniform(0.5, 1.5), link.busy_until)
        due += max(
            (size / self.bandwidth[end] for end in (link.endpoint.address, link.to) if end in self.bandwidth),
            default=0.0,
        )
        self.sent[link.to] = self.sent.get(link.to, 0) + size
        link.busy_until = due + 1e-6
        loop.call_at(due, self._arrive, link, act)

    def _arrive(self, link: VirtualLink, act: Callable[[], None]) -> None:
        waits = any(held is link for held, _ in self._held)
        if waits or self.blocked(link.endpoint.address, link.to):
            self._held.append((link, act))
        else:
            act()

    def release_held(self) -> None:
        """Deliver the held messages whose ends are connected again."""
        held, self._held = self._held, []
        for link, act in held:
            if self.blocked(link.endpoint.address, link.to):
                self._held.append((link, act))
            else:
                self.later(link, act)

    def disconnect(self, one: str, other: str) -> None:
        self.disconnected.add(frozenset((one, other)))

    def reconnect(self) -> None:
        self.disconnected.clear()
        self.release_held()

    def freeze(self, address: str) -> None:
        """Hold all messages from and to this address until `thaw`."""
        self.frozen.add(address)

    def thaw(self, address: str) -> None:
        self.frozen.discard(address)
        self.release_held()


class VirtualLink:
    """One end of a connection."""

    def __init__(self, endpoint: VirtualEndpoint, address: str, to: str) -> None:
        self.endpoint, self.address, self.to = endpoint, address, to
        self.other: VirtualLink | None = None
        self.peer = ""
        self.closed = False
        self.busy_until = 0.0
        self.on_close: list[Callable[[Any], None]] = []
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._next = 0

    def send(self, value: Any) -> None:
        self._write(0, value, False)

    def _write(self, call: int, value: Any, reply: bool) -> None:
        other = self.other
        if self.closed or other is None:
            return
        size = 0
        if not isinstance(value, Failure):
            body = encode(value)
            size = len(body)
            value = decode(NUMBERS[type(value)], body)
        self.endpoint.net.later(self, lambda: other.take(call, value, reply), size)

    def take(self, call: int, value: Any, reply: bool) -> None:
        if self.closed:
            return
        if reply:
            future = self._calls.pop(call, None)
            if future and not future.done():
                future.set_result(value)
            return
        handler = self.endpoint.handlers.get(type(value))
        if handler:
            self.endpoint.spawn(self._serve(handler, call, value))
        elif call:
            self._write(call, Failure(Code.NO_HANDLER, type(value).__name__), True)

    async def _serve(self, handler: Callable[[Any, Any], Awaitable[Any]], call: int, value: Any) -> None:
        reply = await handler(self, value)
        if call:
            self._write(call, Done() if reply is None else reply, True)

    async def call(self, value: Any, timeout_s: float) -> Any:
        if self.closed:
            return Failure(Code.UNREACHABLE, "connection closed")
        self._next += 1
        number = self._next
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        self._write(number, value, False)
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

    def abort(self) -> None:
        """Close this end now, and the other end after the link's delay."""
        if self.closed:
            return
        if self.other:
            self.endpoint.net.later(self, self.other.lost)
        self.lost()

    def lost(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.endpoint.links.discard(self)
        for future in self._calls.values():
            if not future.done():
                future.set_result(Failure(Code.CLOSED, "connection closed"))
        self._calls.clear()
        for listener in list(self.on_close):
            listener(self)


class VirtualEndpoint:
    """A fake of otterreach.runtime.rpc.Endpoint."""

    def __init__(self, net: Net, address: str) -> None:
        self.net, self.address = net, address
        self.handlers: dict[type, Any] = {}
        self.links: set[VirtualLink] = set()
        self.failures: list[BaseException] = []
        self.down = False
        self._opened: dict[str, VirtualLink] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        net.endpoints[address] = self

    def on(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.failures.append(error)

    def open_link(self, address: str) -> VirtualLink | None:
        link = self._opened.get(address)
        return link if link and not link.closed else None

    async def link(self, address: str) -> VirtualLink | Failure:
        found = self.open_link(address)
        if found:
            return found
        await asyncio.sleep(2 * DELAY_S)
        if self.net.blocked(self.address, address):
            await asyncio.sleep(CONNECT_S)
            return Failure(Code.UNREACHABLE, address)
        there = self.net.endpoints.get(address)
        if there is None or there.down or self.down:
            return Failure(Code.UNREACHABLE, address)
        if found := self.open_link(address):
            return found
        here, far = VirtualLink(self, address, address), VirtualLink(there, "", self.address)
        here.other, far.other = far, here
        self.links.add(here)
        there.links.add(far)
        self._opened[address] = here
        return here

    async def call(self, address: str, value: Any, timeout_s: float) -> Any:
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        link = await self.link(address)
        if isinstance(link, Failure):
            return link
        reply = await link.call(value, max(0.001, end - loop.time()))
        if isinstance(reply, Failure) and reply.code is Code.TIMED_OUT and self._opened.get(address) is link:
            del self._opened[address]
        return reply

    def kill(self, silent: bool = False) -> None:
        """End the process. With `silent`, as on a power failure, the peers' connections are not closed."""
        self.down = True
        for task in list(self._tasks):
            task.cancel()
        for link in list(self.links):
            if silent:
                link.lost()
            else:
                link.abort()


class VirtualDisk:
    """The file of a journal. Its first `synced` bytes survive a power failure."""

    def __init__(self) -> None:
        self.data = b""
        self.synced = 0
        self.stalled = False  # syncs don't complete while it is True
        self.full = False  # writes fail while it is True

    def lose_power(self, random: Random) -> None:
        """Lose a random part of what was not synced; the last record that remains may be torn."""
        self.data = self.data[: random.randint(self.synced, len(self.data))]
        self.synced = len(self.data)


class VirtualJournal:
    """A fake of otterreach.runtime.journal.Journal on a VirtualDisk."""

    def __init__(self, disk: VirtualDisk, sync_s: float = 0.002) -> None:
        self.disk, self.sync_s = disk, sync_s
        self.failed: Failure | None = None
        self.size = len(disk.data)
        self._pending: list[bytes] = []
        self._waiting: list[asyncio.Future[bool]] = []
        self._flushing: asyncio.Task[None] | None = None
        self._copied: list[bytes] | None = None  # records of the rewrite in progress
        self.slice_s = 0.0  # duration of each slice of a rewrite

    def read(self) -> list[tuple[int, bytes]]:
        records, end = scan(self.disk.data)
        self.disk.data = self.disk.data[:end]
        self.disk.synced = self.size = end
        return records

    def append(self, kind: int, payload: bytes) -> None:
        record = pack(kind, payload, self.disk.synced)
        self._pending.append(record)
        self.size += len(record)
        if self._copied is not None:
            self._copied.append(pack(kind, payload, 0))

    async def sync(self) -> bool:
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.ensure_future(self._flush())
        return await future

    async def _flush(self) -> None:
        while self._waiting:
            waiting, self._waiting = self._waiting, []
            disk = self.disk
            while disk.stalled:
                await asyncio.sleep(0.01)
            if disk.full and self._pending:
                self.failed = Failure(Code.DISK_FAILED, "no space left on device")
            if self.failed is not None:
                self._resolve(waiting)
                continue
            disk.data += b"".join(self._pending)
            self._pending.clear()
            end = len(disk.data)
            await asyncio.sleep(self.sync_s)
            disk.synced = end
            self._resolve(waiting)

    def _resolve(self, waiting: list[asyncio.Future[bool]]) -> None:
        for future in waiting:
            if not future.done():
                future.set_result(self.failed is None)

    async def rewrite(self, live: LiveSlices) -> bool:
        """Write the slices, with the records that are appended in between, then replace the file."""
        self._copied = []
        for part in live():
            self._copied += [pack(kind, payload, 0) for kind, payload in part]
            await asyncio.sleep(self.slice_s)
        while self._flushing and not self._flushing.done():
            await asyncio.shield(self._flushing)
        records, self._copied = self._copied, None
        self._pending.clear()
        self.disk.data = b"".join(records)
        self.disk.synced = self.size = len(self.disk.data)
        return True

    def kill(self) -> None:
        """End the process: no further write reaches the disk."""
        if self._flushing:
            self._flushing.cancel()
        self.disk = VirtualDisk()
