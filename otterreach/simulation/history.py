"""What callers of the control side have sent and been answered, and whether it fits together."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from otterreach.simulation.linearizability import Change, Outcome, Read, find_violation

Expect = Callable[[Any, str, str], None]
OK = 200
INVALID = 400
STALE = 412


@dataclass(slots=True)
class Sent:
    """A change as it goes over the wire, so that it can be sent again as it was."""

    change: Change
    method: str
    body: bytes
    valid: bool


def mark_of(raw: dict[str, Any]) -> tuple[str, ...]:
    """The marks of a configuration's content: each change adds one route, named by its mark."""
    return tuple(route["name"] for route in raw["routes"])


@dataclass
class History:
    """Configurations as a linearizable history; of versions and servers what was acknowledged."""

    expect: Expect
    sent: list[Sent] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    newest: int = 0  # the highest acknowledged version
    _waiting: list[asyncio.Future[None]] = field(default_factory=list)
    models: dict[str, int] = field(default_factory=dict)
    servers: dict[str, str] = field(default_factory=dict)  # id -> up, draining, gone as acknowledged

    def answered(self, sent: Sent, status: int, now: float) -> None:
        """An answer to one copy of a change; anything but 200, 400 and 412 is unclear."""
        change = sent.change
        if status == OK:
            self.expect(sent.valid, "acknowledged though invalid", str(change))
            self._settle(change, Outcome.ACKNOWLEDGED, now)
            if change.gen > self.newest:
                self.newest = change.gen
                self._wake()
        elif status in (INVALID, STALE):
            self.expect(not sent.valid or status == STALE, "proper change called invalid", str(change))
            self._settle(change, Outcome.REFUSED, now)

    def _wake(self) -> None:
        waiting = self._waiting
        self._waiting = []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def next_acknowledgement(self, within_s: float) -> None:
        """Wait for the next version that is acknowledged, or the time."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        await asyncio.wait([future], timeout=within_s)

    def _settle(self, change: Change, outcome: Outcome, now: float) -> None:
        """All clear answers to one change are the same, whenever and wherever it was sent again."""
        if change.outcome is Outcome.UNCLEAR:
            change.outcome = outcome
            change.answered = now
        same = change.outcome is outcome
        self.expect(same, "refused and acknowledged", f"{change}, at {now:.3f} {outcome.value}")

    def read(self, body: bytes, called: float, now: float) -> int:
        """A configuration was read. Returns its version."""
        raw = json.loads(body)
        self.reads.append(Read(raw["gen"], mark_of(raw), called, now))
        return int(raw["gen"])

    def read_nothing(self, called: float, now: float) -> None:
        """There was no configuration yet."""
        self.reads.append(Read(0, (), called, now))

    def check(self) -> None:
        """The whole history so far is linearizable."""
        # What was refused as invalid says nothing of the version that was current.
        changes = [s.change for s in self.sent if s.valid]
        fault = find_violation(changes, self.reads)
        self.expect(not fault, "linearizable", fault)
