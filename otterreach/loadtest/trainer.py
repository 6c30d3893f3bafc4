"""Simulated trainer.

Each step submits a batch job, reads results until enough groups are complete, ends the job and publishes the next
version.
"""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any

from otterreach.cli.caller import Headers, send_request
from otterreach.loadtest.latency import Latencies
from otterreach.loadtest.plan import HOST, Route, Trainer
from otterreach.loadtest.play_context import PlayContext
from otterreach.runtime.codes import Failure
from otterreach.sidecar import http1

WAIT_MS = 1000
READ_MARGIN_S = 1.5  # client time-out beyond the Wait-Ms of a long poll
READ_INTERVAL_S = 0.4  # interval between reads
RETRY_S = 0.15
LATE_GRACE_S = 0.7  # s after dueMs until which a group counts as in time
GIVE_UP_FACTOR = 2.0  # multiple of dueMs after which a batch job is abandoned
REREAD_FRACTION = 0.2  # fraction of reads from an earlier position, and of those followed by a read of a body


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
        """Return the JSON of the item in a batch job."""
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
    """A batch job from its trainer's view. `rows` are the results by position."""

    id: str
    step: int
    items: dict[str, Item]
    min_version: int
    route: Route
    sent_at: float
    wanted: int  # number of groups
    accepted_at: float = 0.0
    outcome_unknown: bool = False  # the outcome of an attempt is unknown
    end_sent_at: float = 0.0
    ended_at: float = 0.0  # time of the acknowledgement of its end
    rows: list[dict[str, Any]] = field(default_factory=list)
    listed: set[str] = field(default_factory=set)
    group_times: dict[str, float] = field(default_factory=dict)  # completion of each group, in seconds since submission
    faults: list[str] = field(default_factory=list)

    @property
    def groups(self) -> dict[str, list[str]]:
        """Item ids by group."""
        groups: dict[str, list[str]] = {}
        for item in self.items.values():
            groups.setdefault(item.group, []).append(item.id)
        return groups

    @property
    def refused(self) -> bool:
        """True if every attempt was refused, so that none of the items may run."""
        return not self.accepted_at and not self.outcome_unknown

    def add_results(self, past: int, body: bytes, now: float) -> int | None:
        """Check and add the answer to a read from position `past`; earlier results must not have changed.

        Return the position after its last result, or None if the answer is malformed.
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
        for position, row in enumerate(rows, past):
            self._add_result(position, row, now)
        return past + len(rows)

    def _add_result(self, position: int, row: dict[str, Any], now: float) -> None:
        if position < len(self.rows):
            if self.rows[position] != row:
                self.faults.append(f"position {position} holds another result than before")
            return
        if position > len(self.rows):
            self.faults.append(f"position {position} comes after {len(self.rows)} results")
            return
        ident = row.get("id")
        if ident not in self.items:
            self.faults.append(f"position {position}: {ident} is no item of it")
            return
        if ident in self.listed:
            self.faults.append(f"{ident} is listed twice")
        self.rows.append(row)
        self.listed.add(ident)
        group = self.items[ident].group
        if all(other in self.listed for other in self.groups[group]):
            self.group_times.setdefault(group, now - self.sent_at)

    def complete_groups(self, limit_s: float = float("inf")) -> int:
        """Return the number of groups completed within `limit_s` after submission."""
        return sum(took <= limit_s for took in self.group_times.values())


class TrainerRunner:
    """Runs one trainer of the plan."""

    def __init__(self, context: PlayContext, row: Trainer, started_at: float) -> None:
        self.context = context
        self.row = row
        self.started_at = started_at
        self.route = context.plan.route_named(row.route)
        self.scorer = context.plan.route_named(row.scorer)
        self.jobs: list[BatchJob] = []
        self.groups = Latencies()
        self.accepts = Latencies()
        self.steps = 0
        self._incomplete_groups: list[list[Item]] = []  # incomplete groups of the last batch job
        self._count = 0

    async def run(self) -> None:
        """Run steps until the play stops; an open batch job is completed first."""
        while not self.context.stopping:
            begun = self.context.now()
            job = self._new_job()
            self.jobs.append(job)
            await self._step(job)
            rest = begun + self.row.every_s - self.context.now()
            if not self.context.stopping and rest > 0:
                await asyncio.sleep(rest)

    def _new_job(self) -> BatchJob:
        wanted = max(1, round(self.row.groups * self.row.desired))
        groups = [*self._incomplete_groups[: wanted // 2]]
        self._incomplete_groups = []
        while len(groups) < self.row.groups:
            groups.append(self._group())
        items = {item.id: item for group in groups for item in group}
        version = max(1, self.context.newest_version(self.row.model) - self.row.lag)
        self.steps += 1
        return BatchJob(self.context.ident(), self.steps - 1, items, version, self.route, self.context.now(), wanted)

    def _group(self) -> list[Item]:
        self._count += 1
        name = f"g{self._count}"
        prefix = f"{self.context.random.getrandbits(32):x}"
        return [self._item(name, prefix) for _ in range(self.row.items)]

    def _item(self, group: str, prefix: str) -> Item:
        context = self.context
        row = self.row
        ident = self.context.ident()
        never = context.random.random() < row.never
        parts = f"{prefix}:{row.prompt},{ident}:{row.tail}"
        body = (b"never " if never else b"read ") + context.random.randbytes(64)
        return Item(
            ident,
            f"{self.route.prefix}{group}/{ident[:4]}",
            group,
            context.ident(),
            f"{self.scorer.prefix}{ident[:6]}",
            body,
            row.prompt + row.tail,
            row.out,
            parts,
            never,
        )

    async def _step(self, job: BatchJob) -> None:
        context = self.context
        if not await self._submit(job):
            context.print_line(f"batch job {job.id}: not accepted")
            return
        took = job.accepted_at - job.sent_at
        self.accepts.add(took)
        context.print_line(
            f"batch job {job.id} (step {job.step}): {len(job.items)} items in {len(job.groups)} groups, "
            f"accepted after {took * 1000:.0f} ms"
        )
        await self._read(job)
        await self._end_job(job)
        for took in job.group_times.values():
            self.groups.add(took)
        context.print_line(
            f"batch job {job.id} (step {job.step}): {job.complete_groups()} groups complete, {len(job.rows)} of "
            f"{len(job.items)} results read after {context.now() - job.sent_at:.2f} s"
        )
        groups = job.groups
        self._incomplete_groups = [
            [job.items[i] for i in ids] for name, ids in groups.items() if name not in job.group_times
        ]
        if job.complete_groups() >= job.wanted and not context.stopping:
            await asyncio.sleep(self.row.train_s)
            await self._publish_version()

    async def _call(
        self, method: str, path: str, body: bytes = b"", headers: Headers | None = None, within_s: float = 1.0
    ) -> http1.Response | Failure:
        address = self.context.entry.pick(self.context.random.choice(self.context.plan.zones), self.context.ident())
        return await send_request(address, method, path, body, headers, within_s, HOST)

    async def _submit(self, job: BatchJob) -> bool:
        """Submit a batch job, with retries at other fronts until it is accepted or due. Return whether it was."""
        head = {"step": job.step, "model": self.row.model, "minVersion": job.min_version, "desired": job.wanted}
        reqs = [item.row(self.row.model) for item in job.items.values()]
        body = json.dumps({**head, "reqs": reqs}).encode()
        headers = {b"Request-Id": job.id.encode(), b"Content-Type": b"application/json"}
        while self.context.now() < job.sent_at + self.route.due_ms / 1000:
            answer = await self._call("POST", f"{self.route.prefix}{job.id[:6]}", body, headers, 1.5)
            if isinstance(answer, Failure) or answer.status not in (202, 429, 503, 408, 421):
                job.outcome_unknown = True
            elif answer.status == 202:
                job.accepted_at = self.context.now()
                return True
            self.context.counts["submit again"] += 1
            await asyncio.sleep(RETRY_S)
        return False

    async def _read(self, job: BatchJob) -> None:
        """Read results until enough groups are complete or the job is abandoned."""
        end = job.sent_at + GIVE_UP_FACTOR * self.route.due_ms / 1000
        while job.complete_groups() < job.wanted and self.context.now() < end:
            behind = self.context.random.random() < REREAD_FRACTION
            past = self.context.random.randint(0, len(job.rows)) if behind else len(job.rows)
            await self.read_once(job, past, WAIT_MS)
            if self.context.random.random() < REREAD_FRACTION:
                await self._read_body(job)
            await asyncio.sleep(READ_INTERVAL_S)

    async def read_once(self, job: BatchJob, past: int, wait_ms: int = 0) -> int | None:
        """Read results once; return the position after the last one, or None on failure."""
        headers = {b"Wait-Ms": b"%d" % wait_ms} if wait_ms else {}
        within = wait_ms / 1000 + READ_MARGIN_S
        answer = await self._call("GET", f"/lots/{job.id}?past={past}", b"", headers, within)
        if isinstance(answer, Failure):
            return None
        if answer.status == 200:
            return job.add_results(past, answer.body, self.context.now())
        self._missing(job, answer, f"read from {past}")
        return None

    def _missing(self, job: BatchJob, answer: http1.Response, what: str) -> None:
        settled = self.context.now() > job.accepted_at + self.context.seconds("settleMs")
        if answer.status != 503 and settled:
            job.faults.append(f"{what} was answered {answer.status}")

    async def _read_body(self, job: BatchJob) -> None:
        """Read the body of an item without a listed result and compare it."""
        waiting = [item for item in job.items.values() if item.id not in job.listed]
        if not waiting:
            return
        item = self.context.random.choice(waiting)
        answer = await self._call("GET", f"/items/{job.id}?id={item.id}")
        if isinstance(answer, Failure):
            return
        if answer.status == 200 and answer.body != item.body:
            job.faults.append(f"the body of {item.id} differs from the one submitted")
        elif answer.status != 200:
            read = await self.read_once(job, len(job.rows))  # it may have been listed meanwhile
            if read is not None and item.id not in job.listed:
                self._missing(job, answer, f"the body of {item.id}")

    async def _end_job(self, job: BatchJob) -> None:
        job.end_sent_at = self.context.now()
        for _ in range(40):
            answer = await self._call("DELETE", f"/lots/{job.id}")
            if not isinstance(answer, Failure) and answer.status == 200:
                job.ended_at = self.context.now()
                return
            await asyncio.sleep(RETRY_S)
        job.faults.append("DELETE was never acknowledged")

    async def _publish_version(self) -> None:
        """Publish the next version. Servers may accept it as soon as it is sent, before the acknowledgement."""
        gen = self.context.newest_version(self.row.model) + 1
        self.context.versions[self.row.model] = gen
        body = json.dumps({"model": self.row.model, "gen": gen}).encode()
        headers = {b"Content-Type": b"application/json"}
        answer = await self.context.ctl.call("POST", "/version-put", body, headers, 10.0)
        taken = not isinstance(answer, Failure) and 200 <= answer.status < 300
        self.context.counts["versions" if taken else "versions not recorded"] += 1
        self.context.print_line(f"version {gen} of {self.row.model} published")

    async def read_all(self, job: BatchJob, within_s: float) -> None:
        """Read a batch job again after traffic, from the start up to the last position ever listed."""
        end = self.context.now() + within_s
        known = len(job.rows)
        past = 0
        while self.context.now() < end:
            cursor = await self.read_once(job, past)
            if cursor is None:
                await asyncio.sleep(RETRY_S)
            elif cursor == past and past >= known:
                return
            else:
                past = cursor
        job.faults.append(f"results can't be read again in full after traffic: position {past} of {known}")
