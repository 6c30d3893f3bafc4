"""Calls to any available controller, with connection reuse, a time-out per attempt, and retries with backoff.

A failed connect and the statuses 429 and 503 guarantee that the call was not executed and never will be. A time-out, a
closed connection and any other 5xx leave its outcome unknown. `UnavailableError` is raised if every attempt ended with
that guarantee, `OutcomeUnknownError` if any did not.
"""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from random import Random

from otterreach.client.errors import OutcomeUnknownError, RequestRejectedError, UnavailableError
from otterreach.runtime.codes import Failure
from otterreach.runtime.http import Reply
from otterreach.runtime.http_client import JsonClient

ATTEMPT_TIMEOUT_S = 1.0  # without an answer for this long, the call is retried at another address
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 2.0
MIN_ATTEMPT_S = 0.02  # no further attempt is made with less time left
NOT_EXECUTED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
CONCLUSIVE = (HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT, HTTPStatus.GONE, HTTPStatus.PRECONDITION_FAILED)
JsonValue = str | int
_NAME = re.compile(r"[^/?#\x00-\x20\x7f-\U0010ffff]+")
EMPTY: dict[str, JsonValue] = {}


@dataclass(frozen=True, slots=True)
class Call:
    """A call of the service. `wait_s` is how long the service may hold the call before it answers (long poll)."""

    method: str
    path: str
    body: bytes = b""
    wait_s: float = 0.0

    @classmethod
    def to(cls, kind: str, name: str, method: str, document: dict[str, JsonValue] | None = None) -> Call:
        """Return a call on a named resource, with a JSON body if a document is given.

        Raises RequestRejectedError if the name is not valid for the service.
        """
        if not _NAME.fullmatch(name):
            raise RequestRejectedError(
                HTTPStatus.BAD_REQUEST,
                f"{name!r} is not a valid name: expected printable ASCII without space, /, ? or #",
            )
        body = b"" if document is None else json.dumps(document).encode()
        return cls(method, f"/{kind}/{name}", body)


@dataclass(frozen=True, slots=True)
class Answer:
    """A conclusive answer.

    `sent_at` is the event loop's time just before the answered attempt was sent.
    """

    status: int
    document: dict[str, object]
    sent_at: float

    def integer(self, field: str) -> int:
        """Return an integer field of the document; raise OutcomeUnknownError if it is missing or of another type."""
        value = self.document.get(field)
        if isinstance(value, bool) or not isinstance(value, int):
            raise OutcomeUnknownError(f"answer without an integer field {field!r}")
        return value

    def text(self, field: str) -> str:
        """Return a string field of the document; raise OutcomeUnknownError if it is missing or of another type."""
        value = self.document.get(field)
        if not isinstance(value, str):
            raise OutcomeUnknownError(f"answer without a string field {field!r}")
        return value


class Backoff:
    """Exponential backoff with jitter: each delay is drawn from the upper half of its nominal length."""

    def __init__(self, random: Random, first_s: float = INITIAL_BACKOFF_S, max_s: float = MAX_BACKOFF_S) -> None:
        self._random = random
        self._next_s = first_s
        self._max_s = max_s

    def next_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = self._next_s * self._random.uniform(0.5, 1.0)
        self._next_s = min(self._max_s, self._next_s * BACKOFF_FACTOR)
        return delay_s


class Transport:
    """Sends calls to one of several addresses, and keeps using the address that answers."""

    def __init__(self, addresses: Sequence[str], random: Random | None = None) -> None:
        if not addresses:
            raise ValueError("addresses is empty: expected at least one controller address (host:port)")
        self.random = random or Random()
        self._addresses = self.random.sample(list(addresses), len(addresses))
        self._current = 0
        self._http = JsonClient()

    def close(self) -> None:
        """Close the pooled connections."""
        self._http.close()

    def now(self) -> float:
        """Return the time of the event loop's monotonic clock, in seconds."""
        return asyncio.get_running_loop().time()

    async def call(self, call: Call, until: float) -> Answer:
        """Return the first conclusive answer; raise UnavailableError, OutcomeUnknownError or RequestRejectedError.

        :param until: deadline on the event loop's clock
        """
        backoff = Backoff(self.random)
        maybe_done = False
        while True:
            attempt = await self._attempt(call, until)
            if isinstance(attempt, Answer):
                return attempt
            maybe_done = maybe_done or attempt.maybe_done
            left_s = until - self.now()
            if left_s <= MIN_ATTEMPT_S:
                error = OutcomeUnknownError if maybe_done else UnavailableError
                raise error(f"{call.method} {call.path}: {attempt.reason}")
            await asyncio.sleep(min(backoff.next_s(), left_s / 2))

    async def _attempt(self, call: Call, until: float) -> Answer | _Inconclusive:
        """Make one attempt; unless its answer is conclusive, select the next address for the following attempt."""
        used = self._current
        address = self._addresses[used]
        sent_at = self.now()
        timeout_s = min(call.wait_s + ATTEMPT_TIMEOUT_S, until - sent_at)
        outcome = await self._http.call(address, call.method, call.path, call.body, timeout_s)
        result = _interpret(outcome, sent_at)
        if isinstance(result, _Inconclusive) and self._current == used:
            self._current = (used + 1) % len(self._addresses)
        return result


@dataclass(frozen=True, slots=True)
class _Inconclusive:
    """An attempt without a conclusive answer. `maybe_done` is True if the call may have been executed."""

    maybe_done: bool
    reason: str


def _interpret(outcome: Reply | Failure, sent_at: float) -> Answer | _Inconclusive:
    if isinstance(outcome, Failure):
        return _Inconclusive(outcome.maybe_done, outcome.reason)
    if outcome.status in NOT_EXECUTED:
        return _Inconclusive(False, f"answered {outcome.status}")
    if outcome.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _Inconclusive(True, f"answered {outcome.status}")
    document = _parse_object(outcome.body)
    if outcome.status not in CONCLUSIVE:
        reason = "" if document is None else str(document.get("reason", ""))
        raise RequestRejectedError(outcome.status, reason)
    if document is None:
        return _Inconclusive(True, f"answered {outcome.status} with a body that is not a JSON object")
    return Answer(outcome.status, document, sent_at)


def _parse_object(body: bytes) -> dict[str, object] | None:
    """Return the JSON object in a body, empty for an empty body; None if the body is anything else."""
    try:
        found = json.loads(body) if body else {}
    except ValueError:
        return None
    return found if isinstance(found, dict) else None
