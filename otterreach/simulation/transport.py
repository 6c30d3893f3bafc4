"""A simulated TCP connection: its two directions and the asyncio transport at each end."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from otterreach.simulation.loop import Process, VirtualLoop

USER_TIMEOUT_S = 1.5  # equals the TCP user timeout set by otterreach.runtime.rpc
UNSENT_S = 0.003  # bytes written less than this before a late freeze have not reached the kernel
MAX_RETRANSMIT_S = 0.25  # maximum time from the healing of a partition to the retransmission of blocked bytes


@dataclass(slots=True, eq=False)
class Chunk:
    """Bytes in flight."""

    data: bytes | None  # None: end of stream
    sent_at: float
    delivered: bool = False
    held: bool = False  # the sender was frozen before the kernel received it


class Machine:
    """A machine at one address; `incarnation` is incremented each time it loses power."""

    def __init__(self, ip: str, zone: str = "") -> None:
        self.ip = ip
        self.zone = zone
        self.powered = True
        self.incarnation = 0


class Medium(Protocol):
    """The part of the network that a connection uses."""

    loop: VirtualLoop
    random: Random
    stuck: list[tuple[Flow, Chunk]]

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        """Call back after `seconds` of virtual time, even while processes are frozen."""

    def delay(self, source: Machine, target: Machine) -> float:
        """Draw the delay of a packet, in seconds."""

    def path(self, source: Machine, target: Machine) -> bool:
        """Return True if packets currently get from `source` to `target`."""

    def refuse(self, source: Transport, target: Transport) -> None:
        """Send a reset from one end of a connection to the other."""


class Flow:
    """One direction of a connection, with its unacknowledged bytes."""

    def __init__(self, network: Medium, source: Transport, target: Transport) -> None:
        self.network = network
        self.source = source
        self.target = target
        self.chunks: deque[Chunk] = deque()  # not yet acknowledged
        self.last_at = 0.0
        self._user_timeout_set = False

    def send(self, data: bytes | None) -> None:
        """Send bytes, or the end of the stream (None)."""
        net = self.network
        chunk = Chunk(data, net.loop.time())
        self.chunks.append(chunk)
        self._schedule(chunk, net.delay(self.source.machine, self.target.machine))
        if not self._user_timeout_set:
            self._user_timeout_set = True
            net.later(USER_TIMEOUT_S, self._check_user_timeout)

    def _schedule(self, chunk: Chunk, delay: float) -> None:
        now = self.network.loop.time()
        # strictly increasing, as timers with equal times may run in any order
        self.last_at = max(self.last_at + 1e-6, now + delay)
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
        """Hold back the bytes just written: the sender is frozen before the kernel receives them."""
        for chunk in self.chunks:
            chunk.held = chunk.held or not chunk.delivered and self.network.loop.time() - chunk.sent_at < UNSENT_S

    def retransmit(self, chunk: Chunk) -> None:
        """Retransmit a blocked chunk."""
        if chunk.held and not self.source.process.frozen:
            chunk.held, chunk.sent_at = False, self.network.loop.time()
        self._schedule(chunk, self.network.random.uniform(0.0, MAX_RETRANSMIT_S))

    def _check_user_timeout(self) -> None:
        """Lose the connection if its oldest bytes were not acknowledged within the TCP user timeout."""
        self._user_timeout_set = False
        if not self.chunks or self.source.lost:
            return
        first = self.chunks[0]
        waits = first.held and self.source.process.frozen  # the kernel has not received it yet
        left = USER_TIMEOUT_S if waits else first.sent_at + USER_TIMEOUT_S - self.network.loop.time()
        if left <= 1e-6:
            self.source.lose(TimeoutError("user timeout"))
        else:
            self._user_timeout_set = True
            self.network.later(left, self._check_user_timeout)

    @property
    def size(self) -> int:
        """Number of bytes that have not been delivered yet."""
        return sum(len(c.data) for c in self.chunks if c.data is not None and not c.delivered)


NEVER_READABLE_FD, _WRITE_END = os.pipe()  # a descriptor that is never readable, for code that polls a virtual socket


class Socket:
    """The methods of a socket that the code under test uses."""

    def __init__(self, address: tuple[str, int], transport: Transport | None = None) -> None:
        self.address = address
        self.transport = transport

    def setsockopt(self, *_: Any) -> None:
        """Ignore the option."""
        pass

    def fileno(self) -> int:
        """Return a descriptor that is never readable."""
        return NEVER_READABLE_FD

    def shutdown(self, _: int) -> None:
        """Send the end of the stream."""
        if self.transport is not None:
            self.transport.write_eof()

    def getsockname(self) -> tuple[str, int]:
        """Return the address."""
        return self.address

    def getpeername(self) -> tuple[str, int]:
        """Return the address."""
        return self.address


class Transport(asyncio.Transport):
    """One end of a connection.

    It has more than 20 methods because the asyncio transport interface requires most of them.
    """

    def __init__(self, network: Medium, machine: Machine, process: Process, incarnation: int) -> None:
        super().__init__()
        self.network = network
        self.machine = machine
        self.process = process
        self.incarnation = incarnation
        self.protocol: Any = None
        self.out: Flow
        self.lost = False  # connection_lost has been called or scheduled
        self.reset = False  # bytes in flight are lost as well
        self.closing = False
        self.ended = False  # the other end has sent the end of its stream
        self._paused = False
        self._unread: list[bytes | None] = []

    @property
    def gone(self) -> bool:
        """True if this end can no longer receive bytes."""
        return self.lost or self.process.dead or self.incarnation != self.machine.incarnation

    @property
    def can_send(self) -> bool:
        """True if the kernel of this end still has its send buffer, that is, its machine has not lost power since."""
        return self.incarnation == self.machine.incarnation and self.machine.powered

    def accept(self, factory: Callable[[], Any]) -> None:
        """Accept the connection: create the protocol of this end and call its `connection_made`."""
        self.protocol = factory()
        self.protocol.connection_made(self)

    def arrived(self, data: bytes | None) -> None:
        """Receive bytes, or the end of the stream (None)."""
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
        """End this side of the connection and schedule `connection_lost`."""
        if not self.lost:
            self.lost = True
            self.closing = True
            self.network.loop.call_as(self.process, self._connection_lost, error)

    def _connection_lost(self, error: Exception | None) -> None:
        if self.protocol is not None:
            self.protocol.connection_lost(error)

    def write(self, data: Any) -> None:
        """Send bytes; dropped after the connection is closed."""
        if data and not self.closing and not self.process.dead:
            self.out.send(bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        """Send several pieces of bytes at once."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """Send the end of the stream."""
        if not self.closing:
            self.out.send(None)

    def can_write_eof(self) -> bool:
        """Return True, as TCP does."""
        return True

    def close(self) -> None:
        """Close after the written bytes have been sent."""
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
        """Return True if the transport is closed or closing."""
        return self.closing

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket or one of the two addresses."""
        own = (self.machine.ip, 40_000)
        other = (self.out.target.machine.ip, 40_001)
        known = {"socket": Socket(own, self), "sockname": own, "peername": other}
        return known.get(name, default)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that have not been delivered yet."""
        return self.out.size

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits: the write buffer is unbounded."""
        pass

    def pause_reading(self) -> None:
        """Buffer received bytes instead of passing them to the protocol."""
        self._paused = True

    def resume_reading(self) -> None:
        """Pass the buffered bytes to the protocol."""
        self._paused = False
        unread = self._unread
        self._unread = []
        for data in unread:
            self.network.loop.call_as(self.process, self._take, data)

    def is_reading(self) -> bool:
        """Return True if reading is not paused."""
        return not self._paused

    def get_protocol(self) -> Any:
        """Return the protocol of this end."""
        return self.protocol

    def set_protocol(self, protocol: Any) -> None:
        """Replace the protocol of this end."""
        self.protocol = protocol
