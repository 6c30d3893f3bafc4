"""Fields of the calls for locks, numbers, keys and watches, with their bounds."""

from __future__ import annotations

import json
import re
from collections.abc import Collection
from urllib.parse import parse_qsl

from otterreach.runtime.codes import Code, Failure

MAX_NAME_CHARS = 256
MAX_OWNER_BYTES = 256
MAX_VALUE_BYTES = 64 * 1024
MAX_BODY_BYTES = 8 * MAX_VALUE_BYTES  # leaves space for escaped characters
MAX_HOLD_MS = 24 * 3600 * 1000
MAX_WAIT_MS = 60_000
MAX_NUMBER = (1 << 53) - 1  # the largest integer that every JSON parser reads exactly

_DIGITS = re.compile(r"[0-9]{1,16}")


class FieldError(ValueError):
    """A field is invalid or unknown."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field[:MAX_NAME_CHARS]}: {reason}")

    @property
    def failure(self) -> Failure:
        """The failure returned to the caller."""
        return Failure(Code.COORDINATION_FIELD, str(self))


def _unique_fields(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return a JSON object from its fields. A field that occurs twice is ambiguous and raises FieldError."""
    fields: dict[str, object] = {}
    for field, value in pairs:
        if field in fields:
            raise FieldError(field, "stands twice")
        fields[field] = value
    return fields


class Fields:
    """The fields of a call. Each accessor returns the value of a field or raises FieldError."""

    def __init__(self, values: dict[str, object], known: Collection[str]) -> None:
        unknown = sorted(set(values) - set(known))
        if unknown:
            raise FieldError(unknown[0], "unknown field")
        self._values = values

    @classmethod
    def of_body(cls, body: bytes, known: Collection[str]) -> Fields:
        """Parse the fields of a JSON object. A field that is not in `known` raises FieldError."""
        if len(body) > MAX_BODY_BYTES:
            raise FieldError("body", f"longer than {MAX_BODY_BYTES} bytes")
        try:
            raw = json.loads(body, object_pairs_hook=_unique_fields)
        except FieldError:
            raise
        except (ValueError, RecursionError) as error:
            raise FieldError("body", f"no JSON: {type(error).__name__}") from None
        if not isinstance(raw, dict):
            raise FieldError("body", "an object is needed")
        return cls(raw, known)

    @classmethod
    def of_query(cls, query: str, known: Collection[str]) -> Fields:
        """Parse the fields of a query string; values other than integers count as missing."""
        pairs = parse_qsl(query, keep_blank_values=True)
        texts = dict(pairs)
        if len(texts) < len(pairs):
            raise FieldError("query", "a field stands twice")
        return cls({name: int(text) if _DIGITS.fullmatch(text) else None for name, text in texts.items()}, known)

    def __contains__(self, field: str) -> bool:
        return field in self._values

    def integer(self, field: str, least: int, most: int) -> int:
        """Return an integer within these bounds."""
        value = self._values.get(field)
        if type(value) is not int or not least <= value <= most:
            raise FieldError(field, f"a whole number from {least} to {most} is needed")
        return value

    def text(self, field: str, least_bytes: int, most_bytes: int) -> str:
        """Return a string whose encoded length is within these bounds."""
        value = self._values.get(field)
        if not isinstance(value, str):
            raise FieldError(field, "a string is needed")
        try:
            size = len(value.encode())
        except UnicodeEncodeError:
            raise FieldError(field, "half of a surrogate pair") from None
        if not least_bytes <= size <= most_bytes:
            raise FieldError(field, f"{least_bytes} to {most_bytes} bytes are needed")
        return value

    def owner(self) -> str:
        """Return the owner of a lock."""
        return self.text("owner", 1, MAX_OWNER_BYTES)

    def fence(self) -> int:
        """Return a fencing token."""
        return self.integer("fence", 1, MAX_NUMBER)

    def hold_ms(self) -> int:
        """Return the requested duration of a hold."""
        return self.integer("holdMs", 1, MAX_HOLD_MS)
