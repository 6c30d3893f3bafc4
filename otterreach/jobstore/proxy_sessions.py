"""Which proxies are connected, and which items each has. Dispatching decides what they get (dispatcher.py)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from otterreach.jobstore.job import Job, JobItem
from otterreach.jobstore.messages import ProxyPing
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Link

PING_TIMEOUT_S = 0.9  # a proxy with items whose pings stop for so long is lost
IDLE_MARGIN_S = 0.65  # one without items: so much later than it said that its next ping would come
MAX_INTERVAL_S = 5.0  # no proxy is taken to be there for longer than this and the margin
RECONNECT_S = 0.35  # one whose connection ended may come back by another
LATE_TICK_S = 0.3  # this process stood still: the silence is its own
FORGET_S = 60.0  # a lost proxy is remembered so long

ItemKey = tuple[str, str]  # the ids of the job and of the item


@dataclass(frozen=True, slots=True)
class AssignedItem:
    """An item at a proxy."""

    job: Job
    item: JobItem

    @property
    def key(self) -> ItemKey:
        """Its key among the items of a proxy."""
        return self.job.id, self.item.id


class SessionState(Enum):
    """Whether a proxy is there."""

    LIVE = "live"
    DISCONNECTED = "disconnected"  # its connection ended
    LOST = "lost"


@dataclass(slots=True)
class ProxySession:
    """A proxy that runs items."""

    node: str
    link: Link
    pinged_at: float
    slots: int = 0
    free: int = 0
    interval_s: float = 0.0  # between its pings while it has no items from here, as it said
    items_since: float = 0.0  # when it got items from here, having had none
    incarnation: int = 0
    state: SessionState = SessionState.LIVE
    disconnected_at: float = 0.0
    items: dict[ItemKey, AssignedItem] = field(default_factory=dict)
    assigned_at: dict[str, float] = field(default_factory=dict)  # by job: when it was last sent items of it

    @property
    def load(self) -> float:
        """Items there against its slots, those of other job store nodes included as far as they run."""
        if self.slots <= 0:
            return float("inf")
        return max(len(self.items), self.slots - self.free) / self.slots

    @property
    def can_be_assigned(self) -> bool:
        """Whether messages to it may arrive."""
        return self.state is SessionState.LIVE and not self.link.closed

    def add(self, assigned: AssignedItem, now: float) -> None:
        """It has this item from now on."""
        if not self.items:
            self.items_since = now
        self.items[assigned.key] = assigned

    def has_timed_out(self, now: float) -> bool:
        """Whether its pings have stopped for longer than it may be silent."""
        if not self.items:
            return now - self.pinged_at > max(PING_TIMEOUT_S, self.interval_s + IDLE_MARGIN_S)
        return now - max(self.pinged_at, self.items_since) > PING_TIMEOUT_S

    def remove_job(self, job: str) -> None:
        """It has no items of this job any more."""
        for key in [key for key in self.items if key[0] == job]:
            del self.items[key]


class ProxySessions:
    """The proxies by their node names."""

    def __init__(self, now: Callable[[], float], return_items: Callable[[Iterable[AssignedItem]], None]) -> None:
        """:param return_items: called with the items that a proxy does not have any more"""
        self.now = now
        self.return_items = return_items
        self.by_node: dict[str, ProxySession] = {}
        self._ticked_at = now()

    def handle_ping(self, link: Link, ping: ProxyPing) -> tuple[ProxySession, bool]:
        """A proxy is there. Returns its session, and whether it has come by another connection.

        Another incarnation of it has none of the items that it had.
        """
        now = self.now()
        session = self.by_node.get(ping.node)
        if session is None:
            session = ProxySession(ping.node, link, now, incarnation=ping.incarnation)
            self.by_node[ping.node] = session
            self._watch(session, link)
        if session.incarnation != ping.incarnation or session.state is SessionState.LOST:
            self._take_items(session)
            session.incarnation = ping.incarnation
        session.pinged_at = now
        session.slots = ping.slots
        session.free = ping.free
        session.interval_s = min(max(0, ping.interval_ms) / 1000, MAX_INTERVAL_S)
        reconnected = session.link is not link
        if reconnected:
            session.link = link
            self._watch(session, link)
        return session, reconnected

    def become(self, session: ProxySession, state: SessionState) -> None:
        """The one function that changes the state of a session."""
        if session.state is state:
            return
        session.state = state
        if state is SessionState.DISCONNECTED:
            session.disconnected_at = self.now()
        elif state is SessionState.LOST:
            log("proxy_lost", proxy=session.node, items=len(session.items))
            self._take_items(session)

    def _watch(self, session: ProxySession, link: Link) -> None:
        def closed(gone: Link) -> None:
            """The connection has ended; one that a newer connection has replaced does not matter."""
            if session.link is gone and session.state is SessionState.LIVE:
                self.become(session, SessionState.DISCONNECTED)

        link.on_close.append(closed)

    def _take_items(self, session: ProxySession) -> None:
        items = session.items
        session.items = {}
        self.return_items(items.values())

    def of_job(self, job: Job) -> list[ProxySession]:
        """The proxies that were assigned items of a job."""
        return [self.by_node[node] for node in job.proxies if node in self.by_node]

    def remove_item(self, job: Job, item: JobItem) -> None:
        """No proxy has this item any more."""
        for session in self.of_job(job):
            session.items.pop((job.id, item.id), None)

    def tick(self) -> None:
        """Look for proxies that are lost; called about ten times a second."""
        now = self.now()
        late = now - self._ticked_at > LATE_TICK_S
        self._ticked_at = now
        for session in list(self.by_node.values()):
            if late:  # what they sent is still to be read
                session.pinged_at = now
                session.disconnected_at = now
            elif self._has_timed_out(session, now):
                self.become(session, SessionState.LOST)
            elif session.state is SessionState.LOST and now - session.pinged_at > FORGET_S:
                del self.by_node[session.node]

    @staticmethod
    def _has_timed_out(session: ProxySession, now: float) -> bool:
        if session.state is SessionState.LIVE:
            return session.has_timed_out(now)
        return session.state is SessionState.DISCONNECTED and now - session.disconnected_at > RECONNECT_S
