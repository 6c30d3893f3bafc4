"""Finds the resource of a call, here or at the primary controller, and answers before the caller gives up.

Any controller takes a call. What only the primary may decide is forwarded to it once, and its answer returned. A
caller moves on after a second of silence, so a call that takes longer gets 503 before that: what it wrote may still be
accepted, and the same call sent again is answered by it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from otterreach.controller.api import watches
from otterreach.controller.api.configuration import ConfigurationResource
from otterreach.controller.api.coordination_answers import UNCLEAR
from otterreach.controller.api.forwarding import Forwarder
from otterreach.controller.api.keys import KeyResource
from otterreach.controller.api.locks import LockResource
from otterreach.controller.api.numbers import NumberResource
from otterreach.controller.api.resource import NOT_FOUND, UNAVAILABLE, Resource, last_segment
from otterreach.controller.api.retirement import RetirementResource
from otterreach.controller.api.servers import ServerHeartbeats, ServerResource, merge_heartbeat, read_heartbeat
from otterreach.controller.api.versions import VersionResource
from otterreach.controller.api.watches import WatchResource
from otterreach.controller.group_histories import FollowedHistories
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.planner import StoreMembers
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.controller.replication import ControlReplication
from otterreach.controller.survival import limits_of
from otterreach.controller.watch_hub import WatchHub
from otterreach.runtime.codes import Failure
from otterreach.runtime.http import Reply
from otterreach.runtime.records import ServerRecord
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Link
from otterreach.runtime.settings import Settings
from otterreach.sidecar import http1

ANSWER_TIMEOUT_S = 0.8  # the primary answers within this
FORWARD_EXTRA_S = 0.05  # so much longer a controller that forwarded a call waits for the primary
BODY_BYTES_PER_S = 2_000_000  # callers are more patient with large bodies
MAX_STATE_AGE_S = 1.0  # a controller answers from its own replica only while that is not older
HISTORY_MARGIN_S = 10.0  # the events of puts stay for so much longer than watches may resume from

CONFIGURATION = "config"
SERVERS = "servers"
VERSIONS = "version-put"
RETIREMENTS = "retire"
LOCKS = "locks"
NUMBERS = "numbers"
KEYS = "cells"
WATCHES = "watch"
UNKNOWN = "unknown"  # in figures: a path of no resource
COORDINATION = frozenset({LOCKS, NUMBERS, KEYS, WATCHES})


class AnswerKind(NamedTuple):
    """What the answers to callers are counted by."""

    resource: str
    status: int


@dataclass(frozen=True, slots=True)
class CoordinationParts:
    """What a controller keeps in memory for locks and watches."""

    receipts: ReceiptTimes
    hub: WatchHub
    stalled: Callable[[], bool]  # whether this process has just stood still


def events_kept_s(settings: Settings) -> float:
    """So long the event of a put stays in its group's history at least."""
    return settings.bounds.history_s + HISTORY_MARGIN_S


def answer_within_s(call: ApiCall) -> float:
    """How long the primary may take for a call."""
    waiting_s = watches.wait_s(call) if _resource_name(call) == WATCHES else 0.0
    return ANSWER_TIMEOUT_S + waiting_s + len(call.body) / BODY_BYTES_PER_S


def changes_coordination(call: ApiCall) -> bool:
    """Whether a call may change a lock, a number or a key: then 503 says that it hasn't."""
    return call.method != "GET" and _resource_name(call) in COORDINATION


class ApiRouter:
    """One controller's HTTP interface to servers, trainers and the operator."""

    def __init__(
        self,
        settings: Settings,
        control: ControlReplication,
        follower: Follower,
        stores: Callable[[], StoreMembers | None],
        heartbeats: ServerHeartbeats,
        coordination: CoordinationParts,
    ) -> None:
        """:param stores: the job store nodes that are alive; None while that is not known."""
        self.control = control
        self.follower = follower
        self.heartbeats = heartbeats
        self.coordination = coordination
        self.forwarder = Forwarder(control)
        self.answers: Counter[AnswerKind] = Counter()
        published = follower.store
        self.histories = histories = FollowedHistories()
        receipts = coordination.receipts
        self.resources: dict[str, Resource] = {
            CONFIGURATION: ConfigurationResource(control, published),
            SERVERS: ServerResource(control, heartbeats, settings.heartbeat_s),
            VERSIONS: VersionResource(control),
            RETIREMENTS: RetirementResource(control, published, stores, limits_of(settings)),
            LOCKS: LockResource(control, receipts),
            NUMBERS: NumberResource(control),
            KEYS: KeyResource(control, histories, receipts, events_kept_s(settings)),
            WATCHES: WatchResource(control, histories, coordination.hub),
        }
        control.endpoint.on(ApiCall, self.handle_forwarded)

    async def handle(self, request: http1.Request) -> Reply:
        """A call as it came in over HTTP."""
        path, _, query = request.target.partition(b"?")
        call = ApiCall(
            request.method.decode("latin-1"),
            path.decode("latin-1"),
            request.headers.get(b"if-match", b"").decode("latin-1"),
            request.body,
            query.decode("latin-1"),
        )
        reply = await self._reply(call)
        name = _resource_name(call)
        self.answers[AnswerKind(name if name in self.resources else UNKNOWN, reply.status)] += 1
        return reply

    async def _reply(self, call: ApiCall) -> Reply:
        name = _resource_name(call)
        if name not in self.resources:
            return Reply(404)
        if name == SERVERS:
            self.heartbeats.record_server_heartbeat(last_segment(call.path))
            if self._is_known_heartbeat(call):
                return Reply(200, b"{}")
        if changes_coordination(call) and self.coordination.stalled():
            return Reply(UNAVAILABLE.status)  # the caller has left, and has sent the call to another controller
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
            return UNCLEAR if changes_coordination(call) else UNAVAILABLE

    async def _forward(self, call: ApiCall) -> ApiResponse:
        """The primary's answer, or that there is none."""
        answer = await self.forwarder.forward(call, answer_within_s(call) + FORWARD_EXTRA_S)
        if not isinstance(answer, Failure):
            return answer
        return UNCLEAR if answer.maybe_done and changes_coordination(call) else UNAVAILABLE

    def abandon_waiting_calls(self) -> None:
        """This controller shuts down: answer what waits for the primary, or for an event."""
        self.forwarder.abandon()
        self.coordination.hub.abandon()

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
