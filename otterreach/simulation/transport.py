"""One simulated TCP connection: its two directions, and the asyncio transport at each end."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from otterreach.simulation.loop import Process, VirtualLoop

USER_TIMEOUT_S = 1.5  # as otterreach.runtime.rpc sets it
HOLD_S = 0.003
RETRANSMIT_S = 0.25  # a held-up byte comes so long after the cut has healed, at most


@dataclass(slots=True, eq=False)
class Chunk:
    """Bytes on their way."""

    data: bytes | None  # None: the end of what is sent
    sent_at: float
    delivered: bool = False
    held: bool = False  # its sender was frozen before the kernel had it


class Machine:
    """One address of the network; `life` rises each time it loses power."""

    def __init__(self, ip: str, zone: str = "") -> None:
        self.ip = ip
        self.zone = zone
        self.powered = True
        self.incarnation = 0


class Medium(Protocol):
    """What a connection needs of the network that carries it."""

    loop: VirtualLoop
    random: Random
    stuck: list[tuple[Flow, Chunk]]

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        """Call back after `seconds` of virtual time, also while processes are frozen."""

    def delay(self, source: Machine, target: Machine) -> float:
        """Draw how long a packet takes, in seconds."""

    def path(self, source: Machine, target: Machine) -> bool:
        """Whether packets get from one to the other now."""

    def refuse(self, source: Transport, target: Transport) -> None:
        """Send a reset from one end to the other."""


class Flow:
    """One direction of a connection."""

    def __init__(self, network: Medium, source: Transport, target: Transport) -> None:
        self.network = network
        self.source = source
        self.target = target
        self.chunks: deque[Chunk] = deque()  # not yet acknowledged
        self.last_at = 0.0
        self._watching = False

    def send(self, data: bytes | None) -> None:
        """Bytes leave this end."""
        net = self.network
        chunk = Chunk(data, net.loop.time())
        self.chunks.append(chunk)
        self._schedule(chunk, net.delay(self.source.machine, self.target.machine))
        if not self._watching:
            self._watching = True
            net.later(USER_TIMEOUT_S, self._watch)

    def _schedule(self, chunk: Chunk, delay: float) -> None:
        now = self.network.loop.time()
        self.last_at = max(self.last_at + 1e-6, now + delay)  # equal times would not keep their order
        self.network.later(self.last_at - now, self._arrive, chunk)

    def _arrive(self, chunk: Chunk) -> None:
        net = self.network
        source = self.source
        target = self.target
        if source.reset or chunk not in self.chunks or not chunk.delivered and not source.can_send:
            return
        if not chunk.delivered:
            waits = any(not c.delivered for c in self._before(chunk)) or chunk.held and source.process.frozen
            if waits or not net.path(source.machine, target.machine):
                net.stuck.append((self, chunk))
                return
            chunk.delivered = True
            if target.gone:
                net.refuse(target, source)
                return
            target.arrived(chunk.data)
        if net.path(target.machine, source.machine):
            self.chunks.remove(chunk)
        else:
            net.stuck.append((self, chunk))

    def _before(self, chunk: Chunk) -> list[Chunk]:
        earlier = list(self.chunks)
        return earlier[: earlier.index(chunk)]

    def hold(self) -> None:
        """The sender is frozen right before it hands over what it sends at this moment."""
        for chunk in self.chunks:
            chunk.held = chunk.held or not chunk.delivered and self.network.loop.time() - chunk.sent_at < HOLD_S

    def again(self, chunk: Chunk) -> None:
        """Send a chunk again that was held up."""
        if chunk.held and not self.source.process.frozen:
            chunk.held, chunk.sent_at = False, self.network.loop.time()
        self._schedule(chunk, self.network.random.uniform(0.0, RETRANSMIT_S))

    def _watch(self) -> None:
        """The sender's user timeout."""
        self._watching = False
        if not self.chunks or self.source.lost:
            return
        first = self.chunks[0]
        waits = first.held and self.source.process.frozen  # the kernel does not have it yet
        left = USER_TIMEOUT_S if waits else first.sent_at + USER_TIMEOUT_S - self.network.loop.time()
        if left <= 1e-6:
            self.source.lose(TimeoutError("user timeout"))
        else:
            self._watching = True
            self.network.later(left, self._watch)

    @property
    def size(self) -> int:
        """Bytes that have not arrived yet."""
        return sum(len(c.data) for c in self.chunks if c.data is not None and not c.delivered)


QUIET, _OPEN = os.pipe()  # never readable: what polls a virtual socket finds nothing


class Socket:
    """What the code asks of a socket."""

    def __init__(self, address: tuple[str, int], transport: Transport | None = None) -> None:
        self.address = address
        self.transport = transport

    def setsockopt(self, *_: Any) -> None:
        """Options change nothing here."""
        pass

    def fileno(self) -> int:
        """A descriptor that is never readable."""
        return QUIET

    def shutdown(self, _: int) -> None:
        """End this side."""
        if self.transport is not None:
            self.transport.write_eof()

    def getsockname(self) -> tuple[str, int]:
        """The own address."""
        return self.address

    def getpeername(self) -> tuple[str, int]:
        """The other address."""
        return self.address


class Transport(asyncio.Transport):
    """One end of a connection.

    More than 20 methods: asyncio asks for most of them.
    """

    def __init__(self, network: Medium, machine: Machine, process: Process, incarnation: int) -> None:
        super().__init__()
        self.network = network
        self.machine = machine
        self.process = process
        self.incarnation = incarnation
        self.protocol: Any = None
        self.out: Flow
        self.lost = False  # connection_lost has been called or is on its way
        self.reset = False  # what was in flight is lost too
        self.closing = False
        self.ended = False  # the other end has ended its half
        self._paused = False
        self._unread: list[bytes | None] = []

    @property
    def gone(self) -> bool:
        """Whether nobody is there any more to take bytes."""
        return self.lost or self.process.dead or self.incarnation != self.machine.incarnation

    @property
    def can_send(self) -> bool:
        """Whether the kernel of this end still has what it was to send."""
        return self.incarnation == self.machine.incarnation and self.machine.powered

    def accept(self, factory: Callable[[], Any]) -> None:
        """Begin to serve: make the protocol of this end and tell it so."""
        self.protocol = factory()
        self.protocol.connection_made(self)

    def arrived(self, data: bytes | None) -> None:
        """Bytes have come, or the end (None)."""
        self.network.loop.call_as(self.process, self._take, data)

    def _take(self, data: bytes | None) -> None:
        if self.lost or self.protocol is None:
            return
        if self._paused:
            self._unread.append(data)
        elif data is None:
            self.ended = True
            if not self.protocol.eof_received():
                self.close()
        elif not self.closing:
            self.protocol.data_received(data)

    def lose(self, error: Exception | None) -> None:
        """This end is over."""
        if not self.lost:
            self.lost = True
            self.closing = True
            self.network.loop.call_as(self.process, self._ended, error)

    def _ended(self, error: Exception | None) -> None:
        if self.protocol is not None:
            self.protocol.connection_lost(error)

    def write(self, data: Any) -> None:
        """Send bytes."""
        if data and not self.closing and not self.process.dead:
            self.out.send(bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        """Send bytes."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """End this side."""
        if not self.closing:
            self.out.send(None)

    def can_write_eof(self) -> bool:
        """Always, as with TCP."""
        return True

    def close(self) -> None:
        """Close after what was written has been sent."""
        if not self.closing:
            self.out.send(None)
            self.closing = True
            self.lose(None)

    def abort(self) -> None:
        """Close with a reset."""
        if not self.lost or not self.reset:
            self.reset = True
            self.closing = True
            self.network.refuse(self, self.out.target)
            self.lose(None)

    def is_closing(self) -> bool:
        """Whether it is closed or closing."""
        return self.closing

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The socket and both addresses."""
        own = (self.machine.ip, 40_000)
        other = (self.out.target.machine.ip, 40_001)
        known = {"socket": Socket(own, self), "sockname": own, "peername": other}
        return known.get(name, default)

    def get_write_buffer_size(self) -> int:
        """Bytes that have not arrived yet."""
        return self.out.size

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Buffers have no limit here."""
        pass

    def pause_reading(self) -> None:
        """Keep what comes."""
        self._paused = True

    def resume_reading(self) -> None:
        """Hand over what came meanwhile."""
        self._paused = False
        unread = self._unread
        self._unread = []
        for data in unread:
            self.network.loop.call_as(self.process, self._take, data)

    def is_reading(self) -> bool:
        """Whether reading is not paused."""
        return not self._paused

    def get_protocol(self) -> Any:
        """The protocol of this end."""
        return self.protocol

    def set_protocol(self, protocol: Any) -> None:
        """Replace the protocol of this end."""
        self.protocol = protocol
