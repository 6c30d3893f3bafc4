"""What the resources of locks, numbers, keys and watches share: their answers, and what each promises.

412, 409, 429 and 503 promise that the call has changed nothing and never will; 504 promises nothing.
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

UNCLEAR = ApiResponse(504)  # done or not; sent again, the call is recognised where that matters
EMPTY_OBJECT = b"{}"
DONE = ApiResponse(200, EMPTY_OBJECT)
MAX_NAMES = 100_000  # of one kind
MAX_STATE_BYTES = 24 * 1024 * 1024  # of the whole control state: then no key is added, and none grows
RESERVED_BYTES = 4 * 1024 * 1024  # so much more for locks and numbers: full keys don't stop them

_STATUSES = {
    Code.COORDINATION_FIELD: 400,
    Code.COORDINATION_LIMIT: 429,
    Code.LOCK_HELD: 409,
    Code.LOCK_LOST: 409,
    Code.HISTORY_GONE: 410,
}


class CoordinationState(ControlState, Protocol):
    """A control state that tells whether a write would be begun."""

    @property
    def accepts_writes(self) -> bool:
        """Whether `propose`, called now, changes anything."""


def has_room(state: ReplicatedStore, kind: type[Record]) -> bool:
    """Whether one more lock or number may be added."""
    return state.count(kind) < MAX_NAMES and state.bytes < MAX_STATE_BYTES + RESERVED_BYTES


def refusal(failure: Failure) -> ApiResponse:
    """The status that goes with a failure, with its code and reason as the body."""
    body = json.dumps({"code": int(failure.code), "reason": failure.reason}).encode()
    return ApiResponse(_STATUSES[failure.code], body)


def answer(**fields: object) -> ApiResponse:
    """A 200 with these fields."""
    return ApiResponse(200, json.dumps(fields, separators=(",", ":")).encode())


async def after_write(control: CoordinationState, changes: Iterable[ItemChange], accepted: ApiResponse) -> ApiResponse:
    """Write, and give `accepted` once all replicas have the changes.

    Danger: nothing may be waited for between the decision that the changes are for and this call.
    """
    if not control.accepts_writes:
        return UNAVAILABLE
    return accepted if await write(control, changes) else UNCLEAR


async def after_commit(control: CoordinationState, rejected: ApiResponse) -> ApiResponse:
    """An answer to a call that changes nothing, once the state that it rests on can't be lost any more."""
    return await when_committed(control, rejected)


async def after_repeat(control: CoordinationState, accepted: ApiResponse) -> ApiResponse:
    """The answer to a call that was accepted before: it may be in force already, so it is never called undone."""
    return accepted if await control.committed() else UNCLEAR
