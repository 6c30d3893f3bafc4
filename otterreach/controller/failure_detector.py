"""Who is alive: the last heartbeats of members and servers, as received here and as watchers report them.

Heartbeats go to two controllers each (the watchers); watchers report them to the primary. Times are the monotonic
clock of this process. Nothing here decides what follows from silence, and safety never rests on it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from otterreach.controller.messages import LastHeartbeat, LivenessReport

HEARTBEAT_TIMEOUT_S = 0.9  # a member that no watcher has heard for so long is taken to be dead
NEVER_S = -1e9


class FailureDetector:
    """The last heartbeat of each member, by member id, and of each server, by its id."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.last_heartbeat: dict[str, float] = {}
        self.last_server_heartbeat: dict[str, float] = {}
        self._shut_down_at: dict[str, float] = {}

    # What is learned -----------------------------------------------------------------------------

    def record_heartbeat(self, member: str) -> None:
        """A member's heartbeat has just arrived here."""
        self.last_heartbeat[member] = self.clock()

    def record_server_heartbeat(self, server: str) -> None:
        """A server's heartbeat has just arrived here."""
        self.last_server_heartbeat[server] = self.clock()

    def record_shutdown(self, member: str) -> None:
        """A member has said that it ends: it counts as dead until it is heard again."""
        now = self.clock()
        self.last_heartbeat[member] = now - 2 * HEARTBEAT_TIMEOUT_S
        self._shut_down_at[member] = now

    def record_report(self, report: LivenessReport) -> None:
        """A watcher has told whose heartbeats it received."""
        now = self.clock()
        self._merge(self.last_heartbeat, report.nodes, now)
        self._merge(self.last_server_heartbeat, report.servers, now)

    @staticmethod
    def _merge(known: dict[str, float], reported: Iterable[LastHeartbeat], now: float) -> None:
        for heartbeat in reported:
            heartbeat_at = now - heartbeat.age_ms / 1000
            known[heartbeat.name] = max(known.get(heartbeat.name, NEVER_S), heartbeat_at)

    def assume_alive(self, members: Iterable[str], servers: Iterable[str]) -> None:
        """Count all of these as heard just now: a new primary does not know yet who is dead."""
        now = self.clock()
        for member in members:
            self.last_heartbeat[member] = now
        for server in servers:
            self.last_server_heartbeat[server] = now

    # Reports and queries -------------------------------------------------------------------------

    def report_since(self, watcher: str, since: float) -> LivenessReport:
        """The heartbeats that arrived since then, for the primary."""
        return LivenessReport(
            watcher,
            self._heartbeats_since(self.last_heartbeat, since),
            self._heartbeats_since(self.last_server_heartbeat, since),
        )

    def _heartbeats_since(self, known: dict[str, float], since: float) -> list[LastHeartbeat]:
        now = self.clock()
        return [LastHeartbeat(name, int((now - at) * 1000)) for name, at in known.items() if at >= since]

    def is_in_contact(self, member: str) -> bool:
        """Whether a heartbeat of this member is younger than the time-out."""
        return self.clock() - self.last_heartbeat.get(member, NEVER_S) < HEARTBEAT_TIMEOUT_S

    def is_alive(self, member: str) -> bool:
        """Whether this member was heard recently, and after any shutdown that it announced."""
        last_heartbeat = self.last_heartbeat.get(member, NEVER_S)
        return self.is_in_contact(member) and last_heartbeat >= self._shut_down_at.get(member, NEVER_S)

    def seconds_since_heartbeat(self, member: str) -> float:
        """Seconds since this member was last heard; of one that is new here the time counts from now."""
        now = self.clock()
        return now - self.last_heartbeat.setdefault(member, now)

    def seconds_since_server_heartbeat(self, server: str) -> float:
        """Seconds since this server was last heard; of one that is new here the time counts from now."""
        now = self.clock()
        return now - self.last_server_heartbeat.setdefault(server, now)
