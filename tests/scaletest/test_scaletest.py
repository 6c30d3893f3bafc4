"""Parts of the scale test that need no run: sizes and what is derived from them, message counts, the table."""

from __future__ import annotations

import asyncio
import json
import os
import unittest
from collections import Counter
from pathlib import Path
from typing import Any

from otterreach.controller.api.servers import read_heartbeat
from otterreach.controller.config import check_put
from otterreach.runtime import settings
from otterreach.runtime.codes import Failure
from otterreach.runtime.records import MemberRecord, OrderLeaseRecord, ServerRecord
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.scaletest import cost, hollow, meter, processes, size, table
from otterreach.scaletest.size import Size
from otterreach.scaletest.table import Sample


class SizeTest(unittest.TestCase):
    def test_addresses_differ_and_settings_can_be_read(self) -> None:
        found = size.machines(Size(), "127.77", Path("/nowhere"))
        every = [m for machines in found.values() for m in machines]
        self.assertEqual(len(every), Size().members)
        self.assertEqual(len({m.ip for m in every}), len(every))
        self.assertEqual(len({m.name for m in every}), len(every))
        seeds = size.seeds(found["core"])
        for machine in (found["core"][0], found["store"][0], found["front"][0], found["hollow"][299]):
            read = settings.read(machine.settings(size.plan(Size()), seeds, size.bounds()))
            self.assertEqual(len(read.seeds), size.SEEDS)
            self.assertEqual(read.ip, machine.ip)

    def test_stays_below_a_hundred_processes(self) -> None:
        self.assertLess(Size().processes, 100)

    def test_joining_follows_the_requested_rate(self) -> None:
        self.assertEqual(Size(hollow=5, joins_per_s=20.0).front_gap_s, 1.0)
        self.assertEqual(Size(fronts=10, servers=100, joins_per_s=20.0).joining_s, 5.0)
        self.assertEqual(Size(fronts=100, servers=100, joins_per_s=20.0).joining_s, 20.0)

    def test_split_ranges_are_complete_and_even(self) -> None:
        for count, parts in ((300, 6), (7, 3), (2, 5), (0, 2)):
            found = size.split_range(count, parts)
            self.assertEqual([n for part in found for n in part], list(range(count)))
            self.assertEqual(len(found), parts)
            self.assertLessEqual(max(map(len, found)) - min(map(len, found)), 1)

    def test_configurations_are_valid_one_after_the_other(self) -> None:
        current: dict[str, Any] | None = None
        for gen in (1, 2, 3):
            new = check_put(json.dumps(size.configuration(gen)).encode(), current, gen - 1)
            self.assertNotIsInstance(new, Failure)
            assert isinstance(new, dict)
            self.assertNotEqual(new, current)
            current = new

    def test_registrations_are_read_and_fit_a_heartbeat(self) -> None:
        bodies = [json.dumps(size.registration(n, 1)).encode() for n in range(1800)]
        self.assertLess(max(map(len, bodies)), 4096)
        read = [read_heartbeat(body) for body in bodies]
        self.assertFalse([r for r in read if isinstance(r, Failure)])
        self.assertEqual(len({r.address for r in read if isinstance(r, ServerRecord)}), 1800)
        self.assertEqual(len({size.server_id(n) for n in range(1800)}), 1800)


class MeterTest(unittest.TestCase):
    def test_counts_between_uses_the_nearest_lines(self) -> None:
        counted = ((1.0, 10), (2.0, 20), (3.0, 50), (4.0, 90))
        rows = [meter.format_line(t, Counter({"in A": n, "out B": 5})) for t, n in counted]
        seconds, found = meter.counts_between("\n".join(rows), 1.9, 3.2)
        self.assertEqual((seconds, found), (1.0, Counter({"in A": 30})))

    def test_counts_between_ignores_a_torn_line_and_accepts_an_empty_file(self) -> None:
        rows = [
            meter.format_line(1.0, Counter({"in A": 1})),
            meter.format_line(2.0, Counter({"in A": 4})),
            '{"t": 3.0, "cou',
        ]
        self.assertEqual(meter.counts_between("\n".join(rows), 0.0, 9.0), (1.0, Counter({"in A": 3})))
        self.assertEqual(meter.counts_between("", 0.0, 1.0), (0.0, Counter()))

    def test_what_is_replaced_for_counting_is_there(self) -> None:
        """A replacement in a module that no longer uses the name would count nothing, and say nothing."""
        for module, attribute, _ in meter.REPLACEMENTS:
            self.assertTrue(hasattr(module, attribute), f"{module.__name__}.{attribute}")

    def test_a_written_message_is_counted(self) -> None:
        before = Counter(meter.counts)
        body = meter.counted_encode(Done())
        found = Counter(meter.counts)
        found.subtract(before)
        self.assertEqual(found["out Done"], 1)
        self.assertEqual(found["out bytes"], len(body) + 11)


class TableTest(unittest.TestCase):
    def test_a_row_is_for_one_node(self) -> None:
        counts = Counter({"in A": 400, "out B": 200, "in bytes": 4000, "out bytes": 2000, "in http bytes": 1000})
        samples = [Sample("front", 10.0, 1.0, 50.0, 20, 5.0, counts), Sample("front", 10.0, 3.0, 70.0, 30, 5.0, counts)]
        row = table.by_role(samples, {"front": 4})["front"]
        self.assertEqual(row["cores mean"], 0.1)
        self.assertEqual(row["cores most"], 0.15)
        self.assertEqual((row["memory mb"], row["files"]), (30.0, 12))
        self.assertEqual((row["messages in"], row["messages out"]), (40.0, 20.0))
        self.assertEqual((row["bytes in"], row["bytes out"]), (500.0, 200.0))

    def test_without_counts_rates_are_zero(self) -> None:
        row = table.by_role([Sample("core", 10.0, 1.0, 50.0, 20, 0.0)], {"core": 1})["core"]
        self.assertEqual((row["messages in"], row["most"]), (0.0, {}))

    def test_propagation_delays_count_followers_that_lack_the_change(self) -> None:
        found = table.propagation_delays(10.0, {"a": 10.5, "b": 11.0, "c": 12.0}, 4)
        self.assertEqual(found, {"median s": 1.0, "max s": 2.0, "missing": 1})
        self.assertEqual(table.propagation_delays(1.0, {}, 2), {"median s": None, "max s": None, "missing": 2})

    def test_slope(self) -> None:
        self.assertEqual(table.slope((100.0, 5.0), (300.0, 9.0)), (3.0, 0.02))
        self.assertEqual(table.slope((100.0, 5.0), (100.0, 9.0)), (7.0, 0.0))


class HollowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.store = ReplicatedStore()
        self.view = hollow.FollowerView("front-1", self.store, 2, 1, self.events.append)

    def put(self, key: str, revision: int, value: dict[str, Any]) -> None:
        self.store.apply([Item(key, revision, json.dumps(value).encode())])

    def test_emits_full_once_when_all_are_known(self) -> None:
        self.put("server/a", 1, size.registration(1, 1))
        self.put("member/x", 2, {"role": "front"})
        self.assertEqual(self.events, [])
        self.put("server/b", 3, size.registration(2, 1))
        self.put("server/b", 4, size.registration(2, 2))
        self.assertEqual(self.events, [{"event": "full", "node": "front-1"}])

    def test_emits_configurations_drains_and_a_version_on_all_servers(self) -> None:
        self.put("config", 1, size.configuration(4))
        self.put("server/a", 2, size.registration(1, 2, "draining"))
        self.put("server/a", 3, size.registration(1, 3, gen=2))
        self.put("server/b", 4, size.registration(2, 2, gen=2))
        self.assertEqual(
            self.events,
            [
                {"event": "config", "node": "front-1", "gen": 4},
                {"event": "drain", "node": "front-1", "server": "a"},
                {"event": "version", "node": "front-1"},
            ],
        )

    def test_orders_reach_the_servers_that_they_name(self) -> None:
        asyncio.run(self._orders())

    async def _orders(self) -> None:
        from random import Random

        servers = {n: hollow.HollowServer(n, ["127.0.0.1:1"], 1.0, 0.0, Random(n)) for n in (4, 5)}
        scheduled: list[tuple[float, Any]] = []
        hollow.execute_order(
            servers, {"order": "drain", "servers": [5, 9]}, lambda s, work: scheduled.append((s, work))
        )
        self.assertEqual([servers[n].state for n in (4, 5)], ["up", "draining"])
        hollow.execute_order(
            servers, {"order": "version", "over_s": 2.0, "count": 8}, lambda s, w: scheduled.append((s, w))
        )
        self.assertEqual([s for s, _ in scheduled], [1.0, 1.25])
        for _, work in scheduled:
            work()
        self.assertEqual([servers[n].gen for n in (4, 5)], [2, 2])
        self.assertTrue(all(server.send_now.is_set() for server in servers.values()))


class CostTest(unittest.TestCase):
    def test_the_store_has_the_requested_size(self) -> None:
        store = cost.build_store(20, 3)
        self.assertEqual(len(store.records(ServerRecord)), 20)
        self.assertEqual(len(store.records(OrderLeaseRecord)), 20)
        self.assertEqual(len(store.records(MemberRecord)), 3)

    def test_the_timed_step_is_that_of_a_proxy(self) -> None:
        async def work() -> None:
            orders = cost.build_weight_orders(cost.build_store(6, 2), "front-1")
            self.assertEqual(len(orders.leased_servers()), 3)
            orders.step()
            self.assertEqual(orders.loading, {})

        asyncio.run(work())


class ProcessesTest(unittest.TestCase):
    def test_usage_of_this_process(self) -> None:
        found = processes.read_usage(os.getpid())
        self.assertGreater(found.cpu_s, 0)
        self.assertGreater(found.memory_mb, 1)
        self.assertGreater(found.files, 0)


if __name__ == "__main__":
    unittest.main()
