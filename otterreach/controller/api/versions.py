"""POST /version-put: a trainer names the version of a model that servers are to load."""

from __future__ import annotations

import json
from dataclasses import dataclass

from otterreach.controller.api.resource import (
    METHOD_NOT_ALLOWED,
    OK,
    UNAVAILABLE,
    ControlState,
    rejection,
    when_committed,
    write,
)
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.integers import bounded_integer
from otterreach.runtime.log import log
from otterreach.runtime.records import VersionRecord, put


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version of a model's weights."""

    model: str
    version: int


def read_version(body: bytes) -> NamedVersion | Failure:
    """The body of the call; CONFIG_FIELD if it can't be read."""
    try:
        raw = json.loads(body)
        return NamedVersion(str(raw["model"]), bounded_integer(raw["gen"]))
    except (ValueError, KeyError, TypeError, RecursionError):
        return Failure(Code.CONFIG_FIELD, "model, gen")


class VersionResource:
    """Named versions. They only rise, so a version that is not above the newest was named before: a repeat."""

    def __init__(self, control: ControlState) -> None:
        self.control = control

    async def handle(self, call: ApiCall) -> ApiResponse:
        """Answer a call, at the primary."""
        if call.method != "POST":
            return METHOD_NOT_ALLOWED
        named = read_version(call.body)
        if isinstance(named, Failure):
            return rejection(named)
        newest = self.control.state.record(VersionRecord, named.model)
        if newest and newest.version >= named.version:
            return await when_committed(self.control, OK)
        done = await write(self.control, [put(VersionRecord(named.version), named.model)])
        log("version", model=named.model, version=named.version, done=done)
        return OK if done else UNAVAILABLE
