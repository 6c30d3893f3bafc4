"""Reports to the job store: results, repeated until acknowledged; running items; returned items."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

from otterreach.jobstore.messages import ItemFinished, ReturnItems, RunningItems
from otterreach.jobstore.placement import partition_of
from otterreach.proxy.directory import Caller, JobStoreDirectory
from otterreach.proxy.item_run import ItemRun
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log

REPORT_TIMEOUT_S = 2.0
REPORT_CALL_TIMEOUT_S = 0.8
REPORT_RETRY_S = 0.05
FINAL = (Code.JOB_ENDED, Code.UNKNOWN_ITEM, Code.UNKNOWN_JOB, Code.BAD_MESSAGE)
DONE = "done"
ERRORED = "errored"


class ItemReports:
    """Sends the reports of this proxy to the job store nodes."""

    def __init__(self, node: str, endpoint: Caller, directory: JobStoreDirectory) -> None:
        self.node = node
        self.endpoint = endpoint
        self.directory = directory

    async def report_result(self, run: ItemRun, reason: str, score: str) -> None:
        """Report the result of an item until it is acknowledged or finally rejected.

        :param reason: the reason for the item's failure; empty for a success
        """
        finished = self._finished(run, reason, score)
        while True:
            reply = await self.directory.call(run.job, finished, REPORT_TIMEOUT_S, REPORT_CALL_TIMEOUT_S)
            if not isinstance(reply, Failure) or reply.code in FINAL:
                break
            await asyncio.sleep(REPORT_RETRY_S)
        if reason:
            log("item_errored", job=run.job, item=run.item, reason=reason)

    def _finished(self, run: ItemRun, reason: str, score: str) -> ItemFinished:
        if reason:
            return ItemFinished(run.job, run.item, ERRORED, reason, "", [], score)
        text = run.transcript.text.decode("utf-8", "replace")
        return ItemFinished(run.job, run.item, DONE, "", text, sorted(run.transcript.versions), score)

    def report_running(self, partition: int, address: str, runs: Iterable[ItemRun]) -> None:
        """Report the running items of a partition after a change of its owner or epoch."""
        items = [f"{run.job} {run.item}" for run in runs if partition_of(run.job) == partition]
        self._send(address, RunningItems(partition, self.node, items))

    def return_items(self, job: str, failures: Mapping[str, int], out_of_reach: bool = False) -> None:
        """Return items of a batch job, so that another proxy can run them.

        :param failures: number of failures by item
        :param out_of_reach: True if this proxy reached no server for them
        """
        address = self.directory.address_of(job)
        if address and failures:
            self._send(address, ReturnItems(job, list(failures), out_of_reach, list(failures.values())))

    def _send(self, address: str, message: Any) -> None:
        self.endpoint.spawn(self._send_over_link(address, message))

    async def _send_over_link(self, address: str, message: Any) -> None:
        link = await self.endpoint.link(address)
        if not isinstance(link, Failure):
            link.send(message)
