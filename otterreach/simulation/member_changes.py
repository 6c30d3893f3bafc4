"""Membership changes of controllers: joins, planned and unplanned replacement, rolling restarts, changed seeds.

Each change is a kind of fault with a beginning and an end, each handled by one function here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from otterreach.simulation.world import ZONES, SimulatedMachine, World

MEMBER_KINDS = ("join", "replace", "lose", "lose_same_address", "restart_in_turn", "seeds")
TERMINATE_S = 1.5  # from SIGTERM to the removal of the machine
SEEDS = 3


class MemberChanges:
    """Applies membership changes. The successor of a machine replaces it in the rest of a plan."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.random = Random(world.seed ^ 0x3E3)
        self._successors: dict[str, str] = {}
        self._count = 0
        self.begins: dict[str, Callable[[SimulatedMachine, float], None]] = {
            "join": self._join,
            "replace": self._replace,
            "lose": self._lose,
            "lose_same_address": self._lose,
            "restart_in_turn": self._restart_in_turn,
            "seeds": self._change_seeds,
        }
        self.ends: dict[str, Callable[[SimulatedMachine], None]] = {
            "replace": self._stop_replaced,
            "lose": self._start_successor,
            "lose_same_address": self._start_at_same_address,
        }

    def current_name(self, name: str) -> str:
        """Return the name of the machine that has replaced this one, or the name itself."""
        while name in self._successors:
            name = self._successors[name]
        return name

    def _new_machine(self, template: SimulatedMachine, zone: str, ip: str = "") -> SimulatedMachine:
        self._count += 1
        name = f"{template.role}-new-{self._count}"
        box = self.world.add(name, template.role, ZONES.index(zone), template.main, ip)
        box.first = False
        return box

    def _join(self, box: SimulatedMachine, for_s: float) -> None:
        zones = [b.zone for b in self.world.of_role(box.role)]
        self._new_machine(box, min(ZONES, key=zones.count)).start()

    def _replace(self, box: SimulatedMachine, for_s: float) -> None:
        """Start a planned replacement: the new machine is started before the old one is stopped."""
        new = self._new_machine(box, box.zone)
        self._successors[box.name] = new.name
        new.start()

    def _stop_replaced(self, box: SimulatedMachine) -> None:
        box.restart_on_exit = False
        box.terminate()
        self.world.call_later(TERMINATE_S, self._remove, box)

    def _remove(self, box: SimulatedMachine) -> None:
        box.restart_on_exit = False
        box.power_off(wipe=True)
        self.world.boxes.pop(box.name, None)

    def _lose(self, box: SimulatedMachine, for_s: float) -> None:
        """Remove the machine permanently, without a shutdown."""
        self._remove(box)

    def _start_successor(self, box: SimulatedMachine) -> None:
        new = self._new_machine(box, box.zone)
        self._successors[box.name] = new.name
        new.start()

    def _start_at_same_address(self, box: SimulatedMachine) -> None:
        new = self._new_machine(box, box.zone, box.ip)
        self._successors[box.name] = new.name
        new.power_on()

    def _restart_in_turn(self, box: SimulatedMachine, for_s: float) -> None:
        boxes = self.world.of_role(box.role)
        for index, member in enumerate(boxes):
            self.world.call_later(for_s * index / len(boxes), member.terminate)

    def _change_seeds(self, box: SimulatedMachine, for_s: float) -> None:
        """Change the seeds of running processes and of those started later."""
        boxes = self.world.of_role(box.role)
        chosen = self.random.sample(boxes, min(SEEDS, len(boxes)))
        self.world.seeds = [member.ip for member in chosen]
        for machine in self.world.boxes.values():
            if machine.up and machine.node is not None:
                machine.node.settings = machine.node.follower.settings = replace(
                    machine.node.settings, seeds=machine.settings().seeds
                )
