"""A batch job and its items, as one partition replica holds them."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

MAX_READ_BYTES = 1_000_000  # of results in one answer


class JobState(Enum):
    """Whether a batch job still runs."""

    OPEN = "open"
    ENDED = "ended"


class ItemState(Enum):
    """How far an item is. Only LISTED is replicated; the others are the primary's own."""

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
    order: tuple[int, int] = (0, 0)  # puts whole groups behind each other, in the order of the batch job
    state: ItemState = ItemState.PENDING
    index: int = 0  # of the record that listed it
    failures: int = 0  # answers of 500 that proxies have told of; the primary's own

    @property
    def size(self) -> int:
        """Bytes of the bodies."""
        return len(self.body) + len(self.scorer_body)

    def copy(self) -> JobItem:
        """The item as it is now, in an object of its own."""
        return replace(self)

    def free(self) -> None:
        """Drop the bodies: nobody may ask for them any more."""
        self.body = b""
        self.scorer_body = b""
        self.headers = "{}"


@dataclass(slots=True)
class Job:
    """A batch job. Of `results`, the first `readable` are at all replicas and may be read."""

    id: str
    host: str
    route: str
    head: dict[str, Any]  # the fields of the submission besides the items, as they came
    items: dict[str, JobItem]
    received_at: float  # on the monotonic clock
    state: JobState = JobState.OPEN
    results: list[bytes] = field(default_factory=list)
    readable: int = 0
    index: int = 0  # of the record that submitted it
    end_index: int = 0  # of the record that ended it
    crc: int = 0  # over the results
    committed: bool = False  # it is at all replicas
    ended: bool = False  # its end is at all replicas
    proxies: set[str] = field(default_factory=set)  # that were assigned items of it

    @property
    def model(self) -> str:
        """The model that is trained; empty if none is named."""
        return str(self.head.get("model") or "")

    @property
    def min_version(self) -> int:
        """The lowest version of the weights that a result may come from."""
        return int(self.head.get("minVersion") or 0)

    @property
    def desired_groups(self) -> int | None:
        """How many groups the trainer waits for; None if it names no number."""
        desired = self.head.get("desired")
        return desired if isinstance(desired, int) else None

    @property
    def has_versions(self) -> bool:
        """Whether its results carry versions of the weights."""
        return "minVersion" in self.head or "step" in self.head

    def copy(self) -> Job:
        """The job as it is now, in objects of its own; texts are shared."""
        items = {name: item.copy() for name, item in self.items.items()}
        return replace(self, items=items, results=list(self.results), proxies=set(self.proxies))

    def digest(self) -> int:
        """The same at two replicas that hold the same."""
        kept_bytes = 0
        if self.state is JobState.OPEN:
            kept_bytes = sum(item.size for item in self.items.values() if item.state is not ItemState.LISTED)
        counts = f"{len(self.items)} {self.state.value} {len(self.results)}"
        return zlib.crc32(f"{self.id} {counts} {self.crc} {kept_bytes}".encode())

    def read(self, offset: int) -> tuple[int, bytes]:
        """The results that may be read from `offset` on, as many as fit: the offset behind them, and their bytes."""
        size = 0
        end = offset
        while end < self.readable:
            size += len(self.results[end]) + 1
            if size > MAX_READ_BYTES and end > offset:
                break
            end += 1
        return end, b",".join(self.results[offset:end])
