"""What the newest configuration says of the routes that batch jobs came by."""

from __future__ import annotations

from typing import Any

from otterreach.jobstore.dispatch import Terms
from otterreach.jobstore.jobs import Job
from otterreach.runtime.node import Node

DEFAULT_TERMS = Terms(60.0, 1e9)
GONE_AFTER_S = 1.0  # so much newer than a batch job a configuration has to be to say that its route is gone


class JobRoutes:
    """Reads the copy of the control state at this process."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self._routes: tuple[int, dict[str, Any]] = (-1, {})  # by the configuration's rev
        self._slots: tuple[int, int] = (-1, 0)  # by the store's rev

    def of(self, job: Job) -> Any:
        """The route of a batch job in the newest configuration here; None if it isn't in it."""
        item = self.node.store.items.get("config")
        if item is None:
            return None
        if item.rev != self._routes[0]:
            config = self.node.store.get("config") or {}
            self._routes = (item.rev, {str(r.get("name")): r for r in config.get("routes") or []})
        return self._routes[1].get(job.route)

    def is_gone(self, job: Job) -> bool:
        """Surely: the configuration here is from after the batch job came, by a route of that name."""
        known = self.node.store.items.get("config") is not None
        return known and self.of(job) is None and self.node.follower.root_at > job.at + GONE_AFTER_S

    def terms(self, job: Job) -> Terms:
        """When results of a batch job are due."""
        route = self.of(job)
        if route is None:
            return DEFAULT_TERMS
        due, wait = route.get("dueMs"), route.get("maxWaitS")
        return Terms(due / 1000 if due else DEFAULT_TERMS.due_s, wait or DEFAULT_TERMS.max_wait_s)

    def item_slots(self) -> int:
        """The slots of all servers of the services that batch jobs go to."""
        store = self.node.store
        if self._slots[0] != store.rev:
            services = self._rollout_services()
            servers = [s for s in store.named("server").values() if s["backend"] in services and s["state"] == "up"]
            self._slots = (store.rev, sum(s["cap"] for s in servers))
        return self._slots[1]

    def _rollout_services(self) -> set[str]:
        routes = (self.node.store.get("config") or {}).get("routes") or []
        return {
            name
            for r in routes
            if r.get("kind") == "rollout"
            for name in (r.get("backend"), *(s.get("backend") for s in r.get("split") or ()))
        }
