"""Small keys with revisions: reads, and puts that depend on the revision."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from otterreach.client.errors import RequestRejectedError, RevisionConflictError
from otterreach.client.transport import Call, Transport

DEFAULT_WITHIN_S = 5.0
ABSENT_REVISION = 0  # of a key that has no value yet


@dataclass(frozen=True, slots=True)
class Cell:
    """A key's value and the revision that it was put at."""

    name: str
    value: str
    revision: int


class Cells:
    """The keys. All keys whose names are alike up to the first dot are one group with one count of revisions."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def get(self, name: str, within_s: float = DEFAULT_WITHIN_S) -> Cell | None:
        """The key as it is now; None if it has no value.

        Raises UnavailableError, OutcomeUnknownError or RequestRejectedError.
        """
        answer = await self._transport.call(Call.to("cells", name, "GET"), self._transport.now() + within_s)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        if answer.status != HTTPStatus.OK:
            raise RequestRejectedError(answer.status, f"no read of {name}")
        return Cell(name, answer.text("value"), answer.integer("rev"))

    async def put(self, name: str, value: str, expect: int, within_s: float = DEFAULT_WITHIN_S) -> int:
        """Store a value if the key is at the expected revision; returns its new revision.

        A call without a clear answer is repeated with the same value: the service gives a value that it has stored its
        first revision again. Raises RevisionConflictError, UnavailableError, OutcomeUnknownError or
        RequestRejectedError.

        :param value: unlike any other value that is ever put to this key
        :param expect: the revision that the key has to be at; ABSENT_REVISION if it may not have a value yet
        """
        call = Call.to("cells", name, "PUT", {"value": value, "expect": expect})
        answer = await self._transport.call(call, self._transport.now() + within_s)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            raise RevisionConflictError(name, expect, answer.integer("rev"))
        if answer.status != HTTPStatus.OK:
            raise RequestRejectedError(answer.status, f"no put of {name}")
        return answer.integer("rev")
