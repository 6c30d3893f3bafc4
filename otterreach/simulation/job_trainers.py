"""Trainers: they submit batch jobs, read results as they come, end jobs, and look back at what they were told."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from otterreach.jobstore.messages import EndJob, ItemBody, JobResults, ReadItem, ReadJob, SubmitJob
from otterreach.proxy.directory import JobStoreDirectory
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc import Done
from otterreach.simulation.job_proxy import CALL_S, DirectoryFleet, text_of
from otterreach.simulation.loop import Process
from otterreach.simulation.world import Box, World

SETTLE_S = 1.0
TRAINERS = 3


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


class Trainers:
    """All trainers of a run, and what they have been told."""

    def __init__(self, world: World, random: Random) -> None:
        self.world = world
        self.random = random
        self.lots: dict[str, Lot] = {}
        self.taken = 0  # batch jobs
        self.stopping = False

    async def train(self, number: int, process: Process) -> None:
        """A trainer speaks to the proxies' side of the store_nodes: it stands on a machine without faults."""
        box = Box(self.world, process.name, "front", process.address, "hall-a", _no_role)
        box.first = True
        node = box.new_node()
        # It is known to nobody: only follows.
        await node.endpoint.listen(node.settings.ip, node.settings.port)
        node.endpoint.spawn(node.follower.run())
        fleet: Any = DirectoryFleet(node)
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
        ask = SubmitJob(lot.id, "h.example", "train", json.dumps(head).encode())
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
        assert isinstance(reply, JobResults)
        self._take(lot, past, reply, known)
        return True

    def _take(self, lot: Lot, past: int, reply: JobResults, known: list[tuple[str, str, str]]) -> None:
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


async def _no_role(box: Box) -> None:
    """A trainer's machine runs nothing by itself."""
