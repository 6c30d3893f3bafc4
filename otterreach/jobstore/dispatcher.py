"""The dispatcher: assigns the items of open batch jobs to proxies, and queues them again when a proxy is lost.

Its state is only in memory. An item may therefore run more than once, and a new primary learns from the proxies which
items they run.
"""

from __future__ import annotations

import asyncio
from bisect import insort
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from otterreach.jobstore.assignment_blocks import AssignmentBlocks
from otterreach.jobstore.free_proxies import FreeProxies
from otterreach.jobstore.job import ItemState, Job, JobItem, JobState
from otterreach.jobstore.job_routes import JobDeadlines
from otterreach.jobstore.messages import AssignItems, CancelJob, ProxyPing, ReturnItems, WorkItem
from otterreach.jobstore.partition_replica import PartitionReplica
from otterreach.jobstore.placement import partition_of
from otterreach.jobstore.proxy_sessions import AssignedItem, ItemKey, ProxySession, ProxySessions, SessionState
from otterreach.runtime.integers import clamped_integer
from otterreach.runtime.log import log
from otterreach.runtime.repeated_work import RepeatedWork
from otterreach.runtime.rpc_link import Link

# A proxy has lost the items of a job if a ping does not name the job this long after items of it were last sent to the
# proxy or reported as running there.
ITEMS_LOST_AFTER_S = 2.0
RUNNING_REPORT_WAIT_S = 0.4  # a new primary waits this long for the proxies to report which items they run
SURPLUS_DELAY_S = 60.0  # added to the due time of items that no trainer waits for
NO_SURPLUS = 1 << 60  # greater than any order

QueuedItem = tuple[tuple[int, int], str]  # order, id of the item


def surplus_from(job: Job) -> int:
    """Return the order of the first group beyond those that the trainer waits for."""
    desired = job.desired_groups
    starts = sorted({item.order[0] for item in job.items.values()})
    return starts[desired] if desired is not None and 0 < desired < len(starts) else NO_SURPLUS


class DispatchHost(Protocol):
    """The interface of the job store node that the dispatcher uses."""

    def may_run(self, partition: int) -> bool:
        """Return True if this machine is known to be the partition's primary at present."""

    def deadlines(self, job: Job) -> JobDeadlines:
        """Return when the results of a batch job are due."""

    def epoch(self, partition: int) -> int:
        """Return the epoch of this machine's replica of the partition."""

    def item_slots(self) -> int:
        """Return the total slots of the servers that items may run on."""


class Dispatcher:
    """Assigns the items of the partitions that are served here.

    The class has more than 20 methods because the handlers of all messages of proxies work on the same queues of items.
    """

    def __init__(self, host: DispatchHost, random: Random) -> None:
        self.host = host
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.now: Callable[[], float] = self.loop.time
        self.sessions = ProxySessions(self.now, self._return_items)
        self.open_jobs: dict[str, Job] = {}  # of the partitions served here
        self.pending: dict[str, list[QueuedItem]] = {}  # by job, in order
        self.surplus_from: dict[str, int] = {}  # by job: the order of the first group that its trainer doesn't wait for
        self.assignable_from: dict[int, float] = {}  # by partition served here: when proxies have reported their items
        self.stopped = False
        self.assignments = RepeatedWork("assign_item")
        self._blocks = AssignmentBlocks()
        self._scheduled = False

    # Partitions and jobs -------------------------------------------------------------------------

    def became_leader(self, replica: PartitionReplica) -> None:
        """Add the open jobs of a partition that is served here from now on.

        If the partition was not served here before, it is unknown which of its items run.
        """
        if replica.partition not in self.assignable_from:
            self.assignable_from[replica.partition] = self.now() + RUNNING_REPORT_WAIT_S
        for job in replica.jobs.jobs.values():
            if job.state is JobState.OPEN and job.id not in self.open_jobs:
                self.job_opened(job)
            elif job.state is JobState.ENDED and job.id in self.open_jobs:
                self.job_cancelled(job)

    def stepped_down(self, replica: PartitionReplica) -> None:
        """Remove the jobs of a partition that is no longer served here."""
        self.assignable_from.pop(replica.partition, None)
        for job in [job for job in self.open_jobs.values() if partition_of(job.id) == replica.partition]:
            self.job_closed(job)

    def job_opened(self, job: Job) -> None:
        """Queue the items of a batch job that may run from now on."""
        self.open_jobs[job.id] = job
        queue = []
        for item in job.items.values():
            if item.state is not ItemState.LISTED:
                item.state = ItemState.PENDING
                queue.append((item.order, item.id))
        self.pending[job.id] = sorted(queue)
        self.surplus_from[job.id] = surplus_from(job)
        self.schedule()

    def job_closed(self, job: Job) -> None:
        """Remove a batch job whose items are no longer assigned from here."""
        self.open_jobs.pop(job.id, None)
        self.pending.pop(job.id, None)
        self.surplus_from.pop(job.id, None)
        for session in self.sessions.of_job(job):
            session.remove_job(job.id)
        self.schedule()

    def job_cancelled(self, job: Job) -> None:
        """Remove a batch job that has been ended, and notify the proxies that have items of it."""
        for session in self.sessions.of_job(job):
            if not session.link.closed:
                session.link.send(CancelJob(job.id))
        self.job_closed(job)

    # Items ---------------------------------------------------------------------------------------

    def item_listed(self, job: Job, item: JobItem) -> None:
        """Remove an item whose result has been accepted."""
        self.sessions.remove_item(job, item)
        self._remove_pending(job, item)
        self.schedule()

    def item_failed(self, job: Job, item: JobItem) -> None:
        """Queue an item again whose result can't be listed."""
        self.sessions.remove_item(job, item)
        self._return_item(job, item)

    def _remove_pending(self, job: Job, item: JobItem) -> None:
        queue = self.pending.get(job.id)
        if queue and (item.order, item.id) in queue:
            queue.remove((item.order, item.id))

    def _return_item(self, job: Job, item: JobItem) -> None:
        """Queue an item again, in its order, that no longer runs and has no result."""
        if item.state is not ItemState.ASSIGNED:
            return
        item.state = ItemState.PENDING
        queue = self.pending.get(job.id)
        if queue is not None:
            insort(queue, (item.order, item.id))
            self.schedule()

    def _return_items(self, items: Iterable[AssignedItem]) -> None:
        for assigned in items:
            self._return_item(assigned.job, assigned.item)

    # Proxies -------------------------------------------------------------------------------------

    def handle_ping(self, link: Link, ping: ProxyPing) -> None:
        """Handle a proxy's ping, which names the jobs that it has items of."""
        session, reconnected = self.sessions.handle_ping(link, ping)
        if reconnected:
            self._send(session, list(session.items.values()))  # some may have been lost with the previous connection
        self.sessions.become(session, SessionState.LIVE)
        self._requeue_lost_items(session, set(ping.jobs))
        self.schedule()

    def _requeue_lost_items(self, session: ProxySession, named: set[str]) -> None:
        """Queue the items again that the proxy has lost: by now its pings should have named their jobs."""
        late = self.now() - ITEMS_LOST_AFTER_S
        session.assigned_at = {job: at for job, at in session.assigned_at.items() if job in self.open_jobs}
        lost = {job for job, at in session.assigned_at.items() if at < late and job not in named}
        for key in [key for key in session.items if key[0] in lost]:
            assigned = session.items.pop(key)
            self._return_item(assigned.job, assigned.item)

    def items_returned(self, node: str, message: ReturnItems) -> None:
        """Handle that a proxy will not run some items.

        If it reached no server for them, it is assigned no items of this model for a while. Otherwise it is assigned
        nothing until its next ping.
        """
        session = self.sessions.by_node.get(node)
        if session is None:
            return
        job = self.open_jobs.get(message.job)
        if not message.out_of_reach:
            session.slots = 0
        elif job is not None:
            log("items_out_of_reach", proxy=node, job=job.id, items=len(message.items))
            self._blocks.add(node, job.model, self.now())
        # A proxy of an earlier version sends no failure counts.
        failures = dict(zip(message.items, message.failures, strict=False))
        for item_id in message.items:
            self._reclaim_item(session, (message.job, item_id), failures.get(item_id, 0))

    def _reclaim_item(self, session: ProxySession, key: ItemKey, failures: int) -> None:
        assigned = session.items.pop(key, None)
        if assigned:
            assigned.item.failures = max(assigned.item.failures, failures)
            self._return_item(assigned.job, assigned.item)

    def item_runs_at(self, node: str, job: Job, item_id: str) -> None:
        """Record that a proxy has reported that it runs this item."""
        session = self.sessions.by_node.get(node)
        item = job.items.get(item_id)
        if session is None or item is None or item.state is not ItemState.PENDING or job.id not in self.open_jobs:
            return
        item.state = ItemState.ASSIGNED
        self._remove_pending(job, item)
        job.proxies.add(node)
        session.assigned_at[job.id] = self.now()
        session.add(AssignedItem(job, item), self.now())

    def tick(self) -> None:
        """Check for lost proxies; called about ten times per second."""
        self.sessions.tick()
        if self.pending:
            self.schedule()

    # Assigning -----------------------------------------------------------------------------------

    def schedule(self) -> None:
        """Schedule one round of assignments for all events of this iteration of the event loop."""
        if not self._scheduled and not self.stopped:
            self._scheduled = True
            self.loop.call_soon(self._assign_all)

    def _assign_all(self) -> None:
        self._scheduled = False
        if self.stopped or not any(self.pending.values()):
            return
        sessions = self.sessions.by_node
        free = FreeProxies(sessions.values(), self.host.item_slots(), self._blocks, self.random, self.now())
        if not free:
            return
        batches: dict[str, list[AssignedItem]] = {}  # by node
        ready = self._ready_jobs()
        # Surplus items, which no trainer waits for, come after the needed items of all jobs: a surplus group only
        # serves to replace a group that fails.
        needed = [(job, self.surplus_from[job.id]) for job in ready]
        surplus = [(job, NO_SURPLUS) for job in ready]
        for job, end in [*needed, *surplus]:
            queue = self.pending[job.id]
            while queue and queue[0][0][0] < end:
                session = free.take(job.model)
                if session is None:
                    break
                batches.setdefault(session.node, []).append(self._assign_next(session, job, queue))
                free.put_back(session)
        for node, batch in batches.items():
            self._send(sessions[node], batch)

    def _ready_jobs(self) -> list[Job]:
        """Return the jobs whose items may be assigned now, in the order of their due times."""
        now = self.now()
        waiting = {partition_of(job) for job, queue in self.pending.items() if queue}
        ready = {
            partition
            for partition in waiting
            if self.assignable_from.get(partition, 0.0) <= now and self.host.may_run(partition)
        }
        jobs = [self.open_jobs[job] for job, queue in self.pending.items() if queue and partition_of(job) in ready]
        return sorted(jobs, key=lambda job: job.received_at + self.host.deadlines(job).due_s)

    def _assign_next(self, session: ProxySession, job: Job, queue: list[QueuedItem]) -> AssignedItem:
        """Assign the first pending item of a job to a proxy.

        Items are assigned singly and not as whole groups, as one proxy would then run a group while others are idle.
        """
        _, item_id = queue.pop(0)
        item = job.items[item_id]
        self.assignments.record(f"{job.id} {item_id}", None)
        job.proxies.add(session.node)
        item.state = ItemState.ASSIGNED
        assigned = AssignedItem(job, item)
        session.add(assigned, self.now())
        return assigned

    def _send(self, session: ProxySession, batch: list[AssignedItem]) -> None:
        by_job: dict[str, list[JobItem]] = {}
        for assigned in batch:
            by_job.setdefault(assigned.job.id, []).append(assigned.item)
        for job_id, items in by_job.items():
            job = self.open_jobs.get(job_id)
            # A job's end may be committed before the dispatcher is notified of it. The bodies of its items are gone
            # then, so they must not be sent.
            if job is None or job.state is not JobState.OPEN:
                continue
            session.assigned_at[job_id] = self.now()
            end = self.surplus_from[job_id]
            needed = [item for item in items if item.order[0] < end]
            surplus = [item for item in items if item.order[0] >= end]
            if needed:
                session.link.send(self._assignment(job, needed, 0.0))
            if surplus:
                session.link.send(self._assignment(job, surplus, SURPLUS_DELAY_S))

    def _assignment(self, job: Job, items: list[JobItem], delay_s: float) -> AssignItems:
        deadlines = self.host.deadlines(job)
        partition = partition_of(job.id)
        age_s = self.now() - job.received_at
        left_s = max(0.0, deadlines.due_s - age_s) + delay_s
        wait_s = max(0.0, deadlines.max_wait_s - age_s)
        return AssignItems(
            partition=partition,
            epoch=self.host.epoch(partition),
            job=job.id,
            host=job.host,
            model=job.model,
            min_version=clamped_integer(job.min_version),
            left_ms=int(left_s * 1000),
            wait_ms=int(wait_s * 1000),
            items=[_work_item(item) for item in items],
        )


def _work_item(item: JobItem) -> WorkItem:
    return WorkItem(
        item=item.id,
        path=item.path,
        headers=item.headers,
        body=item.body,
        group=item.group,
        tokens=clamped_integer(item.tokens),
        scorer_id=item.scorer_id,
        scorer_host=item.scorer_host,
        scorer_path=item.scorer_path,
        scorer_body=item.scorer_body,
        failures=item.failures,
    )
