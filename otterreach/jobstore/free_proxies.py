"""The proxies with free capacity in one round of assignments: least loaded first, ties broken at random."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from random import Random

from otterreach.jobstore.assignment_blocks import AssignmentBlocks
from otterreach.jobstore.placement import choose_runners
from otterreach.jobstore.proxy_sessions import ProxySession

MAX_LOAD = 1.5  # items per slot of a proxy


class FreeProxies:
    """The free proxies in one round of assignments, from the sessions at its start."""

    def __init__(
        self, sessions: Iterable[ProxySession], server_slots: int, blocks: AssignmentBlocks, random: Random, now: float
    ) -> None:
        self._random = random
        self._blocks = blocks
        self._now = now
        self._sessions = {session.node: session for session in sessions if session.can_be_assigned}
        self._server_slots = server_slots
        self._heap: list[tuple[float, float, ProxySession]] = []
        self._blocked: dict[str, set[str]] = {}  # by model: the nodes that get none of its items
        self._added: set[str] = set()
        self._add_runners(set())

    def __bool__(self) -> bool:
        """Return True if any proxy has free capacity."""
        return bool(self._heap)

    def take(self, model: str) -> ProxySession | None:
        """Remove and return the proxy for the next item of a model; `put_back` adds it again."""
        blocked = self._blocked_for(model)
        skipped = []
        found: ProxySession | None = None
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            if entry[2].node in blocked:
                skipped.append(entry)
            else:
                found = entry[2]
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return found

    def put_back(self, session: ProxySession) -> None:
        """Add a proxy again if it has free capacity."""
        if session.load < MAX_LOAD:
            heapq.heappush(self._heap, (session.load, self._random.random(), session))

    def _blocked_for(self, model: str) -> set[str]:
        """Return the nodes that get no items of this model. Other proxies are added as runners in their place."""
        blocked = self._blocked.get(model)
        if blocked is None:
            blocked = self._blocked[model] = self._blocks.blocked(model, self._sessions.keys(), self._now)
            if blocked:
                self._add_runners(blocked)
        return blocked

    def _add_runners(self, without: set[str]) -> None:
        slots = {node: session.slots for node, session in self._sessions.items() if node not in without}
        for node in choose_runners(slots, self._server_slots):
            if node not in self._added:
                self._added.add(node)
                self.put_back(self._sessions[node])
