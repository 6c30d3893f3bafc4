"""Finds the resource of a call, here or at the primary controller, and answers before the caller gives up.

Any controller takes a call. What only the primary may decide is forwarded to it once, and its answer returned. A
caller moves on after a second of silence, so a call that takes longer gets 503 before that: what it wrote may still be
accepted, and the same call sent again is answered by it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from otterreach.controller.api.configuration import ConfigurationResource
from otterreach.controller.api.resource import NOT_FOUND, UNAVAILABLE, Resource, last_segment
from otterreach.controller.api.retirement import RetirementResource
from otterreach.controller.api.servers import ServerHeartbeats, ServerResource, merge_heartbeat, read_heartbeat
from otterreach.controller.api.versions import VersionResource
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.planner import StoreMembers
from otterreach.controller.replication import ControlReplication
from otterreach.controller.survival import limits_of
from otterreach.runtime.codes import Failure
from otterreach.runtime.http import Reply
from otterreach.runtime.records import ServerRecord
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Link
from otterreach.runtime.settings import Settings
from otterreach.sidecar import http1

ANSWER_TIMEOUT_S = 0.8  # the primary answers within this
FORWARD_EXTRA_S = 0.05  # so much longer a controller that forwarded a call waits for the primary
PRIMARY_CHECK_S = 0.05  # between two looks whether the primary that a call was forwarded to is still heard
BODY_BYTES_PER_S = 2_000_000  # callers are more patient with large bodies
MAX_STATE_AGE_S = 1.0  # a controller answers from its own replica only while that is not older

CONFIGURATION = "config"
SERVERS = "servers"
VERSIONS = "version-put"
RETIREMENTS = "retire"


def answer_within_s(call: ApiCall) -> float:
    """How long the primary may take for a call."""
    return ANSWER_TIMEOUT_S + len(call.body) / BODY_BYTES_PER_S


class ApiRouter:
    """One controller's HTTP interface to servers, trainers and the operator."""

    def __init__(
        self,
        settings: Settings,
        control: ControlReplication,
        follower: Follower,
        stores: Callable[[], StoreMembers | None],
        heartbeats: ServerHeartbeats,
    ) -> None:
        """:param stores: the job store nodes that are alive; None while that is not known."""
        self.control = control
        self.follower = follower
        self.heartbeats = heartbeats
        published = follower.store
        self.resources: dict[str, Resource] = {
            CONFIGURATION: ConfigurationResource(control, published),
            SERVERS: ServerResource(control, heartbeats, settings.heartbeat_s),
            VERSIONS: VersionResource(control),
            RETIREMENTS: RetirementResource(control, published, stores, limits_of(settings)),
        }
        control.endpoint.on(ApiCall, self.handle_forwarded)

    async def handle(self, request: http1.Request) -> Reply:
        """A call as it came in over HTTP."""
        call = ApiCall(
            request.method.decode("latin-1"),
            request.target.partition(b"?")[0].decode("latin-1"),
            request.headers.get(b"if-match", b"").decode("latin-1"),
            request.body,
        )
        name = _resource_name(call)
        if name not in self.resources:
            return Reply(404)
        if name == SERVERS:
            self.heartbeats.record_server_heartbeat(last_segment(call.path))
            if self._is_known_heartbeat(call):
                return Reply(200, b"{}")
        answer = await (self._decide(call) if self.control.is_primary else self._forward(call))
        return Reply(answer.status, answer.body)

    def _is_known_heartbeat(self, call: ApiCall) -> bool:
        """Whether a heartbeat tells nothing new: only changes go to the primary.

        A controller that is disconnected acknowledges none, so that the server turns to one that others hear.
        """
        if call.method != "PUT" or self.follower.age_s() > MAX_STATE_AGE_S:
            return False
        heartbeat = read_heartbeat(call.body)
        known = self.follower.store.record(ServerRecord, last_segment(call.path))
        if known is None or isinstance(heartbeat, Failure):
            return False
        return merge_heartbeat(known, heartbeat) is None

    async def _decide(self, call: ApiCall) -> ApiResponse:
        """The answer of this controller, as the primary."""
        resource = self.resources.get(_resource_name(call))
        if resource is None:
            return NOT_FOUND
        try:
            async with asyncio.timeout(answer_within_s(call)):
                return await resource.handle(call)
        except TimeoutError:
            return UNAVAILABLE

    async def _forward(self, call: ApiCall) -> ApiResponse:
        """The primary's answer; UNAVAILABLE as soon as the primary is not heard any more."""
        address = self.control.live_primary_address
        if not address:
            return UNAVAILABLE
        timeout_s = answer_within_s(call) + FORWARD_EXTRA_S
        asked = self.control.endpoint.spawn(self.control.endpoint.call(address, call, timeout_s))
        while not asked.done():
            await asyncio.wait([asked], timeout=PRIMARY_CHECK_S)
            if not asked.done() and self.control.live_primary_address != address:
                return UNAVAILABLE
        answer = asked.result()
        return UNAVAILABLE if isinstance(answer, Failure) else answer

    async def handle_forwarded(self, link: Link, call: ApiCall) -> ApiResponse | Failure:
        """A call that another controller forwarded."""
        if not self.control.is_primary:
            return self.control.not_primary()
        if _resource_name(call) == SERVERS:
            self.heartbeats.record_server_heartbeat(last_segment(call.path))
        return await self._decide(call)


def _resource_name(call: ApiCall) -> str:
    """The first segment of the path."""
    return call.path.strip("/").partition("/")[0]
