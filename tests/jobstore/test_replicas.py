"""Partition replicas: an acknowledged write is at all of them and survives changes of primary and losses of disks."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from otterreach.controller.survival import SurviveLimits
from otterreach.jobstore.messages import AppendEntries, Entry, JobResults, PartitionEpochs, PartitionPing
from otterreach.jobstore.partition_replica import PartitionReplica, ReplicaState
from otterreach.jobstore.replication_context import MAX_CONFIRMATION_AGE_S
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc_messages import Done
from tests.jobstore.jobstore_world import Client, Store, World, job_json
from tests.virtual import run

Scenario = Callable[[World, Client], Coroutine[Any, Any, None]]


def run_scenario(scenario: Scenario, stores: int = 3) -> None:
    async def main() -> None:
        world = World(stores)
        client = Client(world)
        await world.serving("a")
        await scenario(world, client)
        world.check()

    run(main)


def results_of(reply: Any) -> list[dict[str, Any]]:
    assert isinstance(reply, JobResults), reply
    results: list[dict[str, Any]] = json.loads(b"[" + reply.body + b"]")
    return results


class ReplicasTest(unittest.TestCase):
    def test_done_only_once_all_replicas_have_it_on_disk(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            primary, backup = world.primary_of("a"), world.backup_of("a")
            backup.journal.sync_s = 0.5
            reply = asyncio.ensure_future(client.submit("a"))
            await asyncio.sleep(0.3)
            self.assertFalse(reply.done())
            self.assertIsInstance(await client.read("a"), Failure)
            self.assertIsInstance(await reply, Done)
            self.assertIn(b'"reqs"', backup.disk.data[: backup.disk.synced])
            self.assertIn(b'"reqs"', primary.disk.data[: primary.disk.synced])

        run_scenario(scenario)

    def test_a_repeated_submission_is_one_job(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            replies = await asyncio.gather(*(client.submit("a") for _ in range(5)))
            self.assertEqual([Done()] * 5, replies)
            self.assertEqual(1, world.primary_of("a").replica("a").index)
            await client.end("a")
            self.assertEqual(Done(), await client.submit("a"))
            self.assertEqual(2, world.primary_of("a").replica("a").index)

        run_scenario(scenario)

    def test_results_and_their_positions_survive_a_takeover(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            for n in (2, 0):
                self.assertEqual(Done(), await client.finish("a", n))
            before = results_of(await client.read("a"))
            old = world.primary_of("a")
            old.stop()
            world.set_alive(old, alive=False)
            new = await world.serving("a")
            self.assertNotEqual(old.name, new.name)
            self.assertEqual(before, results_of(await client.read("a", store=new)))
            self.assertEqual(Done(), await client.finish("a", 1))
            after = results_of(await client.read("a"))
            self.assertEqual(before, after[:2])
            self.assertEqual("a-1", after[2]["id"])

        run_scenario(scenario)

    def test_a_write_that_a_backup_does_not_receive_is_not_acknowledged(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            primary, backup = world.primary_of("a"), world.backup_of("a")
            world.net.disconnect(primary.address, backup.address)
            reply = await client.submit("a", timeout_s=4.0)
            self.assertIsInstance(reply, Failure)
            self.assertTrue(reply.maybe_done)
            self.assertTrue(any(report.member == backup.node.member for report in world.lost))

        run_scenario(scenario)

    def test_a_deposed_primary_answers_nothing(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            old = world.primary_of("a")
            world.net.disconnect(old.address, "core:7000")  # it does not receive the new record
            world.set_alive(old, alive=False)
            new = await world.serving("a", 3.0)
            while new is old:
                await asyncio.sleep(0.05)
                new = await world.serving("a", 3.0)
            self.assertEqual(Done(), await client.end("a"))
            for reply in (
                await client.submit("b", old),
                await client.read("a", store=old),
                await client.finish("a", 0, store=old),
            ):
                self.assertIsInstance(reply, Failure)
                self.assertNotIn(reply.code, (Code.UNKNOWN_JOB, Code.JOB_ENDED, Code.UNKNOWN_ITEM))
            self.assertFalse(old.replica("a").is_primary)

        run_scenario(scenario)

    def test_a_primary_cut_off_from_its_backup_soon_answers_no_reads(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            primary, backup = world.primary_of("a"), world.backup_of("a")
            world.net.disconnect(primary.address, backup.address)
            await asyncio.sleep(MAX_CONFIRMATION_AGE_S + 0.01)
            reply = await client.read("a")
            self.assertIsInstance(reply, Failure)
            self.assertIs(Code.NOT_SYNCED, reply.code)
            unknown = await client.read("never", store=primary)
            self.assertIsNot(Code.UNKNOWN_JOB, getattr(unknown, "code", None))
            world.net.reconnect()
            await asyncio.sleep(0.5)
            self.assertIsInstance(await client.read("a"), JobResults)

        run_scenario(scenario)

    def test_a_primary_that_was_frozen_does_no_harm_afterwards(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            await client.finish("a", 0)
            old = world.primary_of("a")
            world.net.freeze(old.address)
            stuck = asyncio.ensure_future(client.finish("a", 1, store=old))
            await asyncio.sleep(1.0)
            world.set_alive(old, alive=False)
            new = await world.serving("a", 5.0)
            while new is old:
                await asyncio.sleep(0.1)
                new = await world.serving("a", 5.0)
            self.assertEqual(Done(), await client.finish("a", 2, store=new))
            world.net.thaw(old.address)
            self.assertIsInstance(await stuck, Failure)
            await asyncio.sleep(0.5)
            listed = results_of(await client.read("a"))
            self.assertEqual(["a-0", "a-2"], [r["id"] for r in listed])
            world.set_alive(old)
            await asyncio.sleep(2.0)
            self.assertEqual(listed, results_of(await client.read("a")))

        run_scenario(scenario)

    def test_power_lost_everywhere(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            await client.finish("a", 3)
            for store in world.stores.values():
                store.stop(power=True)
            await asyncio.sleep(0.5)
            for store in world.stores.values():
                store.start()
            await world.serving("a")
            self.assertEqual(["a-3"], [r["id"] for r in results_of(await client.read("a"))])

        run_scenario(scenario)

    def test_power_lost_everywhere_and_one_disk_while_the_controller_holds_one_after_the_other_to_be_dead(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            await client.finish("a", 3)
            primary, backup = world.primary_of("a"), world.backup_of("a")
            for store in world.stores.values():
                store.stop(power=True)
            world.set_alive(primary, alive=False)
            backup.wipe()
            world.set_alive(backup, alive=False)
            for store in world.stores.values():
                store.start()
                world.set_alive(store)
            await world.serving("a")
            self.assertEqual(["a-3"], [r["id"] for r in results_of(await client.read("a"))])

        run_scenario(scenario)

    def test_a_torn_record_at_the_end_is_ignored(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            backup = world.backup_of("a")
            index = backup.replica("a").index
            backup.stop()
            backup.disk.data += b"\x40\x00\x00\x00torn"
            backup.start()
            await world.serving("a")
            self.assertEqual(index, backup.replica("a").index)
            self.assertEqual(Done(), await client.finish("a", 0))

        run_scenario(scenario)

    def test_a_wiped_backup_is_another_member_and_is_filled(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            await client.finish("a", 1)
            backup = world.backup_of("a")
            before = backup.node.member
            backup.wipe()
            backup.start()
            self.assertNotEqual(before, backup.node.member)
            self.assertFalse(backup.replica("a").is_complete)
            world.set_alive(backup)
            await asyncio.sleep(2.0)
            primary = world.primary_of("a")
            self.assertNotIn(before, world.partition_records()[primary.replica("a").partition].members)
            replica = world.backup_of("a").replica("a")
            self.assertEqual(primary.replica("a").position, replica.position)
            self.assertEqual(primary.replica("a").jobs.digests(), replica.jobs.digests())
            self.assertEqual(Done(), await client.finish("a", 2))

        run_scenario(scenario, 2)

    def test_a_backup_that_lost_unsynced_entries_is_caught_up(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            backup = world.backup_of("a")
            backup.stop(power=True)
            reply = asyncio.ensure_future(client.submit("a2", world.primary_of("a"), timeout_s=3.0))
            await asyncio.sleep(0.1)
            backup.start()
            await reply
            await asyncio.sleep(0.5)
            self.assertEqual(world.primary_of("a").replica("a").position, backup.replica("a").position)

        run_scenario(scenario)

    def test_writes_wait_for_a_learner_before_it_may_become_primary(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            world.controller.handlers.clear()  # no ReplicaInSync is received
            primary, backup = world.primary_of("a"), world.backup_of("a")
            learner = next(s for s in world.stores.values() if s not in (primary, backup))
            partition = primary.replica("a").partition
            record = world.partition_records()[partition]
            world.put(
                f"part/{partition}",
                {**json.loads(record.encode()), "epoch": record.epoch + 1, "joining": [learner.node.member]},
            )
            await asyncio.sleep(0.5)
            self.assertEqual({learner.node.member}, primary.replica("a").in_sync)
            learner.stop()
            self.assertIsInstance(await client.finish("a", 0), Failure)
            primary.stop()
            primary.start()
            await asyncio.sleep(0.5)
            self.assertEqual({learner.node.member}, primary.replica("a").in_sync)
            self.assertIsInstance(await client.finish("a", 0), Failure)
            learner.start()
            await world.serving("a")
            self.assertIsInstance(await client.finish("a", 1), Done)

        run_scenario(scenario)

    def test_a_replica_that_differs_is_installed_anew(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            await client.finish("a", 0)
            replica = world.backup_of("a").replica("a")
            job = replica.jobs.get("a")
            assert job is not None
            job.results[0] = b'{"id":"a-0","state":"done","text":"rotten"}'
            job.crc += 1
            await asyncio.sleep(7.0)
            self.assertEqual(world.primary_of("a").replica("a").jobs.digests(), replica.jobs.digests())
            repaired = replica.jobs.get("a")
            assert repaired is not None
            self.assertIn(b"text 0", repaired.results[0])

        run_scenario(scenario)

    def test_the_end_of_a_job_survives_a_takeover(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            await client.finish("a", 0)
            self.assertEqual(Done(), await client.end("a"))
            old = world.primary_of("a")
            old.stop(power=True)
            world.set_alive(old, alive=False)
            await world.serving("a")
            self.assertEqual(Done(), await client.end("a"))
            refused = await client.finish("a", 1)
            self.assertIs(Code.JOB_ENDED, refused.code)
            self.assertEqual(1, len(results_of(await client.read("a"))))

        run_scenario(scenario)

    def test_a_replica_that_has_been_moved_away_is_dropped(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            old = world.primary_of("a")
            old.stop()
            world.set_alive(old, alive=False)
            await world.serving("a")
            old.start()
            world.set_alive(old)
            await asyncio.sleep(15.0)
            partition = old.replica("a").partition
            record = world.partition_records()[partition]
            self.assertNotIn(old.node.member, (*record.members, *record.learners))
            self.assertIs(ReplicaState.ABSENT, old.replica("a").state)
            self.assertFalse(old.replica("a").jobs.jobs)

        run_scenario(scenario)


class ZonesTest(unittest.TestCase):
    """With `survive.zones`, data survive the loss of any zone, before and right after a repair."""

    def test_what_was_acknowledged_outlasts_any_zone(self) -> None:
        zones = {"store-0": "a", "store-1": "a", "store-2": "b", "store-3": "b"}
        for lost in ("a", "b"):
            with self.subTest(lost):
                run(lambda lost=lost: self._lose_zone(World(4, 1, SurviveLimits(1, 1), zones), lost))  # type: ignore[misc]

    async def _lose_zone(self, world: World, lost: str) -> None:
        client = Client(world)
        jobs = [f"job{n}" for n in range(20)]
        await asyncio.sleep(1.0)
        for job in jobs:
            self.assertEqual(Done(), await client.submit(job))
        gone = [store for store in world.stores.values() if world.zone(store.name) == lost]
        for store in gone:
            store.wipe()
            world.set_alive(store, alive=False)
        for job in jobs:
            self.assertIsInstance(await self._read(world, client, job), JobResults)
        for store in gone:
            store.start()
            world.set_alive(store)
        await self._wait_until_repaired(world)
        for job in jobs:
            self.assertIsInstance(await self._read(world, client, job), JobResults)
        world.check()

    async def _read(self, world: World, client: Client, job: str) -> Any:
        """Read as a proxy does: retry while the store that is asked does not serve the partition."""
        while True:
            reply = await client.read(job, store=await world.serving(job))
            if getattr(reply, "code", None) not in (Code.NOT_PRIMARY, Code.NOT_SYNCED):
                return reply

    async def _wait_until_repaired(self, world: World) -> None:
        for _ in range(200):
            await asyncio.sleep(0.1)
            world.plan()
            members = world.store_members()
            if all(
                members.survive(r.members, world.limits) and not r.learners for r in world.partition_records().values()
            ):
                return
        self.fail("partitions not spread over the zones again within 20 s")


class BackupMessagesTest(unittest.TestCase):
    """Messages to a backup: those of a lower epoch, another member or another session are rejected."""

    def test_conformance(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            backup = world.backup_of("a")
            replica = backup.replica("a")
            table: list[tuple[str, dict[str, Any], Code | None]] = [
                ("another member is meant", {"member": "store-9#0"}, Code.NOT_MEMBER),
                ("a lower epoch", {"epoch": replica.epoch - 1}, Code.STALE_EPOCH),
                ("records of another session", {"session": 7, "records": [Entry(1, b"")]}, Code.NOT_SYNCED),
                ("a question", {}, None),
            ]
            for name, changes, code in table:
                with self.subTest(name):
                    reply = await client.call(backup, append_request(backup, replica, **changes))
                    self.assertIs(code, getattr(reply, "code", None))

        run_scenario(scenario)

    def test_a_higher_epoch_ends_the_lower(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            primary, backup = world.primary_of("a"), world.backup_of("a")
            replica = backup.replica("a")
            epoch = replica.epoch + 1
            await client.call(backup, append_request(backup, replica, epoch=epoch))
            reply = await client.call(backup, PartitionPing(backup.node.member, [replica.partition], [epoch]))
            self.assertEqual(PartitionEpochs([epoch]), reply)
            await asyncio.sleep(0.3)
            self.assertIs(ReplicaState.FENCED, primary.replica("a").state)
            backup.stop(power=True)
            backup.start()
            self.assertEqual(epoch, backup.replica("a").epoch)

        run_scenario(scenario)


def append_request(store: Store, replica: PartitionReplica, **changes: Any) -> AppendEntries:
    values: dict[str, Any] = {
        "partition": replica.partition,
        "epoch": replica.epoch,
        "member": store.node.member,
        "session": 5,
        "index": replica.index,
        "chain": replica.chain,
        "records": [],
        **changes,
    }
    return AppendEntries(**values)


class JournalTest(unittest.TestCase):
    def test_a_rewritten_journal_restores_the_same_state(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            for name in ("a", "b", "c"):
                await client.submit(name)
                await client.finish(name, 1)
            await client.end("b")
            store = world.primary_of("a")
            before = {
                c.partition: (c.position, c.epoch, c.jobs.digests()) for c in store.store_node.replication.replicas
            }
            results = results_of(await client.read("a"))
            await store.journal.rewrite(store.store_node.live_slices)
            store.stop(power=True)
            store.start()
            after = {
                c.partition: (c.position, c.epoch, c.jobs.digests()) for c in store.store_node.replication.replicas
            }
            self.assertEqual(before, after)
            await world.serving("a")
            self.assertEqual(results, results_of(await client.read("a")))

        run_scenario(scenario)

    def test_a_journal_rewritten_during_appends_restores_the_same_state(self) -> None:
        """Appended records of a partition are written before its slice, between slices and after it."""

        async def scenario(world: World, client: Client) -> None:
            for name in ("a", "b", "c"):
                await client.submit(name)
            store = world.primary_of("a")
            store.journal.slice_s = 0.5
            rewriting = asyncio.ensure_future(store.journal.rewrite(store.store_node.live_slices))
            for n in range(40):
                await client.submit(f"more-{n}")
                await client.finish(f"more-{n}", 1)
            await client.finish("a", 1)
            await client.end("b")
            self.assertFalse(rewriting.done())
            self.assertTrue(await rewriting)
            await store.journal.sync()
            before = {
                c.partition: (c.position, c.epoch, c.jobs.digests()) for c in store.store_node.replication.replicas
            }
            store.stop(power=True)
            store.start()
            after = {
                c.partition: (c.position, c.epoch, c.jobs.digests()) for c in store.store_node.replication.replicas
            }
            self.assertEqual(before, after)

        run_scenario(scenario)

    def test_ended_jobs_are_dropped_after_their_retention_time_and_open_ones_stay(self) -> None:
        async def scenario(world: World, client: Client) -> None:
            await client.submit("a")
            await client.submit("b", body=job_json("b"))
            await client.end("a")
            await asyncio.sleep(119)
            self.assertIsInstance(await client.read("a"), JobResults)
            await asyncio.sleep(10)
            self.assertIs(Code.UNKNOWN_JOB, (await client.read("a")).code)
            self.assertIsInstance(await client.read("b"), JobResults)
            self.assertIsNone(world.backup_of("a").replica("a").jobs.get("a"))

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
