"""Elections of the controllers, with the other controllers' answers given by hand."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any, cast

from otterreach.controller.election import Election
from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.formation import Formation
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.messages import Prepare, Promise
from otterreach.simulation.disk import Disk, VirtualJournal
from otterreach.simulation.loop import VirtualLoop
from otterreach.simulation.world import Box, World

OWN, NUMBER = "a", 3


class Witnesses:
    """Stands in for the endpoint: all witnesses promise. `during_probe` happens while a probe is out."""

    def __init__(self) -> None:
        self.asked: list[Prepare] = []
        self.during_probe: Any = lambda: None

    async def call(self, address: str, ask: Prepare, timeout_s: float) -> Promise:
        self.asked.append(ask)
        if ask.probe:
            self.during_probe()
        return Promise(True, NUMBER, address, [])


class ElectionTest(unittest.TestCase):
    def collect(self, witnesses: Witnesses, promise_during_probe: int) -> Any:
        """What `_collect_promises` gives for the number after NUMBER, and what this controller has promised then."""

        async def work() -> Any:
            async def idle(box: Box) -> None: ...

            box = World(1).add("core-0", "core", 0, idle)
            replica = LocalReplica(box.settings(), cast(Any, VirtualJournal(Disk(Random(1)))))
            replica.id = OWN
            infos = [ControllerInfo(ident, ident, ident, "hall-a") for ident in (OWN, "b", "c")]
            base = EpochConfiguration(NUMBER, "b", [OWN], infos)
            replica.adopt_configuration(base)
            if promise_during_probe:
                witnesses.during_probe = lambda: replica.promise(promise_during_probe)
            election = Election(replica, cast(Any, witnesses), Formation(replica, cast(Any, witnesses)), lambda _: None)
            promised = await election._collect_promises(base, NUMBER + 1, transfer=False)
            return promised, replica.promised

        return VirtualLoop().run(work())

    def test_majority_promises(self) -> None:
        witnesses = Witnesses()
        promised, own_id = self.collect(witnesses, 0)
        self.assertEqual({OWN, "b", "c"}, set(promised))
        self.assertEqual(NUMBER + 1, own_id)

    def test_number_promised_to_another_during_the_probe(self) -> None:
        """It was promised to another candidate meanwhile: not to itself as well."""
        for taken in (NUMBER + 1, NUMBER + 2):
            witnesses = Witnesses()
            promised, own_id = self.collect(witnesses, taken)
            self.assertIsNone(promised)
            self.assertEqual(taken, own_id)
            self.assertTrue(all(ask.probe for ask in witnesses.asked))
