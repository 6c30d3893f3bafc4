"""Calls to whichever controller answers: connections that are kept, silence bounded, retries with a growing pause.

A 429 and a 503 promise that the call was not done and never will be. Silence, a closed connection and any other 5xx
promise nothing. Which of the two a call ended with decides between `UnavailableError` and `OutcomeUnknownError`.
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

SILENCE_S = 1.0  # without an answer for this long, another address is called
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
PAUSE_GROWTH = 2.0
MIN_ATTEMPT_S = 0.02  # with less time left no further attempt is made
REFUSED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
ANSWERS = (HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT, HTTPStatus.GONE, HTTPStatus.PRECONDITION_FAILED)
JsonValue = str | int
_NAME = re.compile(r"[^/?#\x00-\x20\x7f-\U0010ffff]+")
EMPTY: dict[str, JsonValue] = {}


@dataclass(frozen=True, slots=True)
class Call:
    """One call of the service. `wait_s`: how long the service itself may wait before it answers."""

    method: str
    path: str
    body: bytes = b""
    wait_s: float = 0.0

    @classmethod
    def to(cls, kind: str, name: str, method: str, document: dict[str, JsonValue] | None = None) -> Call:
        """A call on a named resource, with a JSON body where a document is given.

        Raises RequestRejectedError if the service has no such names.
        """
        if not _NAME.fullmatch(name):
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, f"{name!r}: printable ASCII without / ? # is needed")
        body = b"" if document is None else json.dumps(document).encode()
        return cls(method, f"/{kind}/{name}", body)


@dataclass(frozen=True, slots=True)
class Answer:
    """A clear answer.

    `sent_at` is the loop's time just before the attempt that got this answer was sent.
    """

    status: int
    document: dict[str, object]
    sent_at: float

    def integer(self, field: str) -> int:
        """An integer of the answer's document; raises OutcomeUnknownError if the answer does not have it."""
        value = self.document.get(field)
        if isinstance(value, bool) or not isinstance(value, int):
            raise OutcomeUnknownError(f"an answer without {field!r}")
        return value

    def text(self, field: str) -> str:
        """A string of the answer's document; raises OutcomeUnknownError if the answer does not have it."""
        value = self.document.get(field)
        if not isinstance(value, str):
            raise OutcomeUnknownError(f"an answer without {field!r}")
        return value


class Backoff:
    """Pauses that grow, each drawn at random from the upper half of its length."""

    def __init__(self, random: Random, first_s: float = FIRST_PAUSE_S, max_s: float = MAX_PAUSE_S) -> None:
        self._random = random
        self._next_s = first_s
        self._max_s = max_s

    def next_s(self) -> float:
        """The length of the next pause."""
        pause_s = self._next_s * self._random.uniform(0.5, 1.0)
        self._next_s = min(self._max_s, self._next_s * PAUSE_GROWTH)
        return pause_s


class Transport:
    """Sends calls to one of several addresses and stays with the one that answers."""

    def __init__(self, addresses: Sequence[str], random: Random | None = None) -> None:
        if not addresses:
            raise ValueError("no address given")
        self.random = random or Random()
        self._addresses = self.random.sample(list(addresses), len(addresses))
        self._current = 0
        self._http = JsonClient()

    def close(self) -> None:
        """Close the connections that are kept."""
        self._http.close()

    def now(self) -> float:
        """The loop's steady clock, in seconds."""
        return asyncio.get_running_loop().time()

    async def call(self, call: Call, until: float) -> Answer:
        """The first clear answer; raises UnavailableError, OutcomeUnknownError or RequestRejectedError.

        :param until: the loop's time after which no answer is of use
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

    async def _attempt(self, call: Call, until: float) -> Answer | _Unanswered:
        """One attempt at one address; after anything but a clear answer the next attempt has another address."""
        used = self._current
        address = self._addresses[used]
        sent_at = self.now()
        timeout_s = min(call.wait_s + SILENCE_S, until - sent_at)
        outcome = await self._http.call(address, call.method, call.path, call.body, timeout_s)
        result = _interpret(outcome, sent_at)
        if isinstance(result, _Unanswered) and self._current == used:
            self._current = (used + 1) % len(self._addresses)
        return result


@dataclass(frozen=True, slots=True)
class _Unanswered:
    """An attempt without a clear answer. `maybe_done`: nothing promises that it was not done."""

    maybe_done: bool
    reason: str


def _interpret(outcome: Reply | Failure, sent_at: float) -> Answer | _Unanswered:
    if isinstance(outcome, Failure):
        return _Unanswered(outcome.maybe_done, outcome.reason)
    if outcome.status in REFUSED:
        return _Unanswered(False, f"answered {outcome.status}")
    if outcome.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _Unanswered(True, f"answered {outcome.status}")
    document = _read(outcome.body)
    if outcome.status not in ANSWERS:
        reason = "" if document is None else str(document.get("reason", ""))
        raise RequestRejectedError(outcome.status, reason)
    if document is None:
        return _Unanswered(True, f"answered {outcome.status} with a body that can't be read")
    return Answer(outcome.status, document, sent_at)


def _read(body: bytes) -> dict[str, object] | None:
    """The JSON object in a body, empty where there is no body; None if it is anything else."""
    try:
        found = json.loads(body) if body else {}
    except ValueError:
        return None
    return found if isinstance(found, dict) else None
