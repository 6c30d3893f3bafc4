"""POST /version-put: a trainer names the version of a model that servers are to load."""

from __future__ import annotations

import json
from dataclasses import dataclass

from otterreach.controller.api.resource import (
    METHOD_NOT_ALLOWED,
    OK,
    UNCLEAR,
    ControlState,
    encode_item,
    refusal,
    when_committed,
    write,
)
from otterreach.controller.messages import Operate, Operated
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version of a model's weights."""

    model: str
    gen: int


def read_version(body: bytes) -> NamedVersion | Failure:
    """The body of the call."""
    try:
        raw = json.loads(body)
        return NamedVersion(str(raw["model"]), int(raw["gen"]))
    except (ValueError, KeyError, TypeError):
        return Failure(Code.CONFIG_FIELD, "model, gen")


class VersionResource:
    """Named versions. They only rise, so a version that is not above the newest was named before: a repeat."""

    def __init__(self, control: ControlState) -> None:
        self.control = control

    async def handle(self, call: Operate) -> Operated:
        if call.method != "POST":
            return METHOD_NOT_ALLOWED
        version = read_version(call.body)
        if isinstance(version, Failure):
            return refusal(version)
        key = f"version/{version.model}"
        newest = self.control.state.get(key)
        if newest and newest["gen"] >= version.gen:
            return await when_committed(self.control, OK)
        done = await write(self.control, [(key, encode_item({"gen": version.gen}))])
        log("version", model=version.model, gen=version.gen, done=done)
        return OK if done else UNCLEAR
