"""Journal size and catch-up time stay bounded over 2,000 changes of 600 routes, with power losses in between."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Sequence
from random import Random
from typing import Any, cast

from otterreach.controller.journal_records import JournalKind
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.messages import AppendItems
from otterreach.controller.replication import REWRITE_LIMITS
from otterreach.controller.tombstones import PERIODS, TombstoneClock, revision_to_collect
from otterreach.runtime.codec import encode
from otterreach.runtime.compaction import Compaction
from otterreach.runtime.store import Item
from otterreach.simulation.disk import Disk, VirtualJournal
from tests.controller.test_snapshot import SETTINGS, Link, Receiver, sender_on
from tests.virtual import run

CHANGES, ROUTES, RESTART_EVERY, CHANGE_S = 2000, 600, 100, 2.0
LEASE = json.dumps({"holder": "front-1", "wait_ms": 0}).encode()
SERVER = json.dumps({"backend": "b", "addr": "10.0.0.1:80", "az": "z", "cap": 8, "state": "up", "models": []}).encode()


def configuration(gen: int) -> bytes:
    routes = [{"name": f"r{n}", "host": f"h{n}.example", "prefix": "/", "backend": f"b{n}"} for n in range(ROUTES)]
    routes[gen % ROUTES]["prefix"] = f"/{gen}"
    return json.dumps({"gen": gen, "routes": routes}).encode()


class Controller:
    """The state of a primary and its journal, across restarts and power losses."""

    def __init__(self) -> None:
        self.disk, self.revision, self.max_file_bytes = Disk(Random(3)), 0, 0
        self.start()

    def start(self) -> None:
        self.journal = VirtualJournal(self.disk)
        records = self.journal.read()
        self.replica = LocalReplica(SETTINGS, cast(Any, self.journal))
        self.replica.load(records)
        self.compaction = Compaction(self.journal, self.replica.live_records, self.replica.live_bytes, REWRITE_LIMITS)
        self.clock = TombstoneClock(lambda: self.replica.store)
        self.clock.begin_period(self.replica.loop.time())

    async def write(self, changes: Sequence[tuple[str, bytes]]) -> None:
        items = []
        for key, value in changes:
            self.revision += 1
            items.append(Item(key, self.revision, value))
        self.replica.store.apply(items)
        self.journal.append(JournalKind.ITEMS, encode(AppendItems(1, items)))
        assert await self.journal.sync()
        self.replica.store.collect(revision_to_collect(self.replica.store))
        self.compaction.start_if_due()
        self.max_file_bytes = max(self.max_file_bytes, len(self.disk.data))


class ManyChangesTest(unittest.TestCase):
    def test_journal_state_and_catch_up_stay_bounded(self) -> None:
        async def scenario() -> None:
            controller, loop = Controller(), asyncio.get_running_loop()
            for n in range(CHANGES):
                ended = [(f"server/{n - 1}", b""), (f"duty/{n - 1}", b"")] if n else []
                started = [(f"server/{n}", SERVER), (f"duty/{n}", LEASE)]
                await controller.write([("config", configuration(n)), *ended, *started])
                await asyncio.sleep(CHANGE_S)
                if due := controller.clock.due_change(loop.time()):
                    await controller.write(due)
                if n % RESTART_EVERY == RESTART_EVERY - 1:
                    before = dict(controller.replica.store.items)
                    controller.disk.power_lost()
                    controller.start()
                    self.assertEqual(before, controller.replica.store.items)
            store = controller.replica.store
            live = store.bytes
            print(f"items {len(store.items)}, state {live} B, longest file {controller.max_file_bytes} B", end=", ")
            self.assertLess(len(store.items), 4 * (PERIODS + 3) * 60 / CHANGE_S)
            self.assertLess(controller.max_file_bytes, REWRITE_LIMITS.bytes + 5 * live)
            receiver = Receiver()
            link = Link(receiver)
            began = loop.time()
            self.assertTrue(await sender_on(link).install(receiver.controller_info, 2, store))
            seconds = loop.time() - began
            print(f"catching up {seconds:.2f} s and {link.bytes} B over 30 Mbit/s")
            self.assertEqual(store.items, receiver.replica.store.items)
            self.assertLess(seconds, 2.0)

        run(scenario)


if __name__ == "__main__":
    unittest.main()
