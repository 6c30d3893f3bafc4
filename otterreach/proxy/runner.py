"""Runs the items of batch jobs that job store nodes assign: the text, then the reward call, then the report.

An item is queued by when its results are due. Right before it, or its reward call, is written to a server it must be
known of late that its batch job goes on (otterreach.proxy.directory).
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
from otterreach.runtime.rpc import Link
from otterreach.runtime.settings import Settings

SHUTDOWN_CHECK_S = 0.05


class Runner:
    """All items of this proxy."""

    def __init__(self, fleet: Fleet, endpoint: Caller, settings: Settings, state_age_s: Callable[[], float]) -> None:
        """:param state_age_s: how old the copy of the control state is"""
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
        self.returned = 0  # items for which no server could be reached
        self._state_age_s = state_age_s
        self._order = 0
        endpoint.on(AssignItems, self._on_assign)
        endpoint.on(CancelJob, self._on_cancel)

    @property
    def runs(self) -> dict[tuple[str, str], ItemRun]:
        """The items that are here."""
        return self.queue.runs

    @property
    def slots(self) -> int:
        """How many items this proxy can carry at once."""
        return self.queue.slots

    async def watch(self) -> None:
        """For ever: break off what is silent."""
        await self._texts.watch()

    async def _on_assign(self, link: Link, assign: AssignItems) -> None:
        self.assign(assign)
        if link.address:
            self.directory.confirm(assign.job, link.address)

    async def _on_cancel(self, link: Link, cancel: CancelJob) -> None:
        self.end_job(cancel.job)

    def assign(self, assign: AssignItems) -> None:
        """Take the items that a job store node assigns."""
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
        """Nothing of it may go out any more; what runs is broken off."""
        self._permission.end_job(job)
        for run in [run for run in self.runs.values() if run.job == job]:
            self.queue.drop(run)

    def load(self) -> ItemLoad:
        """What the job store nodes are told of the items here."""
        return self.queue.load()

    def report_running(self, partition: int, address: str) -> None:
        """A partition has moved: its new primary has to know what runs here."""
        self._reports.report_running(partition, address, self.runs.values())

    def on_confirmed(self) -> None:
        """It is known anew which batch jobs go on: their items may go out."""
        self.queue.schedule()

    def state_age_s(self) -> float:
        """How old the copy of the control state is."""
        return self._state_age_s()

    def start(self, run: ItemRun) -> asyncio.Task[None]:
        """The task of an item that goes out for the first time."""
        task: asyncio.Task[None] = self.endpoint.spawn(self._work(run))
        return task

    def return_item(self, run: ItemRun) -> None:
        """No server could be reached for it from here."""
        self.returned += 1
        log("item_returned", job=run.job, item=run.item, attempts=run.unreachable)
        self._reports.return_items(run.job, {run.item: run.failures}, out_of_reach=True)
        self.queue.drop(run)

    async def _work(self, run: ItemRun) -> None:
        """One item from its first server to its report."""
        try:
            reward = Reward()
            reason = await self._texts.generate(run)
            if not reason and run.work.scorer_id:
                self.queue.change_phase(run, Phase.REWARDING)
                reward = await self._rewards.call(run)
            self.queue.change_phase(run, Phase.REPORTING)
            await self._reports.report_result(run, reason or reward.reason, reward.score)
        except Exception as error:  # a fault with one item ends it here, not the process; another proxy may do
            log("item_failed", level="ERROR", job=run.job, item=run.item, error=repr(error))
            self._reports.return_items(run.job, {run.item: run.failures})
        finally:
            self.queue.change_phase(run, Phase.DONE)

    async def shut_down(self, within_s: float) -> None:
        """The process ends: what has not begun goes back at once, what runs may end, the rest goes back then."""
        self.queue.shutting_down = True
        self.directory.ping_all()
        self._return_queued()
        end = self.loop.time() + within_s
        while self.runs and self.loop.time() < end:
            await asyncio.sleep(SHUTDOWN_CHECK_S)
        for run in list(self.runs.values()):
            self._reports.return_items(run.job, {run.item: run.failures})
            self.queue.drop(run)
        await asyncio.sleep(SHUTDOWN_CHECK_S)  # for what was sent to leave

    def _return_queued(self) -> None:
        """What has not begun, a message for each batch job."""
        queued: dict[str, dict[str, int]] = {}
        for run in [run for run in self.runs.values() if run.phase is Phase.QUEUED and run.task is None]:
            queued.setdefault(run.job, {})[run.item] = run.failures
            self.queue.change_phase(run, Phase.DONE)
        for job, items in queued.items():
            self._reports.return_items(job, items)
