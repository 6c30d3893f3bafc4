"""Ground truth recorded by the simulated servers, against which the system's answers are verified."""

from __future__ import annotations

import hashlib
import re
from collections import Counter
from dataclasses import dataclass, field

_DATA = re.compile(r"(\d+):([0-9a-f]{12}) v(\d+) (\S+)")


def mark(item: str, number: int) -> str:
    """Return the content of event `number` of a request; it is the same on all servers."""
    return hashlib.blake2s(f"{item} {number}".encode(), digest_size=6).hexdigest()


def event_data(item: str, number: int, version: int, run: str) -> str:
    """Return the data of an event: its number, mark, version of weights and run."""
    return f"{number}:{mark(item, number)} v{version} {run}"


def body_of(request_id: str, body: bytes) -> bytes:
    """Return the body of a plain server's response."""
    return hashlib.blake2s(body, key=request_id.encode()[:32]).hexdigest().encode() * 8


@dataclass(frozen=True, slots=True)
class EventData:
    """An event parsed from its data."""

    number: int
    mark: str
    version: int
    run: str


def parse_event_data(data: str) -> EventData | None:
    """Parse the data of an event; None if it is malformed."""
    found = _DATA.fullmatch(data)
    return EventData(int(found[1]), found[2], int(found[3]), found[4]) if found else None


@dataclass(slots=True)
class StreamRecord:
    """A run at an engine: its request, the event after which it resumed, and the time of its last event."""

    request: str
    after: int
    service: str
    last_at: float = 0.0


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A request that a server started to execute."""

    request: str
    service: str
    at: float


@dataclass(frozen=True, slots=True)
class SealRecord:
    """A successful response of a server."""

    request: str
    body: bytes
    received_at: float


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """An order as a server received it."""

    server: str
    owner: str
    fence: int
    status: int
    at: float


@dataclass(slots=True)
class GroundTruth:
    """Records of the simulated servers, for verification of the system's answers."""

    runs: dict[str, StreamRecord] = field(default_factory=dict)
    ran: list[RunRecord] = field(default_factory=list)
    seals: dict[str, SealRecord] = field(default_factory=dict)
    failures: Counter[str] = field(default_factory=Counter)  # responses with status 500, by request
    never: set[str] = field(default_factory=set)  # requests answered 422
    refused_count: int = 0
    after_drain: list[str] = field(default_factory=list)  # faults: requests that came after a server's drain period
    orders: list[OrderRecord] = field(default_factory=list)
