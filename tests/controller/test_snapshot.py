"""The whole control state in pieces: a thin link, stops, restarts, others (otterreach/controller/snapshot.py)."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from random import Random
from typing import Any, cast

from otterreach.controller.epochs import ControllerInfo
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.messages import SnapshotChunk, SnapshotCommit, SnapshotOffer
from otterreach.controller.snapshot import (
    CHUNK_BYTES,
    PREPARE_TIMEOUT_S,
    SnapshotPreparation,
    SnapshotReceiver,
    SnapshotSender,
)
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.settings import read
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.simulation.disk import Disk, VirtualJournal
from tests.virtual import run

THIN = 30e6 / 8  # bytes in a second
SETTINGS = read(
    {"node": "c", "ip": "127.0.0.1", "portRange": [7000, 7001], "machine": "core", "peers": ["127.0.0.1:7000"]}
)


class Receiver:
    """A controller with its disk; `restart` reads it again, after a loss of power if told."""

    def __init__(self, seed: int = 1) -> None:
        self.disk = Disk(Random(seed))
        self.handlers: dict[type, Any] = {}
        self.restart()

    def on(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def restart(self, power: bool = False) -> None:
        if power:
            self.disk.power_lost()
        self.journal = VirtualJournal(self.disk)
        records = self.journal.read()
        self.replica = LocalReplica(SETTINGS, cast(Any, self.journal))
        self.replica.load(records)
        SnapshotReceiver(self.replica, cast(Any, self))

    @property
    def info(self) -> ControllerInfo:
        return ControllerInfo(self.replica.id, "c", "c:1", "z")


class Link:
    """Stands in for an endpoint: one receiver, a thin link to it, and a moment at which it is cut."""

    def __init__(self, receiver: Receiver, rate: float = THIN) -> None:
        self.receiver, self.rate = receiver, rate
        self.loop = asyncio.get_running_loop()
        self.bytes = self.largest = 0
        self.cut: Callable[[Any], bool] = lambda ask: False

    async def call(self, address: str, ask: Any, timeout_s: float) -> Any:
        size = len(encode(ask))
        self.bytes += size
        self.largest = max(self.largest, size)
        if self.cut(ask):
            return Failure(Code.CLOSED, "cut")
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(0.02 + size / self.rate)
                return await self.receiver.handlers[type(ask)](None, ask)
        except TimeoutError:
            return Failure(Code.TIMED_OUT, "no answer in time")


def state_of(items: int, size: int = 1000, revision: int = 0) -> ReplicatedStore:
    store = ReplicatedStore()
    store.apply(Item(f"server/{n}", revision + n + 1, b'"' + b"x" * size + b'"') for n in range(items))
    return store


def sender_on(link: Link) -> SnapshotSender:
    return SnapshotSender(LocalReplica(SETTINGS, cast(Any, VirtualJournal(Disk(Random(9))))), cast(Any, link))


class TransferTest(unittest.TestCase):
    def test_twenty_megabytes_over_a_thin_link(self) -> None:
        """In one message with 0.8 s to it this never came through: 20 MB take 5.3 s."""

        async def scene() -> None:
            receiver = Receiver()
            link, state = Link(receiver), state_of(20_000)
            self.assertTrue(await sender_on(link).install(receiver.info, 3, state))
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertLess(link.largest, 5 * CHUNK_BYTES)
            receiver.restart(power=True)
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertEqual(3, receiver.replica.promised)

        run(scene)

    def test_only_what_differs_is_sent(self) -> None:
        async def scene() -> None:
            receiver = Receiver()
            link, state = Link(receiver), state_of(2000)
            sender = sender_on(link)
            self.assertTrue(await sender.install(receiver.info, 3, state))
            link.bytes = 0
            state.apply([Item("server/7", 9000, b"")])
            self.assertTrue(await sender.install(receiver.info, 4, state))
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertLess(link.bytes, 100_000)

        run(scene)

    def test_taken_up_where_it_stopped(self) -> None:
        """Also after a loss of power there, and by another sender."""

        async def scene() -> None:
            receiver = Receiver()
            link, state = Link(receiver), state_of(5000)
            pieces = 0

            def cut(ask: Any) -> bool:
                nonlocal pieces
                pieces += isinstance(ask, SnapshotChunk)
                return pieces > 40

            link.cut = cut
            self.assertFalse(await sender_on(link).install(receiver.info, 3, state))
            self.assertEqual({}, receiver.replica.store.items)
            ident = receiver.replica.id
            receiver.restart(power=True)
            self.assertEqual(ident, receiver.replica.id)
            link.cut = lambda ask: False
            first, link.bytes = link.bytes, 0
            self.assertTrue(await sender_on(link).install(receiver.info, 5, state))
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertGreater(first, 2_000_000)
            self.assertLess(link.bytes, 3_500_000)

        run(scene)

    def test_a_copy_that_is_not_whole_does_not_count(self) -> None:
        """Cut after each message, with a loss of power: the state is the former one or the new one, never between."""

        async def scene() -> None:
            for stop in range(1, 30):
                receiver = Receiver(stop)
                former, state = state_of(300, 100), state_of(300, 2000, 1000)
                self.assertTrue(await sender_on(Link(receiver)).install(receiver.info, 2, former))
                link, count = Link(receiver), 0

                def cut(ask: Any, stop: int = stop) -> bool:
                    nonlocal count
                    count += 1
                    return count > stop

                link.cut = cut
                done = await sender_on(link).install(receiver.info, 3, state)
                receiver.restart(power=True)
                expected = state if done else former
                self.assertEqual(expected.items, receiver.replica.store.items, stop)
                self.assertEqual(3 if done else 2, receiver.replica.promised)

        run(scene)

    def test_a_commit_of_another_state_is_refused(self) -> None:
        async def scene() -> None:
            receiver, state = Receiver(), state_of(10)
            link, ident = Link(receiver), receiver.replica.id
            await link.call("", SnapshotOffer(3, ident, "s"), 1.0)
            reply = await link.call("", SnapshotCommit(3, ident, "s", state.digests), 1.0)
            self.assertIs(Code.NOT_SYNCED, reply.code)
            self.assertEqual(0, receiver.replica.promised)

        run(scene)

    def test_a_late_piece_of_a_former_transfer_is_refused(self) -> None:
        async def scene() -> None:
            receiver, link = Receiver(), None
            link, ident = Link(receiver), receiver.replica.id
            late = SnapshotChunk(3, ident, "old", [1], [])
            await link.call("", SnapshotOffer(3, ident, "old"), 1.0)
            await link.call("", SnapshotOffer(4, ident, "new"), 1.0)
            self.assertIs(Code.NOT_SYNCED, (await link.call("", late, 1.0)).code)
            receiver.replica.promise(5)
            offer = SnapshotOffer(4, ident, "new")
            self.assertIs(Code.STALE_EPOCH, (await link.call("", offer, 1.0)).code)

        run(scene)

    def test_the_journal_is_not_rewritten_into_the_middle_of_a_transfer(self) -> None:
        async def scene() -> None:
            receiver, state = Receiver(), state_of(200)
            link, replica = Link(receiver), receiver.replica
            self.assertTrue(await sender_on(link).install(receiver.info, 2, state_of(200, 500, 1000)))
            receiver.disk.slow_s = 0.2
            rewriting = asyncio.ensure_future(receiver.journal.rewrite(replica.live_records))
            await asyncio.sleep(0)
            self.assertTrue(await sender_on(link).install(receiver.info, 3, state))
            self.assertFalse(await rewriting)
            receiver.restart(power=True)
            self.assertEqual(state.items, receiver.replica.store.items)
            await link.call("", SnapshotOffer(4, receiver.replica.id, "s"), 1.0)
            self.assertFalse(receiver.replica.may_rewrite())
            await asyncio.sleep(11.0)
            self.assertTrue(receiver.replica.may_rewrite())

        run(scene)

    def test_prepared_beside_changes_the_rest_is_short(self) -> None:
        """The state goes on changing while it is brought over; then little is left for the election."""

        async def scene() -> None:
            receiver = Receiver()
            link, state = Link(receiver), state_of(5000)
            sender = sender_on(link)
            preparing = asyncio.ensure_future(sender.prepare(receiver.info, 3, state))
            for n in range(40):
                await asyncio.sleep(0.05)
                state.apply([Item(f"server/{n}", 10_000 + n, b"{}")])
            self.assertFalse(preparing.done())
            await preparing
            self.assertEqual({}, receiver.replica.store.items)
            began, link.bytes = asyncio.get_running_loop().time(), 0
            self.assertTrue(await sender.install(receiver.info, 4, state))
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertLess(asyncio.get_running_loop().time() - began, 0.5)

        run(scene)

    def test_an_election_waits_for_a_large_state_and_not_for_a_small_one(self) -> None:
        async def scene() -> None:
            receiver = Receiver()
            sender = sender_on(Link(receiver))
            preparation, replica = SnapshotPreparation(sender.replica, sender), sender.replica
            replica.store = state_of(10)
            self.assertTrue(preparation.is_ready([receiver.info]))
            replica.store = state_of(2000)
            self.assertFalse(preparation.is_ready([receiver.info]))
            await asyncio.sleep(3.0)
            self.assertTrue(preparation.is_ready([receiver.info]))
            assert receiver.replica.staged is not None
            self.assertEqual(replica.store.items, receiver.replica.staged.items)

        run(scene)

    def test_one_that_takes_nothing_does_not_hold_up_an_election(self) -> None:
        async def scene() -> None:
            receiver = Receiver()
            sender = sender_on(Link(receiver, rate=1000.0))
            preparation, sender.replica.store = SnapshotPreparation(sender.replica, sender), state_of(2000)
            loop = asyncio.get_running_loop()
            began = loop.time()
            self.assertFalse(preparation.is_ready([receiver.info]))
            while not preparation.is_ready([receiver.info]):  # as the primary asks, again and again
                await asyncio.sleep(0.05)
                self.assertLess(loop.time() - began, PREPARE_TIMEOUT_S + 1.0)

        run(scene)


if __name__ == "__main__":
    unittest.main()
