"""Unique sequence numbers."""

from __future__ import annotations

from http import HTTPStatus

from otterreach.client.errors import RequestRejectedError
from otterreach.client.transport import EMPTY, Call, Transport

DEFAULT_WITHIN_S = 5.0


class Numbers:
    """Increasing sequence numbers, one sequence per name."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def next(self, name: str, within_s: float = DEFAULT_WITHIN_S) -> int:
        """Return a number greater than all numbers returned before under this name. Numbers may be skipped.

        A call whose outcome is unknown is retried, which at worst skips a number. Raises UnavailableError,
        OutcomeUnknownError or RequestRejectedError.
        """
        call = Call.to("numbers", name, "POST", EMPTY)
        answer = await self._transport.call(call, self._transport.now() + within_s)
        if answer.status != HTTPStatus.OK:
            raise RequestRejectedError(answer.status, f"request for the next number rejected: {name}")
        return answer.integer("value")
