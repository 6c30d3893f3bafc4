"""Order leases (proxy/orders.py): one holder per server, a lease check before each order, the takeover wait."""

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
    """A fake client for model servers, which accept orders and report the version at the next report."""

    def __init__(self) -> None:
        self.connect_s = 0.0
        self.orders: list[tuple[str, dict[str, Any]]] = []
        self.requests: list[tuple[str, str]] = []  # path and intended server
        self.accepted: dict[str, int] = {}  # by address
        self.gens: dict[str, int] = {}
        self.answers: list[int | Failure | None] = []  # to orders, before the defaults; None: accepted, no answer
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
        self.requests.append((path, headers.get("Expect-Server", "")))
        if path == "/order":
            return self._order(address, json.loads(body))
        models = [{"name": "m", "gen": self.gens.get(address, 1)}]
        return Reply(
            200, json.dumps({"models": models, "busy": False, "calls": self.accepted.get(address, 0)}).encode()
        )

    def _order(self, address: str, order: dict[str, Any]) -> Reply | Failure:
        self.orders.append((address, order))
        answer = self.answers.pop(0) if self.answers else 202
        if answer in (202, None):
            self.accepted[address] = self.accepted.get(address, 0) + 1
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
        self.messages: list[Any] = []

    def put(self, key: str, value: Any) -> None:
        self.revision += 1
        self.store.apply([Item(key, self.revision, json.dumps(value).encode())])

    def run_for(self, seconds: float) -> WeightOrders:
        messages: list[Any] = self.messages

        async def call_primary(message: Any) -> Any:
            messages.append(message)
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
        self.run_for(0.25)
        self.assertEqual(
            [(a, o["gen"], o["fence"], o["owner"]) for a, o in self.servers.orders], [("127.0.0.1:1", 2, 4, "front-1")]
        )

    def test_without_due_loads_the_state_is_rarely_checked(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-2", "wait_ms": 0})
        with mock.patch.object(WeightOrders, "step") as step:
            self.run_for(10.0)
        self.assertLess(step.call_count, 12)

    def test_a_version_that_is_named_later_is_ordered_at_once(self) -> None:
        self.put("server/a", server(1))
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.loop.call_later(5.3, self.put, "version/m", {"gen": 2})
        self.run_for(5.3 + SETTLE_S + 0.05)
        self.assertEqual([order["gen"] for _, order in self.servers.orders], [2])

    def test_no_order_is_sent_with_an_old_replica_of_the_control_state(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.age = LEASE_S
        self.run_for(2.0)
        self.assertEqual(self.servers.orders, [])

    def test_the_lease_is_looked_at_when_the_order_is_written(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.servers.connect_s = 0.9
        self.loop.call_later(0.5, setattr, self, "age", LEASE_S)
        self.run_for(1.5)
        self.assertEqual(self.servers.orders, [])

    def test_a_new_holder_waits_from_when_it_sees_the_lease(self) -> None:
        wait_s = takeover_wait_s(3.0, None)
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": int(wait_s * 1000)})
        self.run_for(wait_s - 0.05)
        self.assertEqual(self.servers.orders, [])
        self.run_for(wait_s + 0.3)
        self.assertEqual(len(self.servers.orders), 1)

    def test_the_wait_covers_the_old_holder_s_lease_and_the_users_bound(self) -> None:
        self.assertGreaterEqual(takeover_wait_s(3.0, None), 3.0 + LEASE_S)
        self.assertEqual(takeover_wait_s(3.0, 1e6), 0.0)
        self.assertEqual(takeover_wait_s(3.0, 1.0), 2.0 + MARGIN_S)

    def test_loads_at_once_are_limited_and_a_stalled_load_delays_no_other(self) -> None:
        for n in range(8):
            self.put(f"server/s{n}", server(1, addr=f"127.0.0.1:{n}"))
            self.put(f"duty/s{n}", {"holder": "front-1", "wait_ms": 0})
        self.put("version/m", {"gen": 2})
        self.run_for(0.15)
        self.assertEqual(len(self.servers.orders), 3)
        self.run_for(3.0)  # none of them shows the version in the control state; the others start after STALLED_LOAD_S
        self.assertGreater(len({a for a, _ in self.servers.orders}), 3)

    def test_a_report_from_before_the_order_does_not_have_it_ordered_twice(self) -> None:
        self.servers.loads = False
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.run_for(0.8)
        self.assertEqual(len(self.servers.orders), 1)
        self.run_for(2.0)
        self.assertGreater(len(self.servers.orders), 1)  # the report shows that the order was not accepted

    def one_server_due(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})

    def expected(self) -> list[int | None]:
        return [order.get("expect") for _, order in self.servers.orders]

    def test_orders_and_reports_name_the_server_and_what_it_has_taken(self) -> None:
        self.one_server_due()
        self.servers.accepted["127.0.0.1:1"] = 7
        self.run_for(0.5)
        self.assertEqual(self.expected(), [7])
        self.assertEqual({server for _, server in self.servers.requests}, {"a"})

    def test_an_order_without_an_answer_that_was_taken_is_not_sent_again(self) -> None:
        self.one_server_due()
        self.servers.answers = [None]
        self.run_for(4.0)
        self.assertEqual(len(self.servers.orders), 1)
        self.assertEqual([message.version for message in self.messages], [2])

    def test_an_order_without_an_answer_that_was_not_taken_is_sent_again_once_a_report_shows_it(self) -> None:
        """The retry expects the same number of orders, so if the first one still arrives, one of them is rejected."""
        self.one_server_due()
        self.servers.answers = [Failure(Code.TIMED_OUT, "")]
        self.run_for(0.9)
        self.assertEqual(len(self.servers.orders), 1)  # a report may be older than the order
        self.run_for(4.0)
        self.assertEqual(self.expected()[:2], [0, 0])

    def test_any_other_answer_is_as_unclear_as_none(self) -> None:
        self.one_server_due()
        self.servers.answers = [500]
        self.run_for(0.9)
        self.assertEqual(len(self.servers.orders), 1)

    def test_an_order_that_was_never_written_is_retried_soon(self) -> None:
        self.one_server_due()
        self.servers.answers = [Failure(Code.UNREACHABLE, "")]
        self.run_for(0.9)
        self.assertEqual(self.expected(), [0, 0])
        # The earlier report is still valid.
        self.assertEqual(sum(path == "/report" for path, _ in self.servers.requests[:3]), 1)

    def test_after_a_conflict_the_report_is_looked_at_and_its_number_of_orders_used(self) -> None:
        self.one_server_due()
        self.servers.answers = [409]

        def another() -> None:
            self.servers.accepted["127.0.0.1:1"] = 3

        self.loop.call_later(0.3, another)
        self.run_for(3.0)
        self.assertEqual(self.expected(), [0, 3])

    def test_the_address_of_another_server_gets_no_order_for_a_while(self) -> None:
        self.one_server_due()
        self.servers.answers = [421]
        self.run_for(1.9)
        self.assertEqual(len(self.servers.orders), 1)

    def test_a_fence_that_was_too_low_is_not_used_again(self) -> None:
        self.one_server_due()
        self.servers.answers = [412]
        self.run_for(8.0)
        self.assertEqual(len(self.servers.orders), 1)

    def test_a_server_that_has_the_version_by_its_report_gets_no_order(self) -> None:
        self.one_server_due()
        self.servers.gens["127.0.0.1:1"] = 2
        self.run_for(1.0)
        self.assertEqual(self.servers.orders, [])
        self.assertEqual([message.version for message in self.messages], [2])

    def test_without_a_report_nothing_is_ordered(self) -> None:
        self.one_server_due()

        async def call(*_: Any, **__: Any) -> Failure:
            return Failure(Code.TIMED_OUT, "")

        with mock.patch.object(self.servers, "call", call):
            self.run_for(2.0)
        self.assertEqual(self.servers.orders, [])

    def test_what_was_done_is_not_ordered_again_before_the_list_shows_it(self) -> None:
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.run_for(4.0)  # completed after 0.2 s, while the control state still has the old version
        self.assertEqual(len(self.servers.orders), 1)
        self.put("version/m", {"gen": 3})
        self.run_for(4.0)
        self.assertEqual([o["gen"] for _, o in self.servers.orders], [2, 3])

    def test_a_server_with_two_outdated_models_counts_once(self) -> None:
        both = {"models": [{"name": "m", "gen": 1}, {"name": "n", "gen": 1}]}
        for n in range(4):
            self.put(f"server/s{n}", server(1, addr=f"127.0.0.1:{n}") | both)
            self.put(f"duty/s{n}", {"holder": "front-1", "wait_ms": 0})
        self.put("version/m", {"gen": 2})
        self.put("version/n", {"gen": 2})
        self.run_for(0.15)
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
