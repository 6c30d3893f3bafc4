"""The schedule of a proxy's pings to the job store nodes.

A node is pinged at the short interval if it serves a batch job with items here, has not answered the last ping, or was
last sent load figures (`ItemLoad`) that are outdated. All others, which are most of them, are pinged at the long
interval, so that the number of messages grows with the work and not with proxies times nodes. The schedule is
deterministic: the time and the random generator are passed in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

SHORT_INTERVAL_S = 0.25
LONG_INTERVAL_S = 2.0
LONG_INTERVAL_SPREAD = 0.3  # jitter, as a share of the long interval, so that proxies don't ping simultaneously
LOAD_CHANGE_SHARE = 0.25  # change of free slots, as a share of all slots, that is reported at the short interval
TICK_TOLERANCE_S = SHORT_INTERVAL_S / 2  # the schedule is evaluated at ticks, which may be slightly early or late


@dataclass(frozen=True, slots=True)
class ItemLoad:
    """The load that a proxy reports: its slots, its free slots, and the batch jobs that have items here."""

    slots: int
    free: int
    jobs: tuple[str, ...] = ()

    def differs_from(self, reported: ItemLoad) -> bool:
        """Return True if a node that knows only `reported` would assign too many or too few items."""
        if self.slots != reported.slots:
            return True
        return abs(self.free - reported.free) > self.slots * LOAD_CHANGE_SHARE


@dataclass(slots=True)
class NodePings:
    """The state of the pings to one node."""

    sent_at: float
    reported: ItemLoad
    interval_s: float  # until the next ping, unless it becomes urgent
    is_answered: bool = False


class PingSchedule:
    """Determines the job store nodes to ping, by address."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pings: dict[str, NodePings] = {}

    def due(self, addresses: Iterable[str], urgent: set[str], load: ItemLoad, now: float) -> list[str]:
        """Return the addresses to ping now.

        :param urgent: addresses of the nodes that serve batch jobs with items here
        """
        addresses = list(addresses)
        self._pings = {address: self._pings[address] for address in addresses if address in self._pings}
        return [address for address in addresses if self._is_due(address, address in urgent, load, now)]

    def _is_due(self, address: str, is_urgent: bool, load: ItemLoad, now: float) -> bool:
        pings = self._pings.get(address)
        if pings is None:
            return True
        is_urgent = is_urgent or not pings.is_answered or load.differs_from(pings.reported)
        interval_s = SHORT_INTERVAL_S if is_urgent else pings.interval_s
        return now - pings.sent_at >= interval_s - TICK_TOLERANCE_S

    def sent(self, address: str, load: ItemLoad, now: float) -> None:
        """Record a ping that was sent."""
        interval_s = LONG_INTERVAL_S * (1 - LONG_INTERVAL_SPREAD * self._random.random())
        self._pings[address] = NodePings(now, load, interval_s)

    def answered(self, address: str) -> None:
        """Record the answer to the last ping to this address."""
        pings = self._pings.get(address)
        if pings is not None:
            pings.is_answered = True
