"""What controllers say to each other, and what other processes say to them."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterreach.runtime.codec import message
from otterreach.runtime.store import Item


@message(0)
@dataclass(slots=True)
class ControllerInfo:
    """A controller by the id on its disk: a wiped one is another."""

    id: str
    node: str
    address: str
    zone: str


@message(0)
@dataclass(slots=True)
class Record:
    """An epoch: the only thing that witnesses keep."""

    number: int
    primary: str
    backups: list[str]
    witnesses: list[ControllerInfo]

    @property
    def members(self) -> list[str]:
        """Those that hold all acknowledged writes."""
        return [self.primary, *self.backups]

    def witness(self, ident: str) -> ControllerInfo | None:
        return next((w for w in self.witnesses if w.id == ident), None)


@message(20)
@dataclass(slots=True)
class Prepare:
    """A candidate to a witness: take no part in anything lower than `number`. Promise."""

    number: int
    candidate: str
    probe: bool = False  # only asks whether it would be promised


@message(21)
@dataclass(slots=True)
class Promise:
    ok: bool
    promised: int
    id: str
    accepted: list[Record]  # the highest accepted, or none


@message(22)
@dataclass(slots=True)
class Accept:
    """The new primary to a witness: this record. Accepted."""

    record: list[Record]


@message(23)
@dataclass(slots=True)
class Accepted:
    ok: bool
    promised: int
    id: str


@message(24)
@dataclass(slots=True)
class Install:
    """The new primary to a backup to be: the whole state. Done, or STALE_EPOCH."""

    number: int
    target: str  # the id that is meant: nobody else at that address
    items: list[Item]


@message(25)
@dataclass(slots=True)
class Append:
    """Primary to backup: these changes. Done once they are on disk."""

    number: int
    items: list[Item]


@message(26)
@dataclass(slots=True)
class Beat:
    """Primary to each witness; to a backup also the question whether the epoch still holds. Beaten."""

    number: int
    primary: str
    address: str


@message(27)
@dataclass(slots=True)
class Beaten:
    ok: bool
    promised: int
    id: str


@message(28)
@dataclass(slots=True)
class WhoAreYou:
    """Before the very first record, among seeds."""

    node: str


@message(29)
@dataclass(slots=True)
class Identity:
    controller: list[ControllerInfo]
    fresh: bool  # first start of the whole system, and nothing has happened since


@message(30)
@dataclass(slots=True)
class Join:
    """A controller outside the record to the primary: put me in. Done, or a Failure."""

    controller: list[ControllerInfo]


@message(0)
@dataclass(slots=True)
class Sighting:
    name: str  # node#disk, or a server's id
    age_ms: int


@message(33)
@dataclass(slots=True)
class Sightings:
    """A watcher to the primary, one way: whom it heard of late."""

    watcher: str
    nodes: list[Sighting]
    servers: list[Sighting]


@message(34)
@dataclass(slots=True)
class Operate:
    """A controller to the primary: a call of a server or the operator. Operated, or a Failure."""

    method: str
    path: str
    match: str  # If-Match
    body: bytes


@message(35)
@dataclass(slots=True)
class Operated:
    status: int
    body: bytes = field(default=b"")
