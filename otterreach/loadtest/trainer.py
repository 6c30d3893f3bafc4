"""A trainer: one batch job a step, read until enough groups are whole, ended, then the next version is named."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any

from otterreach.cli.caller import Headers, ask
from otterreach.loadtest.latency import Latencies
from otterreach.loadtest.plan import HOST, Route, Trainer
from otterreach.loadtest.scene import Scene
from otterreach.runtime.codes import Failure
from otterreach.sidecar import http1

WAIT_MS = 1000
WAITS_LONGER_S = 1.5  # than it allows the answer to be held
PAUSE_S = 0.4  # between two reads
RETRY_S = 0.15
LATE = 0.7  # of a second after dueMs: so long a group earns its worth
GIVE_UP = 2.0  # times dueMs
BACK = 0.2  # share of reads from an earlier position


@dataclass(frozen=True, slots=True)
class Item:
    """One request of a batch job."""

    id: str
    path: str
    group: str
    scorer: str
    scorer_path: str
    body: bytes
    tokens_in: int
    tokens_out: int
    parts: str
    never: bool

    def row(self, model: str) -> dict[str, Any]:
        """As in the JSON of a batch job."""
        headers = {"Model": model, "Tokens": f"{self.tokens_in},{self.tokens_out}", "Prompt-Prefix": self.parts}
        scorer = {
            "id": self.scorer,
            "host": HOST,
            "path": self.scorer_path,
            "body": base64.b64encode(b"mark " + self.id.encode()).decode(),
        }
        return {
            "id": self.id,
            "path": self.path,
            "headers": headers,
            "body": base64.b64encode(self.body).decode(),
            "tokens": self.tokens_in + self.tokens_out,
            "group": self.group,
            "scorer": scorer,
        }


@dataclass
class BatchJob:
    """A batch job as its trainer knows it. `rows` are the results by position."""

    id: str
    step: int
    items: dict[str, Item]
    min_version: int
    route: Route
    sent_at: float
    wanted: int  # groups
    accepted_at: float = 0.0
    maybe: bool = False  # a try had no clear answer
    end_sent_at: float = 0.0
    ended_at: float = 0.0  # its end was acknowledged
    rows: list[dict[str, Any]] = field(default_factory=list)
    listed: set[str] = field(default_factory=set)
    group_times: dict[str, float] = field(default_factory=dict)  # of whole groups: seconds after it was sent
    faults: list[str] = field(default_factory=list)

    @property
    def groups(self) -> dict[str, list[str]]:
        """The ids of the items of each group."""
        groups: dict[str, list[str]] = {}
        for item in self.items.values():
            groups.setdefault(item.group, []).append(item.id)
        return groups

    @property
    def refused(self) -> bool:
        """Every try was refused: nothing of it may run."""
        return not self.accepted_at and not self.maybe

    def take(self, past: int, body: bytes, now: float) -> int | None:
        """An answer to a read from position `past`: what it shows must be what was there before, and more.

        The position behind it, or None if it can't be read.
        """
        try:
            answer = json.loads(body)
            total = int(answer["total"])
            cursor = int(answer["nextCursor"])
            rows = list(answer["results"])
        except (ValueError, KeyError, TypeError) as error:
            self.faults.append(f"read from {past}: {error!r}")
            return None
        if total != len(self.items) or cursor != past + len(rows):
            self.faults.append(f"read from {past}: total {total}, nextCursor {cursor}, {len(rows)} results")
        for place, row in enumerate(rows, past):
            self._row(place, row, now)
        return past + len(rows)

    def _row(self, place: int, row: dict[str, Any], now: float) -> None:
        if place < len(self.rows):
            if self.rows[place] != row:
                self.faults.append(f"position {place} holds another result than before")
            return
        if place > len(self.rows):
            self.faults.append(f"position {place} comes after {len(self.rows)} results")
            return
        ident = row.get("id")
        if ident not in self.items:
            self.faults.append(f"position {place}: {ident} is no item of it")
            return
        if ident in self.listed:
            self.faults.append(f"{ident} is listed twice")
        self.rows.append(row)
        self.listed.add(ident)
        group = self.items[ident].group
        if all(other in self.listed for other in self.groups[group]):
            self.group_times.setdefault(group, now - self.sent_at)

    def whole(self, limit_s: float = float("inf")) -> int:
        """Groups with all items listed, by so long after it was sent."""
        return sum(took <= limit_s for took in self.group_times.values())


class TrainerPart:
    """One trainer of the plan."""

    def __init__(self, scene: Scene, row: Trainer, started_at: float) -> None:
        self.scene = scene
        self.row = row
        self.started_at = started_at
        self.route = scene.plan.route_named(row.route)
        self.scorer = scene.plan.route_named(row.scorer)
        self.jobs: list[BatchJob] = []
        self.groups = Latencies()
        self.accepts = Latencies()
        self.steps = 0
        self._again: list[list[Item]] = []  # groups that weren't whole
        self._count = 0

    async def run(self) -> None:
        """Steps until the play stops; an open batch job is brought to its end."""
        while not self.scene.stopping:
            begun = self.scene.now()
            job = self._draw()
            self.jobs.append(job)
            await self._step(job)
            rest = begun + self.row.every_s - self.scene.now()
            if not self.scene.stopping and rest > 0:
                await asyncio.sleep(rest)

    def _draw(self) -> BatchJob:
        wanted = max(1, round(self.row.groups * self.row.desired))
        groups = [*self._again[: wanted // 2]]
        self._again = []
        while len(groups) < self.row.groups:
            groups.append(self._group())
        items = {item.id: item for group in groups for item in group}
        version = max(1, self.scene.named(self.row.model) - self.row.lag)
        self.steps += 1
        return BatchJob(self.scene.ident(), self.steps - 1, items, version, self.route, self.scene.now(), wanted)

    def _group(self) -> list[Item]:
        self._count += 1
        name = f"g{self._count}"
        prefix = f"{self.scene.random.getrandbits(32):x}"
        return [self._item(name, prefix) for _ in range(self.row.items)]

    def _item(self, group: str, prefix: str) -> Item:
        scene = self.scene
        row = self.row
        ident = self.scene.ident()
        never = scene.random.random() < row.never
        parts = f"{prefix}:{row.prompt},{ident}:{row.tail}"
        body = (b"never " if never else b"read ") + scene.random.randbytes(64)
        return Item(
            ident,
            f"{self.route.prefix}{group}/{ident[:4]}",
            group,
            scene.ident(),
            f"{self.scorer.prefix}{ident[:6]}",
            body,
            row.prompt + row.tail,
            row.out,
            parts,
            never,
        )

    async def _step(self, job: BatchJob) -> None:
        scene = self.scene
        if not await self._submit(job):
            scene.print_line(f"batch job {job.id}: not taken")
            return
        took = job.accepted_at - job.sent_at
        self.accepts.add(took)
        scene.print_line(
            f"batch job {job.id} (step {job.step}): {len(job.items)} items in {len(job.groups)} groups, "
            f"taken after {took * 1000:.0f} ms"
        )
        await self._read(job)
        await self._end(job)
        for took in job.group_times.values():
            self.groups.add(took)
        scene.print_line(
            f"batch job {job.id} (step {job.step}): {job.whole()} groups whole, {len(job.rows)} of "
            f"{len(job.items)} results read after {scene.now() - job.sent_at:.2f} s"
        )
        groups = job.groups
        self._again = [[job.items[i] for i in ids] for name, ids in groups.items() if name not in job.group_times]
        if job.whole() >= job.wanted and not scene.stopping:
            await asyncio.sleep(self.row.train_s)
            await self._name_version()

    async def _call(
        self, method: str, path: str, body: bytes = b"", headers: Headers | None = None, within_s: float = 1.0
    ) -> http1.Response | Failure:
        address = self.scene.entry.pick(self.scene.random.choice(self.scene.plan.zones), self.scene.ident())
        return await ask(address, method, path, body, headers, within_s, HOST)

    async def _submit(self, job: BatchJob) -> bool:
        """Sent again, at another sidecar, until it is taken."""
        head = {"step": job.step, "model": self.row.model, "minVersion": job.min_version, "desired": job.wanted}
        reqs = [item.row(self.row.model) for item in job.items.values()]
        body = json.dumps({**head, "reqs": reqs}).encode()
        headers = {b"Request-Id": job.id.encode(), b"Content-Type": b"application/json"}
        while self.scene.now() < job.sent_at + self.route.due_ms / 1000:
            answer = await self._call("POST", f"{self.route.prefix}{job.id[:6]}", body, headers, 1.5)
            if isinstance(answer, Failure) or answer.status not in (202, 429, 503, 408, 421):
                job.maybe = True
            elif answer.status == 202:
                job.accepted_at = self.scene.now()
                return True
            self.scene.counts["submit again"] += 1
            await asyncio.sleep(RETRY_S)
        return False

    async def _read(self, job: BatchJob) -> None:
        """Until enough groups are whole, or it is given up."""
        end = job.sent_at + GIVE_UP * self.route.due_ms / 1000
        while job.whole() < job.wanted and self.scene.now() < end:
            behind = self.scene.random.random() < BACK
            past = self.scene.random.randint(0, len(job.rows)) if behind else len(job.rows)
            await self.read_once(job, past, WAIT_MS)
            if self.scene.random.random() < BACK:
                await self._body(job)
            await asyncio.sleep(PAUSE_S)

    async def read_once(self, job: BatchJob, past: int, wait_ms: int = 0) -> int | None:
        """One read: the position after it, or None."""
        headers = {b"Wait-Ms": b"%d" % wait_ms} if wait_ms else {}
        within = wait_ms / 1000 + WAITS_LONGER_S
        answer = await self._call("GET", f"/lots/{job.id}?past={past}", b"", headers, within)
        if isinstance(answer, Failure):
            return None
        if answer.status == 200:
            return job.take(past, answer.body, self.scene.now())
        self._missing(job, answer, f"read from {past}")
        return None

    def _missing(self, job: BatchJob, answer: http1.Response, what: str) -> None:
        settled = self.scene.now() > job.accepted_at + self.scene.seconds("settleMs")
        if answer.status != 503 and settled:
            job.faults.append(f"{what} was answered {answer.status}")

    async def _body(self, job: BatchJob) -> None:
        """The body of an item that hasn't been seen listed."""
        waiting = [item for item in job.items.values() if item.id not in job.listed]
        if not waiting:
            return
        item = self.scene.random.choice(waiting)
        answer = await self._call("GET", f"/items/{job.id}?id={item.id}")
        if isinstance(answer, Failure):
            return
        if answer.status == 200 and answer.body != item.body:
            job.faults.append(f"the body of {item.id} comes back with other bytes")
        elif answer.status != 200:
            read = await self.read_once(job, len(job.rows))  # listed meanwhile, then
            if read is not None and item.id not in job.listed:
                self._missing(job, answer, f"the body of {item.id}")

    async def _end(self, job: BatchJob) -> None:
        job.end_sent_at = self.scene.now()
        for _ in range(40):
            answer = await self._call("DELETE", f"/lots/{job.id}")
            if not isinstance(answer, Failure) and answer.status == 200:
                job.ended_at = self.scene.now()
                return
            await asyncio.sleep(RETRY_S)
        job.faults.append("its end was never acknowledged")

    async def _name_version(self) -> None:
        """Servers may take the order from the first send on."""
        gen = self.scene.named(self.row.model) + 1
        self.scene.versions[self.row.model] = gen
        body = json.dumps({"model": self.row.model, "gen": gen}).encode()
        headers = {b"Content-Type": b"application/json"}
        answer = await self.scene.ctl.call("POST", "/version-put", body, headers, 10.0)
        taken = not isinstance(answer, Failure) and 200 <= answer.status < 300
        self.scene.counts["versions" if taken else "versions not recorded"] += 1
        self.scene.print_line(f"version {gen} of {self.row.model} named")

    async def read_all(self, job: BatchJob, within_s: float) -> None:
        """After traffic: from the start, page by page, as far as results were ever listed."""
        end = self.scene.now() + within_s
        known = len(job.rows)
        past = 0
        while self.scene.now() < end:
            cursor = await self.read_once(job, past)
            if cursor is None:
                await asyncio.sleep(RETRY_S)
            elif cursor == past and past >= known:
                return
            else:
                past = cursor
        job.faults.append(f"it can't be read whole after the day: position {past} of {known}")
