"""POST /version-put: a trainer announces the version of a model that servers are to load."""

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
class AnnouncedVersion:
    """A version of a model's weights."""

    model: str
    version: int


def read_version(body: bytes) -> AnnouncedVersion | Failure:
    """Parse the body of the call; return CONFIG_FIELD if it is invalid."""
    try:
        raw = json.loads(body)
        return AnnouncedVersion(str(raw["model"]), bounded_integer(raw["gen"]))
    except (ValueError, KeyError, TypeError, RecursionError):
        return Failure(Code.CONFIG_FIELD, "model, gen")


class VersionResource:
    """Handles announced versions. They only increase, so a version not above the newest is a repeat."""

    def __init__(self, control: ControlState) -> None:
        self.control = control

    async def handle(self, call: ApiCall) -> ApiResponse:
        """Handle a call on the primary."""
        if call.method != "POST":
            return METHOD_NOT_ALLOWED
        announced = read_version(call.body)
        if isinstance(announced, Failure):
            return rejection(announced)
        newest = self.control.state.record(VersionRecord, announced.model)
        if newest and newest.version >= announced.version:
            return await when_committed(self.control, OK)
        done = await write(self.control, [put(VersionRecord(announced.version), announced.model)])
        log("version", model=announced.model, version=announced.version, done=done)
        return OK if done else UNAVAILABLE
