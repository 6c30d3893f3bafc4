"""Elections of the controllers, with scripted replies of the other controllers."""

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
from otterreach.simulation.world import SimulatedMachine, World

OWN, NUMBER = "a", 3


class Witnesses:
    """Stands in for the endpoint: all witnesses promise. `during_probe` is called while a probe is in flight."""

    def __init__(self) -> None:
        self.requests: list[Prepare] = []
        self.during_probe: Any = lambda: None

    async def call(self, address: str, request: Prepare, timeout_s: float) -> Promise:
        self.requests.append(request)
        if request.probe:
            self.during_probe()
        return Promise(True, NUMBER, address, [])


class ElectionTest(unittest.TestCase):
    def collect(self, witnesses: Witnesses, promise_during_probe: int) -> Any:
        """Return the result of `_collect_promises` for the number after NUMBER, and the number promised here then."""

        async def work() -> Any:
            async def idle(box: SimulatedMachine) -> None: ...

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
        promised, promised_number = self.collect(witnesses, 0)
        self.assertEqual({OWN, "b", "c"}, set(promised))
        self.assertEqual(NUMBER + 1, promised_number)

    def test_number_promised_to_another_during_the_probe(self) -> None:
        """A candidate must not use a number that it promised to another candidate during its probe."""
        for taken in (NUMBER + 1, NUMBER + 2):
            witnesses = Witnesses()
            promised, promised_number = self.collect(witnesses, taken)
            self.assertIsNone(promised)
            self.assertEqual(taken, promised_number)
            self.assertTrue(all(request.probe for request in witnesses.requests))
