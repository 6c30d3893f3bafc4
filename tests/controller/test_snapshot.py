"""Snapshot transfers in chunks: slow links, interruptions, power losses (otterreach/controller/snapshot.py)."""

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

SLOW_LINK_BYTES_PER_S = 30e6 / 8
SETTINGS = read(
    {"node": "c", "ip": "127.0.0.1", "portRange": [7000, 7001], "machine": "core", "peers": ["127.0.0.1:7000"]}
)


class Receiver:
    """A controller with its disk; `restart` reads the disk again, optionally after a power loss."""

    def __init__(self, seed: int = 1) -> None:
        self.disk = Disk(Random(seed))
        self.handlers: dict[type, Any] = {}
        self.restart()

    def on(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def restart(self, power_loss: bool = False) -> None:
        if power_loss:
            self.disk.power_lost()
        self.journal = VirtualJournal(self.disk)
        records = self.journal.read()
        self.replica = LocalReplica(SETTINGS, cast(Any, self.journal))
        self.replica.load(records)
        SnapshotReceiver(self.replica, cast(Any, self))

    @property
    def controller_info(self) -> ControllerInfo:
        return ControllerInfo(self.replica.id, "c", "c:1", "z")


class Link:
    """Stands in for an endpoint: one receiver behind a slow link; requests for which `drops` returns True are lost."""

    def __init__(self, receiver: Receiver, bytes_per_s: float = SLOW_LINK_BYTES_PER_S) -> None:
        self.receiver, self.bytes_per_s = receiver, bytes_per_s
        self.loop = asyncio.get_running_loop()
        self.bytes = self.largest = 0
        self.drops: Callable[[Any], bool] = lambda request: False

    async def call(self, address: str, request: Any, timeout_s: float) -> Any:
        size = len(encode(request))
        self.bytes += size
        self.largest = max(self.largest, size)
        if self.drops(request):
            return Failure(Code.CLOSED, "cut")
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(0.02 + size / self.bytes_per_s)
                return await self.receiver.handlers[type(request)](None, request)
        except TimeoutError:
            return Failure(Code.TIMED_OUT, "no answer in time")


def state_of(items: int, size: int = 1000, revision: int = 0) -> ReplicatedStore:
    store = ReplicatedStore()
    store.apply(Item(f"server/{n}", revision + n + 1, b'"' + b"x" * size + b'"') for n in range(items))
    return store


def sender_on(link: Link) -> SnapshotSender:
    return SnapshotSender(LocalReplica(SETTINGS, cast(Any, VirtualJournal(Disk(Random(9))))), cast(Any, link))


class TransferTest(unittest.TestCase):
    def test_twenty_megabytes_over_a_slow_link(self) -> None:
        """Guards against a state that is too large for one message: 20 MB take 5.3 s, and the time-out was 0.8 s."""

        async def scenario() -> None:
            receiver = Receiver()
            link, state = Link(receiver), state_of(20_000)
            self.assertTrue(await sender_on(link).install(receiver.controller_info, 3, state))
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertLess(link.largest, 5 * CHUNK_BYTES)
            receiver.restart(power_loss=True)
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertEqual(3, receiver.replica.promised)

        run(scenario)

    def test_only_what_differs_is_sent(self) -> None:
        async def scenario() -> None:
            receiver = Receiver()
            link, state = Link(receiver), state_of(2000)
            sender = sender_on(link)
            self.assertTrue(await sender.install(receiver.controller_info, 3, state))
            link.bytes = 0
            state.apply([Item("server/7", 9000, b"")])
            self.assertTrue(await sender.install(receiver.controller_info, 4, state))
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertLess(link.bytes, 100_000)

        run(scenario)

    def test_an_interrupted_transfer_is_resumed(self) -> None:
        """The transfer is resumed by another sender, and after a power loss at the receiver."""

        async def scenario() -> None:
            receiver = Receiver()
            link, state = Link(receiver), state_of(5000)
            chunks = 0

            def drops(request: Any) -> bool:
                nonlocal chunks
                chunks += isinstance(request, SnapshotChunk)
                return chunks > 40

            link.drops = drops
            self.assertFalse(await sender_on(link).install(receiver.controller_info, 3, state))
            self.assertEqual({}, receiver.replica.store.items)
            ident = receiver.replica.id
            receiver.restart(power_loss=True)
            self.assertEqual(ident, receiver.replica.id)
            link.drops = lambda request: False
            first, link.bytes = link.bytes, 0
            self.assertTrue(await sender_on(link).install(receiver.controller_info, 5, state))
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertGreater(first, 2_000_000)
            self.assertLess(link.bytes, 3_500_000)

        run(scenario)

    def test_an_incomplete_snapshot_has_no_effect(self) -> None:
        """Interrupted after any message and a power loss, the receiver has the former or the new state, never a mix."""

        async def scenario() -> None:
            for stop in range(1, 30):
                receiver = Receiver(stop)
                former, state = state_of(300, 100), state_of(300, 2000, 1000)
                self.assertTrue(await sender_on(Link(receiver)).install(receiver.controller_info, 2, former))
                link, count = Link(receiver), 0

                def drops(request: Any, stop: int = stop) -> bool:
                    nonlocal count
                    count += 1
                    return count > stop

                link.drops = drops
                done = await sender_on(link).install(receiver.controller_info, 3, state)
                receiver.restart(power_loss=True)
                expected = state if done else former
                self.assertEqual(expected.items, receiver.replica.store.items, stop)
                self.assertEqual(3 if done else 2, receiver.replica.promised)

        run(scenario)

    def test_a_commit_of_another_state_is_rejected(self) -> None:
        async def scenario() -> None:
            receiver, state = Receiver(), state_of(10)
            link, ident = Link(receiver), receiver.replica.id
            await link.call("", SnapshotOffer(3, ident, "s"), 1.0)
            reply = await link.call("", SnapshotCommit(3, ident, "s", state.digests), 1.0)
            self.assertIs(Code.NOT_SYNCED, reply.code)
            self.assertEqual(0, receiver.replica.promised)

        run(scenario)

    def test_a_late_chunk_of_a_former_transfer_is_rejected(self) -> None:
        async def scenario() -> None:
            receiver, link = Receiver(), None
            link, ident = Link(receiver), receiver.replica.id
            late = SnapshotChunk(3, ident, "old", [1], [])
            await link.call("", SnapshotOffer(3, ident, "old"), 1.0)
            await link.call("", SnapshotOffer(4, ident, "new"), 1.0)
            self.assertIs(Code.NOT_SYNCED, (await link.call("", late, 1.0)).code)
            receiver.replica.promise(5)
            offer = SnapshotOffer(4, ident, "new")
            self.assertIs(Code.STALE_EPOCH, (await link.call("", offer, 1.0)).code)

        run(scenario)

    def test_the_journal_is_not_rewritten_during_a_transfer(self) -> None:
        async def scenario() -> None:
            receiver, state = Receiver(), state_of(200)
            link, replica = Link(receiver), receiver.replica
            self.assertTrue(await sender_on(link).install(receiver.controller_info, 2, state_of(200, 500, 1000)))
            receiver.disk.slow_s = 0.2
            rewriting = asyncio.ensure_future(receiver.journal.rewrite(replica.live_records))
            await asyncio.sleep(0)
            self.assertTrue(await sender_on(link).install(receiver.controller_info, 3, state))
            self.assertFalse(await rewriting)
            receiver.restart(power_loss=True)
            self.assertEqual(state.items, receiver.replica.store.items)
            await link.call("", SnapshotOffer(4, receiver.replica.id, "s"), 1.0)
            self.assertFalse(receiver.replica.may_rewrite())
            await asyncio.sleep(11.0)
            self.assertTrue(receiver.replica.may_rewrite())

        run(scenario)

    def test_an_install_after_preparation_is_short(self) -> None:
        """The state changes while it is prepared at the target; little is left to send in the election."""

        async def scenario() -> None:
            receiver = Receiver()
            link, state = Link(receiver), state_of(5000)
            sender = sender_on(link)
            preparing = asyncio.ensure_future(sender.prepare(receiver.controller_info, 3, state))
            for n in range(40):
                await asyncio.sleep(0.05)
                state.apply([Item(f"server/{n}", 10_000 + n, b"{}")])
            self.assertFalse(preparing.done())
            await preparing
            self.assertEqual({}, receiver.replica.store.items)
            began, link.bytes = asyncio.get_running_loop().time(), 0
            self.assertTrue(await sender.install(receiver.controller_info, 4, state))
            self.assertEqual(state.items, receiver.replica.store.items)
            self.assertLess(asyncio.get_running_loop().time() - began, 0.5)

        run(scenario)

    def test_an_election_waits_for_a_large_state_and_not_for_a_small_one(self) -> None:
        async def scenario() -> None:
            receiver = Receiver()
            sender = sender_on(Link(receiver))
            preparation, replica = SnapshotPreparation(sender.replica, sender), sender.replica
            replica.store = state_of(10)
            self.assertTrue(preparation.is_ready([receiver.controller_info]))
            replica.store = state_of(2000)
            self.assertFalse(preparation.is_ready([receiver.controller_info]))
            await asyncio.sleep(3.0)
            self.assertTrue(preparation.is_ready([receiver.controller_info]))
            assert receiver.replica.staged is not None
            self.assertEqual(replica.store.items, receiver.replica.staged.items)

        run(scenario)

    def test_a_stuck_target_delays_an_election_only_for_a_bounded_time(self) -> None:
        async def scenario() -> None:
            receiver = Receiver()
            sender = sender_on(Link(receiver, bytes_per_s=1000.0))
            preparation, sender.replica.store = SnapshotPreparation(sender.replica, sender), state_of(2000)
            loop = asyncio.get_running_loop()
            began = loop.time()
            self.assertFalse(preparation.is_ready([receiver.controller_info]))
            while not preparation.is_ready([receiver.controller_info]):  # the primary polls like this
                await asyncio.sleep(0.05)
                self.assertLess(loop.time() - began, PREPARE_TIMEOUT_S + 1.0)

        run(scenario)


if __name__ == "__main__":
    unittest.main()
