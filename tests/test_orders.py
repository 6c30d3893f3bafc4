"""Duties: one holder for each server, a lease before each order, the next holder's wait (proxy/orders.py)."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from otterreach.proxy.orders import LEASE_S, MARGIN_S, Orders, due, takeover_s
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import Reply
from otterreach.runtime.store import Item, ReplicatedStore
from tests.virtual import VirtualLoop

SERVER = {"backend": "b", "addr": "127.0.0.1:1", "az": "z", "cap": 4, "state": "up", "warm_ms": 0, "calls": 1}


def server(gen: int, **more: Any) -> dict[str, Any]:
    return SERVER | {"models": [{"name": "m", "gen": gen}]} | more


class Servers:
    """Stands in for the client: takes orders, has the version at the next report."""

    def __init__(self) -> None:
        self.connect_s = 0.0
        self.orders: list[tuple[str, dict[str, Any]]] = []

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        may: Callable[[], bool] = lambda: True,
    ) -> Reply | Failure:
        await asyncio.sleep(self.connect_s)
        if not may():
            return Failure(Code.STALE_EPOCH, "")
        if path == "/order":
            self.orders.append((address, json.loads(body)))
            return Reply(202)
        gen = self.orders[-1][1]["gen"]
        return Reply(200, json.dumps({"models": [{"name": "m", "gen": gen}], "busy": False}).encode())


class OrdersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.store, self.servers, self.age, self.rev = ReplicatedStore(), Servers(), 0.1, 0
        self.told: list[Any] = []

    def put(self, key: str, value: Any) -> None:
        self.rev += 1
        self.store.apply([Item(key, self.rev, json.dumps(value).encode())])

    def play(self, seconds: float) -> Orders:
        told: list[Any] = self.told

        async def ask_primary(ask: Any) -> Any:
            told.append(ask)
            return True

        async def run() -> Orders:
            follower = SimpleNamespace(age_s=lambda: self.age)
            node: Any = SimpleNamespace(
                store=self.store, settings=SimpleNamespace(node="front-1"), follower=follower, ask_primary=ask_primary
            )
            orders = Orders(node, self.servers)  # type: ignore[arg-type]
            task = asyncio.ensure_future(orders.run())
            await asyncio.sleep(seconds)
            task.cancel()
            return orders

        return self.loop.run_until_complete(run())

    def test_only_the_holder_orders_and_the_fence_is_the_duty_s_rev(self) -> None:
        self.put("server/a", server(1))
        self.put("server/b", server(1, addr="127.0.0.1:2"))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.put("duty/b", {"holder": "front-2", "wait_ms": 0})
        self.play(0.25)
        self.assertEqual(
            [(a, o["gen"], o["fence"], o["owner"]) for a, o in self.servers.orders], [("127.0.0.1:1", 2, 4, "front-1")]
        )

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

    def test_a_new_holder_waits_from_when_it_sees_the_duty(self) -> None:
        wait_s = takeover_s(3.0, None)
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": int(wait_s * 1000)})
        self.play(wait_s - 0.05)
        self.assertEqual(self.servers.orders, [])
        self.play(wait_s + 0.3)
        self.assertEqual(len(self.servers.orders), 1)

    def test_the_wait_covers_the_old_holder_s_lease_and_the_users_bound(self) -> None:
        self.assertGreaterEqual(takeover_s(3.0, None), 3.0 + LEASE_S)
        self.assertEqual(takeover_s(3.0, 1e6), 0.0)
        self.assertEqual(takeover_s(3.0, 1.0), 2.0 + MARGIN_S)

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
        async def call(address: str, method: str, path: str, body: bytes, timeout_s: float, may: Any = None) -> Reply:
            if path == "/order":
                self.servers.orders.append((address, json.loads(body)))
                return Reply(202)
            return Reply(200, json.dumps({"models": [{"name": "m", "gen": 1}], "busy": False}).encode())

        self.servers.call = call  # type: ignore[method-assign]
        self.put("server/a", server(1))
        self.put("version/m", {"gen": 2})
        self.put("duty/a", {"holder": "front-1", "wait_ms": 0})
        self.play(0.8)
        self.assertEqual(len(self.servers.orders), 1)
        self.play(2.0)
        self.assertGreater(len(self.servers.orders), 1)  # it did not take it after all

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
        rows = {f"s{n}": server(1) for n in range(6)}
        other = dict(reversed(rows.items()))
        self.assertEqual(due(rows, {"m": {"gen": 2}}), due(other, {"m": {"gen": 2}}))
        self.assertEqual(due({"s": server(1, state="draining")}, {"m": {"gen": 2}}), [])
        self.assertEqual(due({"s": server(2)}, {"m": {"gen": 2}}), [])


if __name__ == "__main__":
    unittest.main()
