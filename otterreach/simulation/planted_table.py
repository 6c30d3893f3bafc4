"""All planted faults (docs/planted-faults.md)."""

from __future__ import annotations

from otterreach.simulation import planted_controllers, planted_jobs, planted_keys, planted_locks, planted_operations
from otterreach.simulation.planted import Planted

# Each is detected by its entry's scenario or seed.
TABLE: tuple[Planted, ...] = (
    *planted_controllers.CONTROLLERS,
    *planted_operations.OPERATIONS,
    *planted_jobs.JOBS,
    *planted_locks.LOCK_FAULTS,
    *planted_locks.NUMBER_FAULTS,
    *planted_keys.KEY_FAULTS,
    *planted_keys.WATCH_FAULTS,
)

# Not detected so far: either other code makes up for the changed line, or no check and no plan of faults reaches it.
UNNOTICED: tuple[Planted, ...] = (
    *planted_controllers.UNNOTICED,
    *planted_operations.UNNOTICED,
    *planted_jobs.UNNOTICED,
    *planted_locks.UNNOTICED,
    *planted_keys.UNNOTICED,
)
