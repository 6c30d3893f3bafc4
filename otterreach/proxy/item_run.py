"""The state of one item of a batch job at this proxy: its assignment, phase and generated text."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from otterreach.jobstore.messages import AssignItems, WorkItem
from otterreach.proxy.events import EventReader, Transcript, versions_of
from otterreach.proxy.exchange import Exchange
from otterreach.proxy.fleet import Server
from otterreach.proxy.outbound import HOP_BY_HOP_HEADERS, PROXY_HEADERS, Headers, Outbound
from otterreach.runtime.configuration import Route

MAX_WAIT_MARGIN_S = 0.5  # added to maxWaitS, for clock differences and message delays
OVERWRITTEN_HEADERS = HOP_BY_HOP_HEADERS | PROXY_HEADERS | {b"host", b"request-id", b"last-event-id", b"expect-version"}


class Phase(Enum):
    """The phase of an item."""

    NEW = auto()
    QUEUED = auto()  # waiting for a server
    RUNNING = auto()
    PAUSED = auto()  # between a failed attempt and the queue
    REWARDING = auto()
    REPORTING = auto()
    DONE = auto()


class Reason:
    """Reasons for a permanent failure of an item, as reported to the job store."""

    WAITED = "waited"
    ROUTE_GONE = "route_gone"
    UNPROCESSABLE = "unprocessable"
    FAILED = "failed"
    REWARD_FAILED = "reward_failed"


class StopReason:
    """Reasons for which this proxy ends an attempt."""

    VERSION = "version"
    GAP = "gap"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Placement:
    """The route and the server of an attempt."""

    route: Route
    server: Server


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The decision to abandon an item."""

    reason: str


class ItemRun:
    """One item, from its assignment until its result is reported or it is returned."""

    def __init__(self, assign: AssignItems, work: WorkItem, now: float, order: int) -> None:
        self.order = order
        self.job = assign.job
        self.item = work.item
        self.host = assign.host
        self.model = assign.model
        self.min_version = assign.min_version
        self.due = now + assign.left_ms / 1000
        self.abandon_at = now + assign.wait_ms / 1000 + MAX_WAIT_MARGIN_S
        self.work = work
        self.path = work.path.partition("?")[0]
        self.phase = Phase.NEW
        self.task: asyncio.Task[None] | None = None
        self.placement: Placement | Abandoned | None = None
        self.next_server: asyncio.Future[None] | None = None  # set while it waits for its next server
        self.failures = max(0, work.failures)  # answers with status 500, including those at earlier proxies
        self.reward_failures = 0
        self.retries = 0  # since an attempt last generated an event
        # End of the last attempt that was answered and may have been executed; before the first, time of assignment.
        self.left_server_at = now
        self.unreachable = 0  # consecutive attempts without any answer from their server
        self.avoided: set[str] = set()  # ids of the servers that failed last
        self.route_missing_since: float | None = None
        self.transcript = Transcript()
        self.exchange: Exchange | None = None
        self.server: Server | None = None
        self.events = 0  # received in the current attempt
        self.outbound = self._outbound()

    def _outbound(self) -> Outbound:
        given: dict[str, Any] = json.loads(self.work.headers or "{}")
        headers = {name.lower().encode("latin-1"): str(value).encode("latin-1") for name, value in given.items()}
        headers = {name: value for name, value in headers.items() if name not in OVERWRITTEN_HEADERS}
        ident = self.item.encode()
        headers |= {b"host": self.host.encode(), b"request-id": ident}
        return Outbound(b"POST", self.work.path.encode("latin-1"), headers, self.work.body, ident)

    @property
    def key(self) -> tuple[str, str]:
        """The unique key of the item."""
        return self.job, self.item

    @property
    def text_version(self) -> int | None:
        """The weight version that generated the last part of the text."""
        return self.transcript.versions[-1] if self.transcript.versions else None

    def restart(self) -> None:
        """Discard the generated text."""
        self.transcript = Transcript()


class ItemAttempt:
    """One attempt of an item; appends the received events to its transcript."""

    def __init__(self, run: ItemRun, server: Server, single_version: bool) -> None:
        self.run = run
        self.server = server
        self.single_version = single_version
        self.valid = False  # the head was that of a text, and all events since were in sequence
        self.reader = EventReader()

    def on_head(self, status: int, headers: Headers) -> None:
        """Process the status and headers of the answer."""
        run = self.run
        version = versions_of(headers.get(b"weight-versions"))
        if version is not None:
            self.server.learn_version(run.model, version)
        self.valid = 200 <= status < 300 and b"reply-seal" in headers and b"content-encoding" not in headers
        if not self.valid:
            return
        if not self._accepts(version):
            self._stop(StopReason.VERSION)
        else:
            run.transcript.version = version

    def on_body(self, data: bytes) -> None:
        """Process bytes of the answer's body."""
        for event in self.reader.feed(data):
            if not self.valid:
                return
            if event.version is not None:
                self.server.learn_version(self.run.model, event.version)
                if not self._accepts(event.version):
                    self._stop(StopReason.VERSION)
                    return
            if not self.run.transcript.append(event):
                self._stop(StopReason.GAP)
                return
            self.run.events += 1

    def _accepts(self, version: int | None) -> bool:
        """Return True if the text may be continued under this version."""
        if version is None:
            return self.run.min_version <= 1
        versions = self.run.transcript.versions
        return version >= self.run.min_version and not (self.single_version and versions and versions != [version])

    def _stop(self, reason: str) -> None:
        self.valid = False
        if self.run.exchange:
            self.run.exchange.give_up(reason)
