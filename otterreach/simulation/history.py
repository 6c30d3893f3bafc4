"""History of the calls to the controllers that change or read configurations, models and servers, and its check."""

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
    """A configuration change with its request, so that identical copies of it can be resent."""

    change: Change
    method: str
    body: bytes
    valid: bool


def marks_of(raw: dict[str, Any]) -> tuple[str, ...]:
    """Return the marks in a configuration: each change adds one route, whose name is the mark of the change."""
    return tuple(route["name"] for route in raw["routes"])


@dataclass
class History:
    """Configuration changes and reads, checked for linearizability; acknowledged model versions and server states."""

    expect: Expect
    sent: list[Sent] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    newest: int = 0  # highest acknowledged configuration version
    _waiters: list[asyncio.Future[None]] = field(default_factory=list)
    models: dict[str, int] = field(default_factory=dict)
    servers: dict[str, str] = field(default_factory=dict)  # acknowledged state by server id: up, draining or gone

    def record_answer(self, sent: Sent, status: int, now: float) -> None:
        """Record the answer to one copy of a change; statuses other than 200, 400 and 412 leave the outcome unclear."""
        change = sent.change
        if status == OK:
            self.expect(sent.valid, "acknowledged though invalid", str(change))
            self._record_outcome(change, Outcome.ACKNOWLEDGED, now)
            if change.gen > self.newest:
                self.newest = change.gen
                self._notify_waiters()
        elif status in (INVALID, STALE):
            self.expect(not sent.valid or status == STALE, "proper change called invalid", str(change))
            self._record_outcome(change, Outcome.REFUSED, now)

    def _notify_waiters(self) -> None:
        waiters = self._waiters
        self._waiters = []
        for future in waiters:
            if not future.done():
                future.set_result(None)

    async def next_acknowledgement(self, within_s: float) -> None:
        """Wait until the next version is acknowledged, for at most `within_s`."""
        future = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        await asyncio.wait([future], timeout=within_s)

    def _record_outcome(self, change: Change, outcome: Outcome, now: float) -> None:
        """Record a definite outcome; it must be the same for all copies of a change, whenever and wherever sent."""
        if change.outcome is Outcome.INDETERMINATE:
            change.outcome = outcome
            change.answered = now
        same = change.outcome is outcome
        self.expect(same, "refused and acknowledged", f"{change}, at {now:.3f} {outcome.value}")

    def record_read(self, body: bytes, called: float, now: float) -> int:
        """Record the read of a configuration and return its version."""
        raw = json.loads(body)
        self.reads.append(Read(raw["gen"], marks_of(raw), called, now))
        return int(raw["gen"])

    def record_empty_read(self, called: float, now: float) -> None:
        """Record a read before the first configuration."""
        self.reads.append(Read(0, (), called, now))

    def check(self) -> None:
        """Check that the history so far is linearizable."""
        # The refusal of an invalid change does not depend on the current version.
        changes = [s.change for s in self.sent if s.valid]
        violation = find_violation(changes, self.reads)
        self.expect(not violation, "linearizable", violation)
