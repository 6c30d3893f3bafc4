"""Budget of disk losses: at most as many at the same time as the system has to survive.

A lost disk counts against the budget until the replicas have restored its data, which they have to do within `sync_s`.
Only time in which every machine runs counts towards that limit: replicas that are down or frozen cannot restore data.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class DiskLosses:
    """Disks that are lost and whose data is not yet assumed to be restored."""

    survive: int
    sync_s: float
    # By machine: calm time that remains until its data counts as restored.
    _remaining_s: dict[str, float] = field(default_factory=dict)

    @property
    def allowed(self) -> int:
        """Number of further disks that may be lost now."""
        return self.survive - len(self._remaining_s)

    def record_loss(self, name: str) -> None:
        """Record the loss of a machine's disk, also of a machine that is removed permanently."""
        self._remaining_s[name] = self.sync_s

    def credit_calm_time(self, seconds: float) -> None:
        """Credit time during which every machine ran towards the restoration of lost disks."""
        self._remaining_s = {name: left - seconds for name, left in self._remaining_s.items() if left > seconds}

    def is_counted(self, name: str) -> bool:
        """Return True if this disk already counts against the budget; losing it again uses no more of it."""
        return name in self._remaining_s
