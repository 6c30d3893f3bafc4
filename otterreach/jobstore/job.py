"""A batch job and its items, as held by a partition replica."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

MAX_READ_BYTES = 1_000_000  # of results in one answer


class JobState(Enum):
    """The state of a batch job."""

    OPEN = "open"
    ENDED = "ended"


class ItemState(Enum):
    """The state of an item. Only LISTED is replicated; the other states are local to the primary."""

    PENDING = "pending"
    ASSIGNED = "assigned"  # to a proxy
    LISTED = "listed"  # among the results


@dataclass(slots=True)
class JobItem:
    """One request of a batch job."""

    id: str
    path: str = ""
    headers: str = "{}"  # a JSON object
    body: bytes = b""
    group: str = ""
    tokens: int = 0
    scorer_id: str = ""
    scorer_host: str = ""
    scorer_path: str = ""
    scorer_body: bytes = b""
    order: tuple[int, int] = (0, 0)  # sort key: keeps groups together, in the order of the batch job
    state: ItemState = ItemState.PENDING
    index: int = 0  # log index after the entry that listed it
    failures: int = 0  # responses with status 500 that proxies have reported; local to the primary

    @property
    def size(self) -> int:
        """The size of the bodies in bytes."""
        return len(self.body) + len(self.scorer_body)

    def copy(self) -> JobItem:
        """Return a copy of the item."""
        return replace(self)

    def free(self) -> None:
        """Drop the bodies and headers, which can no longer be read."""
        self.body = b""
        self.scorer_body = b""
        self.headers = "{}"


@dataclass(slots=True)
class Job:
    """A batch job. The first `readable` of its `results` are committed and may be read."""

    id: str
    host: str
    route: str
    head: dict[str, Any]  # the fields of the submission other than the items, unchanged
    items: dict[str, JobItem]
    received_at: float  # on the monotonic clock
    state: JobState = JobState.OPEN
    results: list[bytes] = field(default_factory=list)
    readable: int = 0
    index: int = 0  # log index after the entry that submitted it
    end_index: int = 0  # log index after the entry that ended it
    crc: int = 0  # over the results
    committed: bool = False  # the submission is at all replicas
    ended: bool = False  # the entry that ended it is committed: it is at all replicas
    proxies: set[str] = field(default_factory=set)  # nodes that were assigned items of it

    @property
    def model(self) -> str:
        """The name of the model that is trained; empty if the submission has none."""
        return str(self.head.get("model") or "")

    @property
    def min_version(self) -> int:
        """The lowest version of the weights that a result may be generated with."""
        return int(self.head.get("minVersion") or 0)

    @property
    def desired_groups(self) -> int | None:
        """The number of groups that the trainer waits for; None if the submission has none."""
        desired = self.head.get("desired")
        return desired if isinstance(desired, int) else None

    @property
    def has_versions(self) -> bool:
        """True if the results carry versions of the weights."""
        return "minVersion" in self.head or "step" in self.head

    def copy(self) -> Job:
        """Return a copy of the job and its items; strings and bytes are shared."""
        items = {name: item.copy() for name, item in self.items.items()}
        return replace(self, items=items, results=list(self.results), proxies=set(self.proxies))

    def digest(self) -> int:
        """Return a digest that is equal at replicas that hold the same state of the job."""
        kept_bytes = 0
        if self.state is JobState.OPEN:
            kept_bytes = sum(item.size for item in self.items.values() if item.state is not ItemState.LISTED)
        counts = f"{len(self.items)} {self.state.value} {len(self.results)}"
        return zlib.crc32(f"{self.id} {counts} {self.crc} {kept_bytes}".encode())

    def read(self, offset: int) -> tuple[int, bytes]:
        """Return the readable results from `offset` on, as many as fit: the offset after them, and their bytes."""
        size = 0
        end = offset
        while end < self.readable:
            size += len(self.results[end]) + 1
            if size > MAX_READ_BYTES and end > offset:
                break
            end += 1
        return end, b",".join(self.results[offset:end])
