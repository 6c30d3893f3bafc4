"""A small cluster of controllers in the simulation, for tests that inject single faults."""

from __future__ import annotations

import asyncio
import json
import zlib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from random import Random
from typing import Any

from otterreach.controller.node import ControllerNode
from otterreach.controller.replication import ControlReplication
from otterreach.runtime.node import Node
from otterreach.runtime.rpc import Endpoint
from otterreach.simulation import client
from otterreach.simulation.control import SLAS
from otterreach.simulation.world import CTL, SimulatedMachine, World

START_S = 6.0
POLL_S = 0.02


class Cluster:
    """Controllers core-0, core-1, ... in the given zones; the first three are the seeds."""

    def __init__(
        self,
        zones: Iterable[int] = (0, 1, 2, 0, 1),
        seed: int = 1,
        survive: dict[str, int] | None = None,
        start_after_s: dict[str, float] | None = None,
        slas: dict[str, Any] | None = None,
    ) -> None:
        """Create the cluster without starting it.

        :param start_after_s: start delays by name, for controllers that do not start at once
        :param slas: bounds that replace those of the simulation
        """
        self.start_after_s = start_after_s or {}
        self.world = World(seed, slas=SLAS | (slas or {}))
        self.survive = {f"survive_{kind}": count for kind, count in (survive or {}).items()}
        for number, zone in enumerate(zones):
            self.world.add(f"core-{number}", "core", zone, self._controller)
        self.boxes = self.world.of_role("core")
        self.expected = len(self.boxes)  # number of witnesses
        self.world.seeds = [box.ip for box in self.boxes[:3]]

    async def _controller(self, box: SimulatedMachine) -> None:
        settings = replace(box.settings(), **self.survive)  # type: ignore[arg-type]
        random = Random(zlib.crc32(f"{self.world.seed} {box.name} {box.incarnations}".encode()))
        box.node = Node(settings, Endpoint(), random)
        journal = box.journal()
        records = journal.read()
        box.object = ControllerNode(settings, box.node, journal)  # type: ignore[arg-type]
        await box.object.run(records)
        self.world.call_later(0.0, box.kill)  # the process exits

    def run(self, scenario: Callable[[Cluster], Awaitable[None]]) -> None:
        """Start all controllers, wait until all are in the configuration, then run the scenario."""

        async def whole() -> None:
            for box in self.boxes:
                self.world.call_later(self.start_after_s.get(box.name, 0.0), box.start)
            await self.until(self._complete, START_S, "all in one configuration")
            status, _ = await self.put(self.primary, 0, 1, "first")
            assert status == 200, status
            await asyncio.sleep(0.5)
            await scenario(self)

        self.world.run(whole)
        if self.world.failure is not None:
            raise AssertionError(f"{self.world.failure}\n" + "\n".join(list(self.world.lines)[-60:]))

    def _complete(self) -> bool:
        primaries = self.primaries()
        if len(primaries) != 1:
            return False
        configuration = self.control(primaries[0]).accepted
        return configuration is not None and len(configuration.witnesses) == self.expected

    async def until(self, holds: Callable[[], Any], within_s: float, what: str) -> float:
        """Wait until `holds` returns true and return the seconds that took; fail if it takes longer than `within_s`."""
        began = self.world.now
        while not holds():
            assert self.world.now - began < within_s, f"{what}: not within {within_s} s"
            await asyncio.sleep(POLL_S)
        return self.world.now - began

    # Roles ---------------------------------------------------------------------------------------

    def control(self, box: SimulatedMachine) -> ControlReplication:
        control: ControlReplication = box.object.control
        return control

    def primaries(self) -> list[SimulatedMachine]:
        return [box for box in self.boxes if box.up and box.object and self.control(box).is_primary]

    @property
    def primary(self) -> SimulatedMachine:
        """The primary of the highest epoch."""
        return max(self.primaries(), key=lambda box: self.control(box).number)

    def led_by(self, boxes: Iterable[SimulatedMachine]) -> bool:
        """Return True if one of these machines is a primary."""
        return any(box in boxes for box in self.primaries())

    def named(self, idents: Iterable[str]) -> list[SimulatedMachine]:
        """Return the machines with these controller ids."""
        wanted = set(idents)
        return [box for box in self.boxes if box.object and self.control(box).id in wanted]

    @property
    def backups(self) -> list[SimulatedMachine]:
        configuration = self.control(self.primary).accepted
        assert configuration is not None
        return self.named(configuration.backups)

    def others(self, *inside: SimulatedMachine) -> list[SimulatedMachine]:
        return [box for box in self.boxes if box not in inside]

    # Faults --------------------------------------------------------------------------------------

    def cut(
        self, inside: Iterable[SimulatedMachine], outside: Iterable[SimulatedMachine], both_ways: bool = True
    ) -> None:
        """Drop all messages from `inside` to `outside`, and the other way round if `both_ways`."""
        self.world.net.cut([b.ip for b in inside], [b.ip for b in outside], both_ways=both_ways)

    def isolate(self, *inside: SimulatedMachine) -> None:
        self.cut(inside, self.others(*inside))

    def heal(self) -> None:
        self.world.net.heal()

    def terminate(self, box: SimulatedMachine, again: bool = False) -> None:
        """Send SIGTERM; if `again`, the machine starts a new process after the exit."""
        assert box.node is not None
        box.restart_on_exit = again
        box.node.stopping.set()

    def replace(self, box: SimulatedMachine) -> None:
        """Replace the machine by one with the same address and an empty disk."""
        box.power_off(wipe=True)
        box.power_on()

    def add(self, zone: int) -> SimulatedMachine:
        """Start one more machine, with an empty disk and three running controllers as its seeds."""
        self.world.seeds = [b.ip for b in self.boxes if b.up][:3]
        box = self.world.add(f"core-{len(self.boxes)}", "core", zone, self._controller)
        box.first = False
        self.boxes.append(box)
        box.start()
        return box

    # HTTP calls ----------------------------------------------------------------------------------

    async def call(
        self,
        box: SimulatedMachine,
        method: str,
        path: str,
        body: bytes = b"",
        match: int | None = None,
        timeout_s: float = 1.0,
    ) -> tuple[int, float, bytes]:
        """Return the status (0: no response), seconds and body of an HTTP call."""
        headers = {} if match is None else {b"If-Match": str(match).encode()}
        began = self.world.now
        response = await client.ask(f"{box.ip}:{CTL}", method, path, body, headers, timeout_s)
        took = self.world.now - began
        return (response.status, took, response.body) if response else (0, took, b"")

    async def put(self, box: SimulatedMachine, base: int, gen: int, name: str) -> tuple[int, float]:
        """Put a configuration and return the status and seconds."""
        status, took, _ = await self.call(box, "PUT", "/config", configuration_of(gen, name), base)
        return status, took

    async def get(self, box: SimulatedMachine) -> tuple[int, float, int]:
        """Get the configuration and return the status, the seconds, and its version number."""
        status, took, body = await self.call(box, "GET", "/config")
        return status, took, json.loads(body)["gen"] if status == 200 else 0


def configuration_of(gen: int, name: str) -> bytes:
    """Return a valid configuration with one route of this name."""
    route = {"name": name, "host": "h.example", "prefix": "/p/", "kind": "idem", "timeoutMs": 1, "backend": "b"}
    return json.dumps({"gen": gen, "routes": [route], "backends": [{"name": "b"}]}).encode()
