"""A planned end: whoever leaves gives its copies on first, if there is time and somebody to take them."""

from __future__ import annotations

import asyncio

from otterreach.jobstore.messages import Leaving
from otterreach.jobstore.placement import read_placement
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.node import Node

ASK_S = 0.8
AGAIN_S = 0.2  # between requests, which are repeated while it lasts
SHARE_OF_GRACE = 0.6  # of the time between SIGTERM and the end; the rest is for the end itself


def is_named(node: Node) -> bool:
    """Whether a record that is known here names this member."""
    for value in node.store.named("part").values():
        placement = read_placement(value)
        if placement and node.member in (*placement.members, *placement.learners):
            return True
    return False


async def give_on(node: Node) -> bool:
    """Ask for others in this member's places until no record names it. False: it is named still, and ends anyway."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    end = began + SHARE_OF_GRACE * node.settings.bounds.grace_s
    ask = Leaving(node.settings.node, node.disk)
    while is_named(node) and loop.time() < end:
        reply = await node.ask_primary(ask, ASK_S)
        if isinstance(reply, Failure) and reply.code is Code.TOO_FEW_LEFT:
            break
        await asyncio.sleep(AGAIN_S)
    done = not is_named(node)
    log("copies_given_on", level="INFO" if done else "WARNING", done=done, seconds=round(loop.time() - began, 2))
    return done
