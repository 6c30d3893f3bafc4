"""Selection and replacement of the parent in the relay tree (otterreach/runtime/relay.py)."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.relay import MAX_AGE_S, PARENT_TIMEOUT_S, Changes, Follow, Follower, FreshnessProbe, Relay
from otterreach.runtime.settings import read
from otterreach.runtime.store import Item, ReplicatedStore
from tests.virtual import VirtualLoop

ROOTS = [f"127.0.0.{n}:7000" for n in range(1, 5)]
SETTINGS = read({"node": "front-1", "ip": "127.0.1.1", "portRange": [7000, 7001], "machine": "front", "peers": ROOTS})


class Link:
    def __init__(self, net: Net, address: str) -> None:
        self.net, self.address, self.peer, self.on_close = net, address, "", list[Any]()

    def send(self, value: Any) -> None:
        parent = self.net.parents[self.address]
        if isinstance(value, FreshnessProbe) and parent.answers:
            reply = parent.changes([], value.sent_ms)
            asyncio.ensure_future(self.net.handlers[Changes](self, reply)).add_done_callback(lambda _: None)


class Parent:
    """A relay that is disconnected from the root from `disconnected_at` on."""

    def __init__(self, net: Net) -> None:
        self.net, self.store, self.answers, self.disconnected_at = net, ReplicatedStore(), True, 1e9

    def changes(self, items: list[Item], probe_sent_ms: int = 0) -> Changes:
        age = max(0.0, self.net.time() - self.disconnected_at) + 0.1
        return Changes(int(age * 1000), self.store.revision, items, self.store.digest, probe_sent_ms)


class Net:
    """A fake of otterreach.runtime.rpc.Endpoint."""

    def __init__(self) -> None:
        self.time: Callable[[], float] = asyncio.get_running_loop().time
        self.handlers: dict[type, Any] = {}
        self.parents = {address: Parent(self) for address in ROOTS}
        self.links = {address: Link(self, address) for address in ROOTS}

    def on(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def open_link(self, address: str) -> Link | None:
        return self.links.get(address)

    async def call(self, address: str, request: Any, timeout_s: float) -> Any:
        await asyncio.sleep(0.002)
        parent = self.parents[address]
        if not parent.answers:
            await asyncio.sleep(timeout_s)
            return Failure(Code.TIMED_OUT, "")
        assert isinstance(request, Follow)
        return parent.changes(parent.store.differing(request.digests))

    def put(self, item: Item) -> None:
        """Apply a change at all parents that are not disconnected."""
        for parent in self.parents.values():
            if parent.disconnected_at > self.time():
                parent.store.apply([item])


class FollowerTest(unittest.TestCase):
    def run_scenario(self, scenario: Any, seed: int) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)

        async def main() -> None:
            net: Any = Net()
            follower = Follower(net, ReplicatedStore(), SETTINGS, Random(seed))
            net.put(Item("config", 1, b'{"gen": 1}'))
            task = asyncio.ensure_future(follower.run())
            await asyncio.sleep(1.0)
            await scenario(net, follower)
            task.cancel()

        loop.run_until_complete(main())

    def test_a_disconnected_parent_that_answers_is_replaced(self) -> None:
        """The child selected it again and again, since it always reports a state slightly newer than the child's."""

        async def scenario(net: Any, follower: Follower) -> None:
            first = follower.parent
            net.parents[first].disconnected_at = net.time()
            await asyncio.sleep(0.5)
            net.put(Item("config", 2, b'{"gen": 2}'))
            await asyncio.sleep(MAX_AGE_S + 1.3)
            self.assertNotEqual(follower.parent, first)
            self.assertEqual(follower.store.items["config"].revision, 2)
            self.assertLess(follower.age_s(), 0.5)

        for seed in range(12):
            with self.subTest(seed):
                self.run_scenario(scenario, seed)

    def test_an_unresponsive_parent_is_replaced(self) -> None:
        async def scenario(net: Any, follower: Follower) -> None:
            first = follower.parent
            net.parents[first].answers = False
            net.put(Item("config", 2, b'{"gen": 2}'))
            await asyncio.sleep(PARENT_TIMEOUT_S + 1.2)
            self.assertNotEqual(follower.parent, first)
            self.assertEqual(follower.store.items["config"].revision, 2)

        for seed in range(12):
            with self.subTest(seed):
                self.run_scenario(scenario, seed)

    def test_the_parent_is_kept_if_all_are_disconnected(self) -> None:
        async def scenario(net: Any, follower: Follower) -> None:
            first = follower.parent
            for parent in net.parents.values():
                parent.disconnected_at = net.time()
            await asyncio.sleep(6.0)
            self.assertEqual(follower.parent, first)
            self.assertGreater(follower.age_s(), 5.5)

        self.run_scenario(scenario, 1)

    def test_a_delayed_answer_does_not_lower_the_age(self) -> None:
        async def scenario(net: Any, follower: Follower) -> None:
            link, probe_sent_ms = net.links[follower.parent], int(net.time() * 1000)
            delayed = net.parents[follower.parent].changes([], probe_sent_ms)
            for parent in net.parents.values():
                parent.answers = False
            await asyncio.sleep(4.0)
            follower.parent = link.address
            await net.handlers[Changes](link, delayed)
            self.assertGreater(follower.age_s(), 4.0)

        self.run_scenario(scenario, 1)

    def test_a_large_state_is_sent_in_chunks(self) -> None:
        """10 MB over 30 Mbit/s take 2.7 s, so a single answer never arrived within the call time-out of 0.6 s."""
        store = ReplicatedStore()
        store.apply([Item("config", 1, b'{"gen": 1}')])
        store.apply(Item(f"server/{n}", n + 2, b'"' + b"x" * 1000 + b'"') for n in range(10_000))
        largest = 0

        async def scenario(net: Any, follower: Follower) -> None:
            relay = Relay(cast(Any, SimpleNamespace(on=lambda kind, handler: None)), store, lambda: 0.1)

            async def call(address: str, request: Any, timeout_s: float) -> Any:
                nonlocal largest
                reply = await relay.handle_follow(net.links[address], request)
                size = len(encode(reply))
                largest = max(largest, size)
                try:
                    async with asyncio.timeout(timeout_s):
                        await asyncio.sleep(0.02 + size / (30e6 / 8))
                except TimeoutError:
                    return Failure(Code.TIMED_OUT, "")
                return reply

            net.call = call
            for parent in net.parents.values():
                parent.store = store
            follower.parent = ""
            started_at = net.time()
            while follower.store.digest != store.digest:
                await asyncio.sleep(0.05)
                self.assertLess(net.time() - started_at, 10.0)
            self.assertLess(follower.age_s(), 1.0)
            self.assertLess(largest, 250_000)

        self.run_scenario(scenario, 1)


if __name__ == "__main__":
    unittest.main()
