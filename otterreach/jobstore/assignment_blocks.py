"""Temporary blocks of proxies that reached no server for items of a model: they get none of its items.

Pure: no I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Collection

BLOCK_S = 3.0  # longer than a proxy keeps an item that it reaches no server for, so that other proxies come first


class AssignmentBlocks:
    """Blocks by node and model. Each expires after BLOCK_S."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, str], float] = {}

    def add(self, node: str, model: str, now: float) -> None:
        """Block a proxy that has returned items of this model."""
        self._until = {key: until for key, until in self._until.items() if until > now}
        self._until[node, model] = now + BLOCK_S

    def blocked(self, model: str, nodes: Collection[str], now: float) -> set[str]:
        """Return which of the nodes get no items of the model.

        If all nodes are blocked the result is empty, since no other proxy is left to prefer.
        """
        blocked = {node for node in nodes if self._until.get((node, model), 0.0) > now}
        return blocked if len(blocked) < len(nodes) else set()
