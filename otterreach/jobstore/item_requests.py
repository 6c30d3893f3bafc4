"""Handlers of the messages that proxies send about items: pings, results, running items, returned items."""

from __future__ import annotations

from otterreach.jobstore.dispatcher import Dispatcher
from otterreach.jobstore.job import ItemState, Job, JobItem, JobState
from otterreach.jobstore.job_entries import result_entry
from otterreach.jobstore.job_json import encode_result
from otterreach.jobstore.job_requests import WRITE_TIMEOUT_S, JobRequests
from otterreach.jobstore.job_routes import JobRoutes
from otterreach.jobstore.leadership import PartitionLeader
from otterreach.jobstore.messages import (
    CancelJob,
    ItemFinished,
    ProxyPing,
    ProxyPong,
    ReturnItems,
    RunningItems,
    ServedPartition,
)
from otterreach.jobstore.partition_replica import PartitionReplica
from otterreach.jobstore.placement import partition_of
from otterreach.jobstore.replication import Replication
from otterreach.jobstore.result_check import rejection_reason
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done


class ItemRequests:
    """Handles messages of proxies for the partitions that this machine leads."""

    def __init__(self, replication: Replication, jobs: JobRequests, routes: JobRoutes, dispatcher: Dispatcher) -> None:
        self.replication = replication
        self.jobs = jobs
        self.routes = routes
        self.dispatcher = dispatcher
        endpoint = replication.node.endpoint
        endpoint.on(ProxyPing, self.handle_ping)
        endpoint.on(ItemFinished, self.handle_finished)
        endpoint.on(RunningItems, self.handle_running)
        endpoint.on(ReturnItems, self.handle_returned)

    # Pings ---------------------------------------------------------------------------------------

    async def handle_ping(self, link: Link, ping: ProxyPing) -> ProxyPong:
        """Handle a proxy's ping. Return the partitions served here, and which of the proxy's jobs have ended."""
        link.peer = ping.node
        self.dispatcher.handle_ping(link, ping)
        served = [
            ServedPartition(partition, leader.epoch, int(leader.age_s() * 1000))
            for partition, leader in self.replication.leaders.items()
            if leader.is_confirmed
        ]
        return ProxyPong(ping.sent_ms, served, [job for job in ping.jobs if self._has_ended(job)])

    def _has_ended(self, job_id: str) -> bool:
        """Return True if the job has ended or is unknown. Always False unless this is known to be its only primary."""
        leader = self.jobs.confirmed_leader(job_id)
        if isinstance(leader, Failure):
            return False
        job = leader.replica.jobs.get(job_id)
        return job is None or job.ended

    # Results -------------------------------------------------------------------------------------

    async def handle_finished(self, link: Link, finished: ItemFinished) -> Done | Failure:
        """List the result of an item, if it is valid."""
        leader = self.replication.leader(partition_of(finished.job))
        if isinstance(leader, Failure):
            return leader
        job = leader.replica.jobs.get(finished.job)
        item = job.items.get(finished.item) if job else None
        if job is None or item is None:
            confirmed = self.jobs.confirmed_leader(finished.job)
            if isinstance(confirmed, Failure):
                return confirmed
            return Failure(Code.UNKNOWN_ITEM if job else Code.UNKNOWN_JOB, finished.item)
        closed = await self._closed_failure(leader.replica, job, item)
        if closed is not None:
            return closed
        rejection = self._rejection(job, item, finished)
        if rejection is not None:
            return rejection
        return await self._list(leader, job, item, finished)

    async def _closed_failure(self, replica: PartitionReplica, job: Job, item: JobItem) -> Failure | None:
        """Return why no result may be listed for the item any more, once that is committed; None if one may be."""
        listed = item.state is ItemState.LISTED
        if not listed and job.state is JobState.OPEN:
            return None
        index = item.index if listed else job.end_index
        if not await self.replication.wait_until_committed(replica, index, WRITE_TIMEOUT_S):
            return Failure(Code.TIMED_OUT, "not at all replicas in time")
        return Failure(Code.UNKNOWN_ITEM, "listed") if listed else Failure(Code.JOB_ENDED, job.id)

    def _rejection(self, job: Job, item: JobItem, finished: ItemFinished) -> Failure | None:
        """Return why this can't be a result, or None. BAD_MESSAGE is final for the proxy; the item will run again."""
        why = rejection_reason(self.routes, job, item, finished, self.replication.context.now())
        if not why:
            return None
        log(
            "result_rejected",
            job=job.id,
            item=item.id,
            state=finished.state,
            reason=finished.reason,
            why=why,
        )
        self.dispatcher.item_failed(job, item)
        return Failure(Code.BAD_MESSAGE, why)

    async def _list(self, leader: PartitionLeader, job: Job, item: JobItem, finished: ItemFinished) -> Done | Failure:
        index = leader.append(result_entry(job.id, item.id, encode_result(job, finished)))
        self.dispatcher.item_listed(job, item)
        return await self.jobs.done_when_committed(leader.replica, index)

    # Running and returned items ------------------------------------------------------------------

    async def handle_running(self, link: Link, request: RunningItems) -> Done | Failure:
        """Handle a proxy's report to a new primary of the items that it runs."""
        leader = self.replication.leader(request.partition)
        if isinstance(leader, Failure):
            return leader
        for entry in request.items:
            job_id, _, item_id = entry.partition(" ")
            job = leader.replica.jobs.get(job_id)
            if job and not job.ended:
                self.dispatcher.item_runs_at(request.node, job, item_id)
            elif self._has_ended(job_id):
                link.send(CancelJob(job_id))
        return Done()

    async def handle_returned(self, link: Link, message: ReturnItems) -> None:
        """Handle that a proxy will not run some items."""
        self.dispatcher.items_returned(link.peer, message)
