"""What controllers say to each other, and what other processes say to them."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.runtime.codec import message
from otterreach.runtime.store import Item


@message(20)
@dataclass(slots=True)
class Prepare:
    """A candidate to a witness: take no part in anything lower than `number`. Promise."""

    number: int
    candidate: str
    probe: bool = False  # only asks whether it would be promised
    transfer: bool = False  # the primary itself asked the candidate to take over: that it is heard is no hindrance


@message(21)
@dataclass(slots=True)
class Promise:
    ok: bool
    promised: int
    id: str
    accepted: list[EpochConfiguration]  # the highest accepted, or none


@message(22)
@dataclass(slots=True)
class Accept:
    """The new primary to a witness: this configuration. Accepted."""

    configuration: list[EpochConfiguration]


@message(23)
@dataclass(slots=True)
class Accepted:
    ok: bool
    promised: int
    id: str


@message(24)
@dataclass(slots=True)
class InstallSnapshot:
    """In a journal: the state from here on. Not sent: a snapshot goes in pieces."""

    number: int
    target: str  # the id that is meant: nobody else at that address
    items: list[Item]


@message(25)
@dataclass(slots=True)
class AppendItems:
    """Primary to backup: these changes. Done once they are on disk."""

    number: int
    items: list[Item]


@message(26)
@dataclass(slots=True)
class EpochHeartbeat:
    """Primary to each witness; to a backup also the question whether the epoch still holds. EpochHeartbeatReply."""

    number: int
    primary: str
    address: str


@message(27)
@dataclass(slots=True)
class EpochHeartbeatReply:
    ok: bool
    promised: int
    id: str


@message(28)
@dataclass(slots=True)
class IdentityRequest:
    """Among seeds, before the very first configuration: who are you? IdentityReply."""

    node: str


@message(29)
@dataclass(slots=True)
class IdentityReply:
    controller: list[ControllerInfo]
    uninitialised: bool  # first start of the whole system, and nothing has happened since


@message(30)
@dataclass(slots=True)
class JoinRequest:
    """A controller outside the configuration to the primary: put me in. Done, or a Failure."""

    controller: list[ControllerInfo]


@message(31)
@dataclass(slots=True)
class TransferLeadership:
    """A primary that leaves to a backup: lead the next epoch, without me among its backups. Done, or a Failure."""

    number: int  # of the epoch that ends
    leaving: str


@message(32)
@dataclass(slots=True)
class Leave:
    """A backup that leaves to its primary: replace me. Done once it holds no needed copy, or a Failure."""

    number: int
    leaving: str


@message(36)
@dataclass(slots=True)
class SnapshotOffer:
    """A candidate or primary to a controller: the state is to be had here. SnapshotStatus, or STALE_EPOCH."""

    number: int
    target: str  # the id that is meant: nobody else at that address
    session: str  # of this transfer; another takes its place


@message(37)
@dataclass(slots=True)
class SnapshotStatus:
    """What the receiver has built so far."""

    digests: list[int]


@message(38)
@dataclass(slots=True)
class SnapshotPiece:
    """All items of some ranges of keys. Done once they are on disk."""

    number: int
    target: str
    session: str
    ranges: list[int]
    items: list[Item]


@message(39)
@dataclass(slots=True)
class SnapshotCommit:
    """The copy is whole if it has these digests: put it in place. Done once that is on disk."""

    number: int
    target: str
    session: str
    digests: list[int]


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
