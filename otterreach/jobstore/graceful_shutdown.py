"""How a job store node drains: its replicas go to others before it ends, if there is time and somebody to take them."""

from __future__ import annotations

import asyncio

from otterreach.jobstore.messages import StoreDraining
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.node import Node
from otterreach.runtime.records import PartitionRecord

CALL_TIMEOUT_S = 0.8
REPEAT_S = 0.2  # between requests, which are repeated while it lasts
GRACE_SHARE = 0.6  # of the time between SIGTERM and the end; the rest is for the end itself


def is_named(node: Node) -> bool:
    """Whether a record that is known here names this member."""
    records = node.store.records(PartitionRecord)
    return any(node.member in record.replicas for record in records.values())


async def transfer_replicas(node: Node) -> bool:
    """Ask to be replaced until no record names this member.

    :returns: False if it is still named, and ends anyway
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    deadline = began + GRACE_SHARE * node.settings.bounds.grace_s
    request = StoreDraining(node.settings.node, node.disk)
    while is_named(node) and loop.time() < deadline:
        reply = await node.call_primary(request, CALL_TIMEOUT_S)
        if isinstance(reply, Failure) and reply.code is Code.TOO_FEW_LEFT:
            break
        await asyncio.sleep(REPEAT_S)
    done = not is_named(node)
    log(
        "replicas_transferred",
        level="INFO" if done else "WARNING",
        done=done,
        seconds=round(loop.time() - began, 2),
    )
    return done
