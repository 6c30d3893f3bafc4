"""Which proxies get no items of which model for now: those that could reach no server for them. Pure."""

from __future__ import annotations

from collections.abc import Collection

BLOCK_S = 3.0  # longer than a proxy keeps an item that it can't place, so that others have their turn first


class AssignmentBlocks:
    """Blocks by node and model. They end by themselves."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, str], float] = {}

    def add(self, node: str, model: str, now: float) -> None:
        """A proxy has returned items of this model."""
        self._until = {key: until for key, until in self._until.items() if until > now}
        self._until[node, model] = now + BLOCK_S

    def blocked(self, model: str, nodes: Collection[str], now: float) -> set[str]:
        """Those of the nodes that get no items of the model; none if it would be all, for then one may as well try."""
        blocked = {node for node in nodes if self._until.get((node, model), 0.0) > now}
        return blocked if len(blocked) < len(nodes) else set()
