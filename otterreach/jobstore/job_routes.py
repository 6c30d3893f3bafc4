"""The routes of batch jobs, according to the newest configuration."""

from __future__ import annotations

from dataclasses import dataclass

from otterreach.jobstore.job import Job
from otterreach.runtime.configuration import ROLLOUT, Configuration, ConfigurationRecord, Route, read
from otterreach.runtime.node import Node
from otterreach.runtime.records import ServerRecord, key_of

ROUTE_GONE_MARGIN_S = 1.0  # a route counts as gone only by a configuration that is this much newer than the batch job
CONFIGURATION_KEY = key_of(ConfigurationRecord)


@dataclass(frozen=True, slots=True)
class JobDeadlines:
    """The deadlines that a route sets, in seconds since the batch job was received."""

    due_s: float  # results are due
    max_wait_s: float  # items may be listed as errored from then on


DEFAULT_DEADLINES = JobDeadlines(60.0, 1e9)


class JobRoutes:
    """Looks up routes in this process's replica of the control state."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self._configuration = Configuration()
        self._configuration_revision = -1
        self._slots = 0
        self._slots_revision = -1  # of the control state

    def _current(self) -> Configuration | None:
        """Return the newest configuration; None if none is known here."""
        item = self.node.store.items.get(CONFIGURATION_KEY)
        if item is None:
            return None
        if item.revision != self._configuration_revision:
            self._configuration = read(self.node.store.record(ConfigurationRecord))
            self._configuration_revision = item.revision
        return self._configuration

    def route_of(self, job: Job) -> Route | None:
        """Return the route of a batch job; None if the newest configuration here doesn't have it."""
        configuration = self._current()
        return configuration.route_named(job.route) if configuration else None

    def is_gone(self, job: Job) -> bool:
        """Return True if the route is known to be gone: the configuration here is newer than the batch job."""
        if self._current() is None or self.route_of(job) is not None:
            return False
        return self.node.follower.fresh_at > job.received_at + ROUTE_GONE_MARGIN_S

    def deadlines(self, job: Job) -> JobDeadlines:
        """Return when the results of a batch job are due."""
        route = self.route_of(job)
        if route is None:
            return DEFAULT_DEADLINES
        return JobDeadlines(
            route.due_s or DEFAULT_DEADLINES.due_s,
            route.max_wait_s or DEFAULT_DEADLINES.max_wait_s,
        )

    def item_slots(self) -> int:
        """Return the total slots of the servers of the services that batch jobs are routed to."""
        store = self.node.store
        if self._slots_revision != store.revision:
            services = self._rollout_services()
            servers = store.records(ServerRecord).values()
            self._slots = sum(server.capacity for server in servers if server.service in services and server.is_up)
            self._slots_revision = store.revision
        return self._slots

    def _rollout_services(self) -> set[str]:
        configuration = self._current() or Configuration()
        return {name for route in configuration.routes if route.kind == ROLLOUT for name in route.services}
