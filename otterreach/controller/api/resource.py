"""What all resources share: their interface, answers, and writing to the control state."""

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
    """The replicated control state, as resources see it (`replication.Control`)."""

    @property
    def state(self) -> ReplicatedStore:
        """At the primary also what is not yet at all copies."""

    @property
    def number(self) -> int:
        """The epoch."""

    def propose(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items; True once all replicas have the changes, False if that is not sure."""

    async def confirm(self) -> bool:
        """Whether this is the primary now."""

    async def committed(self) -> bool:
        """Whether this is the primary now, and all replicas have `state` as it was at the call."""


class Resource(Protocol):
    """Handles the calls of one resource, at the primary."""

    async def handle(self, call: ApiCall) -> ApiResponse:
        """The answer. The caller may stop waiting for it at any moment."""


OK = ApiResponse(200)
UNAVAILABLE = ApiResponse(503)  # accepted or not: the caller sends it again, to another machine
METHOD_NOT_ALLOWED = ApiResponse(405)
NOT_FOUND = ApiResponse(404)


def rejection(failure: Failure) -> ApiResponse:
    """The status that goes with a failure, with its code and reason as the body."""
    body = json.dumps({"code": int(failure.code), "reason": failure.reason}).encode()
    return ApiResponse(config.status_of(failure), body)


def last_segment(path: str) -> str:
    """The name of the item that a path is about."""
    return path.rpartition("/")[2]


async def write(control: ControlState, changes: Iterable[ItemChange]) -> bool:
    """Change items. A caller that stops waiting does not cancel the write."""
    return await asyncio.shield(control.propose(changes))


async def when_committed(control: ControlState, answer: ApiResponse) -> ApiResponse:
    """`answer`, which rests on the present state, once that state can't be lost any more."""
    return answer if await control.committed() else UNAVAILABLE
