"""When a proxy pings which job store node.

A node is pinged at short intervals while its answers matter: it serves a batch job with items here, it has not answered
the last ping, or it was told a load that is no longer true. All others, which are most of them, are pinged at long
intervals: messages then grow with the work, not with proxies times nodes. Pure: time and chance are handed in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

SHORT_INTERVAL_S = 0.25
LONG_INTERVAL_S = 2.0
LONG_INTERVAL_SPREAD = 0.3  # of it: not all proxies ping at the same moment
LOAD_CHANGE_SHARE = 0.25  # of the slots: a change that other nodes are told at the short interval
TICK_TOLERANCE_S = SHORT_INTERVAL_S / 2  # the schedule is read at ticks, which come a little early or late


@dataclass(frozen=True, slots=True)
class ItemLoad:
    """What a proxy tells of its items: slots, free slots, and the batch jobs of which something is here."""

    slots: int
    free: int
    jobs: tuple[str, ...] = ()

    def differs_from(self, reported: ItemLoad) -> bool:
        """Whether one who was told `reported` would assign too much or too little."""
        if self.slots != reported.slots:
            return True
        return abs(self.free - reported.free) > self.slots * LOAD_CHANGE_SHARE


@dataclass(slots=True)
class NodePings:
    """The pings to one node."""

    sent_at: float
    reported: ItemLoad
    interval_s: float  # to the next one, where nothing makes it urgent
    is_answered: bool = False


class PingSchedule:
    """The pings to all job store nodes, by address."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pings: dict[str, NodePings] = {}

    def due(self, addresses: Iterable[str], urgent: set[str], load: ItemLoad, now: float) -> list[str]:
        """The addresses to ping now. `urgent`: those that serve batch jobs with items here."""
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
        """A ping has left."""
        interval_s = LONG_INTERVAL_S * (1 - LONG_INTERVAL_SPREAD * self._random.random())
        self._pings[address] = NodePings(now, load, interval_s)

    def answered(self, address: str) -> None:
        """The last ping to this address has been answered."""
        pings = self._pings.get(address)
        if pings is not None:
            pings.is_answered = True
