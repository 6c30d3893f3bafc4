"""Placement of items on model servers by route, weight version and free slots."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from otterreach.proxy.directory import JobStoreDirectory
from otterreach.proxy.fleet import Fleet, Server
from otterreach.proxy.item_return import Obstacle
from otterreach.proxy.item_run import Abandoned, ItemRun, Placement, Reason
from otterreach.runtime.configuration import ROLLOUT, Route

OVERCOMMIT = 1.1  # factor on this proxy's share of a server's slots; the excess waits in the server's queue
MIN_PER_SERVER = 2
SHARE_EXEMPT_AFTER_S = 2.0  # an item that has been at no server for this long is exempt from this proxy's share
ROUTE_MISSING_TIMEOUT_S = 3.0  # time for which a route must be missing before its items are abandoned


@dataclass(frozen=True, slots=True)
class PlacementRequirements:
    """The properties of an item that determine its eligible servers."""

    job: str
    route: str
    text_version: int | None
    has_waited_long: bool


class ItemPlacer:
    """Selects servers for items."""

    def __init__(self, fleet: Fleet, directory: JobStoreDirectory) -> None:
        self.fleet = fleet
        self.directory = directory

    def place(self, run: ItemRun) -> Placement | Abandoned | Obstacle:
        """Return the placement of an item, its abandonment, or the obstacle that keeps it waiting."""
        route = self._route(run)
        if reason := self._reason_to_give_up(run):
            return Abandoned(reason)
        if route is None:
            return Obstacle.NO_ROUTE
        if not self.directory.is_confirmed_recently(run.job):
            return Obstacle.NOT_CONFIRMED
        if self._is_version_unavailable(run, route):
            run.restart()
        server = self.fleet.pick(route, run.avoided, self.filter_for(run, route.single))
        return Placement(route, server) if server else self._obstacle(run, route)

    def requirements(self, run: ItemRun) -> PlacementRequirements:
        """Return the requirements of an item; of two items with equal requirements, both find a server or neither."""
        route = self.fleet.config.route(run.host, run.path)
        return PlacementRequirements(run.job, route.name if route else "", run.text_version, self._has_waited_long(run))

    def _has_waited_long(self, run: ItemRun) -> bool:
        return self.fleet.loop.time() - run.left_server_at > SHARE_EXEMPT_AFTER_S

    def _obstacle(self, run: ItemRun, route: Route) -> Obstacle:
        """Return the reason why no server was found."""
        open_servers = [s for s in self.fleet.servers.values() if s.open and route.allows(s.service)]
        eligible = [server for server in open_servers if self._has_version(server, run, route.single)]
        if not eligible:
            return Obstacle.NO_SERVER
        has_free_slot = any(server.estimate.in_flight < self._share_of(server, run) for server in eligible)
        return Obstacle.NO_CONNECTION if has_free_slot else Obstacle.SERVERS_FULL

    def filter_for(self, run: ItemRun, single_version: bool) -> Callable[[Server], bool]:
        """Return a predicate: the server has recent enough weights and this proxy has a slot left there."""

        def fits(server: Server) -> bool:
            """Return True if the item may be sent to this server now."""
            has_free_slot = server.estimate.in_flight < self._share_of(server, run)
            return has_free_slot and self._has_version(server, run, single_version)

        return fits

    @staticmethod
    def _has_version(server: Server, run: ItemRun, single_version: bool) -> bool:
        """Return True if the server's weights are recent enough for the item.

        With `single_version`, a text must be continued under the version that generated it.
        """
        wanted = run.text_version if single_version else None
        version = server.versions.get(run.model)
        if version is None:
            return run.min_version <= 1
        return version >= run.min_version and (wanted is None or version == wanted)

    def _route(self, run: ItemRun) -> Route | None:
        """Return the item's route in the newest configuration, or None and record since when it has been missing."""
        route = self.fleet.config.route(run.host, run.path)
        if route is not None and route.kind == ROLLOUT:
            run.route_missing_since = None
            return route
        if run.route_missing_since is None:
            run.route_missing_since = self.fleet.loop.time()
        return None

    def _reason_to_give_up(self, run: ItemRun) -> str:
        """Return the reason to abandon the item, or an empty string."""
        now = self.fleet.loop.time()
        missing_since = run.route_missing_since
        if now > run.abandon_at:
            return Reason.WAITED
        if missing_since is not None and now - missing_since > ROUTE_MISSING_TIMEOUT_S and self.fleet.config.version:
            return Reason.ROUTE_GONE
        return ""

    def _share_of(self, server: Server, run: ItemRun) -> int:
        """Return the number of items that this proxy may have at the server at once.

        Right after a version change, one server may be the only eligible one; without the share, all proxies would fill
        its queue. An item that has waited for SHARE_EXEMPT_AFTER_S may use any spare capacity, because other proxies
        may leave their shares unused.
        """
        if not self.fleet.draw.policy.share_slots:
            return server.cap
        if self._has_waited_long(run) and server.estimate.has_spare_capacity(server.cap, self.fleet.loop.time()):
            return server.cap
        share = ceil(server.cap * OVERCOMMIT / self.fleet.runners)
        return min(server.cap, max(MIN_PER_SERVER, share))

    def _is_version_unavailable(self, run: ItemRun, route: Route) -> bool:
        """Return True if the text must keep the version that generated it and no open server has that version."""
        wanted = run.text_version
        if not route.single or wanted is None:
            return False
        return not any(
            server.open and server.versions.get(run.model) == wanted and route.allows(server.service)
            for server in self.fleet.servers.values()
        )
