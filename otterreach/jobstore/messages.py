"""The RPC messages between proxies and job store nodes, and among job store nodes."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterreach.runtime.codec import Request, message
from otterreach.runtime.rpc import Done

# Batch jobs, for clients -------------------------------------------------------------------------


@message(60)
@dataclass(slots=True)
class SubmitJob(Request[Done]):
    """A proxy to the primary: keep this batch job. A Failure with `maybe_done`: it may be kept."""

    job: str
    host: str  # of the route it came by
    route: str  # the route's name then
    body: bytes  # the JSON as it came


@message(62)
@dataclass(slots=True)
class JobResults:
    """Results of a batch job, in their order."""

    total: int
    next_cursor: int
    body: bytes  # the results as JSON objects, joined by commas


@message(61)
@dataclass(slots=True)
class ReadJob(Request[JobResults]):
    """A proxy to the primary: the results from `offset` on. Waits up to `wait_ms` until there is one."""

    job: str
    offset: int
    wait_ms: int


@message(64)
@dataclass(slots=True)
class ItemBody:
    """The decoded body of an item."""

    body: bytes


@message(63)
@dataclass(slots=True)
class ReadItem(Request[ItemBody]):
    """A proxy to the primary: the body of an item that is not yet listed."""

    job: str
    item: str


@message(65)
@dataclass(slots=True)
class EndJob(Request[Done]):
    """A proxy to the primary: nothing more of this batch job is wanted. Done once all replicas have that on disk."""

    job: str


# Items, for proxies that run them ----------------------------------------------------------------


@message(0)
@dataclass(slots=True)
class ServedPartition:
    """A partition that a job store node serves as primary, with enough replicas."""

    partition: int
    epoch: int
    age_ms: int  # since all its backups were last surely in this epoch


@message(67)
@dataclass(slots=True)
class ProxyPong:
    """What a job store node serves."""

    sent_ms: int  # as in the ping
    served: list[ServedPartition] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)  # of the ping's jobs: a CancelJob may have been lost


@message(66)
@dataclass(slots=True)
class ProxyPing(Request[ProxyPong]):
    """A proxy to every job store node, again and again."""

    node: str
    address: str
    sent_ms: int  # by the proxy's monotonic clock
    slots: int  # items that it may run at once
    free: int  # slots that are not taken
    jobs: list[str] = field(default_factory=list)  # whose items it has, queued or running
    incarnation: int = 0  # drawn at the start of the process: another incarnation runs nothing yet
    interval_ms: int = 0  # the next ping comes within this while no items of the receiver are here; 0: not told


@message(0)
@dataclass(slots=True)
class WorkItem:
    """One item to be run, with its reward call."""

    item: str
    path: str
    headers: str  # a JSON object
    body: bytes
    group: str
    tokens: int
    scorer_id: str
    scorer_host: str
    scorer_path: str
    scorer_body: bytes
    failures: int = 0  # how often servers have answered it by a 500, as far as is known


@message(68)
@dataclass(slots=True)
class AssignItems:
    """A job store node to a proxy, one way: run these items.

    `left_ms`: until the results are due; `wait_ms`: until an item may be given up. Both count from now.
    """

    partition: int
    epoch: int
    job: str
    host: str
    model: str
    min_version: int
    left_ms: int
    wait_ms: int
    items: list[WorkItem]


@message(69)
@dataclass(slots=True)
class ItemFinished(Request[Done]):
    """A proxy to the primary, repeated until it is taken: what came of an item.

    JOB_ENDED and UNKNOWN_ITEM (listed already) are final.
    """

    job: str
    item: str
    state: str  # done or errored
    reason: str  # of errored: one of results.ERRORS
    text: str
    versions: list[int]
    score: str


@message(70)
@dataclass(slots=True)
class RunningItems(Request[Done]):
    """A proxy to a new primary: these items of a partition run here."""

    partition: int
    node: str
    items: list[str]  # "job item"


@message(71)
@dataclass(slots=True)
class ReturnItems:
    """A proxy to the primary, one way: these items will not be run here any more."""

    job: str
    items: list[str]
    out_of_reach: bool = False  # the proxy reached no server for them: others may
    failures: list[int] = field(default_factory=list)  # of each item: how often servers answered it by a 500


@message(72)
@dataclass(slots=True)
class CancelJob:
    """A job store node to a proxy, one way: nothing of this batch job may be sent any more."""

    job: str


# Replication -------------------------------------------------------------------------------------


@message(0)
@dataclass(slots=True)
class Entry:
    """A record of a partition's log."""

    kind: int
    body: bytes


@message(78)
@dataclass(slots=True)
class ReplicaPosition:
    """How far a replica's log is on its disk; an index of -1: it has no complete replica."""

    epoch: int
    index: int  # the count of records
    chain: int  # a hash over all of them


@message(73)
@dataclass(slots=True)
class AppendEntries(Request[ReplicaPosition]):
    """The primary to a backup: records behind the position (index, chain). Answered once they are on disk.

    Where the replica is at another position nothing is appended, and its position is the answer. Without records it is
    a question, which also opens `session`: messages of an earlier session get NOT_SYNCED from then on.
    """

    partition: int
    epoch: int
    member: str  # who is meant: nobody else at that address
    session: int
    index: int
    chain: int
    records: list[Entry]


@message(74)
@dataclass(slots=True)
class PartitionInstall(Request[ReplicaPosition]):
    """The primary to a replica that lacks something: a chunk of the complete partition as it is at (index, chain).

    What was there stays in force until the last chunk. After a Failure the installation starts anew.
    """

    partition: int
    epoch: int
    member: str
    session: int
    install: int  # drawn for each installation
    chunk: int  # counted from 0
    last: bool
    index: int
    chain: int
    records: list[Entry]


@message(79)
@dataclass(slots=True)
class PartitionEpochs:
    """The epochs that a member is in, in the order of the question."""

    epochs: list[int]


@message(75)
@dataclass(slots=True)
class PartitionPing(Request[PartitionEpochs]):
    """The primary to a backup: are you still in these epochs? NOT_MEMBER if another disk is there."""

    member: str
    partitions: list[int]
    epochs: list[int]


@message(77)
@dataclass(slots=True)
class PartitionDigests(Request[Done]):
    """The primary to a backup: digests over ranges of jobs at (index, chain), to find a replica that differs.

    Done if it is the same, or at another position; NOT_SYNCED if it differs.
    """

    partition: int
    epoch: int
    member: str
    index: int
    chain: int
    digests: list[int]


# To the primary controller -----------------------------------------------------------------------


@message(76)
@dataclass(slots=True)
class ReplicaInSync(Request[Done]):
    """A partition's primary: this member has all of the partition now, and every write waits for it.

    Counts only while the record's epoch is this one.
    """

    partition: int
    epoch: int
    member: str


@message(80)
@dataclass(slots=True)
class ReplicaLost:
    """A partition's primary, one way: this backup has not answered for `silent_ms`."""

    partition: int
    epoch: int
    member: str
    silent_ms: int


@message(81)
@dataclass(slots=True)
class DiskStalled:
    """A job store node, one way, repeated while it lasts: its disk takes no writes."""

    node: str
    disk: str
    waiting_ms: int


@message(82)
@dataclass(slots=True)
class StoreDraining(Request[Done]):
    """A job store node, repeated while it lasts: it is about to end, others are to get its replicas first.

    TOO_FEW_LEFT: nobody else could take them.
    """

    node: str
    disk: str
