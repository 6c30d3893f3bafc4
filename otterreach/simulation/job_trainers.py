"""Trainers, which submit batch jobs, read results as they come, end jobs, and read earlier results again."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from otterreach.jobstore.messages import EndJob, ItemBody, JobResults, ReadItem, ReadJob, SubmitJob
from otterreach.proxy.directory import JobStoreDirectory, NoItems
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc_messages import Done
from otterreach.simulation.job_proxy import CALL_S, DirectoryFleet, text_of
from otterreach.simulation.loop import Process
from otterreach.simulation.world import SimulatedMachine, World

VISIBLE_WITHIN_S = 1.0
TRAINERS = 3


@dataclass
class BatchJob:
    """A batch job as seen by its trainer."""

    id: str
    items: dict[str, bytes]
    sent_at: float
    accepted_at: float = 0.0  # time of the answer 202; 0: none
    refused: bool = False  # every attempt was rejected
    unclear: bool = False
    ended_at: float = 0.0  # time of the acknowledgement; 0: none
    end_sent: bool = False
    results: list[tuple[str, str, str]] = field(default_factory=list)  # id, state and text by position, as first read


class Trainers:
    """All trainers of a run, and the answers that they received."""

    def __init__(self, world: World, random: Random) -> None:
        self.world = world
        self.random = random
        self.batch_jobs: dict[str, BatchJob] = {}
        self.accepted_count = 0
        self.stopping = False

    async def train(self, number: int, process: Process) -> None:
        """Run a trainer, which calls the job store nodes as a proxy does, from a machine without faults."""
        box = SimulatedMachine(self.world, process.name, "front", process.address, "hall-a", _no_role)
        box.first = True
        node = box.new_node()
        # The node is not announced to the others; it only follows the control state.
        await node.endpoint.listen(node.settings.ip, node.settings.port)
        node.endpoint.spawn(node.follower.run())
        fleet: Any = DirectoryFleet(node)
        directory = JobStoreDirectory(fleet, node.endpoint, node.settings, NoItems())
        count = 0
        while not self.stopping:
            count += 1
            batch_job = self._draw_batch_job(f"job-{number}-{count}", quick=number == TRAINERS)
            self.batch_jobs[batch_job.id] = batch_job
            await self._submit(directory, batch_job)
            if number == TRAINERS:  # only submits, to show that batch jobs are accepted while other trainers wait
                await asyncio.sleep(0.5)
                continue
            if batch_job.accepted_at:
                await self._follow(directory, batch_job)
            await self._reread_some(directory, number)
        for batch_job in [one for one in self.batch_jobs.values() if one.id.startswith(f"job-{number}-")]:
            await self._read_all_results(directory, batch_job)

    def _draw_batch_job(self, ident: str, quick: bool) -> BatchJob:
        count = 1 if quick else self.random.choice([1, 3, 6, 25])
        items = {f"{ident}.{n}": self.random.randbytes(self.random.choice([0, 5, 3000])) for n in range(count)}
        return BatchJob(ident, items, self.world.now)

    async def _submit(self, directory: JobStoreDirectory, batch_job: BatchJob) -> None:
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
            for item, body in batch_job.items.items()
        ]
        head = {"step": 0, "model": "m", "desired": 1, "minVersion": 1, "reqs": reqs}
        ask = SubmitJob(batch_job.id, "h.example", "train", json.dumps(head).encode())
        for _ in range(self.random.randint(1, 12)):
            reply = await directory.call(batch_job.id, ask, CALL_S, CALL_S)
            if isinstance(reply, Done):
                batch_job.accepted_at = self.world.now
                self.accepted_count += 1
                return
            batch_job.unclear = batch_job.unclear or reply.maybe_done
            self.world.expect(reply.code is not Code.BAD_JOB, "good batch job refused", str(reply))
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
        batch_job.refused = not batch_job.unclear

    async def _follow(self, directory: JobStoreDirectory, batch_job: BatchJob) -> None:
        """Read results as they come; end the batch job when all are there, or earlier at random."""
        read_until = self.world.now + self.random.choice([0.3, 2.0, 12.0])
        while len(batch_job.results) < len(batch_job.items) and self.world.now < read_until and not self.stopping:
            known = len(batch_job.results)
            past = known if self.random.random() < 0.8 else self.random.randint(0, known)
            await self._read(directory, batch_job, past, 500)
            if self.random.random() < 0.2:
                await self._read_body(directory, batch_job)
        if self.random.random() < 0.8:
            batch_job.end_sent = True
            while not batch_job.ended_at:
                reply = await directory.call(batch_job.id, EndJob(batch_job.id), CALL_S, CALL_S)
                if isinstance(reply, Done) or reply.code is Code.JOB_ENDED:
                    batch_job.ended_at = self.world.now
                else:
                    self._check_known(batch_job, reply)
                    await asyncio.sleep(0.1)

    def _check_known(self, batch_job: BatchJob, reply: Failure) -> None:
        gone = reply.code is Code.UNKNOWN_JOB
        is_visible = batch_job.accepted_at and self.world.now > batch_job.accepted_at + VISIBLE_WITHIN_S
        self.world.expect(not (gone and is_visible), "taken is gone", f"{batch_job.id}: {reply}")

    async def _read(self, directory: JobStoreDirectory, batch_job: BatchJob, past: int, wait_ms: int) -> bool:
        known = list(batch_job.results)
        within = CALL_S + wait_ms / 1000
        reply = await directory.call(batch_job.id, ReadJob(batch_job.id, past, wait_ms), within, within)
        if isinstance(reply, Failure):
            self._check_known(batch_job, reply)
            return False
        assert isinstance(reply, JobResults)
        self._check_results(batch_job, past, reply, known)
        return True

    def _check_results(
        self, batch_job: BatchJob, past: int, reply: JobResults, known: list[tuple[str, str, str]]
    ) -> None:
        expect = self.world.expect
        ident = batch_job.id
        rows = [(r["id"], r["state"], r.get("text", "")) for r in json.loads(b"[" + reply.body + b"]")]
        expect(reply.total == len(batch_job.items), "total", f"{ident}: {reply.total} of {len(batch_job.items)}")
        expect(reply.next_cursor == past + len(rows), "cursor", f"{ident}: {past} {reply.next_cursor} {len(rows)}")
        expect(past + len(rows) >= len(known), "position is gone", f"{ident}: {past} {len(rows)} {len(known)}")
        for position, row in enumerate(rows, past):
            if position < len(batch_job.results):
                expect(batch_job.results[position] == row, "position changes", f"{ident} {position}: {row}")
            elif position == len(batch_job.results):
                expect(row[0] not in {r[0] for r in batch_job.results}, "listed twice", f"{ident}: {row[0]}")
                batch_job.results.append(row)
            expect(row[0] in batch_job.items, "an item of another", f"{ident}: {row[0]}")
            expect(row[1] != "done" or row[2] == text_of(ident, row[0]), "another text", f"{ident}: {row}")
            expect(row[1] == "done" or batch_job.end_sent, "errored without reason", f"{ident}: {row}")

    async def _read_body(self, directory: JobStoreDirectory, batch_job: BatchJob) -> bool:
        """Read the body of an item whose result has not been listed yet."""
        listed = {row[0] for row in batch_job.results}
        waiting = [item for item in batch_job.items if item not in listed]
        if not waiting:
            return True
        item = self.random.choice(waiting)
        reply = await directory.call(batch_job.id, ReadItem(batch_job.id, item), CALL_S, CALL_S)
        if isinstance(reply, ItemBody):
            self.world.expect(reply.body == batch_job.items[item], "other bytes", f"{batch_job.id} {item}")
            return True
        if reply.code is Code.UNKNOWN_ITEM and not batch_job.end_sent:  # its result must have been listed meanwhile
            await self._read(directory, batch_job, 0, 0)
        self._check_known(batch_job, reply)
        return False

    async def _reread_some(self, directory: JobStoreDirectory, number: int) -> None:
        prefix = f"job-{number}-"
        accepted = [one for one in self.batch_jobs.values() if one.accepted_at and one.id.startswith(prefix)]
        for batch_job in self.random.sample(accepted, min(2, len(accepted))):
            await self._read(directory, batch_job, self.random.randint(0, len(batch_job.results)), 0)

    async def _read_all_results(self, directory: JobStoreDirectory, batch_job: BatchJob) -> None:
        """Check at the end that an accepted batch job is complete from the first position."""
        if not batch_job.accepted_at:
            return
        end = self.world.now + 10.0
        while self.world.now < end:
            if await self._read(directory, batch_job, 0, 0):
                return
            await asyncio.sleep(0.2)
        self.world.expect(False, "in time", f"{batch_job.id}: results not readable within 10 s after the end")


async def _no_role(box: SimulatedMachine) -> None:
    """Do nothing: the machine of a trainer runs no role."""
