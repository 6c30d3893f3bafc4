"""TCP between the machines of a simulation, in memory: delay, cuts (of one direction too), resets, lost power.

What a real kernel would do is kept: a frozen process' connections stay up and take bytes; bytes held up by a cut come
when it heals, or their sender gives up; a machine without power says nothing; a port nobody listens at refuses.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import Context
from random import Random
from typing import Any

from otterreach.simulation.loop import Process, VirtualLoop
from otterreach.simulation.transport import Chunk, Flow, Machine, Socket, Transport

SYN_AGAIN_S = 1.0


def in_any_order(deferred: list[asyncio.Handle], random: Random) -> list[asyncio.Handle]:
    """What a process that stood still does first.

    What had become ready before, then what came on its connections, in order on each but not among them, then its
    timers.
    """
    ready: list[asyncio.Handle] = []
    timers: list[asyncio.Handle] = []
    arrived: dict[Transport, deque[asyncio.Handle]] = {}
    for handle in deferred:
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


class Server:
    """What create_server gives."""

    def __init__(
        self, network: Network, process: Process, factory: Callable[[], Any], address: tuple[str, int]
    ) -> None:
        self.network = network
        self.process = process
        self.factory = factory
        self.sockets = [Socket(address)]
        self.open = True

    def close(self) -> None:
        """Accept no more connections."""
        self.open = False

    def is_serving(self) -> bool:
        """Whether it accepts connections."""
        return self.open

    async def wait_closed(self) -> None:
        """It is closed at once."""
        pass


class Network:
    """All machines and what is between them."""

    def __init__(self, loop: VirtualLoop, random: Random, delay_s: tuple[float, float] = (0.0003, 0.002)) -> None:
        self.loop = loop
        self.random = random
        self.delay_s = delay_s
        loop.network = self
        self.machines: dict[str, Machine] = {}
        self.servers: dict[tuple[str, int], Server] = {}
        self.transports: list[Transport] = []
        self.cuts: set[tuple[str, str]] = set()  # (from, to) by ip
        self.slow: dict[str, float] = {}  # seconds more, by ip
        self.stuck: list[tuple[Flow, Chunk]] = []
        self._context = Context()  # nobody's: kernels go on while processes stand still

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        """Call back after a time, on behalf of the network itself."""
        self.loop.call_later(max(0.0, seconds), callback, *args, context=self._context)

    def machine(self, ip: str) -> Machine:
        """The machine at an address, made if it is new."""
        return self.machines.setdefault(ip, Machine(ip))

    def delay(self, source: Machine, target: Machine) -> float:
        """Draw how long a packet takes, in seconds."""
        more = self.slow.get(source.ip, 0.0) + self.slow.get(target.ip, 0.0)
        return self.random.uniform(*self.delay_s) + more

    def path(self, source: Machine, target: Machine) -> bool:
        """Whether packets get from one to the other now."""
        return source.powered and target.powered and (source.ip, target.ip) not in self.cuts

    # Faults --------------------------------------------------------------------------------------

    def cut(self, sources: list[str], targets: list[str], both_ways: bool = True) -> None:
        """Drop all packets from some addresses to others."""
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
        """Send again what was held up."""
        stuck = self.stuck
        self.stuck = []
        for flow, chunk in stuck:
            flow.again(chunk)

    def power_off(self, ip: str) -> None:
        """The machine goes dark: its kernel forgets all connections, nobody is told."""
        machine = self.machine(ip)
        machine.powered = False
        machine.incarnation += 1

    def power_on(self, ip: str) -> None:
        """The machine can be reached again."""
        self.machine(ip).powered = True
        self.again()

    def freeze(self, process: Process, late: bool) -> None:
        """`late`: in the middle of a callback, so that what it sends right now leaves after the thaw."""
        process.freeze()
        for transport in self.transports:
            if late and transport.process is process:
                transport.out.hold()

    def thaw(self, process: Process) -> None:
        """The process runs again, with what has come meanwhile."""
        process.thaw(self.loop, in_any_order(process.deferred, self.random))
        self.again()

    def process_ended(self, process: Process) -> None:
        """The kernel resets what the process had open."""
        for transport in [t for t in self.transports if t.process is process and not t.lost]:
            transport.lost = True
            transport.closing = True
            transport.reset = True
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
            """The reset is there."""
            if self.path(source.machine, target.machine) and not target.gone:
                target.reset = True
                target.lose(ConnectionResetError("reset by peer"))

        now = self.loop.time()
        self.later(max(self.delay(source.machine, target.machine), source.out.last_at - now + 1e-6), arrive)

    # Calls of the loop ---------------------------------------------------------------------------

    def listen(self, process: Process, factory: Callable[[], Any], host: str, port: int) -> Server:
        """A process listens at an address."""
        address = (host, port or 30_000 + len(self.servers))
        old = self.servers.get(address)
        if old and old.open and not old.process.dead:
            raise OSError(98, f"{address} is in use")
        server = self.servers[address] = Server(self, process, factory, address)
        self.machine(host)
        return server

    async def connect(self, process: Process, factory: Callable[[], Any], host: str, port: int) -> Any:
        """Connect a process to an address, as TCP would."""
        source = self.machine(process.address)
        target = self.machine(host)
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
        source = self.machine(process.address)
        target = self.machine(server.process.address)
        near = Transport(self, source, process, source.incarnation)
        far = Transport(self, target, server.process, target.incarnation)
        near.out = Flow(self, near, far)
        far.out = Flow(self, far, near)
        self.transports = [t for t in self.transports if not t.lost]
        self.transports += [near, far]

        self.loop.call_as(server.process, far.accept, server.factory)
        near.protocol = factory()
        near.protocol.connection_made(near)
        return near, near.protocol
