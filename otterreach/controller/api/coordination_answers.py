"""Responses shared by the lock, number, key and watch resources.

412, 409, 429 and 503 guarantee that the call has changed nothing and never will; 504 guarantees nothing.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Protocol

from otterreach.controller.api.resource import UNAVAILABLE, ControlState, when_committed, write
from otterreach.controller.messages import ApiResponse
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.records import ItemChange, Record
from otterreach.runtime.store import ReplicatedStore

OUTCOME_UNKNOWN = ApiResponse(504)  # the call may have been applied; a retry is recognised where that matters
EMPTY_OBJECT = b"{}"
DONE = ApiResponse(200, EMPTY_OBJECT)
MAX_NAMES = 100_000  # items of one kind
MAX_STATE_BYTES = 24 * 1024 * 1024  # size of the whole control state at which no key is added and none grows
RESERVED_BYTES = 4 * 1024 * 1024  # additional space for locks and numbers, so that keys can't exhaust it

_STATUSES = {
    Code.COORDINATION_FIELD: 400,
    Code.COORDINATION_LIMIT: 429,
    Code.LOCK_HELD: 409,
    Code.LOCK_LOST: 409,
    Code.HISTORY_GONE: 410,
}


class CoordinationState(ControlState, Protocol):
    """A control state that reports whether it accepts writes."""

    @property
    def accepts_writes(self) -> bool:
        """True if a call of `propose` made now would change anything."""


def has_room(state: ReplicatedStore, kind: type[Record]) -> bool:
    """Return True if one more lock or number may be added."""
    return state.count(kind) < MAX_NAMES and state.bytes < MAX_STATE_BYTES + RESERVED_BYTES


def refusal(failure: Failure) -> ApiResponse:
    """Return the response for a failure, with its code and reason in the body."""
    body = json.dumps({"code": int(failure.code), "reason": failure.reason}).encode()
    return ApiResponse(_STATUSES[failure.code], body)


def answer(**fields: object) -> ApiResponse:
    """Return a response with status 200 and a JSON object of these fields."""
    return ApiResponse(200, json.dumps(fields, separators=(",", ":")).encode())


async def after_write(control: CoordinationState, changes: Iterable[ItemChange], accepted: ApiResponse) -> ApiResponse:
    """Write the changes and return `accepted` once they are on all replicas.

    Nothing may be awaited between the decision that led to the changes and this call; otherwise the state that the
    decision was based on may have changed.
    """
    if not control.accepts_writes:
        return UNAVAILABLE
    return accepted if await write(control, changes) else OUTCOME_UNKNOWN


async def after_commit(control: CoordinationState, rejected: ApiResponse) -> ApiResponse:
    """Return the response to a call that changes nothing, once the state that it depends on is committed."""
    return await when_committed(control, rejected)


async def after_repeat(control: CoordinationState, accepted: ApiResponse) -> ApiResponse:
    """Return the response to a repeat of an accepted call.

    The accepted call may already be in effect. If that can't be confirmed, the response is therefore OUTCOME_UNKNOWN,
    and not a status which guarantees that the call has changed nothing.
    """
    return accepted if await control.wait_until_committed() else OUTCOME_UNKNOWN
