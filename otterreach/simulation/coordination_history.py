"""Calls of locks, numbers, keys and watches as their callers saw them: what the checkers of coordination judge.

Each copy of a call that went over the wire is one record, with the moments of its sending and of its answer by the
virtual clock. A record without an answer has status 0: its call may have been taken, at any later time, or never.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from math import inf

SILENCE = 0  # the status of a copy that was not answered, or whose answer was lost
ARRIVES_WITHIN_S = 20.0  # longer than any machine stands still: so late a copy without an answer may still be taken
NEVER_TAKEN = (HTTPStatus.PRECONDITION_FAILED, HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class Rule(Enum):
    """The rules that a history is held against."""

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
    """A rule that was broken, and by which calls."""

    rule: Rule
    what: str


@dataclass(slots=True, eq=False, kw_only=True)
class Call:
    """One copy of a call. `final`: asked at the end of the run, when nothing acknowledged may be missing."""

    sent: float
    answered: float = inf
    status: int = SILENCE
    over: float = inf  # when the caller's connection was closed: the copy can't leave the caller any more
    was_decided: bool = False  # an answer came until then, though it may have been lost, or too late for the caller
    faulty: bool = False  # the simulation lost its answer, or sent it late: it says nothing of the service's speed
    final: bool = False

    @property
    def is_ok(self) -> bool:
        """Whether it was answered 200."""
        return self.status == HTTPStatus.OK

    @property
    def is_refused(self) -> bool:
        """Whether its answer promises that it was not taken and never will be."""
        return self.status in NEVER_TAKEN

    @property
    def is_unclear(self) -> bool:
        """Whether it may have been taken, or not: silence, or a failure that promises nothing."""
        return self.status == SILENCE or (self.status >= HTTPStatus.INTERNAL_SERVER_ERROR and not self.is_refused)

    @property
    def taken_by(self) -> float:
        """Until when it may be taken."""
        return self.over if self.was_decided else self.sent + ARRIVES_WITHIN_S

    @property
    def span(self) -> str:
        """When it was sent and answered, for messages."""
        return f"{self.sent:.3f} to {self.answered:.3f}, status {self.status}"


@dataclass(slots=True, eq=False, kw_only=True)
class Acquire(Call):
    """POST /locks/ID."""

    lock: str
    owner: str
    hold_s: float
    fence: int = 0  # as answered

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
    value: int = 0  # as answered

    def __str__(self) -> str:
        return f"number {self.value} of {self.name} ({self.span})"


@dataclass(slots=True, eq=False, kw_only=True)
class PutCopy(Call):
    """PUT /cells/ID: one of the copies of a put."""

    revision: int = 0  # as answered: its own with 200, the key's with 412


@dataclass(slots=True, eq=False)
class Put:
    """A compare-and-put with a value of its own, and all copies of it that were sent."""

    key: str
    value: str
    expect: int
    copies: list[PutCopy] = field(default_factory=list)

    @property
    def sent(self) -> float:
        """When its first copy was sent."""
        return min(copy.sent for copy in self.copies)

    @property
    def acknowledged(self) -> float:
        """When it was first answered 200; inf if it never was."""
        return min((copy.answered for copy in self.copies if copy.is_ok), default=inf)

    @property
    def is_rejected(self) -> bool:
        """Whether its answers promise that it was not taken and never will be."""
        if any(copy.status == HTTPStatus.PRECONDITION_FAILED for copy in self.copies):
            return True
        return all(copy.is_refused for copy in self.copies)

    def __str__(self) -> str:
        copies = "; ".join(f"{copy.span}, revision {copy.revision}" for copy in self.copies)
        return f"put of {self.value} to {self.key} over {self.expect} ({copies})"


@dataclass(slots=True, eq=False, kw_only=True)
class Read(Call):
    """GET /cells/ID. A 404 is a read at revision 0."""

    key: str
    value: str = ""
    revision: int = 0

    def __str__(self) -> str:
        return f"read of {self.key}: {self.value or 'nothing'} at {self.revision} ({self.span})"


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A put as a watch tells of it."""

    key: str
    value: str
    revision: int


@dataclass(slots=True, eq=False, kw_only=True)
class Watch(Call):
    """GET /watch/GROUP. `past_given`: when its caller was last told the revision `past`; -inf if it never was."""

    group: str
    past: int
    wait_s: float
    past_given: float = -inf
    revision: int = 0  # as answered
    events: tuple[WatchEvent, ...] = ()

    @property
    def decided_after(self) -> float:
        """The earliest moment at which its answer can have been decided: without events, that its time was over."""
        return self.sent + self.wait_s if self.past and not self.events else self.sent

    def __str__(self) -> str:
        told = [event.revision for event in self.events]
        return f"watch of {self.group} past {self.past}: {told} up to {self.revision} ({self.span})"


@dataclass(slots=True)
class CoordinationHistory:
    """All calls of a run, in the order of their sending."""

    acquires: list[Acquire] = field(default_factory=list)
    renewals: list[Renewal] = field(default_factory=list)
    releases: list[Release] = field(default_factory=list)
    numbers: list[NumberRequest] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    watches: list[Watch] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)  # noticed by the callers themselves

    def calls(self) -> list[Call]:
        """Every copy of every call."""
        copies = [copy for put in self.puts for copy in put.copies]
        locks = [*self.acquires, *self.renewals, *self.releases]
        return [*locks, *self.numbers, *copies, *self.reads, *self.watches]


def group_of(key: str) -> str:
    """The group of a key: what it begins with up to the first dot, which belongs to it."""
    return key.partition(".")[0] + "."


def rule_of(call: Call, rule: Rule) -> Rule:
    """The rule that an answer breaks: at the end of a run, whatever lags behind is lost."""
    return Rule.LOST if call.final else rule
