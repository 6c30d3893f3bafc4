"""The job store node: keeps batch jobs and their results.

Settings come from the file that OTTERREACH_NODE_FILE names.
"""

from __future__ import annotations

import asyncio
import sys
from random import Random, SystemRandom

from otterreach.jobstore.disk_room import wait_for_room
from otterreach.jobstore.leaving import give_on
from otterreach.jobstore.node import JobStoreNode
from otterreach.runtime.codes import Code
from otterreach.runtime.journal import open_journal
from otterreach.runtime.log import log
from otterreach.runtime.node import Node, on_signals, run_role
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.settings import Settings

JOURNAL = "jobs.journal"
STOP_S = 0.8  # what is being written has so long to get to disk


async def first_of(*events: asyncio.Event) -> None:
    """Until one of them is set."""
    waiting = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    for task in waiting:
        task.cancel()


async def serve(settings: Settings) -> None:
    """Until SIGTERM. Ends with the code of DISK_FAILED if the disk refuses a write."""
    assert settings.datadir is not None
    random = Random(SystemRandom().getrandbits(64))
    await wait_for_room(settings.datadir)
    journal, records = open_journal(settings.datadir / JOURNAL)
    endpoint = Endpoint()
    node = Node(settings, endpoint, random)
    store_node = JobStoreNode(node, journal, random, records)
    del records
    leaving = asyncio.Event()
    on_signals(leaving.set, node.reload)
    await store_node.start()
    if not node.stopping.is_set():  # else its disk takes nothing, and nobody is to hear of it
        await node.start("store")
        endpoint.spawn(node.watch_settings())
    await first_of(leaving, node.stopping)
    if leaving.is_set() and not node.stopping.is_set():
        await give_on(node)
    try:
        async with asyncio.timeout(STOP_S):
            await node.farewell()
            await store_node.stop()
    except TimeoutError:
        log("stop_late", level="WARNING")
    await endpoint.close()
    if journal.failed is not None:
        sys.exit(int(Code.DISK_FAILED))
    log("stopped", node=settings.node)


def main() -> None:
    run_role(serve)


if __name__ == "__main__":
    main()
