"""Failure detector: the last heartbeats of members and servers, as received here or reported by watchers.

Each sender's heartbeats go to two controllers, its watchers, which report them to the primary. Times are on the
monotonic clock of this process. The detector takes no action on missing heartbeats, and safety does not depend on it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from otterreach.controller.messages import LastHeartbeat, LivenessReport

HEARTBEAT_TIMEOUT_S = 0.9  # a member without a heartbeat at any watcher for this long counts as dead
NEVER_S = -1e9


class FailureDetector:
    """The last heartbeat of each member, by member id, and of each server, by its id."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.last_heartbeat: dict[str, float] = {}
        self.last_server_heartbeat: dict[str, float] = {}
        self._shut_down_at: dict[str, float] = {}

    # Updates -------------------------------------------------------------------------------------

    def record_heartbeat(self, member: str) -> None:
        """Record a member's heartbeat that has just arrived here."""
        self.last_heartbeat[member] = self.clock()

    def record_server_heartbeat(self, server: str) -> None:
        """Record a server's heartbeat that has just arrived here."""
        self.last_server_heartbeat[server] = self.clock()

    def record_shutdown(self, member: str) -> None:
        """Record that a member has announced its shutdown; it counts as dead until its next heartbeat."""
        now = self.clock()
        self.last_heartbeat[member] = now - 2 * HEARTBEAT_TIMEOUT_S
        self._shut_down_at[member] = now

    def record_report(self, report: LivenessReport) -> None:
        """Merge a watcher's report of the heartbeats that it received."""
        now = self.clock()
        self._merge(self.last_heartbeat, report.nodes, now)
        self._merge(self.last_server_heartbeat, report.servers, now)

    @staticmethod
    def _merge(known: dict[str, float], reported: Iterable[LastHeartbeat], now: float) -> None:
        for heartbeat in reported:
            heartbeat_at = now - heartbeat.age_ms / 1000
            known[heartbeat.name] = max(known.get(heartbeat.name, NEVER_S), heartbeat_at)

    def assume_alive(self, members: Iterable[str], servers: Iterable[str]) -> None:
        """Count all of these as alive now. Called by a new primary, which does not know yet which of them are dead."""
        now = self.clock()
        for member in members:
            self.last_heartbeat[member] = now
        for server in servers:
            self.last_server_heartbeat[server] = now

    # Reports and queries -------------------------------------------------------------------------

    def report_since(self, watcher: str, since: float) -> LivenessReport:
        """Return a report to the primary of the heartbeats that arrived since `since`."""
        return LivenessReport(
            watcher,
            self._heartbeats_since(self.last_heartbeat, since),
            self._heartbeats_since(self.last_server_heartbeat, since),
        )

    def _heartbeats_since(self, known: dict[str, float], since: float) -> list[LastHeartbeat]:
        now = self.clock()
        return [LastHeartbeat(name, int((now - at) * 1000)) for name, at in known.items() if at >= since]

    def is_in_contact(self, member: str) -> bool:
        """Return True if this member's last heartbeat is more recent than HEARTBEAT_TIMEOUT_S."""
        return self.clock() - self.last_heartbeat.get(member, NEVER_S) < HEARTBEAT_TIMEOUT_S

    def is_alive(self, member: str) -> bool:
        """Return True if this member's last heartbeat is recent and not older than any shutdown that it announced."""
        last_heartbeat = self.last_heartbeat.get(member, NEVER_S)
        return self.is_in_contact(member) and last_heartbeat >= self._shut_down_at.get(member, NEVER_S)

    def seconds_since_heartbeat(self, member: str) -> float:
        """Return the seconds since this member's last heartbeat; for an unknown member the time counts from now."""
        now = self.clock()
        return now - self.last_heartbeat.setdefault(member, now)

    def seconds_since_server_heartbeat(self, server: str) -> float:
        """Return the seconds since this server's last heartbeat; for an unknown server the time counts from now."""
        now = self.clock()
        return now - self.last_server_heartbeat.setdefault(server, now)
