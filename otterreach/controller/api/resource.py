"""What all resources share: their interface, answers, and writing to the control state."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any, Protocol

from otterreach.controller import config
from otterreach.controller.messages import Operate, Operated
from otterreach.runtime.codes import Failure
from otterreach.runtime.store import ReplicatedStore


class ControlState(Protocol):
    """The replicated control state, as resources see it (`replication.Control`)."""

    @property
    def state(self) -> ReplicatedStore:
        """At the primary also what is not yet at all copies."""

    @property
    def number(self) -> int:
        """The epoch."""

    def revise(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items; True once all copies have them, False if that is not sure."""

    async def confirm(self) -> bool:
        """Whether this is the primary now."""

    async def committed(self) -> bool:
        """Whether this is the primary now, and all of `state` as it was when this was called is at all copies."""


class Resource(Protocol):
    """Handles the calls of one resource, at the primary."""

    async def handle(self, call: Operate) -> Operated:
        """The answer. The caller may stop waiting for it at any moment."""


OK = Operated(200)
UNCLEAR = Operated(503)  # accepted or not: the caller sends it again, to another machine
METHOD_NOT_ALLOWED = Operated(405)
NOT_FOUND = Operated(404)


def refusal(failure: Failure) -> Operated:
    """The status that goes with a failure, with its code and reason as the body."""
    body = json.dumps({"code": int(failure.code), "reason": failure.reason}).encode()
    return Operated(config.status_of(failure), body)


def last_segment(path: str) -> str:
    """The name of the item that a path is about."""
    return path.rpartition("/")[2]


async def write(control: ControlState, changes: Iterable[tuple[str, bytes]]) -> bool:
    """Change items. A caller that stops waiting does not end the write."""
    return await asyncio.shield(control.revise(changes))


async def when_committed(control: ControlState, answer: Operated) -> Operated:
    """`answer`, which rests on the present state, once that state can't be lost any more."""
    return answer if await control.committed() else UNCLEAR


def encode_item(value: Any) -> bytes:
    """The value of an item of the control state."""
    return json.dumps(value).encode()
