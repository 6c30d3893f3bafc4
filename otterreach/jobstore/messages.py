"""The RPC messages between proxies and job store nodes, and among job store nodes."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterreach.runtime.codec import Request, message
from otterreach.runtime.rpc_messages import Done

# Batch jobs, for clients -------------------------------------------------------------------------


@message(60)
@dataclass(slots=True)
class SubmitJob(Request[Done]):
    """Sent by a proxy to the primary to submit a batch job. After a Failure with `maybe_done` it may be stored."""

    job: str
    host: str  # host of the route that the submission matched
    route: str  # name of that route at the time
    body: bytes  # the JSON, unchanged

    def passed_on_size(self) -> int:
        """Return the size of the body."""
        return len(self.body)


@message(62)
@dataclass(slots=True)
class JobResults:
    """Results of a batch job, in the order in which they were listed."""

    total: int
    next_cursor: int
    body: bytes  # the results as JSON objects, joined by commas


@message(61)
@dataclass(slots=True)
class ReadJob(Request[JobResults]):
    """Sent by a proxy to the primary to read the results from `offset` on. Waits up to `wait_ms` if there are none."""

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
    """Sent by a proxy to the primary to read the body of an item that is not yet listed."""

    job: str
    item: str


@message(65)
@dataclass(slots=True)
class EndJob(Request[Done]):
    """Sent by a proxy to the primary to end a batch job. The reply is Done once all replicas have the end on disk."""

    job: str


# Items, for proxies that run them ----------------------------------------------------------------


@message(0)
@dataclass(slots=True)
class ServedPartition:
    """A partition that a job store node serves as primary, with enough replicas."""

    partition: int
    epoch: int
    age_ms: int  # since all backups were last known to be in this epoch


@message(67)
@dataclass(slots=True)
class ProxyPong:
    """The reply to a ProxyPing: the partitions that a job store node serves."""

    sent_ms: int  # copied from the ping
    served: list[ServedPartition] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)  # jobs of the ping that have ended; a CancelJob may have been lost


@message(66)
@dataclass(slots=True)
class ProxyPing(Request[ProxyPong]):
    """Sent periodically by a proxy to every job store node."""

    node: str
    address: str
    sent_ms: int  # by the proxy's monotonic clock
    slots: int  # the number of items that the proxy may run concurrently
    free: int  # slots that are not in use
    jobs: list[str] = field(default_factory=list)  # jobs of which the proxy has items, queued or running
    incarnation: int = 0  # random, per start of the process; a new incarnation has no items
    interval_ms: int = 0  # announced ping interval while the proxy has no items of the receiver; 0: not announced


@message(0)
@dataclass(slots=True)
class WorkItem:
    """An item to run, with the call to its scorer."""

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
    failures: int = 0  # the known number of responses with status 500 to this item


@message(68)
@dataclass(slots=True)
class AssignItems:
    """Sent one-way by a job store node to a proxy to assign items of a job.

    `left_ms` is the time until the results are due, `wait_ms` the time until an item may be listed as errored. Both
    count from the sending.
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
    """Sent by a proxy to the primary to report the outcome of an item; retried until it is accepted.

    JOB_ENDED and UNKNOWN_ITEM (it is listed already) are final.
    """

    job: str
    item: str
    state: str  # done or errored
    reason: str  # for errored: one of result_check.ERRORS
    text: str
    versions: list[int]
    score: str


@message(70)
@dataclass(slots=True)
class RunningItems(Request[Done]):
    """Sent by a proxy to a new primary to report the items of a partition that run at the proxy."""

    partition: int
    node: str
    items: list[str]  # "job item"


@message(71)
@dataclass(slots=True)
class ReturnItems:
    """Sent one-way by a proxy to the primary to return items that it will not run."""

    job: str
    items: list[str]
    out_of_reach: bool = False  # the proxy reached no server for them; another proxy may
    failures: list[int] = field(default_factory=list)  # for each item: the number of responses with status 500 to it


@message(72)
@dataclass(slots=True)
class CancelJob:
    """Sent one-way by a job store node to a proxy: no further items of this batch job may be sent to servers."""

    job: str


# Replication -------------------------------------------------------------------------------------


@message(0)
@dataclass(slots=True)
class Entry:
    """An entry of a partition's log."""

    kind: int
    body: bytes


@message(78)
@dataclass(slots=True)
class ReplicaPosition:
    """The position of a replica's log on its disk. An index of -1 means that there is no complete replica."""

    epoch: int
    index: int  # the number of entries
    chain: int  # a hash over all of them


@message(73)
@dataclass(slots=True)
class AppendEntries(Request[ReplicaPosition]):
    """Sent by the primary to a backup to append entries after the position (index, chain).

    The reply is sent once they are on disk. If the replica is at another position, nothing is appended and the reply is
    its position. Without records the message is a query for the position. It also opens `session`: messages of an
    earlier session are answered with NOT_SYNCED from then on.
    """

    partition: int
    epoch: int
    member: str  # the addressee; any other member at that address rejects the message
    session: int
    index: int
    chain: int
    records: list[Entry]


@message(74)
@dataclass(slots=True)
class PartitionInstall(Request[ReplicaPosition]):
    """Sent by the primary to a replica that lacks entries: a chunk of the complete replica at (index, chain).

    The current replica stays in use until the last chunk. After a Failure the installation starts again.
    """

    partition: int
    epoch: int
    member: str
    session: int
    install: int  # random, per installation
    chunk: int  # counted from 0
    last: bool
    index: int
    chain: int
    records: list[Entry]


@message(79)
@dataclass(slots=True)
class PartitionEpochs:
    """The epochs that a member is in, in the order of the request."""

    epochs: list[int]


@message(75)
@dataclass(slots=True)
class PartitionPing(Request[PartitionEpochs]):
    """Sent by the primary to a backup to query its epochs. NOT_MEMBER if the receiver has another disk."""

    member: str
    partitions: list[int]
    epochs: list[int]


@message(77)
@dataclass(slots=True)
class PartitionDigests(Request[Done]):
    """Sent by the primary to a backup to detect a differing replica: digests over ranges of jobs at (index, chain).

    The reply is Done if they are equal or the replica is at another position, and NOT_SYNCED if they differ.
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
    """Sent by a partition's primary: this member has the complete partition now, and every write waits for it.

    The report is valid only while the record's epoch is the same.
    """

    partition: int
    epoch: int
    member: str


@message(80)
@dataclass(slots=True)
class ReplicaLost:
    """Sent one-way by a partition's primary: this backup has not answered for `silent_ms`."""

    partition: int
    epoch: int
    member: str
    silent_ms: int


@message(81)
@dataclass(slots=True)
class DiskStalled:
    """Sent one-way and periodically by a job store node while its disk takes no writes."""

    node: str
    disk: str
    waiting_ms: int


@message(82)
@dataclass(slots=True)
class StoreDraining(Request[Done]):
    """Sent periodically by a job store node that is shutting down, so that its replicas are moved to other nodes first.

    TOO_FEW_LEFT means that too few other nodes are left to take them.
    """

    node: str
    disk: str
