"""In-memory TCP between simulated machines, with delays, network partitions (also one-way), resets and power loss.

The behaviour of a real kernel is modelled: connections of a frozen process stay open and accept bytes; bytes blocked by
a partition are delivered when it heals, unless the sender times out first; a machine without power sends nothing; a
port without a listener refuses connections.
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

SYN_RETRY_S = 1.0


def order_after_thaw(deferred: list[asyncio.Handle], random: Random) -> list[asyncio.Handle]:
    """Return the deferred callbacks of a frozen process in the order in which they run after the thaw.

    Callbacks that were ready come first, then the data that arrived on its connections (in order on each connection, in
    random order between connections), then its timers.
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
    """A listening socket, as returned by `create_server`."""

    def __init__(
        self, network: Network, process: Process, factory: Callable[[], Any], address: tuple[str, int]
    ) -> None:
        self.network = network
        self.process = process
        self.factory = factory
        self.sockets = [Socket(address)]
        self.open = True

    def close(self) -> None:
        """Stop accepting connections."""
        self.open = False

    def is_serving(self) -> bool:
        """Return True if the server accepts connections."""
        return self.open

    async def wait_closed(self) -> None:
        """Return at once: closing takes no time here."""
        pass


class Network:
    """All machines, and the connections and partitions between them."""

    def __init__(self, loop: VirtualLoop, random: Random, delay_s: tuple[float, float] = (0.0003, 0.002)) -> None:
        self.loop = loop
        self.random = random
        self.delay_s = delay_s
        loop.network = self
        self.machines: dict[str, Machine] = {}
        self.servers: dict[tuple[str, int], Server] = {}
        self.transports: list[Transport] = []
        self.cuts: set[tuple[str, str]] = set()  # (source ip, destination ip)
        self.slow: dict[str, float] = {}  # additional delay in seconds, by ip
        self.stuck: list[tuple[Flow, Chunk]] = []
        self._context = Context()  # belongs to no process: kernels keep running while processes are frozen

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        """Call back after a delay, outside of any simulated process."""
        self.loop.call_later(max(0.0, seconds), callback, *args, context=self._context)

    def machine(self, ip: str) -> Machine:
        """Return the machine at an address; it is created if it does not exist."""
        return self.machines.setdefault(ip, Machine(ip))

    def delay(self, source: Machine, target: Machine) -> float:
        """Draw the delay of a packet, in seconds."""
        more = self.slow.get(source.ip, 0.0) + self.slow.get(target.ip, 0.0)
        return self.random.uniform(*self.delay_s) + more

    def path(self, source: Machine, target: Machine) -> bool:
        """Return True if packets currently get from `source` to `target`."""
        return source.powered and target.powered and (source.ip, target.ip) not in self.cuts

    # Faults --------------------------------------------------------------------------------------

    def cut(self, sources: list[str], targets: list[str], both_ways: bool = True) -> None:
        """Block all packets from `sources` to `targets`, and back if `both_ways`."""
        for a in sources:
            for b in targets:
                if a != b:
                    self.cuts.add((a, b))
                    if both_ways:
                        self.cuts.add((b, a))

    def heal(self) -> None:
        """Heal all partitions and retransmit the blocked bytes."""
        self.cuts.clear()
        self.retransmit_blocked()

    def retransmit_blocked(self) -> None:
        """Retransmit the blocked bytes."""
        stuck = self.stuck
        self.stuck = []
        for flow, chunk in stuck:
            flow.retransmit(chunk)

    def power_off(self, ip: str) -> None:
        """Cut the power of a machine: its connections are lost, and its peers are not notified."""
        machine = self.machine(ip)
        machine.powered = False
        machine.incarnation += 1

    def power_on(self, ip: str) -> None:
        """Restore the power of a machine, which makes it reachable again."""
        self.machine(ip).powered = True
        self.retransmit_blocked()

    def freeze(self, process: Process, late: bool) -> None:
        """Suspend a process.

        With `late`, it stops in the middle of a callback, so that what it is sending leaves after the thaw.
        """
        process.freeze()
        for transport in self.transports:
            if late and transport.process is process:
                transport.out.hold()

    def thaw(self, process: Process) -> None:
        """Resume a process and run the callbacks that were deferred while it was frozen."""
        process.thaw(self.loop, order_after_thaw(process.deferred, self.random))
        self.retransmit_blocked()

    def process_ended(self, process: Process) -> None:
        """Reset the open connections of a process that ended, as its kernel does."""
        for transport in [t for t in self.transports if t.process is process and not t.lost]:
            transport.lost = True
            transport.closing = True
            transport.reset = True
            if transport.can_send:
                self.refuse(transport, transport.out.target)
        self.transports = [t for t in self.transports if not t.lost]

    def reset_some(self, ip: str, share: float) -> None:
        """Reset a random share of the connections of a machine, at both ends."""
        for transport in list(self.transports):
            if transport.machine.ip == ip and not transport.lost and self.random.random() < share:
                for end in (transport, transport.out.target):
                    end.reset = True
                    end.lose(ConnectionResetError("reset"))

    def refuse(self, source: Transport, target: Transport) -> None:
        """Send a reset from one end of a connection to the other; a partition drops it."""

        def arrive() -> None:
            """Deliver the reset, if the path is open."""
            if self.path(source.machine, target.machine) and not target.gone:
                target.reset = True
                target.lose(ConnectionResetError("reset by peer"))

        now = self.loop.time()
        self.later(max(self.delay(source.machine, target.machine), source.out.last_at - now + 1e-6), arrive)

    # Called by the event loop --------------------------------------------------------------------

    def listen(self, process: Process, factory: Callable[[], Any], host: str, port: int) -> Server:
        """Listen at an address on behalf of a process."""
        address = (host, port or 30_000 + len(self.servers))
        old = self.servers.get(address)
        if old and old.open and not old.process.dead:
            raise OSError(98, f"address {address} is already in use")
        server = self.servers[address] = Server(self, process, factory, address)
        self.machine(host)
        return server

    async def connect(self, process: Process, factory: Callable[[], Any], host: str, port: int) -> Any:
        """Connect a process to an address; a SYN that is not answered is retransmitted, as in TCP."""
        source = self.machine(process.address)
        target = self.machine(host)
        while True:
            await asyncio.sleep(self.delay(source, target))
            if self.path(source, target) and self.path(target, source):
                break
            await asyncio.sleep(SYN_RETRY_S)
        server = self.servers.get((host, port))
        await asyncio.sleep(self.delay(target, source))
        if server is None or not server.open or server.process.dead or not target.powered:
            raise ConnectionRefusedError(111, f"connection to {host}:{port} refused")
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
