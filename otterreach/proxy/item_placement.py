"""Where an item may go now: by its route, by the version of the weights, by the slots of the servers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from otterreach.proxy.directory import JobStoreDirectory
from otterreach.proxy.fleet import Fleet, Server
from otterreach.proxy.item_return import Obstacle
from otterreach.proxy.item_run import Abandoned, ItemRun, Placement, Reason
from otterreach.runtime.configuration import ROLLOUT, Route

OVERCOMMIT = 1.1  # items at once over this proxy's share of the slots: servers have a queue
MIN_PER_SERVER = 2
SHARE_WAIT_S = 2.0  # an item that has been at no server for so long is not bound by this proxy's share
ROUTE_GONE_S = 3.0  # a route must be missing for so long before its items are given up for it


@dataclass(frozen=True, slots=True)
class Need:
    """What an item asks of a server."""

    job: str
    route: str
    text_version: int | None
    has_waited_long: bool


class ItemPlacer:
    """Finds servers for items."""

    def __init__(self, fleet: Fleet, directory: JobStoreDirectory) -> None:
        self.fleet = fleet
        self.directory = directory

    def place(self, run: ItemRun) -> Placement | Abandoned | Obstacle:
        """Where it may go now; or that it is given up; or what is in its way."""
        route = self._route(run)
        if reason := self._reason_to_give_up(run):
            return Abandoned(reason)
        if route is None:
            return Obstacle.NO_ROUTE
        if not self.directory.is_confirmed_recently(run.job):
            return Obstacle.NOT_CONFIRMED
        if self._version_is_gone(run, route):
            run.restart()
        server = self.fleet.pick(route, run.avoided, self.filter_for(run, route.single))
        return Placement(route, server) if server else self._obstacle(run, route)

    def need(self, run: ItemRun) -> Need:
        """What decides where an item may go: two with the same need find servers together, or neither does."""
        route = self.fleet.config.route(run.host, run.path)
        return Need(run.job, route.name if route else "", run.text_version, self._has_waited_long(run))

    def _has_waited_long(self, run: ItemRun) -> bool:
        return self.fleet.loop.time() - run.left_server_at > SHARE_WAIT_S

    def _obstacle(self, run: ItemRun, route: Route) -> Obstacle:
        """Why no server was found."""
        open_servers = [s for s in self.fleet.servers.values() if s.open and route.allows(s.service)]
        fitting = [server for server in open_servers if self._has_version(server, run, route.single)]
        if not fitting:
            return Obstacle.NO_SERVER
        has_room = any(server.estimate.in_flight < self._share_of(server, run) for server in fitting)
        return Obstacle.NO_CONNECTION if has_room else Obstacle.SERVERS_FULL

    def filter_for(self, run: ItemRun, single_version: bool) -> Callable[[Server], bool]:
        """Which servers may get it: with weights new enough, and with a slot for one more of this proxy's."""

        def fits(server: Server) -> bool:
            """Whether this server may get the item now."""
            has_room = server.estimate.in_flight < self._share_of(server, run)
            return has_room and self._has_version(server, run, single_version)

        return fits

    @staticmethod
    def _has_version(server: Server, run: ItemRun, single_version: bool) -> bool:
        """Whether the weights at this server are new enough, and the text's own where it may have one version alone."""
        wanted = run.text_version if single_version else None
        version = server.versions.get(run.model)
        if version is None:
            return run.min_version <= 1
        return version >= run.min_version and (wanted is None or version == wanted)

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

    def _share_of(self, server: Server, run: ItemRun) -> int:
        """How many this proxy may have there at once.

        Danger: after a change of version one server may be the only one that fits, and all proxies would fill its
        queue. An item that has waited for long goes where there is room: others may have left their shares unused.
        """
        if not self.fleet.draw.policy.share_slots:
            return server.cap
        if self._has_waited_long(run) and server.estimate.has_spare_room(server.cap, self.fleet.loop.time()):
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
