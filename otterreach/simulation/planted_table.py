"""All planted faults (docs/planted-faults.md)."""

from __future__ import annotations

from otterreach.simulation import planted_controllers, planted_coordination, planted_jobs, planted_operations
from otterreach.simulation.planted import Planted

# Each is found by its entry's scenario or seed.
TABLE: tuple[Planted, ...] = (
    *planted_controllers.CONTROLLERS,
    *planted_operations.OPERATIONS,
    *planted_jobs.JOBS,
    *planted_coordination.FAULTS,
)

# Tried, and noticed by nothing yet: either another line of the code stands in for the one that is taken out, or no
# check and no plan of faults reaches it.
UNNOTICED: tuple[Planted, ...] = (
    *planted_controllers.UNNOTICED,
    *planted_operations.UNNOTICED,
    *planted_jobs.UNNOTICED,
    *planted_coordination.UNNOTICED,
)
