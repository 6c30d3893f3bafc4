"""python3 -m otterreach.jobstore: a job store node, configured by the settings file."""

from __future__ import annotations

import asyncio
import sys
from functools import partial
from random import Random, SystemRandom
from typing import TYPE_CHECKING

import otterreach.runtime.ignore_hangup
from otterreach.jobstore.disk_probe import wait_until_writable
from otterreach.jobstore.graceful_shutdown import transfer_replicas
from otterreach.jobstore.messages import SubmitJob
from otterreach.jobstore.node import JobStoreNode
from otterreach.runtime.caller_limits import frame_admission
from otterreach.runtime.codes import Code
from otterreach.runtime.journal import Journal, open_journal
from otterreach.runtime.log import log
from otterreach.runtime.metrics_listener import MetricsListener
from otterreach.runtime.node import Node, on_signals, run_role
from otterreach.runtime.records import MemberRole
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.settings import Settings

if TYPE_CHECKING:
    from otterreach.runtime.figures import MetricSource

JOURNAL = "jobs.journal"
SUBMISSION_COPIES = 5  # message, text, items, entry of the log, record of the journal
STOP_TIMEOUT_S = 0.8  # for writes in flight to reach the disk


async def wait_for_any(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waiting = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    for task in waiting:
        task.cancel()


def metric_sources(node: Node, journal: Journal, store_node: JobStoreNode) -> tuple[MetricSource, ...]:
    """Return the sources of the node's metrics. Their modules are imported here, as the start doesn't need them."""
    from otterreach.jobstore.figures import job_store_metrics
    from otterreach.runtime.node_figures import journal_metrics, node_metrics

    return partial(node_metrics, node), partial(journal_metrics, journal), partial(job_store_metrics, store_node)


async def serve(settings: Settings) -> None:
    """Run a job store node until SIGTERM. Exits with the code DISK_FAILED if the disk has refused a write."""
    assert settings.datadir is not None
    random = Random(SystemRandom().getrandbits(64))
    await wait_until_writable(settings.datadir)
    journal, records = open_journal(settings.datadir / JOURNAL)
    endpoint = Endpoint()
    endpoint.limit_memory(SubmitJob, frame_admission(settings, SUBMISSION_COPIES))
    node = Node(settings, endpoint, random)
    store_node = JobStoreNode(node, journal, random, records)
    del records
    terminate = asyncio.Event()
    on_signals(terminate.set, node.reload)
    await store_node.start()
    if not node.stopping.is_set():  # set if the disk takes no writes: the node then doesn't announce itself
        await node.start(MemberRole.JOB_STORE)
        endpoint.spawn(node.watch_settings())
        await MetricsListener(partial(metric_sources, node, journal, store_node)).listen(settings.ip)
    await wait_for_any(terminate, node.stopping)
    if terminate.is_set() and not node.stopping.is_set():
        await transfer_replicas(node)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await node.announce_shutdown()
            await store_node.stop()
    except TimeoutError:
        log("stop_late", level="WARNING")
    await endpoint.close()
    if journal.failed is not None:
        sys.exit(int(Code.DISK_FAILED))
    log("stopped", node=settings.node)


def main() -> None:
    """Run the program."""
    run_role(serve)


if __name__ == "__main__":
    main()
