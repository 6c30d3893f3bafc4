"""Order leases: one holder for each server, a check before each order, the next holder's wait (proxy/orders.py)."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any
from unittest import mock

from otterreach.proxy.orders import LEASE_S, MARGIN_S, SETTLE_S, WeightOrders, due_loads, takeover_wait_s
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import Reply
from otterreach.runtime.http_client import NO_HEADERS
from otterreach.runtime.records import ServerRecord, VersionRecord
from otterreach.runtime.store import Item, ReplicatedStore
from tests.virtual import VirtualLoop

SERVER = {"backend": "b", "addr": "127.0.0.1:1", "az": "z", "cap": 4, "state": "up", "warm_ms": 0, "calls": 1}


def server(gen: int, **more: Any) -> dict[str, Any]:
    return SERVER | {"models": [{"name": "m", "gen": gen}]} | more


def record(gen: int, **more: Any) -> ServerRecord:
    return ServerRecord.decode(json.dumps(server(gen, **more)).encode())


class Servers:
    """Stands in for the client: takes orders, has the version at the next report."""

    def __init__(self) -> None:
        self.connect_s = 0.0
        self.orders: list[tuple[str, dict[str, Any]]] = []
        self.heads: list[tuple[str, str]] = []  # path, and the server that was meant
        self.taken: dict[str, int] = {}  # by address
        self.gens: dict[str, int] = {}
        self.answers: list[int | Failure | None] = []  # to orders, before the plain ones; None: taken, no answer
        self.loads = True

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        may_write: Callable[[], bool] = lambda: True,
        headers: Mapping[str, str] = NO_HEADERS,
        interchangeable: bool = False,
    ) -> Reply | Failure:
        await asyncio.sleep(self.connect_s)
        if not may_write():
            return Failure(Code.STALE_EPOCH, "")
        self.heads.append((path, headers.get("Expect-Server", "")))
        if path == "/order":
            return self._order(address, json.loads(body))
        models = [{"name": "m", "gen": self.gens.get(address, 1)}]
        return Reply(200, json.dumps({"models": models, "busy": False, "calls": self.taken.get(address, 0)}).encode())

    def _order(self, address: str, order: dict[str, Any]) -> Reply | Failure:
        self.orders.append((address, order))
        answer = self.answers.pop(0) if self.answers else 202
        if answer in (202, None):
            self.taken[address] = self.taken.get(address, 0) + 1
            if self.loads:
                self.gens[address] = order["gen"]
        if answer is None:
            return Failure(Code.TIMED_OUT, "")
        return answer if isinstance(answer, Failure) else Reply(answer)


class OrdersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.store, self.servers, self.age, self.revision = ReplicatedStore(), Servers(), 0.1, 0
        self.told: list[Any] = []

    def put(self, key: str, value: Any) -> None:
        self.revision += 1
        self.store.apply([Item(key, self.revision, json.dumps(value).encode())])

    def play(self, seconds: float) -> WeightOrders:
        told: list[Any] = self.told

        async def call_primary(ask: Any) -> Any:
            told.append(ask)
            return True

        async def run() -> WeightOrders:
            follower = SimpleNamespace(age_s=lambda: self.age)
            node: Any = SimpleNamespace(
                store=self.store, settings=SimpleNamespace(node="front-1"), follower=follower, call_primary=call_primary
            )
            orders = WeightOrders(node, self.servers)
            task = asyncio.ensure_future(orders.run())
            await asyncio.sleep(seconds)
            task.cancel()
            return orders

        return self.loop.run_until_complete(run())

    def test_only_the_holder_orders_and_the_fence_is_the_revision_of_the_lease(self) -> None:
        self.put("server/a", server(1))
        self.put("server/b", server(1, addr="127.0.0.1:2"))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.put("duty/b", {"holder": "front-2", "wait_ms": 0})
        self.play(0.25)
        self.assertEqual(
            [(a, o["gen"], o["fence"], o["owner"]) for a, o in self.servers.orders], [("127.0.0.1:1", 2, 4, "front-1")]
        )

    def test_without_loads_that_are_due_here_it_hardly_looks(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-2", "wait_ms": 0})
        with mock.patch.object(WeightOrders, "step") as step:
            self.play(10.0)
        self.assertLess(step.call_count, 12)

    def test_a_version_that_is_named_later_is_ordered_at_once(self) -> None:
        self.put("server/a", server(1))
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.loop.call_later(5.3, self.put, "version/m", {"gen": 2})
        self.play(5.3 + SETTLE_S + 0.05)
        self.assertEqual([order["gen"] for _, order in self.servers.orders], [2])

    def test_nothing_goes_out_under_an_old_copy_of_the_control_state(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.age = LEASE_S
        self.play(2.0)
        self.assertEqual(self.servers.orders, [])

    def test_the_lease_is_looked_at_when_the_order_is_written(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.servers.connect_s = 0.9
        self.loop.call_later(0.5, setattr, self, "age", LEASE_S)
        self.play(1.5)
        self.assertEqual(self.servers.orders, [])

    def test_a_new_holder_waits_from_when_it_sees_the_lease(self) -> None:
        wait_s = takeover_wait_s(3.0, None)
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": int(wait_s * 1000)})
        self.play(wait_s - 0.05)
        self.assertEqual(self.servers.orders, [])
        self.play(wait_s + 0.3)
        self.assertEqual(len(self.servers.orders), 1)

    def test_the_wait_covers_the_old_holder_s_lease_and_the_users_bound(self) -> None:
        self.assertGreaterEqual(takeover_wait_s(3.0, None), 3.0 + LEASE_S)
        self.assertEqual(takeover_wait_s(3.0, 1e6), 0.0)
        self.assertEqual(takeover_wait_s(3.0, 1.0), 2.0 + MARGIN_S)

    def test_a_few_at_once_and_one_that_is_stuck_keeps_nobody_waiting(self) -> None:
        for n in range(8):
            self.put(f"server/s{n}", server(1, addr=f"127.0.0.1:{n}"))
            self.put(f"duty/s{n}", {"holder": "front-1", "wait_ms": 0})
        self.put("version/m", {"gen": 2})
        self.play(0.15)
        self.assertEqual(len(self.servers.orders), 3)
        self.play(3.0)  # none of them ever shows the version in the list: the others come after a while
        self.assertGreater(len({a for a, _ in self.servers.orders}), 3)

    def test_a_report_from_before_the_order_does_not_have_it_ordered_twice(self) -> None:
        self.servers.loads = False
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.play(0.8)
        self.assertEqual(len(self.servers.orders), 1)
        self.play(2.0)
        self.assertGreater(len(self.servers.orders), 1)  # it did not take it after all

    def one_server_due(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})

    def expected(self) -> list[int | None]:
        return [order.get("expect") for _, order in self.servers.orders]

    def test_orders_and_reports_name_the_server_and_what_it_has_taken(self) -> None:
        self.one_server_due()
        self.servers.taken["127.0.0.1:1"] = 7
        self.play(0.5)
        self.assertEqual(self.expected(), [7])
        self.assertEqual({server for _, server in self.servers.heads}, {"a"})

    def test_an_order_without_an_answer_that_was_taken_is_not_sent_again(self) -> None:
        self.one_server_due()
        self.servers.answers = [None]
        self.play(4.0)
        self.assertEqual(len(self.servers.orders), 1)
        self.assertEqual([told.version for told in self.told], [2])

    def test_an_order_without_an_answer_that_was_not_taken_is_sent_again_once_a_report_shows_it(self) -> None:
        """Under the same expectation: should the first one come after all, one of the two is refused."""
        self.one_server_due()
        self.servers.answers = [Failure(Code.TIMED_OUT, "")]
        self.play(0.9)
        self.assertEqual(len(self.servers.orders), 1)  # a report may be from before the order
        self.play(4.0)
        self.assertEqual(self.expected()[:2], [0, 0])

    def test_any_other_answer_is_as_unclear_as_none(self) -> None:
        self.one_server_due()
        self.servers.answers = [500]
        self.play(0.9)
        self.assertEqual(len(self.servers.orders), 1)

    def test_what_was_never_written_is_sent_again_soon(self) -> None:
        self.one_server_due()
        self.servers.answers = [Failure(Code.UNREACHABLE, "")]
        self.play(0.9)
        self.assertEqual(self.expected(), [0, 0])
        self.assertEqual(sum(path == "/report" for path, _ in self.servers.heads[:3]), 1)  # what was known still holds

    def test_after_a_conflict_the_report_is_looked_at_and_its_number_of_orders_used(self) -> None:
        self.one_server_due()
        self.servers.answers = [409]

        def another() -> None:
            self.servers.taken["127.0.0.1:1"] = 3

        self.loop.call_later(0.3, another)
        self.play(3.0)
        self.assertEqual(self.expected(), [0, 3])

    def test_the_address_of_another_server_gets_no_order_for_a_while(self) -> None:
        self.one_server_due()
        self.servers.answers = [421]
        self.play(1.9)
        self.assertEqual(len(self.servers.orders), 1)

    def test_a_fence_that_was_too_low_is_not_used_again(self) -> None:
        self.one_server_due()
        self.servers.answers = [412]
        self.play(8.0)
        self.assertEqual(len(self.servers.orders), 1)

    def test_a_server_that_has_the_version_by_its_report_gets_no_order(self) -> None:
        self.one_server_due()
        self.servers.gens["127.0.0.1:1"] = 2
        self.play(1.0)
        self.assertEqual(self.servers.orders, [])
        self.assertEqual([told.version for told in self.told], [2])

    def test_without_a_report_nothing_is_ordered(self) -> None:
        self.one_server_due()

        async def call(*_: Any, **__: Any) -> Failure:
            return Failure(Code.TIMED_OUT, "")

        with mock.patch.object(self.servers, "call", call):
            self.play(2.0)
        self.assertEqual(self.servers.orders, [])

    def test_what_was_done_is_not_ordered_again_before_the_list_shows_it(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.play(4.0)  # done after 0.2 s, and the primary's list still has the old version
        self.assertEqual(len(self.servers.orders), 1)
        self.put("version/m", {"gen": 3})
        self.play(4.0)
        self.assertEqual([o["gen"] for _, o in self.servers.orders], [2, 3])

    def test_a_server_with_two_models_behind_takes_one_place(self) -> None:
        both = {"models": [{"name": "m", "gen": 1}, {"name": "n", "gen": 1}]}
        for n in range(4):
            self.put(f"server/s{n}", server(1, addr=f"127.0.0.1:{n}") | both)
            self.put(f"duty/s{n}", {"holder": "front-1", "wait_ms": 0})
        self.put("version/m", {"gen": 2})
        self.put("version/n", {"gen": 2})
        self.play(0.15)
        self.assertEqual(len({a for a, _ in self.servers.orders}), 3)

    def test_the_order_of_servers_is_the_same_everywhere(self) -> None:
        rows = {f"s{n}": record(1) for n in range(6)}
        other = dict(reversed(rows.items()))
        versions = {"m": VersionRecord(2)}
        self.assertEqual(due_loads(rows, versions), due_loads(other, versions))
        self.assertEqual(due_loads({"s": record(1, state="draining")}, versions), [])
        self.assertEqual(due_loads({"s": record(2)}, versions), [])


if __name__ == "__main__":
    unittest.main()
