"""The check before each write to a server, which prevents sends for ended batch jobs."""

from __future__ import annotations

from collections import OrderedDict

from otterreach.proxy.directory import JobStoreDirectory
from otterreach.proxy.item_run import ItemRun, Phase

MAX_ENDED_JOBS = 2000  # number of ended batch jobs whose ids are kept


class SendPermission:
    """Decides whether items may be sent, by the ended batch jobs and the recent confirmations of the others."""

    def __init__(self, directory: JobStoreDirectory) -> None:
        self.directory = directory
        self._ended: OrderedDict[str, None] = OrderedDict()

    def end_job(self, job: str) -> None:
        """Forbid further sends for a batch job."""
        self._ended[job] = None
        if len(self._ended) > MAX_ENDED_JOBS:
            self._ended.popitem(last=False)

    def has_ended(self, job: str) -> bool:
        """Return True if the batch job is known to have ended."""
        return job in self._ended

    def may_send(self, run: ItemRun) -> bool:
        """Return True if the item may be written to a server; checked right before each write."""
        return (
            run.phase is not Phase.DONE
            and not self.has_ended(run.job)
            and self.directory.is_confirmed_recently(run.job)
        )
