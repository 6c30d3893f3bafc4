"""Runs the items of batch jobs that job store nodes assign: text generation, reward call, report of the result.

Items are queued by the time at which their results are due. An item or its reward call is written to a server only if
its batch job was confirmed recently (otterreach.proxy.directory).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from otterreach.jobstore.messages import AssignItems, CancelJob
from otterreach.proxy.directory import Caller, JobStoreDirectory
from otterreach.proxy.fleet import Fleet
from otterreach.proxy.item_placement import ItemPlacer
from otterreach.proxy.item_queue import ItemQueue
from otterreach.proxy.item_reports import ItemReports
from otterreach.proxy.item_run import ItemRun, Phase
from otterreach.proxy.ping_schedule import ItemLoad
from otterreach.proxy.reward_calls import Reward, RewardCalls
from otterreach.proxy.send_permission import SendPermission
from otterreach.proxy.text_generation import TextGeneration
from otterreach.runtime.log import log
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.settings import Settings

SHUTDOWN_CHECK_S = 0.05


class Runner:
    """Runs all items of this proxy."""

    def __init__(self, fleet: Fleet, endpoint: Caller, settings: Settings, state_age_s: Callable[[], float]) -> None:
        """:param state_age_s: returns the age of the local replica of the control state"""
        self.fleet = fleet
        self.loop = fleet.loop
        self.settings = settings
        self.endpoint = endpoint
        self.directory = JobStoreDirectory(fleet, endpoint, settings, self)
        placer = ItemPlacer(fleet, self.directory)
        self.queue = ItemQueue(fleet, placer, settings.cores, self)
        self._permission = SendPermission(self.directory)
        self._texts = TextGeneration(fleet, placer, self.queue, self._permission)
        self._rewards = RewardCalls(fleet, self.directory, self._permission)
        self._reports = ItemReports(settings.node, endpoint, self.directory)
        self.returned = 0  # number of items returned because no server was reached
        self._state_age_s = state_age_s
        self._order = 0
        endpoint.on(AssignItems, self._on_assign)
        endpoint.on(CancelJob, self._on_cancel)

    @property
    def runs(self) -> dict[tuple[str, str], ItemRun]:
        """The items at this proxy."""
        return self.queue.runs

    @property
    def slots(self) -> int:
        """The number of items that this proxy can run at once."""
        return self.queue.slots

    async def watch(self) -> None:
        """End stalled attempts, until cancelled."""
        await self._texts.watch()

    async def _on_assign(self, link: Link, assign: AssignItems) -> None:
        self.assign(assign)
        if link.address:
            self.directory.confirm(assign.job, link.address)

    async def _on_cancel(self, link: Link, cancel: CancelJob) -> None:
        self.end_job(cancel.job)

    def assign(self, assign: AssignItems) -> None:
        """Queue the items that a job store node assigns; during shutdown, return them instead.

        The assignment is ignored if its epoch is older than the newest known one of the partition, or if the job has
        ended. Items that are already here are not queued again.
        """
        is_outdated = assign.epoch < self.directory.newest_epoch(assign.partition)
        if is_outdated or self._permission.has_ended(assign.job):
            return
        if self.queue.shutting_down:
            self._reports.return_items(assign.job, {work.item: work.failures for work in assign.items})
            return
        now = self.loop.time()
        for work in assign.items:
            if (assign.job, work.item) in self.runs:
                continue
            self._order += 1
            self.queue.add(ItemRun(assign, work, now, self._order))

    def end_job(self, job: str) -> None:
        """Cancel the items of an ended batch job and prevent further sends."""
        self._permission.end_job(job)
        for run in [run for run in self.runs.values() if run.job == job]:
            self.queue.drop(run)

    def load(self) -> ItemLoad:
        """Return the load that is reported to the job store nodes."""
        return self.queue.load()

    def report_running(self, partition: int, address: str) -> None:
        """Report the running items of a partition that has moved to its new primary."""
        self._reports.report_running(partition, address, self.runs.values())

    def on_confirmed(self) -> None:
        """Check the queue after a pong, because items of confirmed batch jobs may now be sent."""
        self.queue.schedule()

    def state_age_s(self) -> float:
        """Return the age of the local replica of the control state."""
        return self._state_age_s()

    def start(self, run: ItemRun) -> asyncio.Task[None]:
        """Create the task of an item that is sent for the first time."""
        task: asyncio.Task[None] = self.endpoint.spawn(self._run_item(run))
        return task

    def return_item(self, run: ItemRun) -> None:
        """Return an item to the job store because no server was reached for it."""
        self.returned += 1
        log("item_returned", job=run.job, item=run.item, attempts=run.unreachable)
        self._reports.return_items(run.job, {run.item: run.failures}, out_of_reach=True)
        self.queue.drop(run)

    async def _run_item(self, run: ItemRun) -> None:
        """Run one item from its first attempt to the report of its result."""
        try:
            reward = Reward()
            reason = await self._texts.generate(run)
            if not reason and run.work.scorer_id:
                self.queue.change_phase(run, Phase.REWARDING)
                reward = await self._rewards.call(run)
            self.queue.change_phase(run, Phase.REPORTING)
            await self._reports.report_result(run, reason or reward.reason, reward.score)
        except Exception as error:  # an error in one item returns it to the job store and doesn't end the process
            log("item_failed", level="ERROR", job=run.job, item=run.item, error=repr(error))
            self._reports.return_items(run.job, {run.item: run.failures})
        finally:
            self.queue.change_phase(run, Phase.DONE)

    async def shut_down(self, within_s: float) -> None:
        """Return queued items at once, let running items complete within the time, then return the rest."""
        self.queue.shutting_down = True
        self.directory.ping_all()
        self._return_queued()
        end = self.loop.time() + within_s
        while self.runs and self.loop.time() < end:
            await asyncio.sleep(SHUTDOWN_CHECK_S)
        for run in list(self.runs.values()):
            self._reports.return_items(run.job, {run.item: run.failures})
            self.queue.drop(run)
        await asyncio.sleep(SHUTDOWN_CHECK_S)  # lets the messages leave before the process ends

    def _return_queued(self) -> None:
        """Return the items that have not been started, in one message per batch job."""
        queued: dict[str, dict[str, int]] = {}
        for run in [run for run in self.runs.values() if run.phase is Phase.QUEUED and run.task is None]:
            queued.setdefault(run.job, {})[run.item] = run.failures
            self.queue.change_phase(run, Phase.DONE)
        for job, items in queued.items():
            self._reports.return_items(job, items)
