"""What runs where: items of open batch jobs go out to proxies, and come back when a proxy is lost.

Only in memory: an item may run more than once, and a new primary asks the proxies what they run.
"""

from __future__ import annotations

import asyncio
import heapq
from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Protocol

from otterreach.jobstore.jobs import ItemState, Job, JobItem, JobState
from otterreach.jobstore.messages import Assign, CancelJob, ProxyPing, Work
from otterreach.jobstore.partition import Copy
from otterreach.jobstore.placement import part_of, runners
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Link

SILENT_S = 0.9  # a proxy that pings no more is lost
CUT_S = 0.35  # one whose connection ended may come back by another
FORGOTTEN_S = 2.0  # a proxy that doesn't name a batch job so long after it got items of it has lost them
SETTLE_S = 0.4  # how long a new primary lets proxies tell what they run
LATE_TICK_S = 0.3  # this process stood still: the silence is its own
ALL = 1 << 60
SPARE_S = 60.0  # so much later items count as due that no trainer waits for
AHEAD = 1.5  # items at a proxy, for each of its slots


def spare_from(job: Job) -> int:
    """The place of the first group beyond those that the trainer waits for."""
    desired = job.head.get("desired")
    starts = sorted({item.order[0] for item in job.items.values()})
    return starts[desired] if isinstance(desired, int) and 0 < desired < len(starts) else ALL


class ProxyState(Enum):
    LIVE = "live"
    CUT = "cut"  # its connection ended
    LOST = "lost"


@dataclass(slots=True)
class Proxy:
    """A machine that runs items."""

    node: str
    link: Link
    heard: float
    slots: int = 0
    free: int = 0
    life: int = 0
    state: ProxyState = ProxyState.LIVE
    cut_at: float = 0.0
    works: dict[tuple[str, str], tuple[Job, JobItem]] = field(default_factory=dict)
    given: dict[str, float] = field(default_factory=dict)  # by batch job: when it got items last

    @property
    def load(self) -> float:
        """Items there against its slots, those of other job store nodes included as far as they run."""
        return max(len(self.works), self.slots - self.free) / self.slots if self.slots > 0 else float("inf")


@dataclass(frozen=True, slots=True)
class Terms:
    """What the route says, in seconds from when the batch job came."""

    due_s: float
    max_wait_s: float


class Host(Protocol):
    """What the dispatch needs of the job store node."""

    def may_run(self, part: int) -> bool:
        """Whether this machine is surely the primary of the partition now."""

    def terms(self, job: Job) -> Terms: ...

    def epoch(self, part: int) -> int: ...

    def item_slots(self) -> int:
        """The slots of all servers that items may run at."""


class Dispatch:
    def __init__(self, host: Host, random: Random) -> None:
        self.host, self.random = host, random
        self.loop = asyncio.get_running_loop()
        self.now: Callable[[], float] = self.loop.time
        self.proxies: dict[str, Proxy] = {}
        self.open: dict[str, Job] = {}  # of partitions served here
        self.pending: dict[str, list[tuple[tuple[int, int], str]]] = {}  # by job: (order, item)
        self.spare_from: dict[str, int] = {}  # by job: from this place on, groups beyond those its trainer waits for
        self.held_until: dict[int, float] = {}  # by partition served here: until proxies have told what they run
        self.stopped = False
        self._scheduled = False
        self._ticked = self.now()

    # Partitions and jobs -------------------------------------------------------------------------

    def became_leader(self, copy: Copy) -> None:
        """All open jobs of the partition are here now. Of one that is new here nothing is known of what runs."""
        if copy.part not in self.held_until:
            self.held_until[copy.part] = self.now() + SETTLE_S
        for job in copy.jobs.jobs.values():
            if job.state is JobState.OPEN and job.id not in self.open:
                self.opened(job)
            elif job.state is JobState.ENDED and job.id in self.open:
                self.cancelled(job)

    def stepped_down(self, copy: Copy) -> None:
        """Another machine has the partition."""
        self.held_until.pop(copy.part, None)
        for job in [j for j in self.open.values() if part_of(j.id) == copy.part]:
            self.closed(job)

    def opened(self, job: Job) -> None:
        """Its items may be run."""
        self.open[job.id] = job
        queue = []
        for item in job.items.values():
            if item.state is not ItemState.LISTED:
                item.state = ItemState.PENDING
                queue.append((item.order, item.id))
        self.pending[job.id] = sorted(queue)
        self.spare_from[job.id] = spare_from(job)
        self.schedule()

    def closed(self, job: Job) -> None:
        """Nothing of it is to be run from here."""
        self.open.pop(job.id, None)
        self.pending.pop(job.id, None)
        self.spare_from.pop(job.id, None)
        for node in job.proxies:
            proxy = self.proxies.get(node)
            if proxy:
                for key in [k for k in proxy.works if k[0] == job.id]:
                    del proxy.works[key]
        self.schedule()

    def cancelled(self, job: Job) -> None:
        """It has been ended: whoever has items of it is told."""
        for node in job.proxies:
            proxy = self.proxies.get(node)
            if proxy and not proxy.link.closed:
                proxy.link.send(CancelJob(job.id))
        self.closed(job)

    def listed(self, job: Job, item: JobItem) -> None:
        """A result of it has been taken."""
        for node in job.proxies:
            proxy = self.proxies.get(node)
            if proxy:
                proxy.works.pop((job.id, item.id), None)
        queue = self.pending.get(job.id)
        if queue and (item.order, item.id) in queue:
            queue.remove((item.order, item.id))
        self.schedule()

    def back(self, job: Job, item: JobItem) -> None:
        """It does not run any more, and has no result: it goes to the front again."""
        if item.state is ItemState.ASSIGNED:
            item.state = ItemState.PENDING
            queue = self.pending.get(job.id)
            if queue is not None:
                insort(queue, (item.order, item.id))
                self.schedule()

    # Proxies ------------------------------------------------------------------------------------

    def pinged(self, link: Link, ping: ProxyPing) -> None:
        """A proxy is there; a new connection or a new life of it changes what it has."""
        now = self.now()
        proxy = self.proxies.get(ping.node)
        if proxy is None:
            proxy = self.proxies[ping.node] = Proxy(ping.node, link, now, life=ping.life)
            self._watch(proxy, link)
        if proxy.life != ping.life or proxy.state is ProxyState.LOST:
            self._take_back(proxy)
            proxy.life = ping.life
        proxy.heard, proxy.slots, proxy.free = now, ping.slots, ping.free
        if proxy.link is not link:
            proxy.link = link
            self._watch(proxy, link)
            self._send(proxy, list(proxy.works.values()))  # some may not have come over the other one
        self._become(proxy, ProxyState.LIVE)
        self._compare(proxy, set(ping.jobs))
        self.schedule()

    def _compare(self, proxy: Proxy, named: set[str]) -> None:
        late = self.now() - FORGOTTEN_S
        proxy.given = {job: at for job, at in proxy.given.items() if job in self.open}
        lost = {job for job, at in proxy.given.items() if at < late and job not in named}
        for key in [k for k in proxy.works if k[0] in lost]:
            self.back(*proxy.works.pop(key))

    def _become(self, proxy: Proxy, state: ProxyState) -> None:
        """The one function that changes the state of a proxy."""
        if proxy.state is state:
            return
        proxy.state = state
        if state is ProxyState.CUT:
            proxy.cut_at = self.now()
        elif state is ProxyState.LOST:
            log("carrier_lost", proxy=proxy.node, items=len(proxy.works))
            self._take_back(proxy)

    def _watch(self, proxy: Proxy, link: Link) -> None:
        def closed(gone: Link) -> None:
            if proxy.link is gone and proxy.state is ProxyState.LIVE:
                self._become(proxy, ProxyState.CUT)

        link.on_close.append(closed)

    def _take_back(self, proxy: Proxy) -> None:
        works, proxy.works = proxy.works, {}
        for job, item in works.values():
            self.back(job, item)

    def given_back(self, node: str, job_id: str, items: list[str]) -> None:
        """A proxy will not run these; it gets nothing until it has pinged again."""
        proxy = self.proxies.get(node)
        if proxy is None:
            return
        proxy.slots = 0
        for item_id in items:
            work = proxy.works.pop((job_id, item_id), None)
            if work:
                self.back(*work)

    def unusable(self, job: Job, item: JobItem) -> None:
        """What came of it can't be listed: it has to run again."""
        for node in job.proxies:
            proxy = self.proxies.get(node)
            if proxy:
                proxy.works.pop((job.id, item.id), None)
        self.back(job, item)

    def runs(self, node: str, job: Job, item_id: str) -> None:
        """A proxy says that it has this item."""
        proxy, item = self.proxies.get(node), job.items.get(item_id)
        if proxy is None or item is None or item.state is not ItemState.PENDING or job.id not in self.open:
            return
        item.state = ItemState.ASSIGNED
        queue = self.pending[job.id]
        if (item.order, item.id) in queue:
            queue.remove((item.order, item.id))
        job.proxies.add(node)
        proxy.given[job.id] = self.now()
        proxy.works[(job.id, item.id)] = (job, item)

    def tick(self) -> None:
        """Look for proxies that are lost; about ten times a second."""
        now = self.now()
        late, self._ticked = now - self._ticked > LATE_TICK_S, now
        for proxy in list(self.proxies.values()):
            if late:  # what they sent is still to be read
                proxy.heard, proxy.cut_at = now, now
            elif (
                proxy.state is ProxyState.LIVE
                and now - proxy.heard > SILENT_S
                or (proxy.state is ProxyState.CUT and now - proxy.cut_at > CUT_S)
            ):
                self._become(proxy, ProxyState.LOST)
            elif proxy.state is ProxyState.LOST and now - proxy.heard > 60.0:
                del self.proxies[proxy.node]
        if self.pending:
            self.schedule()

    # Assigning -----------------------------------------------------------------------------------

    def schedule(self) -> None:
        """Assign what can be, once for all that happens in this turn of the loop."""
        if not self._scheduled and not self.stopped:
            self._scheduled = True
            self.loop.call_soon(self._run)

    def _ready(self) -> list[Job]:
        now = self.now()
        allowed = {part_of(job) for job, queue in self.pending.items() if queue}
        allowed = {p for p in allowed if self.held_until.get(p, 0.0) <= now and self.host.may_run(p)}
        jobs = [self.open[job] for job, queue in self.pending.items() if queue and part_of(job) in allowed]
        return sorted(jobs, key=lambda job: job.at + self.host.terms(job).due_s)

    def _run(self) -> None:
        self._scheduled = False
        if self.stopped or not any(self.pending.values()):
            return
        live = {c.node: c.slots for c in self.proxies.values() if c.state is ProxyState.LIVE and not c.link.closed}
        chosen = [self.proxies[node] for node in runners(live, self.host.item_slots())]
        room = [(c.load, self.random.random(), c) for c in chosen if c.load < AHEAD]
        if not room:
            return
        heapq.heapify(room)
        batches: dict[str, list[tuple[Job, JobItem]]] = {}
        ready = self._ready()
        # What no trainer waits for comes after all that one does: it stands in for a group that fails.
        for job, end in [*((job, self.spare_from[job.id]) for job in ready), *((job, ALL) for job in ready)]:
            queue = self.pending[job.id]
            while queue and room and queue[0][0][0] < end:
                _, draw, proxy = heapq.heappop(room)
                batches.setdefault(proxy.node, []).append(self._give(proxy, job, queue))
                if proxy.load < AHEAD:
                    heapq.heappush(room, (proxy.load, draw, proxy))
            if not room:
                break
        for node, works in batches.items():
            self._send(self.proxies[node], works)

    def _give(self, proxy: Proxy, job: Job, queue: list[tuple[tuple[int, int], str]]) -> tuple[Job, JobItem]:
        """The first item that waits. Not whole groups: one proxy would work on a group while others have nothing."""
        item = job.items[queue.pop(0)[1]]
        job.proxies.add(proxy.node)
        item.state = ItemState.ASSIGNED
        proxy.works[(job.id, item.id)] = (job, item)
        return job, item

    def _send(self, proxy: Proxy, works: list[tuple[Job, JobItem]]) -> None:
        jobs: dict[str, list[JobItem]] = {}
        for job, item in works:
            jobs.setdefault(job.id, []).append(item)
        for job_id, items in jobs.items():
            opened = self.open.get(job_id)
            # Danger: an end may be settled before this hears of it; the bodies are gone by then.
            if opened and opened.state is JobState.OPEN:
                proxy.given[job_id] = self.now()
                end = self.spare_from[job_id]
                for spare, some in (
                    (False, [i for i in items if i.order[0] < end]),
                    (True, [i for i in items if i.order[0] >= end]),
                ):
                    if some:
                        proxy.link.send(self._assign(opened, some, SPARE_S if spare else 0.0))

    def _assign(self, job: Job, items: list[JobItem], later_s: float) -> Assign:
        terms, part = self.host.terms(job), part_of(job.id)
        age = self.now() - job.at
        left, wait = max(0.0, terms.due_s - age) + later_s, max(0.0, terms.max_wait_s - age)
        works = [
            Work(
                i.id,
                i.path,
                i.headers,
                i.body,
                i.group,
                i.tokens,
                i.scorer_id,
                i.scorer_host,
                i.scorer_path,
                i.scorer_body,
            )
            for i in items
        ]
        return Assign(
            part,
            self.host.epoch(part),
            job.id,
            job.host,
            job.model,
            job.min_version,
            int(left * 1000),
            int(wait * 1000),
            works,
        )
