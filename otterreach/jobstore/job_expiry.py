"""Expiry: lists items that have waited too long as errored, and drops batch jobs that may no longer be read."""

from __future__ import annotations

from otterreach.jobstore.dispatcher import Dispatcher
from otterreach.jobstore.job import ItemState, Job, JobState
from otterreach.jobstore.job_entries import drop_entry, result_entry
from otterreach.jobstore.job_json import encode_result
from otterreach.jobstore.job_routes import JobRoutes
from otterreach.jobstore.leadership import PartitionLeader
from otterreach.jobstore.messages import ItemFinished
from otterreach.jobstore.replication import Replication
from otterreach.jobstore.result_check import ERRORED, ROUTE_GONE, WAITED

RETENTION_MARGIN_S = 3.0  # results are kept for longer than statusS promises
WAIT_MARGIN_S = 1.0  # after maxWaitS


class JobExpiry:
    """Periodic expiry in the partitions that this machine leads."""

    def __init__(self, replication: Replication, routes: JobRoutes, dispatcher: Dispatcher) -> None:
        self.replication = replication
        self.routes = routes
        self.dispatcher = dispatcher

    def run(self) -> None:
        """Check all jobs once."""
        now = self.replication.context.now()
        retention_s = self.replication.node.settings.bounds.status_s + RETENTION_MARGIN_S
        for leader in list(self.replication.leaders.values()):
            if not leader.is_confirmed:
                continue
            for job in list(leader.replica.jobs.jobs.values()):
                if job.ended and now - job.received_at > retention_s:
                    leader.append(drop_entry(job.id))
                elif job.state is JobState.OPEN and job.committed:
                    self._expire_items(leader, job, now)

    def _expire_items(self, leader: PartitionLeader, job: Job, now: float) -> None:
        waited = now - job.received_at > self.routes.deadlines(job).max_wait_s + WAIT_MARGIN_S
        if not waited and not self.routes.is_gone(job):
            return
        reason = WAITED if waited else ROUTE_GONE
        for item in job.items.values():
            if item.state is ItemState.PENDING:
                finished = ItemFinished(job.id, item.id, ERRORED, reason, text="", versions=[], score="")
                leader.append(result_entry(job.id, item.id, encode_result(job, finished)))
                self.dispatcher.item_listed(job, item)
