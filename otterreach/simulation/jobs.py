"""JobStoreNodes, controllers and what speaks to them under faults: batch jobs are submitted, run, read and ended.

Checked: what was taken is never unknown, at any time when somebody answers; a position keeps its result; no item stands
twice; what is listed is what was run; a refused batch job never runs; nothing of an ended batch job begins later than
cancelMs after; one primary for each epoch of a partition; in calm times calls are answered in time.
"""

from __future__ import annotations

import asyncio
import base64
import json
import zlib
from dataclasses import dataclass, field
from random import Random
from typing import Any

from otterreach.jobstore.messages import (
    Assign,
    CancelJob,
    EndJob,
    Finished,
    ItemBody,
    ReadItem,
    ReadJob,
    Results,
    Running,
    Submit,
)
from otterreach.jobstore.node import JobStoreNode
from otterreach.jobstore.partition import Copy, CopyState
from otterreach.jobstore.placement import part_of
from otterreach.proxy.directory import JobStoreDirectory
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.node import Node
from otterreach.runtime.rpc import Done, Link
from otterreach.simulation import control, faults
from otterreach.simulation.loop import Process
from otterreach.simulation.world import Box, World

SLAS = control.SLAS | {"cancelMs": 3000, "settleMs": 1000, "statusS": 600}
CANCEL_S, SETTLE_S = 3.0, 1.0
CALL_S = 0.8
START_S = 10.0
CLEAR_S = 4.0  # a call in calm times
SLOTS = 6
RUN_S, LONG_S = (0.02, 0.8), (2.0, 5.0)
TRAINERS = 3


async def store_node(box: Box) -> None:
    node = box.new_node()
    journal = box.journal()
    records = journal.read()
    box.object = JobStoreNode(node, journal, node.random, records)
    await box.object.start()
    await node.start("store")
    await node.stopping.wait()


class _Draw:
    def __init__(self, random: Random) -> None:
        self.random = random


class _Fleet:
    """What JobStoreDirectory uses of a proxy's fleet."""

    def __init__(self, node: Node) -> None:
        self.store, self.loop = node.store, asyncio.get_running_loop()
        self.draw = _Draw(node.random)


def text_of(job: str, item: str) -> str:
    return f"text of {job} {item}"


def is_long(job: str) -> bool:
    """Items of such a batch job keep their slots, so that others wait at their proxies for seconds."""
    return zlib.crc32(job.encode()) % 3 == 0


class SmallProxy:
    """Runs items by waiting a moment, under the rule of the real one: right before one goes out, JobStoreDirectory
    must say that its batch job is in force."""

    def __init__(self, scenario: Scenario, box: Box, node: Node) -> None:
        self.scenario, self.box, self.node = scenario, box, node
        self.loop = asyncio.get_running_loop()
        self.queue: dict[tuple[str, str], Assign] = {}
        self.running: set[tuple[str, str]] = set()
        self.reporting: set[tuple[str, str]] = set()
        self.ended: set[str] = set()
        fleet: Any = _Fleet(node)
        self.directory = JobStoreDirectory(fleet, node.endpoint, node.settings, self._load, self._end, self._moved)
        node.endpoint.on(Assign, self._assign)
        node.endpoint.on(CancelJob, self._cancel)

    async def run(self) -> None:
        spawn = self.node.endpoint.spawn
        spawn(self.directory.run())
        while True:
            await asyncio.sleep(0.05)
            for key in list(self.queue):
                busy = key in self.running or key in self.reporting or len(self.running) >= SLOTS
                if not busy and self.directory.in_force(key[0]):
                    self.running.add(key)
                    self.scenario.begins(self.box, key)
                    spawn(self._one(key))

    def _load(self) -> tuple[int, int, list[str]]:
        return SLOTS, max(0, SLOTS - len(self.queue)), sorted({job for job, _ in self.queue})

    async def _assign(self, link: Link, assign: Assign) -> None:
        hold = self.directory.owners.get(assign.part)
        if assign.job in self.ended or hold and assign.epoch < hold.epoch:
            return
        for work in assign.works:
            self.scenario.given(assign.job, work.item, work.body)
            self.queue.setdefault((assign.job, work.item), assign)

    async def _cancel(self, link: Link, cancel: CancelJob) -> None:
        self._end(cancel.job)

    def _end(self, job: str) -> None:
        self.ended.add(job)
        for key in [k for k in self.queue if k[0] == job]:
            del self.queue[key]

    def _moved(self, part: int, address: str) -> None:
        items = [" ".join(key) for key in self.queue if part_of(key[0]) == part]
        running = Running(part, self.node.settings.node, items)
        self.node.endpoint.spawn(self.node.endpoint.call(address, running, CALL_S))

    async def _one(self, key: tuple[str, str]) -> None:
        await asyncio.sleep(self.node.random.uniform(*(LONG_S if is_long(key[0]) else RUN_S)))
        self.running.discard(key)
        self.reporting.add(key)
        finished = Finished(*key, "done", "", text_of(*key), [2], "score")
        while key in self.queue:
            reply = await self.directory.ask(key[0], finished, CALL_S * 2, CALL_S)
            final = (Code.JOB_ENDED, Code.UNKNOWN_ITEM, Code.UNKNOWN_JOB, Code.BAD_MESSAGE)
            if isinstance(reply, Done) or isinstance(reply, Failure) and reply.code in final:
                self.scenario.told(key, reply)
                self.queue.pop(key, None)
        self.reporting.discard(key)


@dataclass
class Lot:
    """A batch job as its trainer has seen it."""

    id: str
    items: dict[str, bytes]
    sent_at: float
    taken_at: float = 0.0  # 202
    refused: bool = False  # at every try
    unclear: bool = False
    ended_at: float = 0.0  # acknowledged
    end_sent: bool = False
    results: list[tuple[str, str, str]] = field(default_factory=list)  # by position, as first read


class Scenario:
    """One run."""

    def __init__(self, world: World, controllers: int = 5, store_nodes: int = 4, proxies: int = 2) -> None:
        self.world = world
        self.random = Random(world.seed ^ 0x10B5)
        for n in range(controllers):
            world.add(f"core-{n}", "core", n % 3, control.controller)
        for n in range(store_nodes):
            world.add(f"store-{n}", "store", n % 3, store_node)
        for n in range(proxies):
            world.add(f"front-{n}", "front", n % 3, self._proxy)
        world.seeds = [box.ip for box in world.of_role("core")[:3]]
        names = [b.name for b in (*world.of_role("core"), *world.of_role("store"))]
        self.plan = faults.draw(
            Random(world.seed ^ 0xFA), names, [b.name for b in world.of_role("front")], world.survive
        )
        self.lots: dict[str, Lot] = {}
        self.primaries: dict[tuple[int, int], str] = {}
        self.troubles: faults.Troubles
        self.stopping = False
        self.finishing = False
        world.watch(self._summary, self._check_primaries, always=False)

    def _hook(self) -> None:
        """The summary is dear: it is looked at when a copy may have changed."""

        def noting(plain: Any) -> Any:
            def noted(*args: Any) -> Any:
                self.world.changed = True
                return plain(*args)

            return noted

        for name in ("become", "promise", "replayed"):
            self.world.wrap(Copy, name, noting)

    async def _proxy(self, box: Box) -> None:
        node = box.new_node()
        box.object = SmallProxy(self, box, node)
        await node.start("front")
        await box.object.run()

    # What is looked at after each step -----------------------------------------------------------

    def _store_nodes(self) -> list[tuple[Box, JobStoreNode]]:
        return [(b, b.object) for b in self.world.of_role("store") if b.up and isinstance(b.object, JobStoreNode)]

    def _summary(self) -> Any:
        rows = []
        for box, one in self._store_nodes():
            for copy in one.replication.copies:
                rows.append((box.name, copy.part, copy.state, copy.epoch, copy.whole))
        return tuple(rows)

    def _check_primaries(self) -> None:
        for box, one in self._store_nodes():
            for copy in one.replication.copies:
                if copy.state is CopyState.SERVING:
                    name = f"{box.name}#{box.node.disk if box.node else ''}"
                    known = self.primaries.setdefault((copy.part, copy.epoch), name)
                    what = f"{known} and {name}: part {copy.part} {copy.epoch}"
                    self.world.expect(known == name, "one primary", what)

    def begins(self, box: Box, key: tuple[str, str]) -> None:
        """A proxy is about to send an item to a server."""
        lot = self.lots.get(key[0])
        self.world.expect(lot and key[1] in lot.items, "runs what was never sent", " ".join(key))
        assert lot is not None
        self.world.expect(not lot.refused, "runs what was refused", " ".join(key))
        late = lot.ended_at and self.world.now > lot.ended_at + CANCEL_S
        self.world.expect(not late, "runs what was ended", f"{' '.join(key)} at {box.name}")

    def given(self, job: str, item: str, body: bytes) -> None:
        lot = self.lots.get(job)
        self.world.expect(lot and lot.items.get(item) == body, "other bytes", f"{job} {item}")

    def told(self, key: tuple[str, str], reply: Any) -> None:
        lot = self.lots[key[0]]
        gone = isinstance(reply, Failure) and reply.code is Code.UNKNOWN_JOB
        self.world.expect(not (gone and lot.taken_at and not lot.end_sent), "taken is gone", f"{key[0]} to a proxy")
        bad = isinstance(reply, Failure) and reply.code is Code.BAD_MESSAGE
        self.world.expect(not bad, "good result refused", f"{key}: {reply}")

    # The run -------------------------------------------------------------------------------------

    async def play(self) -> None:
        world = self.world
        for box in world.boxes.values():
            world.plainly(self.random.uniform(0.0, 0.3), box.start)
        self._hook()
        trainers = [Process(f"trainer-{n}", f"10.9.0.{n + 1}") for n in range(TRAINERS + 1)]
        self.taken = 0
        tasks = [person.start(world.loop, self._train(n, person)) for n, person in enumerate(trainers)]
        await self._until(lambda: self.taken > 0, START_S, "first batch job")
        self.troubles = faults.Troubles(world, self.plan)
        start = world.now
        for begin, _ in self.plan.calm:
            await asyncio.sleep(max(0.0, start + begin + control.CONTACT_S + 1.5 - world.now))
            before = self.taken
            await self._until(lambda before=before: self.taken > before, CLEAR_S, "a batch job in calm times")
        await asyncio.sleep(max(0.0, start + self.plan.end - world.now))
        self.stopping = True
        for task in tasks:
            await asyncio.wait([task], timeout=30.0)
        world.expect(all(task.done() for task in tasks), "in time", "trainers don't come to their end")
        for task in tasks:
            if task.done():
                task.result()

    async def _until(self, holds: Any, within_s: float, what: str) -> None:
        end = self.world.now + within_s
        while not holds():
            if self.world.now > end:
                self.world.expect(False, "in time", f"{what}: not within {within_s:.1f} s")
                return
            await asyncio.sleep(0.05)

    async def _train(self, number: int, process: Process) -> None:
        """A trainer speaks to the proxies' side of the store_nodes: it stands on a machine without faults."""
        box = Box(self.world, process.name, "front", process.address, "hall-a", self._proxy)
        box.first = True
        node = box.new_node()
        # It is known to nobody: only follows.
        await node.endpoint.listen(node.settings.ip, node.settings.port)
        node.endpoint.spawn(node.follower.run())
        fleet: Any = _Fleet(node)
        directory = JobStoreDirectory(
            fleet, node.endpoint, node.settings, lambda: (0, 0, []), lambda _: None, lambda *_: None
        )
        count = 0
        while not self.stopping:
            count += 1
            lot = self._draw_lot(f"job-{number}-{count}", quick=number == TRAINERS)
            self.lots[lot.id] = lot
            await self._submit(directory, lot)
            if number == TRAINERS:  # shows that batch jobs are taken, whatever the others wait for
                await asyncio.sleep(0.5)
                continue
            if lot.taken_at:
                await self._follow(directory, lot)
            await self._look_back(directory, number)
        for lot in [one for one in self.lots.values() if one.id.startswith(f"job-{number}-")]:
            await self._read_whole(directory, lot)

    def _draw_lot(self, ident: str, quick: bool) -> Lot:
        count = 1 if quick else self.random.choice([1, 3, 6, 25])
        items = {f"{ident}.{n}": self.random.randbytes(self.random.choice([0, 5, 3000])) for n in range(count)}
        return Lot(ident, items, self.world.now)

    async def _submit(self, directory: JobStoreDirectory, lot: Lot) -> None:
        reqs = [
            {
                "id": item,
                "path": "/p/",
                "headers": {},
                "body": base64.b64encode(body).decode(),
                "tokens": 4,
                "group": "g",
                "scorer": {"id": f"s{item}", "host": "h", "path": "/s", "body": ""},
            }
            for item, body in lot.items.items()
        ]
        head = {"step": 0, "model": "m", "desired": 1, "minVersion": 1, "reqs": reqs}
        ask = Submit(lot.id, "h.example", "train", json.dumps(head).encode())
        for _ in range(self.random.randint(1, 12)):
            reply = await directory.ask(lot.id, ask, CALL_S, CALL_S)
            if isinstance(reply, Done):
                lot.taken_at = self.world.now
                self.taken += 1
                return
            lot.unclear = lot.unclear or reply.maybe_done
            self.world.expect(reply.code is not Code.BAD_JOB, "good batch job refused", str(reply))
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
        lot.refused = not lot.unclear

    async def _follow(self, directory: JobStoreDirectory, lot: Lot) -> None:
        """Read as results come; end it when enough is there, or for some reason sooner."""
        patience = self.world.now + self.random.choice([0.3, 2.0, 12.0])
        while len(lot.results) < len(lot.items) and self.world.now < patience and not self.stopping:
            past = len(lot.results) if self.random.random() < 0.8 else self.random.randint(0, len(lot.results))
            await self._read(directory, lot, past, 500)
            if self.random.random() < 0.2:
                await self._body(directory, lot)
        if self.random.random() < 0.8:
            lot.end_sent = True
            while not lot.ended_at:
                reply = await directory.ask(lot.id, EndJob(lot.id), CALL_S, CALL_S)
                if isinstance(reply, Done) or reply.code is Code.JOB_ENDED:
                    lot.ended_at = self.world.now
                else:
                    self._not_unknown(lot, reply)
                    await asyncio.sleep(0.1)

    def _not_unknown(self, lot: Lot, reply: Failure) -> None:
        gone = reply.code is Code.UNKNOWN_JOB
        settled = lot.taken_at and self.world.now > lot.taken_at + SETTLE_S
        self.world.expect(not (gone and settled), "taken is gone", f"{lot.id}: {reply}")

    async def _read(self, directory: JobStoreDirectory, lot: Lot, past: int, wait_ms: int) -> bool:
        known = list(lot.results)
        within = CALL_S + wait_ms / 1000
        reply = await directory.ask(lot.id, ReadJob(lot.id, past, wait_ms), within, within)
        if isinstance(reply, Failure):
            self._not_unknown(lot, reply)
            return False
        assert isinstance(reply, Results)
        self._take(lot, past, reply, known)
        return True

    def _take(self, lot: Lot, past: int, reply: Results, known: list[tuple[str, str, str]]) -> None:
        expect = self.world.expect
        rows = [(r["id"], r["state"], r.get("text", "")) for r in json.loads(b"[" + reply.body + b"]")]
        expect(reply.total == len(lot.items), "total", f"{lot.id}: {reply.total} of {len(lot.items)}")
        expect(reply.next_cursor == past + len(rows), "cursor", f"{lot.id}: {past} {reply.next_cursor} {len(rows)}")
        expect(past + len(rows) >= len(known), "position is gone", f"{lot.id}: {past} {len(rows)} {len(known)}")
        for position, row in enumerate(rows, past):
            if position < len(lot.results):
                expect(lot.results[position] == row, "position changes", f"{lot.id} {position}: {row}")
            elif position == len(lot.results):
                expect(row[0] not in {r[0] for r in lot.results}, "listed twice", f"{lot.id}: {row[0]}")
                lot.results.append(row)
            expect(row[0] in lot.items, "an item of another", f"{lot.id}: {row[0]}")
            expect(row[1] != "done" or row[2] == text_of(lot.id, row[0]), "another text", f"{lot.id}: {row}")
            expect(row[1] == "done" or lot.end_sent, "errored without reason", f"{lot.id}: {row}")

    async def _body(self, directory: JobStoreDirectory, lot: Lot) -> bool:
        """The body of an item that has not been seen listed."""
        listed = {row[0] for row in lot.results}
        waiting = [item for item in lot.items if item not in listed]
        if not waiting:
            return True
        item = self.random.choice(waiting)
        reply = await directory.ask(lot.id, ReadItem(lot.id, item), CALL_S, CALL_S)
        if isinstance(reply, ItemBody):
            self.world.expect(reply.body == lot.items[item], "other bytes", f"{lot.id} {item}")
            return True
        if reply.code is Code.UNKNOWN_ITEM and not lot.end_sent:  # listed meanwhile, then
            await self._read(directory, lot, 0, 0)
        self._not_unknown(lot, reply)
        return False

    async def _look_back(self, directory: JobStoreDirectory, number: int) -> None:
        mine = [lot for lot in self.lots.values() if lot.taken_at and lot.id.startswith(f"job-{number}-")]
        for lot in self.random.sample(mine, min(2, len(mine))):
            await self._read(directory, lot, self.random.randint(0, len(lot.results)), 0)

    async def _read_whole(self, directory: JobStoreDirectory, lot: Lot) -> None:
        """After all is over: what was taken is there, from the start."""
        if not lot.taken_at:
            return
        end = self.world.now + 10.0
        while self.world.now < end:
            if await self._read(directory, lot, 0, 0):
                return
            await asyncio.sleep(0.2)
        self.world.expect(False, "in time", f"{lot.id} can't be read at the end")


def run(seed: int, plan: faults.Plan | None = None) -> tuple[World, faults.Plan]:
    """Play one seed, with its own plan of faults or another one."""
    world = World(seed, slas=SLAS)
    scenario = Scenario(world)
    if plan is not None:
        scenario.plan = plan
    world.run(scenario.play)
    return world, scenario.plan
