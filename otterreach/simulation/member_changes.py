"""Controllers that come and go: joins, planned and unplanned replacement, restarts in turn, other seeds.

Each is a kind of fault with a beginning and an end; what happens at either stands in one function here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from otterreach.simulation.world import ZONES, Box, World

MEMBER_KINDS = ("join", "replace", "lose", "lose_same_address", "restart_in_turn", "seeds")
LEAVE_S = 1.5  # from SIGTERM to the end of the machine
SEEDS = 3


class MemberChanges:
    """Carries member changes out. A machine's successor takes its place in the rest of a plan."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.random = Random(world.seed ^ 0x3E3)
        self._successors: dict[str, str] = {}
        self._count = 0
        self.begins: dict[str, Callable[[Box, float], None]] = {
            "join": self._join,
            "replace": self._replace,
            "lose": self._lose,
            "lose_same_address": self._lose,
            "restart_in_turn": self._restart_in_turn,
            "seeds": self._change_seeds,
        }
        self.ends: dict[str, Callable[[Box], None]] = {
            "replace": self._stop_replaced,
            "lose": self._start_successor,
            "lose_same_address": self._start_at_same_address,
        }

    def present(self, name: str) -> str:
        """The machine that stands for this name now."""
        while name in self._successors:
            name = self._successors[name]
        return name

    def _new_machine(self, like: Box, zone: str, ip: str = "") -> Box:
        self._count += 1
        name = f"{like.role}-new-{self._count}"
        box = self.world.add(name, like.role, ZONES.index(zone), like.main, ip)
        box.first = False
        return box

    def _join(self, box: Box, for_s: float) -> None:
        zones = [b.zone for b in self.world.of_role(box.role)]
        self._new_machine(box, min(ZONES, key=zones.count)).start()

    def _replace(self, box: Box, for_s: float) -> None:
        """Planned: the new one first."""
        new = self._new_machine(box, box.zone)
        self._successors[box.name] = new.name
        new.start()

    def _stop_replaced(self, box: Box) -> None:
        box.wanted = False
        box.terminate()
        self.world.plainly(LEAVE_S, self._remove, box)

    def _remove(self, box: Box) -> None:
        box.wanted = False
        box.power_off(wipe=True)
        self.world.boxes.pop(box.name, None)

    def _lose(self, box: Box, for_s: float) -> None:
        """Gone for good, at once."""
        self._remove(box)

    def _start_successor(self, box: Box) -> None:
        new = self._new_machine(box, box.zone)
        self._successors[box.name] = new.name
        new.start()

    def _start_at_same_address(self, box: Box) -> None:
        new = self._new_machine(box, box.zone, box.ip)
        self._successors[box.name] = new.name
        new.power_on()

    def _restart_in_turn(self, box: Box, for_s: float) -> None:
        boxes = self.world.of_role(box.role)
        for place, one in enumerate(boxes):
            self.world.plainly(for_s * place / len(boxes), one.terminate)

    def _change_seeds(self, box: Box, for_s: float) -> None:
        """Other seeds, for who runs and who starts later."""
        boxes = self.world.of_role(box.role)
        chosen = self.random.sample(boxes, min(SEEDS, len(boxes)))
        self.world.seeds = [one.ip for one in chosen]
        for one in self.world.boxes.values():
            if one.up and one.node is not None:
                one.node.settings = one.node.follower.settings = replace(one.node.settings, seeds=one.settings().seeds)
