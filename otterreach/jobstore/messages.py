"""What proxies and job store nodes, and job store nodes among themselves, say to each other."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterreach.runtime.codec import message


@message(60)
@dataclass(slots=True)
class Submit:
    """Proxy to primary job store node: keep this batch job. Done, or a Failure (maybe_done: it may be kept)."""

    job: str
    host: str  # of the route it came by
    route: str  # the route's name then
    body: bytes  # the JSON as it came


@message(61)
@dataclass(slots=True)
class ReadJob:
    """Results from position `past` on; held up to `wait_ms` until there is one. Results, or a Failure."""

    job: str
    past: int
    wait_ms: int


@message(62)
@dataclass(slots=True)
class Results:
    total: int
    next_cursor: int
    body: bytes  # the results as JSON objects, joined by commas


@message(63)
@dataclass(slots=True)
class ReadItem:
    """The decoded body of an item that is not yet listed. ItemBody, or a Failure."""

    job: str
    item: str


@message(64)
@dataclass(slots=True)
class ItemBody:
    body: bytes


@message(65)
@dataclass(slots=True)
class EndJob:
    """Done once all copies have it on disk."""

    job: str


@message(66)
@dataclass(slots=True)
class ProxyPing:
    """Proxy to every job store node, each 250 ms, as a call."""

    node: str
    address: str
    sent_ms: int  # the proxy's steady clock
    slots: int  # items that it may run at once, in all
    free: int  # of which not taken
    jobs: list[str] = field(default_factory=list)  # whose items it has, queued or running
    life: int = 0  # drawn at the start of the process: another life runs nothing yet


@message(0)
@dataclass(slots=True)
class Held:
    """A partition that the job store node serves as primary, with copies enough."""

    part: int
    epoch: int
    age_ms: int  # since all its backups were last surely under this epoch


@message(67)
@dataclass(slots=True)
class Pong:
    sent_ms: int
    held: list[Held] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)  # of the ping's jobs: a CancelJob may have been lost


@message(0)
@dataclass(slots=True)
class Work:
    """One item to be run, with its reward call."""

    item: str
    path: str
    headers: str  # JSON object
    body: bytes
    group: str
    tokens: int
    scorer_id: str
    scorer_host: str
    scorer_path: str
    scorer_body: bytes


@message(68)
@dataclass(slots=True)
class Assign:
    """Job store node to proxy, one way: run these. `left_ms` until the results are due, `wait_ms` until an item may be
    given up (maxWaitS), both from the first time the batch job came."""

    part: int
    epoch: int
    job: str
    host: str
    model: str
    min_version: int
    left_ms: int
    wait_ms: int
    works: list[Work]


@message(69)
@dataclass(slots=True)
class Finished:
    """Proxy to the partition's primary, as a call until it is taken: what came of an item. Done, or a Failure;
    JOB_ENDED and UNKNOWN_ITEM (listed already) are final."""

    job: str
    item: str
    state: str  # done or errored
    reason: str  # of errored: unprocessable, failed, reward_failed, waited, route_gone
    text: str
    versions: list[int]
    score: str


@message(70)
@dataclass(slots=True)
class Running:
    """Proxy to a new primary (and on request): these items of a partition run here."""

    part: int
    node: str
    items: list[str]  # "job item"


@message(71)
@dataclass(slots=True)
class GiveBack:
    """Proxy to primary, one way: these will not be run here any more."""

    job: str
    items: list[str]


@message(72)
@dataclass(slots=True)
class CancelJob:
    """Job store node to proxy, one way: nothing of this batch job may go out any more."""

    job: str


@message(73)
@dataclass(slots=True)
class JobAppend:
    """Primary to backup: records of a partition, in order, after the position (index, chain). CopyPosition once they
    are on disk; where the copy stands elsewhere nothing is taken, and its position tells. Without records: a question,
    which also opens `session`: what came before it from another session is refused from then on (NOT_SYNCED)."""

    part: int
    epoch: int
    member: str  # who is meant: nobody else at that address
    session: int
    index: int
    chain: int
    records: list[Entry]


@message(0)
@dataclass(slots=True)
class Entry:
    kind: int
    body: bytes


@message(74)
@dataclass(slots=True)
class PartInstall:
    """Primary to one that lacks something: a piece of the whole partition as it is at (index, chain). What was there
    stays in force until the last piece. CopyPosition, or a Failure: then the install starts anew."""

    part: int
    epoch: int
    member: str
    session: int
    install: int  # drawn for each install
    piece: int  # counted from 0
    last: bool
    index: int
    chain: int
    records: list[Entry]


@message(75)
@dataclass(slots=True)
class PartPing:
    """Primary to backup: are these epochs still the ones you are in? PartEpochs, or NOT_MEMBER."""

    member: str
    parts: list[int]
    epochs: list[int]


@message(76)
@dataclass(slots=True)
class PartSynced:
    """Primary job store node to the primary controller: this member has all of the partition now, and every write
    waits for it. Done or a Failure. Counts only while the record's epoch is this one."""

    part: int
    epoch: int
    member: str


@message(77)
@dataclass(slots=True)
class PartDigests:
    """Primary to backup: digests over ranges of jobs at (index, chain), to find a copy that differs. Done if it is
    the same or stands elsewhere, NOT_SYNCED if it differs."""

    part: int
    epoch: int
    member: str
    index: int
    chain: int
    digests: list[int]


@message(78)
@dataclass(slots=True)
class CopyPosition:
    """Where a copy stands, on disk: the count of records, and a hash over all of them; -1: no whole copy."""

    epoch: int
    index: int
    chain: int


@message(79)
@dataclass(slots=True)
class PartEpochs:
    """The epochs that a member is in, in the order of the question."""

    epochs: list[int]


@message(80)
@dataclass(slots=True)
class PartLost:
    """Primary job store node to the primary controller, one way: this backup hasn't answered it for `silent_ms`."""

    part: int
    epoch: int
    member: str
    silent_ms: int


@message(81)
@dataclass(slots=True)
class DiskStalled:
    """Job store node to the primary controller, one way, repeated while it lasts: its disk takes no write."""

    node: str
    disk: str
    waiting_ms: int


@message(82)
@dataclass(slots=True)
class Leaving:
    """Job store node to the primary controller, repeated while it lasts: it is about to end, others are to get its
    copies first. Done, or TOO_FEW_LEFT: nobody else could take them."""

    node: str
    disk: str
