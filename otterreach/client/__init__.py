"""Asyncio client for the coordination service: locks, elections, sequence numbers, small keys and watches."""

from otterreach.client.cells import ABSENT_REVISION, Cell, Cells
from otterreach.client.client import CoordinationClient
from otterreach.client.errors import (
    CoordinationError,
    LeaseLostError,
    LockHeldError,
    OutcomeUnknownError,
    RequestRejectedError,
    RevisionConflictError,
    UnavailableError,
)
from otterreach.client.lease import Lease
from otterreach.client.locks import Locks
from otterreach.client.numbers import Numbers
from otterreach.client.watches import Changed, Restarted, Watches

__all__ = [
    "ABSENT_REVISION",
    "Cell",
    "Cells",
    "Changed",
    "CoordinationClient",
    "CoordinationError",
    "Lease",
    "LeaseLostError",
    "LockHeldError",
    "Locks",
    "Numbers",
    "OutcomeUnknownError",
    "RequestRejectedError",
    "Restarted",
    "RevisionConflictError",
    "UnavailableError",
    "Watches",
]
