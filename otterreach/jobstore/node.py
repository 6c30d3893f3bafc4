"""The job store node: what proxies ask of it, put together from copies, replication and dispatch."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from random import Random

from otterreach.jobstore.dispatch import Dispatch, Terms
from otterreach.jobstore.jobs import (
    Change,
    ItemState,
    Job,
    JobItem,
    JobState,
    Kind,
    drop_record,
    encode_result,
    end_record,
    read_job,
    result_record,
    submit_record,
)
from otterreach.jobstore.leadership import PartitionLeader, finish
from otterreach.jobstore.leaving import is_named
from otterreach.jobstore.messages import (
    CancelJob,
    EndJob,
    Finished,
    GiveBack,
    Held,
    ItemBody,
    Pong,
    ProxyPing,
    ReadItem,
    ReadJob,
    Results,
    Running,
    Submit,
)
from otterreach.jobstore.partition import Copy, Mark, part_in
from otterreach.jobstore.placement import PARTITIONS, part_of
from otterreach.jobstore.replication import JournalLike, Replication
from otterreach.jobstore.results import why_refused
from otterreach.jobstore.routes import JobRoutes
from otterreach.runtime import identity
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.compaction import Compaction, Limits
from otterreach.runtime.journal import Record, Slice
from otterreach.runtime.log import log
from otterreach.runtime.node import Node
from otterreach.runtime.rpc import Done, Link

TICK_S = 0.1
RECONCILE_S = 1.0
WRITE_S = 2.5  # a write that isn't at all copies by then is answered as perhaps done
SETTLE_S = 0.3  # for that, at a stop
MAX_WAIT_S = 5.0
FAILED_STAY_S = 5.0  # with a disk that failed it ends once others have its places, and after so long in any case
REWRITE = Limits(8 * 1024 * 1024, 4.0)
DISK_SHARE = 0.4  # of the disk, for the journal: its rewrite needs as much again
MEMORY_SHARE = 0.35  # of the memory, for what batch jobs hold
KEEP_MARGIN_S = 3.0  # results are kept a little longer than promised
WAIT_MARGIN_S = 1.0


def restore(node: Node, replication: Replication, records: Iterable[Record]) -> None:
    """The state as the journal has it; a first start draws the id of the disk."""
    disk = ""
    for mark, payload in records:
        if mark == Mark.DISK:
            disk = payload.decode()
        elif (part := part_in(mark, payload)) < PARTITIONS:
            replication.copies[part].replay(mark, payload)
    for copy in replication.copies:
        copy.replayed()
    if not disk:
        disk = identity.draw()
        replication.journal.append(Mark.DISK, disk.encode())
    node.disk = disk


class JobStoreNode:
    """One process of the role. `start` after the journal's records have been restored."""

    def __init__(self, node: Node, journal: JournalLike, random: Random, records: Iterable[Record]) -> None:
        self.node, self.journal = node, journal
        self.loop = asyncio.get_running_loop()
        self.replication = Replication(node, journal, random, self)
        self.dispatch = Dispatch(self, random)
        self.compaction = Compaction(journal, self.live, self._live_bytes, REWRITE)
        self.stopping = False
        self._failed_at: float | None = None
        self.routes = JobRoutes(node)
        self._readers: dict[str, list[asyncio.Future[None]]] = {}
        restore(node, self.replication, records)
        for kind, handler in (
            (Submit, self._on_submit),
            (ReadJob, self._on_read),
            (ReadItem, self._on_item),
            (EndJob, self._on_end),
            (ProxyPing, self._on_ping),
            (Finished, self._on_finished),
            (Running, self._on_running),
            (GiveBack, self._on_give_back),
        ):
            node.endpoint.on(kind, handler)

    async def start(self) -> None:
        """The id of the disk lasts before anyone hears it, and shows that the disk takes writes; then take part."""
        self.journal.append(Mark.DISK, self.node.disk.encode())
        if not await self.replication.disk.sync():
            self.node.stopping.set()
            return
        self.replication.follow_all()
        for work in (
            self.replication.pings.run(),
            self.replication.disk.run(self.node),
            self._ticks(),
            self._reconcile_loop(),
        ):
            self.replication.spawn(work)

    async def stop(self) -> None:
        """Assign nothing more; what has been taken goes to all copies and to disk."""
        self.stopping = self.dispatch.stopped = True
        await self.replication.settle(SETTLE_S)
        await self.replication.disk.sync()

    # Hooks of the replication --------------------------------------------------------------------

    def settled(self, copy: Copy, change: Change) -> None:
        """A record is at all copies: readers may see it, and items may run."""
        job = change.job
        if change.kind is Kind.SUBMIT and job.state is JobState.OPEN:
            self.dispatch.opened(job)
        elif change.kind is Kind.END:
            self.dispatch.cancelled(job)
        if change.kind in (Kind.RESULT, Kind.END):
            self._wake(job.id)

    def became_leader(self, copy: Copy) -> None:
        self.dispatch.became_leader(copy)
        for job in list(self._readers):
            if part_of(job) == copy.part:
                self._wake(job)

    def stepped_down(self, copy: Copy) -> None:
        self.dispatch.stepped_down(copy)
        for job in list(self._readers):
            if part_of(job) == copy.part:
                self._wake(job)

    def _wake(self, job: str) -> None:
        for future in self._readers.pop(job, ()):
            finish(future)

    # Host of the dispatch ------------------------------------------------------------------------

    def may_run(self, part: int) -> bool:
        leader = self.replication.leaders.get(part)
        return leader is not None and leader.fresh and not self.stopping

    def epoch(self, part: int) -> int:
        return self.replication.copies[part].epoch

    def terms(self, job: Job) -> Terms:
        return self.routes.terms(job)

    def item_slots(self) -> int:
        return self.routes.item_slots()

    # Batch jobs ----------------------------------------------------------------------------------

    def _full(self) -> bool:
        settings = self.node.settings
        held = sum(copy.jobs.size for copy in self.replication.copies)
        if held > MEMORY_SHARE * settings.ram_mb * 1e6:
            return True
        return settings.disk_mb > 0 and self.journal.size > DISK_SHARE * settings.disk_mb * 1e6

    async def _on_submit(self, link: Link, ask: Submit) -> Done | Failure:
        leader = self.replication.leader(part_of(ask.job))
        if isinstance(leader, Failure):
            return leader
        job = leader.copy.jobs.get(ask.job)
        if job is not None:
            return await self._when_copied(leader.copy, job.index)
        if self.stopping or self._full():
            return Failure(Code.NOT_SYNCED, "stopping" if self.stopping else "full")
        read = read_job(ask.job, ask.host, ask.route, ask.body, self.loop.time())
        if isinstance(read, Failure):
            return read
        index = leader.append(submit_record(ask.job, ask.host, ask.route, ask.body), read)
        return await self._when_copied(leader.copy, index)

    async def _when_copied(self, copy: Copy, index: int) -> Done | Failure:
        if await self.replication.committed(copy, index, WRITE_S):
            return Done()
        return Failure(Code.TIMED_OUT, "not at all copies in time")

    def _readable(self, job: str) -> PartitionLeader | Failure:
        """This machine's leadership, if it is surely the only one now."""
        leader = self.replication.leader(part_of(job))
        if isinstance(leader, Failure) or leader.fresh:
            return leader
        return Failure(Code.NOT_SYNCED, "not surely primary now")

    def _find(self, job_id: str) -> Job | Failure:
        leader = self._readable(job_id)
        if isinstance(leader, Failure):
            return leader
        job = leader.copy.jobs.get(job_id)
        if job is None:
            return Failure(Code.UNKNOWN_JOB, job_id)
        return job if job.settled else Failure(Code.NOT_SYNCED, "not yet at all copies")

    async def _on_read(self, link: Link, ask: ReadJob) -> Results | Failure:
        end = self.loop.time() + min(MAX_WAIT_S, ask.wait_ms / 1000)
        while True:
            job = self._find(ask.job)
            if isinstance(job, Failure):
                return job
            left = end - self.loop.time()
            if job.seen > ask.past or job.ended or left <= 0 or self.stopping:
                past = min(max(0, ask.past), job.seen)
                cursor, body = job.read(past)
                return Results(len(job.items), max(cursor, ask.past), body)
            await self._news(job.id, left)

    async def _news(self, job: str, within_s: float) -> None:
        future: asyncio.Future[None] = self.loop.create_future()
        self._readers.setdefault(job, []).append(future)
        timer = self.loop.call_later(within_s, finish, future)
        try:
            await future
        finally:
            timer.cancel()
            waiting = self._readers.get(job)
            if waiting and future in waiting:
                waiting.remove(future)
                if not waiting:
                    del self._readers[job]

    async def _on_item(self, link: Link, ask: ReadItem) -> ItemBody | Failure:
        job = self._find(ask.job)
        if isinstance(job, Failure):
            return job
        item = job.items.get(ask.item)
        if item is None:
            return Failure(Code.UNKNOWN_ITEM, ask.item)
        leader = self.replication.leaders[part_of(ask.job)]
        if item.state is ItemState.LISTED and item.index <= leader.committed:
            return Failure(Code.UNKNOWN_ITEM, "listed")
        return Failure(Code.JOB_ENDED, ask.job) if job.ended else ItemBody(item.body)

    async def _on_end(self, link: Link, ask: EndJob) -> Done | Failure:
        leader = self.replication.leader(part_of(ask.job))
        if isinstance(leader, Failure):
            return leader
        job = leader.copy.jobs.get(ask.job)
        if job is None:
            readable = self._readable(ask.job)
            return readable if isinstance(readable, Failure) else Failure(Code.UNKNOWN_JOB, ask.job)
        if job.state is JobState.ENDED:
            return await self._when_copied(leader.copy, job.end_index)
        return await self._when_copied(leader.copy, leader.append(end_record(job.id)))

    # Items ---------------------------------------------------------------------------------------

    async def _on_finished(self, link: Link, ask: Finished) -> Done | Failure:
        leader = self.replication.leader(part_of(ask.job))
        if isinstance(leader, Failure):
            return leader
        job = leader.copy.jobs.get(ask.job)
        item = job.items.get(ask.item) if job else None
        if job is None or item is None:
            readable = self._readable(ask.job)
            if isinstance(readable, Failure):
                return readable
            return Failure(Code.UNKNOWN_ITEM if job else Code.UNKNOWN_JOB, ask.item)
        over = await self._over(leader.copy, job, item)
        if over is not None:
            return over
        refusal = self._judge(job, item, ask)
        if refusal is not None:
            return refusal
        return await self._list(leader, job, item, ask)

    async def _over(self, copy: Copy, job: Job, item: JobItem) -> Failure | None:
        """If nothing may be listed for the item any more: why, once that is at all copies."""
        listed = item.state is ItemState.LISTED
        if not listed and job.state is JobState.OPEN:
            return None
        index = item.index if listed else job.end_index
        if not await self.replication.committed(copy, index, WRITE_S):
            return Failure(Code.TIMED_OUT, "not at all copies in time")
        return Failure(Code.UNKNOWN_ITEM, "listed") if listed else Failure(Code.JOB_ENDED, job.id)

    def _judge(self, job: Job, item: JobItem, ask: Finished) -> Failure | None:
        """Why this can't be a result, or None. BAD_MESSAGE is final: the item will run again."""
        why = why_refused(self.routes, job, item, ask, self.loop.time())
        if why:
            log("result_refused", job=job.id, item=item.id, state=ask.state, reason=ask.reason, why=why)
            self.dispatch.unusable(job, item)
            return Failure(Code.BAD_MESSAGE, why)
        return None

    async def _list(self, leader: PartitionLeader, job: Job, item: JobItem, ask: Finished) -> Done | Failure:
        index = leader.append(result_record(job.id, item.id, encode_result(job, ask)))
        self.dispatch.listed(job, item)
        return await self._when_copied(leader.copy, index)

    async def _on_ping(self, link: Link, ask: ProxyPing) -> Pong:
        link.peer = ask.node
        self.dispatch.pinged(link, ask)
        held = [Held(part, o.epoch, int(o.age() * 1000)) for part, o in self.replication.leaders.items() if o.fresh]
        return Pong(ask.sent_ms, held, [job for job in ask.jobs if self._is_over(job)])

    def _is_over(self, job_id: str) -> bool:
        """Whether nothing of the batch job may run; only said while this machine is surely its primary."""
        leader = self._readable(job_id)
        if isinstance(leader, Failure):
            return False
        job = leader.copy.jobs.get(job_id)
        return job is None or job.ended

    async def _on_running(self, link: Link, ask: Running) -> Done | Failure:
        leader = self.replication.leader(ask.part)
        if isinstance(leader, Failure):
            return leader
        for entry in ask.items:
            job_id, _, item_id = entry.partition(" ")
            job = leader.copy.jobs.get(job_id)
            if job and not job.ended:
                self.dispatch.runs(ask.node, job, item_id)
            elif self._is_over(job_id):
                link.send(CancelJob(job_id))
        return Done()

    async def _on_give_back(self, link: Link, ask: GiveBack) -> None:
        self.dispatch.given_back(link.peer, ask.job, ask.items)

    # Time ----------------------------------------------------------------------------------------

    async def _ticks(self) -> None:
        while not self.stopping:
            await asyncio.sleep(TICK_S)
            self.dispatch.tick()
            self._end_if_disk_failed()

    def _end_if_disk_failed(self) -> None:
        """Others get its places first; then the process ends, and starts anew on what the disk has."""
        if self.journal.failed is None:
            return
        now = self.loop.time()
        self._failed_at = now if self._failed_at is None else self._failed_at
        if not is_named(self.node) or now - self._failed_at > FAILED_STAY_S:
            self.node.stopping.set()

    async def _reconcile_loop(self) -> None:
        while not self.stopping:
            await asyncio.sleep(RECONCILE_S)
            self._expire()
            await self.replication.reconcile()
            self.compaction.start_if_due()

    def _expire(self) -> None:
        """List what may be given up; drop ended batch jobs that nobody may read any more."""
        now, keep = self.loop.time(), self.node.settings.bounds.status_s + KEEP_MARGIN_S
        for leader in list(self.replication.leaders.values()):
            if not leader.fresh:
                continue
            for job in list(leader.copy.jobs.jobs.values()):
                if job.ended and now - job.at > keep:
                    leader.append(drop_record(job.id))
                elif job.state is JobState.OPEN and job.settled:
                    self._give_up(leader, job, now)

    def _give_up(self, leader: PartitionLeader, job: Job, now: float) -> None:
        waited = now - job.at > self.routes.terms(job).max_wait_s + WAIT_MARGIN_S
        if not waited and not self.routes.is_gone(job):
            return
        for item in job.items.values():
            if item.state is ItemState.PENDING:
                finished = Finished(job.id, item.id, "errored", "waited" if waited else "route_gone", "", [], "")
                leader.append(result_record(job.id, item.id, encode_result(job, finished)))
                self.dispatch.listed(job, item)

    def _live_bytes(self) -> int:
        return sum(copy.jobs.size for copy in self.replication.copies)

    def live(self) -> Iterator[Slice]:
        """All that the journal has to hold, a copy of a partition at a time."""
        yield [(Mark.DISK, self.node.disk.encode())]
        for copy in self.replication.copies:
            yield copy.live()
