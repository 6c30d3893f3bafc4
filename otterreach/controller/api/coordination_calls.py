"""Parsing of the calls for locks, numbers, keys and watches. Each function raises FieldError for invalid input."""

from __future__ import annotations

import re
from dataclasses import dataclass

from otterreach.controller.api.coordination_fields import (
    MAX_NAME_CHARS,
    MAX_NUMBER,
    MAX_VALUE_BYTES,
    MAX_WAIT_MS,
    FieldError,
    Fields,
)
from otterreach.controller.messages import ApiCall
from otterreach.coordination.keyspace import SEPARATOR, Put
from otterreach.coordination.locks import Acquire, Release, Renew

_NAME = re.compile(r"[!-~]+")  # printable ASCII
_NOT_IN_NAMES = frozenset("/?#")


@dataclass(frozen=True, slots=True)
class Watch:
    """Request for the events of a group after a revision; 0 requests the group's current revision only."""

    group: str
    past: int
    wait_ms: int


def read_name(call: ApiCall) -> str:
    """Return the name of the lock, counter, key or group: the path after its first segment."""
    name = call.path.lstrip("/").partition("/")[2]
    if not 0 < len(name) <= MAX_NAME_CHARS:
        raise FieldError("ID", f"1 to {MAX_NAME_CHARS} characters are needed")
    if not _NAME.fullmatch(name) or not _NOT_IN_NAMES.isdisjoint(name):
        raise FieldError("ID", "printable ASCII without / ? # is needed")
    return name


def read_acquire(body: bytes) -> Acquire:
    """Parse the body of POST /locks/ID."""
    fields = Fields.of_body(body, ("owner", "holdMs"))
    return Acquire(fields.owner(), fields.hold_ms())


def read_renew(body: bytes) -> Renew:
    """Parse the body of PUT /locks/ID."""
    fields = Fields.of_body(body, ("owner", "fence", "holdMs"))
    return Renew(fields.owner(), fields.fence(), fields.hold_ms())


def read_release(body: bytes) -> Release:
    """Parse the body of DELETE /locks/ID."""
    fields = Fields.of_body(body, ("owner", "fence"))
    return Release(fields.owner(), fields.fence())


def check_number(body: bytes) -> None:
    """Validate the body of POST /numbers/ID, which has no fields."""
    if body:
        Fields.of_body(body, ())


def read_put(name: str, body: bytes) -> Put:
    """Parse the body of PUT /cells/ID. Without `expect` the key may have any revision."""
    fields = Fields.of_body(body, ("value", "expect"))
    value = fields.text("value", 0, MAX_VALUE_BYTES)
    expected = fields.integer("expect", 0, MAX_NUMBER) if "expect" in fields else None
    return Put(name, value, expected)


def read_watch(group: str, query: str) -> Watch:
    """Parse the query of GET /watch/GROUP. Without `waitMs` the response is sent immediately."""
    if SEPARATOR in group[:-1]:
        raise FieldError("ID", "a group is needed, up to its first dot")
    fields = Fields.of_query(query, ("past", "waitMs"))
    past = fields.integer("past", 0, MAX_NUMBER)
    wait_ms = fields.integer("waitMs", 0, MAX_WAIT_MS) if "waitMs" in fields else 0
    return Watch(group, past, wait_ms)
