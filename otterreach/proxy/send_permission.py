"""Whether anything of a batch job may go out now: nothing of one that has ended does."""

from __future__ import annotations

from collections import OrderedDict

from otterreach.proxy.directory import JobStoreDirectory
from otterreach.proxy.item_run import ItemRun, Phase

MAX_ENDED_JOBS = 2000  # ids of ended batch jobs that are remembered


class SendPermission:
    """What is known of ended batch jobs, and of how new the job store's word on the others is."""

    def __init__(self, directory: JobStoreDirectory) -> None:
        self.directory = directory
        self._ended: OrderedDict[str, None] = OrderedDict()

    def end_job(self, job: str) -> None:
        """Nothing of it may go out any more."""
        self._ended[job] = None
        if len(self._ended) > MAX_ENDED_JOBS:
            self._ended.popitem(last=False)

    def has_ended(self, job: str) -> bool:
        """Whether a batch job is known to have ended."""
        return job in self._ended

    def may_send(self, run: ItemRun) -> bool:
        """The check right before each write to a server."""
        return (
            run.phase is not Phase.DONE
            and not self.has_ended(run.job)
            and self.directory.is_confirmed_recently(run.job)
        )
