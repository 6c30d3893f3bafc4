"""Graceful shutdown: a job store node has its replicas moved to other nodes, if there are any and the time suffices."""

from __future__ import annotations

import asyncio

from otterreach.jobstore.messages import StoreDraining
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.node import Node
from otterreach.runtime.records import PartitionRecord

CALL_TIMEOUT_S = 0.8
REQUEST_INTERVAL_S = 0.2  # interval between requests, which are repeated until the replicas have moved
GRACE_SHARE = 0.6  # of the time between SIGTERM and the end of the process; the rest is for stopping


def has_assigned_replicas(node: Node) -> bool:
    """Return True if any partition record known here names this member."""
    records = node.store.records(PartitionRecord)
    return any(node.member in record.replicas for record in records.values())


async def transfer_replicas(node: Node) -> bool:
    """Ask the controller to move this member's replicas, until no record names it.

    Stops earlier if the time is up, or if too few other nodes are left.

    :returns: False if a record still names it; the process ends anyway
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    deadline = began + GRACE_SHARE * node.settings.bounds.grace_s
    request = StoreDraining(node.settings.node, node.disk)
    while has_assigned_replicas(node) and loop.time() < deadline:
        reply = await node.call_primary(request, CALL_TIMEOUT_S)
        if isinstance(reply, Failure) and reply.code is Code.TOO_FEW_LEFT:
            break
        await asyncio.sleep(REQUEST_INTERVAL_S)
    done = not has_assigned_replicas(node)
    log(
        "replicas_transferred",
        level="INFO" if done else "WARNING",
        done=done,
        seconds=round(loop.time() - began, 2),
    )
    return done
