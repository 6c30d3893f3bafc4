"""What the stand-ins have seen: the books against which the system's answers are checked."""

from __future__ import annotations

import hashlib
import re
from collections import Counter
from dataclasses import dataclass, field

_DATA = re.compile(r"(\d+):([0-9a-f]{12}) v(\d+) (\S+)")


def mark(item: str, ident: int) -> str:
    """What event `ident` of a request holds, whichever server makes it."""
    return hashlib.blake2s(f"{item} {ident}".encode(), digest_size=6).hexdigest()


def event_data(item: str, ident: int, version: int, run: str) -> str:
    """The data of an event: besides its mark, under which version and in which run it was made."""
    return f"{ident}:{mark(item, ident)} v{version} {run}"


def body_of(request_id: str, body: bytes) -> bytes:
    """A plain server's answer."""
    return hashlib.blake2s(body, key=request_id.encode()[:32]).hexdigest().encode() * 8


@dataclass(frozen=True, slots=True)
class Line:
    """An event as its data tells it."""

    ident: int
    mark: str
    version: int
    run: str


def read_line(data: str) -> Line | None:
    """The data of an event; None if it is of another form."""
    found = _DATA.fullmatch(data)
    return Line(int(found[1]), found[2], int(found[3]), found[4]) if found else None


@dataclass(slots=True)
class Made:
    """One run at an engine: of which request, after which event it was asked to go on, when it last made one."""

    request: str
    after: int
    service: str
    last_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Ran:
    """A request that reached a server and was not turned away."""

    request: str
    service: str
    at: float


@dataclass(frozen=True, slots=True)
class Sealed:
    """A success of a server."""

    request: str
    body: bytes
    came_at: float


@dataclass(frozen=True, slots=True)
class Ordered:
    """An order as it came to a server."""

    server: str
    owner: str
    fence: int
    status: int
    at: float


@dataclass(slots=True)
class GroundTruth:
    """What the stand-ins did, for the check of what the system said."""

    runs: dict[str, Made] = field(default_factory=dict)
    ran: list[Ran] = field(default_factory=list)
    seals: dict[str, Sealed] = field(default_factory=dict)
    failures: Counter[str] = field(default_factory=Counter)  # answers of 500, by request
    never: set[str] = field(default_factory=set)  # answered 422
    refused_count: int = 0
    after_leave: list[str] = field(default_factory=list)  # requests at a server that had left the list
    orders: list[Ordered] = field(default_factory=list)
