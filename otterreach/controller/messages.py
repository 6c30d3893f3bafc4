"""The RPC messages among controllers, and those that servers' and operators' calls are forwarded in."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.runtime.codec import Request, message
from otterreach.runtime.rpc import Done
from otterreach.runtime.store import Item

# Elections ---------------------------------------------------------------------------------------


@message(21)
@dataclass(slots=True)
class Promise:
    """A witness to a candidate: whether it takes part in nothing lower any more."""

    ok: bool
    promised: int  # the highest number that it has promised
    id: str
    accepted: list[EpochConfiguration]  # the highest that it has accepted, or none


@message(20)
@dataclass(slots=True)
class Prepare(Request[Promise]):
    """A candidate to a witness: take no part in any epoch lower than `number`."""

    number: int
    candidate: str
    probe: bool = False  # only asks whether it would be promised
    transfer: bool = False  # the primary itself asked the candidate to take over: that it is alive is no hindrance


@message(23)
@dataclass(slots=True)
class Accepted:
    """A witness to a new primary: whether it has the configuration on disk."""

    ok: bool
    promised: int
    id: str


@message(22)
@dataclass(slots=True)
class Accept(Request[Accepted]):
    """A new primary to a witness: accept this configuration. In a journal: the one that was accepted."""

    configuration: list[EpochConfiguration]  # exactly one


@message(29)
@dataclass(slots=True)
class IdentityReply:
    """Who a controller is."""

    controller: list[ControllerInfo]  # exactly one
    uninitialised: bool  # first start of the whole system, and nothing has happened since


@message(28)
@dataclass(slots=True)
class IdentityRequest(Request[IdentityReply]):
    """Asks a seed for its identity, before the very first configuration."""

    node: str


# Replication -------------------------------------------------------------------------------------


@message(25)
@dataclass(slots=True)
class AppendItems(Request[Done]):
    """The primary to a backup: store these changes. Done once they are on disk. In a journal: changes."""

    number: int
    items: list[Item]


@message(27)
@dataclass(slots=True)
class EpochHeartbeatReply:
    """A witness to the primary: whether the epoch still holds here."""

    ok: bool
    promised: int
    id: str


@message(26)
@dataclass(slots=True)
class EpochHeartbeat(Request[EpochHeartbeatReply]):
    """The primary to each witness; to a backup also the question whether the epoch still holds."""

    number: int
    primary: str
    address: str


# Snapshots ---------------------------------------------------------------------------------------


@message(24)
@dataclass(slots=True)
class InstallSnapshot:
    """In a journal: the state begins anew with these items. Never sent: a snapshot goes in chunks."""

    number: int
    target: str
    items: list[Item]


@message(37)
@dataclass(slots=True)
class SnapshotStatus:
    """What the receiver of a snapshot has built so far."""

    digests: list[int]


@message(36)
@dataclass(slots=True)
class SnapshotOffer(Request[SnapshotStatus]):
    """A candidate or primary to a controller: begin a transfer, or resume one. STALE_EPOCH if it may not."""

    number: int
    target: str  # the id that is meant: nobody else at that address
    session: str  # of this transfer; another takes its place


@message(38)
@dataclass(slots=True)
class SnapshotChunk(Request[Done]):
    """All items of some ranges of keys. Done once they are on disk."""

    number: int
    target: str
    session: str
    ranges: list[int]
    items: list[Item]


@message(39)
@dataclass(slots=True)
class SnapshotCommit(Request[Done]):
    """The snapshot is complete if it has these digests: let it replace the state. Done once that is on disk."""

    number: int
    target: str
    session: str
    digests: list[int]


# Membership --------------------------------------------------------------------------------------


@message(30)
@dataclass(slots=True)
class JoinRequest(Request[Done]):
    """A controller outside the configuration to the primary: add me."""

    controller: list[ControllerInfo]  # exactly one


@message(31)
@dataclass(slots=True)
class TransferLeadership(Request[Done]):
    """A primary that shuts down to a backup: lead the next epoch, without me among its backups."""

    number: int  # of the epoch that ends
    leaving: str


@message(32)
@dataclass(slots=True)
class BackupShutdown(Request[Done]):
    """A backup that shuts down to its primary: replace me. Done once it holds no replica that is needed."""

    number: int
    leaving: str


# Liveness and calls ------------------------------------------------------------------------------


@message(0)
@dataclass(slots=True)
class LastHeartbeat:
    """How long ago a watcher received the last heartbeat of somebody."""

    name: str  # a member id, or a server's id
    age_ms: int


@message(33)
@dataclass(slots=True)
class LivenessReport:
    """A watcher to the primary, one way: whose heartbeats it has received since its last report."""

    watcher: str
    nodes: list[LastHeartbeat]
    servers: list[LastHeartbeat]


@message(35)
@dataclass(slots=True)
class ApiResponse:
    """The answer to an ApiCall."""

    status: int
    body: bytes = field(default=b"")


@message(34)
@dataclass(slots=True)
class ApiCall(Request[ApiResponse]):
    """A controller to the primary: an HTTP call of a server, a trainer or the operator."""

    method: str
    path: str
    match: str  # the If-Match header
    body: bytes
    query: str = ""  # of the path
