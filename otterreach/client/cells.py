"""Small versioned keys: reads, and puts conditional on the current revision (compare-and-set)."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from otterreach.client.errors import RequestRejectedError, RevisionConflictError
from otterreach.client.transport import Call, Transport

DEFAULT_WITHIN_S = 5.0
ABSENT_REVISION = 0  # revision of a key that has no value yet


@dataclass(frozen=True, slots=True)
class Cell:
    """The value of a key and the revision at which it was stored."""

    name: str
    value: str
    revision: int


class Cells:
    """Access to keys. Keys whose names share the prefix up to the first dot form a group with one revision counter."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def get(self, name: str, within_s: float = DEFAULT_WITHIN_S) -> Cell | None:
        """Return the current value of a key with its revision; None if the key has no value.

        Raises UnavailableError, OutcomeUnknownError or RequestRejectedError.
        """
        answer = await self._transport.call(Call.to("cells", name, "GET"), self._transport.now() + within_s)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        if answer.status != HTTPStatus.OK:
            raise RequestRejectedError(answer.status, f"read rejected: {name}")
        return Cell(name, answer.text("value"), answer.integer("rev"))

    async def put(self, name: str, value: str, expect: int, within_s: float = DEFAULT_WITHIN_S) -> int:
        """Store a value if the key is at the expected revision; return its new revision.

        A call whose outcome is unknown is retried with the same value. This is idempotent: for a value that the
        service has already stored, it returns the revision of the first put. Raises RevisionConflictError,
        UnavailableError, OutcomeUnknownError or RequestRejectedError.

        :param value: must differ from every other value that is ever put to this key
        :param expect: the required current revision of the key; ABSENT_REVISION if the key must not have a value yet
        """
        call = Call.to("cells", name, "PUT", {"value": value, "expect": expect})
        answer = await self._transport.call(call, self._transport.now() + within_s)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            raise RevisionConflictError(name, expect, answer.integer("rev"))
        if answer.status != HTTPStatus.OK:
            raise RequestRejectedError(answer.status, f"put rejected: {name}")
        return answer.integer("rev")
