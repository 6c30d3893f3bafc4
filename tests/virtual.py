"""A loop whose time passes only when nothing is left to do, and a network in memory that takes that time."""

from __future__ import annotations

import asyncio
import selectors
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

T = TypeVar("T")
LATENCY_S = 0.001


class _Selector(selectors.DefaultSelector):
    """Waits by moving the loop's time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now

    def stand_still(self, seconds: float) -> None:
        """The process is frozen for a while: time passes and nothing runs."""
        self._virtual.now += seconds


class MemoryLoop(VirtualLoop):
    """A loop whose listeners and connections are in memory. `dark`: addresses that never answer a connection."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[tuple[str, int], Callable[[], asyncio.BaseProtocol]] = {}
        self.dark: set[tuple[str, int]] = set()
        self.opened = 0

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        await asyncio.sleep(LATENCY_S)
        if (host, port) in self.dark:
            await asyncio.sleep(3600)
        listener = self.listeners.get((host, port))
        if listener is None:
            raise ConnectionRefusedError(111, f"{host}:{port}")
        self.opened += 1
        here = protocol_factory()
        near, _far = connect(here, listener())
        return near, here

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        self.listeners[(host, port)] = protocol_factory
        return _Listener(self, (host, port))


class _Listener:
    """What create_server gives."""

    def __init__(self, loop: MemoryLoop, address: tuple[str, int]) -> None:
        self._memory, self._address = loop, address
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def close(self) -> None:
        self._memory.listeners.pop(self._address, None)


def run(main: Callable[[], Awaitable[T]], loop: VirtualLoop | None = None) -> T:
    """Run to the end in virtual time."""
    loop = loop or VirtualLoop()
    asyncio.set_event_loop(loop)

    async def body() -> T:
        return await main()

    try:
        return loop.run_until_complete(body())
    finally:
        while tasks := asyncio.all_tasks(loop):  # the end of one may begin another
            for task in tasks:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()


class MemoryTransport(asyncio.Transport):
    """One end of a connection; what is written reaches the other end's protocol a latency later, in order."""

    def __init__(self, protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.protocol: Any = protocol
        self.other: MemoryTransport | None = None
        self.closing = False
        self.ended = False
        self.dark = False  # nothing comes through any more
        self.loop = asyncio.get_running_loop()
        self._coming: deque[bytes | Exception | None] = deque()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def write(self, data: Any) -> None:
        if not self.closing:
            self._to_other(bytes(data))

    def _to_other(self, what: bytes | Exception | None) -> None:
        """Danger: timers of the same moment run in any order; the queue keeps it."""
        if self.other:
            self.other._coming.append(what)
            self.loop.call_later(LATENCY_S, self.other._arrive)

    def _arrive(self) -> None:
        what = self._coming.popleft()
        if not isinstance(what, bytes):
            self._lost(what)
        elif not self.closing and not self.dark and not (self.other and self.other.dark):
            self.protocol.data_received(what)

    def _lost(self, error: Exception | None) -> None:
        if not self.ended:
            self.ended = self.closing = True
            self.protocol.connection_lost(error)

    def _end(self, error: Exception | None) -> None:
        if self.closing:
            return
        self.closing = True
        self.loop.call_soon(self._lost, None)
        if not self.dark:
            self._to_other(error)

    def close(self) -> None:
        self._end(None)

    def abort(self) -> None:
        self._end(ConnectionResetError())

    def can_write_eof(self) -> bool:
        return False

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


def connect(here: asyncio.BaseProtocol, there: asyncio.BaseProtocol) -> tuple[MemoryTransport, MemoryTransport]:
    """Join two protocols by a connection."""
    a, b = MemoryTransport(here), MemoryTransport(there)
    a.other, b.other = b, a
    there.connection_made(b)
    here.connection_made(a)
    return a, b
