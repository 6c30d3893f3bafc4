"""Finding a parent, and leaving one (otterreach/runtime/relay.py)."""

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
    """A relay: cut off from the root since a moment, or not."""

    def __init__(self, net: Net) -> None:
        self.net, self.store, self.answers, self.cut_at = net, ReplicatedStore(), True, 1e9

    def changes(self, items: list[Item], asked_ms: int = 0) -> Changes:
        age = max(0.0, self.net.time() - self.cut_at) + 0.1
        return Changes(int(age * 1000), self.store.revision, items, self.store.digest, asked_ms)


class Net:
    """Stands in for otterreach.runtime.rpc.Endpoint."""

    def __init__(self) -> None:
        self.time: Callable[[], float] = asyncio.get_running_loop().time
        self.handlers: dict[type, Any] = {}
        self.parents = {address: Parent(self) for address in ROOTS}
        self.links = {address: Link(self, address) for address in ROOTS}

    def on(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def linked(self, address: str) -> Link | None:
        return self.links.get(address)

    async def call(self, address: str, ask: Any, timeout_s: float) -> Any:
        await asyncio.sleep(0.002)
        parent = self.parents[address]
        if not parent.answers:
            await asyncio.sleep(timeout_s)
            return Failure(Code.TIMED_OUT, "")
        assert isinstance(ask, Follow)
        return parent.changes(parent.store.differing(ask.digests))

    def put(self, item: Item) -> None:
        """A change that all but those cut off hear of."""
        for parent in self.parents.values():
            if parent.cut_at > self.time():
                parent.store.apply([item])


class FollowerTest(unittest.TestCase):
    def play(self, scene: Any, seed: int) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)

        async def whole() -> None:
            net: Any = Net()
            follower = Follower(net, ReplicatedStore(), SETTINGS, Random(seed))
            net.put(Item("config", 1, b'{"gen": 1}'))
            task = asyncio.ensure_future(follower.run())
            await asyncio.sleep(1.0)
            await scene(net, follower)
            task.cancel()

        loop.run_until_complete(whole())

    def test_a_parent_that_answers_but_is_cut_off_is_left(self) -> None:
        """One that was followed on and on: its own first candidate, always a little newer than the child."""

        async def scene(net: Any, follower: Follower) -> None:
            first = follower.parent
            net.parents[first].cut_at = net.time()
            await asyncio.sleep(0.5)
            net.put(Item("config", 2, b'{"gen": 2}'))
            await asyncio.sleep(MAX_AGE_S + 1.3)
            self.assertNotEqual(follower.parent, first)
            self.assertEqual(follower.store.items["config"].revision, 2)
            self.assertLess(follower.age_s(), 0.5)

        for seed in range(12):
            with self.subTest(seed):
                self.play(scene, seed)

    def test_a_silent_parent_is_left(self) -> None:
        async def scene(net: Any, follower: Follower) -> None:
            first = follower.parent
            net.parents[first].answers = False
            net.put(Item("config", 2, b'{"gen": 2}'))
            await asyncio.sleep(PARENT_TIMEOUT_S + 1.2)
            self.assertNotEqual(follower.parent, first)
            self.assertEqual(follower.store.items["config"].revision, 2)

        for seed in range(12):
            with self.subTest(seed):
                self.play(scene, seed)

    def test_where_all_are_cut_off_alike_it_stays(self) -> None:
        async def scene(net: Any, follower: Follower) -> None:
            first = follower.parent
            for parent in net.parents.values():
                parent.cut_at = net.time()
            await asyncio.sleep(6.0)
            self.assertEqual(follower.parent, first)
            self.assertGreater(follower.age_s(), 5.5)

        self.play(scene, 1)

    def test_an_answer_held_up_on_its_way_does_not_pass_for_new(self) -> None:
        async def scene(net: Any, follower: Follower) -> None:
            link, asked = net.links[follower.parent], int(net.time() * 1000)
            held = net.parents[follower.parent].changes([], asked)
            for parent in net.parents.values():
                parent.answers = False
            await asyncio.sleep(4.0)
            follower.parent = link.address
            await net.handlers[Changes](link, held)
            self.assertGreater(follower.age_s(), 4.0)

        self.play(scene, 1)

    def test_a_large_state_comes_in_pieces(self) -> None:
        """10 MB over 30 Mbit/s take 2.7 s: one answer with 0.6 s to it never came."""
        store = ReplicatedStore()
        store.apply([Item("config", 1, b'{"gen": 1}')])
        store.apply(Item(f"server/{n}", n + 2, b'"' + b"x" * 1000 + b'"') for n in range(10_000))
        largest = 0

        async def scene(net: Any, follower: Follower) -> None:
            relay = Relay(cast(Any, SimpleNamespace(on=lambda kind, handler: None)), store, lambda: 0.1)

            async def call(address: str, ask: Any, timeout_s: float) -> Any:
                nonlocal largest
                reply = await relay.handle_follow(net.links[address], ask)
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
            began = net.time()
            while follower.store.digest != store.digest:
                await asyncio.sleep(0.05)
                self.assertLess(net.time() - began, 10.0)
            self.assertLess(follower.age_s(), 1.0)
            self.assertLess(largest, 250_000)

        self.play(scene, 1)


if __name__ == "__main__":
    unittest.main()
