"""How an application calls coordination over the wire: a `ctl` address, another one after a failure or a second.

Some answers are lost, and some copies arrive late: held up on the way, or read by a server after their caller left.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from typing import Any

from otterreach.simulation import client
from otterreach.simulation.coordination_history import Call, CoordinationHistory, Rule, Violation

ANSWER_S = 1.0  # silence after which a caller turns to another machine
MOVE_SHARE = 0.3  # of the calls go to another machine though the last one answered
KEPT_SHARE = 0.3  # of the connections stay open after their caller left
KEPT_S = (0.5, 4.0)
LATE_S = (0.2, 5.0)  # how long a copy is held up on its way
HEADERS = {b"Content-Type": b"application/json"}

Body = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class WireFaults:
    """What goes wrong between callers and controllers, as shares of all copies."""

    lost_share: float = 0.0  # of the answers
    late_share: float = 0.0  # of the copies


@dataclass(frozen=True, slots=True)
class WireRequest:
    """A call as it goes over the wire."""

    method: str
    target: str
    body: Body | None = None

    def encoded_body(self) -> bytes:
        """The JSON of the body, or nothing."""
        return b"" if self.body is None else json.dumps(self.body).encode()


class CoordinationClient:
    """One caller's way to the controllers."""

    def __init__(
        self, random: Random, addresses: Callable[[], list[str]], faults: WireFaults, history: CoordinationHistory
    ) -> None:
        self.random = random
        self.addresses = addresses
        self.faults = faults
        self.history = history
        self._address = ""
        self._failed = False
        self._copies: set[asyncio.Task[Any]] = set()

    async def exchange(self, call: Call, request: WireRequest, wait_s: float = ANSWER_S) -> Body:
        """Send one copy and record its answer in `call`. The answer's body; empty if there is none."""
        copy = asyncio.get_running_loop().create_task(self._send(call, request, self._pick(), wait_s))
        self._copies.add(copy)
        copy.add_done_callback(self._copies.discard)
        await asyncio.wait([copy], timeout=wait_s)
        response = copy.result() if copy.done() else None
        if response is not None and self.random.random() < self.faults.lost_share:
            call.faulty = True
            response = None
        self._failed = response is None or response.status >= HTTPStatus.TOO_MANY_REQUESTS
        if response is None:
            return {}
        call.status = response.status
        call.answered = asyncio.get_running_loop().time()
        return self._parsed(call, response.body)

    async def _send(self, call: Call, request: WireRequest, address: str, wait_s: float) -> Any:
        """The whole life of one copy, which may be longer than its caller waits."""
        timeout_s = wait_s
        if self.random.random() < KEPT_SHARE:
            timeout_s += self.random.uniform(*KEPT_S)
        if self.random.random() < self.faults.late_share:
            call.faulty = True
            await asyncio.sleep(self.random.uniform(*LATE_S))
        body = request.encoded_body()
        response = await client.ask(address, request.method, request.target, body, HEADERS, timeout_s)
        call.over = asyncio.get_running_loop().time()
        call.was_decided = response is not None
        return response

    def _pick(self) -> str:
        known = self.addresses()
        if self._failed or self._address not in known or self.random.random() < MOVE_SHARE:
            others = [address for address in known if address != self._address]
            self._address = self.random.choice(others or known)
        return self._address

    def _parsed(self, call: Call, data: bytes) -> Body:
        if not data:
            return {}
        try:
            body = json.loads(data)
        except ValueError:
            body = None
        if not isinstance(body, dict):
            self.history.violations.append(Violation(Rule.PROTOCOL, f"no JSON object: {data[:80]!r} to {call}"))
            return {}
        return body


def integer_field(history: CoordinationHistory, call: Call, body: Body, name: str) -> int:
    """An integer of an answer; its absence is a violation."""
    value = body.get(name)
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    history.violations.append(Violation(Rule.PROTOCOL, f"{name} is {value!r} in the answer to {call}"))
    return 0
