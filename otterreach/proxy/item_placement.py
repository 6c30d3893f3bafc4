"""Where an item may go now: by its route, by the version of the weights, by the slots of the servers."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

from otterreach.proxy.directory import JobStoreDirectory
from otterreach.proxy.fleet import Fleet, Server
from otterreach.proxy.item_run import Abandoned, ItemRun, Placement, Reason
from otterreach.runtime.configuration import ROLLOUT, Route

OVERCOMMIT = 1.1  # items at once over this proxy's share of the slots: servers have a queue
MIN_PER_SERVER = 2
ROUTE_GONE_S = 3.0  # a route must be missing for so long before its items are given up for it


class ItemPlacer:
    """Finds servers for items."""

    def __init__(self, fleet: Fleet, directory: JobStoreDirectory) -> None:
        self.fleet = fleet
        self.directory = directory

    def place(self, run: ItemRun) -> Placement | Abandoned | None:
        """Where it may go now; or that it is given up; or None: nowhere yet."""
        route = self._route(run)
        if reason := self._reason_to_give_up(run):
            return Abandoned(reason)
        if route is None or not self.directory.is_confirmed_recently(run.job):
            return None
        if self._version_is_gone(run, route):
            run.restart()
        server = self.fleet.pick(route, run.avoided, self.filter_for(run, route.single))
        return Placement(route, server) if server else None

    def filter_for(self, run: ItemRun, single_version: bool) -> Callable[[Server], bool]:
        """Which servers may get it: with weights new enough, and with a slot for one more of this proxy's."""
        wanted = run.text_version if single_version else None

        def fits(server: Server) -> bool:
            """Whether this server may get the item now."""
            if server.estimate.in_flight >= self._share_of(server):
                return False
            version = server.versions.get(run.model)
            if version is None:
                return run.min_version <= 1
            return version >= run.min_version and (wanted is None or version == wanted)

        return fits

    def _route(self, run: ItemRun) -> Route | None:
        """The item's route by the newest configuration. Remembers since when there is none."""
        route = self.fleet.config.route(run.host, run.path)
        if route is not None and route.kind == ROLLOUT:
            run.route_missing_since = None
            return route
        if run.route_missing_since is None:
            run.route_missing_since = self.fleet.loop.time()
        return None

    def _reason_to_give_up(self, run: ItemRun) -> str:
        """Why it is given up, or nothing."""
        now = self.fleet.loop.time()
        missing_since = run.route_missing_since
        if now > run.abandon_at:
            return Reason.WAITED
        if missing_since is not None and now - missing_since > ROUTE_GONE_S and self.fleet.config.version:
            return Reason.ROUTE_GONE
        return ""

    def _share_of(self, server: Server) -> int:
        """How many this proxy may have there at once.

        Danger: after a change of version one server may be the only one that fits, and all proxies would fill its
        queue.
        """
        if not self.fleet.draw.policy.share_slots:
            return server.cap
        share = ceil(server.cap * OVERCOMMIT / self.fleet.runners)
        return min(server.cap, max(MIN_PER_SERVER, share))

    def _version_is_gone(self, run: ItemRun, route: Route) -> bool:
        """What there is was generated under one version, and no server has that version any more."""
        wanted = run.text_version
        if not route.single or wanted is None:
            return False
        return not any(
            server.open and server.versions.get(run.model) == wanted and route.allows(server.service)
            for server in self.fleet.servers.values()
        )
