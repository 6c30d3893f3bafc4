"""History of the calls of locks, numbers, keys and watches as their callers saw them, for the checkers of coordination.

Each copy of a call that was sent is one record, with the times of its sending and of its answer by the virtual clock.
A record without an answer has status 0: its call may have been applied, at any time after its sending, or never.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from math import inf

NO_STATUS = 0  # status of a copy that was not answered, or whose answer was lost
MAX_ARRIVAL_DELAY_S = 20.0  # an unanswered copy may be applied this late: longer than any machine is frozen
NOT_APPLIED_STATUSES = (HTTPStatus.PRECONDITION_FAILED, HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class Rule(Enum):
    """The rules that a history is checked against."""

    ONE = "one holder"
    ORDER = "rising order"
    STALE = "stale answer"
    MIXED = "mixed value"
    REFUSED = "refused but shown"
    LOST = "acknowledged is lost"
    LINEARIZABLE = "linearizable keys"
    PROMPT = "answered in time"
    PROTOCOL = "unexpected answer"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule, and a description with the calls that violate it."""

    rule: Rule
    description: str


@dataclass(slots=True, eq=False, kw_only=True)
class Call:
    """One copy of a call. `final`: sent by the final audit, which must see everything that was acknowledged."""

    sent: float
    answered: float = inf
    status: int = NO_STATUS
    exchange_ended_at: float = inf  # when the exchange ended: from then on the copy can't leave the caller any more
    was_answered: bool = False  # an answer came by then, even if it was dropped or too late for the caller
    fault_injected: bool = False  # the simulation dropped its answer or delayed the copy: latency not checked
    final: bool = False

    @property
    def is_ok(self) -> bool:
        """True if the answer was 200."""
        return self.status == HTTPStatus.OK

    @property
    def is_refused(self) -> bool:
        """True if the answer guarantees that the call was not applied and never will be."""
        return self.status in NOT_APPLIED_STATUSES

    @property
    def is_indeterminate(self) -> bool:
        """True if the call may or may not have been applied: no answer, or a failure without a guarantee."""
        return self.status == NO_STATUS or (self.status >= HTTPStatus.INTERNAL_SERVER_ERROR and not self.is_refused)

    @property
    def applied_by(self) -> float:
        """The latest time at which the call may be applied."""
        return self.exchange_ended_at if self.was_answered else self.sent + MAX_ARRIVAL_DELAY_S

    @property
    def span(self) -> str:
        """The times of sending and answer, and the status, for messages."""
        return f"{self.sent:.3f} to {self.answered:.3f}, status {self.status}"


@dataclass(slots=True, eq=False, kw_only=True)
class Acquire(Call):
    """POST /locks/ID."""

    lock: str
    owner: str
    hold_s: float
    fence: int = 0  # fencing token of the answer

    def __str__(self) -> str:
        return f"acquire of {self.lock} by {self.owner} for {self.hold_s:.2f} s: fence {self.fence} ({self.span})"


@dataclass(slots=True, eq=False, kw_only=True)
class Renewal(Call):
    """PUT /locks/ID."""

    lock: str
    owner: str
    hold_s: float
    fence: int

    def __str__(self) -> str:
        return f"renewal of {self.lock} by {self.owner}, fence {self.fence}, {self.hold_s:.2f} s ({self.span})"


@dataclass(slots=True, eq=False, kw_only=True)
class Release(Call):
    """DELETE /locks/ID."""

    lock: str
    owner: str
    fence: int

    def __str__(self) -> str:
        return f"release of {self.lock} by {self.owner}, fence {self.fence} ({self.span})"


@dataclass(slots=True, eq=False, kw_only=True)
class NumberRequest(Call):
    """POST /numbers/ID."""

    name: str
    value: int = 0  # the number returned in the answer

    def __str__(self) -> str:
        return f"number {self.value} of {self.name} ({self.span})"


@dataclass(slots=True, eq=False, kw_only=True)
class PutCopy(Call):
    """PUT /cells/ID: one copy of a put."""

    revision: int = 0  # revision of the answer: that of the put with 200, that of the key with 412


@dataclass(slots=True, eq=False)
class Put:
    """A compare-and-put whose value no other put has, and all copies of it that were sent."""

    key: str
    value: str
    expect: int
    copies: list[PutCopy] = field(default_factory=list)

    @property
    def sent(self) -> float:
        """The time at which the first copy was sent."""
        return min(copy.sent for copy in self.copies)

    @property
    def acknowledged(self) -> float:
        """The time of the first 200; inf if there was none."""
        return min((copy.answered for copy in self.copies if copy.is_ok), default=inf)

    @property
    def is_rejected(self) -> bool:
        """True if the answers guarantee that the put was not applied and never will be."""
        if any(copy.status == HTTPStatus.PRECONDITION_FAILED for copy in self.copies):
            return True
        return all(copy.is_refused for copy in self.copies)

    def __str__(self) -> str:
        copies = "; ".join(f"{copy.span}, revision {copy.revision}" for copy in self.copies)
        return f"put of {self.value} to {self.key} over {self.expect} ({copies})"


@dataclass(slots=True, eq=False, kw_only=True)
class Read(Call):
    """GET /cells/ID. A 404 counts as a read at revision 0."""

    key: str
    value: str = ""
    revision: int = 0

    def __str__(self) -> str:
        return f"read of {self.key}: {self.value or 'nothing'} at {self.revision} ({self.span})"


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A put as reported by a watch."""

    key: str
    value: str
    revision: int


@dataclass(slots=True, eq=False, kw_only=True)
class Watch(Call):
    """GET /watch/GROUP. `past_received_at`: when the caller last received the revision `past`; -inf if it never did."""

    group: str
    past: int
    wait_s: float
    past_received_at: float = -inf
    revision: int = 0  # revision of the answer
    events: tuple[WatchEvent, ...] = ()

    @property
    def earliest_decision(self) -> float:
        """The earliest time at which the answer can have been determined: without events, the end of the wait."""
        return self.sent + self.wait_s if self.past and not self.events else self.sent

    def __str__(self) -> str:
        revisions = [event.revision for event in self.events]
        return (
            f"watch of {self.group} past {self.past}: events {revisions}, up to revision {self.revision} ({self.span})"
        )


@dataclass(slots=True)
class CoordinationHistory:
    """All calls of a run, each list in the order of sending."""

    acquires: list[Acquire] = field(default_factory=list)
    renewals: list[Renewal] = field(default_factory=list)
    releases: list[Release] = field(default_factory=list)
    numbers: list[NumberRequest] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    watches: list[Watch] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)  # malformed or missing answers, detected by the callers

    def calls(self) -> list[Call]:
        """Return every copy of every call."""
        copies = [copy for put in self.puts for copy in put.copies]
        locks = [*self.acquires, *self.renewals, *self.releases]
        return [*locks, *self.numbers, *copies, *self.reads, *self.watches]


def group_of(key: str) -> str:
    """Return the group of a key: its prefix up to and including the first dot."""
    return key.partition(".")[0] + "."


def rule_of(call: Call, rule: Rule) -> Rule:
    """Return the rule that an answer violates: in the final audit, an outdated answer means that data is lost."""
    return Rule.LOST if call.final else rule
