"""Numbers that never repeat."""

from __future__ import annotations

from http import HTTPStatus

from otterreach.client.errors import RequestRejectedError
from otterreach.client.transport import EMPTY, Call, Transport

DEFAULT_WITHIN_S = 5.0


class Numbers:
    """Rising numbers, one sequence for each name."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def next(self, name: str, within_s: float = DEFAULT_WITHIN_S) -> int:
        """A number above every one given before under this name. Numbers may be skipped.

        A call without a clear answer is repeated: that can only skip a number. Raises UnavailableError,
        OutcomeUnknownError or RequestRejectedError.
        """
        call = Call.to("numbers", name, "POST", EMPTY)
        answer = await self._transport.call(call, self._transport.now() + within_s)
        if answer.status != HTTPStatus.OK:
            raise RequestRejectedError(answer.status, f"no number of {name}")
        return answer.integer("value")
