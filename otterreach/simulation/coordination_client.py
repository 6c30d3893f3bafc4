"""Client of an application: calls coordination at a `ctl` address, and another one after a failure or a time-out.

Some answers are dropped, and some copies of calls take effect late: they are delayed in transit, or read by a server
after the caller has timed out.
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

ANSWER_S = 1.0  # time-out, after which the caller uses another address
SWITCH_SHARE = 0.3  # share of calls to another address although the last one answered
LEFT_OPEN_SHARE = 0.3  # share of connections that stay open after the caller has timed out
LEFT_OPEN_S = (0.5, 4.0)  # time that such a connection stays open after the time-out
DELAY_S = (0.2, 5.0)  # delay of a copy in transit
HEADERS = {b"Content-Type": b"application/json"}

Body = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class WireFaults:
    """Faults between callers and controllers, as shares of all answers or copies."""

    lost_share: float = 0.0  # share of answers that are dropped
    delayed_share: float = 0.0  # share of copies that are delayed in transit


@dataclass(frozen=True, slots=True)
class WireRequest:
    """The HTTP request of a call."""

    method: str
    target: str
    body: Body | None = None

    def encoded_body(self) -> bytes:
        """Return the body as JSON, or no bytes if there is none."""
        return b"" if self.body is None else json.dumps(self.body).encode()


class CoordinationClient:
    """Client of one caller."""

    def __init__(
        self, random: Random, addresses: Callable[[], list[str]], faults: WireFaults, history: CoordinationHistory
    ) -> None:
        self.random = random
        self.addresses = addresses
        self.faults = faults
        self.history = history
        self._address = ""
        self._last_failed = False
        self._copies: set[asyncio.Task[Any]] = set()

    async def exchange(self, call: Call, request: WireRequest, wait_s: float = ANSWER_S) -> Body:
        """Send one copy and record its answer in `call`. Return the body of the answer; empty if there is none."""
        copy = asyncio.get_running_loop().create_task(self._send(call, request, self._pick_address(), wait_s))
        self._copies.add(copy)
        copy.add_done_callback(self._copies.discard)
        await asyncio.wait([copy], timeout=wait_s)
        response = copy.result() if copy.done() else None
        if response is not None and self.random.random() < self.faults.lost_share:
            call.fault_injected = True
            response = None
        self._last_failed = response is None or response.status >= HTTPStatus.TOO_MANY_REQUESTS
        if response is None:
            return {}
        call.status = response.status
        call.answered = asyncio.get_running_loop().time()
        return self._parse_body(call, response.body)

    async def _send(self, call: Call, request: WireRequest, address: str, wait_s: float) -> Any:
        """Send one copy and wait for its answer, possibly for longer than the caller waits."""
        timeout_s = wait_s
        if self.random.random() < LEFT_OPEN_SHARE:
            timeout_s += self.random.uniform(*LEFT_OPEN_S)
        if self.random.random() < self.faults.delayed_share:
            call.fault_injected = True
            await asyncio.sleep(self.random.uniform(*DELAY_S))
        body = request.encoded_body()
        response = await client.ask(address, request.method, request.target, body, HEADERS, timeout_s)
        call.exchange_ended_at = asyncio.get_running_loop().time()
        call.was_answered = response is not None
        return response

    def _pick_address(self) -> str:
        known = self.addresses()
        if self._last_failed or self._address not in known or self.random.random() < SWITCH_SHARE:
            others = [address for address in known if address != self._address]
            self._address = self.random.choice(others or known)
        return self._address

    def _parse_body(self, call: Call, data: bytes) -> Body:
        if not data:
            return {}
        try:
            body = json.loads(data)
        except ValueError:
            body = None
        if not isinstance(body, dict):
            self.history.violations.append(
                Violation(Rule.PROTOCOL, f"the body is not a JSON object but {data[:80]!r}, in the answer to {call}")
            )
            return {}
        return body


def integer_field(history: CoordinationHistory, call: Call, body: Body, name: str) -> int:
    """Return an integer field of an answer; record a violation and return 0 if it is missing or not an integer."""
    value = body.get(name)
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    history.violations.append(
        Violation(Rule.PROTOCOL, f"field {name} is {value!r}, not an integer, in the answer to {call}")
    )
    return 0
