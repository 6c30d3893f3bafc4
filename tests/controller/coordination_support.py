"""Callers of locks, numbers, keys and watches on the wire, for tests that bring one trouble about by hand."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from otterreach.simulation.world import Box
from tests.controller.controller_world import Cluster

HOLD_MS = 3000
PATIENCE_S = 1.0  # a caller turns to another controller after this much silence
RETRY_S = 0.05
CLEAR_S = 10.0  # each call has a clear answer by then once the trouble is over
NO_ANSWER = 0
NOTHING_DONE = (429, 503)
UNCLEAR = (NO_ANSWER, 500, 502, 504)


@dataclass(frozen=True, slots=True)
class Answer:
    """What a call got: its status (NO_ANSWER for silence), its body read as JSON, and how long it took."""

    status: int
    took_s: float = 0.0
    body: dict[str, Any] = field(default_factory=dict)
    raw: bytes = b""

    @property
    def is_clear(self) -> bool:
        """Whether the caller knows what became of the call and need not repeat it."""
        return self.status not in NOTHING_DONE and self.status not in UNCLEAR


Call = Callable[[Box], Awaitable[Answer]]


class Coordination:
    """The calls of applications. Each is sent once, to the controller named, and given up after PATIENCE_S."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster

    async def send(self, box: Box, method: str, path: str, body: Any = None, timeout_s: float = PATIENCE_S) -> Answer:
        """Any call; a body that is not bytes is sent as JSON."""
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        status, took_s, raw = await self.cluster.call(box, method, path, data, timeout_s=timeout_s)
        return Answer(status, took_s, _json(raw), raw)

    async def acquire(self, box: Box, lock: str, owner: str, hold_ms: int = HOLD_MS) -> Answer:
        return await self.send(box, "POST", f"/locks/{lock}", {"owner": owner, "holdMs": hold_ms})

    async def renew(self, box: Box, lock: str, owner: str, fence: int, hold_ms: int = HOLD_MS) -> Answer:
        return await self.send(box, "PUT", f"/locks/{lock}", {"owner": owner, "fence": fence, "holdMs": hold_ms})

    async def release(self, box: Box, lock: str, owner: str, fence: int) -> Answer:
        return await self.send(box, "DELETE", f"/locks/{lock}", {"owner": owner, "fence": fence})

    async def number(self, box: Box, name: str) -> Answer:
        return await self.send(box, "POST", f"/numbers/{name}", {})

    async def put(self, box: Box, key: str, value: str, expect: int | None) -> Answer:
        """`expect` None: whatever revision the key has."""
        condition = {} if expect is None else {"expect": expect}
        return await self.send(box, "PUT", f"/cells/{key}", {"value": value} | condition)

    async def read(self, box: Box, key: str) -> Answer:
        return await self.send(box, "GET", f"/cells/{key}")

    async def watch(self, box: Box, group: str, past: int, wait_ms: int = 0) -> Answer:
        path = f"/watch/{group}.?past={past}&waitMs={wait_ms}"
        return await self.send(box, "GET", path, timeout_s=wait_ms / 1000 + PATIENCE_S)

    async def repeat(self, call: Callable[..., Awaitable[Answer]], *arguments: Any) -> Answer:
        """Send one of the calls above to one controller after the other until one gives a clear answer."""
        return await self.until_clear(lambda box: call(box, *arguments))

    async def until_clear(self, call: Call, within_s: float = CLEAR_S) -> Answer:
        """Send a call to one controller after the other until one gives a clear answer."""
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
    """The body as an object; empty if it is none."""
    try:
        value = json.loads(raw)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
