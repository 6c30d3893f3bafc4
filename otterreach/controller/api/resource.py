"""Definitions shared by all resources: the interface, common responses, and writes to the control state."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Protocol

from otterreach.controller import config
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.runtime.codes import Failure
from otterreach.runtime.records import ItemChange
from otterreach.runtime.store import ReplicatedStore


class ControlState(Protocol):
    """The interface of the replicated control state that resources use (`replication.ControlReplication`)."""

    @property
    def state(self) -> ReplicatedStore:
        """The local state; on the primary it includes changes that are not yet on all replicas."""

    @property
    def number(self) -> int:
        """The number of the epoch."""

    def propose(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items. The result is True once the changes are on all replicas, False if that is not certain."""

    async def confirm_leadership(self) -> bool:
        """Return True if this controller is the primary now."""

    async def wait_until_committed(self) -> bool:
        """Return True if this controller is the primary now and `state`, as of the call, is on all replicas."""


class Resource(Protocol):
    """Handles the calls of one resource on the primary."""

    async def handle(self, call: ApiCall) -> ApiResponse:
        """Return the response. The caller may cancel the wait at any time."""


OK = ApiResponse(200)
UNAVAILABLE = ApiResponse(503)  # the call may have been accepted; the caller retries it on another machine
METHOD_NOT_ALLOWED = ApiResponse(405)
NOT_FOUND = ApiResponse(404)


def rejection(failure: Failure) -> ApiResponse:
    """Return the response for a failure, with its code and reason in the body."""
    body = json.dumps({"code": int(failure.code), "reason": failure.reason}).encode()
    return ApiResponse(config.status_of(failure), body)


def last_segment(path: str) -> str:
    """Return the last segment of a path, which names the item."""
    return path.rpartition("/")[2]


async def write(control: ControlState, changes: Iterable[ItemChange]) -> bool:
    """Change items. Cancelling the caller doesn't cancel the write."""
    return await asyncio.shield(control.propose(changes))


async def when_committed(control: ControlState, answer: ApiResponse) -> ApiResponse:
    """Return `answer` once the current state, on which it depends, is committed; UNAVAILABLE if that fails."""
    return answer if await control.wait_until_committed() else UNAVAILABLE
