"""TCP between the machines of a simulation, in memory: delay, cuts (of one direction too), resets, lost power.

What a real kernel would do is kept: a frozen process' connections stay up and take bytes; bytes held up by a cut come
when it heals, or their sender gives up; a machine without power says nothing; a port nobody listens at refuses.
"""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass
from random import Random
from typing import Any

from otterreach.simulation.loop import Process, VirtualLoop

USER_TIMEOUT_S = 1.5  # as otterreach.runtime.rpc sets it
SYN_AGAIN_S = 1.0
HOLD_S = 0.003
RETRANSMIT_S = 0.25  # a held-up byte comes so long after the cut has healed, at most


@dataclass(slots=True, eq=False)
class Chunk:
    data: bytes | None  # None: the end of what is sent
    sent_at: float
    delivered: bool = False
    held: bool = False  # its sender was frozen before the kernel had it


class Flow:
    """One direction of a connection."""

    def __init__(self, network: Network, source: Transport, target: Transport) -> None:
        self.network, self.source, self.target = network, source, target
        self.chunks: deque[Chunk] = deque()  # not yet acknowledged
        self.last_at = 0.0
        self._watching = False

    def send(self, data: bytes | None) -> None:
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
        net, source, target = self.network, self.source, self.target
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
        return sum(len(c.data) for c in self.chunks if c.data is not None and not c.delivered)


QUIET, _OPEN = os.pipe()  # never readable: what polls a virtual socket finds nothing


class Socket:
    """What the code asks of a socket."""

    def __init__(self, address: tuple[str, int], transport: Transport | None = None) -> None:
        self.address, self.transport = address, transport

    def setsockopt(self, *_: Any) -> None:
        pass

    def fileno(self) -> int:
        return QUIET

    def shutdown(self, _: int) -> None:
        if self.transport is not None:
            self.transport.write_eof()

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def getpeername(self) -> tuple[str, int]:
        return self.address


class Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: Network, machine: Machine, process: Process, life: int) -> None:
        super().__init__()
        self.network, self.machine, self.process, self.life = network, machine, process, life
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
        return self.lost or self.process.dead or self.life != self.machine.life

    @property
    def can_send(self) -> bool:
        """Whether the kernel of this end still has what it was to send."""
        return self.life == self.machine.life and self.machine.powered

    def accept(self, server: Server) -> None:
        self.protocol = server.factory()
        self.protocol.connection_made(self)

    def arrived(self, data: bytes | None) -> None:
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
            self.lost = self.closing = True
            self.network.loop.call_as(self.process, self._ended, error)

    def _ended(self, error: Exception | None) -> None:
        if self.protocol is not None:
            self.protocol.connection_lost(error)

    def write(self, data: Any) -> None:
        if data and not self.closing and not self.process.dead:
            self.out.send(bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        if not self.closing:
            self.out.send(None)

    def can_write_eof(self) -> bool:
        return True

    def close(self) -> None:
        if not self.closing:
            self.out.send(None)
            self.closing = True
            self.lose(None)

    def abort(self) -> None:
        if not self.lost or not self.reset:
            self.reset = self.closing = True
            self.network.refuse(self, self.out.target)
            self.lose(None)

    def is_closing(self) -> bool:
        return self.closing

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        own, other = (self.machine.ip, 40_000), (self.out.target.machine.ip, 40_001)
        known = {"socket": Socket(own, self), "sockname": own, "peername": other}
        return known.get(name, default)

    def get_write_buffer_size(self) -> int:
        return self.out.size

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        self._paused = False
        unread, self._unread = self._unread, []
        for data in unread:
            self.network.loop.call_as(self.process, self._take, data)

    def is_reading(self) -> bool:
        return not self._paused

    def get_protocol(self) -> Any:
        return self.protocol

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol


def in_any_order(held: list[asyncio.Handle], random: Random) -> list[asyncio.Handle]:
    """What a process that stood still does first: what had become ready before, then what came on its connections, in
    order on each but not among them, then its timers."""
    ready: list[asyncio.Handle] = []
    timers: list[asyncio.Handle] = []
    arrived: dict[Transport, deque[asyncio.Handle]] = {}
    for handle in held:
        transport = getattr(handle._callback, "__self__", None)  # type: ignore[attr-defined]
        if isinstance(handle, asyncio.TimerHandle):
            timers.append(handle)
        elif isinstance(transport, Transport):
            arrived.setdefault(transport, deque()).append(handle)
        else:
            ready.append(handle)
    while arrived:
        transport = random.choice(list(arrived))
        ready.append(arrived[transport].popleft())
        if not arrived[transport]:
            del arrived[transport]
    return ready + timers


class Machine:
    """An address; `life` rises with each loss of power."""

    def __init__(self, ip: str, zone: str = "") -> None:
        self.ip, self.zone = ip, zone
        self.powered = True
        self.life = 0


class Server:
    """What create_server gives."""

    def __init__(
        self, network: Network, process: Process, factory: Callable[[], Any], address: tuple[str, int]
    ) -> None:
        self.network, self.process, self.factory = network, process, factory
        self.sockets = [Socket(address)]
        self.open = True

    def close(self) -> None:
        self.open = False

    def is_serving(self) -> bool:
        return self.open

    async def wait_closed(self) -> None:
        pass


class Network:
    """All machines and what is between them."""

    def __init__(self, loop: VirtualLoop, random: Random, delay_s: tuple[float, float] = (0.0003, 0.002)) -> None:
        self.loop, self.random, self.delay_s = loop, random, delay_s
        loop.network = self
        self.machines: dict[str, Machine] = {}
        self.servers: dict[tuple[str, int], Server] = {}
        self.transports: list[Transport] = []
        self.cuts: set[tuple[str, str]] = set()  # (from, to) by ip
        self.slow: dict[str, float] = {}  # seconds more, by ip
        self.stuck: list[tuple[Flow, Chunk]] = []
        self._context = Context()  # nobody's: kernels go on while processes stand still

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        self.loop.call_later(max(0.0, seconds), callback, *args, context=self._context)

    def machine(self, ip: str) -> Machine:
        return self.machines.setdefault(ip, Machine(ip))

    def delay(self, source: Machine, target: Machine) -> float:
        more = self.slow.get(source.ip, 0.0) + self.slow.get(target.ip, 0.0)
        return self.random.uniform(*self.delay_s) + more

    def path(self, source: Machine, target: Machine) -> bool:
        """Whether packets get from one to the other now."""
        return source.powered and target.powered and (source.ip, target.ip) not in self.cuts

    # Faults --------------------------------------------------------------------------------------

    def cut(self, sources: list[str], targets: list[str], both_ways: bool = True) -> None:
        for a in sources:
            for b in targets:
                if a != b:
                    self.cuts.add((a, b))
                    if both_ways:
                        self.cuts.add((b, a))

    def heal(self) -> None:
        """All cuts are over; what was held up comes."""
        self.cuts.clear()
        self.again()

    def again(self) -> None:
        stuck, self.stuck = self.stuck, []
        for flow, chunk in stuck:
            flow.again(chunk)

    def power_off(self, ip: str) -> None:
        """The machine goes dark: its kernel forgets all connections, nobody is told."""
        machine = self.machine(ip)
        machine.powered = False
        machine.life += 1

    def power_on(self, ip: str) -> None:
        self.machine(ip).powered = True
        self.again()

    def freeze(self, process: Process, late: bool) -> None:
        """`late`: in the middle of a callback, so that what it sends right now leaves after the thaw."""
        process.freeze()
        for transport in self.transports:
            if late and transport.process is process:
                transport.out.hold()

    def thaw(self, process: Process) -> None:
        process.thaw(self.loop, in_any_order(process.held, self.random))
        self.again()

    def process_ended(self, process: Process) -> None:
        """The kernel resets what the process had open."""
        for transport in [t for t in self.transports if t.process is process and not t.lost]:
            transport.lost = transport.closing = transport.reset = True
            if transport.can_send:
                self.refuse(transport, transport.out.target)
        self.transports = [t for t in self.transports if not t.lost]

    def reset_some(self, ip: str, share: float) -> None:
        """Some connections of a machine break, at both ends."""
        for transport in list(self.transports):
            if transport.machine.ip == ip and not transport.lost and self.random.random() < share:
                for end in (transport, transport.out.target):
                    end.reset = True
                    end.lose(ConnectionResetError("reset"))

    def refuse(self, source: Transport, target: Transport) -> None:
        """A reset travels from one end to the other, if it gets there."""

        def arrive() -> None:
            if self.path(source.machine, target.machine) and not target.gone:
                target.reset = True
                target.lose(ConnectionResetError("reset by peer"))

        now = self.loop.time()
        self.later(max(self.delay(source.machine, target.machine), source.out.last_at - now + 1e-6), arrive)

    # Calls of the loop ---------------------------------------------------------------------------

    def listen(self, process: Process, factory: Callable[[], Any], host: str, port: int) -> Server:
        address = (host, port or 30_000 + len(self.servers))
        old = self.servers.get(address)
        if old and old.open and not old.process.dead:
            raise OSError(98, f"{address} is in use")
        server = self.servers[address] = Server(self, process, factory, address)
        self.machine(host)
        return server

    async def connect(self, process: Process, factory: Callable[[], Any], host: str, port: int) -> Any:
        source, target = self.machine(process.address), self.machine(host)
        while True:
            await asyncio.sleep(self.delay(source, target))
            if self.path(source, target) and self.path(target, source):
                break
            await asyncio.sleep(SYN_AGAIN_S)
        server = self.servers.get((host, port))
        await asyncio.sleep(self.delay(target, source))
        if server is None or not server.open or server.process.dead or not target.powered:
            raise ConnectionRefusedError(111, f"{host}:{port}")
        return self._join(process, factory, server)

    def _join(self, process: Process, factory: Callable[[], Any], server: Server) -> Any:
        source, target = self.machine(process.address), self.machine(server.process.address)
        near = Transport(self, source, process, source.life)
        far = Transport(self, target, server.process, target.life)
        near.out, far.out = Flow(self, near, far), Flow(self, far, near)
        self.transports = [t for t in self.transports if not t.lost]
        self.transports += [near, far]

        self.loop.call_as(server.process, far.accept, server)
        near.protocol = factory()
        near.protocol.connection_made(near)
        return near, near.protocol
