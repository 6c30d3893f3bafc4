"""Sessions of the connected proxies, with the items that each has. The dispatcher decides on assignments."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from otterreach.jobstore.job import Job, JobItem
from otterreach.jobstore.messages import ProxyPing
from otterreach.runtime.log import log
from otterreach.runtime.rpc_link import Link

PING_TIMEOUT_S = 0.9  # a proxy with items is lost after this time without a ping
IDLE_MARGIN_S = 0.65  # a proxy without items is lost this long after its next ping was announced for
MAX_INTERVAL_S = 5.0  # upper bound of the announced ping interval, so that a lost proxy is detected in any case
RECONNECT_TIMEOUT_S = 0.35  # a disconnected proxy may reconnect within this time
LATE_TICK_S = 0.3  # after a longer pause between ticks this process was stalled, not the proxies
LOST_SESSION_RETENTION_S = 60.0  # the session of a lost proxy is removed after this time

ItemKey = tuple[str, str]  # the ids of the job and of the item


@dataclass(frozen=True, slots=True)
class AssignedItem:
    """An item that is assigned to a proxy."""

    job: Job
    item: JobItem

    @property
    def key(self) -> ItemKey:
        """The item's key among the items of a proxy."""
        return self.job.id, self.item.id


class SessionState(Enum):
    """The state of a proxy's session."""

    LIVE = "live"
    DISCONNECTED = "disconnected"  # the connection ended; the proxy may reconnect
    LOST = "lost"


@dataclass(slots=True)
class ProxySession:
    """The session of one proxy."""

    node: str
    link: Link
    pinged_at: float
    slots: int = 0
    free: int = 0
    interval_s: float = 0.0  # the announced interval of its pings while it has no items from this node
    items_since: float = 0.0  # when it was assigned an item from this node while it had none
    incarnation: int = 0
    state: SessionState = SessionState.LIVE
    disconnected_at: float = 0.0
    items: dict[ItemKey, AssignedItem] = field(default_factory=dict)
    assigned_at: dict[str, float] = field(default_factory=dict)  # by job: when items of the job were last sent to it

    @property
    def load(self) -> float:
        """The ratio of items to slots. Items of other job store nodes count once they run."""
        if self.slots <= 0:
            return float("inf")
        return max(len(self.items), self.slots - self.free) / self.slots

    @property
    def can_be_assigned(self) -> bool:
        """True if messages can be sent to the proxy."""
        return self.state is SessionState.LIVE and not self.link.closed

    def add(self, assigned: AssignedItem, now: float) -> None:
        """Add an item that has been assigned to the proxy."""
        if not self.items:
            self.items_since = now
        self.items[assigned.key] = assigned

    def has_timed_out(self, now: float) -> bool:
        """Return True if the proxy has not pinged for longer than its time-out."""
        if not self.items:
            return now - self.pinged_at > max(PING_TIMEOUT_S, self.interval_s + IDLE_MARGIN_S)
        return now - max(self.pinged_at, self.items_since) > PING_TIMEOUT_S

    def remove_job(self, job: str) -> None:
        """Remove all items of this job."""
        for key in [key for key in self.items if key[0] == job]:
            del self.items[key]


class ProxySessions:
    """The sessions of all proxies, by node name."""

    def __init__(self, now: Callable[[], float], return_items: Callable[[Iterable[AssignedItem]], None]) -> None:
        """:param return_items: called with the items that a proxy no longer has"""
        self.now = now
        self.return_items = return_items
        self.by_node: dict[str, ProxySession] = {}
        self._ticked_at = now()

    def handle_ping(self, link: Link, ping: ProxyPing) -> tuple[ProxySession, bool]:
        """Update the session of a proxy. Return it, and True if the ping came over another connection than before.

        A new incarnation of the proxy has none of the items that the previous one had.
        """
        now = self.now()
        session = self.by_node.get(ping.node)
        if session is None:
            session = ProxySession(ping.node, link, now, incarnation=ping.incarnation)
            self.by_node[ping.node] = session
            self._watch(session, link)
        if session.incarnation != ping.incarnation or session.state is SessionState.LOST:
            self._release_items(session)
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
        """Change the state of a session. No other function does."""
        if session.state is state:
            return
        session.state = state
        if state is SessionState.DISCONNECTED:
            session.disconnected_at = self.now()
        elif state is SessionState.LOST:
            log("proxy_lost", proxy=session.node, items=len(session.items))
            self._release_items(session)

    def _watch(self, session: ProxySession, link: Link) -> None:
        def closed(gone: Link) -> None:
            """Handle the end of a connection, unless a newer one has replaced it."""
            if session.link is gone and session.state is SessionState.LIVE:
                self.become(session, SessionState.DISCONNECTED)

        link.on_close.append(closed)

    def _release_items(self, session: ProxySession) -> None:
        items = session.items
        session.items = {}
        self.return_items(items.values())

    def of_job(self, job: Job) -> list[ProxySession]:
        """Return the sessions of the proxies that were assigned items of a job."""
        return [self.by_node[node] for node in job.proxies if node in self.by_node]

    def remove_item(self, job: Job, item: JobItem) -> None:
        """Remove an item from all sessions."""
        for session in self.of_job(job):
            session.items.pop((job.id, item.id), None)

    def tick(self) -> None:
        """Check for lost proxies; called about ten times per second."""
        now = self.now()
        late = now - self._ticked_at > LATE_TICK_S
        self._ticked_at = now
        for session in list(self.by_node.values()):
            if late:  # pings that arrived during the pause are not yet read
                session.pinged_at = now
                session.disconnected_at = now
            elif self._has_timed_out(session, now):
                self.become(session, SessionState.LOST)
            elif session.state is SessionState.LOST and now - session.pinged_at > LOST_SESSION_RETENTION_S:
                del self.by_node[session.node]

    @staticmethod
    def _has_timed_out(session: ProxySession, now: float) -> bool:
        if session.state is SessionState.LIVE:
            return session.has_timed_out(now)
        return session.state is SessionState.DISCONNECTED and now - session.disconnected_at > RECONNECT_TIMEOUT_S
