"""Reads the calls for locks, numbers, keys and watches: each field has its bounds, and a failure names the field."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import parse_qsl

from otterreach.controller.messages import ApiCall
from otterreach.coordination.keyspace import SEPARATOR, Put
from otterreach.coordination.locks import Acquire, Release, Renew
from otterreach.runtime.codes import Code, Failure

MAX_NAME_CHARS = 256
MAX_OWNER_CHARS = 256
MAX_VALUE_BYTES = 64 * 1024
MAX_BODY_BYTES = 8 * MAX_VALUE_BYTES  # a character may be escaped
MAX_HOLD_MS = 24 * 3600 * 1000
MAX_WAIT_MS = 60_000
MAX_NUMBER = (1 << 53) - 1  # what every JSON reader takes for a whole number

_NAME = re.compile(r"[!-~]+")  # printable ASCII
_NOT_IN_NAMES = frozenset("/?#")
_DIGITS = re.compile(r"[0-9]{1,16}")

Fields = dict[str, object]


@dataclass(frozen=True, slots=True)
class Watch:
    """Asks for the events of a group above a revision; 0 asks for the group's revision only."""

    group: str
    past: int
    wait_ms: int


def _unusable(field: str, why: str) -> Failure:
    return Failure(Code.COORDINATION_FIELD, f"{field}: {why}")


def read_name(call: ApiCall) -> str | Failure:
    """The name of the lock, counter, key or group: all of the path behind its first segment."""
    name = call.path.lstrip("/").partition("/")[2]
    if not 0 < len(name) <= MAX_NAME_CHARS:
        return _unusable("ID", f"1 to {MAX_NAME_CHARS} characters are needed")
    if not _NAME.fullmatch(name) or not _NOT_IN_NAMES.isdisjoint(name):
        return _unusable("ID", "printable ASCII without / ? # is needed")
    return name


class _RepeatedFieldError(ValueError):
    """A JSON object has a field twice: which of the two is meant can't be known."""


def _unique_fields(pairs: list[tuple[str, object]]) -> Fields:
    """A JSON object from its fields, none of which may stand twice."""
    fields: Fields = {}
    for field, value in pairs:
        if field in fields:
            raise _RepeatedFieldError(field[:MAX_NAME_CHARS])
        fields[field] = value
    return fields


def _read_fields(body: bytes, known: Iterable[str]) -> Fields | Failure:
    """The fields of a JSON object that has no others than the known ones."""
    if len(body) > MAX_BODY_BYTES:
        return _unusable("body", f"longer than {MAX_BODY_BYTES} bytes")
    try:
        raw = json.loads(body, object_pairs_hook=_unique_fields)
    except _RepeatedFieldError as error:
        return _unusable(str(error), "stands twice")
    except (ValueError, RecursionError) as error:
        return _unusable("body", f"no JSON: {type(error).__name__}")
    if not isinstance(raw, dict):
        return _unusable("body", "an object is needed")
    unknown = sorted(set(raw) - set(known))
    return _unusable(unknown[0][:MAX_NAME_CHARS], "unknown field") if unknown else raw


def _integer(fields: Fields, field: str, least: int, most: int) -> int | Failure:
    value = fields.get(field)
    if type(value) is not int or not least <= value <= most:
        return _unusable(field, f"a whole number from {least} to {most} is needed")
    return value


def _text(fields: Fields, field: str, least: int, most_bytes: int) -> str | Failure:
    value = fields.get(field)
    if not isinstance(value, str):
        return _unusable(field, "a string is needed")
    try:
        size = len(value.encode())
    except UnicodeEncodeError:
        return _unusable(field, "half of a surrogate pair")
    if not least <= size <= most_bytes:
        return _unusable(field, f"{least} to {most_bytes} bytes are needed")
    return value


def read_acquire(body: bytes) -> Acquire | Failure:
    """The body of POST /locks/ID."""
    fields = _read_fields(body, ("owner", "holdMs"))
    if isinstance(fields, Failure):
        return fields
    owner = _text(fields, "owner", 1, MAX_OWNER_CHARS)
    if isinstance(owner, Failure):
        return owner
    hold_ms = _integer(fields, "holdMs", 1, MAX_HOLD_MS)
    return hold_ms if isinstance(hold_ms, Failure) else Acquire(owner, hold_ms)


def read_renew(body: bytes) -> Renew | Failure:
    """The body of PUT /locks/ID."""
    fields = _read_fields(body, ("owner", "fence", "holdMs"))
    if isinstance(fields, Failure):
        return fields
    owner = _text(fields, "owner", 1, MAX_OWNER_CHARS)
    if isinstance(owner, Failure):
        return owner
    fence = _integer(fields, "fence", 1, MAX_NUMBER)
    if isinstance(fence, Failure):
        return fence
    hold_ms = _integer(fields, "holdMs", 1, MAX_HOLD_MS)
    return hold_ms if isinstance(hold_ms, Failure) else Renew(owner, fence, hold_ms)


def read_release(body: bytes) -> Release | Failure:
    """The body of DELETE /locks/ID."""
    fields = _read_fields(body, ("owner", "fence"))
    if isinstance(fields, Failure):
        return fields
    owner = _text(fields, "owner", 1, MAX_OWNER_CHARS)
    if isinstance(owner, Failure):
        return owner
    fence = _integer(fields, "fence", 1, MAX_NUMBER)
    return fence if isinstance(fence, Failure) else Release(owner, fence)


def read_number(body: bytes) -> Failure | None:
    """The body of POST /numbers/ID, which has no fields: why it can't be used, or None."""
    fields = _read_fields(body, ()) if body else {}
    return fields if isinstance(fields, Failure) else None


def read_put(name: str, body: bytes) -> Put | Failure:
    """The body of PUT /cells/ID. Without `expect` the key may have any revision."""
    fields = _read_fields(body, ("value", "expect"))
    if isinstance(fields, Failure):
        return fields
    value = _text(fields, "value", 0, MAX_VALUE_BYTES)
    if isinstance(value, Failure):
        return value
    if "expect" not in fields:
        return Put(name, value, None)
    expected = _integer(fields, "expect", 0, MAX_NUMBER)
    return expected if isinstance(expected, Failure) else Put(name, value, expected)


def read_watch(group: str, query: str) -> Watch | Failure:
    """The query of GET /watch/GROUP. Without `waitMs` the answer is given at once."""
    if SEPARATOR in group[:-1]:
        return _unusable("ID", "a group is needed, up to its first dot")
    pairs = parse_qsl(query, keep_blank_values=True, max_num_fields=None)
    fields = dict(pairs)
    if len(fields) < len(pairs):
        return _unusable("query", "a field stands twice")
    if unknown := sorted(fields.keys() - {"past", "waitMs"}):
        return _unusable(unknown[0][:MAX_NAME_CHARS], "unknown field")
    numbers: Fields = {name: int(text) for name, text in fields.items() if _DIGITS.fullmatch(text)}
    past = _integer(numbers, "past", 0, MAX_NUMBER)
    if isinstance(past, Failure):
        return past
    if "waitMs" not in fields:
        return Watch(group, past, 0)
    wait_ms = _integer(numbers, "waitMs", 0, MAX_WAIT_MS)
    return wait_ms if isinstance(wait_ms, Failure) else Watch(group, past, wait_ms)
