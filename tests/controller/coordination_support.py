"""Callers of locks, numbers, keys and watches over HTTP, for tests that inject a single fault."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from otterreach.simulation.world import SimulatedMachine
from tests.controller.controller_world import Cluster

HOLD_MS = 3000
CALL_TIMEOUT_S = 1.0  # time-out after which a caller turns to another controller
RETRY_S = 0.05
CLEAR_S = 10.0  # limit for a definite answer to each call once the fault is over
NO_ANSWER = 0
NOTHING_DONE = (429, 503)
OUTCOME_UNKNOWN = (NO_ANSWER, 500, 502, 504)


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call: its status (NO_ANSWER after a time-out), its body parsed as JSON, and the time taken."""

    status: int
    took_s: float = 0.0
    body: dict[str, Any] = field(default_factory=dict)
    raw: bytes = b""

    @property
    def is_clear(self) -> bool:
        """True if the outcome of the call is known, so that the caller need not retry it."""
        return self.status not in NOTHING_DONE and self.status not in OUTCOME_UNKNOWN


Call = Callable[[SimulatedMachine], Awaitable[Answer]]


class Coordination:
    """The calls of applications. Each is sent once to the given controller and times out after CALL_TIMEOUT_S."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster

    async def send(
        self, box: SimulatedMachine, method: str, path: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S
    ) -> Answer:
        """Send any call. A body that is not bytes is sent as JSON."""
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        status, took_s, raw = await self.cluster.call(box, method, path, data, timeout_s=timeout_s)
        return Answer(status, took_s, _json(raw), raw)

    async def acquire(self, box: SimulatedMachine, lock: str, owner: str, hold_ms: int = HOLD_MS) -> Answer:
        return await self.send(box, "POST", f"/locks/{lock}", {"owner": owner, "holdMs": hold_ms})

    async def renew(self, box: SimulatedMachine, lock: str, owner: str, fence: int, hold_ms: int = HOLD_MS) -> Answer:
        return await self.send(box, "PUT", f"/locks/{lock}", {"owner": owner, "fence": fence, "holdMs": hold_ms})

    async def release(self, box: SimulatedMachine, lock: str, owner: str, fence: int) -> Answer:
        return await self.send(box, "DELETE", f"/locks/{lock}", {"owner": owner, "fence": fence})

    async def number(self, box: SimulatedMachine, name: str) -> Answer:
        return await self.send(box, "POST", f"/numbers/{name}", {})

    async def put(self, box: SimulatedMachine, key: str, value: str, expect: int | None) -> Answer:
        """Put a value on an expected revision; with `expect` None, on any revision."""
        condition = {} if expect is None else {"expect": expect}
        return await self.send(box, "PUT", f"/cells/{key}", {"value": value} | condition)

    async def read(self, box: SimulatedMachine, key: str) -> Answer:
        return await self.send(box, "GET", f"/cells/{key}")

    async def watch(self, box: SimulatedMachine, group: str, past: int, wait_ms: int = 0) -> Answer:
        path = f"/watch/{group}.?past={past}&waitMs={wait_ms}"
        return await self.send(box, "GET", path, timeout_s=wait_ms / 1000 + CALL_TIMEOUT_S)

    async def repeat(self, call: Callable[..., Awaitable[Answer]], *arguments: Any) -> Answer:
        """Send one of the calls above to one controller after the other until one gives a definite answer."""
        return await self.until_clear(lambda box: call(box, *arguments))

    async def until_clear(self, call: Call, within_s: float = CLEAR_S) -> Answer:
        """Send a call to one controller after the other until one gives a definite answer."""
        began = self.cluster.world.now
        turn = 0
        answer = Answer(NO_ANSWER)
        while self.cluster.world.now - began < within_s:
            answer = await call(self.cluster.boxes[turn % len(self.cluster.boxes)])
            if answer.is_clear:
                return answer
            turn += 1
            await asyncio.sleep(RETRY_S)
        raise AssertionError(f"no clear answer within {within_s} s, the last one: {answer}")


def _json(raw: bytes) -> dict[str, Any]:
    """Return the body as a JSON object; empty if it is not one."""
    try:
        value = json.loads(raw)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
