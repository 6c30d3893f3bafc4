"""How many disks may be lost: as many at once as the system has to survive.

A lost disk counts until the others have made up for it, which they have to within `sync_s`. Only time in which every
machine runs counts for that: while others are down or frozen, nobody could make up for it.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class DiskLosses:
    """The disks that are lost and not yet made up for."""

    survive: int
    sync_s: float
    _left_s: dict[str, float] = field(default_factory=dict)  # by machine: the time that is still to pass

    @property
    def allowed(self) -> int:
        """How many more disks may be lost now."""
        return self.survive - len(self._left_s)

    def lose(self, name: str) -> None:
        """A disk is lost: that of a machine, or of one that is gone for good."""
        self._left_s[name] = self.sync_s

    def pass_calm_time(self, seconds: float) -> None:
        """Time has passed in which every machine ran."""
        self._left_s = {name: left - seconds for name, left in self._left_s.items() if left > seconds}

    def is_outstanding(self, name: str) -> bool:
        """Whether the loss of this disk is not yet made up for: to lose it again costs no more."""
        return name in self._left_s
