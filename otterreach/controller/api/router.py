"""Dispatches calls to their resources, locally or on the primary controller, within the callers' time-out.

Any controller accepts calls. A call that only the primary may decide is forwarded to it once, and its response is
returned. Callers turn to another controller after one second without a response, so a call that takes longer gets 503
before that. Its write may still be accepted, in which case a retry of the call is recognised and answered accordingly.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from otterreach.controller.api import watches
from otterreach.controller.api.configuration import ConfigurationResource
from otterreach.controller.api.coordination_answers import OUTCOME_UNKNOWN
from otterreach.controller.api.forwarding import Forwarder
from otterreach.controller.api.keys import KeyResource
from otterreach.controller.api.locks import LockResource
from otterreach.controller.api.numbers import NumberResource
from otterreach.controller.api.resource import NOT_FOUND, UNAVAILABLE, Resource, last_segment
from otterreach.controller.api.retirement import RetirementResource
from otterreach.controller.api.servers import ServerHeartbeats, ServerResource, merge_heartbeat, read_heartbeat
from otterreach.controller.api.versions import VersionResource
from otterreach.controller.api.watches import WatchResource
from otterreach.controller.group_histories import HistoryCache
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
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.settings import Settings
from otterreach.sidecar import http1

ANSWER_TIMEOUT_S = 0.8  # limit for the primary's response
FORWARD_EXTRA_S = 0.05  # added to the time-out of a forwarded call
BODY_BYTES_PER_S = 2_000_000  # the time-out grows with the size of the body, as that of callers does
MAX_STATE_AGE_S = 1.0  # maximum age of the local replica for responses based on it
HISTORY_MARGIN_S = 10.0  # retention of events beyond the period from which watches may resume

CONFIGURATION = "config"
SERVERS = "servers"
VERSIONS = "version-put"
RETIREMENTS = "retire"
LOCKS = "locks"
NUMBERS = "numbers"
KEYS = "cells"
WATCHES = "watch"
UNKNOWN = "unknown"  # metric label for paths without a resource
COORDINATION = frozenset({LOCKS, NUMBERS, KEYS, WATCHES})


class AnswerKind(NamedTuple):
    """The labels by which responses are counted."""

    resource: str
    status: int


@dataclass(frozen=True, slots=True)
class CoordinationContext:
    """A controller's in-memory state for locks and watches."""

    receipts: ReceiptTimes
    hub: WatchHub
    stalled: Callable[[], bool]  # returns True if this process has just been stalled


def event_retention_s(settings: Settings) -> float:
    """Return the minimum time for which an event is retained in its group's history."""
    return settings.bounds.history_s + HISTORY_MARGIN_S


def answer_within_s(call: ApiCall) -> float:
    """Return the primary's time-out for a call."""
    waiting_s = watches.wait_s(call) if _resource_name(call) == WATCHES else 0.0
    return ANSWER_TIMEOUT_S + waiting_s + len(call.body) / BODY_BYTES_PER_S


def changes_coordination(call: ApiCall) -> bool:
    """Return True if a call may change a lock, a number or a key; for these, 503 guarantees that nothing changed."""
    return call.method != "GET" and _resource_name(call) in COORDINATION


class ApiRouter:
    """The HTTP interface of a controller to servers, trainers and the operator."""

    def __init__(
        self,
        settings: Settings,
        control: ControlReplication,
        follower: Follower,
        stores: Callable[[], StoreMembers | None],
        heartbeats: ServerHeartbeats,
        coordination: CoordinationContext,
    ) -> None:
        """:param stores: the job store nodes that are alive; None while they are not known"""
        self.control = control
        self.follower = follower
        self.heartbeats = heartbeats
        self.coordination = coordination
        self.forwarder = Forwarder(control)
        self.answers: Counter[AnswerKind] = Counter()
        published = follower.store
        self.histories = histories = HistoryCache()
        receipts = coordination.receipts
        self.resources: dict[str, Resource] = {
            CONFIGURATION: ConfigurationResource(control, published),
            SERVERS: ServerResource(control, heartbeats, settings.heartbeat_s),
            VERSIONS: VersionResource(control),
            RETIREMENTS: RetirementResource(control, published, stores, limits_of(settings)),
            LOCKS: LockResource(control, receipts),
            NUMBERS: NumberResource(control),
            KEYS: KeyResource(control, histories, receipts, event_retention_s(settings)),
            WATCHES: WatchResource(control, histories, coordination.hub),
        }
        control.endpoint.on(ApiCall, self.handle_forwarded)

    async def handle(self, request: http1.Request) -> Reply:
        """Handle a call received over HTTP."""
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
            return Reply(UNAVAILABLE.status)  # the caller has timed out and has retried on another controller
        answer = await (self._decide(call) if self.control.is_primary else self._forward(call))
        return Reply(answer.status, answer.body)

    def _is_known_heartbeat(self, call: ApiCall) -> bool:
        """Return True if a heartbeat changes nothing and can be acknowledged locally; only changes go to the primary.

        A disconnected controller acknowledges no heartbeats, so that the server turns to a controller whose reports
        reach the others.
        """
        if call.method != "PUT" or self.follower.age_s() > MAX_STATE_AGE_S:
            return False
        heartbeat = read_heartbeat(call.body)
        known = self.follower.store.record(ServerRecord, last_segment(call.path))
        if known is None or isinstance(heartbeat, Failure):
            return False
        return merge_heartbeat(known, heartbeat) is None

    async def _decide(self, call: ApiCall) -> ApiResponse:
        """Return the response of this controller as the primary."""
        resource = self.resources.get(_resource_name(call))
        if resource is None:
            return NOT_FOUND
        try:
            async with asyncio.timeout(answer_within_s(call)):
                return await resource.handle(call)
        except TimeoutError:
            return OUTCOME_UNKNOWN if changes_coordination(call) else UNAVAILABLE

    async def _forward(self, call: ApiCall) -> ApiResponse:
        """Return the primary's response, or 503 or 504 if there is none."""
        answer = await self.forwarder.forward(call, answer_within_s(call) + FORWARD_EXTRA_S)
        if not isinstance(answer, Failure):
            return answer
        return OUTCOME_UNKNOWN if answer.maybe_done and changes_coordination(call) else UNAVAILABLE

    def abort_pending_calls(self) -> None:
        """Complete the calls that wait for the primary or for an event, because this controller is shutting down."""
        self.forwarder.abort()
        self.coordination.hub.abort()

    async def handle_forwarded(self, link: Link, call: ApiCall) -> ApiResponse | Failure:
        """Handle a call forwarded by another controller."""
        if not self.control.is_primary:
            return self.control.not_primary()
        if _resource_name(call) == SERVERS:
            self.heartbeats.record_server_heartbeat(last_segment(call.path))
        return await self._decide(call)


def _resource_name(call: ApiCall) -> str:
    """Return the first segment of a call's path."""
    return call.path.strip("/").partition("/")[0]
