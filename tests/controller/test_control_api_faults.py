"""Eight concurrent operators against real controllers on the virtual network.

Responses get lost and a fault is injected right after a write. No accepted change may be rejected later, no two changes
may be accepted on one version, and reads return what was accepted.
"""

from __future__ import annotations

import asyncio
import json
import os
import unittest
from dataclasses import dataclass, field
from random import Random
from typing import Any
from unittest import mock

from otterreach.controller.api import configuration
from otterreach.controller.change_history import ChangeHistory
from otterreach.controller.replication import ControlReplication
from otterreach.simulation import client
from otterreach.simulation.control import SLAS, controller
from otterreach.simulation.loop import Process
from otterreach.simulation.world import CTL, SimulatedMachine, World

CONTROLLERS = 5
OPERATORS = 8
ROUNDS = 3
FAULT_S = 2.0
CALLER_TIMEOUT_S = 0.95
CLEAR_S = 25.0  # limit for a definite answer to every call
DELAYS_S = (0.0, 0.0004, 0.001, 0.002, 0.004, 0.008)  # from a write on the primary to the fault
SLOW_DISKS = "power and slow disks"
SLOW_DISK_S = 0.2
READ_S = 0.03
FAULTS = ("kill", "freeze", "cut", "cut from backups", "power of all", "power of primary", SLOW_DISKS)
REFUSED = (400, 412)
PLANTED_SEEDS = range(1, 13)
SEEDS = range(1, 1 + int(os.environ.get("CONTROL_API_SEEDS", "2")))


@dataclass
class Change:
    """A change of the configuration, and the answers that its sender has received so far."""

    method: str
    base: int
    gen: int
    name: str
    answers: list[int] = field(default_factory=list)

    @property
    def body(self) -> bytes:
        route = {"name": self.name, "host": "h", "prefix": "/p/", "kind": "idem", "timeoutMs": 1, "backend": "b"}
        routes, backends = [route], [{"name": "b"}]
        if self.method == "PUT":
            return json.dumps({"gen": self.gen, "routes": routes, "backends": backends}).encode()
        remove = {"routes": [f"op{n}-{self.base}" for n in range(OPERATORS)]}
        upsert = {"routes": [route | {"prefix": f"/{self.name}/"}], "backends": backends}
        return json.dumps({"gen": self.gen, "upsert": upsert, "remove": remove}).encode()

    @property
    def clear(self) -> int:
        """The first definite answer; 0 if there is none yet."""
        return next((status for status in self.answers if status == 200 or status in REFUSED), 0)


class Cluster:
    """Controllers in three zones, operators, and one fault per round."""

    def __init__(self, seed: int, fault: str) -> None:
        self.world = World(seed, slas=SLAS)
        self.random, self.fault = Random(seed ^ 0xAB), fault
        for n in range(CONTROLLERS):
            self.world.add(f"core-{n}", "core", n % 3, controller)
        self.world.seeds = [box.ip for box in self.boxes[:3]]
        self.changes: list[Change] = []
        self.armed = False
        self.newest = 0  # acknowledged

    @property
    def boxes(self) -> list[SimulatedMachine]:
        return self.world.of_role("core")

    def run(self) -> None:
        self.world.run(self._run_all)

    async def _run_all(self) -> None:
        world = self.world
        for box in self.boxes:
            box.start()
        self._inject_after_writes()
        operators, reader = Process("operators", "10.9.0.1"), Process("reader", "10.9.0.2")
        reading = [reader.start(world.loop, self._read_on(box)) for box in self.boxes]
        await operators.start(world.loop, self._rounds())
        for task in reading:
            task.cancel()

    async def _rounds(self) -> None:
        base = 0
        for number in range(ROUNDS):
            self._arm(number)
            method = "PATCH" if number % 2 else "PUT"
            together = [
                Change(method, base, base + self.random.randint(1, 3), f"op{n}-{base}") for n in range(OPERATORS)
            ]
            self.changes += together
            await self._all_clear([self._send(change) for change in together])
            won = [change for change in together if change.clear == 200]
            self.world.expect(len(won) == 1, "one wins", f"{len(won)} of {OPERATORS} on {base} in round {number}")
            if len(won) != 1:
                return
            base = won[0].gen
            await self._check_read(won[0])
        await self._send_all_again()

    async def _send_all_again(self) -> None:
        """Retry all changes at the end: accepted ones are acknowledged again, and rejected ones are rejected again."""
        first = {id(change): change.clear for change in self.changes}
        for change in self.changes:
            change.answers.clear()
        await self._all_clear([self._send(change) for change in self.changes])
        for change in self.changes:
            first_answer = first[id(change)]
            same = change.clear == first_answer
            self.world.expect(same, "the same answer again", f"{change.name}: {first_answer}, then {change.clear}")

    async def _all_clear(self, calls: list[Any]) -> None:
        async with asyncio.timeout(CLEAR_S):
            await asyncio.gather(*calls)

    async def _send(self, change: Change) -> None:
        """Send a change to random controllers until the outcome is known. Some time-outs are too short."""
        headers = {b"If-Match": str(change.base).encode()}
        while not change.clear:
            address = f"{self.random.choice(self.boxes).ip}:{CTL}"
            timeout_s = self.random.choice([0.002, 0.01, 1.0, 1.0])
            began = self.world.now
            response = await client.ask(address, change.method, "/config", change.body, headers, timeout_s)
            if response is not None:
                took = self.world.now - began
                in_time = took < CALLER_TIMEOUT_S or self.fault == "freeze"  # a frozen machine answers late
                self.world.expect(in_time, "in the caller's second", f"{took:.2f} s")
                change.answers.append(response.status)
                if response.status == 200:
                    self.newest = max(self.newest, change.gen)
            await asyncio.sleep(self.random.uniform(0.0, 0.1))

    async def _check_read(self, won: Change) -> None:
        while True:
            response = await client.ask(f"{self.random.choice(self.boxes).ip}:{CTL}", "GET", "/config")
            if response is not None and response.status == 200:
                break
            await asyncio.sleep(0.05)
        config = json.loads(response.body)
        names = [route["name"] for route in config["routes"]]
        self.world.expect(config["gen"] == won.gen, "read what was accepted", f"{config['gen']}, not {won.gen}")
        self.world.expect(won.name in names, "read what was accepted", f"{names} without {won.name}")

    async def _read_on(self, box: SimulatedMachine) -> None:
        """Check that a read that began after an acknowledgement doesn't return an older configuration."""
        while True:
            least = self.newest
            response = await client.ask(f"{box.ip}:{CTL}", "GET", "/config")
            if response is not None and response.status == 200:
                gen = json.loads(response.body)["gen"]
                self.world.expect(gen >= least, "read goes back", f"{gen} at {box.name}, {least} was acknowledged")
            await asyncio.sleep(READ_S)

    # Faults --------------------------------------------------------------------------------------

    @property
    def _slow_disks(self) -> bool:
        return self.fault == SLOW_DISKS

    def _arm(self, number: int) -> None:
        self.armed = number > 0
        if self.armed and self._slow_disks:
            for box in self.boxes:
                box.disk.slow_s = SLOW_DISK_S

    def _inject_after_writes(self) -> None:
        """Inject the fault on the primary after the first change of the configuration in each round."""
        cluster = self

        def proposing(plain: Any) -> Any:
            def propose(control: ControlReplication, changes: Any) -> Any:
                changes = list(changes)
                future = plain(control, changes)
                if cluster.armed and any(key == "config" for key, _ in changes):
                    cluster.armed = False
                    box = next(box for box in cluster.boxes if box.object and box.object.control is control)
                    longest = SLOW_DISK_S if cluster._slow_disks else 0.0
                    delay = cluster.random.choice(DELAYS_S) + cluster.random.uniform(0.0, longest)
                    cluster.world.call_later(delay, cluster._inject, box)
                return future

            return propose

        self.world.wrap(ControlReplication, "propose", proposing)

    def _inject(self, box: SimulatedMachine) -> None:
        world, net = self.world, self.world.net
        others = [other.ip for other in self.boxes if other is not box]
        if self.fault == "kill":
            box.kill()
            world.call_later(0.3, box.start)
        elif self.fault == "freeze":
            box.freeze()
            world.call_later(FAULT_S, box.thaw)
        elif self.fault == "cut":
            net.cut([box.ip], others)
            world.call_later(FAULT_S, net.heal)
        elif self.fault == "cut from backups":
            control = box.object.control
            backups = [
                w.address.partition(":")[0] for w in control.accepted.witnesses if w.id in control.accepted.backups
            ]
            net.cut([box.ip], backups)
            world.call_later(FAULT_S, net.heal)
        else:
            affected = [box] if self.fault == "power of primary" else self.boxes
            for one in affected:
                one.disk.slow_s = 0.0
                one.power_off()
                world.call_later(self.random.uniform(0.5, 0.8), one.power_on)


class FaultsTest(unittest.TestCase):
    def test_eight_at_once_under_trouble(self) -> None:
        for fault in FAULTS:
            for seed in SEEDS:
                with self.subTest(fault=fault, seed=seed):
                    cluster = Cluster(seed, fault)
                    cluster.run()
                    self.assertIsNone(cluster.world.failure, "\n".join(list(cluster.world.lines)[-20:]))
                    self.assertEqual(ROUNDS * OPERATORS, len(cluster.changes))

    def test_planted_faults_are_found(self) -> None:
        async def before_copies(control: Any, changes: Any) -> bool:
            control.propose(changes)
            return True

        planted: list[tuple[str, Any, str]] = [
            (
                "answers on what may vanish",
                mock.patch.object(ControlReplication, "wait_until_committed", ControlReplication.confirm_leadership),
                SLOW_DISKS,
            ),
            ("no history", mock.patch.object(ChangeHistory, "was_accepted", lambda history, change: False), "kill"),
            ("accepted before all copies have it", mock.patch.object(configuration, "write", before_copies), "freeze"),
        ]
        for what, patch, fault in planted:
            with self.subTest(what), patch:
                found = next((seed for seed in PLANTED_SEEDS if _breaks(seed, fault)), 0)
                self.assertGreater(found, 0)


def _breaks(seed: int, fault: str) -> bool:
    cluster = Cluster(seed, fault)
    cluster.run()
    return cluster.world.failure is not None


if __name__ == "__main__":
    unittest.main()
