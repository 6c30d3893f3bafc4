"""Finds the resource of a call, here or at the primary controller, and keeps the answer within the caller's patience.

Any controller takes a call. What only the primary may decide is passed on to it once, and its answer handed back. A
caller moves on after a second of silence, so a call that takes longer gets 503 before that: what it wrote may still be
accepted, and the same call sent again is answered by it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from otterreach.controller.api.configuration import ConfigurationResource
from otterreach.controller.api.resource import NOT_FOUND, UNCLEAR, Resource, last_segment
from otterreach.controller.api.retirement import RetirementResource
from otterreach.controller.api.servers import ServerResource, read_server, updated
from otterreach.controller.api.versions import VersionResource
from otterreach.controller.messages import Operate, Operated
from otterreach.controller.planner import Stores
from otterreach.controller.replication import Control
from otterreach.controller.survival import limits_of
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import Reply
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Link
from otterreach.runtime.settings import Settings
from otterreach.sidecar import http1

ANSWER_S = 0.8  # the primary answers within this
FORWARD_EXTRA_S = 0.05  # so much longer a controller that passed a call on waits for the primary
PRIMARY_CHECK_S = 0.05  # between two looks whether the primary that a call was passed on to is still heard
BODY_BYTES_PER_S = 2_000_000  # callers are more patient with large bodies
COPY_AGE_S = 1.0  # a controller answers from its own copy of the control state only while that is not older


def answer_within_s(call: Operate) -> float:
    """How long the primary may take for a call."""
    return ANSWER_S + len(call.body) / BODY_BYTES_PER_S


class ApiRouter:
    """One controller's HTTP interface to servers, trainers and the operator."""

    def __init__(
        self,
        settings: Settings,
        control: Control,
        follower: Follower,
        stores: Callable[[], Stores | None],
        server_heard: Callable[[str], None],
    ) -> None:
        self.control, self.follower, self.server_heard = control, follower, server_heard
        published = follower.store
        self.resources: dict[str, Resource] = {
            "config": ConfigurationResource(control, published),
            "servers": ServerResource(control),
            "version-put": VersionResource(control),
            "retire": RetirementResource(control, published, stores, limits_of(settings)),
        }
        control.endpoint.on(Operate, self._forwarded)

    async def handle(self, request: http1.Request) -> Reply:
        """A call as it came in over HTTP."""
        call = Operate(
            request.method.decode("latin-1"),
            request.target.partition(b"?")[0].decode("latin-1"),
            request.headers.get(b"if-match", b"").decode("latin-1"),
            request.body,
        )
        kind = _kind_of(call)
        if kind not in self.resources:
            return Reply(404)
        if kind == "servers":
            self.server_heard(last_segment(call.path))
            if self._is_known_heartbeat(call):
                return Reply(200, b"{}")
        answer = await (self._decide(call) if self.control.is_primary else self._pass_on(call))
        return Reply(answer.status, answer.body)

    def _is_known_heartbeat(self, call: Operate) -> bool:
        """A heartbeat that tells nothing new is noted here; only changes go to the primary. A controller that is cut
        off acknowledges none, so that the server turns to one that others hear."""
        if call.method != "PUT" or self.follower.age_s() > COPY_AGE_S:
            return False
        heartbeat = read_server(call.body)
        known: dict[str, Any] | None = self.follower.store.get(f"server/{last_segment(call.path)}")
        return known is not None and not isinstance(heartbeat, Failure) and updated(known, heartbeat) is None

    async def _decide(self, call: Operate) -> Operated:
        """The answer of this controller, as the primary."""
        resource = self.resources.get(_kind_of(call))
        if resource is None:
            return NOT_FOUND
        try:
            async with asyncio.timeout(answer_within_s(call)):
                return await resource.handle(call)
        except TimeoutError:
            return UNCLEAR

    async def _pass_on(self, call: Operate) -> Operated:
        """The primary's answer; UNCLEAR as soon as the primary is not heard any more."""
        address = self.control.heard_primary_address
        if not address:
            return UNCLEAR
        timeout_s = answer_within_s(call) + FORWARD_EXTRA_S
        asked = self.control.endpoint.spawn(self.control.endpoint.call(address, call, timeout_s))
        while not asked.done():
            await asyncio.wait([asked], timeout=PRIMARY_CHECK_S)
            if not asked.done() and self.control.heard_primary_address != address:
                return UNCLEAR
        answer: Operated | Failure = asked.result()
        return UNCLEAR if isinstance(answer, Failure) else answer

    async def _forwarded(self, link: Link, call: Operate) -> Operated | Failure:
        """A call that another controller passed on."""
        if not self.control.is_primary:
            return Failure(Code.NOT_PRIMARY, self.control.primary_address)
        if _kind_of(call) == "servers":
            self.server_heard(last_segment(call.path))
        return await self._decide(call)


def _kind_of(call: Operate) -> str:
    return call.path.strip("/").partition("/")[0]
