"""An event loop on virtual time, which advances only when no task can run, and an in-memory network on that time."""

from __future__ import annotations

import asyncio
import os
import selectors
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

T = TypeVar("T")
LATENCY_S = 0.001


class _Selector(selectors.DefaultSelector):
    """A selector that advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: no task can run and no timer is scheduled")
        self.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now

    def freeze(self, seconds: float) -> None:
        """Simulate a frozen process: advance the time without running anything."""
        self._virtual.now += seconds


class MemoryLoop(VirtualLoop):
    """A loop whose listeners and connections are in memory.

    `dark` has the addresses that never answer a connection attempt; `opened` counts the connections.
    """

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


NO_SOCKET_FD = os.open(os.devnull, os.O_RDONLY)


class _Listener:
    """The server object that create_server returns."""

    def __init__(self, loop: MemoryLoop, address: tuple[str, int]) -> None:
        self._memory, self._address = loop, address
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def setsockopt(self, *_: int) -> None:
        """Connections in memory have no buffers of a kernel."""

    def fileno(self) -> int:
        """Return a descriptor that is no socket: connections in memory have no queue of a kernel."""
        return NO_SOCKET_FD

    def close(self) -> None:
        self._memory.listeners.pop(self._address, None)


def run(main: Callable[[], Awaitable[T]], loop: VirtualLoop | None = None) -> T:
    """Run a coroutine to its end in virtual time."""
    loop = loop or VirtualLoop()
    asyncio.set_event_loop(loop)

    async def body() -> T:
        return await main()

    try:
        return loop.run_until_complete(body())
    finally:
        while tasks := asyncio.all_tasks(loop):  # a task may start another one when it ends
            for task in tasks:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()


class MemoryTransport(asyncio.Transport):
    """One end of a connection; written data reaches the protocol at the other end after LATENCY_S, in order."""

    def __init__(self, protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.protocol: Any = protocol
        self.other: MemoryTransport | None = None
        self.closing = False
        self.ended = False
        self.dark = False  # a dark connection delivers nothing any more
        self.loop = asyncio.get_running_loop()
        self._incoming: deque[bytes | Exception | None] = deque()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def write(self, data: Any) -> None:
        if not self.closing:
            self._send_to_other(bytes(data))

    def _send_to_other(self, event: bytes | Exception | None) -> None:
        """Send data or the end of the connection to the other end.

        Timers of the same time run in arbitrary order, so a queue preserves the order of the events.
        """
        if self.other:
            self.other._incoming.append(event)
            self.loop.call_later(LATENCY_S, self.other._deliver)

    def _deliver(self) -> None:
        event = self._incoming.popleft()
        if not isinstance(event, bytes):
            self._lost(event)
        elif not self.closing and not self.dark and not (self.other and self.other.dark):
            self.protocol.data_received(event)

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
            self._send_to_other(error)

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
    """Connect two protocols to each other."""
    a, b = MemoryTransport(here), MemoryTransport(there)
    a.other, b.other = b, a
    there.connection_made(b)
    here.connection_made(a)
    return a, b
