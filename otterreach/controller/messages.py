"""The RPC messages between controllers, including those that forward calls of servers and operators."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.runtime.codec import Request, message
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.store import Item

# Elections ---------------------------------------------------------------------------------------


@message(21)
@dataclass(slots=True)
class Promise:
    """A witness's reply to a Prepare: whether it promises to reject all lower epochs."""

    ok: bool
    promised: int  # the highest number that the witness has promised
    id: str
    accepted: list[EpochConfiguration]  # the highest configuration that it has accepted; empty if none


@message(20)
@dataclass(slots=True)
class Prepare(Request[Promise]):
    """A candidate's request to a witness to promise to reject all epochs lower than `number`."""

    number: int
    candidate: str
    probe: bool = False  # asks only whether the witness would promise
    transfer: bool = False  # the primary requested the transfer, so its being alive is no reason to reject


@message(23)
@dataclass(slots=True)
class Accepted:
    """A witness's reply to an Accept: whether it has the configuration on disk."""

    ok: bool
    promised: int
    id: str


@message(22)
@dataclass(slots=True)
class Accept(Request[Accepted]):
    """A new primary's request to a witness to accept this configuration. In a journal: an accepted configuration."""

    configuration: list[EpochConfiguration]  # exactly one


@message(29)
@dataclass(slots=True)
class IdentityReply:
    """A controller's identity."""

    controller: list[ControllerInfo]  # exactly one
    uninitialised: bool  # started to bootstrap the system, and has accepted no configuration yet


@message(28)
@dataclass(slots=True)
class IdentityRequest(Request[IdentityReply]):
    """Asks a seed for its identity, before the initial configuration."""

    node: str


# Replication -------------------------------------------------------------------------------------


@message(25)
@dataclass(slots=True)
class AppendItems(Request[Done]):
    """The primary's request to a backup to store changes; Done once they are on disk. In a journal: changes."""

    number: int
    items: list[Item]


@message(27)
@dataclass(slots=True)
class EpochHeartbeatReply:
    """A witness's reply to a heartbeat: whether the primary's epoch is still the current one at the witness."""

    ok: bool
    promised: int
    id: str


@message(26)
@dataclass(slots=True)
class EpochHeartbeat(Request[EpochHeartbeatReply]):
    """The primary's heartbeat to a witness, which is asked to confirm the epoch."""

    number: int
    primary: str
    address: str


# Snapshots ---------------------------------------------------------------------------------------


@message(24)
@dataclass(slots=True)
class InstallSnapshot:
    """In a journal: replaces the state by these items. Never sent, since snapshots are transferred in chunks."""

    number: int
    target: str
    items: list[Item]


@message(37)
@dataclass(slots=True)
class SnapshotStatus:
    """The digests of the state that the receiver of a snapshot has staged so far."""

    digests: list[int]


@message(36)
@dataclass(slots=True)
class SnapshotOffer(Request[SnapshotStatus]):
    """A candidate's or primary's request to begin or resume a snapshot transfer; STALE_EPOCH if that is rejected."""

    number: int
    target: str  # the id of the receiver; rejected by any other controller at its address
    session: str  # id of this transfer; a transfer with another id replaces it


@message(38)
@dataclass(slots=True)
class SnapshotChunk(Request[Done]):
    """All items of some key ranges; Done once they are on disk."""

    number: int
    target: str
    session: str
    ranges: list[int]
    items: list[Item]


@message(39)
@dataclass(slots=True)
class SnapshotCommit(Request[Done]):
    """The request to replace the state by the staged snapshot if it has these digests; Done once that is on disk."""

    number: int
    target: str
    session: str
    digests: list[int]


# Membership --------------------------------------------------------------------------------------


@message(30)
@dataclass(slots=True)
class JoinRequest(Request[Done]):
    """A request to the primary from a controller that is not in the configuration, to be added to it."""

    controller: list[ControllerInfo]  # exactly one


@message(31)
@dataclass(slots=True)
class TransferLeadership(Request[Done]):
    """A request of a primary that shuts down to a backup, to lead the next epoch without the sender as a backup."""

    number: int  # the epoch that ends
    leaving: str


@message(32)
@dataclass(slots=True)
class BackupShutdown(Request[Done]):
    """A request to the primary from a backup that is shutting down, to be replaced by another controller.

    The reply is Done once a configuration without the sender is in effect, so that its replica is no longer needed.
    """

    number: int
    leaving: str


# Liveness and calls ------------------------------------------------------------------------------


@message(0)
@dataclass(slots=True)
class LastHeartbeat:
    """The age of the last heartbeat that a watcher received from a member or server."""

    name: str  # a member id, or a server's id
    age_ms: int


@message(33)
@dataclass(slots=True)
class LivenessReport:
    """A watcher's one-way report to the primary: the heartbeats that it has received since its last report."""

    watcher: str
    nodes: list[LastHeartbeat]
    servers: list[LastHeartbeat]


@message(35)
@dataclass(slots=True)
class ApiResponse:
    """The response to an ApiCall."""

    status: int
    body: bytes = field(default=b"")


@message(34)
@dataclass(slots=True)
class ApiCall(Request[ApiResponse]):
    """An HTTP call of a server, a trainer or the operator, forwarded by a controller to the primary."""

    method: str
    path: str
    match: str  # the If-Match header
    body: bytes
    query: str = ""  # the query string of the URL

    def passed_on_size(self) -> int:
        """Return the size of the body."""
        return len(self.body)
